package service

import (
	"sync"
	"time"

	"lockflow/internal/upstream"
)

// Streams registers the open response streams and tunnels of a service, or of several services that share a
// resource limit. The zero value is empty; a nil *Streams registers nothing.
type Streams struct {
	mu        sync.Mutex
	deadlines map[*upstream.Stream]time.Time // of the open streams' requests
	cutCount  int64
}

// add registers an open stream with its request's deadline.
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

// CutOverdue aborts the stream whose request's deadline passed first, if any has passed. It is called when
// another service needs resources that are guaranteed to it and that this one has borrowed.
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
		oldest.Abort()
	}
}

// Stats returns how many streams are open, and how many CutOverdue has cut.
func (s *Streams) Stats() (open int, cut int64) {
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.deadlines), s.cutCount
}
