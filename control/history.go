package control

import (
	"fmt"
	"slices"
	"sort"
)

// historyBins is the number of bins that a history distinguishes.
const historyBins = 80

// history is the running sum of an amount over the latest bins of time. Only bins in which the sum changed are stored,
// so that each of thousands of customers that come once costs one bin.
type history struct {
	currentBin int64        // up to which it has been advanced
	sums       []RunningSum // by ascending bin; one at most is before the oldest bin
}

// RunningSum is a running sum at the end of a bin in which it changed.
type RunningSum struct {
	Bin int64   `cbor:"b"`
	Sum float64 `cbor:"s"`
}

// advance brings the history up to a bin.
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
	firstKept := 0
	for firstKept+1 < len(h.sums) && h.sums[firstKept+1].Bin <= h.oldestBin() {
		firstKept++
	}
	if firstKept > 0 { // in place, to avoid an allocation
		h.sums = h.sums[:copy(h.sums, h.sums[firstKept:])]
	}
	h.sums = append(h.sums, RunningSum{h.currentBin, h.sumUntil(h.currentBin) + amount})
}

// subtract undoes an addition in a bin.
func (h *history) subtract(bin int64, amount float64) {
	for i := len(h.sums) - 1; i >= 0 && h.sums[i].Bin >= bin; i-- {
		h.sums[i].Sum -= amount
	}
}

// oldestBin is the first bin that is distinguished from earlier ones.
func (h *history) oldestBin() int64 { return h.currentBin - historyBins + 1 }

// sumUntil is the running sum at the end of a bin.
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

// periodSum is the amount of the meter period that ends before a bin.
func (h *history) periodSum(end int64) float64 {
	start := max(end-binsPerPeriod-1, h.oldestBin())
	return h.sumUntil(max(end-1, start)) - h.sumUntil(start)
}

// historyWindow is a copy of a history with a sum for each of its latest bins, for many lookups.
type historyWindow struct {
	oldest int64
	sums   [historyBins]float64
}

// window is the present state of the history.
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

// periodSum is the same as the history's.
func (w *historyWindow) periodSum(end int64) float64 {
	start := max(end-binsPerPeriod-1, w.oldest)
	return w.sums[max(end-1, start)-w.oldest] - w.sums[start-w.oldest]
}

// amounts are the amounts by bin, without empty bins and without the oldest.
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
		return fmt.Errorf("a history of %d bins", len(sums))
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

// restore fills an empty history with amounts of bins up to now.
func (h *history) restore(all []BinAmount, now int64) {
	for _, amount := range all {
		if amount.Bin > now-historyBins && amount.Bin <= now {
			h.advance(amount.Bin)
			h.add(amount.Amount)
		}
	}
}
