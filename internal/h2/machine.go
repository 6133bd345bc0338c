// Package h2 is the client's side of HTTP/2 (RFC 9113) to app servers: a connection as a state
// machine, what is known of a request whose stream ended without an answer, and which connection
// a request takes. Nothing is ever sent again by it. The machine does no I/O; Conn carries its
// bytes.
package h2

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	preface       = http2.ClientPreface
	windowDefault = 65535 // RFC 9113, 6.9.2
	windowMost    = 1<<31 - 1
	frameDefault  = 16 << 10
	idMost        = 1<<31 - 1
	tableDefault  = 4096 // of header compression, both ways
	interimsMost  = 32   // answers of 1xx to one request
	noiseMost     = 1000 // frames of a second that bring neither an answer nor a body on
	noiseWorth    = 1024 // bytes of a body that were let go, for which one such frame is forgiven
	outMost       = 1 << 20
	namesMost     = 200
	owedMost      = 16 << 10 // of the connection's window, before it is given back
)

// Limits bound what a connection holds.
type Limits struct {
	Streams int // open at once, whatever the server allows
	Life    int // streams over the connection's whole life; 0 is as many as there are ids
	Head    int // bytes of an answer's head or trailers, each field counted with 32 more
	Body    int // bytes of an answer's body
	// Whole says that servers begin a request with its last byte and not with its head.
	Whole bool
}

func (l Limits) orDefault() Limits {
	if l.Streams <= 0 {
		l.Streams = 100
	}
	if l.Life <= 0 || l.Life > idMost/2 {
		l.Life = idMost / 2
	}
	if l.Head <= 0 {
		l.Head = 32 << 10
	}
	if l.Body <= 0 {
		l.Body = 64 << 10
	}
	return l
}

// Request is what is sent on a stream. Its header is in net/http's form; fields that are a
// connection's own (RFC 9113, 8.2.2) are left out.
type Request struct {
	Method, Scheme, Authority, Path string
	Header                          http.Header
	Body                            []byte
	// More says that Feed brings more of the body. Length is then that of all of it; below zero it
	// is not known.
	More   bool
	Length int64
	// Flow says that the answer is told as it comes, by events, and not held: as much of it as its
	// window has is under way until it is Consumed.
	Flow bool
	// Begin, which may be nil, is asked right before the request is written: one to which it says no is not.
	Begin func() bool
}

// Answer is a whole answer, or the head of one that goes on.
type Answer struct {
	Status  int
	Header  http.Header
	Trailer http.Header // nil is none
	Body    []byte
}

// Event is how a stream ended, with an answer or an error, never both; of a stream whose answer
// is told as it comes also what came. Its end is the last.
type Event struct {
	ID     uint32
	Answer *Answer
	Err    *StreamError
	Fate   Fate // where there is an error

	Head *Answer // of 1xx, or that of the answer itself
	Data []byte  // valid until the next frame is read
}

// ends tells whether the event is a stream's end.
func (e *Event) ends() bool { return e.Answer != nil || e.Err != nil }

// Why a request was not sent.
var (
	ErrNoStream = errors.New("no stream is free")
	ErrHead     = errors.New("a head that the server takes as too long")
	ErrUnsent   = errors.New("it is not to begin any more")
)

// Machine is the client's side of a connection. Its methods must not be called at once.
type Machine struct {
	Limits
	out     bytes.Buffer
	frames  *http2.Framer // writes to out
	block   bytes.Buffer
	encoder *hpack.Encoder
	flight  []byte // of out, what is being written
	written int64  // bytes that the socket has taken
	handed  int64  // bytes that it may have taken: those of a write that has not returned too

	next    uint32 // the id of the next stream
	streams map[uint32]*stream
	greeted bool // the server's first settings have come
	goAway  bool // the server has said that it takes no more
	lastID  uint32
	retired bool  // no more streams are to be opened
	broken  error // the connection's end; nil while it lasts

	allowed   uint32 // streams at once, by the server
	window    int64  // that the server has for this side's data
	initial   int64  // of each new stream
	frameMost int
	headMost  uint32 // bytes of a request's head, by the server; 0 is any
	owed      uint32 // of this side's window of the connection
	noise     int
	pings     uint64 // sent
	awaited   uint64 // the ping whose answer is awaited; 0 is none
	waiting   []uint32

	// Names in lower case by their form in net/http, and the other way round: a few, again and again.
	lower, canonical names
}

// names are what names have become, so that the same ones are not made anew. Its zero value is
// empty.
type names map[string]string

func (n *names) of(name string, make func(string) string) string {
	if v, ok := (*n)[name]; ok {
		return v
	}
	v := make(name)
	if *n == nil {
		*n = names{}
	}
	if len(*n) < namesMost {
		(*n)[name] = v
	}
	return v
}

type stream struct {
	id       uint32
	window   int64
	body     []byte      // still to be sent
	more     bool        // Feed will bring more
	trailer  http.Header // that goes behind the body
	queued   bool        // all of the request is in out, or was
	flow     bool        // its answer is told as it comes
	owed     int         // of its window, consumed and not given back
	first    int64       // where in all that was written its first byte is
	last     int64       // and where its end is, once queued
	head     bool        // the final head has come
	interims int
	expect   int64 // by Content-Length; below zero not told
	head1    bool  // some head has come, be it of 1xx
	none     bool  // the answer has no body: to HEAD, 204, 304
	isHead   bool
	got      int   // bytes of the answer that this side's window counts
	came     int64 // bytes of its body
	answer   Answer
}

