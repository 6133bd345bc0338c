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

// ErrAborted is the end of a stream that was broken off from this side.
var ErrAborted = errors.New("broken off")

// Stream is a request whose body may still come and whose answer is told as it comes. One goroutine
// may be in Head and Read, another in Write and CloseWrite; the others may be called by any.
type Stream struct {
	conn           *Conn
	id             uint32
	maxUnsentBytes int                    // of a body that is held to be sent
	onInterim      func(int, http.Header) // is told of answers of 1xx by Head's goroutine; may be nil
	readable       chan struct{}          // rung when something came, or waiting is to end
	writable       chan struct{}          // the same for who writes
	ended          chan struct{}          // closed with the stream's end
	aborted        chan struct{}          // closed by Cut
	abortOnce      sync.Once              // of cut
	deadlines      [2]atomic.Int64        // deadlines, of reading and of writing, as Unix time in ns; 0 is none

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
func (c *Conn) Open(request *Request, maxUnsentBytes int, onInterim func(int, http.Header)) (*Stream, error) {
	request.StreamsAnswer = true
	stream := &Stream{conn: c, maxUnsentBytes: maxUnsentBytes, onInterim: onInterim, readable: make(chan struct{}, 1), writable: make(chan struct{}, 1), aborted: make(chan struct{}), ended: make(chan struct{})}
	id, err := c.open(request, stream)
	if err != nil {
		return nil, err
	}
	stream.id = id
	return stream, nil
}

func signal(bell chan struct{}) {
	select {
	case bell <- struct{}{}:
	default:
	}
}

func (s *Stream) receive(event Event) {
	switch {
	case event.Head != nil:
		s.heads = append(s.heads, event.Head)
	case len(event.Data) > 0:
		s.data = append(s.data, event.Data...)
	case event.ends():
		s.end = &event
		close(s.ended)
		signal(s.writable)
	}
	signal(s.readable)
}

// ReadBy sets until when each wait of Head and Read lasts, also one that goes on; zero is without an end.
func (s *Stream) ReadBy(t time.Time) { s.setDeadline(reading, t); signal(s.readable) }

// WriteBy is ReadBy for Write.
func (s *Stream) WriteBy(t time.Time) { s.setDeadline(writing, t); signal(s.writable) }

func (s *Stream) setDeadline(side int, t time.Time) {
	if t.IsZero() {
		s.deadlines[side].Store(0)
	} else {
		s.deadlines[side].Store(t.UnixNano())
	}
}

// wait waits for a bell, or for an end of waiting.
func (s *Stream) wait(bell chan struct{}, side int) error {
	var late <-chan time.Time
	if t := s.deadlines[side].Load(); t != 0 {
		timer := time.NewTimer(time.Until(time.Unix(0, t)))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-bell:
		return nil
	case <-late:
		return os.ErrDeadlineExceeded
	case <-s.aborted:
		return ErrAborted
	}
}

// Head waits for the head of the answer; another may have to be waited for behind a time that
// ended. An error of the stream is a *StreamError.
func (s *Stream) Head() (*Answer, error) {
	for {
		s.conn.mu.Lock()
		var answer *Answer
		if len(s.heads) > 0 {
			answer, s.heads = s.heads[0], s.heads[1:]
		}
		end := s.end
		s.conn.mu.Unlock()
		switch {
		case answer != nil && answer.Status >= 200:
			return answer, nil
		case answer != nil:
			if s.onInterim != nil {
				s.onInterim(answer.Status, answer.Header)
			}
			continue
		case end != nil: // a whole answer has a head
			return nil, end.Err
		}
		if err := s.wait(s.readable, reading); err != nil {
			return nil, err
		}
	}
}

// Read reads on in the answer's body. io.EOF is an answer that is whole.
func (s *Stream) Read(p []byte) (int, error) {
	for {
		s.conn.mu.Lock()
		n := copy(p, s.data)
		s.data = s.data[n:]
		if len(s.data) == 0 {
			s.data = nil
		}
		end := s.end
		if n > 0 {
			s.conn.machine.Consumed(s.id, n)
		}
		say := s.conn.machine.HasOutput()
		s.conn.mu.Unlock()
		if say {
			s.conn.wakeWriter()
		}
		switch {
		case n > 0 || len(p) == 0:
			return n, nil
		case end != nil && end.Err != nil:
			return 0, end.Err
		case end != nil:
			return 0, io.EOF
		}
		if err := s.wait(s.readable, reading); err != nil {
			return 0, err
		}
	}
}

// HasBuffered tells whether Read would not wait.
func (s *Stream) HasBuffered() bool {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return len(s.data) > 0 || s.end != nil
}

// HasMore tells whether something of the body is there to be read.
func (s *Stream) HasMore() bool {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return len(s.data) > 0
}

// Trailer are the fields behind the body, once Read has given io.EOF.
func (s *Stream) Trailer() http.Header {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.end == nil || s.end.Answer == nil {
		return nil
	}
	return s.end.Answer.Trailer
}

// Done is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.ended }

// Ended tells how the stream ended; nil while it goes on.
func (s *Stream) Ended() *Event {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.end
}

// Write sends more of the request's body, once there is room for it. Where the stream has ended it
// gives io.ErrClosedPipe: how it ended is for Head and Read to tell.
func (s *Stream) Write(p []byte) (int, error) {
	for {
		s.conn.mu.Lock()
		hasEnded, hasSpace := s.end != nil, s.conn.machine.UnsentBytes(s.id) < s.maxUnsentBytes
		switch {
		case hasEnded:
		case hasSpace:
			s.conn.machine.Feed(s.id, p, false, nil)
		default:
			s.conn.blockedWriters[s] = true
		}
		s.conn.mu.Unlock()
		if hasEnded {
			return 0, io.ErrClosedPipe
		}
		if hasSpace {
			s.conn.writeNow()
			return len(p), nil
		}
		if err := s.wait(s.writable, writing); err != nil {
			return 0, err
		}
	}
}

// CloseWrite ends the request's body.
func (s *Stream) CloseWrite(trailer http.Header) {
	s.conn.mu.Lock()
	if s.end == nil {
		s.conn.machine.Feed(s.id, nil, true, trailer)
	}
	s.conn.mu.Unlock()
	s.conn.writeNow()
}

// Abort ends all waiting, for good. It never waits.
func (s *Stream) Abort() { s.abortOnce.Do(func() { close(s.aborted) }) }

// Close resets the stream where it has not ended, and returns once that has gone out.
func (s *Stream) Close() { s.conn.cancelStream(s.id) }
