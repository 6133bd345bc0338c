package h2

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"
)

const (
	writeDeadlineDraws = 10_000
	maxSlowBodyBytes   = 3000
)

// slowReader is a server that reads and gives windows at random times, and records when it had requests completely. It
// stands for a group of servers that remember a key until the write deadline of the request that repeats it, so that it
// runs a repeat that it has completely only later.
type slowReader struct {
	rng       *rand.Rand
	startedAt time.Time
	complete  map[uint32]time.Duration // when a request's last byte had come

	goroutines sync.WaitGroup
}

// read reads frames until the connection ends.
func (s *slowReader) read(framer *http2.Framer) {
	for {
		if s.rng.IntN(3) == 0 {
			time.Sleep(time.Duration(s.rng.IntN(400)) * time.Millisecond)
		}
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.DataFrame:
			if frame.StreamEnded() {
				s.complete[frame.StreamID] = time.Since(s.startedAt)
			}
		case *http2.HeadersFrame:
			if frame.StreamEnded() {
				s.complete[frame.StreamID] = time.Since(s.startedAt)
			}
		}
	}
}

// giveWindows gives the connection and its streams windows at random times, sometimes at a deadline, and sometimes
// changes the window of new streams.
func (s *slowReader) giveWindows(framer *http2.Framer, deadlines []time.Duration, rng *rand.Rand) {
	for range 4 + rng.IntN(20) {
		wait := time.Duration(1+rng.IntN(250)) * time.Millisecond // streams are opened at the start
		if at := deadlines[rng.IntN(len(deadlines))] - time.Since(s.startedAt); rng.IntN(3) == 0 && at > 0 {
			wait = at
		}
		time.Sleep(wait)
		var err error
		switch id := uint32(2*rng.IntN(len(deadlines)) + 1); rng.IntN(5) {
		case 0:
			err = framer.WriteWindowUpdate(0, uint32(1+rng.IntN(maxSlowBodyBytes)))
		case 1:
			err = framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(rng.IntN(maxSlowBodyBytes))})
		default:
			err = framer.WriteWindowUpdate(id, uint32(1+rng.IntN(maxSlowBodyBytes)))
		}
		if err != nil {
			return
		}
	}
}

