package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	mrand "math/rand/v2"
	"strings"
	"time"

	"lockflow/internal/canary"
	"lockflow/internal/desiredstate"
	"lockflow/internal/limits"
	"lockflow/internal/manage"
	"lockflow/internal/rollout"
)

const (
	pollMembers = 250 * time.Millisecond // each member is asked so often at most
	lookEvery   = time.Second            // the judge
	tellEvery   = 2 * time.Second
	callsMost   = 64 // to members at once
)

// Judge says whether the changed members do worse. It is canary.Judge's.
type Judge interface {
	Begin(now time.Duration, before []canary.Reading)
	Observe(now time.Duration, all []canary.Reading)
	Verdict(now time.Duration) canary.Verdict
}

// Ways are how a change is carried out.
type Ways struct {
	Judge    Judge     // nil makes one by the plan
	Progress io.Writer // a line for each thing that happens
	Resume   bool      // goes on with what the journal holds
	TakeBack bool      // takes all back instead
}

// Outcome is how a change ended.
type Outcome struct {
	Result  rollout.Result
	Why     string
	Touched bool // some member was ordered to change
	Members []MemberState
}

// carrier carries a rollout's actions out. One goroutine uses it, but for calls to members.
type carrier struct {
	c       *Change
	j       *Journal
	r       *rollout.Rollout
	ways    Ways
	judge   Judge
	began   time.Time
	events  chan any
	places  chan struct{}
	members []manage.Client
	asking  []bool
	seen    []*manage.Status // the last that each said; nil is no answer
	ordered []bool
	known   programs
	verdict canary.Verdict
	looked  time.Duration
	told    time.Duration
	last    string // told last
	within  time.Duration
	end     *rollout.End
}

// heard is what a member answered to a status, with when it was asked.
type heard struct {
	i     int
	asked time.Duration
	s     *manage.Status
}

// Carry has a change go over its fleet, as the journal's coordinator. Once ctx ends it goes no further: what
// is under way ends, and it can be resumed.
func Carry(ctx context.Context, j *Journal, w Ways) (Outcome, error) {
	if j.Change == nil {
		return Outcome{}, errNoChange
	}
	var id [8]byte
	rand.Read(id[:])
	owner := hex.EncodeToString(id[:])
	rng := mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64()))
	var r *rollout.Rollout
	var err error
	if w.Resume {
		r, err = rollout.Resume(j.Change.Plan, owner, rng, j.Entries, w.TakeBack)
	} else {
		r, err = rollout.New(j.Change.Plan, owner, rng)
	}
	if err != nil {
		return Outcome{}, err
	}
	n := len(j.Change.Sockets)
	c := &carrier{
		c: j.Change, j: j, r: r, ways: w, judge: w.Judge, began: time.Now(), events: make(chan any, 4*n+16), places: make(chan struct{}, callsMost),
		asking: make([]bool, n), seen: make([]*manage.Status, n), ordered: make([]bool, n), known: make(programs),
	}
	for _, s := range j.Change.Sockets {
		c.members = append(c.members, manage.Client{Path: s})
	}
	p := r.Plan()
	c.within = p.MemberTimeout * 2 / 3
	if c.judge == nil {
		stages := 0
		for _, s := range r.StageSizes() {
			stages += len(s)
		}
		warm := min(30*time.Second, p.MinBake/2)
		c.judge = canary.NewJudge(canary.Options{
			Stages: max(stages, 1), MinBake: p.MinBake, MaxBake: p.MaxBake, WarmUp: warm,
			Onset: min(time.Minute, max(p.MinBake/2, time.Second)),
		})
	}
	if w.Progress == nil {
		c.ways.Progress = io.Discard
	}
	return c.run(ctx)
}

func (c *carrier) now() time.Duration { return time.Since(c.began) }

func (c *carrier) run(ctx context.Context) (Outcome, error) {
	tick := time.NewTicker(pollMembers)
	defer tick.Stop()
	stop := ctx.Done()
	c.ask(ctx)
	for c.end == nil {
		select {
		case <-tick.C:
			c.ask(ctx)
			c.look()
			c.feed(ctx, rollout.Tick{})
		case e := <-c.events:
			if h, ok := e.(heard); ok {
				e = c.hear(h)
			}
			c.feed(ctx, e.(rollout.Event))
		case <-stop:
			stop = nil
			c.feed(ctx, rollout.Stop{Cause: context.Cause(ctx).Error()})
		}
		c.tell()
	}
	c.tell()
	return Outcome{Result: c.end.Result, Why: c.end.Reason, Touched: c.r.HasCommanded(), Members: c.states()}, nil
}

// call does something with a member and brings what came of it.
func (c *carrier) call(ctx context.Context, within time.Duration, f func(ctx context.Context) any) {
	go func() {
		c.places <- struct{}{}
		defer func() { <-c.places }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), within)
		defer cancel()
		c.events <- f(ctx)
	}()
}

