package rollout

import (
	"fmt"
	"strings"
	"time"
)

// maxControls bounds the old members that start again beside a stage.
const maxControls = 3

// locatePhase finds the phase by what the members run. It tells whether that is known.
func (r *Rollout) locatePhase() bool {
	if r.isPhaseKnown {
		return true
	}
	for i := range r.members {
		if m := &r.members[i]; !m.isServing || !m.hasGranted || m.isUnsettled {
			if r.isLost(i) || r.now-r.stepStartedAt > 2*r.plan.MemberTimeout {
				r.endUnowned(fmt.Sprintf("member %s does not serve, or is at something else", r.plan.Members[i].Name))
				return false
			}
			r.reason = fmt.Sprintf("waits for member %s", r.plan.Members[i].Name)
			return false
		}
	}
	all := func(fits func(i int) bool) bool {
		for i := range r.members {
			if !fits(i) {
				return false
			}
		}
		return true
	}
	last := len(r.phases)
	if all(func(i int) bool { return r.runsGeneration(i, last) }) {
		r.end(ResultDone, "every member runs it already")
		return false
	}
	for p := 1; p <= last; p++ {
		if all(func(i int) bool { return r.runsGeneration(i, p-1) || r.runsGeneration(i, p) }) {
			r.phase, r.isPhaseKnown = p, true
			return true
		}
	}
	r.endOnDrift(0)
	return false
}

// endOnDrift tells of a member that runs what was not checked. It looks at generations gen and gen+1.
func (r *Rollout) endOnDrift(gen int) bool {
	for i := range r.members {
		if m := &r.members[i]; r.hasDrifted(i, gen) {
			why := fmt.Sprintf("member %s runs %.12s, which is not what was checked", r.plan.Members[i].Name, m.version)
			if !r.hasCommanded {
				r.end(ResultRefused, why+"; nothing was changed")
				return true
			}
			r.fail(why)
			return true
		}
	}
	return false
}

func (r *Rollout) hasDrifted(i, gen int) bool {
	m := &r.members[i]
	return m.isServing && m.command == nil && !m.isUnsettled && !r.runsGeneration(i, gen) && !r.runsGeneration(i, gen+1)
}

// rollForward takes the change further.
func (r *Rollout) rollForward() {
	if !r.locatePhase() || r.endOnDrift(r.phase-1) {
		return
	}
	p := &r.phases[r.phase-1]
	if r.stage >= len(p.stages) {
		r.nextPhase()
		return
	}
	if !r.isWatching {
		r.beginStage(p)
	}
	var need []int // members that are to change, or to come back
	for _, s := range p.stages[:r.stage+1] {
		for _, i := range s {
			if m := &r.members[i]; !r.runsGeneration(i, r.phase) || !m.isServing || m.command != nil || m.isUnsettled || m.isSuspect {
				need = append(need, i)
			}
		}
	}
	for _, i := range need {
		if r.isLost(i) {
			r.fail(fmt.Sprintf("member %s did not come back, or did not answer, within %v", r.plan.Members[i].Name, r.plan.MemberTimeout))
			return
		}
	}
	if !r.isBaking && r.now-r.stepStartedAt > r.plan.MemberTimeout*time.Duration(4+2*len(p.stages[r.stage])) {
		r.fail(fmt.Sprintf("stage %d was not changed within %v", r.stage+1, r.now-r.stepStartedAt))
		return
	}
	if !r.changeMembers(need, r.phase, r.unavailableLimit(0)) {
		return
	}
	controls := r.restartControls()
	switch {
	case r.state != stateForward: // it claims a new epoch
	case r.isBaking:
		r.evaluateStage(len(need) == 0)
	case len(need) == 0 && !controls:
		r.isBaking, r.bakeStartedAt, r.hasJudgment, r.judgment = true, r.now, false, StageJudged{}
		r.write(Entry{Kind: EntryBake, Phase: r.phase, Stage: r.stage + 1})
		r.reason = "is watched"
	}
}

