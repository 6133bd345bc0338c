package h2

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// peer is the server's side of a machine: what it writes is read by the machine, frame by frame.
type peer struct {
	t      testing.TB
	m      *Machine
	in     bytes.Buffer // to the machine
	w      *http2.Framer
	toM    *http2.Framer
	block  bytes.Buffer
	enc    *hpack.Encoder
	fromM  bytes.Buffer
	r      *http2.Framer
	events []Event
}

func newPeer(t testing.TB, l Limits) *peer {
	p := &peer{t: t, m: New(l)}
	p.w, p.toM = http2.NewFramer(&p.in, nil), http2.NewFramer(nil, &p.in)
	p.toM.ReadMetaHeaders = hpack.NewDecoder(tableDefault, nil)
	p.toM.MaxHeaderListSize = uint32(p.m.Head)
	p.w.AllowIllegalWrites, p.w.AllowIllegalReads = true, false
	p.enc = hpack.NewEncoder(&p.block)
	p.r = http2.NewFramer(nil, &p.fromM)
	p.r.ReadMetaHeaders = hpack.NewDecoder(tableDefault, nil)
	out := p.write()
	if !strings.HasPrefix(out, preface) {
		t.Fatalf("it begins with %q", out)
	}
	p.fromM.Next(len(preface))
	return p
}

// greeted is a peer whose settings have been taken.
func greeted(t testing.TB, l Limits, s ...http2.Setting) *peer {
	p := newPeer(t, l)
	p.w.WriteSettings(s...)
	p.feed()
	p.write()
	p.frames()
	return p
}

// feed has the machine take in what was written for it.
func (p *peer) feed() []Event {
	p.events = nil
	for p.in.Len() > 0 && p.m.Err() == nil {
		f, err := p.toM.ReadFrame()
		if err != nil {
			p.events = append(p.events, p.m.Unreadable(err)...)
		} else {
			p.events = append(p.events, p.m.Handle(f)...)
		}
	}
	return p.events
}

// write takes all that the machine has to say.
func (p *peer) write() string {
	var all []byte
	for b := p.m.Out(); len(b) > 0; b = p.m.Out() {
		all = append(all, b...)
		p.m.Wrote(len(b))
	}
	p.fromM.Write(all)
	return string(all)
}

// frames are what the machine said, a word each.
func (p *peer) frames() (all []string) {
	p.write()
	for {
		f, err := p.r.ReadFrame()
		if errors.Is(err, io.EOF) {
			return all
		}
		if err != nil {
			p.t.Fatalf("the machine wrote what can't be read: %v", err)
		}
		switch f := f.(type) {
		case *http2.RSTStreamFrame:
			all = append(all, fmt.Sprintf("RST %d %v", f.StreamID, f.ErrCode))
		case *http2.GoAwayFrame:
			all = append(all, fmt.Sprintf("GOAWAY %v", f.ErrCode))
		case *http2.WindowUpdateFrame:
			all = append(all, fmt.Sprintf("WINDOW %d %d", f.StreamID, f.Increment))
		case *http2.DataFrame:
			all = append(all, fmt.Sprintf("DATA %d %d %v", f.StreamID, len(f.Data()), f.StreamEnded()))
		case *http2.MetaHeadersFrame:
			all = append(all, fmt.Sprintf("HEADERS %d %v", f.StreamID, f.StreamEnded()))
		default:
			all = append(all, fmt.Sprintf("%v %v", f.Header().Type, f.Header().Flags.Has(http2.FlagPingAck)))
		}
	}
}

// head writes a head, "name: value" each.
func (p *peer) head(id uint32, end bool, fields ...string) {
	p.block.Reset()
	for _, f := range fields {
		name, value, _ := strings.Cut(f, ": ")
		p.enc.WriteField(hpack.HeaderField{Name: name, Value: value})
	}
	p.w.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: p.block.Bytes(), EndStream: end, EndHeaders: true})
}

func (p *peer) open(body string) uint32 {
	p.t.Helper()
	id, err := p.m.OpenStream(&Request{
		Method: "POST", Scheme: "http", Authority: "a", Path: "/p",
		Header: http.Header{"X-One": {"1"}, "Connection": {"close"}, "Te": {"gzip"}}, Body: []byte(body),
	})
	if err != nil {
		p.t.Fatal(err)
	}
	return id
}

