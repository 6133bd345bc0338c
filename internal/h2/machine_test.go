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

func newPeer(t testing.TB, limits Limits) *peer {
	created := &peer{t: t, m: New(limits)}
	created.w, created.toM = http2.NewFramer(&created.in, nil), http2.NewFramer(nil, &created.in)
	created.toM.ReadMetaHeaders = hpack.NewDecoder(defaultTableBytes, nil)
	created.toM.MaxHeaderListSize = uint32(created.m.MaxHeadBytes)
	created.w.AllowIllegalWrites, created.w.AllowIllegalReads = true, false
	created.enc = hpack.NewEncoder(&created.block)
	created.r = http2.NewFramer(nil, &created.fromM)
	created.r.ReadMetaHeaders = hpack.NewDecoder(defaultTableBytes, nil)
	out := created.write()
	if !strings.HasPrefix(out, preface) {
		t.Fatalf("it begins with %q", out)
	}
	created.fromM.Next(len(preface))
	return created
}

// greeted is a peer whose settings have been taken.
func greeted(t testing.TB, limits Limits, s ...http2.Setting) *peer {
	ready := newPeer(t, limits)
	ready.w.WriteSettings(s...)
	ready.feed()
	ready.write()
	ready.frames()
	return ready
}

// feed has the machine take in what was written for it.
func (p *peer) feed() []Event {
	p.events = nil
	for p.in.Len() > 0 && p.m.Err() == nil {
		frame, err := p.toM.ReadFrame()
		if err != nil {
			p.events = append(p.events, p.m.Unreadable(err)...)
		} else {
			p.events = append(p.events, p.m.Handle(frame)...)
		}
	}
	return p.events
}

