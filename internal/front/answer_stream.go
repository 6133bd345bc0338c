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

// maxUnsentBytes is how many bytes of an answer of known length are read before its head is written.
// net/http would buffer about as many anyway.
const maxUnsentBytes = 4 << 10

// minDirectBytes is the length above which an answer is copied directly from socket to socket. For
// shorter answers the setup costs more than it saves.
const minDirectBytes = 256 << 10

var errClientDisconnected = errors.New("the client has disconnected")

// answerStream copies the body of an answer from a server to a client as it arrives.
type answerStream struct {
	source      *upstream.Stream
	writer      http.ResponseWriter
	controller  *http.ResponseController
	buffer      []byte
	idleTimeout time.Duration
	rate        rateGuard // enforces the client's minimum read rate
}

// streamAnswer writes an answer to the client while its body arrives from the server. It panics with
// http.ErrAbortHandler if the answer is truncated.
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

// bufferPrefix reads up to maxUnsentBytes of an answer of known length into the buffer. If the server
// fails within them, the client can still get an error status.
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

// writeBadGateway writes a 502 in place of an answer that was truncated before any of it was written.
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

// copyBody copies the body to the client. The buffer holds the first buffered bytes of the body, and
// readErr is the error with which reading them ended. It returns errClientDisconnected if a write to
// the client fails, and another error if the rest of the body cannot be read or the client is too slow.
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
			// If more bytes from the server are already buffered, the client is the slow side.
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

// write writes a part of the body. If the length of the body is unknown and no more of it is buffered, it
// also flushes. It returns false if the client has disconnected.
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
// of it, and nil if a direct copy is not possible, or not possible yet.
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

// extendWriteDeadline limits the next write, so that a client that reads nothing does not block it forever.
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

// abort closes the client's connection in the middle of an answer. It panics with http.ErrAbortHandler.
func (s *answerStream) abort(r *http.Request) {
	// In HTTP/1.0 the end of the connection is the end of the answer, so only a reset shows that the
	// answer is incomplete.
	if conn := validatingConnOf(r); conn != nil && !s.hasLength() && !r.ProtoAtLeast(1, 1) {
		conn.resetOnClose()
	}
	s.source.Close() // before the panic, because net/http may wait while it unwinds the handler
	panic(http.ErrAbortHandler)
}