func goAway(c http2.ErrCode) string { return fmt.Sprintf("GOAWAY %v", c) }

func reset(c http2.ErrCode) string { return fmt.Sprintf("RST 1 %v", c) }

// serversFaults are what a server may not do, by the section of RFC 9113 that says so, and what the machine
// makes of it: the connection ends with a code (GOAWAY), or the one stream does (RST).
var serversFaults = []struct {
	section, name string
	do            func(p *peer)
	want          string // "" is nothing: it goes on
}{
	{"3.4", "no settings first", func(p *peer) { p.m.greeted = false; p.w.WritePing(false, [8]byte{}) }, goAway(http2.ErrCodeProtocol)},
	{"3.4", "an ack first", func(p *peer) { p.m.greeted = false; p.w.WriteSettingsAck() }, goAway(http2.ErrCodeProtocol)},
	{"4.2", "a frame longer than was allowed", func(p *peer) { p.toM.SetMaxReadFrameSize(100); p.w.WriteData(1, false, make([]byte, 101)) }, goAway(http2.ErrCodeFrameSize)},
	{"4.3", "a block that can't be decoded", func(p *peer) {
		p.w.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, EndHeaders: true})
	}, goAway(http2.ErrCodeCompression)},
	{"5.1", "data on an idle stream", func(p *peer) { p.w.WriteData(9, true, nil) }, goAway(http2.ErrCodeProtocol)},
	{"5.1", "a head on an idle stream", func(p *peer) { p.head(9, true, ":status: 200") }, goAway(http2.ErrCodeProtocol)},
	{"5.1", "a reset of an idle stream", func(p *peer) { p.w.WriteRSTStream(9, 0) }, goAway(http2.ErrCodeProtocol)},
	{"5.1", "a window of an idle stream", func(p *peer) { p.w.WriteWindowUpdate(9, 1) }, goAway(http2.ErrCodeProtocol)},
	{"5.1.1", "a stream of the server's", func(p *peer) { p.head(2, true, ":status: 200") }, goAway(http2.ErrCodeProtocol)},
	{"5.5", "an unknown frame", func(p *peer) { p.w.WriteRawFrame(0xbe, 0, 1, []byte("x")) }, ""},
	{"6.1", "data on stream 0", func(p *peer) { p.w.WriteData(0, false, []byte("x")) }, goAway(http2.ErrCodeProtocol)},
	{"6.1", "padding beyond the frame", func(p *peer) { p.w.WriteRawFrame(http2.FrameData, http2.FlagDataPadded, 1, []byte{9, 1}) }, goAway(http2.ErrCodeProtocol)},
	{"6.2", "a head on stream 0", func(p *peer) { p.head(0, true, ":status: 200") }, goAway(http2.ErrCodeProtocol)},
	{"6.3", "a priority", func(p *peer) { p.w.WritePriority(1, http2.PriorityParam{StreamDep: 3, Weight: 2}) }, ""},
	{"6.4", "a reset of stream 0", func(p *peer) { p.w.WriteRawFrame(http2.FrameRSTStream, 0, 0, make([]byte, 4)) }, goAway(http2.ErrCodeProtocol)},
	{"6.4", "a reset of the wrong length", func(p *peer) { p.w.WriteRawFrame(http2.FrameRSTStream, 0, 1, make([]byte, 3)) }, goAway(http2.ErrCodeFrameSize)},
	{"6.5", "settings on a stream", func(p *peer) { p.w.WriteRawFrame(http2.FrameSettings, 0, 1, nil) }, goAway(http2.ErrCodeProtocol)},
	{"6.5", "settings of the wrong length", func(p *peer) { p.w.WriteRawFrame(http2.FrameSettings, 0, 0, make([]byte, 5)) }, goAway(http2.ErrCodeFrameSize)},
	{"6.5", "an ack with settings", func(p *peer) { p.w.WriteRawFrame(http2.FrameSettings, http2.FlagSettingsAck, 0, make([]byte, 6)) }, goAway(http2.ErrCodeFrameSize)},
	{"6.5.2", "push enabled", func(p *peer) { p.w.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 1}) }, goAway(http2.ErrCodeProtocol)},
	{"6.5.2", "a window that can't be", func(p *peer) { p.w.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 31}) }, goAway(http2.ErrCodeFlowControl)},
	{"6.5.2", "a frame size that can't be", func(p *peer) { p.w.WriteSettings(http2.Setting{ID: http2.SettingMaxFrameSize, Val: 100}) }, goAway(http2.ErrCodeProtocol)},
	{"6.5.2", "an unknown setting", func(p *peer) { p.w.WriteSettings(http2.Setting{ID: 0x99, Val: 1}) }, ""},
	{"6.6", "a push", func(p *peer) {
		p.w.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, BlockFragment: []byte{0x82}, EndHeaders: true})
	}, goAway(http2.ErrCodeProtocol)},
	{"6.7", "a ping on a stream", func(p *peer) { p.w.WriteRawFrame(http2.FramePing, 0, 1, make([]byte, 8)) }, goAway(http2.ErrCodeProtocol)},
	{"6.7", "a ping of the wrong length", func(p *peer) { p.w.WriteRawFrame(http2.FramePing, 0, 0, make([]byte, 7)) }, goAway(http2.ErrCodeFrameSize)},
	{"6.8", "goaway on a stream", func(p *peer) { p.w.WriteRawFrame(http2.FrameGoAway, 0, 1, make([]byte, 8)) }, goAway(http2.ErrCodeProtocol)},
	{"6.9", "a window of nothing", func(p *peer) { p.w.WriteRawFrame(http2.FrameWindowUpdate, 0, 0, make([]byte, 4)) }, goAway(http2.ErrCodeProtocol)},
	{"6.9", "a stream's window of nothing", func(p *peer) { p.w.WriteRawFrame(http2.FrameWindowUpdate, 0, 1, make([]byte, 4)) }, reset(http2.ErrCodeProtocol)},
	{"6.9.1", "a window beyond 2^31-1", func(p *peer) { p.w.WriteWindowUpdate(0, windowMost) }, goAway(http2.ErrCodeFlowControl)},
	{"6.9.1", "a stream's window beyond 2^31-1", func(p *peer) { p.w.WriteWindowUpdate(1, windowMost) }, reset(http2.ErrCodeFlowControl)},
	{"6.9.2", "settings that take a window beyond 2^31-1", func(p *peer) {
		p.w.WriteWindowUpdate(1, windowMost-windowDefault)
		p.w.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: windowDefault + 1})
	}, goAway(http2.ErrCodeFlowControl)},
	{"6.9", "more than the stream's window", func(p *peer) {
		p.head(1, false, ":status: 200")
		for range 9 {
			p.w.WriteData(1, false, make([]byte, 8<<10))
		}
	}, reset(http2.ErrCodeFlowControl)},
	{"6.10", "a continuation of nothing", func(p *peer) { p.w.WriteContinuation(1, true, nil) }, goAway(http2.ErrCodeProtocol)},
	{"6.10", "a frame inside a block", func(p *peer) {
		p.w.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
		p.w.WritePing(false, [8]byte{})
	}, goAway(http2.ErrCodeProtocol)},
	{"8.1", "data before a head", func(p *peer) { p.w.WriteData(1, true, []byte("x")) }, reset(http2.ErrCodeProtocol)},
	{"8.1", "a second head", func(p *peer) { p.head(1, false, ":status: 200"); p.head(1, false, "x: y") }, reset(http2.ErrCodeProtocol)},
	{"8.1", "trailers with :status", func(p *peer) { p.head(1, false, ":status: 200"); p.head(1, true, ":status: 200") }, reset(http2.ErrCodeProtocol)},
	{"8.1", "1xx that ends the stream", func(p *peer) { p.head(1, true, ":status: 103") }, reset(http2.ErrCodeProtocol)},
	{"8.1.1", "more than Content-Length", func(p *peer) {
		p.head(1, false, ":status: 200", "content-length: 2")
		p.w.WriteData(1, true, []byte("abc"))
	}, reset(http2.ErrCodeProtocol)},
	{"8.1.1", "less than Content-Length", func(p *peer) {
		p.head(1, false, ":status: 200", "content-length: 2")
		p.w.WriteData(1, true, []byte("a"))
	}, reset(http2.ErrCodeProtocol)},
	{"8.1.1", "two lengths", func(p *peer) { p.head(1, false, ":status: 200", "content-length: 2", "content-length: 2") }, reset(http2.ErrCodeProtocol)},
	{"8.1.1", "a length that is none", func(p *peer) { p.head(1, false, ":status: 200", "content-length: -2") }, reset(http2.ErrCodeProtocol)},
	{"8.2.1", "a field in upper case", func(p *peer) { p.head(1, true, ":status: 200", "X-Upper: y") }, reset(http2.ErrCodeProtocol)},
	{"8.2.1", "a field with a line's end", func(p *peer) { p.head(1, true, ":status: 200", "x: a\r\nb") }, reset(http2.ErrCodeProtocol)},
	{"8.2.2", "connection", func(p *peer) { p.head(1, true, ":status: 200", "connection: close") }, reset(http2.ErrCodeProtocol)},
	{"8.2.2", "transfer-encoding", func(p *peer) { p.head(1, true, ":status: 200", "transfer-encoding: chunked") }, reset(http2.ErrCodeProtocol)},
	{"8.3", "a pseudo-field behind others", func(p *peer) { p.head(1, true, "x: y", ":status: 200") }, reset(http2.ErrCodeProtocol)},
	{"8.3", "an unknown pseudo-field", func(p *peer) { p.head(1, true, ":status: 200", ":odd: y") }, reset(http2.ErrCodeProtocol)},
	{"8.3", "a request's pseudo-field", func(p *peer) { p.head(1, true, ":path: /", ":status: 200") }, reset(http2.ErrCodeProtocol)},
	{"8.3.2", "no status", func(p *peer) { p.head(1, true, "x: y") }, reset(http2.ErrCodeProtocol)},
	{"8.3.2", "two statuses", func(p *peer) { p.head(1, true, ":status: 200", ":status: 200") }, reset(http2.ErrCodeProtocol)},
	{"8.3.2", "a status of two digits", func(p *peer) { p.head(1, true, ":status: 20") }, reset(http2.ErrCodeProtocol)},
	{"8.6", "101", func(p *peer) { p.head(1, false, ":status: 101") }, reset(http2.ErrCodeProtocol)},
	{"10.5", "a head that is too long", func(p *peer) {
		p.head(1, true, ":status: 200", "x: "+strings.Repeat("y", 2000), "z: "+strings.Repeat("y", 2000))
	}, reset(http2.ErrCodeProtocol)},
	{"10.5", "interim answers without an end", func(p *peer) {
		for range interimsMost + 1 {
			p.head(1, false, ":status: 103")
		}
	}, reset(http2.ErrCodeProtocol)},
	{"10.5", "a flood of pings", func(p *peer) {
		for range noiseMost + 1 {
			p.w.WritePing(false, [8]byte{})
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a flood of settings", func(p *peer) {
		for range noiseMost + 1 {
			p.w.WriteSettings()
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a flood of empty data", func(p *peer) {
		p.head(1, false, ":status: 200")
		for range noiseMost + 1 {
			p.w.WriteData(1, false, nil)
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a flood of resets", func(p *peer) {
		for range noiseMost + 1 {
			p.w.WriteRSTStream(1, 0)
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a body without an end", func(p *peer) {
		p.head(1, false, ":status: 200")
		for range 20 {
			p.w.WriteData(1, false, make([]byte, 4<<10))
		}
	}, reset(http2.ErrCodeFlowControl)},
	{"10.5", "a body that is told to be too long", func(p *peer) { p.head(1, false, ":status: 200", "content-length: 3000000000") }, reset(http2.ErrCodeCancel)},
}

// A fault of a server ends what it has to, and nothing else.
func TestServersFaults(t *testing.T) {
	for _, tc := range serversFaults {
		t.Run(tc.section+" "+tc.name, func(t *testing.T) {
			p := greeted(t, Limits{Head: 3000, Body: 60 << 10})
			p.open("")
			p.frames()
			tc.do(p)
			p.feed()
			said := p.frames()
			kept := said[:0]
			for _, f := range said {
				if strings.HasPrefix(f, "RST") || strings.HasPrefix(f, "GOAWAY") {
					kept = append(kept, f)
				}
			}
			if got := strings.Join(kept, ", "); got != tc.want {
				t.Errorf("it says %q, not %q (%v)", got, tc.want, p.m.Err())
			}
			switch {
			case strings.HasPrefix(tc.want, "GOAWAY"):
				if p.m.Err() == nil || p.m.Room() != 0 || p.m.Open() != 0 {
					t.Errorf("it goes on: %v, %d open", p.m.Err(), p.m.Open())
				}
			case tc.want != "": // other streams are not touched
				if len(p.events) != 1 || p.events[0].Err == nil || p.events[0].Fate != MayHaveRun || p.m.Err() != nil {
					t.Fatalf("%+v, %v", p.events, p.m.Err())
				}
				fallthrough
			default:
				id := p.open("")
				p.head(id, true, ":status: 204")
				if e := p.feed(); p.m.Err() != nil || len(e) == 0 || e[len(e)-1].Answer == nil {
					t.Errorf("the next request: %+v, %v", e, p.m.Err())
				}
			}
		})
	}
}

// Table of docs/http2.md: what is known of a request, by how far it went and what ended it.
func TestFates(t *testing.T) {
	N, A, Y := NeverRan, TurnedAway, MayHaveRun
	for _, tc := range []struct {
		how  End
		code http2.ErrCode
		want [2][4]Fate // servers begin with the head, with the last byte; by moment
	}{
		{Broke, http2.ErrCodeNo, [2][4]Fate{{N, Y, Y, Y}, {N, N, Y, Y}}},
		{Broke, http2.ErrCodeRefusedStream, [2][4]Fate{{N, Y, Y, Y}, {N, N, Y, Y}}},
		{Reset, http2.ErrCodeRefusedStream, [2][4]Fate{{N, A, A, Y}, {N, A, A, Y}}},
		{Reset, http2.ErrCodeNo, [2][4]Fate{{N, Y, Y, Y}, {N, N, Y, Y}}},
		{Reset, http2.ErrCodeInternal, [2][4]Fate{{N, Y, Y, Y}, {N, N, Y, Y}}},
		{Reset, http2.ErrCodeCancel, [2][4]Fate{{N, Y, Y, Y}, {N, N, Y, Y}}},
		{Reset, http2.ErrCodeEnhanceYourCalm, [2][4]Fate{{N, Y, Y, Y}, {N, N, Y, Y}}},
		{Above, http2.ErrCodeNo, [2][4]Fate{{N, A, A, Y}, {N, A, A, Y}}},
		{Above, http2.ErrCodeInternal, [2][4]Fate{{N, A, A, Y}, {N, A, A, Y}}},
		{Cancelled, http2.ErrCodeCancel, [2][4]Fate{{N, Y, Y, Y}, {N, N, Y, Y}}},
		{Malformed, http2.ErrCodeProtocol, [2][4]Fate{{N, Y, Y, Y}, {N, N, Y, Y}}},
	} {
		for whole, by := range tc.want {
			for m, want := range by {
				if got := FateOf(Moment(m), tc.how, tc.code, whole == 1); got != want {
					t.Errorf("%v, %v, %v, whole %d: %v, not %v", Moment(m), tc.how, tc.code, whole, got, want)
				}
			}
		}
	}
}

// How a request's moment is known: by bytes that may have been written, and by those that will be.
func TestMoments(t *testing.T) {
	one := func(e []Event) *StreamError {
		if len(e) != 1 || e[0].Err == nil {
			t.Fatalf("%+v", e)
		}
		return e[0].Err
	}
	for name, tc := range map[string]struct {
		do   func(p *peer, id uint32) *StreamError
		want Moment
	}{
		"broken before anything is written": {func(p *peer, _ uint32) *StreamError { return one(p.m.Break(io.EOF)) }, Unsent},
		"broken in the first write": {func(p *peer, _ uint32) *StreamError {
			p.m.Out() // handed to a write that has not returned
			return one(p.m.Break(io.EOF))
		}, Begun},
		"broken after a part":                          {func(p *peer, _ uint32) *StreamError { p.m.Out(); p.m.Wrote(12); return one(p.m.Break(io.EOF)) }, Begun},
		"broken once all the window let go is written": {func(p *peer, _ uint32) *StreamError { p.write(); return one(p.m.Break(io.EOF)) }, Begun},
		"broken after all": {func(p *peer, id uint32) *StreamError {
			p.write()
			p.w.WriteWindowUpdate(id, 1000)
			p.feed()
			p.write()
			return one(p.m.Break(io.EOF))
		}, Sent},
		"broken with the last bytes unwritten": {func(p *peer, id uint32) *StreamError {
			p.write()
			p.w.WriteWindowUpdate(id, 1000)
			p.feed()
			n := len(p.m.Out())
			p.m.Wrote(n - 1) // and no further write begins
			return one(p.m.Break(io.EOF))
		}, Begun},
		"answered in part": {func(p *peer, id uint32) *StreamError {
			p.write()
			p.head(id, false, ":status: 103")
			p.w.WriteRSTStream(id, http2.ErrCodeRefusedStream)
			return one(p.feed())
		}, Answered},
		"given up while its last bytes wait to be written": {func(p *peer, id uint32) *StreamError {
			p.w.WriteWindowUpdate(id, 1000)
			p.feed()
			e, _ := p.m.Cancel(id)
			return e.Err
		}, Sent},
		"given up while it waits for the window": {func(p *peer, id uint32) *StreamError { e, _ := p.m.Cancel(id); return e.Err }, Begun},
	} {
		t.Run(name, func(t *testing.T) {
			p := greeted(t, Limits{}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 100})
			if e := tc.do(p, p.open(strings.Repeat("x", 200))); e.Moment != tc.want {
				t.Errorf("%v, not %v", e.Moment, tc.want)
			}
			if p.m.Err() != nil {
				if out := string(p.m.Out()); strings.Contains(out, "xxx") && p.m.handed == 0 {
					t.Errorf("it goes on writing: %q", out)
				}
			}
		})
	}
}

// Going away: what is above the last id was not taken, the rest goes on, and the last id never rises.
func TestGoAway(t *testing.T) {
	p := greeted(t, Limits{})
	for range 4 { // 1, 3, 5, 7
		p.open("body")
	}
	p.write()
	p.w.WriteGoAway(1<<31-1, 0, nil)
	if e := p.feed(); len(e) != 0 || p.m.Room() != 0 || !p.m.Ending() {
		t.Errorf("after the first: %+v, room %d", e, p.m.Room())
	}
	if _, err := p.m.OpenStream(&Request{Method: "GET"}); !errors.Is(err, ErrNoStream) {
		t.Errorf("%v", err)
	}
	for _, step := range []struct {
		last uint32
		ends []uint32
	}{{5, []uint32{7}}, {1000, nil}, {1, []uint32{3, 5}}} {
		p.w.WriteGoAway(step.last, http2.ErrCodeNo, []byte("why"))
		got := make(map[uint32]bool)
		for _, e := range p.feed() {
			got[e.ID] = e.Fate == TurnedAway && e.Err.End == Above
		}
		if len(got) != len(step.ends) {
			t.Errorf("last id %d: %v", step.last, got)
		}
		for _, id := range step.ends {
			if !got[id] {
				t.Errorf("last id %d: stream %d is not told to be turned away", step.last, id)
			}
		}
	}
	p.head(1, false, ":status: 200")
	p.w.WriteData(1, true, []byte("late"))
	if e := p.feed(); len(e) != 1 || e[0].Answer == nil || string(e[0].Answer.Body) != "late" {
		t.Errorf("the one that was taken: %+v", e)
	}
}

// Windows: a body goes as far as both let it, may be owed more by settings, and goes on in turn.
func TestWindows(t *testing.T) {
	p := greeted(t, Limits{}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 100})
	a, b := p.open(strings.Repeat("a", 150)), p.open(strings.Repeat("b", 70000))
	check := func(want ...string) {
		t.Helper()
		var data []string
		for _, f := range p.frames() {
			if strings.HasPrefix(f, "DATA") {
				data = append(data, f)
			}
		}
		if strings.Join(data, ", ") != strings.Join(want, ", ") {
			t.Errorf("%v, not %v", data, want)
		}
	}
	check(fmt.Sprintf("DATA %d 100 false", a), fmt.Sprintf("DATA %d 100 false", b))
	p.w.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 20}) // both owe 80
	p.w.WriteWindowUpdate(a, 80)
	p.feed()
	check()
	p.w.WriteWindowUpdate(a, 50)
	p.feed()
	check(fmt.Sprintf("DATA %d 50 true", a))
	p.w.WriteWindowUpdate(b, 80000) // now the connection's is the less: 65535 - 250
	p.feed()
	check(fmt.Sprintf("DATA %d 16384 false", b), fmt.Sprintf("DATA %d 16384 false", b), fmt.Sprintf("DATA %d 16384 false", b), fmt.Sprintf("DATA %d 16133 false", b))
	p.w.WriteWindowUpdate(0, 1<<20)
	p.feed()
	check(fmt.Sprintf("DATA %d 4615 true", b))
	// The answer to one whose body is not out yet is taken, and the rest not sent.
	c := p.open(strings.Repeat("c", 100))
	p.head(c, true, ":status: 200")
	if e := p.feed(); len(e) != 1 || e[0].Answer == nil {
		t.Errorf("%+v", e)
	}
	if got := strings.Join(p.frames(), ", "); !strings.Contains(got, fmt.Sprintf("RST %d CANCEL", c)) {
		t.Error(got)
	}
}

