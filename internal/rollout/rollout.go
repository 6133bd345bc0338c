package rollout

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// command is one that a member owes an answer to, or that has to be asked for again.
type command struct {
	id          string
	generation  int
	isRestart   bool
	sentAt      time.Duration
	awaitsReply bool          // an answer is owed
	retryAt     time.Duration // when it is asked again
	isReplyLost bool          // an answer was lost: it may be done late
}

// member is what is known of one.
type member struct {
	isPolled          bool // has answered, or failed to, once at least
	isServing         bool
	version           string
	epoch             uint64
	lossToken         string // it has lost what it granted
	lossSeenEpoch     uint64 // the epoch when that was seen
	load              float64
	unavailableSince  time.Duration // since when it is not up
	lastReplyAt       time.Duration // when its last order was answered
	hasGranted        bool          // the epoch in force
	isClaiming        bool
	nextClaimAt       time.Duration
	command           *command
	commandCount      int           // orders for the generation wanted
	isUnsettled       bool          // it has been ordered or has granted the epoch, and has not been seen at rest since
	mayHaveCopies     bool          // an order was asked for more than once, or given up, in this epoch
	isRestartDropped  bool          // a restart was given up: it has its place still
	slotReservedUntil time.Duration // until when
	isSuspect         bool          // an order given up may be done late: what it runs now says nothing until it has done another
	servingSince      time.Duration
	isAbandoned       bool // could not be taken back
	isControl         bool // started again beside the canaries of this stage
	isPlannedControl  bool // is to be such a control
}

// state is what a coordinator is at.
type state int

const (
	stateClaiming state = iota // claims an epoch
	stateForward
	stateRollback
	stateEnded
)

// Rollout is one coordinator of one change. It is not safe for concurrent use.
type Rollout struct {
	plan    Plan
	phases  []phase
	rng     *rand.Rand
	members []member
	actions []Action
	now     time.Duration

	state               state
	startedAt           time.Duration // first event
	isStarted           bool
	isRollbackUnwritten bool // toBack is not written yet
	isRollbackWanted    bool // once the epoch is owned, all is taken back
	epoch               uint64
	owner               string
	newestEpoch         uint64 // epoch seen anywhere
	hasOwned            bool   // has owned an epoch once
	claimAttempts       int
	nextClaimAt         time.Duration // next try; 0 is under way
	isMajorityIntact    bool          // more than half of all knew what they had granted when the epoch was chosen
	claimDeadline       time.Duration // until when it has to own
	commandCount        int           // of orders

	isPhaseKnown           bool // the phase is known by what the members run
	phase                  int  // 1 is the first: from generation 0 to 1
	stage                  int  // index in the phase
	isWatching             bool
	stepStartedAt          time.Duration // of the stage, or of the sweep
	isBaking               bool
	bakeStartedAt          time.Duration // since when
	judgment               StageJudged
	hasJudgment            bool          // since baking
	noCapacitySince        time.Duration // since when there is none, while waits
	waitsForCapacity       bool
	rollbackGeneration     int // that a sweep takes back to
	isRollbackPhaseStarted bool
	rollbackCause          string
	stopCause              string
	hasCommanded           bool // something was ordered, by this coordinator or the ones before it
	reason                 string
	result                 Result
}

// New makes one that has not begun. owner is this coordinator's own name, unlike any other's.
func New(p Plan, owner string, rng *rand.Rand) (*Rollout, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	p.setDefaults()
	phases, err := p.layout()
	if err != nil {
		return nil, err
	}
	r := &Rollout{plan: p, phases: phases, rng: rng, members: make([]member, len(p.Members)), owner: owner, phase: 1}
	for i := range r.members {
		r.members[i].load = -1
	}
	return r, nil
}

// Handle takes an event and returns what is to be done, in order.
func (r *Rollout) Handle(now time.Duration, e Event) []Action {
	if r.state == stateEnded {
		return nil
	}
	r.now, r.actions = now, nil
	if !r.isStarted {
		r.isStarted, r.startedAt, r.claimDeadline = true, now, now+2*r.plan.MemberTimeout
		for i := range r.members {
			r.members[i].unavailableSince = now
		}
	}
	switch e := e.(type) {
	case MemberStatus:
		r.handleMemberStatus(e)
	case ClaimReplied:
		r.handleClaimReplied(e)
	case CommandReplied:
		r.handleCommandReplied(e)
	case StageJudged:
		if r.isBaking {
			r.judgment, r.hasJudgment = e, true
		}
	case Stop:
		if r.stopCause == "" {
			r.stopCause = e.Cause
		}
	case WriteFailed:
		r.actions = nil
		r.end(ResultStopped, fmt.Sprintf("what is decided can't be kept, so nothing is done: %v", e.Err))
		return r.actions
	}
	r.advance()
	return r.actions
}

func (k Verdict) String() string {
	return [...]string{"wait", "pass", "worse", "no evidence"}[k]
}

