package service

import "time"

// minFiringInterval is the least time between two firings. Guards against a wake-up of the process
// for each of thousands of labels a second; one that comes alone is told on time.
const minFiringInterval = 2 * time.Millisecond

// timerQueue are what the module has asked to be told of, by time. Most are armed for each request
// and of no use any more once it is answered, so they have to be cheap: one runtime timer
// serves them all. The zero value has none. It is not safe for concurrent use.
type timerQueue struct {
	entries     []timerEntry
	timer       *time.Timer // fires at the earliest; nil until there was one
	firesAt     time.Time   // when next fires, if it is set
	isSet       bool
	lastFiredAt time.Time // when it fired last
}

type timerEntry struct {
	at    time.Time
	label uint64
}

// arm notes a label that is due at a time.
func (t *timerQueue) arm(at time.Time, label uint64) {
	t.entries = append(t.entries, timerEntry{at, label})
	for i := len(t.entries) - 1; i > 0; {
		up := (i - 1) / 2
		if !t.entries[i].at.Before(t.entries[up].at) {
			break
		}
		t.entries[i], t.entries[up] = t.entries[up], t.entries[i]
		i = up
	}
	t.reset()
}

// reset sets the runtime timer to the earliest.
func (t *timerQueue) reset() {
	if len(t.entries) == 0 || t.isSet && (!t.entries[0].at.Before(t.firesAt) || t.firesAt.Equal(t.lastFiredAt.Add(minFiringInterval))) {
		return
	}
	t.firesAt, t.isSet = t.entries[0].at, true
	if soonest := t.lastFiredAt.Add(minFiringInterval); t.firesAt.Before(soonest) {
		t.firesAt = soonest
	}
	if t.timer == nil {
		t.timer = time.NewTimer(time.Until(t.firesAt))
	} else {
		t.timer.Reset(time.Until(t.firesAt))
	}
}

// fired is the channel on which the earliest is told; nil where none was ever armed.
func (t *timerQueue) fired() <-chan time.Time {
	if t.timer == nil {
		return nil
	}
	return t.timer.C
}

// popDue gives a label that is due by a time, the earliest first; the runtime timer, which has
// fired, is set anew once none is left.
func (t *timerQueue) popDue(now time.Time) (label uint64, ok bool) {
	if len(t.entries) == 0 || t.entries[0].at.After(now) {
		t.isSet, t.lastFiredAt = false, now
		t.reset()
		return 0, false
	}
	label = t.entries[0].label
	last := len(t.entries) - 1
	t.entries[0] = t.entries[last]
	t.entries = t.entries[:last]
	for i := 0; ; {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if t.entries[child].at.Before(t.entries[earliest].at) {
				earliest = child
			}
		}
		if earliest == i {
			break
		}
		t.entries[i], t.entries[earliest] = t.entries[earliest], t.entries[i]
		i = earliest
	}
	return label, true
}

// stop ends the runtime timer.
func (t *timerQueue) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