// A limit that falls under what is open cuts nothing and holds from then on.
func TestLimitFalls(t *testing.T) {
	p := greeted(t, Limits{Streams: 10}, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 3})
	for range 3 {
		p.open("")
	}
	p.w.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 1})
	p.feed()
	for i, id := range []uint32{1, 3, 5} {
		if p.m.Room() != 0 || p.m.Open() != 3-i {
			t.Errorf("room %d, open %d", p.m.Room(), p.m.Open())
		}
		p.head(id, true, ":status: 200")
		p.feed()
	}
	if p.m.Room() != 1 {
		t.Errorf("room %d", p.m.Room())
	}
	p.w.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 0})
	if p.feed(); p.m.Room() != 0 || p.m.Limit() != 0 {
		t.Errorf("room %d", p.m.Room())
	}
}

// A long life: ten thousand streams leave nothing behind; then the ids are used up.
func TestLongLife(t *testing.T) {
	p := greeted(t, Limits{Life: 10000})
	for i := range 10000 {
		id := p.open("body")
		p.head(id, false, ":status: 200", "content-length: 4", "x-n: "+fmt.Sprint(i))
		p.w.WriteData(id, false, []byte("bo"))
		p.w.WriteDataPadded(id, false, []byte("dy"), make([]byte, 20))
		p.head(id, true, "x-backend-load: inflight=1")
		p.w.WriteWindowUpdate(0, 4)
		e := p.feed()
		if len(e) != 1 || e[0].Answer == nil || string(e[0].Answer.Body) != "body" || e[0].Answer.Trailer.Get("X-Backend-Load") == "" {
			t.Fatalf("%d: %+v, %v", i, e, p.m.Err())
		}
		p.frames()
	}
	if p.m.Room() != 0 || !p.m.Ending() || p.m.Open() != 0 || len(p.m.waiting) > 0 || p.m.out.Cap() > 1<<16 {
		t.Errorf("room %d, open %d, buffer %d", p.m.Room(), p.m.Open(), p.m.out.Cap())
	}
}