// New makes the machine of a connection just made; what it has to say is in Out.
func New(l Limits) *Machine {
	m := &Machine{
		Limits: l.orDefault(), next: 1, streams: make(map[uint32]*stream), allowed: 1<<32 - 1,
		window: windowDefault, initial: windowDefault, frameMost: frameDefault, lastID: idMost,
	}
	m.frames = http2.NewFramer(&m.out, nil)
	m.encoder = hpack.NewEncoder(&m.block)
	m.out.WriteString(preface)
	m.frames.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 0},
		http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(m.Body + 1)},
		http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: uint32(m.Head)})
	// No stream is to wait for the connection's window because of others: each has its own.
	if all := int64(m.Streams)*int64(m.Body+1) + owedMost; all > windowDefault {
		m.frames.WriteWindowUpdate(0, uint32(min(all, windowMost)-windowDefault))
	}
	return m
}

// received gives back what came of the connection's window. It is never far from full, as what
// comes is taken in at once and has a bound of its own on each stream.
func (m *Machine) received(n uint32) {
	if m.owed += n; m.owed >= owedMost {
		m.frames.WriteWindowUpdate(0, m.owed)
		m.owed = 0
	}
}

// Greeted tells whether the server's settings have come.
func (m *Machine) Greeted() bool { return m.greeted }

// Err is what ended the connection; nil while it lasts.
func (m *Machine) Err() error { return m.broken }

// Open is how many streams are open.
func (m *Machine) Open() int { return len(m.streams) }

// Limit is how many streams may be open at once; 0 is a server that allows none.
func (m *Machine) Limit() int { return int(min(uint32(m.Streams), m.allowed)) }

// Ending tells that no more streams will be opened.
func (m *Machine) Ending() bool {
	return m.broken != nil || m.goAway || m.retired || m.next > uint32(2*m.Life-1)
}

// Room is how many streams can be opened now.
func (m *Machine) Room() int {
	if !m.greeted || m.Ending() {
		return 0
	}
	return max(0, m.Limit()-len(m.streams))
}

// Retire has no more streams be opened. The connection is of no use once none is open.
func (m *Machine) Retire() {
	if !m.retired && m.broken == nil {
		m.retired = true
		m.frames.WriteGoAway(0, http2.ErrCodeNo, nil)
	}
}

// Out is what is to be written next; nil is nothing. It stays as it is until Wrote, also where
// there is more to be written meanwhile.
func (m *Machine) Out() []byte {
	if len(m.flight) == 0 {
		m.flight = append(m.flight[:0], m.out.Bytes()...)
		m.out.Reset()
	}
	m.handed = m.written + int64(len(m.flight))
	return m.flight
}

// Says tells whether there is anything to be written.
func (m *Machine) Says() bool { return len(m.flight) > 0 || m.out.Len() > 0 }

// Pending is where the last byte stands that is to be written so far.
func (m *Machine) Pending() int64 { return m.offset() }

// Wrote tells how many of the bytes of Out the socket has taken.
func (m *Machine) Wrote(n int) {
	m.flight = m.flight[n:]
	m.written += int64(n)
	m.handed = m.written
	if len(m.waiting) > 0 {
		m.sendOn()
	}
}

// moment is how far a stream's request has gone, or will have where the connection goes on: what is
// to be written can't be taken back.
func (m *Machine) moment(s *stream, how End) Moment {
	switch {
	case s.head1:
		return Answered
	case s.queued && (how != Broke || m.handed >= s.last):
		return Sent
	case how != Broke || m.handed > s.first:
		return Begun
	}
	return Unsent
}

// end ends a stream without an answer.
func (m *Machine) end(s *stream, how End, code http2.ErrCode, why string) Event {
	delete(m.streams, s.id)
	at := m.moment(s, how)
	return Event{ID: s.id, Err: &StreamError{Moment: at, End: how, Code: code, Why: why}, Fate: FateOf(at, how, code, m.Whole)}
}

// Cancel gives a stream up and resets it. It is out until what is Pending then is written.
func (m *Machine) Cancel(id uint32) (Event, bool) {
	s := m.streams[id]
	if s == nil || m.broken != nil {
		return Event{}, false
	}
	e := m.end(s, Cancelled, http2.ErrCodeCancel, "")
	m.frames.WriteRSTStream(id, http2.ErrCodeCancel)
	return e, true
}

// Ping asks the server for a sign of life, unless one is awaited already.
func (m *Machine) Ping() {
	if m.broken != nil || m.awaited != 0 {
		return
	}
	m.pings++
	m.awaited = m.pings
	var data [8]byte
	for i := range data {
		data[i] = byte(m.pings >> (8 * i))
	}
	m.frames.WritePing(false, data)
}

// Awaiting tells whether a ping's answer has not come yet.
func (m *Machine) Awaiting() bool { return m.awaited != 0 }

// Break ends the connection: all streams end.
func (m *Machine) Break(why error) []Event {
	if m.broken != nil {
		return nil
	}
	return m.die(http2.ErrCodeNo, why)
}

func (m *Machine) die(code http2.ErrCode, why error) (events []Event) {
	m.broken = why
	m.out.Reset() // no request goes out that is told not to have
	for _, s := range m.streams {
		events = append(events, m.end(s, Broke, code, why.Error()))
	}
	return events
}

// fail ends the connection for an error of the server's, and says so (RFC 9113, 5.4.1).
func (m *Machine) fail(code http2.ErrCode, format string, args ...any) []Event {
	events := m.die(code, fmt.Errorf("%v: "+format, append([]any{code}, args...)...))
	m.frames.WriteGoAway(0, code, nil)
	return events
}
