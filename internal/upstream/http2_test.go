package upstream

import (
	"context"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/certs"
	"lockflow/internal/fake"
	"lockflow/internal/h2"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/responseclass"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/testkit"
)

func newHTTP2(o HTTP2Options) *Upstream {
	o.FallbackPeriod = time.Minute
	if o.MaxConnections == 0 {
		o.MaxConnections = 2
	}
	if o.MaxStreams == 0 {
		o.MaxStreams = 8
	}
	o.StartsAtLastByte = true
	return New(Options{ConnectTimeout: 5 * time.Second, KeepAliveTimeout: time.Minute, SocketLimiter: limits.NewSocketLimiter(1000), HTTP2: o})
}

func update(id string, body string) *BufferedRequest {
	req, err := http.NewRequest(http.MethodPost, "http://origin.svc/visit-update?account=1", nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set(protocol.HeaderID, id)
	req.Header.Set(protocol.HeaderIdempotencyKey, "key-"+id)
	return &BufferedRequest{Request: req, Body: []byte(body)}
}

func startHTTP2(t *testing.T, s fake.HTTP2Server) *fake.RunningHTTP2 {
	t.Helper()
	r, err := s.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// closes plays a burst of updates against a server that goes wrong by seed, each tried again only
// where it is told never to have run, or where trusting is true, also where its stream broke. It
// tells what speaks against the rules.
func closes(t *testing.T, seed uint64, trusting bool) (wrong []string) {
	rng := rand.New(rand.NewPCG(seed, 77))
	f := fake.HTTP2Faults{Refuse: 0.1, Reset: 0.05, Error: 0.05, Lower: 0.1, GoAway: 0.1, CutRead: 0.3, CutSent: 0.3}
	s, err := fake.HTTP2Server{UID: "s", Seed: seed, Faults: f, Streams: uint32(1 + rng.IntN(8))}.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	u := newHTTP2(HTTP2Options{MaxStreams: 1 + rng.IntN(8), MaxConnections: 1 + rng.IntN(3)})
	p := u.NewPool(s.Addr(), ProtocolHTTP2)
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		wrong = append(wrong, fmt.Sprintf(format, args...))
		mu.Unlock()
	}
	var all sync.WaitGroup
	for i := range 12 {
		id, body := fmt.Sprint("r", i), strings.Repeat("x", rng.IntN(400))
		all.Go(func() {
			w := update(id, body)
			told := 0 // attempts that ran, by what was told of them
			for try := 0; try < 30; try++ {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				o := w.Attempt(ctx, ctx, u, p)
				cancel()
				ran := s.Tally.Runs(id) - told
				var end *h2.StreamError
				errors.As(o.Err, &end)
				switch o.Reason {
				case control.OK, control.Errored:
					if ran != 1 || o.Reason == control.OK && string(o.Body) != "s "+id {
						say("%s: %v %q, and it ran %d times", id, o.Reason, o.Body, ran)
					}
					return
				case control.RejectedByServer, control.ConnectFailed, control.NotSent:
					if ran != 0 {
						say("%s: told that it never ran (%v, %v), and it ran", id, o.Reason, o.Err)
						return
					}
				case control.ResetByPeer:
					// Of what never ran only that is not told which went out whole, where all that came back
					// is the end of the connection.
					if ran == 0 && (end == nil || end.End != h2.Broke || end.Moment != h2.Sent) {
						say("%s: it never ran, which could be known: %v", id, o.Err)
					}
					if told += ran; !trusting {
						return
					}
				default:
					say("%s: %v, %v", id, o.Reason, o.Err)
					return
				}
			}
		})
	}
	all.Wait()
	u.RetirePool(p)
	if c := s.Tally.Counts(); c.Twice > 0 || c.Again > 0 || c.MostAtOne > 1 {
		say("%+v", c)
	}
	return wrong
}

// A server that closes at any byte, refuses, goes away in any way and changes its limits, in the
// middle of a burst of updates: none runs twice, and what never ran is known to.
func TestServerCloses(t *testing.T) {
	seeds := 300
	if n, err := strconv.Atoi(os.Getenv("LOCKFLOW_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		if wrong := closes(t, seed, false); len(wrong) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(wrong, "\n"))
		}
	}
}

// Whoever takes a broken stream for one that never ran is found.
func TestServerClosesFindsATrustingClient(t *testing.T) {
	for seed := range uint64(100) {
		if len(closes(t, seed, true)) > 0 {
			return
		}
	}
	t.Error("100 seeds, and no update ran twice")
}

// Many requests at once share few connections, within the server's limit.
func TestRequestsShare(t *testing.T) {
	s := startHTTP2(t, fake.HTTP2Server{UID: "s", Streams: 50})
	u := newHTTP2(HTTP2Options{MaxStreams: 100, MaxConnections: 2})
	p := u.NewPool(s.Addr(), ProtocolHTTP2)
	var all sync.WaitGroup
	for i := range 80 {
		all.Go(func() {
			if o := update(fmt.Sprint(i), "swap").Attempt(t.Context(), t.Context(), u, p); o.Reason != control.OK || o.LoadReport() == nil {
				t.Errorf("%v, %v", o.Reason, o.Err)
			}
		})
	}
	all.Wait()
	if n, most := s.Dials(); n > 2 || most > 2 {
		t.Errorf("%d connections, %d at once", n, most)
	}
	u.RetirePool(p)
	testkit.Until(t, "all descriptors back", func() bool { return u.SocketLimiter.(*limits.SocketLimiter).InUse() == 0 })
}

// Where there is no stream to be had, a request goes back to the module.
func TestNoStreamIsToldAtOnce(t *testing.T) {
	l := listen(t, func(c net.Conn) {
		io.WriteString(c, "\x00\x00\x06\x04\x00\x00\x00\x00\x00\x00\x03\x00\x00\x00\x00") // settings: no streams
		io.Copy(io.Discard, c)
	})
	u := newHTTP2(HTTP2Options{})
	begun := time.Now()
	o := update("a", "").Attempt(t.Context(), t.Context(), u, u.NewPool(l, ProtocolHTTP2))
	if o.Reason != control.NotSent || !errors.Is(o.Err, errNoStream) || time.Since(begun) > u.ConnectTimeout/2 {
		t.Errorf("%v, %v after %v", o.Reason, o.Err, time.Since(begun))
	}
}

// A server that has left the list is not connected to anew.
func TestRetiredIsLeft(t *testing.T) {
	s := startHTTP2(t, fake.HTTP2Server{UID: "s"})
	u := newHTTP2(HTTP2Options{})
	p := u.NewPool(s.Addr(), ProtocolHTTP2)
	u.RetirePool(p)
	if o := update("a", "").Attempt(t.Context(), t.Context(), u, p); o.Reason != control.ConnectFailed || !errors.Is(o.Err, errGone) || u.SocketLimiter.(*limits.SocketLimiter).InUse() != 0 {
		t.Errorf("%v, %v", o.Reason, o.Err)
	}
}

// listen serves each connection, until the test ends.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			stop := context.AfterFunc(t.Context(), func() { c.Close() })
			all.Go(func() { serve(c); c.Close(); stop() })
		}
	})
	t.Cleanup(func() { l.Close(); all.Wait() })
	return l.Addr().String()
}