// Pings are answered, and asked; the head of a request is what HTTP/2 has of it.
func TestPingsAndHead(t *testing.T) {
	p := greeted(t, Limits{})
	p.m.Ping()
	p.m.Ping() // one is awaited
	if got := p.frames(); len(got) != 1 || !p.m.Awaiting() {
		t.Errorf("%v", got)
	}
	p.w.WritePing(true, [8]byte{9})
	if p.feed(); !p.m.Awaiting() {
		t.Error("another's answer counts")
	}
	p.w.WritePing(true, [8]byte{1})
	if p.feed(); p.m.Awaiting() {
		t.Error("the answer does not count")
	}
	p.open("four")
	p.write()
	f, err := p.r.ReadFrame()
	h, ok := f.(*http2.MetaHeadersFrame)
	if err != nil || !ok {
		t.Fatalf("%v, %v", f, err)
	}
	got := make(map[string]string)
	for _, f := range h.Fields {
		got[f.Name] = f.Value
	}
	if fmt.Sprint(got) != "map[:authority:a :method:POST :path:/p :scheme:http content-length:4 x-one:1]" {
		t.Error(got)
	}
	small := greeted(t, Limits{}, http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: 50})
	if _, err := small.m.OpenStream(&Request{Method: "GET", Path: "/"}); !errors.Is(err, ErrHead) || small.m.Open() != 0 {
		t.Errorf("%v", err)
	}
}

