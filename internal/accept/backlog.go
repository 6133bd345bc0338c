package accept

import (
	"sync"
	"time"
)

// Backlog records the period during which no connections were accepted, so that they may have waited in the socket's
// queue. The zero value is ready to use. It is safe for concurrent use.
type Backlog struct {
	mu      sync.Mutex
	blocked Period
}

// maxQueueTime is the assumed maximum time that it takes to accept all connections queued during a blocked period.
const maxQueueTime = time.Second

// Period is the time from From to To. The zero value means that there is no period.
type Period struct {
	From time.Time
	To   time.Time
}

// Block records that no connections are accepted from now on, for lack of descriptors or because accept fails. Further
// calls before Unblock have no effect. A call within maxQueueTime of an Unblock resumes the previous period, because
// connections queued in it may not have been accepted yet.
func (b *Backlog) Block() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blocked.From.IsZero() || b.isOver() {
		b.blocked.From = time.Now()
	}
	b.blocked.To = time.Time{}
}

// isOver reports whether the connections queued in the last period have been accepted. The caller holds b.mu.
func (b *Backlog) isOver() bool {
	return !b.blocked.To.IsZero() && time.Since(b.blocked.To) > maxQueueTime
}

// Unblock records that a connection was accepted. Without a preceding Block it has no effect.
func (b *Backlog) Unblock() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.blocked.From.IsZero() && b.blocked.To.IsZero() {
		b.blocked.To = time.Now()
	}
}

// QueuedDuring returns the period during which a connection that is accepted now may have been queued. That is the last
// period without accepts, until maxQueueTime after its end. It returns the zero Period if there is none.
func (b *Backlog) QueuedDuring() Period {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blocked.To.IsZero() || b.isOver() {
		return Period{}
	}
	return b.blocked
}
