// Package h2 is the client's side of HTTP/2 (RFC 9113) to app servers: a connection as a state
// machine, what is known of a request whose stream ended without an answer, and which connection
// a request takes. Nothing is ever sent again by it. The machine does no I/O; Conn carries its
// bytes.
package h2

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"net/http"
	"strconv"
	"strings"

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
	m := &Machine{Limits: l.orDefault(), next: 1, streams: make(map[uint32]*stream), allowed: 1<<32 - 1,
		window: windowDefault, initial: windowDefault, frameMost: frameDefault, lastID: idMost}
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

// OpenStream sends a request, as far as the windows let it go.
func (m *Machine) OpenStream(r *Request) (uint32, error) {
	if m.Room() == 0 {
		return 0, ErrNoStream
	}
	fields := m.fields(r)
	if m.headMost > 0 { // before anything of it is in the table that both sides keep
		size := uint32(0)
		for f := range fields {
			size += f.Size()
		}
		if size > m.headMost {
			return 0, fmt.Errorf("%w: %d bytes, where the server takes %d", ErrHead, size, m.headMost)
		}
	}
	if r.Begin != nil && !r.Begin() {
		return 0, ErrUnsent
	}
	m.block.Reset()
	for f := range fields {
		m.encoder.WriteField(f)
	}
	s := &stream{id: m.next, window: m.initial, body: r.Body, more: r.More, flow: r.Flow, expect: -1,
		first: m.offset(), isHead: r.Method == http.MethodHead}
	bare := len(r.Body) == 0 && !r.More // the head is all of the request
	m.next += 2
	m.streams[s.id] = s
	m.writeBlock(s.id, bare)
	if bare {
		s.queued, s.last = true, m.offset()
	} else {
		m.send(s)
	}
	return s.id, nil
}

// writeBlock writes the head, or the trailers, that were encoded.
func (m *Machine) writeBlock(id uint32, end bool) {
	block := m.block.Bytes()
	for first := true; first || len(block) > 0; first = false {
		part := block[:min(len(block), m.frameMost)]
		block = block[len(part):]
		if first {
			m.frames.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: part, EndStream: end, EndHeaders: len(block) == 0})
		} else {
			m.frames.WriteContinuation(id, len(block) == 0, part)
		}
	}
}

// Feed brings more of a request's body; end says that it is the last, which trailers may follow.
// What can't be sent yet is held: Unsent tells how much that is.
func (m *Machine) Feed(id uint32, data []byte, end bool, trailer http.Header) {
	s := m.streams[id]
	if s == nil || !s.more || m.broken != nil {
		return
	}
	s.body = append(s.body, data...)
	if end {
		s.more, s.trailer = false, trailer
	}
	m.send(s)
}

// Unsent is how much of a request's body waits for the windows, or for the socket.
func (m *Machine) Unsent(id uint32) int {
	if s := m.streams[id]; s != nil {
		return len(s.body)
	}
	return 0
}

// Consumed tells that so much of an answer that is told as it comes has been taken further: the
// server may send as much again.
func (m *Machine) Consumed(id uint32, n int) {
	s := m.streams[id]
	if s == nil || m.broken != nil {
		return
	}
	if s.owed += n; s.owed > m.Body/2 {
		s.got -= s.owed
		m.frames.WriteWindowUpdate(id, uint32(s.owed))
		s.owed = 0
	}
}

// offset is where in all that is ever written the next byte comes.
func (m *Machine) offset() int64 { return m.written + int64(len(m.flight)+m.out.Len()) }

