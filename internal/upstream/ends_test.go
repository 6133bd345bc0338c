package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/fake"
	"lockflow/internal/limits"
	"lockflow/internal/testkit"
)

const good, noise = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"

// teller is an app server that answers what it is told, and who asks it.
type teller struct {
	t    *testing.T
	u    *Upstream
	p    *Pool
	reqs chan asked
	say  chan string
	ends chan Outcome
}

// asked is a request that a teller has read, by its connection.
type asked struct {
	net.Conn
	from string
}

func newTeller(t *testing.T) *teller {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &teller{
		t: t, u: newTest(2*testkit.Patience, limits.NewSocketLimiter(1024)),
		reqs: make(chan asked), say: make(chan string), ends: make(chan Outcome, 1),
	}
	s.p = s.u.NewPool(l.Addr().String(), ProtocolHTTP1)
	t.Cleanup(func() { s.u.RetirePool(s.p) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					s.reqs <- asked{c, c.RemoteAddr().String()}
					io.WriteString(c, <-s.say)
				}
			}()
		}
	}()
	return s
}

// begin sends a request.
func (s *teller) begin() asked {
	s.t.Helper()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
		defer cancel()
		s.ends <- s.u.AttemptHTTP1(ctx, s.p, message(s.t, nil))
	}()
	return testkit.Next(s.t, s.reqs)
}

// end answers it.
func (s *teller) end(text string) {
	s.t.Helper()
	s.say <- text
	if o := testkit.Next(s.t, s.ends); o.Reason != control.OK || string(o.Body) != "ok" {
		s.t.Errorf("%d (%v) %q", o.Reason, o.Err, o.Body)
	}
}

// left waits until there are so many idle connections to which nothing has come.
func (s *teller) left(n int) {
	s.t.Helper()
	testkit.Until(s.t, "what came to idle connections", func() bool {
		s.u.drop(func(c *conn) bool { return !c.quiet() })
		idle, _ := s.u.CountIdle()
		return idle == n
	})
}

// A request isn't written where a second answer may still be on its way, be it the first one that a server
// sends: it would be taken for that request's.
func TestSecondAnswerBehindTheNextRequest(t *testing.T) {
	for name, behind := range map[string]bool{"with its answer": true, "some milliseconds later": false} {
		t.Run(name, func(t *testing.T) {
			s := newTeller(t)
			s.u.QuietPeriod = testkit.Patience
			first := s.begin()
			s.end(good + map[bool]string{true: noise}[behind])
			second := s.begin()
			if second.from == first.from {
				t.Error("written where a second answer may still come")
			}
			if !behind {
				io.WriteString(first, noise)
			}
			s.end(good)
			s.left(1)
			// Now that it is known of servers, none is used that rests, however many do.
			used := map[string]bool{second.from: true}
			for range restingMost {
				next := s.begin()
				if used[next.from] {
					t.Error("written where a second answer may still come")
				}
				used[next.from] = true
				s.end(good)
			}
			// What has rested is used again.
			s.u.QuietPeriod = 0
			if next := s.begin(); !used[next.from] {
				t.Error("one that has rested was not used again")
			}
			s.end(good)
		})
	}
}

// As long as no server sends second answers, so many connections rest and no more: the next request goes
// where the rest was longest.
func TestSomeConnectionsRest(t *testing.T) {
	s := newTeller(t)
	s.u.QuietPeriod = testkit.Patience
	var from []string
	for range 2 * restingMost {
		from = append(from, s.begin().from)
		s.end(good)
	}
	for i, f := range from {
		if j := slices.Index(from, f); j != i%restingMost {
			t.Errorf("request %d went where %d had gone, of %q", i, j, from)
		}
	}
}

// noDials lets no further connection come up.
type noDials struct{}

func (noDials) TryAcquire() bool { return false }
func (noDials) Release()         {}

// Where no new connection is to be had a request goes on one that still rests, unless servers are known to send
// second answers: it would be turned away although its server has a good connection open.
func TestRestingServesWhereNoneComesUp(t *testing.T) {
	s := newTeller(t)
	s.u.QuietPeriod = testkit.Patience
	first := s.begin().from
	s.end(good)
	s.u.DialLimiter = noDials{}
	if from := s.begin().from; from != first {
		t.Errorf("written to %s, not %s", from, first)
	}
	s.end(good)
	s.u.doubled.Store(true)
	if o := s.u.AttemptHTTP1(t.Context(), s.p, message(t, nil)); o.Reason != control.NotSent || !errors.Is(o.Err, errNoDial) {
		t.Errorf("%d (%v)", o.Reason, o.Err)
	}
}

