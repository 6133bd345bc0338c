package limits

import "sync"

// Signal wakes goroutines that wait for a change. The zero value is ready to use. It is safe for concurrent use.
type Signal struct {
	mu   sync.Mutex
	next chan struct{} // closed by the next Notify; nil if Next has not been called since the last one
}

// Next returns a channel that is closed by the next Notify.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Notify wakes all waiting goroutines.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
