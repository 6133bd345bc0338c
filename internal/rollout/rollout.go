package rollout

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// state is what a coordinator does.
type state int

const (
	stateClaiming state = iota // claims an epoch
	stateForward               // changes members, stage by stage
	stateRollback              // changes them back, generation by generation
	stateEnded
)

// Rollout is one coordinator of one change. It is not safe for concurrent use.
type Rollout struct {
	plan    Plan
	phases  []phase
	rng     *rand.Rand
	members []member // by index in Plan.Members

	now       time.Duration // of the event that is handled
	actions   []Action      // that the event leads to so far
	isStarted bool          // an event was handled
	state     state
	stopCause string // of a Stop; "" is none
	reason    string // what it waits for, or why it ended
	result    Result // of the end

	owner               string // this coordinator's name
	epoch               uint64 // that it claims or owns; 0 before the first claim
	newestEpoch         uint64 // seen anywhere
	hasOwned            bool   // it has owned an epoch
	claimDeadline       time.Duration
	claimAttempts       int
	nextClaimAt         time.Duration // next attempt; 0 where one is running
	isMajorityIntact    bool          // a majority knew what they had granted when the epoch was chosen
	isRollbackWanted    bool          // roll back once the epoch is owned
	isRollbackUnwritten bool          // isRollbackWanted is not in the log yet

	hasCommanded  bool          // a command was sent, by this coordinator or one before it
	commandCount  int           // numbers the commands of this coordinator
	isPhaseKnown  bool          // phase was found by what the members run
	phase         int           // from 1: from generation 0 to 1
	stage         int           // index in the phase
	stepStartedAt time.Duration // of the stage, the phase of a rollback, or the ownership

	isWatching       bool // the stage has begun
	isBaking         bool // all of its members have changed
	bakeStartedAt    time.Duration
	judgment         StageJudged // while hasJudgment
	hasJudgment      bool        // since bakeStartedAt
	waitsForCapacity bool
	noCapacitySince  time.Duration // while waitsForCapacity

	rollbackCause          string
	rollbackGeneration     int // that members are changed back to
	isRollbackPhaseStarted bool
}

// New returns a coordinator that has not started. owner is its name, which no other coordinator may have. The error
// is that of Plan.Validate.
func New(plan Plan, owner string, rng *rand.Rand) (*Rollout, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	plan.setDefaults()
	phases, err := plan.buildPhases()
	if err != nil {
		return nil, err
	}
	r := &Rollout{plan: plan, phases: phases, rng: rng, members: make([]member, len(plan.Members)), owner: owner, phase: 1}
	for i := range r.members {
		r.members[i].load = -1
	}
	return r, nil
}

// Handle handles an event at the time now, which never decreases, and returns the actions to be done, in order. The
// last one ever is an End.
func (r *Rollout) Handle(now time.Duration, event Event) []Action {
	if r.state == stateEnded {
		return nil
	}
	r.now = now
	r.actions = nil
	r.start()
	switch event := event.(type) {
	case MemberStatus:
		r.handleMemberStatus(event)
	case ClaimReplied:
		r.handleClaimReplied(event)
	case CommandReplied:
		r.handleCommandReplied(event)
	case StageJudged:
		if r.isBaking {
			r.judgment = event
			r.hasJudgment = true
		}
	case Stop:
		if r.stopCause == "" {
			r.stopCause = event.Cause
		}
	case WriteFailed:
		r.actions = nil
		r.end(ResultStopped, fmt.Sprintf("a decision was not written to the rollout log, so nothing more is done: %v", event.Err))
		return r.actions
	}
	r.advance()
	return r.actions
}

// start starts the timeouts with the first event.
func (r *Rollout) start() {
	if r.isStarted {
		return
	}
	r.isStarted = true
	r.claimDeadline = r.now + r.claimTimeout()
	for i := range r.members {
		r.members[i].unavailableSince = r.now
	}
}

func (r *Rollout) isMember(i int) bool { return i >= 0 && i < len(r.members) }

func (r *Rollout) handleMemberStatus(status MemberStatus) {
	if !r.isMember(status.Member) {
		return
	}
	m := &r.members[status.Member]
	if m.isPolled && status.PolledAt < m.lastReplyAt {
		return
	}
	m.isPolled = true
	r.updateAvailability(m, &status)
	if status.Epoch == 0 && !status.IsServing && status.LossToken == "" {
		return // no answer
	}
	if status.LossToken != m.lossToken {
		m.lossToken = status.LossToken
		m.lossReadEpoch = r.epoch
	}
	r.newestEpoch = max(r.newestEpoch, status.Epoch)
	if r.state != stateClaiming && r.hasGrantedAnother(&status) {
		r.supersede(status.Member, status.Epoch)
		return
	}
	if m.hasGranted && (status.Epoch < r.epoch || status.LossToken != "") {
		m.hasGranted = false
		m.servingSince = r.now // it has lost its state
	}
}

func (r *Rollout) updateAvailability(m *member, status *MemberStatus) {
	if !status.IsServing {
		if m.isServing {
			m.unavailableSince = r.now
		}
		m.isServing = false
		return
	}
	if !m.isServing {
		m.servingSince = r.now
	}
	m.isServing = true
	m.version = status.Version
	m.load = status.Load
	// The version is not certain while a command runs, which may be another coordinator's.
	m.isVersionUnconfirmed = status.RunningCommand != "" && m.command == nil
}

// hasGrantedAnother reports whether a member has granted a newer epoch, or this one to another coordinator.
func (r *Rollout) hasGrantedAnother(status *MemberStatus) bool {
	if status.Epoch != r.epoch {
		return status.Epoch > r.epoch
	}
	return r.epoch > 0 && status.Owner != "" && status.Owner != r.owner
}

// advance executes the steps that are possible now.
func (r *Rollout) advance() {
	if r.state == stateEnded {
		return
	}
	if r.stopCause != "" {
		r.resendCommands()
		if !r.hasRunningCommand() {
			r.end(ResultStopped, r.stopCause)
		}
		return
	}
	switch r.state {
	case stateClaiming:
		r.claimOwnership()
	case stateForward:
		r.claimMembers()
		r.rollForward()
	case stateRollback:
		r.claimMembers()
		r.rollBack()
	}
	if r.state != stateEnded {
		r.resendCommands()
	}
}

func (r *Rollout) emit(action Action) { r.actions = append(r.actions, action) }
func (r *Rollout) write(entry Entry)  { r.emit(Write{entry}) }

func (r *Rollout) end(result Result, reason string) {
	r.write(Entry{Kind: EntryEnd, Outcome: string(result), Reason: reason, Epoch: r.epoch})
	r.emit(End{result, reason})
	r.state = stateEnded
	r.result = result
	r.reason = reason
}

// supersede ends the coordinator at once: one of a newer epoch decides.
func (r *Rollout) supersede(i int, epoch uint64) {
	r.end(ResultSuperseded, fmt.Sprintf("member %s has granted epoch %d to another coordinator: this one, of epoch %d, changes nothing more",
		r.name(i), epoch, r.epoch))
}

func (r *Rollout) name(i int) string { return r.plan.Members[i].Name }

// runsGeneration reports whether a member runs a generation, by its status.
func (r *Rollout) runsGeneration(i, generation int) bool {
	if r.plan.IsRestart && r.isRollbackWanted {
		return true
	}
	return r.members[i].version == r.plan.Members[i].Versions[generation]
}