// own are the fields of one connection only; they say nothing in HTTP/2.
var own = map[string]bool{"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true, "upgrade": true, "host": true}

// fields are those of a request's head.
func (m *Machine) fields(r *Request) iter.Seq[hpack.HeaderField] {
	return func(yield func(hpack.HeaderField) bool) {
		for _, f := range [...]hpack.HeaderField{{Name: ":method", Value: r.Method}, {Name: ":scheme", Value: r.Scheme},
			{Name: ":authority", Value: r.Authority}, {Name: ":path", Value: r.Path}} {
			if !yield(f) {
				return
			}
		}
		for k, vs := range r.Header {
			name := m.lower.of(k, strings.ToLower)
			if own[name] || name == "content-length" {
				continue
			}
			for _, v := range vs {
				if name == "te" && v != "trailers" || name == "user-agent" && v == "" {
					continue
				}
				if !yield(hpack.HeaderField{Name: name, Value: v}) {
					return
				}
			}
		}
		length := int64(len(r.Body))
		if r.More {
			length = r.Length
		} else if length == 0 && r.Method != http.MethodPost && r.Method != http.MethodPut && r.Method != http.MethodPatch {
			return
		}
		if length >= 0 {
			yield(hpack.HeaderField{Name: "content-length", Value: strconv.FormatInt(length, 10)})
		}
	}
}

// send sends what the windows let go of a request's body.
func (m *Machine) send(s *stream) {
	for !s.queued && m.out.Len() < outMost {
		n := min(int64(len(s.body)), int64(m.frameMost), s.window, m.window)
		last := int64(len(s.body)) <= max(n, 0) && !s.more
		if n <= 0 && !last {
			break
		}
		n = max(n, 0)
		part := s.body[:n]
		s.body = s.body[n:]
		s.window -= n
		m.window -= n
		s.queued = last
		m.noise = max(0, m.noise-1-int(n)/noiseWorth)
		if len(part) > 0 || len(s.trailer) == 0 {
			m.frames.WriteData(s.id, last && len(s.trailer) == 0, part)
		}
		if last && len(s.trailer) > 0 {
			m.block.Reset()
			for k, vs := range s.trailer {
				for _, v := range vs {
					m.encoder.WriteField(hpack.HeaderField{Name: m.lower.of(k, strings.ToLower), Value: v})
				}
			}
			m.writeBlock(s.id, true)
		}
		s.last = m.offset()
	}
	if len(s.body) == 0 {
		s.body = nil // what has been sent is not kept for what comes
	}
	if !s.queued && len(s.body) > 0 && !contains(m.waiting, s.id) {
		m.waiting = append(m.waiting, s.id)
	}
}

// contains is a search of a list that holds at most as many as there are streams.
func contains(ids []uint32, id uint32) bool {
	for _, v := range ids {
		if v == id {
			return true
		}
	}
	return false
}

// sendOn goes on with all bodies that wait, in turn.
func (m *Machine) sendOn() {
	waiting := m.waiting
	m.waiting = nil
	for _, id := range waiting {
		if s := m.streams[id]; s != nil && !s.queued {
			m.send(s)
		}
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

// Unreadable takes in that no frame could be read: an error of http2.Framer's.
func (m *Machine) Unreadable(err error) []Event {
	if m.broken != nil {
		return nil
	}
	var conn http2.ConnectionError
	var one http2.StreamError
	switch {
	case errors.As(err, &one):
		if !m.known(one.StreamID) {
			return m.fail(http2.ErrCodeProtocol, "a frame on stream %d, which was not opened", one.StreamID)
		}
		return m.malformed(one.StreamID, one.Code, err.Error())
	case errors.As(err, &conn):
		return m.fail(http2.ErrCode(conn), "a frame that can't be")
	case errors.Is(err, http2.ErrFrameTooLarge):
		return m.fail(http2.ErrCodeFrameSize, "%v", err)
	}
	return m.die(http2.ErrCodeNo, err)
}

// known tells whether a stream was opened, be it closed by now.
func (m *Machine) known(id uint32) bool { return id%2 == 1 && id < m.next }

// malformed ends a stream whose answer can't be one; other streams go on (RFC 9113, 8.1.1).
func (m *Machine) malformed(id uint32, code http2.ErrCode, why string) []Event {
	if m.nothing(); m.noise > noiseMost {
		return m.fail(http2.ErrCodeEnhanceYourCalm, "too many frames that bring nothing")
	}
	s := m.streams[id]
	if s == nil {
		return nil
	}
	e := m.end(s, Malformed, code, why)
	m.frames.WriteRSTStream(id, code)
	return []Event{e}
}

// nothing counts a frame that brings no answer on. Guards against floods of pings, settings, resets
// and empty frames, each of which costs this side something.
func (m *Machine) nothing() { m.noise++ }

// Calm is to be called once a second: what came before counts no more.
func (m *Machine) Calm() { m.noise = 0 }

// Handle takes in a frame, as http2.Framer reads it with ReadMetaHeaders set. Frames behind the
// connection's end say nothing.
func (m *Machine) Handle(f http2.Frame) []Event {
	if m.broken != nil {
		return nil
	}
	if !m.greeted {
		if s, ok := f.(*http2.SettingsFrame); !ok || s.IsAck() {
			return m.fail(http2.ErrCodeProtocol, "%v before any settings", f.Header().Type)
		}
	}
	m.nothing()
	var events []Event
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		events = m.headers(f)
	case *http2.DataFrame:
		events = m.data(f)
	case *http2.SettingsFrame:
		events = m.settings(f)
	case *http2.RSTStreamFrame:
		events = m.reset(f)
	case *http2.WindowUpdateFrame:
		events = m.windowUpdate(f)
	case *http2.GoAwayFrame:
		events = m.goesAway(f)
	case *http2.PingFrame:
		m.ping(f)
	case *http2.PushPromiseFrame:
		return m.fail(http2.ErrCodeProtocol, "a push that was declined")
	}
	if m.broken == nil && (m.noise > noiseMost || m.out.Len() > 2*outMost) {
		events = append(events, m.fail(http2.ErrCodeEnhanceYourCalm, "too many frames that bring nothing")...)
	}
	return events
}

func (m *Machine) ping(f *http2.PingFrame) {
	if !f.IsAck() {
		m.frames.WritePing(true, f.Data)
		return
	}
	var n uint64
	for i, b := range f.Data {
		n |= uint64(b) << (8 * i)
	}
	if n == m.awaited {
		m.awaited = 0
	}
}

func (m *Machine) settings(f *http2.SettingsFrame) []Event {
	if f.IsAck() {
		return nil
	}
	m.greeted = true
	before := m.initial
	if err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingEnablePush:
			if s.Val != 0 { // RFC 9113, 6.5.2
				return http2.ConnectionError(http2.ErrCodeProtocol)
			}
		case http2.SettingMaxConcurrentStreams:
			m.allowed = s.Val
		case http2.SettingInitialWindowSize:
			m.initial = int64(s.Val)
		case http2.SettingMaxFrameSize:
			m.frameMost = int(min(s.Val, 1<<16)) // longer ones would hold others up
		case http2.SettingHeaderTableSize:
			m.encoder.SetMaxDynamicTableSize(min(s.Val, tableDefault))
		case http2.SettingMaxHeaderListSize:
			m.headMost = s.Val
		}
		return nil
	}); err != nil {
		code := http2.ErrCodeProtocol
		if c := http2.ConnectionError(0); errors.As(err, &c) {
			code = http2.ErrCode(c)
		}
		return m.fail(code, "a setting that can't be")
	}
	for _, s := range m.streams { // it may fall below nothing (6.9.2)
		if s.window += m.initial - before; s.window > windowMost {
			return m.fail(http2.ErrCodeFlowControl, "a window of more than 2^31-1")
		}
	}
	m.frames.WriteSettingsAck()
	m.sendOn()
	return nil
}

