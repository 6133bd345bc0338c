// Package validation looks for what makes a message of HTTP/1.1 mean two things to two readers, which
// the library that parses it would mend or overlook: a body with two framings (RFC 9112, 6.3), a
// field that goes on in a further line (5.2), a CR that ends no line (2.2), a Transfer-Encoding
// in a message of HTTP/1.0 (6.1). It reads along, changes nothing and does no I/O.
package validation

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"
)

// What a message can be refused for.
var (
	ErrFraming                = errors.New("both Content-Length and Transfer-Encoding")
	ErrContentLength          = errors.New("no single Content-Length")
	ErrLineFolding            = errors.New("a field that goes on in a further line")
	ErrBareCR                 = errors.New("a CR that ends no line")
	ErrHTTP10TransferEncoding = errors.New("a Transfer-Encoding in a message of HTTP/1.0")
	ErrTransferEncoding       = errors.New("a Transfer-Encoding other than chunked")
	ErrChunkSize              = errors.New("a chunk with no size")
)

// maxLineBytes is how much of a line is looked at: enough for the fields that frame a message.
const maxLineBytes = 96

type state int

const (
	inHead      state = iota // in a head
	inChunkSize              // in the line of a chunk's size
	inChunkEnd               // in the line that ends a chunk
	inTrailer                // in the fields behind the last chunk
	stopped                  // what comes is not looked at
)

// Scanner reads the bytes of one side of a connection in the order in which they come. Its zero
// value expects a request's first byte. It is not safe for concurrent use.
type Scanner struct {
	// ReadsAnswers says that it reads answers: it stops behind the head of the first final one, or of a change of protocols.
	ReadsAnswers bool

	err                error
	state              state
	bytesToSkip        int64 // bytes of a body or chunk that are still to come
	line               [maxLineBytes]byte
	lineLength         int  // bytes in line
	isTruncated        bool // the line has more
	lineEnd            [8]byte
	endsWithCR         bool // the last byte was a CR
	hasStartLine       bool // the head's first line has been read
	isHTTP10           bool // the message is of HTTP/1.0
	isInterim          bool // the answer is
	contentLength      int64
	contentLengthCount int // fields of Content-Length
	isChunked          bool
}

// Stop has the scanner look at nothing any more, as behind an upgrade.
func (s *Scanner) Stop() { s.state, s.bytesToSkip = stopped, 0 }

// Reset has it expect a new message.
func (s *Scanner) Reset() { *s = Scanner{ReadsAnswers: s.ReadsAnswers} }

// Feed takes what came. Once it gives an error it goes on giving it: what follows on the
// connection can't be told from that message.
func (s *Scanner) Feed(p []byte) error {
	for len(p) > 0 && s.err == nil && s.state != stopped {
		if s.bytesToSkip > 0 {
			n := min(s.bytesToSkip, int64(len(p)))
			s.bytesToSkip -= n
			p = p[n:]
			continue
		}
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.appendToLine(p)
			break
		}
		s.appendToLine(p[:i])
		p = p[i+1:]
		if s.err == nil {
			s.endLine()
		}
		s.lineLength, s.isTruncated, s.endsWithCR = 0, false, false
	}
	return s.err
}

// appendToLine takes some of a line. A CR within it is none that ends it.
func (s *Scanner) appendToLine(p []byte) {
	if len(p) == 0 {
		return
	}
	if i := bytes.IndexByte(p, '\r'); s.endsWithCR || i >= 0 && i < len(p)-1 {
		s.err = ErrBareCR
		return
	} else if i >= 0 {
		s.endsWithCR = true
		p = p[:i]
	}
	n := copy(s.line[s.lineLength:], p)
	s.lineLength += n
	s.isTruncated = s.isTruncated || n < len(p)
	if len(p) >= len(s.lineEnd) {
		copy(s.lineEnd[:], p[len(p)-len(s.lineEnd):])
	} else {
		copy(s.lineEnd[:], s.lineEnd[len(p):])
		copy(s.lineEnd[len(s.lineEnd)-len(p):], p)
	}
}

// endLine reads a line that has ended.
func (s *Scanner) endLine() {
	line := s.line[:s.lineLength]
	switch s.state {
	case inHead:
		switch {
		case !s.hasStartLine:
			if len(line) == 0 { // RFC 9112, 2.2: an empty line ahead of a message may be ignored
				return
			}
			s.hasStartLine = true
			s.readStartLine(line)
		case len(line) == 0:
			s.endHead()
		default:
			s.readField(line)
		}
	case inChunkSize:
		s.readChunkSize(line)
	case inChunkEnd:
		if s.state = inChunkSize; len(line) > 0 {
			s.err = ErrChunkSize
		}
	case inTrailer:
		if len(line) == 0 {
			s.endMessage()
		} else if line[0] == ' ' || line[0] == '\t' {
			s.err = ErrLineFolding
		}
	}
}

func (s *Scanner) readStartLine(line []byte) {
	if s.ReadsAnswers {
		s.isHTTP10 = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		// Behind a change of protocols (101) comes none of HTTP.
		s.isInterim = len(line) > 11 && line[9] == '1' && string(line[9:12]) != "101"
		return
	}
	s.isHTTP10 = string(s.lineEnd[:7]) != "HTTP/1." || s.lineEnd[7] == '0'
}

func (s *Scanner) readField(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		s.err = ErrLineFolding
		return
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok || len(name) != len("content-length") && len(name) != len("transfer-encoding"):
	case strings.EqualFold(string(name), "content-length"):
		n, ok := parseDigits(bytes.Trim(value, " \t"))
		if !ok || s.isTruncated || s.contentLengthCount > 0 && n != s.contentLength {
			s.err = ErrContentLength
		}
		s.contentLength = n
		s.contentLengthCount++
	case strings.EqualFold(string(name), "transfer-encoding"):
		if s.isChunked || s.isTruncated || !strings.EqualFold(string(bytes.Trim(value, " \t")), "chunked") {
			s.err = ErrTransferEncoding
		}
		s.isChunked = true
	}
}

// parseDigits reads digits and nothing else, with no allocation.
func parseDigits(digits []byte) (n int64, ok bool) {
	for _, d := range digits {
		if d < '0' || d > '9' || n > (math.MaxInt64-9)/10 {
			return 0, false
		}
		n = 10*n + int64(d-'0')
	}
	return n, len(digits) > 0
}

func (s *Scanner) endHead() {
	switch {
	case s.isChunked && s.contentLengthCount > 0:
		s.err = ErrFraming
	case s.isChunked && s.isHTTP10:
		s.err = ErrHTTP10TransferEncoding
	case s.ReadsAnswers && s.isInterim:
		s.endMessage()
	case s.ReadsAnswers:
		s.Stop()
	case s.isChunked:
		s.state = inChunkSize
	default:
		s.bytesToSkip = s.contentLength
		s.endMessage()
	}
}

// endMessage expects another message.
func (s *Scanner) endMessage() {
	s.state, s.hasStartLine, s.isHTTP10, s.isInterim, s.contentLength, s.contentLengthCount, s.isChunked = inHead, false, false, false, 0, 0, false
}

func (s *Scanner) readChunkSize(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	if err != nil || n > math.MaxInt64/2 {
		s.err = ErrChunkSize
		return
	}
	if n == 0 {
		s.state = inTrailer
		return
	}
	s.bytesToSkip, s.state = int64(n), inChunkEnd
}