// ask asks all members that don't owe an answer.
func (c *carrier) ask(ctx context.Context) {
	for i, m := range c.members {
		if c.asking[i] {
			continue
		}
		c.asking[i] = true
		asked := c.now()
		c.call(ctx, askWithin, func(ctx context.Context) any {
			s, err := m.Status(ctx)
			if err != nil {
				return heard{i, asked, nil}
			}
			return heard{i, asked, &s}
		})
	}
}

// hear takes in what a member says of itself.
func (c *carrier) hear(h heard) rollout.Event {
	c.asking[h.i], c.seen[h.i] = false, h.s
	if h.s == nil {
		return rollout.MemberStatus{Member: h.i, PolledAt: h.asked}
	}
	s := h.s
	up := s.IsReady() || c.c.Kind == desiredstate.KindSettings && s.IsAsDesired()
	return rollout.MemberStatus{
		Member: h.i, PolledAt: h.asked, IsServing: up, Version: c.c.runs(s, c.known), Epoch: s.Epoch, Owner: s.Owner, RunningCommand: s.RunningCommand,
		LossToken: s.LostToken, Load: load(s),
	}
}

// load is the share of a member's own bounds that is used, of the fullest: requests that it may hold, bytes,
// descriptors; -1 is unknown. How many attempts are let out is none of these: that bound follows its use.
func load(s *manage.Status) float64 {
	most := -1.0
	for _, one := range s.Services {
		if one.Resources == nil {
			continue
		}
		for _, u := range []limits.Usage{one.Resources.Requests, one.Resources.BufferedBytes, one.Resources.Descriptors} {
			if u.Total > 0 {
				most = max(most, float64(u.Used)/float64(u.Total))
			}
		}
	}
	return most
}

// look has the judge look.
func (c *carrier) look() {
	now := c.now()
	if now-c.looked < min(lookEvery, max(c.r.Plan().MinBake/8, pollMembers)) {
		return
	}
	c.looked = now
	c.judge.Observe(now, c.readings())
}

func (c *carrier) readings() []canary.Reading {
	all := make([]canary.Reading, 0, len(c.seen))
	for i, s := range c.seen {
		r := canary.Reading{Member: c.c.Plan.Members[i].Name, IsServing: s != nil && s.IsReady(), Weight: 1}
		switch changed, control := c.r.Side(i); {
		case changed:
			r.Side = canary.SideNew
		case control:
			r.Side = canary.SideControl
		}
		if s != nil {
			r.Statistics = s.Statistics
		}
		if s == nil || s.IsReady() { // one that is drained is none of either side
			all = append(all, r)
		}
	}
	return all
}

// feed brings an event to the decider, and its actions to the members.
func (c *carrier) feed(ctx context.Context, e rollout.Event) {
	if c.end != nil {
		return
	}
	c.act(ctx, c.r.Handle(c.now(), e))
	if _, ok := e.(rollout.Tick); ok && c.end == nil && c.r.IsBaking() {
		c.verdict = c.judge.Verdict(c.now())
		c.act(ctx, c.r.Handle(c.now(), rollout.StageJudged{Verdict: rollout.Verdict(c.verdict.Kind), Reason: c.verdict.Reason}))
	}
}

func (c *carrier) act(ctx context.Context, all []rollout.Action) {
	for _, a := range all {
		switch a := a.(type) {
		case rollout.Write:
			if err := c.j.add(a.Entry); err != nil {
				slog.Error("rollout: a decision can't be written", "kind", a.Entry.Kind, "err", err)
				for _, a := range c.r.Handle(c.now(), rollout.WriteFailed{Err: err}) {
					if end, ok := a.(rollout.End); ok {
						c.end = &end
					}
				}
				return
			}
			c.say(a.Entry)
		case rollout.Watch:
			c.verdict = canary.Verdict{}
			c.judge.Begin(c.now(), c.readings())
		case rollout.Claim:
			c.claim(ctx, a)
		case rollout.Command:
			c.ordered[a.Member] = c.ordered[a.Member] || !a.IsRestart
			c.order(ctx, a)
		case rollout.End:
			c.end = &a
			return
		}
	}
}

func (c *carrier) claim(ctx context.Context, a rollout.Claim) {
	m := c.members[a.Member]
	c.call(ctx, askWithin, func(ctx context.Context) any {
		_, err := m.Claim(ctx, manage.Claim{Epoch: a.Epoch, Owner: a.Owner, LossToken: a.LossToken})
		e := rollout.ClaimReplied{Member: a.Member, Epoch: a.Epoch}
		if e.Reply = answered(err); e.Reply == rollout.ReplyStale {
			if s, err := m.Status(ctx); err == nil {
				e.NewestEpoch = s.Epoch
			}
		}
		return e
	})
}