func (r *Rollout) isMember(i int) bool { return i >= 0 && i < len(r.members) }

func (r *Rollout) handleMemberStatus(e MemberStatus) {
	if !r.isMember(e.Member) {
		return
	}
	m := &r.members[e.Member]
	if m.isPolled && e.PolledAt < m.lastReplyAt {
		return // from before the change that it has answered since
	}
	m.isPolled = true
	if !e.IsServing {
		if m.isServing {
			m.unavailableSince = r.now
		}
		m.isServing = false
	} else {
		if !m.isServing {
			m.servingSince = r.now
		}
		m.isServing, m.version, m.load = true, e.Version, e.Load
		// One that is still at an order, also another coordinator's, does not say what it will run.
		m.isUnsettled = e.RunningCommand != "" && m.command == nil
	}
	if e.Epoch == 0 && !e.IsServing && e.LossToken == "" {
		return
	}
	m.epoch = e.Epoch
	if e.LossToken != m.lossToken {
		m.lossToken, m.lossSeenEpoch = e.LossToken, r.epoch
	}
	r.newestEpoch = max(r.newestEpoch, e.Epoch)
	other := e.Epoch > r.epoch || e.Epoch == r.epoch && r.epoch > 0 && e.Owner != "" && e.Owner != r.owner
	if other && r.state != stateClaiming {
		r.supersede(e.Member, e.Epoch)
		return
	}
	if m.hasGranted && (e.Epoch < r.epoch || e.LossToken != "") {
		m.hasGranted, m.servingSince = false, r.now // it has lost its memory
	}
}

