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
	memberPollInterval = 250 * time.Millisecond // each member is asked so often at most
	evaluationInterval = time.Second            // the judge
	progressInterval   = 2 * time.Second
	maxConcurrentCalls = 64 // to members at once
)

// Judge says whether the changed members do worse. It is canary.Judge's.
type Judge interface {
	Begin(now time.Duration, before []canary.Reading)
	Observe(now time.Duration, all []canary.Reading)
	Verdict(now time.Duration) canary.Verdict
}

// RolloutOptions are how a change is carried out.
type RolloutOptions struct {
	Judge    Judge     // nil makes one by the plan
	Progress io.Writer // a line for each thing that happens
	Resume   bool      // goes on with what the journal holds
	RollBack bool      // takes all back instead
}

// Outcome is how a change ended.
type Outcome struct {
	Result       rollout.Result
	Reason       string
	HasCommanded bool // some member was ordered to change
	Members      []MemberState
}

// coordinator carries a rollout's actions out. One goroutine uses it, but for calls to members.
type coordinator struct {
	change         *Change
	log            *RolloutLog
	rollout        *rollout.Rollout
	options        RolloutOptions
	judge          Judge
	startedAt      time.Time
	events         chan any
	callSlots      chan struct{}
	clients        []manage.Client
	isPolling      []bool
	lastStatus     []*manage.Status // the last that each said; nil is no answer
	isCommanded    []bool
	programHashes  programHashes
	verdict        canary.Verdict
	lastEvaluated  time.Duration
	lastProgress   time.Duration
	lastState      string // told last
	commandTimeout time.Duration
	end            *rollout.End
}

// statusReply is what a member answered to a status, with when it was asked.
type statusReply struct {
	member   int
	polledAt time.Duration
	status   *manage.Status
}

// RunRollout has a change go over its fleet, as the journal's coordinator. Once ctx ends it goes no further: what
// is under way ends, and it can be resumed.
func RunRollout(ctx context.Context, log *RolloutLog, options RolloutOptions) (Outcome, error) {
	if log.Change == nil {
		return Outcome{}, errNoChange
	}
	var id [8]byte
	rand.Read(id[:])
	owner := hex.EncodeToString(id[:])
	rng := mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64()))
	var state *rollout.Rollout
	var err error
	if options.Resume {
		state, err = rollout.Resume(log.Change.Plan, owner, rng, log.Entries, options.RollBack)
	} else {
		state, err = rollout.New(log.Change.Plan, owner, rng)
	}
	if err != nil {
		return Outcome{}, err
	}
	n := len(log.Change.Sockets)
	c := &coordinator{
		change: log.Change, log: log, rollout: state, options: options, judge: options.Judge, startedAt: time.Now(), events: make(chan any, 4*n+16), callSlots: make(chan struct{}, maxConcurrentCalls),
		isPolling: make([]bool, n), lastStatus: make([]*manage.Status, n), isCommanded: make([]bool, n), programHashes: make(programHashes),
	}
	for _, s := range log.Change.Sockets {
		c.clients = append(c.clients, manage.Client{Path: s})
	}
	p := state.Plan()
	c.commandTimeout = p.MemberTimeout * 2 / 3
	if c.judge == nil {
		stages := 0
		for _, s := range state.StageSizes() {
			stages += len(s)
		}
		warm := min(30*time.Second, p.MinBake/2)
		c.judge = canary.NewJudge(canary.Options{
			Stages: max(stages, 1), MinBake: p.MinBake, MaxBake: p.MaxBake, WarmUp: warm,
			Onset: min(time.Minute, max(p.MinBake/2, time.Second)),
		})
	}
	if options.Progress == nil {
		c.options.Progress = io.Discard
	}
	return c.run(ctx)
}

func (c *coordinator) now() time.Duration { return time.Since(c.startedAt) }

func (c *coordinator) run(ctx context.Context) (Outcome, error) {
	tick := time.NewTicker(memberPollInterval)
	defer tick.Stop()
	stop := ctx.Done()
	c.pollMembers(ctx)
	for c.end == nil {
		select {
		case <-tick.C:
			c.pollMembers(ctx)
			c.evaluate()
			c.handle(ctx, rollout.Tick{})
		case e := <-c.events:
			if h, ok := e.(statusReply); ok {
				e = c.handleStatus(h)
			}
			c.handle(ctx, e.(rollout.Event))
		case <-stop:
			stop = nil
			c.handle(ctx, rollout.Stop{Cause: context.Cause(ctx).Error()})
		}
		c.updateProgress()
	}
	c.updateProgress()
	return Outcome{Result: c.end.Result, Reason: c.end.Reason, HasCommanded: c.rollout.HasCommanded(), Members: c.memberStates()}, nil
}

// call does something with a member and brings what came of it.
func (c *coordinator) call(ctx context.Context, timeout time.Duration, send func(ctx context.Context) any) {
	go func() {
		c.callSlots <- struct{}{}
		defer func() { <-c.callSlots }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		c.events <- send(ctx)
	}()
}