func (c *carrier) order(ctx context.Context, a rollout.Command) {
	m := c.members[a.Member]
	want, err := c.c.want(a.Member, a.Generation, a.IsRestart)
	if err != nil {
		c.call(ctx, askWithin, func(context.Context) any {
			return rollout.CommandReplied{Member: a.Member, ID: a.ID, Epoch: a.Epoch, Reply: rollout.ReplyFailed, Err: err}
		})
		return
	}
	c.call(ctx, c.within, func(ctx context.Context) any {
		_, err := m.RunCommand(ctx, manage.Command{Epoch: a.Epoch, Owner: a.Owner, ID: a.ID, Operation: want})
		e := rollout.CommandReplied{Member: a.Member, ID: a.ID, Epoch: a.Epoch, Reply: answered(err), Err: err}
		if e.Reply == rollout.ReplyStale {
			// A member that has no memory of any epoch is no sign of a newer coordinator.
			if s, err := m.Status(ctx); err == nil && s.Epoch < a.Epoch {
				e.Reply = rollout.ReplyUngranted
			}
		}
		return e
	})
}

// answered tells what a member's answer to a claim or an order means.
func answered(err error) rollout.Reply {
	switch {
	case err == nil:
		return rollout.ReplyOK
	case errors.Is(err, manage.ErrStale):
		return rollout.ReplyStale
	case errors.Is(err, manage.ErrLost):
		return rollout.ReplyUngranted
	case errors.Is(err, manage.ErrFailed), errors.Is(err, manage.ErrInvalid):
		return rollout.ReplyFailed
	case strings.HasSuffix(err.Error(), "404 Not Found"): // a program from before there were orders
		return rollout.ReplyUnsupported
	}
	return rollout.ReplyUnknown // also busy: it is asked again
}

// say tells a decision in the log and to whoever watches.
func (c *carrier) say(e rollout.Entry) {
	slog.Info("rollout: "+string(e.Kind), "epoch", e.Epoch, "phase", e.Phase, "stage", e.Stage, "member", e.Member, "id", e.ID, "gen", e.Generation, "outcome", e.Outcome, "why", e.Reason)
	w := c.ways.Progress
	switch e.Kind {
	case rollout.EntryOwned:
		fmt.Fprintf(w, "owns the fleet with epoch %d\n", e.Epoch)
	case rollout.EntryStage:
		at, of := c.r.Stage()
		phase := ""
		if p, all := c.r.Phase(); all > 1 {
			phase = fmt.Sprintf("phase %d of %d, ", p, all)
		}
		fmt.Fprintf(w, "%sstage %d of %d: %s", phase, at, of, names(e.Members))
		if len(e.Controls) > 0 {
			fmt.Fprintf(w, "; beside it, started again: %s", names(e.Controls))
		}
		fmt.Fprintln(w)
	case rollout.EntryOutcome:
		fmt.Fprintf(w, "%s: %s %s\n", e.Member, e.Outcome, e.Reason)
	case rollout.EntryVerdict:
		fmt.Fprintf(w, "stage %d: %s: %s\n", e.Stage, e.Outcome, e.Reason)
	case rollout.EntryRollback:
		fmt.Fprintf(w, "takes back: %s\n", e.Reason)
	case rollout.EntryAbandoned:
		fmt.Fprintf(w, "%s: not taken back: %s\n", e.Member, e.Reason)
	}
}

func names(all []string) string {
	if len(all) > 8 {
		return fmt.Sprintf("%s and %d more", strings.Join(all[:7], ", "), len(all)-7)
	}
	return strings.Join(all, ", ")
}

// tell keeps what others are told of it: now and then, and when it changes.
func (c *carrier) tell() {
	now := c.now()
	what := c.r.State() + c.r.Reason()
	if c.end == nil && now-c.told < pollMembers || what == c.last && now-c.told < tellEvery && c.end == nil {
		return
	}
	if what != c.last && c.end == nil {
		slog.Info("rollout: "+c.r.State(), "why", c.r.Reason())
	}
	c.told, c.last = now, what
	raw, err := json.Marshal(c.progress())
	if err == nil {
		err = c.j.Ledger.SetNote(raw)
	}
	if err != nil {
		slog.Warn("rollout: what it is at can't be told", "err", err)
	}
}

func (c *carrier) progress() Progress {
	p := Progress{Begun: c.c.Begun, At: time.Now(), Kind: c.c.Kind, State: c.r.State(), Why: c.r.Reason(), Cause: c.r.RollbackCause(), Epoch: c.r.Epoch(), Members: c.states()}
	p.Phase, p.Phases = c.r.Phase()
	p.Stage, p.Stages = c.r.Stage()
	if c.verdict.Reason != "" {
		p.Verdict, p.Told = c.verdict.Kind.String(), c.verdict.Reason
	}
	for _, m := range c.verdict.Measures {
		p.Sides = append(p.Sides, Compared{m.Name, finite(m.Old), finite(m.New), finite(m.Low), finite(m.High), m.Margin, m.IsWorse, m.IsEnough})
	}
	return p
}

func finite(v float64) *float64 {
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return nil
	}
	return &v
}

// states are where the members are.
func (c *carrier) states() []MemberState {
	all := make([]MemberState, len(c.members))
	for i, m := range c.c.Plan.Members {
		all[i] = MemberState{m.Name, c.r.MemberState(i, c.ordered[i]), c.r.Version(i)}
	}
	return all
}
