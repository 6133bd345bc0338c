package h2

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"golang.org/x/net/http2"
)

// TestGoAwayEndsLaterStreams checks that streams above the last stream id of a GOAWAY end, that the others continue, and that a
// later GOAWAY can't raise the id.
func TestGoAwayEndsLaterStreams(t *testing.T) {
	peer := newReadyPeer(t, Limits{})
	for range 4 { // stream ids 1, 3, 5, 7
		peer.open("body")
	}
	peer.flushOutput()
	peer.frameWriter.WriteGoAway(1<<31-1, 0, nil)
	if event := peer.processInput(); len(event) != 0 || peer.machine.FreeStreams() != 0 || !peer.machine.IsEnding() {
		t.Errorf("after the first GOAWAY: events %+v, %d free streams; want none, and an ending connection", event, peer.machine.FreeStreams())
	}
	if _, err := peer.machine.OpenStream(&Request{Method: "GET"}); !errors.Is(err, ErrNoStream) {
		t.Errorf("opening a stream after GOAWAY: error %v, want ErrNoStream", err)
	}
	for _, step := range []struct {
		last uint32
		ends []uint32
	}{{5, []uint32{7}}, {1000, nil}, {1, []uint32{3, 5}}} {
		peer.frameWriter.WriteGoAway(step.last, http2.ErrCodeNo, []byte("why"))
		got := make(map[uint32]bool)
		for _, event := range peer.processInput() {
			got[event.ID] = event.Outcome == Rejected && event.Err.End == EndGoAway
		}
		if len(got) != len(step.ends) {
			t.Errorf("last id %d: unexpected set of ended streams %v", step.last, got)
		}
		for _, id := range step.ends {
			if !got[id] {
				t.Errorf("last id %d: stream %d was not reported as rejected by GOAWAY", step.last, id)
			}
		}
	}
	peer.writeHead(1, false, ":status: 200")
	peer.frameWriter.WriteData(1, true, []byte("late"))
	if event := peer.processInput(); len(event) != 1 || event[0].Answer == nil || string(event[0].Answer.Body) != "late" {
		t.Errorf("the accepted stream: events %+v, want an answer with body \"late\"", event)
	}
}

// TestFlowControlWindows checks that both the stream's and the connection's window limit a body, also after settings have made
// a window negative, and that several bodies are sent in turn.
func TestFlowControlWindows(t *testing.T) {
	peer := newReadyPeer(t, Limits{}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 100})
	first, second := peer.open(strings.Repeat("a", 150)), peer.open(strings.Repeat("b", 70000))
	checkData := func(want ...string) {
		t.Helper()
		var data []string
		for _, f := range peer.frames() {
			if strings.HasPrefix(f, "DATA") {
				data = append(data, f)
			}
		}
		if strings.Join(data, ", ") != strings.Join(want, ", ") {
			t.Errorf("sent %v, want %v", data, want)
		}
	}
	checkData(fmt.Sprintf("DATA %d 100 false", first), fmt.Sprintf("DATA %d 100 false", second))
	peer.frameWriter.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 20}) // both windows are now -80
	peer.frameWriter.WriteWindowUpdate(first, 80)
	peer.processInput()
	checkData()
	peer.frameWriter.WriteWindowUpdate(first, 50)
	peer.processInput()
	checkData(fmt.Sprintf("DATA %d 50 true", first))
	peer.frameWriter.WriteWindowUpdate(second, 80000) // the connection's window is now the smaller one: 65535 - 250
	peer.processInput()
	checkData(fmt.Sprintf("DATA %d 16384 false", second), fmt.Sprintf("DATA %d 16384 false", second), fmt.Sprintf("DATA %d 16384 false", second), fmt.Sprintf("DATA %d 16133 false", second))
	peer.frameWriter.WriteWindowUpdate(0, 1<<20)
	peer.processInput()
	checkData(fmt.Sprintf("DATA %d 4615 true", second))
	// An answer that arrives before the request's body is sent is accepted; the rest of the body is not sent.
	third := peer.open(strings.Repeat("c", 100))
	peer.writeHead(third, true, ":status: 200")
	if e := peer.processInput(); len(e) != 1 || e[0].Answer == nil {
		t.Errorf("events %+v, want one answer", e)
	}
	if got := strings.Join(peer.frames(), ", "); !strings.Contains(got, fmt.Sprintf("RST %d CANCEL", third)) {
		t.Error(got)
	}
}

// TestLowerStreamLimit checks that a stream limit below the number of open streams ends none of them and applies to new ones.
func TestLowerStreamLimit(t *testing.T) {
	peer := newReadyPeer(t, Limits{MaxStreams: 10}, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 3})
	for range 3 {
		peer.open("")
	}
	peer.frameWriter.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 1})
	peer.processInput()
	for i, id := range []uint32{1, 3, 5} {
		if peer.machine.FreeStreams() != 0 || peer.machine.OpenStreams() != 3-i {
			t.Errorf("%d free and %d open streams", peer.machine.FreeStreams(), peer.machine.OpenStreams())
		}
		peer.writeHead(id, true, ":status: 200")
		peer.processInput()
	}
	if peer.machine.FreeStreams() != 1 {
		t.Errorf("%d free streams, want 1", peer.machine.FreeStreams())
	}
	peer.frameWriter.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 0})
	if peer.processInput(); peer.machine.FreeStreams() != 0 || peer.machine.StreamLimit() != 0 {
		t.Errorf("%d free streams, want 0 with a limit of 0", peer.machine.FreeStreams())
	}
}

