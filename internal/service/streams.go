package service

import (
	"sync"
	"time"

	"lockflow/internal/upstream"
)

// Streams are the answers of a service, or of several that share an account, that are under way
// with no end of their own. The zero value has none. It is safe for concurrent use.
type Streams struct {
	mu   sync.Mutex
	open map[*upstream.Stream]time.Time // and until when each is within its request's time
	cut  int64
}

// add notes a stream that is within its request's time until some time.
func (s *Streams) add(one *upstream.Stream, until time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*upstream.Stream]time.Time)
	}
	s.open[one] = until
}

func (s *Streams) remove(one *upstream.Stream) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, one)
}

// CutOverdue breaks off the stream that has outlived its request's time by most, if there is one:
// what it holds is somebody else's, who asks for it.
func (s *Streams) CutOverdue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var oldest *upstream.Stream
	for one, until := range s.open {
		if until.Before(now) && (oldest == nil || until.Before(s.open[oldest])) {
			oldest = one
		}
	}
	if oldest != nil {
		delete(s.open, oldest)
		s.cut++
		oldest.Cut()
	}
}

// Stats is how many are under way, and Cut how many were broken off for somebody else.
func (s *Streams) Stats() (open int, cut int64) {
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open), s.cut
}
