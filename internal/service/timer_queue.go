package service

import "time"

// minFiringInterval is the shortest time between two firings of a timerQueue, so that the process is not woken for
// each of thousands of labels a second. A single label fires on time.
const minFiringInterval = 2 * time.Millisecond

// timerQueue holds the timers that the module has armed: a heap of labels by due time, with one runtime timer
// for the earliest. It has to be cheap, as most timers are armed for a request and have no effect once the request
// is answered. The zero value is empty. It is not safe for concurrent use.
type timerQueue struct {
	entries     []timerEntry // a binary min-heap by dueAt
	timer       *time.Timer  // nil until the first label is armed
	firesAt     time.Time    // when timer fires, if isSet
	isSet       bool
	lastFiredAt time.Time
}

type timerEntry struct {
	dueAt time.Time
	label uint64
}

// arm adds a label that is due at dueAt.
func (q *timerQueue) arm(dueAt time.Time, label uint64) {
	q.entries = append(q.entries, timerEntry{dueAt, label})
	for i := len(q.entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.entries[i].dueAt.Before(q.entries[parent].dueAt) {
			break
		}
		q.entries[i], q.entries[parent] = q.entries[parent], q.entries[i]
		i = parent
	}
	q.reset()
}

// reset sets the runtime timer to the due time of the earliest label, unless it already fires by then.
func (q *timerQueue) reset() {
	if len(q.entries) == 0 {
		return
	}
	earliestFiring := q.lastFiredAt.Add(minFiringInterval)
	dueAt := q.entries[0].dueAt
	if q.isSet && (!dueAt.Before(q.firesAt) || q.firesAt.Equal(earliestFiring)) {
		return
	}
	q.firesAt = dueAt
	q.isSet = true
	if q.firesAt.Before(earliestFiring) {
		q.firesAt = earliestFiring
	}
	if q.timer == nil {
		q.timer = time.NewTimer(time.Until(q.firesAt))
	} else {
		q.timer.Reset(time.Until(q.firesAt))
	}
}

// fired returns the channel that the runtime timer fires on; nil if no label was ever armed.
func (q *timerQueue) fired() <-chan time.Time {
	if q.timer == nil {
		return nil
	}
	return q.timer.C
}

// popDue removes and returns the earliest label that is due by now. It is called after the runtime timer has
// fired, until it returns false, which also resets that timer.
func (q *timerQueue) popDue(now time.Time) (label uint64, ok bool) {
	if len(q.entries) == 0 || q.entries[0].dueAt.After(now) {
		q.isSet = false
		q.lastFiredAt = now
		q.reset()
		return 0, false
	}
	label = q.entries[0].label
	last := len(q.entries) - 1
	q.entries[0] = q.entries[last]
	q.entries = q.entries[:last]
	q.siftDown()
	return label, true
}

// siftDown restores the heap order after its first entry was replaced.
func (q *timerQueue) siftDown() {
	for i := 0; ; {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.entries); child++ {
			if q.entries[child].dueAt.Before(q.entries[earliest].dueAt) {
				earliest = child
			}
		}
		if earliest == i {
			return
		}
		q.entries[i], q.entries[earliest] = q.entries[earliest], q.entries[i]
		i = earliest
	}
}

// stop stops the runtime timer.
func (q *timerQueue) stop() {
	if q.timer != nil {
		q.timer.Stop()
	}
}
