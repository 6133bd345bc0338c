// Package validation detects HTTP/1.1 messages that two parsers could read differently, which enables
// request smuggling. net/http repairs or overlooks them:
//
//   - a body with both Content-Length and Transfer-Encoding, or with several lengths (RFC 9112, 6.3)
//   - a header field folded over several lines (5.2)
//   - a CR that does not end a line (2.2)
//   - a Transfer-Encoding in an HTTP/1.0 message (6.1)
//
// A Scanner is fed the bytes that net/http reads from a connection; it does not change them and does no I/O.
// Packages front and upstream scan the connections of clients and servers with it. It also measures the heads that
// net/http parses, whose fields take many times the memory of their bytes (HeadSize).
package validation

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"
)

// Errors for which a message is rejected. Their texts are sent to clients.
var (
	ErrFraming                = errors.New("both Content-Length and Transfer-Encoding")
	ErrContentLength          = errors.New("no single Content-Length")
	ErrLineFolding            = errors.New("a field that goes on in a further line")
	ErrBareCR                 = errors.New("a CR that ends no line")
	ErrHTTP10TransferEncoding = errors.New("a Transfer-Encoding in a message of HTTP/1.0")
	ErrTransferEncoding       = errors.New("a Transfer-Encoding other than chunked")
	ErrChunkSize              = errors.New("a chunk with no size")
	ErrTooManyFields          = errors.New("too many fields in a head or trailer")
)

// HeadSize is the size of heads and trailers. Its bytes include the start lines.
type HeadSize struct {
	Bytes  int64
	Fields int64
}

// Minus returns the part of a size that follows a smaller one.
func (s HeadSize) Minus(earlier HeadSize) HeadSize {
	return HeadSize{Bytes: s.Bytes - earlier.Bytes, Fields: s.Fields - earlier.Fields}
}

// maxLineBytes is the length up to which a line is buffered. It suffices for the fields that frame a message.
const maxLineBytes = 96

// state is the part of a message that the next line belongs to.
type state int

const (
	inHead      state = iota
	inChunkSize       // the line with a chunk's size
	inChunkEnd        // the empty line after a chunk's data
	inTrailer         // the trailer section after the last chunk
	stopped           // the remaining bytes are ignored
)

// Scanner scans the bytes that one side of a connection sends, in order. Its zero value expects the
// first byte of a request. It is not safe for concurrent use.
type Scanner struct {
	// ReadsResponses makes the Scanner scan responses instead of requests. It stops after the head of the first
	// final response, and after an upgrade.
	ReadsResponses bool
	// MaxFields limits the fields of a message; 0 is no limit.
	MaxFields int
	// MeasuresOnly makes the Scanner ignore all violations but ErrTooManyFields.
	MeasuresOnly bool

	total        HeadSize // of all messages so far
	messageStart HeadSize // total at the start of the current message
	messages     int      // messages that have ended

	err         error // the first violation
	state       state
	bytesToSkip int64 // bytes left of the current body or chunk

	// The current line.
	line        [maxLineBytes]byte // the beginning of the line, without the line end
	lineLength  int                // bytes used in line
	isTruncated bool               // the line is longer than maxLineBytes
	lineTail    [8]byte            // the last bytes of the line, which hold the HTTP version of a long request line
	endsWithCR  bool               // the last byte read of the line is a CR

	// The current message.
	hasStartLine       bool
	isHTTP10           bool
	isInterim          bool // the message is a response with a 1xx status other than 101
	contentLength      int64
	contentLengthCount int // Content-Length fields read so far
	isChunked          bool
}

// Stop makes the scanner ignore all following bytes, as after an upgrade.
func (s *Scanner) Stop() {
	s.state = stopped
	s.bytesToSkip = 0
}

// Reset makes the scanner expect a new message. It keeps the sizes of the earlier ones.
func (s *Scanner) Reset() {
	*s = Scanner{
		ReadsResponses: s.ReadsResponses,
		MaxFields:      s.MaxFields,
		MeasuresOnly:   s.MeasuresOnly,
		total:          s.total,
		messageStart:   s.total,
		messages:       s.messages,
	}
}

// TotalSize returns the size of the heads of all messages so far.
func (s *Scanner) TotalSize() HeadSize { return s.total }

// CurrentSize returns the size of the current message's head, as far as it has been read.
func (s *Scanner) CurrentSize() HeadSize { return s.total.Minus(s.messageStart) }

// Messages returns how many messages have been read completely, but for the body of a message with a Content-Length.
func (s *Scanner) Messages() int { return s.messages }

// HasViolation reports whether a message was malformed. The ends of messages are unknown from there on.
func (s *Scanner) HasViolation() bool { return s.err != nil }

// IsHeadRead reports whether the head of a message has been read whose body has not: a part of the body is missing, or its
// end has not been found yet.
func (s *Scanner) IsHeadRead() bool {
	return s.bytesToSkip > 0 || s.state == inChunkSize || s.state == inChunkEnd || s.state == inTrailer
}

// Feed scans the next bytes. After an error it returns an error for all following bytes, because the end of the malformed
// message is unknown. It is the same error, or ErrTooManyFields once they may hold too many fields.
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
			s.measure(len(p))
			s.appendToLine(p)
			p = nil
			break
		}
		s.measure(i + 1)
		s.appendToLine(p[:i])
		p = p[i+1:]
		if s.err == nil || s.canIgnore() {
			s.endLine()
		}
		s.resetLine()
		if s.canIgnore() {
			s.err = nil
		}
	}
	if s.err != nil {
		s.measureUnknown(p)
	}
	return s.err
}

