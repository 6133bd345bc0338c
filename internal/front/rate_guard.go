package front

import (
	"errors"
	"time"
)

// errBelowMinRate reports that a body is transferred too slowly.
var errBelowMinRate = errors.New("slower than the least rate")

// rateGuard enforces a minimum average rate on the transfer of a body, measured from its start. Its zero
// value allows any rate. It is not safe for concurrent use.
type rateGuard struct {
	gracePeriod       time.Duration // time from the start during which any rate is allowed
	minBytesPerSecond int64         // 0 for no limit
	startedAt         time.Time
	totalBytes        int64
}

// record adds n bytes that have been transferred by the time now. It returns errBelowMinRate if the average rate is too low.
func (g *rateGuard) record(now time.Time, n int) error {
	g.totalBytes += int64(n)
	if g.minBytesPerSecond == 0 {
		return nil
	}
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
	elapsed := now.Sub(g.startedAt)
	isTooSlow := float64(g.totalBytes) < float64(g.minBytesPerSecond)*elapsed.Seconds()
	if elapsed > g.gracePeriod && isTooSlow {
		return errBelowMinRate
	}
	return nil
}