func (r *Rollout) beginStage(p *phase) {
	r.isWatching, r.isBaking, r.stepStartedAt, r.waitsForCapacity = true, false, r.now, false
	for i := range r.members {
		r.members[i].isControl, r.members[i].isPlannedControl = false, false
	}
	e := Entry{Kind: EntryStage, Epoch: r.epoch, Phase: r.phase, Stage: r.stage + 1, Members: r.memberNames(p.stages[r.stage])}
	if r.plan.HasControls {
		var later []int
		for _, s := range p.stages[r.stage+1:] {
			later = append(later, s...)
		}
		for _, i := range later {
			if len(e.Controls) < min(maxControls, len(p.stages[r.stage])) && r.members[i].isServing && r.runsGeneration(i, r.phase-1) {
				r.members[i].isPlannedControl = true
				e.Controls = append(e.Controls, r.plan.Members[i].Name)
			}
		}
	}
	r.write(e)
	r.emit(Watch{r.phase, r.stage + 1})
}

func (r *Rollout) memberNames(of []int) []string {
	all := make([]string, len(of))
	for k, i := range of {
		all[k] = r.plan.Members[i].Name
	}
	return all
}

// changeMembers orders members to run a generation, as many as the bound lets. False: it can't go on so.
func (r *Rollout) changeMembers(need []int, gen, bound int) bool {
	if len(need) > 0 {
		r.reason = "changes " + joinNames(r.memberNames(need))
	}
	waits := false
	for _, i := range need {
		m := &r.members[i]
		if !m.isServing || !m.hasGranted || m.command != nil || m.isUnsettled {
			continue
		}
		if m.commandCount >= maxCommandsPerGeneration {
			why := fmt.Sprintf("member %s was given it %d times and runs something else", r.plan.Members[i].Name, m.commandCount)
			if r.state == stateRollback {
				r.abandon(i, why)
				continue
			}
			r.fail(why)
			return false
		}
		if !m.isSuspect && r.unavailableCount(i) >= bound { // a suspect has its place already
			waits = bound == 0
			break
		}
		if r.fence(i) {
			return false
		}
		r.sendCommand(i, gen, false)
	}
	if !waits {
		r.waitsForCapacity = false
		return true
	}
	if !r.waitsForCapacity {
		r.waitsForCapacity, r.noCapacitySince = true, r.now
	}
	r.reason = "waits: the others have no room for a member's work"
	if r.now-r.noCapacitySince >= r.plan.MaxBake {
		r.fail(fmt.Sprintf("the others had no room for a member's work for %v", r.plan.MaxBake))
		return false
	}
	return true
}

func joinNames(names []string) string {
	if len(names) > 5 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:4], ", "), len(names)-4)
	}
	return strings.Join(names, ", ")
}

// restartControls starts old members again beside the stage, and tells whether one is still to be waited for.
// Where one can't, the stage goes on without it.
func (r *Rollout) restartControls() (wait bool) {
	bound := r.unavailableLimit(0)
	for i := range r.members {
		m := &r.members[i]
		switch {
		case m.command != nil && m.command.isRestart && r.isLost(i):
			m.command, m.isPlannedControl, m.slotReservedUntil = nil, false, r.now+r.plan.MemberTimeout // done late it does no more than that
		case m.command != nil && m.command.isRestart || m.isControl && m.isUnsettled:
			wait = true
		case !m.isPlannedControl:
		case r.now-r.stepStartedAt >= 2*r.plan.MemberTimeout || !m.isServing && r.isLost(i):
			m.isPlannedControl = false
		case m.isServing && m.hasGranted && m.command == nil && r.unavailableCount(i) < bound:
			if r.fence(i) {
				return true
			}
			r.sendCommand(i, r.phase-1, true)
			wait = true
		default:
			wait = true
		}
	}
	return wait
}

