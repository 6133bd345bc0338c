// Package h2 implements the client's side of HTTP/2 (RFC 9113) for connections to app servers.
//
// Machine is one connection as a state machine without I/O: it handles frames and returns events and the bytes to
// write. Conn runs a Machine on a socket with two goroutines, and is safe for concurrent use; Stream is a request
// on it whose bodies pass through. OutcomeOf tells what is known of a request whose stream ended without an
// answer, and Choose which connection a request takes. Package upstream is the caller. No request is retried here.
package h2

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/http"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	preface                   = http2.ClientPreface
	defaultWindow             = 65535 // RFC 9113, 6.9.2
	maxWindow                 = 1<<31 - 1
	defaultFrameBytes         = 16 << 10
	maxStreamID               = 1<<31 - 1
	defaultTableBytes         = 4096     // of header compression, in both directions
	maxInterimAnswers         = 32       // answers of 1xx to one request
	maxOverheadFrames         = 1000     // frames in a second that contribute neither to an answer nor to sending a body
	bodyBytesPerOverheadFrame = 1024     // sent bytes of a body for which one noise frame is not counted
	maxOutputBytes            = 1 << 20  // that are buffered before bodies wait
	maxSentFrameBytes         = 1 << 16  // of a frame of a body; longer ones would delay other streams
	maxCachedNames            = 200      // of header fields, for each direction
	maxUnreturnedWindow       = 16 << 10 // of the connection's window
	maxDetailBytes            = 100      // of a GOAWAY's debug data in errors
)

// Limits bound what a connection keeps in memory.
type Limits struct {
	MaxStreams         int // open at once, whatever the server allows
	MaxLifetimeStreams int // over the connection's lifetime; 0 is as many as there are ids
	MaxHeadBytes       int // bytes of an answer's head or trailers, each field counted with 32 more
	MaxBodyBytes       int // bytes of an answer's body
	// StartsAtLastByte says that servers start a request with its last byte and not with its head.
	StartsAtLastByte bool
}

func (l Limits) orDefault() Limits {
	if l.MaxStreams <= 0 {
		l.MaxStreams = 100
	}
	if l.MaxLifetimeStreams <= 0 || l.MaxLifetimeStreams > maxStreamID/2 {
		l.MaxLifetimeStreams = maxStreamID / 2
	}
	if l.MaxHeadBytes <= 0 {
		l.MaxHeadBytes = 32 << 10
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = 64 << 10
	}
	return l
}

// Request is what is sent on a stream. Its header is in net/http's form; fields that are a
// connection's own (RFC 9113, 8.2.2) are left out.
type Request struct {
	Method    string
	Scheme    string
	Authority string
	Path      string
	Header    http.Header
	Body      []byte
	// HasMoreBody says that Feed adds to the body. ContentLength is then the length of the complete one, below
	// zero where it is not known.
	HasMoreBody   bool
	ContentLength int64
	// StreamsAnswer says that the answer is passed on in events and not buffered: no more of it than its window
	// is in transit until Consumed is called.
	StreamsAnswer bool
	// MayBegin, which may be nil, is called right before the request is written and decides whether it is.
	MayBegin func() bool
}

// Answer is a complete answer, or the head of one that is streamed.
type Answer struct {
	Status  int
	Header  http.Header
	Trailer http.Header // nil is none
	Body    []byte
}

// Event is how a stream ended, with either an answer or an error. For a request with StreamsAnswer it may also be
// a part of the answer; the end is the last event of a stream.
type Event struct {
	ID      uint32
	Answer  *Answer
	Err     *StreamError
	Outcome StreamOutcome // where there is an error

	Head *Answer // of 1xx, or that of the answer itself
	Data []byte  // valid until the next frame is read
}

// ends reports whether the event is the end of a stream.
func (e *Event) ends() bool { return e.Answer != nil || e.Err != nil }

// Errors of a request that was not sent.
var (
	ErrNoStream    = errors.New("no stream is free")
	ErrHeadTooLong = errors.New("the head exceeds the server's limit")
	ErrWithdrawn   = errors.New("the request was withdrawn")
)