func (m *Machine) windowUpdate(f *http2.WindowUpdateFrame) []Event {
	if f.StreamID == 0 {
		if m.window += int64(f.Increment); m.window > windowMost {
			return m.fail(http2.ErrCodeFlowControl, "a window of more than 2^31-1")
		}
		m.sendOn()
		return nil
	}
	if !m.known(f.StreamID) {
		return m.fail(http2.ErrCodeProtocol, "a window of stream %d, which was not opened", f.StreamID)
	}
	if s := m.streams[f.StreamID]; s != nil {
		if s.window += int64(f.Increment); s.window > windowMost {
			return m.malformed(s.id, http2.ErrCodeFlowControl, "a window of more than 2^31-1")
		}
		m.sendOn()
	}
	return nil
}

func (m *Machine) reset(f *http2.RSTStreamFrame) []Event {
	if !m.known(f.StreamID) {
		return m.fail(http2.ErrCodeProtocol, "a reset of stream %d, which was not opened", f.StreamID)
	}
	s := m.streams[f.StreamID]
	if s == nil {
		return nil
	}
	return []Event{m.end(s, Reset, f.ErrCode, "")}
}

// goesAway ends the streams that the server has not taken. A last id may fall later, never rise
// (RFC 9113, 6.8): those above the lowest were told to be sent elsewhere.
func (m *Machine) goesAway(f *http2.GoAwayFrame) (events []Event) {
	m.goAway = true
	m.lastID = min(m.lastID, f.LastStreamID)
	for id, s := range m.streams {
		if id > m.lastID {
			events = append(events, m.end(s, Above, f.ErrCode, string(f.DebugData()[:min(len(f.DebugData()), 100)])))
			m.frames.WriteRSTStream(id, http2.ErrCodeCancel)
		}
	}
	return events
}