func TestChoose(t *testing.T) {
	b := Bounds{Conns: 2, Waiting: 3, Age: time.Hour}
	v := func(open, room int) View { return View{Open: open, Room: room, Limit: open + room} }
	old := func(w View) View { w.Age = 2 * time.Hour; return w }
	ending := View{Open: 3, Limit: 10, Ending: true}
	for name, tc := range map[string]struct {
		conns          []View
		dialing, waits int
		use            int
		wait, dial     bool
		retire         int
	}{
		"none yet":                       {nil, 0, 0, -1, true, true, -1},
		"one is coming":                  {nil, 1, 1, -1, true, false, -1},
		"one with room":                  {[]View{v(3, 1)}, 0, 0, 0, false, false, -1},
		"the emptier of two":             {[]View{v(3, 1), v(2, 1)}, 0, 0, 1, false, false, -1},
		"full: another":                  {[]View{v(4, 0)}, 0, 0, -1, true, true, -1},
		"all full":                       {[]View{v(4, 0), v(4, 0)}, 0, 2, -1, true, false, -1},
		"no place to wait":               {[]View{v(4, 0), v(4, 0)}, 0, 3, -1, false, false, -1},
		"one that ends does not count":   {[]View{ending, v(4, 0)}, 0, 0, -1, true, true, -1},
		"only ones that end":             {[]View{ending, ending}, 0, 0, -1, true, true, -1},
		"the server allows none":         {[]View{v(0, 0)}, 0, 0, -1, false, false, -1},
		"old, and nothing else":          {[]View{old(v(1, 5))}, 0, 0, 0, false, true, -1},
		"old, while the next one comes":  {[]View{old(v(1, 5))}, 1, 0, 0, false, false, -1},
		"old and full":                   {[]View{old(v(5, 0))}, 0, 0, -1, true, true, -1},
		"old, and a young one":           {[]View{old(v(0, 5)), v(3, 1)}, 0, 0, 1, false, false, 0},
		"old, and a young one with none": {[]View{old(v(0, 5)), v(3, 0)}, 0, 0, 0, false, true, -1},
	} {
		want := Choice{tc.use, tc.wait, tc.dial, tc.retire}
		if got := Choose(tc.conns, tc.dialing, tc.waits, b); got != want {
			t.Errorf("%s: %+v, not %+v", name, got, want)
		}
	}
}

