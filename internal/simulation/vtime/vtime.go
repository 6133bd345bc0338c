// Package vtime plays what is due in the order of its time, with no clock: simulations run on it.
package vtime

import (
	"container/heap"
	"time"
)

// Clock holds what is due. Its zero value is at time 0 with nothing due. It is not safe for
// concurrent use.
type Clock struct {
	now   time.Duration
	seq   uint64
	queue queue
}

// Now is the time of what is being played.
func (c *Clock) Now() time.Duration { return c.now }

// At has something done at a time; what is due before now is due now. Of what is due at the same
// time the first that was told is done first.
func (c *Clock) At(t time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, happening{max(t, c.now), c.seq, do})
}

// After has something done so much later.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.now+d, do) }

// Run plays all that is due up to a time.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		h := heap.Pop(&c.queue).(happening)
		c.now = h.at
		h.do()
	}
}

type happening struct {
	at  time.Duration
	seq uint64
	do  func()
}

type queue []happening

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(happening)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
