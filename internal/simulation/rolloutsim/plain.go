package rolloutsim

import (
	"fmt"
	"time"

	"lockflow/internal/canary"
	"lockflow/internal/instancestats"
)

// ready is the plain way: what is up is fine.
type ready struct{}

func (ready) Begin(time.Duration, []canary.Reading)   {}
func (ready) Observe(time.Duration, []canary.Reading) {}
func (ready) Verdict(time.Duration) canary.Verdict    { return canary.Verdict{Kind: canary.KindPass} }

// threshold compares the sums of both sides, as is often done: a stage is stopped once the new side's
// is beyond the old one's by a fixed amount, and passes after five minutes. A minute is let go by first.
type threshold struct {
	begin time.Duration
	last  map[string]instancestats.Statistics
	side  [2]instancestats.Statistics
	mem   [2]float64
	n     [2]float64
	crash int
}

func (t *threshold) Begin(now time.Duration, _ []canary.Reading) {
	t.begin, t.side, t.mem, t.n, t.crash = now, [2]instancestats.Statistics{}, [2]float64{}, [2]float64{}, 0
}

func (t *threshold) Observe(_ time.Duration, all []canary.Reading) {
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
			t.crash += s
			continue
		}
		if d, ok := r.Statistics.Since(t.last[r.Member]); ok {
			t.side[s].Add(d)
			t.mem[s], t.n[s] = t.mem[s]+float64(r.Statistics.MemoryKB), t.n[s]+1
		}
		t.last[r.Member] = r.Statistics
	}
}

func (t *threshold) Verdict(now time.Duration) canary.Verdict {
	o, n := &t.side[0], &t.side[1]
	if now-t.begin < time.Minute || n.Requests == 0 {
		return canary.Verdict{}
	}
	part := func(a uint64, f *instancestats.Statistics) float64 { return float64(a) / max(float64(f.Requests), 1) }
	worse := func(what string) canary.Verdict { return canary.Verdict{Kind: canary.KindWorse, Reason: what} }
	switch {
	case t.crash > 0:
		return worse("crash")
	case o.Requests == 0:
	case part(n.Failed, n) > part(o.Failed, o)+0.01:
		return worse(fmt.Sprintf("failed %.3f, %.3f", part(n.Failed, n), part(o.Failed, o)))
	case part(n.Late, n) > part(o.Late, o)+0.01:
		return worse("late")
	case n.Delays.Quantile(0.99) > o.Delays.Quantile(0.99)*3/2:
		return worse("p99")
	case n.Units/float64(n.Requests) > 1.08*o.Units/float64(o.Requests):
		return worse("units")
	case n.CPU.Seconds()/float64(n.Requests) > 1.25*o.CPU.Seconds()/float64(o.Requests):
		return worse("cpu")
	case t.n[0] > 0 && t.mem[1]/t.n[1] > 1.25*t.mem[0]/t.n[0]:
		return worse("memory")
	}
	if now-t.begin < 5*time.Minute {
		return canary.Verdict{}
	}
	return canary.Verdict{Kind: canary.KindPass}
}
