package control

import (
	"fmt"
	"slices"
	"sort"
)

// historyBins is the number of latest bins that a history keeps apart.
const historyBins = 80

// history is the running sum of an amount over the latest time bins. It stores only bins in which the sum changed, so
// that each of thousands of customers with a single request costs one bin.
type history struct {
	currentBin int64        // latest bin to which the history has been advanced
	sums       []RunningSum // by ascending bin; at most one is before the oldest bin
}

// RunningSum is a running sum at the end of a bin in which it changed.
type RunningSum struct {
	Bin int64   `cbor:"b"`
	Sum float64 `cbor:"s"`
}

// advance advances the history to a bin.
func (h *history) advance(bin int64) { h.currentBin = max(h.currentBin, bin) }

// add adds an amount in the current bin.
func (h *history) add(amount float64) {
	if amount == 0 {
		return
	}
	if n := len(h.sums); n > 0 && h.sums[n-1].Bin == h.currentBin {
		h.sums[n-1].Sum += amount
		return
	}
	firstRetainedBin := 0
	for firstRetainedBin+1 < len(h.sums) && h.sums[firstRetainedBin+1].Bin <= h.oldestBin() {
		firstRetainedBin++
	}
	if firstRetainedBin > 0 { // in place, to avoid an allocation
		h.sums = h.sums[:copy(h.sums, h.sums[firstRetainedBin:])]
	}
	h.sums = append(h.sums, RunningSum{h.currentBin, h.sumUntil(h.currentBin) + amount})
}

// subtract reverts an addition in a bin.
func (h *history) subtract(bin int64, amount float64) {
	for i := len(h.sums) - 1; i >= 0 && h.sums[i].Bin >= bin; i-- {
		h.sums[i].Sum -= amount
	}
}

// oldestBin returns the first bin that is kept apart from earlier ones.
func (h *history) oldestBin() int64 { return h.currentBin - historyBins + 1 }

// sumUntil returns the running sum at the end of a bin.
func (h *history) sumUntil(bin int64) float64 {
	last := len(h.sums) - 1
	if last < 0 {
		return 0
	}
	if h.sums[last].Bin <= bin { // the common case
		return h.sums[last].Sum
	}
	if i := sort.Search(len(h.sums), func(i int) bool { return h.sums[i].Bin > bin }); i > 0 {
		return h.sums[i-1].Sum
	}
	return 0
}

// periodSum returns the amount in the meter period that ends before a bin.
func (h *history) periodSum(end int64) float64 {
	start := max(end-binsPerPeriod-1, h.oldestBin())
	return h.sumUntil(max(end-1, start)) - h.sumUntil(start)
}

// historyWindow is a copy of a history with one sum for each of the latest bins, for fast repeated lookups.
type historyWindow struct {
	oldest int64
	sums   [historyBins]float64
}

// window returns the current state of the history.
func (h *history) window() historyWindow {
	latest := historyWindow{oldest: h.oldestBin()}
	sum := 0.0
	next := 0
	for i := range latest.sums {
		for ; next < len(h.sums) && h.sums[next].Bin <= latest.oldest+int64(i); next++ {
			sum = h.sums[next].Sum
		}
		latest.sums[i] = sum
	}
	return latest
}

// periodSum returns the same as the periodSum of the history.
func (w *historyWindow) periodSum(end int64) float64 {
	start := max(end-binsPerPeriod-1, w.oldest)
	return w.sums[max(end-1, start)-w.oldest] - w.sums[start-w.oldest]
}

// amounts returns the amounts by bin, without empty bins and the oldest bin.
func (h *history) amounts() []BinAmount {
	var all []BinAmount
	previous := 0.0
	for _, sum := range h.sums {
		if amount := sum.Sum - previous; sum.Bin > h.oldestBin() && amount != 0 {
			all = append(all, BinAmount{sum.Bin, amount})
		}
		previous = sum.Sum
	}
	return all
}

// resume fills an empty history with the running sums of an image.
func (h *history) resume(currentBin int64, sums []RunningSum) error {
	if len(sums) > historyBins+1 {
		return fmt.Errorf("too many bins: %d", len(sums))
	}
	for i, sum := range sums {
		isAscending := i == 0 || sum.Bin > sums[i-1].Bin
		if !isAscending || sum.Bin > currentBin {
			return fmt.Errorf("bin %d is out of order", sum.Bin)
		}
	}
	h.currentBin = currentBin
	h.sums = slices.Clone(sums)
	return nil
}

// restore fills an empty history with the amounts of bins up to the bin now.
func (h *history) restore(amounts []BinAmount, now int64) {
	for _, amount := range amounts {
		if amount.Bin > now-historyBins && amount.Bin <= now {
			h.advance(amount.Bin)
			h.add(amount.Amount)
		}
	}
}
