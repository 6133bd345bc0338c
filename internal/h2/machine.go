// Package h2 implements the client side of HTTP/2 (RFC 9113) for connections to app servers.
//
// Machine is the state machine of one connection. It does no I/O: it handles frames, and returns events and the bytes
// to write. Conn runs a Machine on a socket with two goroutines, and is safe for concurrent use. Stream is a request on
// a Conn whose request and answer bodies are streamed. OutcomeOf returns whether a request whose stream ended without an
// answer may have been processed. Choose selects the connection for a request. Package upstream uses this package and
// decides on retries; this package retries no request.
package h2

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	preface                   = http2.ClientPreface
	defaultWindow             = 65535 // RFC 9113, 6.9.2
	maxWindow                 = 1<<31 - 1
	defaultFrameBytes         = 16 << 10
	maxStreamID               = 1<<31 - 1
	defaultTableBytes         = 4096     // size of the header compression table, in each direction
	maxHeadFields             = 256      // limit on the fields of a head or of trailers
	maxInterimAnswers         = 32       // limit on interim answers (1xx) to one request
	maxOverheadFrames         = 1000     // limit on frames per second that contribute neither to an answer nor to sending a body
	bodyBytesPerOverheadFrame = 1024     // each time this many bytes of a body are sent, one overhead frame is deducted from the count
	maxOutputBytes            = 1 << 20  // buffered output above which bodies wait
	maxSentFrameBytes         = 1 << 16  // limit on a DATA frame that is sent; longer ones would delay other streams
	maxCachedNames            = 200      // limit on cached names of header fields, for each direction
	maxUnreturnedWindow       = 16 << 10 // the connection's window is returned to the server in steps of at least this many bytes
	maxDetailBytes            = 100      // limit on the GOAWAY debug data that errors contain
)

// Limits bound the memory that a connection uses.
type Limits struct {
	MaxStreams         int // limit on concurrent streams, even if the server allows more
	MaxLifetimeStreams int // limit on streams over the connection's lifetime; 0 means the number of stream ids
	MaxHeadBytes       int // size limit of an answer's head or trailers; each field counts 32 bytes more (RFC 9113, 6.5.2)
	MaxBodyBytes       int // size limit of the body of a buffered answer, and of a streamed one's unconsumed data
	// StartsAtLastByte reports whether servers start to process a request when its last byte arrives, not its head.
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

// Request is a request to send on a stream. Its header has the names in net/http's canonical form; connection-specific
// fields (RFC 9113, 8.2.2) are not sent.
type Request struct {
	Method    string
	Scheme    string
	Authority string
	Path      string
	Header    http.Header
	Body      []byte
	// HasMoreBody reports whether SendBody will add to the body. ContentLength is then the length of the complete
	// body, or negative if it is not known.
	HasMoreBody   bool
	ContentLength int64
	// StreamsAnswer reports whether the answer is passed on in events and not buffered. The server sends at most one
	// flow-control window of it until Consumed is called.
	StreamsAnswer bool
	// MayBegin, which may be nil, is called right before the request is written; if it returns false, nothing is written.
	MayBegin func() bool
	// WriteDeadline is the time from which on a Conn writes no more of the request. If the request is not written
	// completely by then, the Conn cancels its stream, or closes the connection if it can't take back the last bytes.
	// Zero is none.
	WriteDeadline time.Time

	mayWrite func() bool // called right before each part of the body is written; nil for a request without WriteDeadline
}

// Answer is a complete answer, or the head of a streamed answer.
type Answer struct {
	Status  int
	Header  http.Header
	Trailer http.Header // nil if there are no trailers
	Body    []byte
}

// Event is the end of a stream, with either an answer or an error. For a request with StreamsAnswer it may also be a
// part of the answer. The last event of a stream is its end.
type Event struct {
	ID      uint32
	Answer  *Answer
	Err     *StreamError
	Outcome StreamOutcome // set together with Err

	Head *Answer // head of an interim answer (1xx) or of the final answer
	Data []byte  // part of the body; valid until the next frame is read
}

// ends reports whether the event ends its stream.
func (e *Event) ends() bool { return e.Answer != nil || e.Err != nil }

// Errors of a request that was not sent.
var (
	ErrNoStream    = errors.New("no stream is available")
	ErrHeadTooLong = errors.New("the request head exceeds the server's limit")
	ErrWithdrawn   = errors.New("the request was withdrawn before it was sent")
)

// Machine is the client side of a connection, as a state machine without I/O. It is not safe for concurrent use.
type Machine struct {
	Limits
	output      bytes.Buffer
	frames      *http2.Framer // writes to output
	headerBlock bytes.Buffer
	encoder     *hpack.Encoder // writes to headerBlock
	writing     []byte         // the part of the output that is being written
	written     int64          // number of bytes that the socket has accepted
	offered     int64          // number of bytes that the socket may have accepted, including a write that has not returned

	nextID         uint32 // the id of the next stream
	streams        map[uint32]*stream
	hasSettings    bool // the server's first settings have arrived
	hasGoAway      bool // the server accepts no more streams
	lastAcceptedID uint32
	isRetired      bool  // Retire was called: this side opens no more streams
	connErr        error // why the connection has ended; nil while it is open

	peerMaxStreams   uint32 // the server's limit on concurrent streams
	sendWindow       int64  // connection-level window for data that this side sends
	initialWindow    int64  // send window of each new stream
	maxFrameBytes    int    // limit on the payload of a sent frame
	peerMaxHeadBytes uint32 // the server's limit on a request's head; 0 means no limit
	unreturnedWindow uint32 // part of the connection-level receive window that is not yet returned
	overheadFrames   int    // see countOverhead
	sentPings        uint64
	awaitedPing      uint64   // number of the ping that is not yet acknowledged; 0 for none
	waitingStreams   []uint32 // streams whose bodies wait for a flow-control window or for the socket

	lowerNames     nameCache // lower-case names by their canonical form in net/http
	canonicalNames nameCache // canonical names by their lower-case form
}

// nameCache caches converted names of header fields, so that frequent names are not allocated for each request. Its
// zero value is an empty cache.
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
	hasMoreBody      bool        // SendBody will add to the body
	trailer          http.Header // sent after the body
	mayWrite         func() bool // whether more of the request may be written; nil means always
	isQueued         bool        // the complete request has been written to output
	streamsAnswer    bool        // the answer is passed on in events as it arrives
	unreturnedWindow int         // part of the receive window that is consumed and not yet returned
	firstOffset      int64       // offset of the request's first byte in the connection's output
	endOffset        int64       // offset after the request's last byte, set once isQueued
	hasFinalHead     bool        // the head of the final answer has arrived
	interimAnswers   int
	contentLength    int64 // Content-Length of the answer; negative if there is none
	hasAnyHead       bool  // the head of any answer, interim or final, has arrived
	hasNoBody        bool  // the answer has no body: it is one to HEAD, or has status 204 or 304
	isHeadRequest    bool
	windowBytes      int   // received bytes that count against the stream's receive window
	bodyBytes        int64 // received bytes of the answer's body
	answer           Answer
}

