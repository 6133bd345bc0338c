package service

import (
	"sync"
	"time"

	"lockflow/internal/upstream"
)

// Streams are the answers of a service, or of several that share an account, that are under way
// with no end of their own. The zero value has none. It is safe for concurrent use.
type Streams struct {
	mu        sync.Mutex
	deadlines map[*upstream.Stream]time.Time // and until when each is within its request's time
	cutCount  int64
}

// add notes a stream that is within its request's time until some time.
func (s *Streams) add(stream *upstream.Stream, deadline time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadlines == nil {
		s.deadlines = make(map[*upstream.Stream]time.Time)
	}
	s.deadlines[stream] = deadline
}

func (s *Streams) remove(stream *upstream.Stream) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.deadlines, stream)
}

// CutOverdue breaks off the stream that has outlived its request's time by most, if there is one:
// what it holds is somebody else's, who asks for it.
func (s *Streams) CutOverdue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var oldest *upstream.Stream
	for stream, deadline := range s.deadlines {
		if deadline.Before(now) && (oldest == nil || deadline.Before(s.deadlines[oldest])) {
			oldest = stream
		}
	}
	if oldest != nil {
		delete(s.deadlines, oldest)
		s.cutCount++
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
	return len(s.deadlines), s.cutCount
}