// startSlowReader starts a connection to the server.
func startSlowReader(t *testing.T, s *slowReader, deadlines []time.Duration, window uint32) *Conn {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	windowSeed := s.rng.Uint64()
	s.goroutines.Go(func() {
		writer := http2.NewFramer(serverConn, nil)
		writer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: window})
		s.giveWindows(writer, deadlines, rand.New(rand.NewPCG(windowSeed, 1)))
	})
	s.goroutines.Go(func() {
		io.ReadFull(serverConn, make([]byte, len(preface)))
		s.read(http2.NewFramer(nil, serverConn))
		serverConn.Close()
	})
	conn, err := Start(t.Context(), clientConn, Options{Limits: Limits{StartsAtLastByte: true}})
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestRequestIsNotCompletedAfterWriteDeadline checks that no byte that completes a request is written after the request's
// write deadline, whatever windows the server gives and whenever it reads: such a repeat would run a second time. An
// attempt that ended unsent or that can't have run was never completed.
func TestRequestIsNotCompletedAfterWriteDeadline(t *testing.T) {
	completed, cancelled := 0, 0
	for seed := range uint64(writeDeadlineDraws) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			deadlines := make([]time.Duration, 1+rng.IntN(3))
			for i := range deadlines {
				deadlines[i] = time.Duration(1+rng.IntN(1500)) * time.Millisecond
			}
			s := &slowReader{rng: rand.New(rand.NewPCG(seed, 2)), startedAt: time.Now(), complete: make(map[uint32]time.Duration)}
			conn := startSlowReader(t, s, deadlines, uint32(rng.IntN(maxSlowBodyBytes)))
			defer conn.Close()
			ended := make(chan Event, len(deadlines))
			withDeadline := make(map[uint32]time.Duration)
			for i, deadline := range deadlines {
				body := bytes.Repeat([]byte("b"), rng.IntN(maxSlowBodyBytes))
				isStreamed := rng.IntN(2) == 0
				request := &Request{Method: "POST", Scheme: "http", Authority: "a", Path: "/", Body: body, WriteDeadline: s.startedAt.Add(deadline)}
				id := uint32(2*i + 1)
				withDeadline[id] = deadline
				if !isStreamed {
					receiver := make(endReceiver, 1)
					if _, _, err := conn.open(request, receiver); err != nil {
						t.Fatal(err)
					}
					go func() { ended <- <-receiver }()
					continue
				}
				request.HasMoreBody, request.ContentLength, request.Body = true, -1, nil
				stream, err := conn.Open(request, 1000, nil)
				if err != nil {
					t.Fatal(err)
				}
				pause := time.Duration(rng.IntN(800)) * time.Millisecond
				go func() {
					stream.Write(body)
					time.Sleep(pause)
					stream.CloseWrite(nil)
				}()
				go func() { <-stream.Done(); ended <- *stream.Result() }()
			}
			time.Sleep(2 * time.Second)
			conn.Close()
			s.goroutines.Wait()
			for range withDeadline {
				event := <-ended
				at, isComplete := s.complete[event.ID]
				switch {
				case isComplete && at > withDeadline[event.ID]:
					t.Errorf("seed %d: stream %d was complete after %v, its write deadline was at %v", seed, event.ID, at, withDeadline[event.ID])
				case isComplete && event.Outcome != MayBeProcessed:
					t.Errorf("seed %d: stream %d was complete after %v, and ended as %v", seed, event.ID, at, event.Outcome)
				case isComplete:
					completed++
				case event.Err != nil && event.Err.End == EndCancelled:
					cancelled++
				}
			}
		})
		if t.Failed() {
			return
		}
	}
	if completed < writeDeadlineDraws/4 || cancelled < writeDeadlineDraws/4 {
		t.Errorf("%d requests completed and %d cancelled in %d draws: too few for a test", completed, cancelled, writeDeadlineDraws)
	}
}

// TestWriteDeadlineEndsOnlyItsStream checks that a request that waits for its window is reset at its write deadline, and
// that the connection's other requests go on.
func TestWriteDeadlineEndsOnlyItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := make(chan struct{})
		conn := startWithFakeServer(t, Options{Limits: Limits{StartsAtLastByte: true}}, func(serverConn net.Conn, framer *http2.Framer) {
			go func() { io.Copy(io.Discard, serverConn); serverConn.Close() }()
			<-answer
			framer.WriteWindowUpdate(1, 1<<16)
			framer.WriteWindowUpdate(0, 1<<16)
			framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: []byte{0x88}, EndStream: true, EndHeaders: true})
		})
		events := make(chan Event, 2)
		long := &Request{
			Method: "POST", Scheme: "http", Authority: "a", Path: "/", Body: []byte(strings.Repeat("b", defaultWindow+1)),
			WriteDeadline: time.Now().Add(time.Second),
		}
		short := &Request{Method: "GET", Scheme: "http", Authority: "a", Path: "/", WriteDeadline: time.Now().Add(time.Second)}
		startedAt := time.Now()
		for _, request := range []*Request{long, short} {
			go func() {
				event, _ := conn.Do(t.Context(), request)
				events <- event
			}()
			synctest.Wait()
		}
		event := <-events
		if elapsed := time.Since(startedAt); event.ID != 1 || event.Err == nil || event.Err.End != EndCancelled || event.Outcome != NotProcessed || elapsed != time.Second {
			t.Errorf("event %+v after %v, want a cancelled stream that was not processed after 1s", event, elapsed)
		}
		close(answer)
		if event := <-events; event.ID != 3 || event.Answer == nil {
			t.Errorf("event %+v, want the answer to the other request", event)
		}
		conn.Retire()
		<-conn.Done()
	})
}
