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

// lineKept is how much of a line is looked at: enough for the fields that frame a message.
const lineKept = 96

type state int

const (
	headState    state = iota // in a head
	chunkState                // in the line of a chunk's size
	dataEndState              // in the line that ends a chunk
	trailerState              // in the fields behind the last chunk
	offState                  // what comes is not looked at
)

// Scanner reads the bytes of one side of a connection in the order in which they come. Its zero
// value expects a request's first byte. It is not safe for concurrent use.
type Scanner struct {
	// ReadsAnswers says that it reads answers: it stops behind the head of the first final one, or of a change of protocols.
	ReadsAnswers bool

	err     error
	state   state
	skip    int64 // bytes of a body or chunk that are still to come
	line    [lineKept]byte
	kept    int  // bytes in line
	long    bool // the line has more
	end     [8]byte
	cr      bool // the last byte was a CR
	first   bool // the head's first line has been read
	old     bool // the message is of HTTP/1.0
	interim bool // the answer is
	length  int64
	lengths int // fields of Content-Length
	coded   bool
}

// Stop has the scanner look at nothing any more, as behind an upgrade.
func (s *Scanner) Stop() { s.state, s.skip = offState, 0 }

// Reset has it expect a new message.
func (s *Scanner) Reset() { *s = Scanner{ReadsAnswers: s.ReadsAnswers} }

// Feed takes what came. Once it gives an error it goes on giving it: what follows on the
// connection can't be told from that message.
func (s *Scanner) Feed(p []byte) error {
	for len(p) > 0 && s.err == nil && s.state != offState {
		if s.skip > 0 {
			n := min(s.skip, int64(len(p)))
			s.skip -= n
			p = p[n:]
			continue
		}
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.part(p)
			break
		}
		s.part(p[:i])
		p = p[i+1:]
		if s.err == nil {
			s.whole()
		}
		s.kept, s.long, s.cr = 0, false, false
	}
	return s.err
}

// part takes some of a line. A CR within it is none that ends it.
func (s *Scanner) part(p []byte) {
	if len(p) == 0 {
		return
	}
	if i := bytes.IndexByte(p, '\r'); s.cr || i >= 0 && i < len(p)-1 {
		s.err = ErrBareCR
		return
	} else if i >= 0 {
		s.cr = true
		p = p[:i]
	}
	n := copy(s.line[s.kept:], p)
	s.kept += n
	s.long = s.long || n < len(p)
	if len(p) >= len(s.end) {
		copy(s.end[:], p[len(p)-len(s.end):])
	} else {
		copy(s.end[:], s.end[len(p):])
		copy(s.end[len(s.end)-len(p):], p)
	}
}

// whole reads a line that has ended.
func (s *Scanner) whole() {
	line := s.line[:s.kept]
	switch s.state {
	case headState:
		switch {
		case !s.first:
			if len(line) == 0 { // RFC 9112, 2.2: an empty line ahead of a message may be ignored
				return
			}
			s.first = true
			s.begin(line)
		case len(line) == 0:
			s.headEnds()
		default:
			s.field(line)
		}
	case chunkState:
		s.chunk(line)
	case dataEndState:
		if s.state = chunkState; len(line) > 0 {
			s.err = ErrChunkSize
		}
	case trailerState:
		if len(line) == 0 {
			s.next()
		} else if line[0] == ' ' || line[0] == '\t' {
			s.err = ErrLineFolding
		}
	}
}

func (s *Scanner) begin(line []byte) {
	if s.ReadsAnswers {
		s.old = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		// Behind a change of protocols (101) comes none of HTTP.
		s.interim = len(line) > 11 && line[9] == '1' && string(line[9:12]) != "101"
		return
	}
	s.old = string(s.end[:7]) != "HTTP/1." || s.end[7] == '0'
}

func (s *Scanner) field(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		s.err = ErrLineFolding
		return
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok || len(name) != len("content-length") && len(name) != len("transfer-encoding"):
	case strings.EqualFold(string(name), "content-length"):
		n, ok := number(bytes.Trim(value, " \t"))
		if !ok || s.long || s.lengths > 0 && n != s.length {
			s.err = ErrContentLength
		}
		s.length = n
		s.lengths++
	case strings.EqualFold(string(name), "transfer-encoding"):
		if s.coded || s.long || !strings.EqualFold(string(bytes.Trim(value, " \t")), "chunked") {
			s.err = ErrTransferEncoding
		}
		s.coded = true
	}
}

// number reads digits and nothing else, with no allocation.
func number(digits []byte) (n int64, ok bool) {
	for _, d := range digits {
		if d < '0' || d > '9' || n > (math.MaxInt64-9)/10 {
			return 0, false
		}
		n = 10*n + int64(d-'0')
	}
	return n, len(digits) > 0
}

func (s *Scanner) headEnds() {
	switch {
	case s.coded && s.lengths > 0:
		s.err = ErrFraming
	case s.coded && s.old:
		s.err = ErrHTTP10TransferEncoding
	case s.ReadsAnswers && s.interim:
		s.next()
	case s.ReadsAnswers:
		s.Stop()
	case s.coded:
		s.state = chunkState
	default:
		s.skip = s.length
		s.next()
	}
}

// next expects another message.
func (s *Scanner) next() {
	s.state, s.first, s.old, s.interim, s.length, s.lengths, s.coded = headState, false, false, false, 0, 0, false
}

func (s *Scanner) chunk(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	if err != nil || n > math.MaxInt64/2 {
		s.err = ErrChunkSize
		return
	}
	if n == 0 {
		s.state = trailerState
		return
	}
	s.skip, s.state = int64(n), dataEndState
}