// write takes all that the machine has to say.
func (p *peer) write() string {
	var all []byte
	for b := p.m.PendingBytes(); len(b) > 0; b = p.m.PendingBytes() {
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
		frame, err := p.r.ReadFrame()
		if errors.Is(err, io.EOF) {
			return all
		}
		if err != nil {
			p.t.Fatalf("the machine wrote what can't be read: %v", err)
		}
		switch f := frame.(type) {
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
	{"3.4", "no settings first", func(p *peer) { p.m.hasSettings = false; p.w.WritePing(false, [8]byte{}) }, goAway(http2.ErrCodeProtocol)},
	{"3.4", "an ack first", func(p *peer) { p.m.hasSettings = false; p.w.WriteSettingsAck() }, goAway(http2.ErrCodeProtocol)},
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
	{"6.9.1", "a window beyond 2^31-1", func(p *peer) { p.w.WriteWindowUpdate(0, maxWindow) }, goAway(http2.ErrCodeFlowControl)},
	{"6.9.1", "a stream's window beyond 2^31-1", func(p *peer) { p.w.WriteWindowUpdate(1, maxWindow) }, reset(http2.ErrCodeFlowControl)},
	{"6.9.2", "settings that take a window beyond 2^31-1", func(p *peer) {
		p.w.WriteWindowUpdate(1, maxWindow-defaultWindow)
		p.w.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: defaultWindow + 1})
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
		for range maxInterimAnswers + 1 {
			p.head(1, false, ":status: 103")
		}
	}, reset(http2.ErrCodeProtocol)},
	{"10.5", "a flood of pings", func(p *peer) {
		for range maxNoiseFrames + 1 {
			p.w.WritePing(false, [8]byte{})
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a flood of settings", func(p *peer) {
		for range maxNoiseFrames + 1 {
			p.w.WriteSettings()
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a flood of empty data", func(p *peer) {
		p.head(1, false, ":status: 200")
		for range maxNoiseFrames + 1 {
			p.w.WriteData(1, false, nil)
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a flood of resets", func(p *peer) {
		for range maxNoiseFrames + 1 {
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

// TestServerFaults checks that a fault of a server ends its stream or its connection, and nothing else.
func TestServerFaults(t *testing.T) {
	for _, tc := range serversFaults {
		t.Run(tc.section+" "+tc.name, func(t *testing.T) {
			peer := greeted(t, Limits{MaxHeadBytes: 3000, MaxBodyBytes: 60 << 10})
			peer.open("")
			peer.frames()
			tc.do(peer)
			peer.feed()
			said := peer.frames()
			kept := said[:0]
			for _, f := range said {
				if strings.HasPrefix(f, "RST") || strings.HasPrefix(f, "GOAWAY") {
					kept = append(kept, f)
				}
			}
			if got := strings.Join(kept, ", "); got != tc.want {
				t.Errorf("it says %q, not %q (%v)", got, tc.want, peer.m.Err())
			}
			switch {
			case strings.HasPrefix(tc.want, "GOAWAY"):
				if peer.m.Err() == nil || peer.m.FreeStreams() != 0 || peer.m.OpenStreams() != 0 {
					t.Errorf("it goes on: %v, %d open", peer.m.Err(), peer.m.OpenStreams())
				}
			case tc.want != "": // other streams are not touched
				if len(peer.events) != 1 || peer.events[0].Err == nil || peer.events[0].Outcome != MayBeProcessed || peer.m.Err() != nil {
					t.Fatalf("%+v, %v", peer.events, peer.m.Err())
				}
				fallthrough
			default:
				id := peer.open("")
				peer.head(id, true, ":status: 204")
				if e := peer.feed(); peer.m.Err() != nil || len(e) == 0 || e[len(e)-1].Answer == nil {
					t.Errorf("the next request: %+v, %v", e, peer.m.Err())
				}
			}
		})
	}
}

// TestOutcomeOf checks the table of docs/http2.md: what is known of a request by how far it went and what ended it.
func TestOutcomeOf(t *testing.T) {
	notProcessed, rejected, mayBeProcessed := NotProcessed, Rejected, MayBeProcessed
	for _, tc := range []struct {
		how  End
		code http2.ErrCode
		want [2][4]StreamOutcome // servers begin with the head, with the last byte; by moment
	}{
		{EndBroken, http2.ErrCodeNo, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndBroken, http2.ErrCodeRefusedStream, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndReset, http2.ErrCodeRefusedStream, [2][4]StreamOutcome{{notProcessed, rejected, rejected, mayBeProcessed}, {notProcessed, rejected, rejected, mayBeProcessed}}},
		{EndReset, http2.ErrCodeNo, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndReset, http2.ErrCodeInternal, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndReset, http2.ErrCodeCancel, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndReset, http2.ErrCodeEnhanceYourCalm, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndGoAway, http2.ErrCodeNo, [2][4]StreamOutcome{{notProcessed, rejected, rejected, mayBeProcessed}, {notProcessed, rejected, rejected, mayBeProcessed}}},
		{EndGoAway, http2.ErrCodeInternal, [2][4]StreamOutcome{{notProcessed, rejected, rejected, mayBeProcessed}, {notProcessed, rejected, rejected, mayBeProcessed}}},
		{EndCancelled, http2.ErrCodeCancel, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndMalformed, http2.ErrCodeProtocol, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
	} {
		for whole, by := range tc.want {
			for m, want := range by {
				if got := OutcomeOf(Moment(m), tc.how, tc.code, whole == 1); got != want {
					t.Errorf("%v, %v, %v, whole %d: %v, not %v", Moment(m), tc.how, tc.code, whole, got, want)
				}
			}
		}
	}
}

// TestMomentOfRequest checks how far a request counts as gone: by bytes that may have been written, and by those that will be.
func TestMomentOfRequest(t *testing.T) {
	one := func(event []Event) *StreamError {
		if len(event) != 1 || event[0].Err == nil {
			t.Fatalf("%+v", event)
		}
		return event[0].Err
	}
	for name, tc := range map[string]struct {
		do   func(peer *peer, id uint32) *StreamError
		want Moment
	}{
		"broken before anything is written": {func(peer *peer, _ uint32) *StreamError { return one(peer.m.Break(io.EOF)) }, MomentUnsent},
		"broken in the first write": {func(peer *peer, _ uint32) *StreamError {
			peer.m.PendingBytes() // handed to a write that has not returned
			return one(peer.m.Break(io.EOF))
		}, MomentStarted},
		"broken after a part": {func(peer *peer, _ uint32) *StreamError {
			peer.m.PendingBytes()
			peer.m.Wrote(12)
			return one(peer.m.Break(io.EOF))
		}, MomentStarted},
		"broken once all the window let go is written": {func(peer *peer, _ uint32) *StreamError { peer.write(); return one(peer.m.Break(io.EOF)) }, MomentStarted},
		"broken after all": {func(peer *peer, id uint32) *StreamError {
			peer.write()
			peer.w.WriteWindowUpdate(id, 1000)
			peer.feed()
			peer.write()
			return one(peer.m.Break(io.EOF))
		}, MomentSent},
		"broken with the last bytes unwritten": {func(peer *peer, id uint32) *StreamError {
			peer.write()
			peer.w.WriteWindowUpdate(id, 1000)
			peer.feed()
			n := len(peer.m.PendingBytes())
			peer.m.Wrote(n - 1) // and no further write begins
			return one(peer.m.Break(io.EOF))
		}, MomentStarted},
		"answered in part": {func(peer *peer, id uint32) *StreamError {
			peer.write()
			peer.head(id, false, ":status: 103")
			peer.w.WriteRSTStream(id, http2.ErrCodeRefusedStream)
			return one(peer.feed())
		}, MomentAnswered},
		"given up while its last bytes wait to be written": {func(peer *peer, id uint32) *StreamError {
			peer.w.WriteWindowUpdate(id, 1000)
			peer.feed()
			event, _ := peer.m.Cancel(id)
			return event.Err
		}, MomentSent},
		"given up while it waits for the window": {func(peer *peer, id uint32) *StreamError { event, _ := peer.m.Cancel(id); return event.Err }, MomentStarted},
	} {
		t.Run(name, func(t *testing.T) {
			peer := greeted(t, Limits{}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 100})
			if event := tc.do(peer, peer.open(strings.Repeat("x", 200))); event.Moment != tc.want {
				t.Errorf("%v, not %v", event.Moment, tc.want)
			}
			if peer.m.Err() != nil {
				if out := string(peer.m.PendingBytes()); strings.Contains(out, "xxx") && peer.m.offered == 0 {
					t.Errorf("it goes on writing: %q", out)
				}
			}
		})
	}
}

// TestGoAwayEndsLaterStreams checks that streams above the last id of a GOAWAY end, that the others go on, and that the id never
// rises.
func TestGoAwayEndsLaterStreams(t *testing.T) {
	peer := greeted(t, Limits{})
	for range 4 { // 1, 3, 5, 7
		peer.open("body")
	}
	peer.write()
	peer.w.WriteGoAway(1<<31-1, 0, nil)
	if event := peer.feed(); len(event) != 0 || peer.m.FreeStreams() != 0 || !peer.m.IsEnding() {
		t.Errorf("after the first: %+v, room %d", event, peer.m.FreeStreams())
	}
	if _, err := peer.m.OpenStream(&Request{Method: "GET"}); !errors.Is(err, ErrNoStream) {
		t.Errorf("%v", err)
	}
	for _, step := range []struct {
		last uint32
		ends []uint32
	}{{5, []uint32{7}}, {1000, nil}, {1, []uint32{3, 5}}} {
		peer.w.WriteGoAway(step.last, http2.ErrCodeNo, []byte("why"))
		got := make(map[uint32]bool)
		for _, event := range peer.feed() {
			got[event.ID] = event.Outcome == Rejected && event.Err.End == EndGoAway
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
	peer.head(1, false, ":status: 200")
	peer.w.WriteData(1, true, []byte("late"))
	if event := peer.feed(); len(event) != 1 || event[0].Answer == nil || string(event[0].Answer.Body) != "late" {
		t.Errorf("the one that was taken: %+v", event)
	}
}

// TestFlowControlWindows checks that a body is sent as far as both windows allow, also where settings lower them below zero, and
// that bodies take turns.
func TestFlowControlWindows(t *testing.T) {
	peer := greeted(t, Limits{}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 100})
	first, second := peer.open(strings.Repeat("a", 150)), peer.open(strings.Repeat("b", 70000))
	check := func(want ...string) {
		t.Helper()
		var data []string
		for _, f := range peer.frames() {
			if strings.HasPrefix(f, "DATA") {
				data = append(data, f)
			}
		}
		if strings.Join(data, ", ") != strings.Join(want, ", ") {
			t.Errorf("%v, not %v", data, want)
		}
	}
	check(fmt.Sprintf("DATA %d 100 false", first), fmt.Sprintf("DATA %d 100 false", second))
	peer.w.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 20}) // both owe 80
	peer.w.WriteWindowUpdate(first, 80)
	peer.feed()
	check()
	peer.w.WriteWindowUpdate(first, 50)
	peer.feed()
	check(fmt.Sprintf("DATA %d 50 true", first))
	peer.w.WriteWindowUpdate(second, 80000) // now the connection's is the less: 65535 - 250
	peer.feed()
	check(fmt.Sprintf("DATA %d 16384 false", second), fmt.Sprintf("DATA %d 16384 false", second), fmt.Sprintf("DATA %d 16384 false", second), fmt.Sprintf("DATA %d 16133 false", second))
	peer.w.WriteWindowUpdate(0, 1<<20)
	peer.feed()
	check(fmt.Sprintf("DATA %d 4615 true", second))
	// The answer to one whose body is not out yet is taken, and the rest not sent.
	third := peer.open(strings.Repeat("c", 100))
	peer.head(third, true, ":status: 200")
	if e := peer.feed(); len(e) != 1 || e[0].Answer == nil {
		t.Errorf("%+v", e)
	}
	if got := strings.Join(peer.frames(), ", "); !strings.Contains(got, fmt.Sprintf("RST %d CANCEL", third)) {
		t.Error(got)
	}
}

// TestLowerStreamLimit checks that a limit below the number of open streams ends none of them and holds from then on.
func TestLowerStreamLimit(t *testing.T) {
	peer := greeted(t, Limits{MaxStreams: 10}, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 3})
	for range 3 {
		peer.open("")
	}
	peer.w.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 1})
	peer.feed()
	for i, id := range []uint32{1, 3, 5} {
		if peer.m.FreeStreams() != 0 || peer.m.OpenStreams() != 3-i {
			t.Errorf("room %d, open %d", peer.m.FreeStreams(), peer.m.OpenStreams())
		}
		peer.head(id, true, ":status: 200")
		peer.feed()
	}
	if peer.m.FreeStreams() != 1 {
		t.Errorf("room %d", peer.m.FreeStreams())
	}
	peer.w.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 0})
	if peer.feed(); peer.m.FreeStreams() != 0 || peer.m.StreamLimit() != 0 {
		t.Errorf("room %d", peer.m.FreeStreams())
	}
}

// TestConnectionWithoutStreamIDsEnds checks that ten thousand streams leave nothing behind, and that the connection takes no more
// once the ids are used up.
func TestConnectionWithoutStreamIDsEnds(t *testing.T) {
	peer := greeted(t, Limits{MaxLifetimeStreams: 10000})
	for i := range 10000 {
		id := peer.open("body")
		peer.head(id, false, ":status: 200", "content-length: 4", "x-n: "+fmt.Sprint(i))
		peer.w.WriteData(id, false, []byte("bo"))
		peer.w.WriteDataPadded(id, false, []byte("dy"), make([]byte, 20))
		peer.head(id, true, "x-backend-load: inflight=1")
		peer.w.WriteWindowUpdate(0, 4)
		e := peer.feed()
		if len(e) != 1 || e[0].Answer == nil || string(e[0].Answer.Body) != "body" || e[0].Answer.Trailer.Get("X-Backend-Load") == "" {
			t.Fatalf("%d: %+v, %v", i, e, peer.m.Err())
		}
		peer.frames()
	}
	if peer.m.FreeStreams() != 0 || !peer.m.IsEnding() || peer.m.OpenStreams() != 0 || len(peer.m.waitingStreams) > 0 || peer.m.output.Cap() > 1<<16 {
		t.Errorf("room %d, open %d, buffer %d", peer.m.FreeStreams(), peer.m.OpenStreams(), peer.m.output.Cap())
	}
}

// TestPingsAndLongHeads checks that pings are sent and answered, and how the head of a request is encoded.
func TestPingsAndLongHeads(t *testing.T) {
	peer := greeted(t, Limits{})
	peer.m.Ping()
	peer.m.Ping() // one is awaited
	if got := peer.frames(); len(got) != 1 || !peer.m.IsAwaitingPing() {
		t.Errorf("%v", got)
	}
	peer.w.WritePing(true, [8]byte{9})
	if peer.feed(); !peer.m.IsAwaitingPing() {
		t.Error("another's answer counts")
	}
	peer.w.WritePing(true, [8]byte{1})
	if peer.feed(); peer.m.IsAwaitingPing() {
		t.Error("the answer does not count")
	}
	peer.open("four")
	peer.write()
	field, err := peer.r.ReadFrame()
	frame, ok := field.(*http2.MetaHeadersFrame)
	if err != nil || !ok {
		t.Fatalf("%v, %v", field, err)
	}
	got := make(map[string]string)
	for _, field := range frame.Fields {
		got[field.Name] = field.Value
	}
	if fmt.Sprint(got) != "map[:authority:a :method:POST :path:/p :scheme:http content-length:4 x-one:1]" {
		t.Error(got)
	}
	small := greeted(t, Limits{}, http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: 50})
	if _, err := small.m.OpenStream(&Request{Method: "GET", Path: "/"}); !errors.Is(err, ErrHeadTooLong) || small.m.OpenStreams() != 0 {
		t.Errorf("%v", err)
	}
}

