package fleet

import (
	"time"

	"lockflow/internal/canary"
	"lockflow/internal/rollout"
)

// Judge decides whether the changed members perform worse than the others. canary.Judge implements it and documents the
// methods.
type Judge interface {
	Begin(now time.Duration, before []canary.Reading)
	Observe(now time.Duration, all []canary.Reading)
	Verdict(now time.Duration) canary.Verdict
}

// newJudge returns a judge for a plan. stageSizes are the numbers of members in each stage of each phase.
func newJudge(plan rollout.Plan, stageSizes [][]int) *canary.Judge {
	stages := 0
	for _, phase := range stageSizes {
		stages += len(phase)
	}
	return canary.NewJudge(canary.Options{
		Stages:  max(stages, 1),
		MinBake: plan.MinBake,
		MaxBake: plan.MaxBake,
		WarmUp:  min(maxWarmUp, plan.MinBake/2),
		Onset:   min(maxOnset, max(plan.MinBake/2, time.Second)),
	})
}

// evaluate passes a reading of all members to the judge, if the interval since the last one has passed.
func (c *coordinator) evaluate() {
	now := c.now()
	interval := min(evaluationInterval, max(c.rollout.Plan().MinBake/8, memberPollInterval))
	if now-c.lastEvaluated < interval {
		return
	}
	c.lastEvaluated = now
	c.judge.Observe(now, c.readings())
}

// readings returns the members' last readings. A member that answers but is not ready is left out of the comparison.
func (c *coordinator) readings() []canary.Reading {
	all := make([]canary.Reading, 0, len(c.lastStatus))
	for i, status := range c.lastStatus {
		if status != nil && !status.IsReady() {
			continue
		}
		r := canary.Reading{Member: c.change.Plan.Members[i].Name, Side: c.side(i), IsServing: status != nil, Weight: 1}
		if status != nil {
			r.Statistics = status.Statistics
		}
		all = append(all, r)
	}
	return all
}

// side returns the group to which the comparison assigns a member.
func (c *coordinator) side(i int) canary.Side {
	isChanged, isControl := c.rollout.Side(i)
	switch {
	case isChanged:
		return canary.SideNew
	case isControl:
		return canary.SideControl
	}
	return canary.SideOld
}