// TestConnectionWithoutStreamIDsEnds checks that ten thousand streams leave no state and no large buffer in the machine, and that
// the connection accepts no more streams once the stream ids are used up.
func TestConnectionWithoutStreamIDsEnds(t *testing.T) {
	peer := newReadyPeer(t, Limits{MaxLifetimeStreams: 10000})
	for i := range 10000 {
		id := peer.open("body")
		peer.writeHead(id, false, ":status: 200", "content-length: 4", "x-n: "+fmt.Sprint(i))
		peer.frameWriter.WriteData(id, false, []byte("bo"))
		peer.frameWriter.WriteDataPadded(id, false, []byte("dy"), make([]byte, 20))
		peer.writeHead(id, true, "x-backend-load: inflight=1")
		peer.frameWriter.WriteWindowUpdate(0, 4)
		e := peer.processInput()
		if len(e) != 1 || e[0].Answer == nil || string(e[0].Answer.Body) != "body" || e[0].Answer.Trailer.Get("X-Backend-Load") == "" {
			t.Fatalf("request %d: events %+v, connection error %v", i, e, peer.machine.Err())
		}
		peer.frames()
	}
	if peer.machine.FreeStreams() != 0 || !peer.machine.IsEnding() || peer.machine.OpenStreams() != 0 || len(peer.machine.waitingStreams) > 0 || peer.machine.output.Cap() > 1<<16 {
		t.Errorf("%d free and %d open streams, output buffer of %d bytes", peer.machine.FreeStreams(), peer.machine.OpenStreams(), peer.machine.output.Cap())
	}
}

// TestPingsAndLongHeads checks that one ping at a time is sent and matched with its acknowledgement, how the head of a request
// is encoded, and that a head above the server's limit is not sent.
func TestPingsAndLongHeads(t *testing.T) {
	peer := newReadyPeer(t, Limits{})
	peer.machine.Ping()
	peer.machine.Ping() // sends nothing: the first ping is not acknowledged yet
	if got := peer.frames(); len(got) != 1 || !peer.machine.IsAwaitingPing() {
		t.Errorf("wrote %v, want one ping", got)
	}
	peer.frameWriter.WritePing(true, [8]byte{9})
	if peer.processInput(); !peer.machine.IsAwaitingPing() {
		t.Error("the acknowledgement of another ping was accepted")
	}
	peer.frameWriter.WritePing(true, [8]byte{1})
	if peer.processInput(); peer.machine.IsAwaitingPing() {
		t.Error("the acknowledgement of the ping was not accepted")
	}
	peer.open("four")
	peer.flushOutput()
	field, err := peer.outputReader.ReadFrame()
	frame, ok := field.(*http2.MetaHeadersFrame)
	if err != nil || !ok {
		t.Fatalf("read frame %v, error %v; want HEADERS", field, err)
	}
	got := make(map[string]string)
	for _, field := range frame.Fields {
		got[field.Name] = field.Value
	}
	if fmt.Sprint(got) != "map[:authority:a :method:POST :path:/p :scheme:http content-length:4 x-one:1]" {
		t.Error(got)
	}
	small := newReadyPeer(t, Limits{}, http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: 50})
	if _, err := small.machine.OpenStream(&Request{Method: "GET", Path: "/"}); !errors.Is(err, ErrHeadTooLong) || small.machine.OpenStreams() != 0 {
		t.Errorf("error %v, want ErrHeadTooLong and no open stream", err)
	}
}

// FuzzServer checks that a machine with open streams keeps its memory limits and ends each stream exactly once, whatever
// bytes the server sends.
func FuzzServer(f *testing.F) {
	peer := newReadyPeer(f, Limits{})
	peer.writeHead(1, false, ":status: 200", "content-length: 4")
	peer.frameWriter.WriteData(1, true, []byte("body"))
	peer.frameWriter.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	peer.frameWriter.WriteGoAway(3, 0, []byte("why"))
	peer.frameWriter.WriteRSTStream(3, http2.ErrCodeRefusedStream)
	f.Add(peer.input.Bytes())
	f.Fuzz(func(t *testing.T, raw []byte) {
		peer := newReadyPeer(t, Limits{MaxBodyBytes: 1000, MaxHeadBytes: 1000, MaxStreams: 5})
		open := make(map[uint32]bool)
		for range 3 {
			open[peer.open(strings.Repeat("x", 70000))] = true
		}
		peer.input.Write(raw)
		events := peer.processInput()
		if peer.input.Len() == 0 {
			events = append(events, peer.machine.Abort(io.EOF)...)
		}
		for _, event := range events {
			if !open[event.ID] || (event.Answer == nil) == (event.Err == nil) || event.Answer != nil && len(event.Answer.Body) > 1000 {
				t.Errorf("invalid event %+v", event)
			}
			delete(open, event.ID)
		}
		if peer.machine.Err() != nil && (peer.machine.OpenStreams() > 0 || len(open) > 0) {
			t.Errorf("%d streams have not ended with the connection", len(open))
		}
		if peer.machine.output.Cap() > 3*maxOutputBytes {
			t.Errorf("output buffer of %d bytes", peer.machine.output.Cap())
		}
	})
}