// Machine is the client's side of a connection. It is not safe for concurrent use.
type Machine struct {
	Limits
	output      bytes.Buffer
	frames      *http2.Framer // writes to output
	headerBlock bytes.Buffer
	encoder     *hpack.Encoder // writes to headerBlock
	writing     []byte         // the part of the output that is being written
	written     int64          // bytes that the socket has taken
	offered     int64          // bytes that it may have taken, also by a write that has not returned

	nextID         uint32 // the id of the next stream
	streams        map[uint32]*stream
	hasSettings    bool // the server's first settings have arrived
	hasGoAway      bool // the server accepts no more streams
	lastAcceptedID uint32
	isRetired      bool  // this side opens no more streams
	connErr        error // the connection's end; nil while it lasts

	peerMaxStreams   uint32 // streams at once, by the server
	sendWindow       int64  // of the connection, for data of this side
	initialWindow    int64  // of each new stream
	maxFrameBytes    int    // of a frame that is sent
	peerMaxHeadBytes uint32 // bytes of a request's head, by the server; 0 is any
	unreturnedWindow uint32 // of the connection, for data of the server
	overheadFrames   int    // see countNoise
	sentPings        uint64
	awaitedPing      uint64   // the number of the ping whose answer is awaited; 0 is none
	waitingStreams   []uint32 // whose bodies wait for a window or the socket

	lowerNames     nameCache // names in lower case by their form in net/http
	canonicalNames nameCache // the reverse
}

// nameCache has converted names of header fields, so that frequent ones are not allocated for each request. Its zero
// value is empty.
type nameCache map[string]string

func (n *nameCache) get(name string, convert func(string) string) string {
	if value, ok := (*n)[name]; ok {
		return value
	}
	value := convert(name)
	if *n == nil {
		*n = nameCache{}
	}
	if len(*n) < maxCachedNames {
		(*n)[name] = value
	}
	return value
}

type stream struct {
	id               uint32
	sendWindow       int64
	unsentBody       []byte
	hasMoreBody      bool        // Feed will add to the body
	trailer          http.Header // sent after the body
	isQueued         bool        // the complete request is in output, or was
	streamsAnswer    bool        // the answer is passed on in events as it arrives
	unreturnedWindow int         // of this side's window, consumed and not returned
	firstOffset      int64       // of the request's first byte in the connection's output
	endOffset        int64       // of its end, once isQueued
	hasFinalHead     bool        // the head of the final answer has arrived
	interimAnswers   int
	contentLength    int64 // of the answer's body; below zero it is not stated
	hasAnyHead       bool  // some head has arrived, also of an interim answer
	hasNoBody        bool  // the answer has no body: to HEAD, 204, 304
	isHeadRequest    bool
	windowBytes      int   // bytes of the answer that this side's window counts
	bodyBytes        int64 // bytes of the answer's body
	answer           Answer
}

// New makes the machine of a new connection; the first bytes to write are in PendingBytes.
func New(limits Limits) *Machine {
	machine := &Machine{
		Limits:         limits.orDefault(),
		nextID:         1,
		streams:        make(map[uint32]*stream),
		lastAcceptedID: maxStreamID,
		peerMaxStreams: math.MaxUint32,
		sendWindow:     defaultWindow,
		initialWindow:  defaultWindow,
		maxFrameBytes:  defaultFrameBytes,
	}
	machine.frames = http2.NewFramer(&machine.output, nil)
	machine.encoder = hpack.NewEncoder(&machine.headerBlock)
	machine.output.WriteString(preface)
	machine.frames.WriteSettings(
		http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(machine.MaxBodyBytes + 1)},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: uint32(machine.MaxHeadBytes)},
	)
	// The connection's window has space for the windows of all streams, so that none waits because of another one.
	window := int64(machine.MaxStreams)*int64(machine.MaxBodyBytes+1) + maxUnreturnedWindow
	if window > defaultWindow {
		machine.frames.WriteWindowUpdate(0, uint32(min(window, maxWindow)-defaultWindow))
	}
	return machine
}

// returnWindow returns n bytes of the connection's window to the server. It does so without regard to the streams,
// which have windows of their own.
func (m *Machine) returnWindow(n uint32) {
	m.unreturnedWindow += n
	if m.unreturnedWindow >= maxUnreturnedWindow {
		m.frames.WriteWindowUpdate(0, m.unreturnedWindow)
		m.unreturnedWindow = 0
	}
}

// HasSettings reports whether the server's settings have arrived.
func (m *Machine) HasSettings() bool { return m.hasSettings }

// Err returns why the connection has ended; nil while it lasts.
func (m *Machine) Err() error { return m.connErr }

// OpenStreams returns how many streams are open.
func (m *Machine) OpenStreams() int { return len(m.streams) }

// StreamLimit returns how many streams may be open at once; 0 where the server allows none.
func (m *Machine) StreamLimit() int { return int(min(uint32(m.MaxStreams), m.peerMaxStreams)) }

