package h2

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// ErrAborted is the error of calls on a stream that this side has aborted.
var ErrAborted = errors.New("aborted")

// Stream is a request whose body may still be written and whose answer is read as it arrives. One goroutine may call
// Head and Read, and another one Write and CloseWrite; the other methods are safe for concurrent use.
type Stream struct {
	conn           *Conn
	id             uint32
	maxUnsentBytes int                    // limit on buffered bytes of the body, above which Write waits
	onInterim      func(int, http.Header) // called by Head with interim answers (1xx); may be nil
	readable       chan struct{}          // wakes the reader: data, the end or a new deadline may be available
	writable       chan struct{}          // wakes the writer: buffer space, the end or a new deadline may be available
	ended          chan struct{}          // closed when the stream ends
	aborted        chan struct{}          // closed by Abort
	abortOnce      sync.Once              // closes aborted
	deadlines      [2]streamDeadline      // indexed by direction
	stopDeadline   func() bool            // stops the timer of the request's WriteDeadline

	// Guarded by the connection's mu.
	heads []*Answer // heads that Head has not returned
	data  []byte    // part of the body that Read has not returned
	end   *Event    // nil until the stream has ended
}

// direction is an index of Stream.deadlines.
type direction int

const (
	reading direction = iota
	writing
)

// Open sends a request. Write waits while maxUnsentBytes or more of the body are buffered. Head calls onInterim, which may
// be nil, with the status and header of each interim answer. If Open returns an error, such as ErrNoStream, nothing was sent.
func (c *Conn) Open(request *Request, maxUnsentBytes int, onInterim func(int, http.Header)) (*Stream, error) {
	request.StreamsAnswer = true
	stream := &Stream{
		conn:           c,
		maxUnsentBytes: maxUnsentBytes,
		onInterim:      onInterim,
		readable:       make(chan struct{}, 1),
		writable:       make(chan struct{}, 1),
		aborted:        make(chan struct{}),
		ended:          make(chan struct{}),
	}
	id, stopDeadline, err := c.open(request, stream)
	if err != nil {
		return nil, err
	}
	stream.id = id
	stream.stopDeadline = stopDeadline
	return stream, nil
}

// signal sends to a channel with a buffer of one, unless the buffer is full.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
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

// SetReadDeadline sets the deadline of Head and Read, including calls in progress; the zero time means no deadline.
func (s *Stream) SetReadDeadline(deadline time.Time) {
	s.deadlines[reading].set(deadline)
	signal(s.readable)
}

// SetWriteDeadline sets the deadline of Write, including a call in progress; the zero time means no deadline.
func (s *Stream) SetWriteDeadline(deadline time.Time) {
	s.deadlines[writing].set(deadline)
	signal(s.writable)
}

// streamDeadline is a deadline that one goroutine sets and another waits for; its zero value means no deadline. It keeps
// the monotonic clock reading, which an atomic Unix time would lose, and does not allocate for each deadline.
type streamDeadline struct {
	mu   sync.Mutex
	time time.Time
}

func (d *streamDeadline) set(deadline time.Time) {
	d.mu.Lock()
	d.time = deadline
	d.mu.Unlock()
}

func (d *streamDeadline) get() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.time
}

// wait waits until channel is signalled, the deadline of direction passes or Abort is called.
func (s *Stream) wait(channel chan struct{}, direction direction) error {
	var expired <-chan time.Time
	if deadline := s.deadlines[direction].get(); !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-channel:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-s.aborted:
		return ErrAborted
	}
}

// Head waits for the head of the final answer and returns it. It may be called again after a timeout. If the stream fails,
// the error is a *StreamError.
func (s *Stream) Head() (*Answer, error) {
	for {
		s.conn.mu.Lock()
		var answer *Answer
		if len(s.heads) > 0 {
			answer = s.heads[0]
			s.heads = s.heads[1:]
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
		case end != nil: // the stream failed: a complete answer would have had a head
			return nil, end.Err
		}
		if err := s.wait(s.readable, reading); err != nil {
			return nil, err
		}
	}
}

// Read reads the answer's body. It returns io.EOF at the end of a complete answer.
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
		needsWrite := s.conn.machine.HasOutput()
		s.conn.mu.Unlock()
		if needsWrite {
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

// HasBuffered reports whether Read returns without waiting.
func (s *Stream) HasBuffered() bool {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return len(s.data) > 0 || s.end != nil
}

// HasMore reports whether a received part of the body has not been read.
func (s *Stream) HasMore() bool {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return len(s.data) > 0
}

// Trailer returns the trailer fields. They are available once Read has returned io.EOF.
func (s *Stream) Trailer() http.Header {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.end == nil || s.end.Answer == nil {
		return nil
	}
	return s.end.Answer.Trailer
}

// Done returns a channel that is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.ended }

// Result returns the event that ended the stream, or nil if the stream has not ended.
func (s *Stream) Result() *Event {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.end
}

// Write sends more of the request's body; it waits until there is buffer space. If the stream has ended, it returns
// io.ErrClosedPipe; Head and Read return the stream's error.
func (s *Stream) Write(p []byte) (int, error) {
	for {
		s.conn.mu.Lock()
		hasEnded := s.end != nil
		hasSpace := s.conn.machine.UnsentBytes(s.id) < s.maxUnsentBytes
		switch {
		case hasEnded:
		case hasSpace:
			s.conn.machine.SendBody(s.id, p, false, nil)
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

// CloseWrite ends the request's body with optional trailers.
func (s *Stream) CloseWrite(trailer http.Header) {
	s.conn.mu.Lock()
	if s.end == nil {
		s.conn.machine.SendBody(s.id, nil, true, trailer)
	}
	s.conn.mu.Unlock()
	s.conn.writeNow()
}

// Abort makes waiting calls, and later ones that would wait, return ErrAborted. It never blocks and does not reset the stream.
func (s *Stream) Abort() { s.abortOnce.Do(func() { close(s.aborted) }) }

// Close resets the stream unless it has ended, and returns once the reset is written or the connection has ended.
func (s *Stream) Close() {
	s.stopDeadline()
	s.conn.cancelStream(s.id)
}
