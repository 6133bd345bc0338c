package h2

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"
)

// startWithFakeServer starts a connection to a fake server, which completes the handshake and then runs serve.
func startWithFakeServer(t *testing.T, options Options, serve func(serverConn net.Conn, framer *http2.Framer)) *Conn {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	go func() {
		framer := http2.NewFramer(serverConn, serverConn)
		io.ReadFull(serverConn, make([]byte, len(preface)))
		go http2.NewFramer(serverConn, nil).WriteSettings() // in a goroutine, since the client writes its preface and settings at the same time
		for range 3 {                                       // the client's SETTINGS, WINDOW_UPDATE and SETTINGS acknowledgement
			framer.ReadFrame()
		}
		serve(serverConn, framer)
	}()
	conn, err := Start(t.Context(), clientConn, options)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

var getRequest = &Request{Method: "GET", Scheme: "http", Authority: "a", Path: "/"}

// TestConnectionToSilentServerEnds checks that a connection ends if its server stops responding and does not answer a ping,
// and that a connection whose server answers pings is kept, however long the answer to a request takes.
func TestConnectionToSilentServerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		conn := startWithFakeServer(t, Options{PingAfterSilence: 5 * time.Second}, func(serverConn net.Conn, _ *http2.Framer) { io.Copy(io.Discard, serverConn); serverConn.Close() })
		event, err := conn.Do(t.Context(), getRequest)
		if elapsed := time.Since(startedAt); err != nil || event.Err == nil || event.Err.End != EndBroken || event.Outcome != MayBeProcessed || elapsed != 10*time.Second {
			t.Errorf("event %+v, error %v after %v; want a broken stream that may be processed after 10s", event, err, elapsed)
		}
		<-conn.Done()

		conn = startWithFakeServer(t, Options{PingAfterSilence: 5 * time.Second}, func(serverConn net.Conn, framer *http2.Framer) {
			for {
				frame, err := framer.ReadFrame()
				if err != nil {
					serverConn.Close()
					return
				}
				if p, ok := frame.(*http2.PingFrame); ok {
					framer.WritePing(true, p.Data)
				}
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if event, err := conn.Do(ctx, getRequest); err != nil || event.Err == nil || event.Err.End != EndCancelled {
			t.Errorf("event %+v, error %v; want a cancelled stream", event, err)
		}
		conn.Close()
	})
}

// TestCancelTimesOutWhenServerReadsNothing checks that a server that reads nothing delays the end of a cancelled request by
// cancelTimeout at most, and that the connection then ends.
func TestCancelTimesOutWhenServerReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := make(chan struct{})
		conn := startWithFakeServer(t, Options{}, func(serverConn net.Conn, _ *http2.Framer) { <-stop; serverConn.Close() })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		startedAt := time.Now()
		event, err := conn.Do(ctx, getRequest)
		if elapsed := time.Since(startedAt); err != nil || event.Err == nil || event.Outcome != MayBeProcessed || elapsed != time.Second+cancelTimeout {
			t.Errorf("event %+v, error %v after %v; want a stream that may be processed, after the deadline and cancelTimeout", event, err, elapsed)
		}
		<-conn.Done()
		if _, err := conn.Do(t.Context(), getRequest); !errors.Is(err, ErrNoStream) {
			t.Errorf("error %v on the ended connection, want ErrNoStream", err)
		}
		close(stop)
	})
}

// TestRetiredConnectionEndsWithItsLastStream checks that a retired connection takes no more requests and ends with its last
// stream.
func TestRetiredConnectionEndsWithItsLastStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := make(chan struct{})
		conn := startWithFakeServer(t, Options{}, func(serverConn net.Conn, framer *http2.Framer) {
			go func() { io.Copy(io.Discard, serverConn); serverConn.Close() }()
			<-answer
			framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}, EndStream: true, EndHeaders: true})
		})
		got := make(chan Event, 1)
		go func() {
			event, _ := conn.Do(t.Context(), getRequest)
			got <- event
		}()
		synctest.Wait()
		conn.Retire()
		synctest.Wait()
		if v := conn.View(); v.OpenStreams != 1 || v.FreeStreams != 0 || !v.IsEnding {
			t.Errorf("retired connection: %+v, want one open stream, none free, and ending", v)
		}
		close(answer)
		if event := <-got; event.Answer == nil || event.Answer.Status != 200 {
			t.Errorf("event %+v, want an answer with status 200", event)
		}
		<-conn.Done()
	})
}