func (m *Machine) headers(f *http2.MetaHeadersFrame) []Event {
	if !m.known(f.StreamID) {
		return m.fail(http2.ErrCodeProtocol, "a head on stream %d, which was not opened", f.StreamID)
	}
	s := m.streams[f.StreamID]
	if s == nil {
		return nil
	}
	s.head1 = true
	wrong := func(format string, args ...any) []Event {
		return m.malformed(s.id, http2.ErrCodeProtocol, fmt.Sprintf(format, args...))
	}
	if f.Truncated {
		return wrong("a head of more than %d bytes", m.Head)
	}
	h := make(http.Header, len(f.Fields))
	for _, field := range f.RegularFields() {
		if own[field.Name] && field.Name != "host" {
			return wrong("a field of HTTP/1.1's connections, %s", field.Name)
		}
		name := m.canonical.of(field.Name, http.CanonicalHeaderKey)
		h[name] = append(h[name], field.Value)
	}
	if s.head { // trailers
		if len(f.PseudoFields()) > 0 || !f.StreamEnded() {
			return wrong("a second head")
		}
		s.answer.Trailer = h
		return m.ended(s)
	}
	p := f.PseudoFields()
	if len(p) != 1 || p[0].Name != ":status" || len(p[0].Value) != 3 {
		return wrong("a head without one :status")
	}
	status, err := strconv.ParseUint(p[0].Value, 10, 16)
	if err != nil || status < 100 || status == http.StatusSwitchingProtocols {
		return wrong("status %q", p[0].Value)
	}
	if status < 200 {
		if s.interims++; f.StreamEnded() || s.interims > interimsMost {
			return wrong("an answer of 1xx that ends the stream, or too many")
		}
		if s.flow {
			return []Event{{ID: s.id, Head: &Answer{Status: int(status), Header: h}}}
		}
		return nil
	}
	m.noise = 0
	s.head = true
	s.answer.Status, s.answer.Header = int(status), h
	s.none = s.isHead || status == http.StatusNoContent || status == http.StatusNotModified
	if v, told := h["Content-Length"]; told {
		n, err := strconv.ParseUint(v[0], 10, 62)
		if err != nil || len(v) > 1 {
			return wrong("Content-Length %q", v)
		}
		if s.expect = int64(n); !s.none && !s.flow && s.expect > int64(m.Body) {
			return m.malformed(s.id, http2.ErrCodeCancel, fmt.Sprintf("a body of %d bytes", n))
		}
	}
	var events []Event
	if s.flow {
		events = append(events, Event{ID: s.id, Head: &Answer{Status: int(status), Header: h}})
	}
	if f.StreamEnded() {
		events = append(events, m.ended(s)...)
	}
	return events
}

func (m *Machine) data(f *http2.DataFrame) []Event {
	if !m.known(f.StreamID) {
		return m.fail(http2.ErrCodeProtocol, "data on stream %d, which was not opened", f.StreamID)
	}
	m.received(f.Length) // with its padding, also where the stream has gone (6.9)
	s := m.streams[f.StreamID]
	if s == nil {
		return nil
	}
	if !s.head {
		s.head1 = true
		return m.malformed(s.id, http2.ErrCodeProtocol, "data before a head")
	}
	if s.got += int(f.Length); s.got > m.Body+1 {
		return m.malformed(s.id, http2.ErrCodeFlowControl, "more than its window")
	}
	b := f.Data()
	var events []Event
	if len(b) > 0 {
		m.noise = 0
		s.came += int64(len(b))
		if s.none || s.expect >= 0 && s.came > s.expect || !s.flow && s.came > int64(m.Body) {
			return m.malformed(s.id, http2.ErrCodeProtocol, "a body of too many bytes")
		}
		if s.flow {
			events = append(events, Event{ID: s.id, Data: b})
		} else {
			if s.answer.Body == nil && s.expect > 0 {
				s.answer.Body = make([]byte, 0, s.expect)
			}
			s.answer.Body = append(s.answer.Body, b...)
		}
	}
	// Padding takes from the stream's window and brings nothing: it is given back.
	if pad := int(f.Length) - len(b); pad > 0 && !f.StreamEnded() {
		s.got -= pad
		m.frames.WriteWindowUpdate(s.id, uint32(pad))
	}
	if f.StreamEnded() {
		events = append(events, m.ended(s)...)
	}
	return events
}

// ended gives a stream's answer. Where the server did not wait for the rest of the request, the
// rest is not sent (RFC 9113, 8.1).
func (m *Machine) ended(s *stream) []Event {
	if s.expect >= 0 && !s.none && s.came != s.expect {
		return m.malformed(s.id, http2.ErrCodeProtocol, fmt.Sprintf("a body of %d bytes where %d were told", s.came, s.expect))
	}
	m.noise = 0
	delete(m.streams, s.id)
	if !s.queued {
		m.frames.WriteRSTStream(s.id, http2.ErrCodeCancel)
	}
	return []Event{{ID: s.id, Answer: &s.answer}}
}
