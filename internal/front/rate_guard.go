package front

import (
	"errors"
	"time"
)

// errBelowMinRate reports a body that moves too slowly.
var errBelowMinRate = errors.New("slower than the least rate")

// rateGuard enforces a minimum rate on the transfer of a body, as the average over all of it. Its zero
// value allows any rate. It is not safe for concurrent use.
type rateGuard struct {
	gracePeriod       time.Duration // from the start, in which any rate is allowed
	minBytesPerSecond int64         // 0 for no limit
	startedAt         time.Time
	totalBytes        int64
}

// record counts n bytes that have been transferred by now. It returns errBelowMinRate if that is too slow.
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