// A server that speaks HTTP/1.1 is spoken to so, for a time, and only where that is allowed.
func TestFallBack(t *testing.T) {
	app := testkit.NewApp(t, testkit.Served)
	u := newHTTP2(HTTP2Options{})
	p := u.NewPool(app.Addr(), ProtocolPreferHTTP2)
	for i := range 3 {
		if o := update(fmt.Sprint(i), "swap").Attempt(t.Context(), t.Context(), u, p); o.Reason != control.OK {
			t.Errorf("%v, %v", o.Reason, o.Err)
		}
	}
	if n := app.Dials(); n != 2 {
		t.Errorf("%d connections: one to try, one to use", n)
	}
	if got := u.HTTP2Status(); *got != (HTTP2Status{FallbackServers: 1}) {
		t.Errorf("%+v", *got)
	}
	requests := func() (n int) {
		for _, r := range app.Requests() {
			if !strings.HasPrefix(r, "PRI") { // the beginning of HTTP/2, as HTTP/1.1 reads it
				n++
			}
		}
		return n
	}
	if n := requests(); n != 3 {
		t.Errorf("%d requests", n)
	}
	p.shared.plain = time.Now() // the time is over, and the server still as it was
	if o := update("4", "swap").Attempt(t.Context(), t.Context(), u, p); o.Reason != control.OK || app.Dials() != 3 {
		t.Errorf("%v, %v; %d connections", o.Reason, o.Err, app.Dials())
	}
	if u = newHTTP2(HTTP2Options{}); u.HTTP2Status() != nil {
		t.Error("connections that nobody asked for")
	}
	if o := update("5", "swap").Attempt(t.Context(), t.Context(), u, u.NewPool(app.Addr(), ProtocolHTTP2)); o.Reason != control.ConnectFailed || requests() != 4 {
		t.Errorf("%v, %v; %d requests", o.Reason, o.Err, requests())
	}
}

