package rollout

import "fmt"

// A rollback goes generation by generation, the members that changed last first, and makes as few members unavailable
// at once as the change did. It is not judged: what it leads to has served before.

// fail rolls the change back, for the first cause.
func (r *Rollout) fail(cause string) {
	if r.state != stateForward {
		return
	}
	r.rollbackCause = cause
	switch {
	case !r.hasCommanded:
		r.end(ResultRefused, cause+"; nothing was changed")
	case r.plan.DisableRollback:
		r.end(ResultStuck, cause+"; rollback is disabled")
	default:
		r.write(Entry{Kind: EntryRollback, Phase: r.phase, Reason: cause})
		r.startRollback()
	}
}

// startRollback starts the rollback under a new epoch: a command that still runs, or waits at a paused member, must
// not be done after it.
func (r *Rollout) startRollback() {
	for i := range r.members {
		r.members[i].dropCommand()
	}
	r.isRollbackWanted = true
	r.rollbackGeneration = r.phase - 1
	r.isRollbackPhaseStarted = false
	r.isWatching = false
	r.isBaking = false
	r.claimNewEpoch()
}

// rollBack executes the steps of the rollback to one generation that are possible now.
func (r *Rollout) rollBack() {
	if !r.isRollbackPhaseStarted {
		r.isRollbackPhaseStarted = true
		r.stepStartedAt = r.now
		r.waitsForCapacity = false
		r.resetCommandCounts()
		r.write(Entry{Kind: EntryRollbackPhase, Epoch: r.epoch, Generation: r.rollbackGeneration})
	}
	pending := r.pendingRollback()
	r.changeMembers(pending, r.rollbackGeneration, r.unavailableLimit(1))
	if len(pending) > 0 {
		r.reason = "rolls back " + joinNames(r.memberNames(pending)) + ": " + r.rollbackCause
		return
	}
	r.finishRollbackPhase()
}

// pendingRollback returns the members that have to be changed back, and abandons those that can't be.
func (r *Rollout) pendingRollback() []int {
	changed := r.phases[r.rollbackGeneration].members
	isLate := r.now-r.stepStartedAt > r.stepTimeout(len(changed))
	var pending []int
	for k := len(changed) - 1; k >= 0; k-- {
		i := changed[k]
		switch {
		case r.isRolledBack(i):
		case r.hasDrifted(i, r.rollbackGeneration) && !r.members[i].mayRunDroppedCommand:
			r.abandon(i, "it runs a version that no command gave it")
		case r.isLost(i):
			r.abandon(i, fmt.Sprintf("it did not come back, or did not answer, within %v", r.plan.MemberTimeout))
		case isLate:
			r.abandon(i, "it took too long")
		default:
			pending = append(pending, i)
		}
	}
	return pending
}

// isRolledBack reports whether a member needs no more change: it was abandoned, or runs the generation for certain.
func (r *Rollout) isRolledBack(i int) bool {
	m := &r.members[i]
	if m.isAbandoned {
		return true
	}
	isVersionCertain := m.isIdle() && (!m.mayRunDroppedCommand || r.plan.IsRestart)
	return isVersionCertain && r.runsGeneration(i, r.rollbackGeneration)
}

// finishRollbackPhase goes on to the generation before. With an abandoned member it ends instead: two neighbouring
// generations at most are in force.
func (r *Rollout) finishRollbackPhase() {
	var abandoned []int
	for i := range r.members {
		if r.members[i].isAbandoned {
			abandoned = append(abandoned, i)
		}
	}
	switch {
	case len(abandoned) > 0:
		r.end(ResultStuck, fmt.Sprintf("%s; not rolled back: %s; all others run what they ran before this phase",
			r.rollbackCause, joinNames(r.memberNames(abandoned))))
	case r.rollbackGeneration == 0:
		r.end(ResultRolledBack, r.rollbackCause)
	default:
		r.rollbackGeneration--
		r.isRollbackPhaseStarted = false
		r.rollBack()
	}
}

// abandon gives up rolling a member back: the operator has to look after it. While it serves it goes on serving.
func (r *Rollout) abandon(i int, reason string) {
	m := &r.members[i]
	m.isAbandoned = true
	m.command = nil
	m.isVersionUnconfirmed = false
	r.write(Entry{Kind: EntryAbandoned, Member: r.name(i), Generation: r.rollbackGeneration, Reason: reason})
}
