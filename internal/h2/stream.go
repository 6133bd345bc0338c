package h2

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// ErrAborted is the error of a stream that was aborted from this side.
var ErrAborted = errors.New("aborted")

// Stream is a request whose body may still follow and whose answer is read as it arrives. One goroutine may call Head
// and Read, another one Write and CloseWrite; the other methods may be called by any.
type Stream struct {
	conn           *Conn
	id             uint32
	maxUnsentBytes int                    // of a body that are buffered
	onInterim      func(int, http.Header) // called by Head with interim answers (1xx); may be nil
	readable       chan struct{}          // signalled when there may be something to read, or a wait has to end
	writable       chan struct{}          // the same for the writer
	ended          chan struct{}          // closed with the stream's end
	aborted        chan struct{}          // closed by Abort
	abortOnce      sync.Once              // closes aborted
	deadlines      [2]streamDeadline      // of reading and of writing

	// Guarded by the connection's mu.
	heads []*Answer // that Head has not returned
	data  []byte    // that Read has not returned
	end   *Event    // nil until then
}

// direction is an index of Stream.deadlines.
type direction int

const (
	reading direction = iota
	writing
)

// Open sends a request, and buffers up to maxUnsentBytes of its body. Head calls onInterim, which may be nil, with the
// status and header of each interim answer. After ErrNoStream nothing was sent.
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
	id, err := c.open(request, stream)
	if err != nil {
		return nil, err
	}
	stream.id = id
	return stream, nil
}

// signal signals a channel that has space for one signal, unless it has one.
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

// ReadBy sets the deadline of Head and Read, also of a call that is waiting; zero is none.
func (s *Stream) ReadBy(deadline time.Time) {
	s.deadlines[reading].set(deadline)
	signal(s.readable)
}

// WriteBy is ReadBy for Write.
func (s *Stream) WriteBy(deadline time.Time) {
	s.deadlines[writing].set(deadline)
	signal(s.writable)
}

// streamDeadline is a deadline that one goroutine sets and another waits for; its zero value is none. It keeps the
// monotonic reading of the time, which Unix time has not, without an allocation for each deadline.
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

// wait waits for a signal on a channel, for the deadline of its direction, or for Abort.
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

// Head waits for the head of the answer. It may be retried after a timeout. An error of the stream is a
// *StreamError.
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
		case end != nil: // a complete answer has a head
			return nil, end.Err
		}
		if err := s.wait(s.readable, reading); err != nil {
			return nil, err
		}
	}
}

// Read reads the answer's body. io.EOF is the end of a complete answer.
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

// HasMore reports whether a part of the body can be read.
func (s *Stream) HasMore() bool {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return len(s.data) > 0
}

// Trailer returns the trailer fields, once Read has returned io.EOF.
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

// Ended returns how the stream ended; nil until then.
func (s *Stream) Ended() *Event {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.end
}

// Write sends more of the request's body, once there is space for it. Where the stream has ended it returns
// io.ErrClosedPipe; Head and Read return how it ended.
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

// CloseWrite ends the request's body.
func (s *Stream) CloseWrite(trailer http.Header) {
	s.conn.mu.Lock()
	if s.end == nil {
		s.conn.machine.SendBody(s.id, nil, true, trailer)
	}
	s.conn.mu.Unlock()
	s.conn.writeNow()
}

// Abort ends all calls that wait, for good. It never blocks.
func (s *Stream) Abort() { s.abortOnce.Do(func() { close(s.aborted) }) }

// Close resets a stream that has not ended, and returns once the reset is written.
func (s *Stream) Close() { s.conn.cancelStream(s.id) }