// pollMembers asks all members that don't owe an answer.
func (c *coordinator) pollMembers(ctx context.Context) {
	for i, m := range c.clients {
		if c.isPolling[i] {
			continue
		}
		c.isPolling[i] = true
		polledAt := c.now()
		c.call(ctx, statusTimeout, func(ctx context.Context) any {
			s, err := m.Status(ctx)
			if err != nil {
				return statusReply{i, polledAt, nil}
			}
			return statusReply{i, polledAt, &s}
		})
	}
}

// handleStatus takes in what a member says of itself.
func (c *coordinator) handleStatus(reply statusReply) rollout.Event {
	c.isPolling[reply.member], c.lastStatus[reply.member] = false, reply.status
	if reply.status == nil {
		return rollout.MemberStatus{Member: reply.member, PolledAt: reply.polledAt}
	}
	s := reply.status
	isServing := s.IsReady() || c.change.Kind == desiredstate.KindSettings && s.IsAsDesired()
	return rollout.MemberStatus{
		Member: reply.member, PolledAt: reply.polledAt, IsServing: isServing, Version: c.change.version(s, c.programHashes), Epoch: s.Epoch, Owner: s.Owner, RunningCommand: s.RunningCommand,
		LossToken: s.LostToken, Load: utilization(s),
	}
}

// utilization is the share of a member's own bounds that is used, of the fullest: requests that it may hold, bytes,
// descriptors; -1 is unknown. How many attempts are let out is none of these: that bound follows its use.
func utilization(s *manage.Status) float64 {
	highest := -1.0
	for _, one := range s.Services {
		if one.Resources == nil {
			continue
		}
		for _, u := range []limits.Usage{one.Resources.Requests, one.Resources.BufferedBytes, one.Resources.Descriptors} {
			if u.Total > 0 {
				highest = max(highest, float64(u.Used)/float64(u.Total))
			}
		}
	}
	return highest
}

// evaluate has the judge look.
func (c *coordinator) evaluate() {
	now := c.now()
	if now-c.lastEvaluated < min(evaluationInterval, max(c.rollout.Plan().MinBake/8, memberPollInterval)) {
		return
	}
	c.lastEvaluated = now
	c.judge.Observe(now, c.readings())
}

