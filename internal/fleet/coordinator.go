package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"log/slog"
	mrand "math/rand/v2"
	"time"

	"lockflow/internal/canary"
	"lockflow/internal/manage"
	"lockflow/internal/rollout"
)

const (
	memberPollInterval = 250 * time.Millisecond // of each member
	evaluationInterval = time.Second            // at most between two readings of the judge
	progressInterval   = 2 * time.Second        // at most between two stored progress reports
	maxConcurrentCalls = 64                     // to members
)

// Events that may wait for the coordinator: some for each member, and a reserve.
const (
	eventsPerMember = 4
	reservedEvents  = 16
)

const (
	maxWarmUp = 30 * time.Second // of a process that a stage has started
	maxOnset  = time.Minute      // in which harm to unchanged members shows
)

// RolloutOptions are the options of RunRollout.
type RolloutOptions struct {
	Judge    Judge     // compares members; nil is a canary.Judge by the plan
	Progress io.Writer // gets a line for each decision; nil is none
	Resume   bool      // resumes the log's unfinished change
	RollBack bool      // with Resume: rolls the change back
}

// Outcome is how a coordinator ended.
type Outcome struct {
	Result       rollout.Result
	Reason       string
	HasCommanded bool // a member was sent a command
	Members      []MemberState
}

// coordinator runs one rollout: it feeds events to the state machine and executes its actions. One goroutine uses it;
// calls to members run in goroutines of their own and report through events.
type coordinator struct {
	change         *Change
	log            *RolloutLog
	rollout        *rollout.Rollout
	options        RolloutOptions
	judge          Judge
	startedAt      time.Time     // the zero of all durations below
	commandTimeout time.Duration // of a command's call

	events    chan any      // rollout.Event or statusReply
	callSlots chan struct{} // one for each running call

	// By index in the plan's members.
	clients     []manage.Client
	isPolling   []bool           // a status is awaited
	lastStatus  []*manage.Status // nil is no reply
	isCommanded []bool           // a command to change was sent

	programHashes programHashes
	verdict       canary.Verdict // of the stage; the zero value is none
	lastEvaluated time.Duration
	lastProgress  time.Duration // when progress was stored
	lastState     string        // state and reason that were stored
	end           *rollout.End  // nil until the rollout has ended
}

// RunRollout runs the change of a log as its coordinator, until it has ended. Once ctx is done nothing else is begun,
// and the change can be resumed after the commands that run have ended. The error is one of a change that can't be
// started or resumed; how a rollout ended is its Outcome.
func RunRollout(ctx context.Context, log *RolloutLog, options RolloutOptions) (Outcome, error) {
	c, err := newCoordinator(log, options)
	if err != nil {
		return Outcome{}, err
	}
	return c.run(ctx), nil
}

func newCoordinator(log *RolloutLog, options RolloutOptions) (*coordinator, error) {
	if log.Change == nil {
		return nil, errNoChange
	}
	state, err := newRollout(log, options)
	if err != nil {
		return nil, err
	}
	plan := state.Plan()
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	members := len(log.Change.Sockets)
	c := &coordinator{
		change:         log.Change,
		log:            log,
		rollout:        state,
		options:        options,
		judge:          options.Judge,
		startedAt:      time.Now(),
		commandTimeout: plan.MemberTimeout * 2 / 3,
		events:         make(chan any, eventsPerMember*members+reservedEvents),
		callSlots:      make(chan struct{}, maxConcurrentCalls),
		isPolling:      make([]bool, members),
		lastStatus:     make([]*manage.Status, members),
		isCommanded:    make([]bool, members),
		programHashes:  make(programHashes),
	}
	for _, socket := range log.Change.Sockets {
		c.clients = append(c.clients, manage.Client{Path: socket})
	}
	if c.judge == nil {
		c.judge = newJudge(plan, state.StageSizes())
	}
	return c, nil
}

// newRollout returns the state machine of the log's change, with a random name as its owner.
func newRollout(log *RolloutLog, options RolloutOptions) (*rollout.Rollout, error) {
	var id [8]byte
	rand.Read(id[:])
	owner := hex.EncodeToString(id[:])
	rng := mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64()))
	if options.Resume {
		return rollout.Resume(log.Change.Plan, owner, rng, log.Entries, options.RollBack)
	}
	return rollout.New(log.Change.Plan, owner, rng)
}

// now returns the time since the coordinator started.
func (c *coordinator) now() time.Duration { return time.Since(c.startedAt) }

// run handles events until the rollout has ended.
func (c *coordinator) run(ctx context.Context) Outcome {
	ticker := time.NewTicker(memberPollInterval)
	defer ticker.Stop()
	stop := ctx.Done()
	c.pollMembers(ctx)
	for c.end == nil {
		select {
		case <-ticker.C:
			c.pollMembers(ctx)
			c.evaluate()
			c.handle(ctx, rollout.Tick{})
		case event := <-c.events:
			if reply, ok := event.(statusReply); ok {
				event = c.handleStatus(reply)
			}
			c.handle(ctx, event.(rollout.Event))
		case <-stop:
			stop = nil
			c.handle(ctx, rollout.Stop{Cause: context.Cause(ctx).Error()})
		}
		c.updateProgress()
	}
	c.updateProgress()
	return Outcome{
		Result:       c.end.Result,
		Reason:       c.end.Reason,
		HasCommanded: c.rollout.HasCommanded(),
		Members:      c.memberStates(),
	}
}

// handle has the state machine handle an event, and executes its actions. A Tick also judges a stage that bakes.
func (c *coordinator) handle(ctx context.Context, event rollout.Event) {
	if c.end != nil {
		return
	}
	c.execute(ctx, c.rollout.Handle(c.now(), event))
	if _, ok := event.(rollout.Tick); ok && c.end == nil && c.rollout.IsBaking() {
		c.verdict = c.judge.Verdict(c.now())
		judged := rollout.StageJudged{Verdict: rollout.Verdict(c.verdict.Kind), Reason: c.verdict.Reason}
		c.execute(ctx, c.rollout.Handle(c.now(), judged))
	}
}

// execute executes actions in order, up to a decision that can't be written.
func (c *coordinator) execute(ctx context.Context, actions []rollout.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case rollout.Write:
			if err := c.log.append(action.Entry); err != nil {
				c.failWrite(action.Entry.Kind, err)
				return
			}
			c.reportEntry(action.Entry)
		case rollout.Watch:
			c.verdict = canary.Verdict{}
			c.judge.Begin(c.now(), c.readings())
		case rollout.Claim:
			c.sendClaim(ctx, action)
		case rollout.Command:
			c.isCommanded[action.Member] = c.isCommanded[action.Member] || !action.IsRestart
			c.sendCommand(ctx, action)
		case rollout.End:
			c.end = &action
			return
		}
	}
}

// failWrite ends the rollout after a decision that could not be written.
func (c *coordinator) failWrite(kind rollout.EntryKind, err error) {
	slog.Error("rollout: log write failed, nothing more is done", "kind", kind, "err", err)
	for _, action := range c.rollout.Handle(c.now(), rollout.WriteFailed{Err: err}) {
		if end, ok := action.(rollout.End); ok {
			c.end = &end
		}
	}
}
