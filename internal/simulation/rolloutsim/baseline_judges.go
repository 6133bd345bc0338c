package rolloutsim

import (
	"fmt"
	"time"

	"lockflow/internal/canary"
	"lockflow/internal/instancestats"
)

// readinessJudge ignores statistics and passes every stage at its first verdict, as a rollout does that only checks
// whether members are ready.
type readinessJudge struct{}

func (readinessJudge) Begin(time.Duration, []canary.Reading)   {}
func (readinessJudge) Observe(time.Duration, []canary.Reading) {}
func (readinessJudge) Verdict(time.Duration) canary.Verdict {
	return canary.Verdict{Kind: canary.KindPass}
}

// Times and thresholds of thresholdJudge.
const (
	thresholdMinTime   = time.Minute     // from the start of a stage to its first verdict
	thresholdPassTime  = 5 * time.Minute // from the start of a stage to its pass
	maxShareDifference = 0.01
	maxUnitsRatio      = 1.08
	maxCostRatio       = 1.25
)

// Indices into arrays with one entry for each side.
const (
	oldSide = iota
	newSide
	sideCount
)

// thresholdJudge compares the totals of both sides, as many rollout tools do: a stage stops once the new side exceeds
// the old one by a fixed amount, and passes after a fixed time.
type thresholdJudge struct {
	startedAt time.Duration                       // start of the stage
	last      map[string]instancestats.Statistics // last readings by member
	totals    [sideCount]instancestats.Statistics
	memoryKB  [sideCount]float64 // sum over readings
	readings  [sideCount]float64
	crashes   int // number on the new side
}

// Begin starts a stage.
func (t *thresholdJudge) Begin(now time.Duration, _ []canary.Reading) {
	t.startedAt = now
	t.totals = [sideCount]instancestats.Statistics{}
	t.memoryKB = [sideCount]float64{}
	t.readings = [sideCount]float64{}
	t.crashes = 0
}

// Observe adds the statistics that members have counted since their last readings.
func (t *thresholdJudge) Observe(_ time.Duration, all []canary.Reading) {
	if t.last == nil {
		t.last = make(map[string]instancestats.Statistics)
	}
	for i := range all {
		r := &all[i]
		side := oldSide
		if r.Side == canary.SideNew {
			side = newSide
		}
		if !r.IsServing {
			if side == newSide {
				t.crashes++
			}
			continue
		}
		if difference, ok := r.Statistics.Since(t.last[r.Member]); ok {
			t.totals[side].Add(difference)
			t.memoryKB[side] += float64(r.Statistics.MemoryKB)
			t.readings[side]++
		}
		t.last[r.Member] = r.Statistics
	}
}

// Verdict judges the stage by the statistics observed until now.
func (t *thresholdJudge) Verdict(now time.Duration) canary.Verdict {
	if now-t.startedAt < thresholdMinTime || t.totals[newSide].Requests == 0 {
		return canary.Verdict{}
	}
	if reason := t.exceededMeasure(); reason != "" {
		return canary.Verdict{Kind: canary.KindWorse, Reason: reason}
	}
	if now-t.startedAt < thresholdPassTime {
		return canary.Verdict{}
	}
	return canary.Verdict{Kind: canary.KindPass}
}

// exceededMeasure returns the first measure of the new side that exceeds its threshold, or "" if none does.
func (t *thresholdJudge) exceededMeasure() string {
	old, changed := &t.totals[oldSide], &t.totals[newSide]
	share := func(count uint64, s *instancestats.Statistics) float64 {
		return float64(count) / max(float64(s.Requests), 1)
	}
	switch {
	case t.crashes > 0:
		return "crash"
	case old.Requests == 0:
		return ""
	case share(changed.Failed, changed) > share(old.Failed, old)+maxShareDifference:
		return fmt.Sprintf("failed %.3f, %.3f", share(changed.Failed, changed), share(old.Failed, old))
	case share(changed.Late, changed) > share(old.Late, old)+maxShareDifference:
		return "late"
	case changed.Delays.Quantile(0.99) > old.Delays.Quantile(0.99)*3/2:
		return "p99"
	case changed.Units/float64(changed.Requests) > maxUnitsRatio*old.Units/float64(old.Requests):
		return "units"
	case changed.CPU.Seconds()/float64(changed.Requests) > maxCostRatio*old.CPU.Seconds()/float64(old.Requests):
		return "cpu"
	case t.readings[oldSide] > 0 && t.memoryKB[newSide]/t.readings[newSide] > maxCostRatio*t.memoryKB[oldSide]/t.readings[oldSide]:
		return "memory"
	}
	return ""
}