// New returns the machine of a new connection. PendingBytes returns the connection preface as the first bytes to write.
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
	// The connection-level window is at least the sum of the streams' windows, up to maxWindow, so that no stream blocks another.
	window := int64(machine.MaxStreams)*int64(machine.MaxBodyBytes+1) + maxUnreturnedWindow
	if window > defaultWindow {
		machine.frames.WriteWindowUpdate(0, uint32(min(window, maxWindow)-defaultWindow))
	}
	return machine
}

// returnWindow returns n bytes of the connection-level window to the server. It does not wait for the data to be
// consumed, since the streams' own windows limit the buffered data.
func (m *Machine) returnWindow(n uint32) {
	m.unreturnedWindow += n
	if m.unreturnedWindow >= maxUnreturnedWindow {
		m.frames.WriteWindowUpdate(0, m.unreturnedWindow)
		m.unreturnedWindow = 0
	}
}

// HasSettings reports whether the server's settings have arrived.
func (m *Machine) HasSettings() bool { return m.hasSettings }

// Err returns why the connection has ended, or nil while it is open.
func (m *Machine) Err() error { return m.connErr }

// OpenStreams returns how many streams are open.
func (m *Machine) OpenStreams() int { return len(m.streams) }

// StreamLimit returns the limit on concurrent streams; it is 0 if the server allows none.
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

// Retire prevents new streams and sends a GOAWAY. The connection can be closed once no stream is open.
func (m *Machine) Retire() {
	if !m.isRetired && m.connErr == nil {
		m.isRetired = true
		m.frames.WriteGoAway(0, http2.ErrCodeNo, nil)
	}
}

// PendingBytes returns the bytes to write next; the result is empty if there are none. It does not change until
// RecordWrite is called, even if more output is added meanwhile.
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

// OutputOffset returns the offset after the last byte of the output so far.
func (m *Machine) OutputOffset() int64 { return m.offset() }

// RecordWrite records that the socket has accepted the first n bytes of PendingBytes.
func (m *Machine) RecordWrite(n int) {
	m.writing = m.writing[n:]
	m.written += int64(n)
	m.offered = m.written
	if len(m.waitingStreams) > 0 {
		m.flushWaitingBodies()
	}
}

// progress returns how much of a stream's request has been sent. If the connection stays open, buffered output counts
// as sent, since it can't be withdrawn.
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

// requestEnd returns the offset after the last byte of a stream's request, if all of the request is in the output, from
// which it can't be taken back. isOpen is false if the stream has ended.
func (m *Machine) requestEnd(id uint32) (endOffset int64, isQueued, isOpen bool) {
	stream := m.streams[id]
	if stream == nil {
		return 0, false, false
	}
	return stream.endOffset, stream.isQueued, true
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

// Cancel resets a stream. The server may still start to process its request until all output before OutputOffset, which includes the
// reset, is written.
func (m *Machine) Cancel(id uint32) (Event, bool) {
	stream := m.streams[id]
	if stream == nil || m.connErr != nil {
		return Event{}, false
	}
	event := m.endStream(stream, EndCancelled, http2.ErrCodeCancel, "")
	m.frames.WriteRSTStream(id, http2.ErrCodeCancel)
	return event, true
}

// Ping sends a ping, unless an earlier one is not yet acknowledged.
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

// IsAwaitingPing reports whether a ping is not yet acknowledged.
func (m *Machine) IsAwaitingPing() bool { return m.awaitedPing != 0 }

// Abort ends the connection and all its streams with cause as the error.
func (m *Machine) Abort(cause error) []Event {
	if m.connErr != nil {
		return nil
	}
	return m.endConnection(http2.ErrCodeNo, cause)
}

func (m *Machine) endConnection(code http2.ErrCode, cause error) (events []Event) {
	m.connErr = cause
	m.output.Reset() // requests reported as unsent must not be sent
	for _, stream := range m.streams {
		events = append(events, m.endStream(stream, EndBroken, code, cause.Error()))
	}
	return events
}

// failConnection ends the connection because of a connection error by the server, and sends a GOAWAY (RFC 9113, 5.4.1).
func (m *Machine) failConnection(code http2.ErrCode, format string, args ...any) []Event {
	events := m.endConnection(code, fmt.Errorf("%v: "+format, append([]any{code}, args...)...))
	m.frames.WriteGoAway(0, code, nil)
	return events
}
