package fake

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxTime    = 10 * time.Minute
	timeDigits = 3
)

// Times is an HDR histogram of durations from 1 us to 10 min: quantiles to three digits in bounded memory. The zero
// value is empty. It is not safe for concurrent use.
type Times struct{ histogram *hdrhistogram.Histogram }

// Add adds a duration; a longer one than 10 min counts as 10 min.
func (t *Times) Add(duration time.Duration) {
	if t.histogram == nil {
		t.histogram = hdrhistogram.New(1, maxTime.Microseconds(), timeDigits)
	}
	_ = t.histogram.RecordValue(max(1, min(duration, maxTime).Microseconds())) // within its range
}

// Count returns the number of durations.
func (t *Times) Count() int {
	if t.histogram == nil {
		return 0
	}
	return int(t.histogram.TotalCount())
}

// Quantile returns the duration that a fraction of them, from 0 to 1, does not exceed; 0 if there are none.
func (t *Times) Quantile(fraction float64) time.Duration {
	if t.histogram == nil {
		return 0
	}
	return time.Duration(t.histogram.ValueAtPercentile(100*fraction)) * time.Microsecond
}
