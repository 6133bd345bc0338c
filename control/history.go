package control

import "sort"

// history holds the running sum of an amount, of the latest bins. It keeps the bins in which the sum
// changed, so that one of thousands of customers that come once costs what one bin does.
type history struct {
	last  int64  // the bin that it has come to
	steps []Step // by bin, all different; of those before the latest bins only the last
}

// Step is a running sum at the end of a bin in which it changed.
type Step struct {
	Bin int64   `cbor:"b"`
	Sum float64 `cbor:"s"`
}

// roll brings a history up to a bin.
func (h *history) roll(b int64) { h.last = max(h.last, b) }

// add books an amount in the bin that the history has come to.
func (h *history) add(v float64) {
	if v == 0 {
		return
	}
	if n := len(h.steps); n > 0 && h.steps[n-1].Bin == h.last {
		h.steps[n-1].Sum += v
		return
	}
	old := 0
	for old+1 < len(h.steps) && h.steps[old+1].Bin <= h.oldest() {
		old++
	}
	if old > 0 { // in place, so that a busy one does not allocate
		h.steps = h.steps[:copy(h.steps, h.steps[old:])]
	}
	h.steps = append(h.steps, Step{h.last, h.upTo(h.last) + v})
}

// less takes back what was added in a bin.
func (h *history) less(bin int64, v float64) {
	for i := len(h.steps) - 1; i >= 0 && h.steps[i].Bin >= bin; i-- {
		h.steps[i].Sum -= v
	}
}

// oldest is the first bin that is still told apart.
func (h *history) oldest() int64 { return h.last - historyBins + 1 }

// upTo is the running sum at the end of a bin.
func (h *history) upTo(b int64) float64 {
	if n := len(h.steps); n == 0 || h.steps[n-1].Bin <= b { // mostly
		if n == 0 {
			return 0
		}
		return h.steps[n-1].Sum
	}
	if i := sort.Search(len(h.steps), func(i int) bool { return h.steps[i].Bin > b }); i > 0 {
		return h.steps[i-1].Sum
	}
	return 0
}

// over is the amount of the period that ends before a bin, which is none to come.
func (h *history) over(end int64) float64 {
	lo := max(end-binsPerPeriod-1, h.oldest())
	return h.upTo(max(end-1, lo)) - h.upTo(lo)
}

// window is a history with the sum of each of its latest bins at hand, for many looks.
type window struct {
	oldest int64
	sums   [historyBins]float64
}

func (h *history) window() window {
	w := window{oldest: h.oldest()}
	sum, i := 0.0, 0
	for k := range w.sums {
		for ; i < len(h.steps) && h.steps[i].Bin <= w.oldest+int64(k); i++ {
			sum = h.steps[i].Sum
		}
		w.sums[k] = sum
	}
	return w
}

// over is as the history's.
func (w *window) over(end int64) float64 {
	lo := max(end-binsPerPeriod-1, w.oldest)
	return w.sums[max(end-1, lo)-w.oldest] - w.sums[lo-w.oldest]
}

// amounts are what it holds by bin, without empty ones and without the oldest.
func (h *history) amounts() []Amount {
	var all []Amount
	before := 0.0
	for _, s := range h.steps {
		if v := s.Sum - before; s.Bin > h.oldest() && v != 0 {
			all = append(all, Amount{s.Bin, v})
		}
		before = s.Sum
	}
	return all
}

// take fills an empty history, whose bins it shares.
func (h *history) take(all []Amount, now int64) {
	for _, a := range all {
		if a.Bin > now-historyBins && a.Bin <= now {
			h.roll(a.Bin)
			h.add(a.V)
		}
	}
}
