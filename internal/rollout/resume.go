package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Resume makes a coordinator of a change that another has begun, from what that has written. What the
// members run is not taken from there: they say it themselves. takeBack takes all back, whatever it was at.
func Resume(p Plan, owner string, rng *rand.Rand, entries []Entry, takeBack bool) (*Rollout, error) {
	r, err := New(p, owner, rng)
	if err != nil {
		return nil, err
	}
	index := make(map[string]int, len(p.Members))
	for i, m := range p.Members {
		index[m.Name] = i
	}
	for n, e := range entries {
		if err := r.remember(e, index); err != nil {
			return nil, fmt.Errorf("entry %d of the journal, %s: %w", n+1, e.Kind, err)
		}
	}
	if r.result == Done || r.result == TakenBack || r.result == Refused {
		return nil, fmt.Errorf("the change is over: %s: %s", r.result, r.why)
	}
	if takeBack && !r.toBack {
		r.toBack, r.gen = true, r.phase-1
		r.cause, r.unsaid = "taken back by the owner", true
	}
	r.result, r.why = "", ""
	for i := range r.m {
		m := &r.m[i]
		if m.order == nil {
			continue
		}
		// What was under way is asked again under its id, where it is still wanted.
		m.order.doubt = true
		if wanted := r.phase; m.order.restart || r.toBack && m.order.gen != r.gen || !r.toBack && m.order.gen != wanted {
			m.suspect, m.dropped = m.suspect || !m.order.restart, m.order.restart
			m.order = nil
		}
	}
	return r, nil
}

// giveUpOrders gives up what was ordered, with the epoch of who did.
func (r *Rollout) giveUpOrders() {
	for i := range r.m {
		if m := &r.m[i]; m.order != nil {
			m.suspect, m.dropped, m.order = m.suspect || !m.order.restart, m.order.restart, nil
		}
	}
}

// remember takes one entry of the log, as it was written.
func (r *Rollout) remember(e Entry, index map[string]int) error {
	member := func() (*member, error) {
		i, ok := index[e.Member]
		if !ok {
			return nil, fmt.Errorf("there is no member %q in its plan", e.Member)
		}
		return &r.m[i], nil
	}
	switch e.Kind {
	case EntryEpoch:
		r.newest = max(r.newest, e.Epoch)
	case EntryStage:
		if e.Phase < 1 || e.Phase > len(r.phases) || e.Stage < 1 || e.Stage > len(r.phases[e.Phase-1].stages) {
			return fmt.Errorf("there is no stage %d of phase %d in its plan", e.Stage, e.Phase)
		}
		r.placed, r.phase, r.stage = true, e.Phase, e.Stage-1
	case EntryOrder:
		m, err := member()
		if err != nil {
			return err
		}
		if e.Gen < 0 || e.Gen > len(r.phases) || e.ID == "" {
			return errors.New("the order is none")
		}
		m.order = &order{id: e.ID, gen: e.Gen, restart: e.Restart}
		r.touched = true
	case EntryOutcome:
		m, err := member()
		if err != nil {
			return err
		}
		if m.order != nil && m.order.id == e.ID {
			m.order, m.suspect = nil, m.suspect && e.Outcome != outcomeDone
		}
	case EntryBack:
		r.toBack, r.cause, r.gen = true, e.Why, r.phase-1
		r.giveUpOrders()
	case EntrySweep:
		if e.Gen < 0 || e.Gen >= len(r.phases) {
			return fmt.Errorf("there is no generation %d in its plan", e.Gen)
		}
		r.gen = e.Gen
	case EntryLeft:
		if _, err := member(); err != nil {
			return err
		}
	case EntryEnd:
		r.result, r.why = Result(e.Outcome), e.Why
	case EntryOwned, EntryBake, EntryVerdict:
	default:
		return errors.New("it is of no known kind")
	}
	return nil
}
