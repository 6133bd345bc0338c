package fake

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times are times by an HDR histogram: quantiles to three digits in bounded memory, from 1 us to
// 10 min. Its zero value is empty. It is not safe for concurrent use.
type Times struct{ h *hdrhistogram.Histogram }

const (
	timesMost   = 10 * time.Minute
	timesDigits = 3
)

// Add takes a time in; one that is longer than 10 min counts as that.
func (t *Times) Add(d time.Duration) {
	if t.h == nil {
		t.h = hdrhistogram.New(1, timesMost.Microseconds(), timesDigits)
	}
	_ = t.h.RecordValue(max(1, min(d, timesMost).Microseconds())) // within its range
}

// N is how many times there are.
func (t *Times) N() int {
	if t.h == nil {
		return 0
	}
	return int(t.h.TotalCount())
}

// P is the time that the given part of them, from 0 to 1, doesn't exceed; 0 where there are none.
func (t *Times) P(part float64) time.Duration {
	if t.h == nil {
		return 0
	}
	return time.Duration(t.h.ValueAtPercentile(100*part)) * time.Microsecond
}
