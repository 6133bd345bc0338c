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
	memberPollInterval = 250 * time.Millisecond // between status polls of a member
	evaluationInterval = time.Second            // upper bound of the time between readings given to the judge
	progressInterval   = 2 * time.Second        // upper bound of the time between stored progress reports
	maxConcurrentCalls = 64                     // calls to members that run at a time
)

// The event channel's buffer has eventsPerMember slots for each member and reservedEvents more.
const (
	eventsPerMember = 4
	reservedEvents  = 16
)

const (
	maxWarmUp = 30 * time.Second // of a process that a stage has started; its counts are not compared until then
	maxOnset  = time.Minute      // until harm that a change does to unchanged members becomes visible
)

// RolloutOptions are the options of RunRollout.
type RolloutOptions struct {
	Judge    Judge     // compares members; nil selects a canary.Judge configured by the plan
	Progress io.Writer // receives a line for each decision; nil discards them
	Resume   bool      // resume the log's unfinished change
	RollBack bool      // with Resume, roll the change back
}

// Outcome is the result of RunRollout.
type Outcome struct {
	Result       rollout.Result
	Reason       string
	HasCommanded bool // a command was sent to a member, by this coordinator or an earlier one
	Members      []MemberState
}

// coordinator runs one rollout: it feeds events to the state machine and executes its actions. It is used by one
// goroutine; calls to members run in their own goroutines and report through the events channel.
type coordinator struct {
	change         *Change
	log            *RolloutLog
	rollout        *rollout.Rollout
	options        RolloutOptions
	judge          Judge
	startedAt      time.Time     // origin of all times that are stored as durations
	commandTimeout time.Duration // of the call that sends a command and awaits its outcome

	events    chan any      // rollout.Event or statusReply
	callSlots chan struct{} // holds one element for each running call

	// Indexed by position in Plan.Members.
	clients     []manage.Client
	isPolling   []bool           // a status poll is outstanding
	lastStatus  []*manage.Status // nil if the last poll had no reply
	isCommanded []bool           // a command other than a control's restart was sent

	programHashes programHashes
	verdict       canary.Verdict // on the current stage; the zero value if there is none yet
	lastEvaluated time.Duration
	lastProgress  time.Duration // when progress was last stored
	lastState     string        // state and reason that were last stored
	end           *rollout.End  // nil until the rollout has ended
}

// RunRollout coordinates the change in a log until the rollout has ended. Once ctx is done it sends no further commands
// and returns when the running ones have ended; the change can be resumed later. The error reports a change that can't
// be started or resumed; a rollout that was started reports its result in Outcome.
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

// newRollout returns the state machine of the log's change, owned under a random name.
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

// handle passes an event to the state machine and executes the resulting actions. On a Tick during a bake it also
// passes the judge's verdict.
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

// execute executes actions in order. If a decision can't be written to the log, it ends the rollout and drops the
// remaining actions.
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

// failWrite ends the rollout because a decision could not be written to the log.
func (c *coordinator) failWrite(kind rollout.EntryKind, err error) {
	slog.Error("rollout: log write failed, rollout stopped", "kind", kind, "err", err)
	for _, action := range c.rollout.Handle(c.now(), rollout.WriteFailed{Err: err}) {
		if end, ok := action.(rollout.End); ok {
			c.end = &end
		}
	}
}
