package fake

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times are times by an HDR histogram: quantiles to three digits in bounded memory, from 1 us to
// 10 min. Its zero value is empty. It is not safe for concurrent use.
type Times struct{ histogram *hdrhistogram.Histogram }

const (
	maxTime    = 10 * time.Minute
	timeDigits = 3
)

// Add takes a time in; one that is longer than 10 min counts as that.
func (t *Times) Add(d time.Duration) {
	if t.histogram == nil {
		t.histogram = hdrhistogram.New(1, maxTime.Microseconds(), timeDigits)
	}
	_ = t.histogram.RecordValue(max(1, min(d, maxTime).Microseconds())) // within its range
}

// Count is how many times there are.
func (t *Times) Count() int {
	if t.histogram == nil {
		return 0
	}
	return int(t.histogram.TotalCount())
}

// Quantile is the time that the given part of them, from 0 to 1, doesn't exceed; 0 where there are none.
func (t *Times) Quantile(part float64) time.Duration {
	if t.histogram == nil {
		return 0
	}
	return time.Duration(t.histogram.ValueAtPercentile(100*part)) * time.Microsecond
}
