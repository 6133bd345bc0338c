package h2

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// What comes in: frames, and what they mean for streams and the connection.

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
	status, err := statusOf(f.PseudoFields())
	if err != nil {
		return wrong("%v", err)
	}
	if status < 200 {
		if s.interims++; f.StreamEnded() || s.interims > interimsMost {
			return wrong("an answer of 1xx that ends the stream, or too many")
		}
		if s.flow {
			return []Event{{ID: s.id, Head: &Answer{Status: status, Header: h}}}
		}
		return nil
	}
	return m.finalHead(s, status, h, f.StreamEnded())
}

// statusOf reads an answer's pseudo header fields.
func statusOf(p []hpack.HeaderField) (int, error) {
	if len(p) != 1 || p[0].Name != ":status" || len(p[0].Value) != 3 {
		return 0, errors.New("a head without one :status")
	}
	status, err := strconv.ParseUint(p[0].Value, 10, 16)
	if err != nil || status < 100 || status == http.StatusSwitchingProtocols {
		return 0, fmt.Errorf("status %q", p[0].Value)
	}
	return int(status), nil
}

// finalHead takes the head of a final answer.
func (m *Machine) finalHead(s *stream, status int, h http.Header, ended bool) []Event {
	m.noise = 0
	s.head = true
	s.answer.Status, s.answer.Header = status, h
	s.none = s.isHead || status == http.StatusNoContent || status == http.StatusNotModified
	if v, told := h["Content-Length"]; told {
		n, err := strconv.ParseUint(v[0], 10, 62)
		if err != nil || len(v) > 1 {
			return m.malformed(s.id, http2.ErrCodeProtocol, fmt.Sprintf("Content-Length %q", v))
		}
		if s.expect = int64(n); !s.none && !s.flow && s.expect > int64(m.Body) {
			return m.malformed(s.id, http2.ErrCodeCancel, fmt.Sprintf("a body of %d bytes", n))
		}
	}
	var events []Event
	if s.flow {
		events = append(events, Event{ID: s.id, Head: &Answer{Status: status, Header: h}})
	}
	if ended {
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
