package rolloutsim

import (
	"fmt"
	"time"

	"lockflow/internal/canary"
	"lockflow/internal/instancestats"
)

// readinessJudge is the plain way: what is up is fine.
type readinessJudge struct{}

func (readinessJudge) Begin(time.Duration, []canary.Reading)   {}
func (readinessJudge) Observe(time.Duration, []canary.Reading) {}
func (readinessJudge) Verdict(time.Duration) canary.Verdict {
	return canary.Verdict{Kind: canary.KindPass}
}

// thresholdJudge compares the sums of both sides, as is often done: a stage is stopped once the new side's
// is beyond the old one's by a fixed amount, and passes after five minutes. A minute is let go by first.
type thresholdJudge struct {
	startedAt time.Duration
	last      map[string]instancestats.Statistics
	totals    [2]instancestats.Statistics
	memoryKB  [2]float64
	readings  [2]float64
	crashes   int
}

func (t *thresholdJudge) Begin(now time.Duration, _ []canary.Reading) {
	t.startedAt, t.totals, t.memoryKB, t.readings, t.crashes = now, [2]instancestats.Statistics{}, [2]float64{}, [2]float64{}, 0
}

func (t *thresholdJudge) Observe(_ time.Duration, all []canary.Reading) {
	if t.last == nil {
		t.last = make(map[string]instancestats.Statistics)
	}
	for i := range all {
		r := &all[i]
		s := 0
		if r.Side == canary.SideNew {
			s = 1
		}
		if !r.IsServing {
			t.crashes += s
			continue
		}
		if d, ok := r.Statistics.Since(t.last[r.Member]); ok {
			t.totals[s].Add(d)
			t.memoryKB[s], t.readings[s] = t.memoryKB[s]+float64(r.Statistics.MemoryKB), t.readings[s]+1
		}
		t.last[r.Member] = r.Statistics
	}
}

func (t *thresholdJudge) Verdict(now time.Duration) canary.Verdict {
	old, changed := &t.totals[0], &t.totals[1]
	if now-t.startedAt < time.Minute || changed.Requests == 0 {
		return canary.Verdict{}
	}
	part := func(a uint64, f *instancestats.Statistics) float64 { return float64(a) / max(float64(f.Requests), 1) }
	worse := func(what string) canary.Verdict { return canary.Verdict{Kind: canary.KindWorse, Reason: what} }
	switch {
	case t.crashes > 0:
		return worse("crash")
	case old.Requests == 0:
	case part(changed.Failed, changed) > part(old.Failed, old)+0.01:
		return worse(fmt.Sprintf("failed %.3f, %.3f", part(changed.Failed, changed), part(old.Failed, old)))
	case part(changed.Late, changed) > part(old.Late, old)+0.01:
		return worse("late")
	case changed.Delays.Quantile(0.99) > old.Delays.Quantile(0.99)*3/2:
		return worse("p99")
	case changed.Units/float64(changed.Requests) > 1.08*old.Units/float64(old.Requests):
		return worse("units")
	case changed.CPU.Seconds()/float64(changed.Requests) > 1.25*old.CPU.Seconds()/float64(old.Requests):
		return worse("cpu")
	case t.readings[0] > 0 && t.memoryKB[1]/t.readings[1] > 1.25*t.memoryKB[0]/t.readings[0]:
		return worse("memory")
	}
	if now-t.startedAt < 5*time.Minute {
		return canary.Verdict{}
	}
	return canary.Verdict{Kind: canary.KindPass}
}
