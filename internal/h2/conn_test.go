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

// pipe is a connection to a server that greets and then does what serve does with its frames.
func startWithFakeServer(t *testing.T, options Options, serve func(serverConn net.Conn, framer *http2.Framer)) *Conn {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	go func() {
		framer := http2.NewFramer(serverConn, serverConn)
		io.ReadFull(serverConn, make([]byte, len(preface)))
		go http2.NewFramer(serverConn, nil).WriteSettings() // while the other side writes too
		for range 3 {                                       // settings, the window, the ack
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

// TestSilentServerIsGivenUp checks that a connection whose server vanishes is ended after a ping without an answer, and that
// one whose server answers pings is not, however long its answer takes.
func TestConnectionToSilentServerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		conn := startWithFakeServer(t, Options{PingAfterSilence: 5 * time.Second}, func(serverConn net.Conn, _ *http2.Framer) { io.Copy(io.Discard, serverConn); serverConn.Close() })
		event, err := conn.Do(t.Context(), getRequest)
		if elapsed := time.Since(startedAt); err != nil || event.Err == nil || event.Err.End != EndBroken || event.Outcome != MayBeProcessed || elapsed != 10*time.Second {
			t.Errorf("%+v, %v after %v", event, err, elapsed)
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
			t.Errorf("%+v, %v", event, err)
		}
		conn.Close()
	})
}

// TestServerThatReadsNothingIsGivenUp checks that a server which reads nothing delays a cancelled request no longer than a
// reset may take, and that its connection is then ended.
func TestCancelTimesOutWhenServerReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := make(chan struct{})
		conn := startWithFakeServer(t, Options{}, func(serverConn net.Conn, _ *http2.Framer) { <-stop; serverConn.Close() })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		startedAt := time.Now()
		event, err := conn.Do(ctx, getRequest)
		if elapsed := time.Since(startedAt); err != nil || event.Err == nil || event.Outcome != MayBeProcessed || elapsed != time.Second+cancelTimeout {
			t.Errorf("%+v, %v after %v", event, err, elapsed)
		}
		<-conn.Done()
		if _, err := conn.Do(t.Context(), getRequest); !errors.Is(err, ErrNoStream) {
			t.Errorf("%v", err)
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
			t.Errorf("%+v", v)
		}
		close(answer)
		if event := <-got; event.Answer == nil || event.Answer.Status != 200 {
			t.Errorf("%+v", event)
		}
		<-conn.Done()
	})
}
