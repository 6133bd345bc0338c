package fleet

import (
	"time"

	"lockflow/internal/canary"
	"lockflow/internal/rollout"
)

// Judge decides whether the changed members do worse. canary.Judge implements it and documents its methods.
type Judge interface {
	Begin(now time.Duration, before []canary.Reading)
	Observe(now time.Duration, all []canary.Reading)
	Verdict(now time.Duration) canary.Verdict
}

// newJudge returns a judge for a plan. stageSizes are the numbers of members of the stages, by phase.
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

// evaluate gives the judge a reading of all members, if it is time for one.
func (c *coordinator) evaluate() {
	now := c.now()
	interval := min(evaluationInterval, max(c.rollout.Plan().MinBake/8, memberPollInterval))
	if now-c.lastEvaluated < interval {
		return
	}
	c.lastEvaluated = now
	c.judge.Observe(now, c.readings())
}

// readings returns the members' last readings. A member that answers and is not ready is on no side.
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

// side returns the side of a member in the comparison.
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
