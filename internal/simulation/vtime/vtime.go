// Package vtime is a discrete-event scheduler with virtual time for simulations.
package vtime

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of scheduled events. The zero value is at time 0 and has no events. It is not
// safe for concurrent use.
type Clock struct {
	now      time.Duration
	sequence uint64 // number of events scheduled so far
	queue    queue
}

// Now returns the virtual time, which is the time of the event that runs now or ran last.
func (c *Clock) Now() time.Duration { return c.now }

// At schedules an event at a time, or at the current time if that time has passed. Events with the same time run in the
// order in which they were scheduled.
func (c *Clock) At(t time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: max(t, c.now), sequence: c.sequence, run: run})
}

// After schedules an event after a duration.
func (c *Clock) After(d time.Duration, run func()) { c.At(c.now+d, run) }

// Run runs all events up to and including a time, including those that other events schedule.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
}

// event is a scheduled event.
type event struct {
	at       time.Duration
	sequence uint64 // orders events with the same time
	run      func()
}

// queue is a heap of events by time, then by sequence number.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
