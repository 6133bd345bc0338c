package control

import (
	"math/rand/v2"
	"time"
)

const rewatchInterval = 2 * time.Second // minimum time between two requests to watch the endpoint list

// endpointWatch tracks whether the endpoint list is watched and when to start the next watch.
type endpointWatch struct {
	isRequired    bool // whether the list is only sent on request
	isActive      bool
	nextAttemptAt time.Duration
}

// recordList updates the state of the watch by a change of the list. After a failure the next watch starts at
// a random time, since all gateways see the same failure.
func (w *endpointWatch) recordList(now time.Duration, rng *rand.Rand, kind ListKind) {
	isFromWatch := kind != ListCached && kind != ListFailed
	w.isActive = w.isRequired && isFromWatch
	if kind == ListFailed {
		w.nextAttemptAt = now + rewatchInterval/2 + time.Duration(rng.Int64N(int64(rewatchInterval)))
	}
}

// startIfDue reports whether a new watch has to be started now, and schedules the next try.
func (w *endpointWatch) startIfDue(now time.Duration) bool {
	isEnded := w.isRequired && !w.isActive
	if !isEnded || now < w.nextAttemptAt {
		return false
	}
	w.nextAttemptAt = now + rewatchInterval
	return true
}
