package front

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// maxUnsentBytes is how much of an answer of known length is read before its head is written. net/http
// would buffer about as much anyway.
const maxUnsentBytes = 4 << 10

// minDirectBytes is the length from which an answer is copied from socket to socket. For shorter ones
// the setup costs more than it saves.
const minDirectBytes = 256 << 10

var errClientDisconnected = errors.New("the client takes no more of the answer")

// answerStream copies the body of an answer from a server to a client as it arrives.
type answerStream struct {
	source      *upstream.Stream
	writer      http.ResponseWriter
	controller  *http.ResponseController
	buffer      []byte
	idleTimeout time.Duration
	rate        rateGuard // of the client
}

// streamAnswer writes an answer to the client while its body arrives. It panics with
// http.ErrAbortHandler if the answer breaks off.
func (o *GenericHTTP) streamAnswer(front *Front, w http.ResponseWriter, r *http.Request, answer service.Answer) {
	buffer := upstream.BodyBuffers.Get().(*[]byte)
	defer upstream.BodyBuffers.Put(buffer)
	s := &answerStream{
		source:      answer.Stream,
		writer:      w,
		controller:  http.NewResponseController(w),
		buffer:      *buffer,
		idleTimeout: o.IdleTimeout,
		rate:        rateGuard{gracePeriod: o.IdleTimeout, minBytesPerSecond: o.MinBytesPerSecond},
	}
	buffered, err := s.bufferPrefix()
	if err != nil && !errors.Is(err, io.EOF) {
		s.source.Close()
		s.writeBadGateway(front, r)
		return
	}
	trailerNames := s.writeHead(answer)
	switch err := s.copyBody(buffered, err); {
	case err == nil:
		s.writeTrailer(trailerNames)
	case errors.Is(err, errClientDisconnected):
	default:
		s.abort(r)
	}
}

// hasLength reports whether the length of the answer is known in advance.
func (s *answerStream) hasLength() bool { return s.source.ContentLength >= 0 }

// bufferBeginning fills the buffer with the beginning of an answer of known length, so that one that breaks
// off there can still be answered with an error status.
func (s *answerStream) bufferPrefix() (buffered int, err error) {
	if !s.hasLength() {
		return 0, nil
	}
	for buffered < maxUnsentBytes && err == nil {
		var n int
		n, err = s.source.Read(s.buffer[buffered:])
		buffered += n
	}
	return buffered, err
}

// writeBadGateway answers instead of a server whose answer broke off before any of it was written.
func (s *answerStream) writeBadGateway(front *Front, r *http.Request) {
	header := s.writer.Header()
	connection := header["Connection"]
	clear(header)
	if len(connection) > 0 {
		header["Connection"] = connection
	}
	status, text := nodeAnswer(service.Answer{Kind: service.Failed, Status: http.StatusBadGateway})
	writeNodeAnswer(front, s.writer, r, status, text, 0)
}

// writeHead writes the head of the answer. It returns the names of the trailer fields that the head
// announces, sorted.
func (s *answerStream) writeHead(answer service.Answer) (trailerNames []string) {
	header := s.writer.Header()
	if s.hasLength() {
		header["Content-Length"] = answer.Header["Content-Length"]
		s.writer.WriteHeader(answer.Status)
		return nil
	}
	trailerNames = s.source.TrailerNames()
	if len(trailerNames) > 0 {
		slices.Sort(trailerNames)
		header["Trailer"] = trailerNames
	}
	s.writer.WriteHeader(answer.Status)
	_ = s.controller.Flush() // the first bytes of an event stream may arrive much later
	return trailerNames
}

// copyBody copies the body. The buffer holds its first bytes, and readErr is the error with which
// reading them ended. It returns errClientGone if the client accepts no more, and any other error if
// the rest of the body will not arrive or the client is too slow.
func (s *answerStream) copyBody(buffered int, readErr error) error {
	direct, _ := s.writer.(io.ReaderFrom)
	n := buffered
	err := readErr
	for {
		if n == 0 && err == nil {
			n, err = s.source.Read(s.buffer)
		}
		if n > 0 {
			if !s.write(s.buffer[:n]) {
				return errClientDisconnected
			}
			// If the server has more ready, it is the client that is slow.
			if rateErr := s.rate.record(time.Now(), n); rateErr != nil && s.source.HasBuffered() {
				err = rateErr
			}
		}
		if err == nil && direct != nil && s.source.ContentLength > minDirectBytes {
			err = s.copyDirect(direct)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		n = 0
	}
}

// write writes a part of the body, and flushes it if no more is ready. It returns false if the client
// has gone.
func (s *answerStream) write(p []byte) bool {
	s.extendWriteDeadline()
	if _, err := s.writer.Write(p); err != nil {
		return false
	}
	if !s.hasLength() && !s.source.HasBuffered() {
		return s.controller.Flush() == nil
	}
	return true
}

// copyDirect copies the rest of the body from socket to socket. It returns io.EOF if it has copied all
// of it, and nil if that is not possible, or not yet.
func (s *answerStream) copyDirect(destination io.ReaderFrom) error {
	recordBytes := func(n int64) error { return s.rate.record(time.Now(), int(n)) }
	err := s.source.CopyTo(destination, s.extendWriteDeadline, recordBytes)
	switch {
	case errors.Is(err, errors.ErrUnsupported):
		return nil
	case err == nil:
		return io.EOF
	}
	return err
}

// extendWriteDeadline bounds the next write: a client that reads nothing must not block it forever.
func (s *answerStream) extendWriteDeadline() {
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.idleTimeout))
}

// writeTrailer sets the trailer fields, which net/http writes after the body.
func (s *answerStream) writeTrailer(announced []string) {
	header := s.writer.Header()
	for name, values := range s.source.Trailer() {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		if len(values) > 0 {
			header[name] = values
		}
	}
}

// abort closes the client's connection in the middle of an answer. It does not return.
func (s *answerStream) abort(r *http.Request) {
	// In HTTP/1.0 the end of the connection is the end of the answer, so only a reset shows that the
	// answer is incomplete.
	if conn := validatingConnOf(r); conn != nil && !s.hasLength() && !r.ProtoAtLeast(1, 1) {
		conn.resetOnClose()
	}
	s.source.Close() // first, because net/http may wait while it unwinds the handler
	panic(http.ErrAbortHandler)
}