// advance does what may be done now.
func (r *Rollout) advance() {
	if r.state == stateEnded {
		return
	}
	if r.stopCause != "" {
		if r.resendCommands(); r.state != stateEnded && !r.hasRunningCommand() {
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

// hasRunningCommand tells whether an order may still be at work.
func (r *Rollout) hasRunningCommand() bool {
	for i := range r.members {
		if o := r.members[i].command; o != nil && (o.awaitsReply || r.now-o.sentAt < r.plan.MemberTimeout) {
			return true
		}
	}
	return false
}

func (r *Rollout) emit(a Action) { r.actions = append(r.actions, a) }
func (r *Rollout) write(e Entry) { r.emit(Write{e}) }

func (r *Rollout) end(result Result, why string) {
	r.write(Entry{Kind: EntryEnd, Outcome: string(result), Reason: why, Epoch: r.epoch})
	r.emit(End{result, why})
	r.state, r.result, r.reason = stateEnded, result, why
}

// supersede ends it at once: a newer coordinator decides.
func (r *Rollout) supersede(i int, epoch uint64) {
	r.end(ResultSuperseded, fmt.Sprintf("member %s has granted epoch %d to another coordinator: this one, of epoch %d, changes nothing more",
		r.plan.Members[i].Name, epoch, r.epoch))
}

// runsGeneration tells whether a member runs a generation, by what it says.
func (r *Rollout) runsGeneration(i, gen int) bool {
	if r.plan.IsRestart && r.isRollbackWanted {
		return true
	}
	return r.members[i].version == r.plan.Members[i].Versions[gen]
}

// sendCommand orders a member.
func (r *Rollout) sendCommand(i, gen int, restart bool) {
	m := &r.members[i]
	r.commandCount++
	m.command = &command{id: fmt.Sprintf("%d/%d", r.epoch, r.commandCount), generation: gen, isRestart: restart, sentAt: r.now, awaitsReply: true}
	if !restart {
		m.commandCount++
	}
	r.hasCommanded = true
	r.write(Entry{Kind: EntryOrder, Epoch: r.epoch, Phase: r.phase, Stage: r.stage + 1, Member: r.plan.Members[i].Name, ID: m.command.id, Generation: gen, IsRestart: restart})
	r.emit(r.commandAction(i))
}

func (r *Rollout) commandAction(i int) Command {
	o := r.members[i].command
	return Command{Member: i, ID: o.id, Epoch: r.epoch, Owner: r.owner, Generation: o.generation, IsRestart: o.isRestart}
}

// resendCommands asks for answers that were lost, under the same id: the member does it once.
func (r *Rollout) resendCommands() {
	for i := range r.members {
		if m := &r.members[i]; m.command != nil && !m.command.awaitsReply && m.hasGranted && r.now >= m.command.retryAt {
			m.command.awaitsReply = true
			r.emit(r.commandAction(i))
		}
	}
}

func (r *Rollout) handleCommandReplied(e CommandReplied) {
	if !r.isMember(e.Member) || r.members[e.Member].command == nil || r.members[e.Member].command.id != e.ID || e.Epoch != r.epoch {
		return // of an epoch that this coordinator has given up itself
	}
	m := &r.members[e.Member]
	m.command.awaitsReply = false
	name := r.plan.Members[e.Member].Name
	switch e.Reply {
	case ReplyUngranted:
		m.hasGranted, m.servingSince = false, r.now
		m.command.isReplyLost, m.command.retryAt, m.mayHaveCopies = true, r.now, true
		return
	case ReplyUnknown:
		m.command.isReplyLost, m.command.retryAt, m.mayHaveCopies = true, r.now+retryInterval, true
		return
	case ReplyStale:
		r.supersede(e.Member, max(r.newestEpoch, r.epoch))
		return
	}
	outcome, why := outcomeDone, ""
	if e.Reply != ReplyOK {
		outcome, why = outcomeFailed, fmt.Sprint(e.Err)
	}
	r.write(Entry{Kind: EntryOutcome, Member: name, ID: e.ID, Outcome: outcome, Reason: why})
	o := m.command
	m.command, m.lastReplyAt, m.isUnsettled = nil, r.now, e.Reply == ReplyOK
	m.isSuspect = m.isSuspect && e.Reply != ReplyOK
	switch {
	case e.Reply == ReplyOK && o.isRestart:
		m.isControl, m.isPlannedControl = true, false
	case o.isRestart: // the change has no part in it
		m.isPlannedControl = false
	case e.Reply != ReplyOK && r.state == stateRollback:
		r.abandon(e.Member, "its taking back failed: "+why)
	case e.Reply != ReplyOK:
		r.fail(fmt.Sprintf("member %s: %s", name, why))
	}
}

// isLost tells whether a member that something is wanted of has been away, or silent, for too long.
func (r *Rollout) isLost(i int) bool {
	m := &r.members[i]
	if m.command != nil {
		return !m.command.awaitsReply && m.command.isReplyLost && r.now-m.command.sentAt >= r.plan.MemberTimeout
	}
	if m.isServing {
		return !m.hasGranted && r.now-max(m.servingSince, r.stepStartedAt) >= r.plan.MemberTimeout
	}
	return r.now-max(m.unavailableSince, r.stepStartedAt) >= r.plan.MemberTimeout
}

// Phase and Stage are what it is at, from 1, and how many there are.
func (r *Rollout) Phase() (at, of int) { return r.phase, len(r.phases) }

// Stage tells which stage of the phase it is at, from 1, of how many.
func (r *Rollout) Stage() (at, of int) {
	of = len(r.phases[r.phase-1].stages)
	return min(r.stage+1, of), of
}

// Side tells how the judge is to see a member: changed, an old one started again beside those, or old.
func (r *Rollout) Side(i int) (changed, control bool) {
	if r.state != stateForward {
		return false, false
	}
	g := r.plan.Members[i].Versions
	changed = g[r.phase] != g[r.phase-1] && r.members[i].version == g[r.phase]
	return changed, !changed && r.members[i].isControl
}

// IsWatching tells whether a stage is watched by the judge, and Baking whether it waits for the verdict.
func (r *Rollout) IsWatching() bool { return r.state == stateForward && r.isWatching }

// IsBaking tells whether all of a stage have changed, so that the verdict counts.
func (r *Rollout) IsBaking() bool { return r.state == stateForward && r.isBaking }

// Reason tells what it waits for, or why it ended.
func (r *Rollout) Reason() string { return r.reason }

// State names what it is at.
func (r *Rollout) State() string {
	switch {
	case r.state == stateClaiming:
		return "claiming"
	case r.state == stateRollback:
		return "taking back"
	case r.state == stateEnded:
		return string(r.result)
	case r.isBaking:
		return "watching"
	}
	return "changing"
}

// Epoch is the coordinator's ownership; 0 before it has claimed any.
func (r *Rollout) Epoch() uint64 { return r.epoch }

// RollbackCause is why all is taken back.
func (r *Rollout) RollbackCause() string { return r.rollbackCause }

// HasCommanded tells whether any member was ordered, by this coordinator or one before it.
func (r *Rollout) HasCommanded() bool { return r.hasCommanded }

// Plan is the plan with its defaults filled in.
func (r *Rollout) Plan() Plan { return r.plan }

// StageSizes are the stages' numbers of members, by phase.
func (r *Rollout) StageSizes() [][]int {
	all := make([][]int, len(r.phases))
	for i, p := range r.phases {
		for _, s := range p.stages {
			all[i] = append(all[i], len(s))
		}
	}
	return all
}

// Version is what a member said last that it runs.
func (r *Rollout) Version(i int) string { return r.members[i].version }

// MemberState names where a member is; ordered tells whether it was ever ordered to change.
func (r *Rollout) MemberState(i int, ordered bool) string {
	m, g := &r.members[i], r.plan.Members[i].Versions
	switch {
	case m.isAbandoned:
		return "not taken back"
	case m.command != nil && !m.command.isRestart:
		return "changing"
	case m.version == g[len(g)-1]:
		return "changed"
	case m.version == g[0] && ordered:
		return "taken back"
	case m.version == g[0]:
		return "untouched"
	case m.version == "":
		return "away"
	}
	return "between"
}
