package h2

import (
	"fmt"
	"strings"
	"testing"

	"golang.org/x/net/http2"
)

func goAway(c http2.ErrCode) string { return fmt.Sprintf("GOAWAY %v", c) }

func reset(c http2.ErrCode) string { return fmt.Sprintf("RST 1 %v", c) }

// serverFaults lists protocol violations of a server and some permitted edge cases, by the section of RFC 9113 that covers
// them, and how the machine has to react: it ends the connection (GOAWAY) or only the stream (RST) with an error code.
var serverFaults = []struct {
	section, name string
	send          func(p *peer)
	want          string // empty if the machine must accept it
}{
	{"3.4", "a frame before the settings", func(p *peer) { p.machine.hasSettings = false; p.frameWriter.WritePing(false, [8]byte{}) }, goAway(http2.ErrCodeProtocol)},
	{"3.4", "a settings ack before the settings", func(p *peer) { p.machine.hasSettings = false; p.frameWriter.WriteSettingsAck() }, goAway(http2.ErrCodeProtocol)},
	{"4.2", "a frame above the size limit", func(p *peer) {
		p.machineInput.SetMaxReadFrameSize(100)
		p.frameWriter.WriteData(1, false, make([]byte, 101))
	}, goAway(http2.ErrCodeFrameSize)},
	{"4.3", "a block that can't be decoded", func(p *peer) {
		p.frameWriter.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, EndHeaders: true})
	}, goAway(http2.ErrCodeCompression)},
	{"5.1", "data on an idle stream", func(p *peer) { p.frameWriter.WriteData(9, true, nil) }, goAway(http2.ErrCodeProtocol)},
	{"5.1", "a head on an idle stream", func(p *peer) { p.writeHead(9, true, ":status: 200") }, goAway(http2.ErrCodeProtocol)},
	{"5.1", "a reset of an idle stream", func(p *peer) { p.frameWriter.WriteRSTStream(9, 0) }, goAway(http2.ErrCodeProtocol)},
	{"5.1", "a window update on an idle stream", func(p *peer) { p.frameWriter.WriteWindowUpdate(9, 1) }, goAway(http2.ErrCodeProtocol)},
	{"5.1.1", "a stream opened by the server", func(p *peer) { p.writeHead(2, true, ":status: 200") }, goAway(http2.ErrCodeProtocol)},
	{"5.5", "an unknown frame", func(p *peer) { p.frameWriter.WriteRawFrame(0xbe, 0, 1, []byte("x")) }, ""},
	{"6.1", "data on stream 0", func(p *peer) { p.frameWriter.WriteData(0, false, []byte("x")) }, goAway(http2.ErrCodeProtocol)},
	{"6.1", "padding beyond the frame", func(p *peer) { p.frameWriter.WriteRawFrame(http2.FrameData, http2.FlagDataPadded, 1, []byte{9, 1}) }, goAway(http2.ErrCodeProtocol)},
	{"6.2", "a head on stream 0", func(p *peer) { p.writeHead(0, true, ":status: 200") }, goAway(http2.ErrCodeProtocol)},
	{"6.3", "a priority", func(p *peer) { p.frameWriter.WritePriority(1, http2.PriorityParam{StreamDep: 3, Weight: 2}) }, ""},
	{"6.4", "a reset of stream 0", func(p *peer) { p.frameWriter.WriteRawFrame(http2.FrameRSTStream, 0, 0, make([]byte, 4)) }, goAway(http2.ErrCodeProtocol)},
	{"6.4", "a reset of the wrong length", func(p *peer) { p.frameWriter.WriteRawFrame(http2.FrameRSTStream, 0, 1, make([]byte, 3)) }, goAway(http2.ErrCodeFrameSize)},
	{"6.5", "settings on a stream", func(p *peer) { p.frameWriter.WriteRawFrame(http2.FrameSettings, 0, 1, nil) }, goAway(http2.ErrCodeProtocol)},
	{"6.5", "settings of the wrong length", func(p *peer) { p.frameWriter.WriteRawFrame(http2.FrameSettings, 0, 0, make([]byte, 5)) }, goAway(http2.ErrCodeFrameSize)},
	{"6.5", "an ack with settings", func(p *peer) {
		p.frameWriter.WriteRawFrame(http2.FrameSettings, http2.FlagSettingsAck, 0, make([]byte, 6))
	}, goAway(http2.ErrCodeFrameSize)},
	{"6.5.2", "push enabled", func(p *peer) { p.frameWriter.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 1}) }, goAway(http2.ErrCodeProtocol)},
	{"6.5.2", "an invalid initial window", func(p *peer) {
		p.frameWriter.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 31})
	}, goAway(http2.ErrCodeFlowControl)},
	{"6.5.2", "an invalid maximum frame size", func(p *peer) { p.frameWriter.WriteSettings(http2.Setting{ID: http2.SettingMaxFrameSize, Val: 100}) }, goAway(http2.ErrCodeProtocol)},
	{"6.5.2", "an unknown setting", func(p *peer) { p.frameWriter.WriteSettings(http2.Setting{ID: 0x99, Val: 1}) }, ""},
	{"6.6", "a push", func(p *peer) {
		p.frameWriter.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, BlockFragment: []byte{0x82}, EndHeaders: true})
	}, goAway(http2.ErrCodeProtocol)},
	{"6.7", "a ping on a stream", func(p *peer) { p.frameWriter.WriteRawFrame(http2.FramePing, 0, 1, make([]byte, 8)) }, goAway(http2.ErrCodeProtocol)},
	{"6.7", "a ping of the wrong length", func(p *peer) { p.frameWriter.WriteRawFrame(http2.FramePing, 0, 0, make([]byte, 7)) }, goAway(http2.ErrCodeFrameSize)},
	{"6.8", "goaway on a stream", func(p *peer) { p.frameWriter.WriteRawFrame(http2.FrameGoAway, 0, 1, make([]byte, 8)) }, goAway(http2.ErrCodeProtocol)},
	{"6.9", "a window update of 0", func(p *peer) { p.frameWriter.WriteRawFrame(http2.FrameWindowUpdate, 0, 0, make([]byte, 4)) }, goAway(http2.ErrCodeProtocol)},
	{"6.9", "a stream's window update of 0", func(p *peer) { p.frameWriter.WriteRawFrame(http2.FrameWindowUpdate, 0, 1, make([]byte, 4)) }, reset(http2.ErrCodeProtocol)},
	{"6.9.1", "a window beyond 2^31-1", func(p *peer) { p.frameWriter.WriteWindowUpdate(0, maxWindow) }, goAway(http2.ErrCodeFlowControl)},
	{"6.9.1", "a stream's window beyond 2^31-1", func(p *peer) { p.frameWriter.WriteWindowUpdate(1, maxWindow) }, reset(http2.ErrCodeFlowControl)},
	{"6.9.2", "settings that take a window beyond 2^31-1", func(p *peer) {
		p.frameWriter.WriteWindowUpdate(1, maxWindow-defaultWindow)
		p.frameWriter.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: defaultWindow + 1})
	}, goAway(http2.ErrCodeFlowControl)},
	{"6.9", "more than the stream's window", func(p *peer) {
		p.writeHead(1, false, ":status: 200")
		for range 9 {
			p.frameWriter.WriteData(1, false, make([]byte, 8<<10))
		}
	}, reset(http2.ErrCodeFlowControl)},
	{"6.10", "a continuation without headers", func(p *peer) { p.frameWriter.WriteContinuation(1, true, nil) }, goAway(http2.ErrCodeProtocol)},
	{"6.10", "a frame inside a header block", func(p *peer) {
		p.frameWriter.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
		p.frameWriter.WritePing(false, [8]byte{})
	}, goAway(http2.ErrCodeProtocol)},
	{"8.1", "data before a head", func(p *peer) { p.frameWriter.WriteData(1, true, []byte("x")) }, reset(http2.ErrCodeProtocol)},
	{"8.1", "a second head", func(p *peer) { p.writeHead(1, false, ":status: 200"); p.writeHead(1, false, "x: y") }, reset(http2.ErrCodeProtocol)},
	{"8.1", "trailers with :status", func(p *peer) { p.writeHead(1, false, ":status: 200"); p.writeHead(1, true, ":status: 200") }, reset(http2.ErrCodeProtocol)},
	{"8.1", "1xx that ends the stream", func(p *peer) { p.writeHead(1, true, ":status: 103") }, reset(http2.ErrCodeProtocol)},
	{"8.1.1", "more than Content-Length", func(p *peer) {
		p.writeHead(1, false, ":status: 200", "content-length: 2")
		p.frameWriter.WriteData(1, true, []byte("abc"))
	}, reset(http2.ErrCodeProtocol)},
	{"8.1.1", "less than Content-Length", func(p *peer) {
		p.writeHead(1, false, ":status: 200", "content-length: 2")
		p.frameWriter.WriteData(1, true, []byte("a"))
	}, reset(http2.ErrCodeProtocol)},
	{"8.1.1", "two Content-Length fields", func(p *peer) { p.writeHead(1, false, ":status: 200", "content-length: 2", "content-length: 2") }, reset(http2.ErrCodeProtocol)},
	{"8.1.1", "an invalid Content-Length", func(p *peer) { p.writeHead(1, false, ":status: 200", "content-length: -2") }, reset(http2.ErrCodeProtocol)},
	{"8.2.1", "a field in upper case", func(p *peer) { p.writeHead(1, true, ":status: 200", "X-Upper: y") }, reset(http2.ErrCodeProtocol)},
	{"8.2.1", "a field with a line break", func(p *peer) { p.writeHead(1, true, ":status: 200", "x: a\r\nb") }, reset(http2.ErrCodeProtocol)},
	{"8.2.2", "connection", func(p *peer) { p.writeHead(1, true, ":status: 200", "connection: close") }, reset(http2.ErrCodeProtocol)},
	{"8.2.2", "transfer-encoding", func(p *peer) { p.writeHead(1, true, ":status: 200", "transfer-encoding: chunked") }, reset(http2.ErrCodeProtocol)},
	{"8.3", "a pseudo-field after other fields", func(p *peer) { p.writeHead(1, true, "x: y", ":status: 200") }, reset(http2.ErrCodeProtocol)},
	{"8.3", "an unknown pseudo-field", func(p *peer) { p.writeHead(1, true, ":status: 200", ":odd: y") }, reset(http2.ErrCodeProtocol)},
	{"8.3", "a request's pseudo-field", func(p *peer) { p.writeHead(1, true, ":path: /", ":status: 200") }, reset(http2.ErrCodeProtocol)},
	{"8.3.2", "no status", func(p *peer) { p.writeHead(1, true, "x: y") }, reset(http2.ErrCodeProtocol)},
	{"8.3.2", "two statuses", func(p *peer) { p.writeHead(1, true, ":status: 200", ":status: 200") }, reset(http2.ErrCodeProtocol)},
	{"8.3.2", "a status of two digits", func(p *peer) { p.writeHead(1, true, ":status: 20") }, reset(http2.ErrCodeProtocol)},
	{"8.6", "101", func(p *peer) { p.writeHead(1, false, ":status: 101") }, reset(http2.ErrCodeProtocol)},
	{"10.5", "a head that is too long", func(p *peer) {
		p.writeHead(1, true, ":status: 200", "x: "+strings.Repeat("y", 2000), "z: "+strings.Repeat("y", 2000))
	}, reset(http2.ErrCodeProtocol)},
	{"10.5", "interim answers without an end", func(p *peer) {
		for range maxInterimAnswers + 1 {
			p.writeHead(1, false, ":status: 103")
		}
	}, reset(http2.ErrCodeProtocol)},
	{"10.5", "a flood of pings", func(p *peer) {
		for range maxOverheadFrames + 1 {
			p.frameWriter.WritePing(false, [8]byte{})
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a flood of settings", func(p *peer) {
		for range maxOverheadFrames + 1 {
			p.frameWriter.WriteSettings()
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a flood of empty data", func(p *peer) {
		p.writeHead(1, false, ":status: 200")
		for range maxOverheadFrames + 1 {
			p.frameWriter.WriteData(1, false, nil)
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a flood of resets", func(p *peer) {
		for range maxOverheadFrames + 1 {
			p.frameWriter.WriteRSTStream(1, 0)
		}
	}, goAway(http2.ErrCodeEnhanceYourCalm)},
	{"10.5", "a body without an end", func(p *peer) {
		p.writeHead(1, false, ":status: 200")
		for range 20 {
			p.frameWriter.WriteData(1, false, make([]byte, 4<<10))
		}
	}, reset(http2.ErrCodeFlowControl)},
	{"10.5", "a Content-Length above the limit", func(p *peer) { p.writeHead(1, false, ":status: 200", "content-length: 3000000000") }, reset(http2.ErrCodeCancel)},
}

// TestServerFaults checks that a protocol violation ends the stream or the connection as required, and nothing else.
func TestServerFaults(t *testing.T) {
	for _, tc := range serverFaults {
		t.Run(tc.section+" "+tc.name, func(t *testing.T) {
			peer := newReadyPeer(t, Limits{MaxHeadBytes: 3000, MaxBodyBytes: 60 << 10})
			peer.open("")
			peer.frames()
			tc.send(peer)
			peer.processInput()
			frames := peer.frames()
			ends := frames[:0]
			for _, f := range frames {
				if strings.HasPrefix(f, "RST") || strings.HasPrefix(f, "GOAWAY") {
					ends = append(ends, f)
				}
			}
			if got := strings.Join(ends, ", "); got != tc.want {
				t.Errorf("ended with %q, want %q (connection error %v)", got, tc.want, peer.machine.Err())
			}
			switch {
			case strings.HasPrefix(tc.want, "GOAWAY"):
				if peer.machine.Err() == nil || peer.machine.FreeStreams() != 0 || peer.machine.OpenStreams() != 0 {
					t.Errorf("the connection has not ended: error %v, %d open streams", peer.machine.Err(), peer.machine.OpenStreams())
				}
			case tc.want != "": // the connection and its other streams continue
				if len(peer.events) != 1 || peer.events[0].Err == nil || peer.events[0].Outcome != MayBeProcessed || peer.machine.Err() != nil {
					t.Fatalf("events %+v, connection error %v; want one failed stream", peer.events, peer.machine.Err())
				}
				fallthrough
			default:
				id := peer.open("")
				peer.writeHead(id, true, ":status: 204")
				if e := peer.processInput(); peer.machine.Err() != nil || len(e) == 0 || e[len(e)-1].Answer == nil {
					t.Errorf("the next request: events %+v, connection error %v; want an answer", e, peer.machine.Err())
				}
			}
		})
	}
}

// Guards against heads of short fields, which take many times the memory of their bytes: the stream is reset, and the
// connection and its other streams continue.
func TestHeadOfManyFieldsResetsStream(t *testing.T) {
	for _, count := range []int{maxHeadFields, maxHeadFields + 1} {
		peer := newReadyPeer(t, Limits{})
		peer.open("")
		peer.frames()
		head := []string{":status: 200"}
		for i := range count - 1 {
			head = append(head, fmt.Sprintf("f%d: v", i))
		}
		peer.writeHead(1, false, head...)
		peer.processInput()
		isReset := strings.Contains(strings.Join(peer.frames(), " "), reset(http2.ErrCodeProtocol))
		if want := count > maxHeadFields; isReset != want || peer.machine.Err() != nil {
			t.Errorf("%d fields: reset %v, want %v; connection error %v", count, isReset, want, peer.machine.Err())
		}
	}
}
