package faultnet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"lockflow/internal/trials/faultnet/script"
)

// Event is a completed step of a script.
type Event struct {
	At   time.Duration // time since the script began at which the step was completed
	Step script.Step
	Err  error // joins the errors of links and processes; nil if there were none
}

func (e Event) String() string {
	text := e.At.Round(time.Millisecond).String()
	for _, b := range e.Step.Begins {
		text += fmt.Sprintf(" + %v;", b)
	}
	for _, b := range e.Step.Ends {
		text += fmt.Sprintf(" - %v;", b)
	}
	if e.Err != nil {
		text += " " + e.Err.Error()
	}
	return text
}

// Player carries out a script step by step: Next on request, Play by the script's times.
// One goroutine may use it; Events is safe for concurrent use.
type Player struct {
	Links []*Link
	Procs []*Process
	// Before is called before each step and Done after it; either may be nil.
	Before func(script.Step)
	Done   func(Event)

	steps    []script.Step
	nextStep int
	started  time.Time
	down     map[int]bool // processes that a fault has killed and that are not restarted yet

	mu     sync.Mutex
	events []Event
}

// NewPlayer returns a player of a script. The indexes in the script are those of links and procs.
func NewPlayer(s Script, links []*Link, procs []*Process) (*Player, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.Links > len(links) || s.Procs > len(procs) {
		return nil, fmt.Errorf("script needs %d links and %d processes, got %d and %d", s.Links, s.Procs, len(links), len(procs))
	}
	return &Player{Links: links, Procs: procs, steps: s.Steps(), started: time.Now(), down: make(map[int]bool)}, nil
}

// Next carries out the next step regardless of its time. It returns false if none is left.
func (p *Player) Next() bool {
	if p.nextStep >= len(p.steps) {
		return false
	}
	st := p.steps[p.nextStep]
	e := Event{Step: st}
	p.nextStep++
	if p.Before != nil {
		p.Before(st)
	}
	for i, faults := range st.Links {
		if err := p.Links[i].Set(faults...); err != nil {
			e.Err = errors.Join(e.Err, fmt.Errorf("link %d: %w", i, err))
		}
	}
	var procs sync.WaitGroup
	var mu sync.Mutex
	for i, faults := range st.Procs {
		down := p.down[i]
		p.down[i] = hasKind(faults, script.Kill)
		procs.Go(func() { // concurrent, as a kill waits until the process has ended
			if err := applyFaults(p.Procs[i], down, faults); err != nil {
				mu.Lock()
				defer mu.Unlock()
				e.Err = errors.Join(e.Err, fmt.Errorf("process %d: %w", i, err))
			}
		})
	}
	procs.Wait()
	e.At = time.Since(p.started)
	p.mu.Lock()
	p.events = append(p.events, e)
	p.mu.Unlock()
	if p.Done != nil {
		p.Done(e)
	}
	return true
}

func hasKind(faults []Fault, k script.Kind) bool {
	for _, f := range faults {
		if f.Kind == k {
			return true
		}
	}
	return false
}

// applyFaults puts exactly the given faults in force on a process. down reports whether an earlier fault has
// killed it.
func applyFaults(p *Process, down bool, faults []Fault) error {
	var clockOffset time.Duration
	for _, f := range faults {
		if f.Kind == script.Clock {
			clockOffset += f.Delay
		}
	}
	var err error
	if p.State != "" {
		err = errors.Join(p.SetFull(hasKind(faults, script.Full)), p.SetReadOnly(hasKind(faults, script.ReadOnly)))
	}
	if p.ClockEnv != "" || p.OnClock != nil {
		err = errors.Join(err, p.SetClock(clockOffset))
	}
	switch killed := hasKind(faults, script.Kill); {
	case killed:
		return errors.Join(err, p.Kill())
	case down:
		err = errors.Join(err, p.Start())
	case !p.Runs(): // it ended by itself, which the caller that started it has to detect
		return err
	}
	if hasKind(faults, script.Pause) {
		return errors.Join(err, p.Pause())
	}
	return errors.Join(err, p.Continue())
}

// Events returns the steps completed so far.
func (p *Player) Events() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Event(nil), p.events...)
}

// Heal ends all active faults.
func (p *Player) Heal() error {
	p.nextStep = len(p.steps)
	var err error
	for _, l := range p.Links {
		err = errors.Join(err, l.Heal())
	}
	for i, q := range p.Procs {
		err = errors.Join(err, applyFaults(q, p.down[i], nil))
		p.down[i] = false
	}
	return err
}

// Play carries out a script, each step at its time from now on, until the script or ctx ends. It then
// ends all faults. The error joins those of steps that failed.
func Play(ctx context.Context, s Script, links []*Link, procs []*Process) ([]Event, error) {
	p, err := NewPlayer(s, links, procs)
	if err != nil {
		return nil, err
	}
	return p.Play(ctx)
}

// Play carries out the remaining steps, each at its time from now on, until they or ctx end. It then
// ends all faults.
func (p *Player) Play(ctx context.Context) ([]Event, error) {
	p.started = time.Now()
	for p.nextStep < len(p.steps) && ctx.Err() == nil {
		t := time.NewTimer(time.Until(p.started.Add(p.steps[p.nextStep].At)))
		select {
		case <-t.C:
			p.Next()
		case <-ctx.Done():
			t.Stop()
		}
	}
	err := p.Heal()
	events := p.Events()
	for _, e := range events {
		err = errors.Join(err, e.Err)
	}
	return events, err
}
