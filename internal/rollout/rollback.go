package rollout

import (
	"fmt"
	"time"
)

// Taking back goes generation by generation, the last changed first, inside the same bounds. It is not
// judged: what it leads to has served before.

// fail takes the change back, for the first cause that there is.
func (r *Rollout) fail(cause string) {
	if r.state != stateForward {
		return
	}
	r.rollbackCause = cause
	switch {
	case !r.hasCommanded:
		r.end(ResultRefused, cause+"; nothing was changed")
	case r.plan.DisableRollback:
		r.end(ResultStuck, cause+"; it is left so, as was wanted")
	default:
		r.write(Entry{Kind: EntryRollback, Phase: r.phase, Reason: cause})
		r.startRollback()
	}
}

// startRollback begins the taking back, under a new epoch: an order that is still under way, or lies at a member
// that is paused, must not be done after it.
func (r *Rollout) startRollback() {
	for i := range r.members {
		m := &r.members[i]
		if m.command != nil {
			m.isSuspect, m.isRestartDropped = m.isSuspect || !m.command.isRestart, m.command.isRestart
		}
		m.command = nil
	}
	r.isRollbackWanted, r.rollbackGeneration, r.isRollbackPhaseStarted = true, r.phase-1, false
	r.isWatching, r.isBaking = false, false
	r.claimNewEpoch()
}

// rollBack takes the sweep further.
func (r *Rollout) rollBack() {
	if !r.isRollbackPhaseStarted {
		r.isRollbackPhaseStarted, r.stepStartedAt, r.waitsForCapacity = true, r.now, false
		for i := range r.members {
			r.members[i].commandCount = 0
		}
		r.write(Entry{Kind: EntryRollbackPhase, Epoch: r.epoch, Generation: r.rollbackGeneration})
	}
	seq := r.phases[r.rollbackGeneration].members
	late := r.now-r.stepStartedAt > r.plan.MemberTimeout*time.Duration(4+2*len(seq))
	var need []int
	for k := len(seq) - 1; k >= 0; k-- {
		i := seq[k]
		m := &r.members[i]
		if m.isAbandoned || r.runsGeneration(i, r.rollbackGeneration) && m.command == nil && !m.isUnsettled && (!m.isSuspect || r.plan.IsRestart) {
			continue
		}
		switch {
		case r.hasDrifted(i, r.rollbackGeneration) && !m.isSuspect:
			r.abandon(i, "it runs what nobody ordered")
		case r.isLost(i):
			r.abandon(i, fmt.Sprintf("it did not come back, or did not answer, within %v", r.plan.MemberTimeout))
		case late:
			r.abandon(i, "it took too long")
		default:
			need = append(need, i)
		}
	}
	r.changeMembers(need, r.rollbackGeneration, r.unavailableLimit(1))
	if len(need) > 0 {
		r.reason = "takes back " + joinNames(r.memberNames(need)) + ": " + r.rollbackCause
		return
	}
	var left []int
	for i := range r.members {
		if r.members[i].isAbandoned {
			left = append(left, i)
		}
	}
	switch {
	case len(left) > 0: // also no further: two neighbouring generations at most
		r.end(ResultStuck, fmt.Sprintf("%s; not taken back: %s; all others run what they ran before this phase", r.rollbackCause, joinNames(r.memberNames(left))))
	case r.rollbackGeneration == 0:
		r.end(ResultRolledBack, r.rollbackCause)
	default:
		r.rollbackGeneration--
		r.isRollbackPhaseStarted = false
		r.rollBack()
	}
}

// abandon gives a member up: the owner has to look after it. What serves goes on serving.
func (r *Rollout) abandon(i int, why string) {
	m := &r.members[i]
	m.isAbandoned, m.command, m.isUnsettled = true, nil, false
	r.write(Entry{Kind: EntryAbandoned, Member: r.plan.Members[i].Name, Generation: r.rollbackGeneration, Reason: why})
}