// canIgnore reports whether the violation that was found is ignored.
func (s *Scanner) canIgnore() bool { return s.MeasuresOnly && !errors.Is(s.err, ErrTooManyFields) }

// measure adds bytes of the current line, unless it frames a chunk: such lines are not kept.
func (s *Scanner) measure(n int) {
	if s.state == inHead || s.state == inTrailer {
		s.total.Bytes += int64(n)
	}
}

// measureUnknown measures bytes after a violation. It takes them for fields, which take the most memory.
func (s *Scanner) measureUnknown(p []byte) {
	s.total.Bytes += int64(len(p))
	s.total.Fields += int64(bytes.Count(p, []byte{'\n'}))
	s.limitFields()
}

// countField counts a line of a head or trailer as a field.
func (s *Scanner) countField() {
	s.total.Fields++
	s.limitFields()
}

// limitFields sets ErrTooManyFields if the current message has too many fields.
func (s *Scanner) limitFields() {
	if s.MaxFields > 0 && s.CurrentSize().Fields > int64(s.MaxFields) {
		s.err = ErrTooManyFields
	}
}

// resetLine prepares for the next line.
func (s *Scanner) resetLine() {
	s.lineLength = 0
	s.isTruncated = false
	s.endsWithCR = false
}

// appendToLine adds a part of the current line. A CR is valid only as its last byte.
func (s *Scanner) appendToLine(p []byte) {
	if len(p) == 0 {
		return
	}
	i := bytes.IndexByte(p, '\r')
	if s.endsWithCR || i >= 0 && i < len(p)-1 {
		s.err = ErrBareCR
		return
	}
	if i >= 0 {
		s.endsWithCR = true
		p = p[:i]
	}
	n := copy(s.line[s.lineLength:], p)
	s.lineLength += n
	s.isTruncated = s.isTruncated || n < len(p)
	if len(p) >= len(s.lineTail) {
		copy(s.lineTail[:], p[len(p)-len(s.lineTail):])
	} else {
		copy(s.lineTail[:], s.lineTail[len(p):])
		copy(s.lineTail[len(s.lineTail)-len(p):], p)
	}
}

// endLine processes the complete current line.
func (s *Scanner) endLine() {
	line := s.line[:s.lineLength]
	switch s.state {
	case inHead:
		s.readHeadLine(line)
	case inChunkSize:
		s.readChunkSize(line)
	case inChunkEnd:
		s.state = inChunkSize
		if len(line) > 0 {
			s.err = ErrChunkSize
		}
	case inTrailer:
		if len(line) == 0 {
			s.endMessage()
			return
		}
		s.countField()
		if line[0] == ' ' || line[0] == '\t' {
			s.err = ErrLineFolding
		}
	}
}

// readHeadLine processes a line of a head: its start line, a field, or the empty line that ends it.
func (s *Scanner) readHeadLine(line []byte) {
	switch {
	case s.hasStartLine && len(line) == 0:
		s.endHead()
	case s.hasStartLine:
		s.countField()
		s.readField(line)
	case len(line) > 0: // empty lines before a message are ignored (RFC 9112, 2.2)
		s.hasStartLine = true
		s.readStartLine(line)
	}
}

// readStartLine determines the HTTP version, and whether a response is an interim one.
func (s *Scanner) readStartLine(line []byte) {
	if s.ReadsResponses {
		s.isHTTP10 = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		// No HTTP message follows a 101 (Switching Protocols).
		s.isInterim = len(line) > 11 && line[9] == '1' && string(line[9:12]) != "101"
		return
	}
	s.isHTTP10 = string(s.lineTail[:7]) != "HTTP/1." || s.lineTail[7] == '0'
}

// readField checks a header field, and stores the values of the fields that frame the body.
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
		isConflicting := s.contentLengthCount > 0 && n != s.contentLength
		if !ok || s.isTruncated || isConflicting {
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

// parseDigits parses a decimal number without sign. It does not allocate.
func parseDigits(digits []byte) (n int64, ok bool) {
	for _, d := range digits {
		if d < '0' || d > '9' || n > (math.MaxInt64-9)/10 {
			return 0, false
		}
		n = 10*n + int64(d-'0')
	}
	return n, len(digits) > 0
}

// endHead checks the framing of a message and sets the state for what follows its head.
func (s *Scanner) endHead() {
	switch {
	case s.MeasuresOnly && s.ReadsResponses && !s.isInterim:
		s.Stop()
	case s.isChunked && s.contentLengthCount > 0:
		s.err = ErrFraming
	case s.isChunked && s.isHTTP10:
		s.err = ErrHTTP10TransferEncoding
	case s.ReadsResponses && s.isInterim:
		s.endMessage()
	case s.ReadsResponses:
		s.Stop()
	case s.isChunked:
		s.state = inChunkSize
	default:
		s.bytesToSkip = s.contentLength
		s.endMessage()
	}
}

// endMessage makes the scanner expect the head of the next message, after any bytes still to be skipped.
func (s *Scanner) endMessage() {
	s.messages++
	s.messageStart = s.total
	s.state = inHead
	s.hasStartLine = false
	s.isHTTP10 = false
	s.isInterim = false
	s.contentLength = 0
	s.contentLengthCount = 0
	s.isChunked = false
}

// readChunkSize parses the size in the line before a chunk, and ignores chunk extensions.
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
	s.bytesToSkip = int64(n)
	s.state = inChunkEnd
}
