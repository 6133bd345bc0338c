package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/trials/faultnet/script"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is an echo server, a link to it and the client's connections.
type fixture struct {
	*Link
	t     *testing.T
	got   chan string // data that the server received, or "end" when a connection was closed
	conns []net.Conn
}

func newFixture(t *testing.T, network string) *fixture {
	addr := "127.0.0.1:0"
	if network == "unix" {
		addr = filepath.Join(t.TempDir(), "s")
	}
	srv, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{t: t, got: make(chan string, 1000)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := srv.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { c.Close(); r.got <- "end" }()
				b := make([]byte, 100)
				for {
					n, err := c.Read(b)
					if err != nil {
						return
					}
					r.got <- string(b[:n])
					if _, err := c.Write(b[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	if r.Link, err = Listen(srv.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, c := range r.conns {
			c.Close()
		}
		if err := r.Close(); err != nil {
			t.Error(err)
		}
		srv.Close()
		<-ended
	})
	return r
}

func (r *fixture) dial() (net.Conn, error) {
	network := "tcp"
	if strings.Contains(r.Addr(), "/") {
		network = "unix"
	}
	c, err := net.Dial(network, r.Addr())
	if err == nil {
		r.conns = append(r.conns, c)
		c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	}
	return c, err
}

func (r *fixture) mustDial() net.Conn {
	r.t.Helper()
	c, err := r.dial()
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

func (r *fixture) set(all ...script.Fault) {
	r.t.Helper()
	if err := r.Set(all...); err != nil {
		r.t.Fatal(err)
	}
}

func (r *fixture) send(c net.Conn, text string) {
	r.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		r.t.Fatal(err)
	}
}

// echo sends a text and expects the same text back.
func (r *fixture) echo(c net.Conn, text string) {
	r.t.Helper()
	r.send(c, text)
	if b, err := io.ReadAll(io.LimitReader(c, int64(len(text)))); string(b) != text {
		r.t.Fatalf("received %q, want the text that was sent; error %v", b, err)
	}
	for got := ""; got != text; {
		if p := testkit.Next(r.t, r.got); p != "end" { // of another connection
			got += p
		}
	}
}

func (r *fixture) awaitCounts(what string, is func(Counts) bool) {
	r.t.Helper()
	testkit.Until(r.t, what, func() bool { return is(r.Counts()) })
}

// closeResult reads a connection until it ends and returns how it ended for the client: "eof", "reset" or another error.
func (r *fixture) closeResult(c net.Conn) string {
	r.t.Helper()
	_, err := io.Copy(io.Discard, c)
	switch {
	case err == nil:
		return "eof"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	}
	return err.Error()
}

// forEachNetwork runs a test over TCP and over Unix sockets.
func forEachNetwork(t *testing.T, f func(t *testing.T, r *fixture)) {
	for _, network := range []string{"tcp", "unix"} {
		t.Run(network, func(t *testing.T) { f(t, newFixture(t, network)) })
	}
}

// Without faults bytes flow in both directions, a half-close leaves the other direction open, and a
// reset is forwarded.
func TestForwardingWithoutFaults(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, r *fixture) {
		c := r.mustDial()
		r.echo(c, "hello")
		r.send(c, "last")
		c.(interface{ CloseWrite() error }).CloseWrite()
		if b, err := io.ReadAll(c); string(b) != "last" || err != nil {
			t.Errorf("received %q, want \"last\"; error %v", b, err)
		}
		unusedAddr := "127.0.0.1:1"
		if r.socketDir != "" {
			unusedAddr = r.socketDir + "/none"
		}
		r.To(unusedAddr)
		if c, err := r.dial(); err == nil { // otherwise the reset arrived during the dial
			r.closeResult(c) // immediately, as the target is gone
		} else if !errors.Is(err, syscall.ECONNRESET) {
			t.Error(err)
		}
		r.awaitCounts("counts of both connections", func(n Counts) bool { return n == Counts{Failed: 1, Conns: 2, Forth: 9, Back: 9} })
	})
}

// A cut drops bytes and keeps the connection; a connection that lost bytes delivers none afterwards,
// in either direction.
func TestCut(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, r *fixture) {
		forth, back, untouched := r.mustDial(), r.mustDial(), r.mustDial()
		for _, c := range []net.Conn{forth, back, untouched} {
			r.echo(c, "up")
		}
		r.set(script.Fault{Kind: script.Cut, Direction: script.Forth})
		r.send(forth, "gone")
		r.awaitCounts("lost", func(n Counts) bool { return n.Lost == 4 })
		during := r.mustDial()
		r.set(script.Fault{Kind: script.Cut, Direction: script.Back})
		r.send(back, "heard")
		if got := testkit.Next(t, r.got); got != "heard" {
			t.Errorf("the server got %q", got)
		}
		r.awaitCounts("lost", func(n Counts) bool { return n.Lost == 9 })
		if err := r.Heal(); err != nil {
			t.Fatal(err)
		}
		r.echo(untouched, "still")
		r.echo(during, "late")
		r.send(forth, "never")
		r.awaitCounts("lost", func(n Counts) bool { return n.Lost == 14 })
		r.send(back, "heard")
		r.awaitCounts("lost", func(n Counts) bool { return n.Lost == 19 })
		if n := r.Counts(); n.Resets != 0 {
			t.Errorf("a cut has reset connections: %+v", n)
		}
		forth.Close() // the close is forwarded, as no cut is in force any more
		for got := ""; got != "end"; {
			got = testkit.Next(t, r.got)
		}
	})
}