// A connection that an attempt took and wrote nothing on is as it was: it needs no rest, and grows no younger,
// as its server's clock of idle connections goes on.
func TestUnusedConnectionIsAsItWas(t *testing.T) {
	const age = time.Second
	s := newTeller(t)
	s.u.QuietPeriod = testkit.Patience
	late := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(WithWriteDeadline(t.Context(), time.Now()), testkit.Patience)
		defer cancel()
		if o := s.u.AttemptHTTP1(ctx, s.p, message(t, nil)); o.Reason != control.NotSent {
			t.Fatalf("%d (%v)", o.Reason, o.Err)
		}
	}
	late() // over a new one
	c := pooled(s.u)[0]
	c.since = c.since.Add(-age)
	was := c.since
	if late(); c.since != was {
		t.Errorf("%v younger", c.since.Sub(was))
	}
	s.begin()
	s.end(good)
	if all := pooled(s.u); len(all) != 1 || all[0] != c {
		t.Error("one that nothing was asked on was not used")
	}
}

// A second answer that the server's system holds back until the first one is acknowledged (no TCP_NODELAY) is
// there when its connection has rested.
func TestSecondAnswerHeldBack(t *testing.T) {
	s := newTeller(t)
	var c asked
	for range 50 { // then this system no longer acknowledges at once
		c = s.begin()
		c.Conn.(*net.TCPConn).SetNoDelay(false)
		s.end(good)
	}
	io.WriteString(c, noise)
	s.u.QuietPeriod = SecondAnswerDelay
	time.Sleep(SecondAnswerDelay) // has to pass
	if next := s.begin(); next.from == c.from {
		t.Error("written where a second answer was still to come")
	}
	s.end(good)
}

// comingUp has connections come up once a time is past.
type comingUp struct{ past time.Time }

func (c *comingUp) TryAcquire() bool { time.Sleep(time.Until(c.past)); return true }
func (c *comingUp) Release()         {}

// What has to begin by some time is not written to a connection that comes up later, nor on an idle
// one: that speaks against no server, and the connection serves the next request.
func TestConnectionUpBehindTheWindow(t *testing.T) {
	for name, speaks := range map[string]Protocol{"HTTP/1.1": ProtocolHTTP1, "HTTP/2": ProtocolHTTP2} {
		t.Run(name, func(t *testing.T) {
			a, err := fake.Server{UID: "s", HTTP2: true}.Start()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(a.Close)
			late := &comingUp{}
			socks := limits.NewSocketLimiter(1024)
			u := New(Options{
				ConnectTimeout: testkit.Patience, KeepAliveTimeout: 2 * testkit.Patience, SocketLimiter: socks, DialLimiter: late,
				HTTP2: HTTP2Options{MaxConnections: 1, MaxStreams: 10, MaxConnectionAge: time.Hour, FallbackPeriod: time.Minute, StartsAtLastByte: true},
			})
			p := u.NewPool(a.Addr(), speaks)
			t.Cleanup(func() { u.RetirePool(p) })
			try := func(by time.Time) Outcome {
				ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
				defer cancel()
				if !by.IsZero() {
					ctx = WithWriteDeadline(ctx, by)
				}
				return update("id", "body").Attempt(ctx, nil, u, p)
			}
			late.past = time.Now().Add(10 * time.Millisecond)
			if o := try(late.past); o.Reason != control.NotSent {
				t.Errorf("%d (%v) over a new connection", o.Reason, o.Err)
			}
			if o := try(time.Now()); o.Reason != control.NotSent {
				t.Errorf("%d (%v) over an idle one", o.Reason, o.Err)
			}
			if one, two := a.Spoken(); one+two != 0 {
				t.Errorf("%d were written", one+two)
			}
			for _, by := range []time.Time{time.Now().Add(time.Hour), {}} {
				if o := try(by); o.Reason != control.OK {
					t.Errorf("%d (%v) in time", o.Reason, o.Err)
				}
			}
			if n := socks.InUse(); n != 1 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// An attempt over TLS that is given up while its server takes nothing ends with its time: it doesn't
// wait to say farewell.
func TestGivenUpOverTLS(t *testing.T) {
	cert := httptest.NewUnstartedServer(nil)
	cert.StartTLS()
	certs := cert.TLS.Certificates
	cert.Close()
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		go tls.Server(far, &tls.Config{Certificates: certs, SessionTicketsDisabled: true}).Handshake() // and reads no more
		nc := tls.Client(near, &tls.Config{InsecureSkipVerify: true})
		if err := nc.Handshake(); err != nil {
			t.Fatal(err)
		}
		socks := limits.NewSocketLimiter(1024)
		socks.TryAcquire()
		u := newTest(testkit.Patience, socks)
		p := u.NewPool("", ProtocolHTTP1)
		c := u.newConn(limits.Track(nc, socks), nil)
		const left = time.Second
		ctx, cancel := context.WithTimeout(context.Background(), left)
		defer cancel()
		begun := time.Now()
		o := u.try(ctx, p, c, message(t, make([]byte, 64<<10)))
		if took := time.Since(begun); took != left || o.Reason != control.ConnectFailed {
			t.Errorf("%d (%v) after %v", o.Reason, o.Err, took)
		}
		if n := socks.InUse(); n != 0 {
			t.Errorf("%d connections left open", n)
		}
	})
}

// An attempt that ends at a told byte of its request never ran where that is not the last one, and
// may have run where it is, however the request was cut into writes; its connection is closed by then.
func TestEndsAtAByte(t *testing.T) {
	for _, size := range []int{0, 1, connBuffer, 64 << 10} {
		total := 0
		for _, tc := range []struct {
			name   string
			before int // of the last byte
			breaks bool
			want   control.Reason
		}{
			{"all", 0, false, control.TimedOut}, // counts the request's bytes too
			{"broken behind the last", 0, true, control.ResetByPeer},
			{"broken before the last", 1, true, control.ConnectFailed},
			{"silent before the last", 1, false, control.ConnectFailed},
			{"broken in the middle", size/2 + 1, true, control.ConnectFailed},
			{"silent in the middle", size/2 + 1, false, control.ConnectFailed},
		} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, tc.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					near, far := net.Pipe()
					socks := limits.NewSocketLimiter(1024)
					socks.TryAcquire()
					u := newTest(testkit.Patience, socks)
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					ends := make(chan Outcome, 1)
					req := message(t, make([]byte, size))
					go func() {
						ends <- u.try(ctx, u.NewPool("", ProtocolHTTP1), u.newConn(limits.Track(near, socks), nil), req)
					}()
					if total == 0 {
						far.SetReadDeadline(time.Now().Add(time.Millisecond))
						n, _ := io.Copy(io.Discard, far)
						total = int(n)
						far.SetReadDeadline(time.Time{})
					} else if _, err := io.CopyN(io.Discard, far, int64(total-tc.before)); err != nil {
						t.Fatal(err)
					}
					if tc.breaks {
						far.Close()
					}
					if o := <-ends; o.Reason != tc.want {
						t.Errorf("%d (%v), not %d", o.Reason, o.Err, tc.want)
					}
					if _, err := far.Write([]byte("x")); err == nil || socks.InUse() != 0 {
						t.Error("not closed")
					}
				})
			})
		}
	}
}

