package service

import "time"

// timersApart is the least time between two firings. Guards against a wake-up of the process
// for each of thousands of labels a second; one that comes alone is told on time.
const timersApart = 2 * time.Millisecond

// timers are what the module has asked to be told of, by time. Most are armed for each request
// and of no use any more once it is answered, so they have to be cheap: one runtime timer
// serves them all. The zero value has none. It is not safe for concurrent use.
type timers struct {
	heap []due
	next *time.Timer // fires at the earliest; nil until there was one
	at   time.Time   // when next fires, if it is set
	set  bool
	last time.Time // when it fired last
}

type due struct {
	at    time.Time
	label uint64
}

// arm notes a label that is due at a time.
func (t *timers) arm(at time.Time, label uint64) {
	t.heap = append(t.heap, due{at, label})
	for i := len(t.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !t.heap[i].at.Before(t.heap[up].at) {
			break
		}
		t.heap[i], t.heap[up] = t.heap[up], t.heap[i]
		i = up
	}
	t.start()
}

// start sets the runtime timer to the earliest.
func (t *timers) start() {
	if len(t.heap) == 0 || t.set && (!t.heap[0].at.Before(t.at) || t.at.Equal(t.last.Add(timersApart))) {
		return
	}
	t.at, t.set = t.heap[0].at, true
	if soonest := t.last.Add(timersApart); t.at.Before(soonest) {
		t.at = soonest
	}
	if t.next == nil {
		t.next = time.NewTimer(time.Until(t.at))
	} else {
		t.next.Reset(time.Until(t.at))
	}
}

// fired is the channel on which the earliest is told; nil where none was ever armed.
func (t *timers) fired() <-chan time.Time {
	if t.next == nil {
		return nil
	}
	return t.next.C
}

// pop gives a label that is due by a time, the earliest first; the runtime timer, which has
// fired, is set anew once none is left.
func (t *timers) pop(now time.Time) (label uint64, ok bool) {
	if len(t.heap) == 0 || t.heap[0].at.After(now) {
		t.set, t.last = false, now
		t.start()
		return 0, false
	}
	label = t.heap[0].label
	last := len(t.heap) - 1
	t.heap[0] = t.heap[last]
	t.heap = t.heap[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if t.heap[child].at.Before(t.heap[least].at) {
				least = child
			}
		}
		if least == i {
			break
		}
		t.heap[i], t.heap[least] = t.heap[least], t.heap[i]
		i = least
	}
	return label, true
}

// stop ends the runtime timer.
func (t *timers) stop() {
	if t.next != nil {
		t.next.Stop()
	}
}