func TestChooseConnection(t *testing.T) {
	bounds := Bounds{MaxConnections: 2, MaxWaiting: 3, MaxAge: time.Hour}
	view := func(open, room int) View { return View{OpenStreams: open, FreeStreams: room, MaxStreams: open + room} }
	old := func(w View) View { w.Age = 2 * time.Hour; return w }
	ending := View{OpenStreams: 3, MaxStreams: 10, IsEnding: true}
	for name, tc := range map[string]struct {
		conns          []View
		dialing, waits int
		use            int
		wait, dial     bool
		retire         int
	}{
		"none yet":                       {nil, 0, 0, -1, true, true, -1},
		"one is coming":                  {nil, 1, 1, -1, true, false, -1},
		"one with room":                  {[]View{view(3, 1)}, 0, 0, 0, false, false, -1},
		"the emptier of two":             {[]View{view(3, 1), view(2, 1)}, 0, 0, 1, false, false, -1},
		"full: another":                  {[]View{view(4, 0)}, 0, 0, -1, true, true, -1},
		"all full":                       {[]View{view(4, 0), view(4, 0)}, 0, 2, -1, true, false, -1},
		"no place to wait":               {[]View{view(4, 0), view(4, 0)}, 0, 3, -1, false, false, -1},
		"one that ends does not count":   {[]View{ending, view(4, 0)}, 0, 0, -1, true, true, -1},
		"only ones that end":             {[]View{ending, ending}, 0, 0, -1, true, true, -1},
		"the server allows none":         {[]View{view(0, 0)}, 0, 0, -1, false, false, -1},
		"old, and nothing else":          {[]View{old(view(1, 5))}, 0, 0, 0, false, true, -1},
		"old, while the next one comes":  {[]View{old(view(1, 5))}, 1, 0, 0, false, false, -1},
		"old and full":                   {[]View{old(view(5, 0))}, 0, 0, -1, true, true, -1},
		"old, and a young one":           {[]View{old(view(0, 5)), view(3, 1)}, 0, 0, 1, false, false, 0},
		"old, and a young one with none": {[]View{old(view(0, 5)), view(3, 0)}, 0, 0, 0, false, true, -1},
	} {
		want := Choice{tc.use, tc.wait, tc.dial, tc.retire}
		if got := Choose(tc.conns, tc.dialing, tc.waits, bounds); got != want {
			t.Errorf("%s: %+v, not %+v", name, got, want)
		}
	}
}