// What ends an attempt between two reads of its answer is not undone by the clock of that answer.
func TestInterruptIsNotUndone(t *testing.T) {
	for name, reads := range map[string]int{"as an answer goes on": 1, "behind an interim one": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer far.Close()
				socks := limits.NewSocketLimiter(1024)
				socks.TryAcquire()
				c := newTest(testkit.Patience, socks).newConn(limits.Track(near, socks), nil)
				defer c.Close()
				begun := time.Now()
				c.in.start(begun.Add(time.Hour), answerHead)
				go far.Write([]byte("HT"))
				for range reads {
					if _, err := c.in.Read(make([]byte, 1)); err != nil {
						t.Fatal(err)
					}
				}
				if c.interrupt(); reads > 1 {
					c.in.again()
				}
				if _, err := c.in.Read(make([]byte, 1)); err == nil || time.Since(begun) > 0 {
					t.Errorf("%v after %v", err, time.Since(begun))
				}
			})
		})
	}
}

// onDial does something as a connection is about to come up.
type onDial func()

func (f onDial) TryAcquire() bool { f(); return true }
func (f onDial) Release()         {}

// An attempt whose server leaves the list before its connection is up, or before it has one at all, is not
// written: sends to the server have to have stopped by then, and a connection may take its time.
func TestConnectionUpAsItsServerLeaves(t *testing.T) {
	for name, speaks := range map[string]Protocol{"HTTP/1.1": ProtocolHTTP1, "HTTP/2": ProtocolHTTP2} {
		for when, before := range map[string]bool{"before": true, "meanwhile": false} {
			t.Run(name+" "+when, func(t *testing.T) {
				a, err := fake.Server{UID: "s", HTTP2: true}.Start()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(a.Close)
				socks, dials := limits.NewSocketLimiter(1024), 0
				var u *Upstream
				var p *Pool
				u = New(Options{
					ConnectTimeout: testkit.Patience, KeepAliveTimeout: 2 * testkit.Patience, SocketLimiter: socks,
					DialLimiter: onDial(func() { dials++; u.RetirePool(p) }),
					HTTP2:       HTTP2Options{MaxConnections: 1, MaxStreams: 10, MaxConnectionAge: time.Hour, FallbackPeriod: time.Minute, StartsAtLastByte: true},
				})
				p = u.NewPool(a.Addr(), speaks)
				if before {
					u.RetirePool(p)
				}
				ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
				defer cancel()
				if o := update("id", "body").Attempt(ctx, nil, u, p); o.Reason != control.ConnectFailed && o.Reason != control.NotSent {
					t.Errorf("%d (%v)", o.Reason, o.Err)
				}
				if one, two := a.Spoken(); one+two != 0 {
					t.Errorf("%d were written", one+two)
				}
				testkit.Until(t, "the place back", func() bool { return socks.InUse() == 0 })
				if before && dials > 0 {
					t.Errorf("%d connections for a server that has left", dials)
				}
			})
		}
	}
}
