package accept

import (
	"sync"
	"time"
)

// Backlog tells for how long connections may have waited in a socket's queue before they were accepted. Its zero value
// is ready; it is safe for concurrent use.
type Backlog struct {
	mu      sync.Mutex
	blocked Period
}

// maxQueueTime is for how long a queue is accepted behind a time in which nothing was.
const maxQueueTime = time.Second

// Period is a time from From to To. The zero one is none.
type Period struct{ From, To time.Time }

// Block notes that connections are not accepted from now on, for want of a descriptor or as accept fails. Further calls
// before Unblock change nothing.
func (b *Backlog) Block() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blocked.From.IsZero() || !b.blocked.To.IsZero() {
		b.blocked = Period{From: time.Now()}
	}
}

// Unblock notes that a connection was accepted. Without a Block before it, it changes nothing.
func (b *Backlog) Unblock() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.blocked.From.IsZero() && b.blocked.To.IsZero() {
		b.blocked.To = time.Now()
	}
}

// QueuedDuring returns the time during which a connection that is accepted now may have waited: the latest in which none
// was, as long as the queue that came of it may not be empty yet.
func (b *Backlog) QueuedDuring() Period {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blocked.To.IsZero() || time.Since(b.blocked.To) > maxQueueTime {
		return Period{}
	}
	return b.blocked
}