// IsEnding reports whether no more streams can be opened.
func (m *Machine) IsEnding() bool {
	hasNoIDs := m.nextID > uint32(2*m.MaxLifetimeStreams-1)
	return m.connErr != nil || m.hasGoAway || m.isRetired || hasNoIDs
}

// FreeStreams returns how many streams can be opened now.
func (m *Machine) FreeStreams() int {
	if !m.hasSettings || m.IsEnding() {
		return 0
	}
	return max(0, m.StreamLimit()-len(m.streams))
}

// Retire allows no more streams. The connection is of no use once none is open.
func (m *Machine) Retire() {
	if !m.isRetired && m.connErr == nil {
		m.isRetired = true
		m.frames.WriteGoAway(0, http2.ErrCodeNo, nil)
	}
}

// PendingBytes returns what is to be written next; nil is nothing. It does not change until Wrote is called, even
// if there is more to write meanwhile.
func (m *Machine) PendingBytes() []byte {
	if len(m.writing) == 0 {
		m.writing = append(m.writing[:0], m.output.Bytes()...)
		m.output.Reset()
	}
	m.offered = m.written + int64(len(m.writing))
	return m.writing
}

// HasOutput reports whether there is anything to write.
func (m *Machine) HasOutput() bool { return len(m.writing) > 0 || m.output.Len() > 0 }

// OutputOffset returns the offset after the last byte that is to be written so far.
func (m *Machine) OutputOffset() int64 { return m.offset() }

// Wrote records that the socket has taken n of PendingBytes.
func (m *Machine) RecordWrite(n int) {
	m.writing = m.writing[n:]
	m.written += int64(n)
	m.offered = m.written
	if len(m.waitingStreams) > 0 {
		m.flushWaitingBodies()
	}
}

// moment returns how far a stream's request has gone, or will have where the connection remains: output can't be
// withdrawn.
func (m *Machine) progress(stream *stream, end End) Moment {
	switch {
	case stream.hasAnyHead:
		return MomentAnswered
	case stream.isQueued && (end != EndBroken || m.offered >= stream.endOffset):
		return MomentSent
	case end != EndBroken || m.offered > stream.firstOffset:
		return MomentStarted
	}
	return MomentUnsent
}

// endStream ends a stream without an answer.
func (m *Machine) endStream(stream *stream, end End, code http2.ErrCode, detail string) Event {
	delete(m.streams, stream.id)
	progress := m.progress(stream, end)
	return Event{
		ID:      stream.id,
		Err:     &StreamError{Moment: progress, End: end, Code: code, Detail: detail},
		Outcome: OutcomeOf(progress, end, code, m.StartsAtLastByte),
	}
}

// Cancel resets a stream. Its request may still reach the server until everything before OutputOffset is written.
func (m *Machine) Cancel(id uint32) (Event, bool) {
	stream := m.streams[id]
	if stream == nil || m.connErr != nil {
		return Event{}, false
	}
	event := m.endStream(stream, EndCancelled, http2.ErrCodeCancel, "")
	m.frames.WriteRSTStream(id, http2.ErrCodeCancel)
	return event, true
}

// Ping sends a ping, unless an answer to one is awaited already.
func (m *Machine) Ping() {
	if m.connErr != nil || m.awaitedPing != 0 {
		return
	}
	m.sentPings++
	m.awaitedPing = m.sentPings
	var data [8]byte
	for i := range data {
		data[i] = byte(m.sentPings >> (8 * i))
	}
	m.frames.WritePing(false, data)
}

// IsAwaitingPing reports whether the answer to a ping is awaited.
func (m *Machine) IsAwaitingPing() bool { return m.awaitedPing != 0 }

// Break ends the connection: all streams end.
func (m *Machine) Abort(cause error) []Event {
	if m.connErr != nil {
		return nil
	}
	return m.endConnection(http2.ErrCodeNo, cause)
}

func (m *Machine) endConnection(code http2.ErrCode, cause error) (events []Event) {
	m.connErr = cause
	m.output.Reset() // what is reported as unsent must not be sent
	for _, stream := range m.streams {
		events = append(events, m.endStream(stream, EndBroken, code, cause.Error()))
	}
	return events
}

// fail ends the connection for an error of the server's, with a GOAWAY (RFC 9113, 5.4.1).
func (m *Machine) failConnection(code http2.ErrCode, format string, args ...any) []Event {
	events := m.endConnection(code, fmt.Errorf("%v: "+format, append([]any{code}, args...)...))
	m.frames.WriteGoAway(0, code, nil)
	return events
}
