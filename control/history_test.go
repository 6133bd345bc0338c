package control

import (
	"math"
	"math/rand/v2"
	"testing"
)

// denseHistory is a reference implementation of a history that stores the running sum of each of the latest bins.
type denseHistory struct {
	last int64
	sum  [historyBins]float64
}

func (d *denseHistory) index(b int64) int64 { return (b%historyBins + historyBins) % historyBins }

func (d *denseHistory) advance(b int64) {
	top := d.sum[d.index(d.last)]
	for i := max(d.last+1, b-historyBins+1); i <= b; i++ {
		d.sum[d.index(i)] = top
	}
	d.last = max(d.last, b)
}

func (d *denseHistory) periodSum(end int64) float64 {
	oldest := max(end-binsPerPeriod-1, d.last-historyBins+1)
	return d.sum[d.index(max(end-1, oldest))] - d.sum[d.index(oldest)]
}

// For any additions, a history must return the same sums as the dense reference, and store no more than its maximum
// number of bins.
func TestHistoryMatchesDenseReference(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 5))
		var hist history
		var dense denseHistory
		now := int64(17_000_000_000) + r.Int64N(1000)
		pause := 1 + r.Int64N(200)
		for range 400 {
			now += r.Int64N(pause)
			hist.advance(now)
			dense.advance(now)
			if r.IntN(3) > 0 {
				v := float64(r.IntN(4)) - 0.5
				hist.add(v)
				dense.sum[dense.index(dense.last)] += v
			}
			window := hist.window()
			for range 5 {
				end := now - r.Int64N(100)
				if got, inWindow, want := hist.periodSum(end), window.periodSum(end), dense.periodSum(end); math.Abs(got-want) > 1e-9 || inWindow != got {
					t.Fatalf("seed %d: periodSum is %g, in the window %g, up to bin %d of %d, want %g", seed, got, inWindow, end, now, want)
				}
			}
			if len(hist.sums) > historyBins+1 {
				t.Fatalf("seed %d: history stores %d bins", seed, len(hist.sums))
			}
			var repeated history
			repeated.restore(hist.amounts(), now)
			if repeated.advance(now); math.Abs(repeated.periodSum(now)-dense.periodSum(now)) > 1e-9 {
				t.Fatalf("seed %d: periodSum of the restored history is %g, want %g", seed, repeated.periodSum(now), dense.periodSum(now))
			}
		}
	}
}

// A subtraction must apply to the bin of the addition that it reverts.
func TestHistorySubtractsInTheBinOfTheAddition(t *testing.T) {
	var hist history
	hist.advance(3)
	hist.add(2)
	hist.advance(5)
	hist.add(1)
	hist.subtract(3, 2)
	if before, after := hist.sumUntil(4), hist.sumUntil(5); before != 0 || math.Abs(after-1) > epsilon {
		t.Errorf("sums are %v and then %v, want 0 and 1", before, after)
	}
}
