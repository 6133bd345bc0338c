package fake

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxTime    = 10 * time.Minute
	timeDigits = 3
)

// Times is an HDR histogram of durations from 1 us to 10 min, which gives quantiles with three significant digits in
// bounded memory. The zero value is empty. It is not safe for concurrent use.
type Times struct{ histogram *hdrhistogram.Histogram }

// Add adds a duration. One longer than 10 min counts as 10 min, one shorter than 1 us as 1 us.
func (t *Times) Add(duration time.Duration) {
	if t.histogram == nil {
		t.histogram = hdrhistogram.New(1, maxTime.Microseconds(), timeDigits)
	}
	_ = t.histogram.RecordValue(max(1, min(duration, maxTime).Microseconds())) // cannot fail: the value is clamped to the range
}

// Count returns the number of recorded durations.
func (t *Times) Count() int {
	if t.histogram == nil {
		return 0
	}
	return int(t.histogram.TotalCount())
}

// Quantile returns the duration that the given fraction (0 to 1) of the recorded durations does not exceed, or 0 if there
// are none.
func (t *Times) Quantile(fraction float64) time.Duration {
	if t.histogram == nil {
		return 0
	}
	return time.Duration(t.histogram.ValueAtPercentile(100*fraction)) * time.Microsecond
}