// FuzzServer has a machine with open streams read anything from its server: it keeps its bounds,
// and each stream ends once.
func FuzzServer(f *testing.F) {
	p := greeted(f, Limits{})
	p.head(1, false, ":status: 200", "content-length: 4")
	p.w.WriteData(1, true, []byte("body"))
	p.w.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	p.w.WriteGoAway(3, 0, []byte("why"))
	p.w.WriteRSTStream(3, http2.ErrCodeRefusedStream)
	f.Add(p.in.Bytes())
	f.Fuzz(func(t *testing.T, raw []byte) {
		p := greeted(t, Limits{Body: 1000, Head: 1000, Streams: 5})
		open := make(map[uint32]bool)
		for range 3 {
			open[p.open(strings.Repeat("x", 70000))] = true
		}
		p.in.Write(raw)
		events := p.feed()
		if p.in.Len() == 0 {
			events = append(events, p.m.Break(io.EOF)...)
		}
		for _, e := range events {
			if !open[e.ID] || (e.Answer == nil) == (e.Err == nil) || e.Answer != nil && len(e.Answer.Body) > 1000 {
				t.Errorf("%+v", e)
			}
			delete(open, e.ID)
		}
		if p.m.Err() != nil && (p.m.Open() > 0 || len(open) > 0) {
			t.Errorf("%d streams without an end", len(open))
		}
		if p.m.out.Cap() > 3*outMost {
			t.Errorf("%d bytes are held", p.m.out.Cap())
		}
	})
}
