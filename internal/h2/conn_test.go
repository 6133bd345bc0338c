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
func pipe(t *testing.T, o Options, serve func(far net.Conn, f *http2.Framer)) *Conn {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		f := http2.NewFramer(far, far)
		io.ReadFull(far, make([]byte, len(preface)))
		go http2.NewFramer(far, nil).WriteSettings() // while the other side writes too
		for range 3 {                                // settings, the window, the ack
			f.ReadFrame()
		}
		serve(far, f)
	}()
	c, err := Start(t.Context(), near, o)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var get = &Request{Method: "GET", Scheme: "http", Authority: "a", Path: "/"}

// A connection that vanishes without a word is given up after it was asked for a sign of life; one
// whose server gives such signs is not, however long its answer takes.
func TestVanished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		c := pipe(t, Options{Quiet: 5 * time.Second}, func(far net.Conn, _ *http2.Framer) { io.Copy(io.Discard, far); far.Close() })
		e, err := c.Do(t.Context(), get)
		if took := time.Since(begun); err != nil || e.Err == nil || e.Err.End != Broke || e.Fate != MayHaveRun || took != 10*time.Second {
			t.Errorf("%+v, %v after %v", e, err, took)
		}
		<-c.Done()

		c = pipe(t, Options{Quiet: 5 * time.Second}, func(far net.Conn, f *http2.Framer) {
			for {
				frame, err := f.ReadFrame()
				if err != nil {
					far.Close()
					return
				}
				if p, ok := frame.(*http2.PingFrame); ok {
					f.WritePing(true, p.Data)
				}
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if e, err := c.Do(ctx, get); err != nil || e.Err == nil || e.Err.End != Cancelled {
			t.Errorf("%+v, %v", e, err)
		}
		c.Close()
	})
}

// A server that takes nothing holds who gives a request up for no longer than a reset may take, and
// is then no longer spoken to.
func TestTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := make(chan struct{})
		c := pipe(t, Options{}, func(far net.Conn, _ *http2.Framer) { <-stop; far.Close() })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun := time.Now()
		e, err := c.Do(ctx, get)
		if took := time.Since(begun); err != nil || e.Err == nil || e.Fate != MayHaveRun || took != time.Second+cancelWithin {
			t.Errorf("%+v, %v after %v", e, err, took)
		}
		<-c.Done()
		if _, err := c.Do(t.Context(), get); !errors.Is(err, ErrNoStream) {
			t.Errorf("%v", err)
		}
		close(stop)
	})
}

// A connection that is retired ends with its last stream, and takes no other.
func TestRetire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := make(chan struct{})
		c := pipe(t, Options{}, func(far net.Conn, f *http2.Framer) {
			go func() { io.Copy(io.Discard, far); far.Close() }()
			<-answer
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}, EndStream: true, EndHeaders: true})
		})
		got := make(chan Event, 1)
		go func() {
			e, _ := c.Do(t.Context(), get)
			got <- e
		}()
		synctest.Wait()
		c.Retire()
		synctest.Wait()
		if v := c.View(); v.Open != 1 || v.Room != 0 || !v.Ending {
			t.Errorf("%+v", v)
		}
		close(answer)
		if e := <-got; e.Answer == nil || e.Answer.Status != 200 {
			t.Errorf("%+v", e)
		}
		<-c.Done()
	})
}