// Held bytes are delivered once the fault ends; delayed bytes arrive in order, with their delays
// overlapping; a rate limit delivers bytes at its rate.
func TestDelays(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, r *fixture) {
		c := r.mustDial()
		r.echo(c, "up")
		r.set(script.Fault{Kind: script.Hold})
		r.send(c, "held")
		select {
		case got := <-r.got:
			t.Errorf("the server got %q", got)
		case <-time.After(20 * time.Millisecond):
		}
		r.set(script.Fault{Kind: script.Late, Direction: script.Forth, Delay: 20 * time.Millisecond},
			script.Fault{Kind: script.Slow, Direction: script.Back, Rate: 2000})
		started := time.Now()
		r.echo(c, "") // sends nothing
		if got := testkit.Next(t, r.got); got != "held" {
			t.Errorf("the server got %q", got)
		}
		r.send(c, strings.Repeat("x", 160))
		if b, err := io.ReadAll(io.LimitReader(c, 164)); len(b) != 164 {
			t.Errorf("received %q, want 164 bytes; error %v", b, err)
		}
		if elapsed := time.Since(started); elapsed < 60*time.Millisecond { // a delay of 20 ms, and 100 bytes beyond the burst at 2000 a second
			t.Errorf("delivered within %v, want at least 60 ms", elapsed)
		}
	})
}

// A connection is reset after a number of bytes of one direction, a response is lost after its
// request was delivered, and new connections are refused while old ones stay open.
func TestResetsAndRefusals(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, r *fixture) {
		want := "reset"
		if r.socketDir != "" { // Unix sockets have no reset
			want = "eof"
		}
		for _, f := range []struct {
			fault      script.Fault
			said, came string
		}{
			{script.Fault{Kind: script.Reset, Direction: script.Forth, Bytes: 3}, "abc", "abc"},
			{script.Fault{Kind: script.Reset, Direction: script.Back, Bytes: 4}, "abcdef", "abcd"},
			{script.Fault{Kind: script.Lost}, "abcdef", ""},
		} {
			c := r.mustDial()
			r.echo(c, "up")
			r.set(f.fault)
			r.send(c, "abcdef")
			var b bytes.Buffer
			if _, err := io.Copy(&b, c); (want == "reset") != errors.Is(err, syscall.ECONNRESET) || b.Len() > len(f.came) {
				t.Errorf("%v: the client received %q, error %v", f.fault, &b, err)
			}
			if got := testkit.Next(t, r.got); got != f.said {
				t.Errorf("%v: the server got %q", f.fault, got)
			}
			for got := ""; got != "end"; {
				got = testkit.Next(t, r.got)
			}
			r.set()
		}
		c := r.mustDial()
		r.echo(c, "up")
		r.set(script.Fault{Kind: script.Refuse})
		if _, err := r.dial(); !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ENOENT) {
			t.Errorf("dialing a link that refuses connections: %v", err)
		}
		r.echo(c, "stays")
		r.set(script.Fault{Kind: script.Blackhole})
		r.echo(r.mustDial(), "")
		r.send(c, "asked")
		if got := testkit.Next(t, r.got); got != "asked" {
			t.Errorf("the server got %q", got)
		}
		r.awaitCounts("lost", func(n Counts) bool { return n.Lost == 6+5 })
		r.Break()
		if got := r.closeResult(c); got != want {
			t.Errorf("after Break the connection ended with %s", got)
		}
		r.set()
		r.echo(r.mustDial(), "again")
		if err := r.Set(script.Fault{Kind: script.Kill}); err == nil {
			t.Error("Set accepted a fault of processes")
		}
	})
}

// The bytes buffered in a link are bounded: a writer blocks once the other end does not read.
func TestBufferedBytesAreBounded(t *testing.T) {
	r := newFixture(t, "tcp")
	r.set(script.Fault{Kind: script.Hold})
	c := r.mustDial()
	c.(*net.TCPConn).SetWriteBuffer(1 << 10)
	c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	n, err := c.Write(make([]byte, 64<<20))
	if n > 32<<20 || err == nil { // the sockets' own buffers take a few MiB
		t.Errorf("the link accepted %d bytes, want at most 32 MiB and a time-out; error %v", n, err)
	}
}