func (c *coordinator) readings() []canary.Reading {
	all := make([]canary.Reading, 0, len(c.lastStatus))
	for i, s := range c.lastStatus {
		r := canary.Reading{Member: c.change.Plan.Members[i].Name, IsServing: s != nil && s.IsReady(), Weight: 1}
		switch changed, control := c.rollout.Side(i); {
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

// handle brings an event to the decider, and its actions to the members.
func (c *coordinator) handle(ctx context.Context, event rollout.Event) {
	if c.end != nil {
		return
	}
	c.execute(ctx, c.rollout.Handle(c.now(), event))
	if _, ok := event.(rollout.Tick); ok && c.end == nil && c.rollout.IsBaking() {
		c.verdict = c.judge.Verdict(c.now())
		c.execute(ctx, c.rollout.Handle(c.now(), rollout.StageJudged{Verdict: rollout.Verdict(c.verdict.Kind), Reason: c.verdict.Reason}))
	}
}

func (c *coordinator) execute(ctx context.Context, actions []rollout.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case rollout.Write:
			if err := c.log.append(a.Entry); err != nil {
				slog.Error("rollout: a decision can't be written", "kind", a.Entry.Kind, "err", err)
				for _, a := range c.rollout.Handle(c.now(), rollout.WriteFailed{Err: err}) {
					if end, ok := a.(rollout.End); ok {
						c.end = &end
					}
				}
				return
			}
			c.reportEntry(a.Entry)
		case rollout.Watch:
			c.verdict = canary.Verdict{}
			c.judge.Begin(c.now(), c.readings())
		case rollout.Claim:
			c.sendClaim(ctx, a)
		case rollout.Command:
			c.isCommanded[a.Member] = c.isCommanded[a.Member] || !a.IsRestart
			c.sendCommand(ctx, a)
		case rollout.End:
			c.end = &a
			return
		}
	}
}

func (c *coordinator) sendClaim(ctx context.Context, a rollout.Claim) {
	m := c.clients[a.Member]
	c.call(ctx, statusTimeout, func(ctx context.Context) any {
		_, err := m.Claim(ctx, manage.Claim{Epoch: a.Epoch, Owner: a.Owner, LossToken: a.LossToken})
		e := rollout.ClaimReplied{Member: a.Member, Epoch: a.Epoch}
		if e.Reply = replyOf(err); e.Reply == rollout.ReplyStale {
			if s, err := m.Status(ctx); err == nil {
				e.NewestEpoch = s.Epoch
			}
		}
		return e
	})
}

func (c *coordinator) sendCommand(ctx context.Context, a rollout.Command) {
	m := c.clients[a.Member]
	operation, err := c.change.operation(a.Member, a.Generation, a.IsRestart)
	if err != nil {
		c.call(ctx, statusTimeout, func(context.Context) any {
			return rollout.CommandReplied{Member: a.Member, ID: a.ID, Epoch: a.Epoch, Reply: rollout.ReplyFailed, Err: err}
		})
		return
	}
	c.call(ctx, c.commandTimeout, func(ctx context.Context) any {
		_, err := m.RunCommand(ctx, manage.Command{Epoch: a.Epoch, Owner: a.Owner, ID: a.ID, Operation: operation})
		e := rollout.CommandReplied{Member: a.Member, ID: a.ID, Epoch: a.Epoch, Reply: replyOf(err), Err: err}
		if e.Reply == rollout.ReplyStale {
			// A member that has no memory of any epoch is no sign of a newer coordinator.
			if s, err := m.Status(ctx); err == nil && s.Epoch < a.Epoch {
				e.Reply = rollout.ReplyUngranted
			}
		}
		return e
	})
}

// replyOf tells what a member's answer to a claim or an order means.
func replyOf(err error) rollout.Reply {
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

// reportEntry tells a decision in the log and to whoever watches.
func (c *coordinator) reportEntry(entry rollout.Entry) {
	slog.Info("rollout: "+string(entry.Kind), "epoch", entry.Epoch, "phase", entry.Phase, "stage", entry.Stage, "member", entry.Member, "id", entry.ID, "gen", entry.Generation, "outcome", entry.Outcome, "why", entry.Reason)
	w := c.options.Progress
	switch entry.Kind {
	case rollout.EntryOwned:
		fmt.Fprintf(w, "owns the fleet with epoch %d\n", entry.Epoch)
	case rollout.EntryStage:
		at, of := c.rollout.Stage()
		phase := ""
		if p, all := c.rollout.Phase(); all > 1 {
			phase = fmt.Sprintf("phase %d of %d, ", p, all)
		}
		fmt.Fprintf(w, "%sstage %d of %d: %s", phase, at, of, joinNames(entry.Members))
		if len(entry.Controls) > 0 {
			fmt.Fprintf(w, "; beside it, started again: %s", joinNames(entry.Controls))
		}
		fmt.Fprintln(w)
	case rollout.EntryOutcome:
		fmt.Fprintf(w, "%s: %s %s\n", entry.Member, entry.Outcome, entry.Reason)
	case rollout.EntryVerdict:
		fmt.Fprintf(w, "stage %d: %s: %s\n", entry.Stage, entry.Outcome, entry.Reason)
	case rollout.EntryRollback:
		fmt.Fprintf(w, "takes back: %s\n", entry.Reason)
	case rollout.EntryAbandoned:
		fmt.Fprintf(w, "%s: not taken back: %s\n", entry.Member, entry.Reason)
	}
}

func joinNames(all []string) string {
	if len(all) > 8 {
		return fmt.Sprintf("%s and %d more", strings.Join(all[:7], ", "), len(all)-7)
	}
	return strings.Join(all, ", ")
}

// updateProgress keeps what others are told of it: now and then, and when it changes.
func (c *coordinator) updateProgress() {
	now := c.now()
	state := c.rollout.State() + c.rollout.Reason()
	if c.end == nil && now-c.lastProgress < memberPollInterval || state == c.lastState && now-c.lastProgress < progressInterval && c.end == nil {
		return
	}
	if state != c.lastState && c.end == nil {
		slog.Info("rollout: "+c.rollout.State(), "why", c.rollout.Reason())
	}
	c.lastProgress, c.lastState = now, state
	raw, err := json.Marshal(c.progress())
	if err == nil {
		err = c.log.Log.SetNote(raw)
	}
	if err != nil {
		slog.Warn("rollout: what it is at can't be told", "err", err)
	}
}

func (c *coordinator) progress() Progress {
	p := Progress{StartedAt: c.change.StartedAt, UpdatedAt: time.Now(), Kind: c.change.Kind, State: c.rollout.State(), Reason: c.rollout.Reason(), RollbackCause: c.rollout.RollbackCause(), Epoch: c.rollout.Epoch(), Members: c.memberStates()}
	p.Phase, p.Phases = c.rollout.Phase()
	p.Stage, p.Stages = c.rollout.Stage()
	if c.verdict.Reason != "" {
		p.Verdict, p.VerdictReason = c.verdict.Kind.String(), c.verdict.Reason
	}
	for _, m := range c.verdict.Measures {
		p.Measures = append(p.Measures, MeasureResult{m.Name, finiteOrNil(m.Old), finiteOrNil(m.New), finiteOrNil(m.Low), finiteOrNil(m.High), m.Margin, m.IsWorse, m.IsEnough})
	}
	return p
}

func finiteOrNil(v float64) *float64 {
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return nil
	}
	return &v
}

// memberStates are where the members are.
func (c *coordinator) memberStates() []MemberState {
	all := make([]MemberState, len(c.clients))
	for i, m := range c.change.Plan.Members {
		all[i] = MemberState{m.Name, c.rollout.MemberState(i, c.isCommanded[i]), c.rollout.Version(i)}
	}
	return all
}