// FuzzServer has a machine with open streams read anything from its server: it keeps its bounds,
// and each stream ends once.
func FuzzServer(f *testing.F) {
	peer := greeted(f, Limits{})
	peer.head(1, false, ":status: 200", "content-length: 4")
	peer.w.WriteData(1, true, []byte("body"))
	peer.w.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	peer.w.WriteGoAway(3, 0, []byte("why"))
	peer.w.WriteRSTStream(3, http2.ErrCodeRefusedStream)
	f.Add(peer.in.Bytes())
	f.Fuzz(func(t *testing.T, raw []byte) {
		peer := greeted(t, Limits{MaxBodyBytes: 1000, MaxHeadBytes: 1000, MaxStreams: 5})
		open := make(map[uint32]bool)
		for range 3 {
			open[peer.open(strings.Repeat("x", 70000))] = true
		}
		peer.in.Write(raw)
		events := peer.feed()
		if peer.in.Len() == 0 {
			events = append(events, peer.m.Break(io.EOF)...)
		}
		for _, event := range events {
			if !open[event.ID] || (event.Answer == nil) == (event.Err == nil) || event.Answer != nil && len(event.Answer.Body) > 1000 {
				t.Errorf("%+v", event)
			}
			delete(open, event.ID)
		}
		if peer.m.Err() != nil && (peer.m.OpenStreams() > 0 || len(open) > 0) {
			t.Errorf("%d streams without an end", len(open))
		}
		if peer.m.output.Cap() > 3*maxOutputBytes {
			t.Errorf("%d bytes are held", peer.m.output.Cap())
		}
	})
}
