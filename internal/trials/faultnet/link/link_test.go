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

// rig is an echo server, a link to it and a client.
type rig struct {
	*Link
	t     *testing.T
	got   chan string // what the server received, or "end" for a closed connection
	conns []net.Conn
}

func newRig(t *testing.T, network string) *rig {
	addr := "127.0.0.1:0"
	if network == "unix" {
		addr = filepath.Join(t.TempDir(), "s")
	}
	srv, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, got: make(chan string, 1000)}
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

func (r *rig) dial() (net.Conn, error) {
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

func (r *rig) conn() net.Conn {
	r.t.Helper()
	c, err := r.dial()
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

func (r *rig) set(all ...script.Fault) {
	r.t.Helper()
	if err := r.Set(all...); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) say(c net.Conn, text string) {
	r.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		r.t.Fatal(err)
	}
}

// echo sends a text and expects the same text back.
func (r *rig) echo(c net.Conn, text string) {
	r.t.Helper()
	r.say(c, text)
	if b, err := io.ReadAll(io.LimitReader(c, int64(len(text)))); string(b) != text {
		r.t.Fatalf("%q came back, %v", b, err)
	}
	for got := ""; got != text; {
		if p := testkit.Next(r.t, r.got); p != "end" { // of another connection
			got += p
		}
	}
}

func (r *rig) until(what string, is func(Counts) bool) {
	r.t.Helper()
	testkit.Until(r.t, what, func() bool { return is(r.Counts()) })
}

// ended returns how a connection has ended for the client: eof or reset.
func (r *rig) ended(c net.Conn) string {
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

// each runs a test over TCP and Unix sockets.
func each(t *testing.T, f func(t *testing.T, r *rig)) {
	for _, network := range []string{"tcp", "unix"} {
		t.Run(network, func(t *testing.T) { f(t, newRig(t, network)) })
	}
}

// Without faults bytes flow in both directions, a half-close leaves the other direction open, and a
// reset is passed on.
func TestPlain(t *testing.T) {
	each(t, func(t *testing.T, r *rig) {
		c := r.conn()
		r.echo(c, "hello")
		r.say(c, "last")
		c.(interface{ CloseWrite() error }).CloseWrite()
		if b, err := io.ReadAll(c); string(b) != "last" || err != nil {
			t.Errorf("%q, %v", b, err)
		}
		none := "127.0.0.1:1"
		if r.socketDir != "" {
			none = r.socketDir + "/none"
		}
		r.To(none)
		if c, err := r.dial(); err == nil { // otherwise the reset arrived during the dial
			r.ended(c) // immediately, as the target is gone
		} else if !errors.Is(err, syscall.ECONNRESET) {
			t.Error(err)
		}
		r.until("all is counted", func(n Counts) bool { return n == Counts{Failed: 1, Conns: 2, Forth: 9, Back: 9} })
	})
}

// A cut drops bytes and keeps the connection; a connection that lost bytes delivers none afterwards,
// in either direction.
func TestCut(t *testing.T) {
	each(t, func(t *testing.T, r *rig) {
		forth, back, spared := r.conn(), r.conn(), r.conn()
		for _, c := range []net.Conn{forth, back, spared} {
			r.echo(c, "up")
		}
		r.set(script.Fault{Kind: script.Cut, Direction: script.Forth})
		r.say(forth, "gone")
		r.until("lost", func(n Counts) bool { return n.Lost == 4 })
		during := r.conn()
		r.set(script.Fault{Kind: script.Cut, Direction: script.Back})
		r.say(back, "heard")
		if got := testkit.Next(t, r.got); got != "heard" {
			t.Errorf("the server got %q", got)
		}
		r.until("lost", func(n Counts) bool { return n.Lost == 9 })
		if err := r.Heal(); err != nil {
			t.Fatal(err)
		}
		r.echo(spared, "still")
		r.echo(during, "late")
		r.say(forth, "never")
		r.until("lost", func(n Counts) bool { return n.Lost == 14 })
		r.say(back, "heard")
		r.until("lost", func(n Counts) bool { return n.Lost == 19 })
		if n := r.Counts(); n.Resets != 0 {
			t.Errorf("%+v", n)
		}
		forth.Close() // the close is passed on, as nothing is cut any more
		for got := ""; got != "end"; {
			got = testkit.Next(t, r.got)
		}
	})
}

// Held bytes are delivered once the fault ends; delayed bytes arrive in order, with their delays
// overlapping; a rate limit delivers bytes at its rate.
func TestTimes(t *testing.T) {
	each(t, func(t *testing.T, r *rig) {
		c := r.conn()
		r.echo(c, "up")
		r.set(script.Fault{Kind: script.Hold})
		r.say(c, "held")
		select {
		case got := <-r.got:
			t.Errorf("the server got %q", got)
		case <-time.After(20 * time.Millisecond):
		}
		r.set(script.Fault{Kind: script.Late, Direction: script.Forth, Delay: 20 * time.Millisecond},
			script.Fault{Kind: script.Slow, Direction: script.Back, Rate: 2000})
		begun := time.Now()
		r.echo(c, "") // nothing
		if got := testkit.Next(t, r.got); got != "held" {
			t.Errorf("the server got %q", got)
		}
		r.say(c, strings.Repeat("x", 160))
		if b, err := io.ReadAll(io.LimitReader(c, 164)); len(b) != 164 {
			t.Errorf("%q, %v", b, err)
		}
		if took := time.Since(begun); took < 60*time.Millisecond { // a delay of 20 ms, and 100 bytes beyond the burst at 2000 a second
			t.Errorf("in %v", took)
		}
	})
}

// A connection is reset after a number of bytes of one direction, a response is lost after its
// request was delivered, and new connections are refused while old ones stay open.
func TestBreaks(t *testing.T) {
	each(t, func(t *testing.T, r *rig) {
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
			c := r.conn()
			r.echo(c, "up")
			r.set(f.fault)
			r.say(c, "abcdef")
			var b bytes.Buffer
			if _, err := io.Copy(&b, c); (want == "reset") != errors.Is(err, syscall.ECONNRESET) || b.Len() > len(f.came) {
				t.Errorf("%v: %q, %v", f.fault, &b, err)
			}
			if got := testkit.Next(t, r.got); got != f.said {
				t.Errorf("%v: the server got %q", f.fault, got)
			}
			for got := ""; got != "end"; {
				got = testkit.Next(t, r.got)
			}
			r.set()
		}
		c := r.conn()
		r.echo(c, "up")
		r.set(script.Fault{Kind: script.Refuse})
		if _, err := r.dial(); !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ENOENT) {
			t.Errorf("a connection: %v", err)
		}
		r.echo(c, "stays")
		r.set(script.Fault{Kind: script.Blackhole})
		r.echo(r.conn(), "")
		r.say(c, "asked")
		if got := testkit.Next(t, r.got); got != "asked" {
			t.Errorf("the server got %q", got)
		}
		r.until("lost", func(n Counts) bool { return n.Lost == 6+5 })
		r.Break()
		if got := r.ended(c); got != want {
			t.Errorf("broken: %s", got)
		}
		r.set()
		r.echo(r.conn(), "again")
		if err := r.Set(script.Fault{Kind: script.Kill}); err == nil {
			t.Error("a link was killed")
		}
	})
}

// The bytes buffered in a link are bounded: a writer blocks once the other end does not read.
func TestBound(t *testing.T) {
	r := newRig(t, "tcp")
	r.set(script.Fault{Kind: script.Hold})
	c := r.conn()
	c.(*net.TCPConn).SetWriteBuffer(1 << 10)
	c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	n, err := c.Write(make([]byte, 64<<20))
	if n > 32<<20 || err == nil { // a few MiB are in the sockets' own buffers
		t.Errorf("%d bytes were taken, %v", n, err)
	}
}
