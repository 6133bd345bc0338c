package h2

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ErrCut is the end of a stream that was broken off from this side.
var ErrCut = errors.New("broken off")

// Stream is a request whose body may still come and whose answer is told as it comes. One goroutine
// may be in Head and Read, another in Write and CloseWrite; the others may be called by any.
type Stream struct {
	c     *Conn
	id    uint32
	most  int                    // of a body that is held to be sent
	early func(int, http.Header) // is told of answers of 1xx by Head's goroutine; may be nil
	came  chan struct{}          // rung when something came, or waiting is to end
	sent  chan struct{}          // the same for who writes
	over  chan struct{}          // closed with the stream's end
	cut   chan struct{}          // closed by Cut
	once  sync.Once              // of cut
	until [2]atomic.Int64        // deadlines, of reading and of writing, as Unix time in ns; 0 is none

	// Under the connection's mu.
	heads []*Answer // that have not been told
	data  []byte    // that has not been read
	end   *Event
}

const (
	reading = iota
	writing
)

// Open sends a request. What is held of a body to be sent is at most so many bytes.
func (c *Conn) Open(r *Request, held int, early func(int, http.Header)) (*Stream, error) {
	r.Flow = true
	s := &Stream{c: c, most: held, early: early, came: make(chan struct{}, 1), sent: make(chan struct{}, 1), cut: make(chan struct{}), over: make(chan struct{})}
	id, err := c.open(r, s)
	if err != nil {
		return nil, err
	}
	s.id = id
	return s, nil
}

func ring(bell chan struct{}) {
	select {
	case bell <- struct{}{}:
	default:
	}
}

func (s *Stream) tell(e Event) {
	switch {
	case e.Head != nil:
		s.heads = append(s.heads, e.Head)
	case len(e.Data) > 0:
		s.data = append(s.data, e.Data...)
	case e.ends():
		s.end = &e
		close(s.over)
		ring(s.sent)
	}
	ring(s.came)
}

// ReadBy sets until when each wait of Head and Read lasts, also one that goes on; zero is without an end.
func (s *Stream) ReadBy(t time.Time) { s.by(reading, t); ring(s.came) }

// WriteBy is ReadBy for Write.
func (s *Stream) WriteBy(t time.Time) { s.by(writing, t); ring(s.sent) }

func (s *Stream) by(side int, t time.Time) {
	if t.IsZero() {
		s.until[side].Store(0)
	} else {
		s.until[side].Store(t.UnixNano())
	}
}

// wait waits for a bell, or for an end of waiting.
func (s *Stream) wait(bell chan struct{}, side int) error {
	var late <-chan time.Time
	if t := s.until[side].Load(); t != 0 {
		timer := time.NewTimer(time.Until(time.Unix(0, t)))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-bell:
		return nil
	case <-late:
		return os.ErrDeadlineExceeded
	case <-s.cut:
		return ErrCut
	}
}

// Head waits for the head of the answer; another may have to be waited for behind a time that
// ended. An error of the stream is a *StreamError.
func (s *Stream) Head() (*Answer, error) {
	for {
		s.c.mu.Lock()
		var h *Answer
		if len(s.heads) > 0 {
			h, s.heads = s.heads[0], s.heads[1:]
		}
		end := s.end
		s.c.mu.Unlock()
		switch {
		case h != nil && h.Status >= 200:
			return h, nil
		case h != nil:
			if s.early != nil {
				s.early(h.Status, h.Header)
			}
			continue
		case end != nil: // a whole answer has a head
			return nil, end.Err
		}
		if err := s.wait(s.came, reading); err != nil {
			return nil, err
		}
	}
}

// Read reads on in the answer's body. io.EOF is an answer that is whole.
func (s *Stream) Read(p []byte) (int, error) {
	for {
		s.c.mu.Lock()
		n := copy(p, s.data)
		s.data = s.data[n:]
		if len(s.data) == 0 {
			s.data = nil
		}
		end := s.end
		if n > 0 {
			s.c.m.Consumed(s.id, n)
		}
		say := s.c.m.Says()
		s.c.mu.Unlock()
		if say {
			s.c.poke()
		}
		switch {
		case n > 0 || len(p) == 0:
			return n, nil
		case end != nil && end.Err != nil:
			return 0, end.Err
		case end != nil:
			return 0, io.EOF
		}
		if err := s.wait(s.came, reading); err != nil {
			return 0, err
		}
	}
}

// Ready tells whether Read would not wait.
func (s *Stream) Ready() bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return len(s.data) > 0 || s.end != nil
}

// More tells whether something of the body is there to be read.
func (s *Stream) More() bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return len(s.data) > 0
}

// Trailer are the fields behind the body, once Read has given io.EOF.
func (s *Stream) Trailer() http.Header {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if s.end == nil || s.end.Answer == nil {
		return nil
	}
	return s.end.Answer.Trailer
}

// Over is closed when the stream has ended.
func (s *Stream) Over() <-chan struct{} { return s.over }

// Ended tells how the stream ended; nil while it goes on.
func (s *Stream) Ended() *Event {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.end
}

// Write sends more of the request's body, once there is room for it. Where the stream has ended it
// gives io.ErrClosedPipe: how it ended is for Head and Read to tell.
func (s *Stream) Write(p []byte) (int, error) {
	for {
		s.c.mu.Lock()
		over, room := s.end != nil, s.c.m.Unsent(s.id) < s.most
		switch {
		case over:
		case room:
			s.c.m.Feed(s.id, p, false, nil)
		default:
			s.c.blocked[s] = true
		}
		s.c.mu.Unlock()
		if over {
			return 0, io.ErrClosedPipe
		}
		if room {
			s.c.push()
			return len(p), nil
		}
		if err := s.wait(s.sent, writing); err != nil {
			return 0, err
		}
	}
}

// CloseWrite ends the request's body.
func (s *Stream) CloseWrite(trailer http.Header) {
	s.c.mu.Lock()
	if s.end == nil {
		s.c.m.Feed(s.id, nil, true, trailer)
	}
	s.c.mu.Unlock()
	s.c.push()
}

// Cut ends all waiting, for good. It never waits.
func (s *Stream) Cut() { s.once.Do(func() { close(s.cut) }) }

// Close resets the stream where it has not ended, and returns once that has gone out.
func (s *Stream) Close() { s.c.giveUp(s.id) }
