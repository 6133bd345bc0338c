package front

import (
	"errors"
	"time"
)

var errBelowMinRate = errors.New("slower than the least rate")

// rateGuard holds a body that is under way to a least rate, over its whole way. Its zero value allows
// any.
type rateGuard struct {
	gracePeriod       time.Duration // for which it may be slower at first
	minBytesPerSecond int64         // bytes a second; 0 is any
	startedAt         time.Time
	totalBytes        int64
}

// record takes in that some bytes have moved by a time.
func (p *rateGuard) record(now time.Time, n int) error {
	p.totalBytes += int64(n)
	if p.minBytesPerSecond == 0 {
		return nil
	}
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if elapsed := now.Sub(p.startedAt); elapsed > p.gracePeriod && float64(p.totalBytes) < float64(p.minBytesPerSecond)*elapsed.Seconds() {
		return errBelowMinRate
	}
	return nil
}