// A request whose time is up is reset; the connection and the other requests on it go on.
func TestGivenUp(t *testing.T) {
	s := startHTTP2(t, fake.HTTP2Server{UID: "s"})
	held := make(chan struct{}, 1)
	goOn := make(chan struct{})
	l := listen(t, func(c net.Conn) {
		to, err := net.Dial("tcp", s.Addr())
		if err != nil {
			return
		}
		defer to.Close()
		go func() {
			defer c.Close()
			b := make([]byte, 64)
			n, _ := to.Read(b) // the settings; what comes then waits
			c.Write(b[:n])
			<-goOn
			io.Copy(c, to)
		}()
		b := make([]byte, 4<<10)
		for all := 0; ; {
			n, err := c.Read(b)
			if err != nil {
				return
			}
			to.Write(b[:n])
			if all += n; all > 300 { // a request has come
				select {
				case held <- struct{}{}:
				default:
				}
			}
		}
	})
	u := newHTTP2(HTTP2Options{MaxConnections: 1})
	p := u.NewPool(l, ProtocolHTTP2)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-held; cancel() }()
	if o := update("late", strings.Repeat("x", 400)).Attempt(ctx, ctx, u, p); o.Reason != control.Cancelled {
		t.Errorf("%v, %v", o.Reason, o.Err)
	}
	close(goOn)
	if o := update("next", "").Attempt(t.Context(), t.Context(), u, p); o.Reason != control.OK || o.IsDialed {
		t.Errorf("%v, %v, dialed %v", o.Reason, o.Err, o.IsDialed)
	}
}

// Over TLS the protocol is agreed on; connections are kept and shared as in the clear.
func TestTLS(t *testing.T) {
	for _, tc := range []struct {
		name   string
		speaks Protocol
		h2     bool // the server's
		want   control.Reason
		proto  string
		dials  int64
	}{
		{"HTTP/2", ProtocolHTTP2, true, control.OK, "HTTP/2.0", 1},
		{"HTTP/2 where there is none", ProtocolHTTP2, false, control.ConnectFailed, "", 3},
		{"either, HTTP/2", ProtocolPreferHTTP2, true, control.OK, "HTTP/2.0", 1},
		{"either, HTTP/1.1", ProtocolPreferHTTP2, false, control.OK, "HTTP/1.1", 2},
		{"HTTP/1.1", ProtocolHTTP1, true, control.OK, "HTTP/1.1", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var dials atomic.Int64
			var proto atomic.Value
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				proto.Store(r.Proto)
				testkit.Served(w, r)
			}))
			s.EnableHTTP2 = tc.h2
			s.Config.ErrorLog = log.New(io.Discard, "", 0)
			s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
				if st == http.StateNew {
					dials.Add(1)
				}
			}
			s.StartTLS()
			defer s.Close()
			ca := filepath.Join(t.TempDir(), "ca")
			if err := os.WriteFile(ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw}), 0o600); err != nil {
				t.Fatal(err)
			}
			book, err := certs.Load(certs.Options{CA: ca, Name: "example.com"})
			if err != nil {
				t.Fatal(err)
			}
			u := newHTTP2(HTTP2Options{})
			u.TLS = book
			p := u.NewPool(s.Listener.Addr().String(), tc.speaks)
			for i := range 3 {
				o := update(fmt.Sprint(i), "swap").Attempt(t.Context(), t.Context(), u, p)
				if o.Reason != tc.want || tc.want == control.OK && proto.Load() != tc.proto {
					t.Errorf("%v, %v over %v", o.Reason, o.Err, proto.Load())
				}
			}
			if n := dials.Load(); n != tc.dials {
				t.Errorf("%d connections", n)
			}
			u.TLS, err = certs.Load(certs.Options{CA: ca, Name: "other.example"})
			if err != nil {
				t.Fatal(err)
			}
			if o := update("other", "").Attempt(t.Context(), t.Context(), u, u.NewPool(p.Endpoint, tc.speaks)); o.Reason != control.ConnectFailed {
				t.Errorf("another name: %v, %v", o.Reason, o.Err)
			}
			u.RetirePool(p)
			testkit.Until(t, "all descriptors back", func() bool { return u.SocketLimiter.(*limits.SocketLimiter).InUse() == 0 })
		})
	}
}

// A body that has come whole just behind the head is sent all the same.
func TestBodyComesBehindTheHead(t *testing.T) {
	s := startHTTP2(t, fake.HTTP2Server{UID: "s"})
	u := newHTTP2(HTTP2Options{})
	p := u.NewPool(s.Addr(), ProtocolHTTP2)
	q := &RelayedRequest{
		RequestMethod: "POST", Target: "/x", Host: "h", Header: http.Header{protocol.HeaderID: {"a"}}, ContentLength: 4,
		Body: retrybuffer.New(strings.NewReader("body"), 1000, nil), ResponseRules: &responseclass.Rules{}, MaxBufferedBytes: 1000, IdleTimeout: testkit.Patience, AnswerTimeout: testkit.Patience,
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	f := &flow{RelayedRequest: q}
	r := f.request(ctx, "http")
	if b, err := io.ReadAll(q.Body.NewReader()); err != nil || string(b) != "body" || !r.More {
		t.Fatalf("%q, %v, more %v", b, err, r.More)
	}
	c, _, err := u.sharedOf(p).take(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if f.s, err = c.Open(r, BodyWindowBytes, f.early); err != nil {
		t.Fatal(err)
	}
	defer context.AfterFunc(ctx, f.cutOff)()
	if o, _ := f.exchange(); o.Status != 200 || s.Tally.Runs("a") != 1 {
		t.Errorf("%+v, ran %d times", o, s.Tally.Runs("a"))
	}
	u.RetirePool(p)
}