// unavailableCount counts members that change or don't serve, but for one. While all is taken back those that don't
// serve are not waited for: they may be what the change has broken.
func (r *Rollout) unavailableCount(except int) (n int) {
	for i := range r.members {
		m := &r.members[i]
		if i != except && !m.isAbandoned && (m.command != nil || m.isUnsettled || m.isSuspect || r.now < m.slotReservedUntil || !m.isServing && r.state == stateForward) {
			n++
		}
	}
	return n
}

// unavailableLimit is how many members may be away at once: by the plan, and none more than one where the others are
// full. Changing hands a member's work over, so that one at a time is always borne while there is any room.
func (r *Rollout) unavailableLimit(minimum int) int {
	sum, known, up := 0.0, 0, 0
	for i := range r.members {
		m := &r.members[i]
		if !m.isServing {
			continue
		}
		up++
		if m.load >= 0 {
			sum, known = sum+m.load, known+1
		}
	}
	if known == 0 {
		return r.plan.MaxUnavailable
	}
	mean := sum / float64(known)
	capacity := int(float64(up) * (1 - mean/maxUtilization))
	if mean < maxUtilization {
		capacity = max(capacity, 1)
	}
	return min(max(capacity, minimum), r.plan.MaxUnavailable)
}

// evaluateStage goes by the verdict of a stage that has changed.
func (r *Rollout) evaluateStage(well bool) {
	baked := r.now - r.bakeStartedAt
	next := func(why string) {
		r.write(Entry{Kind: EntryVerdict, Phase: r.phase, Stage: r.stage + 1, Outcome: VerdictPass.String(), Reason: why})
		r.stage++
		r.isWatching, r.isBaking = false, false
		r.rollForward()
	}
	if r.hasJudgment && r.judgment.Verdict == VerdictWorse {
		r.write(Entry{Kind: EntryVerdict, Phase: r.phase, Stage: r.stage + 1, Outcome: VerdictWorse.String(), Reason: r.judgment.Reason})
		r.fail(fmt.Sprintf("stage %d does worse: %s", r.stage+1, r.judgment.Reason))
		return
	}
	if baked < r.plan.MinBake || !well || !r.hasJudgment {
		r.reason = fmt.Sprintf("is watched for %v at least", r.plan.MinBake)
		if baked >= r.plan.MaxBake+r.plan.MemberTimeout {
			r.fail(fmt.Sprintf("stage %d did not stay well for %v", r.stage+1, r.plan.MinBake))
		}
		return
	}
	switch {
	case r.judgment.Verdict == VerdictPass:
		next(r.judgment.Reason)
	case r.plan.ReadinessSuffices:
		next("not judged, only ready: " + r.judgment.Reason)
	case r.judgment.Verdict == VerdictNoEvidence || baked >= r.plan.MaxBake:
		r.fail(fmt.Sprintf("stage %d has shown too little in %v, and no evidence is no pass: %s", r.stage+1, baked, r.judgment.Reason))
	default:
		r.reason = "is watched: " + r.judgment.Reason
	}
}

// nextPhase begins the next phase once every member runs this one's end.
func (r *Rollout) nextPhase() {
	for i := range r.members {
		m := &r.members[i]
		if m.isServing && r.runsGeneration(i, r.phase) && m.command == nil && !m.isUnsettled {
			continue
		}
		r.reason = fmt.Sprintf("waits for member %s", r.plan.Members[i].Name)
		if r.isLost(i) {
			r.fail(fmt.Sprintf("member %s did not come back within %v", r.plan.Members[i].Name, r.plan.MemberTimeout))
		} else if m.isServing && !r.runsGeneration(i, r.phase) && m.command == nil && !m.isUnsettled {
			r.stage = len(r.phases[r.phase-1].stages) - 1 // it has lost it: changed and watched again
		}
		return
	}
	if r.phase == len(r.phases) {
		r.end(ResultDone, fmt.Sprintf("%d members changed", len(r.members)))
		return
	}
	r.phase, r.stage, r.stepStartedAt = r.phase+1, 0, r.now
	for i := range r.members {
		r.members[i].commandCount = 0
	}
	r.rollForward()
}
