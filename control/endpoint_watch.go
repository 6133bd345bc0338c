package control

import (
	"math/rand/v2"
	"time"
)

const rewatchInterval = 2 * time.Second // between two requests to watch the endpoint list

// endpointWatch knows whether the endpoint list is watched, and when to watch it again.
type endpointWatch struct {
	isRequired    bool // the list comes only on request
	isActive      bool
	nextAttemptAt time.Duration
}

// recordList takes what a change of the list tells of its watch. After a failure the list is watched again
// at a random time, as all gateways see the same failure.
func (w *endpointWatch) recordList(now time.Duration, rng *rand.Rand, kind ListKind) {
	isFromWatch := kind != ListCached && kind != ListFailed
	w.isActive = w.isRequired && isFromWatch
	if kind == ListFailed {
		w.nextAttemptAt = now + rewatchInterval/2 + time.Duration(rng.Int64N(int64(rewatchInterval)))
	}
}

// startIfDue tells whether the list has to be watched again now.
func (w *endpointWatch) startIfDue(now time.Duration) bool {
	isEnded := w.isRequired && !w.isActive
	if !isEnded || now < w.nextAttemptAt {
		return false
	}
	w.nextAttemptAt = now + rewatchInterval
	return true
}
