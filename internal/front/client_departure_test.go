package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/service"
	"lockflow/internal/testkit"
	"lockflow/internal/upstream"
)

// A client that sends two requests of more than net/http reads ahead at once and goes, while the first
// waits for its turn, has neither be sent on. net/http sees no more than the first byte of the second. The
// same goes for one that has sent as much as the sockets take: its end is not in the node's, which is full.
func TestDepartedClientBehindPipelinedRequestIsNotForwarded(t *testing.T) {
	const stays = "stays" // and is told that it was refused
	for _, class := range []control.Class{{Idempotency: control.Idempotent}, {Idempotency: control.IdempotencyKeyed, RepeatWindow: time.Minute}, {Idempotency: control.NotIdempotent}} {
		for how, leave := range map[string]func(*net.TCPConn){
			"closes": func(c *net.TCPConn) { c.Close() }, "half-closes": func(c *net.TCPConn) { c.CloseWrite() },
			"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, "floods and closes": func(c *net.TCPConn) { flood(c); c.Close() },
			"floods and half-closes": func(c *net.TCPConn) { flood(c); c.CloseWrite() }, "floods and " + stays: flood,
		} {
			t.Run(fmt.Sprint(how, " effect ", class.Idempotency), func(t *testing.T) {
				let := make(chan struct{})
				open := sync.OnceFunc(func() { close(let) })
				app := testkit.NewApp(t, func(w http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/job/f") {
						<-let
					}
					io.WriteString(w, "ok")
				})
				t.Cleanup(open) // before the server's end, which waits for it
				class.Name, class.LatencyObjective, class.Deadline, class.PriorityWeight = "job", time.Minute, time.Minute, 1
				ready := make(chan struct{})
				s, err := service.New(service.Options{
					AnyMethod: true, OnReady: func() { close(ready) },
					Settings: control.Settings{GroupSize: 1, MaxRetryAfter: time.Second, Plans: []control.Plan{{Name: "p", Price: 1, MaxInFlight: 2}}, Classes: []control.Class{class}},
					Source:   discovery.Source{Kind: discovery.Static, Servers: []discovery.Target{{UID: "s-1", Endpoint: app.Addr(), State: "up", Capacity: 1}}},
					Upstream: upstream.Options{Connect: time.Second, Keepalive: time.Minute, Sockets: limits.NewSocketLimiter(100)},
				})
				if err != nil {
					t.Fatal(err)
				}
				ctx, stop := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- s.Run(ctx) }()
				defer func() {
					stop()
					if err := <-ended; err != nil {
						t.Error(err)
					}
				}()
				testkit.Next(t, ready)
				to := Target{Service: s, Class: "job", MaxBodyBytes: 1 << 20}
				f := New(&RoutingTable{Targets: []Target{to}}, func() bool { return true })
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				srv := f.Server()
				go srv.Serve(ValidatingListener(limits.Listen(ctx, l, limits.NewSocketLimiter(100))))
				defer srv.Close()

				send := func(ids ...string) *net.TCPConn {
					c, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { c.Close() })
					var all strings.Builder
					for _, id := range ids {
						fmt.Fprintf(&all, "POST /job/%s?account=00000000b4d65521 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: p\r\n%s: 60000m\r\n%s: k-%s\r\nContent-Length: 9000\r\n\r\n%s",
							id, protocol.HeaderID, id, protocol.HeaderPlan, protocol.HeaderTimeLeft, protocol.HeaderKey, id, strings.Repeat("x", 9000))
					}
					if class.Idempotency == control.Idempotent { // such come without a body
						all.Reset()
						for _, id := range ids {
							fmt.Fprintf(&all, "GET /job/%s?account=00000000b4d65521 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: p\r\n%s: 60000m\r\nX-More: %s\r\n\r\n",
								id, protocol.HeaderID, id, protocol.HeaderPlan, protocol.HeaderTimeLeft, strings.Repeat("x", 9000))
						}
					}
					if _, err := io.WriteString(c, all.String()); err != nil {
						t.Fatal(err)
					}
					return c.(*net.TCPConn)
				}
				answered := func(c net.Conn) string {
					c.SetDeadline(time.Now().Add(testkit.Patience))
					b := make([]byte, len("HTTP/1.1 200"))
					io.ReadFull(c, b)
					return string(b)
				}
				first := []net.Conn{send("f0"), send("f1")} // all places
				testkit.Until(t, "two at the server", func() bool { return app.Count() == 2 })
				c := send("left", "behind")
				testkit.Until(t, "its turn's wait", func() bool { return s.Status().Requests == 3 })
				leave(c)
				testkit.Until(t, "its end to be there", func() bool {
					f.clients.mu.Lock()
					defer f.clients.mu.Unlock()
					n := 0
					for _, c := range f.clients.connections {
						if (sequentialClient{c}).There() {
							n++
						}
					}
					return n == 2
				})
				open()
				for _, c := range first {
					if got := answered(c); got != "HTTP/1.1 200" {
						t.Errorf("one before it: %q", got)
					}
				}
				testkit.Until(t, "its end", func() bool { return s.Status().Requests == 0 })
				if got := answered(send("next")); got != "HTTP/1.1 200" {
					t.Errorf("the next one: %q", got)
				}
				switch got := answered(c); {
				case strings.HasSuffix(how, stays) && got != "HTTP/1.1 503",
					strings.HasPrefix(got, "HTTP") && !strings.HasPrefix(how, "floods"), strings.HasSuffix(got, "200"):
					t.Errorf("who was not sent on was told %q", got)
				}
				if seen := strings.Join(app.Requests(), " "); strings.Contains(seen, "left") || strings.Contains(seen, "behind") {
					t.Errorf("the server saw %.200s", seen)
				}
			})
		}
	}
}

// flood sends as much as the sockets take.
func flood(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for more := true; more; {
		_ = raw.Control(func(fd uintptr) {
			_, err := syscall.Write(int(fd), make([]byte, 1<<16))
			more = err == nil
		})
	}
}

// A client that leaves while its request is held is noticed at once however it asked, also long after the
// time that a request has to come, and one that stays is not taken to have left.
func TestClientDepartureIsNoticed(t *testing.T) {
	const get, post = "GET /read?account=0000000000000001 HTTP/1.", "POST /write?account=0000000000000001 HTTP/1.1\r\n" + requestHeaders
	long := strings.Repeat("x", 1<<16)
	for name, parts := range map[string][]string{
		"plain":             {get + "1\r\n" + requestHeaders + "\r\n"},
		"HTTP/1.0":          {get + "0\r\n" + requestHeaders + "\r\n"},
		"kept HTTP/1.0":     {get + "0\r\nConnection: keep-alive\r\n" + requestHeaders + "\r\n"},
		"closes":            {get + "1\r\nConnection: close\r\n" + requestHeaders + "\r\n"},
		"no body":           {post + "Content-Length: 0\r\n\r\n"},
		"a long body":       {post + "Content-Length: 65536\r\n\r\n" + long},
		"a body in pieces":  {post + "Content-Length: 65536\r\n\r\n" + long[:1], long[1:40000], long[40000:]},
		"expects to go on":  {post + "Expect: 100-continue\r\nContent-Length: 65536\r\n\r\n", long},
		"expects, no pause": {post + "Expect: 100-continue\r\nContent-Length: 65536\r\n\r\n" + long},
	} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", late ", late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m, _, s, stop := startFront(t, keepQueued, nil, nil)
					defer stop()
					c := m.dial()
					defer c.Close()
					go io.Copy(io.Discard, c) // it takes what it is told
					for _, p := range parts {
						io.WriteString(c, p)
						synctest.Wait()
					}
					if s.Status().Unanswered != 1 {
						t.Fatalf("%+v", s.Status())
					}
					if late {
						time.Sleep(3 * requestReadTimeout)
						if s.Status().Unanswered != 1 {
							t.Error("taken to have left")
						}
					}
					c.Close()
					if synctest.Wait(); s.Status().Unanswered != 0 {
						t.Error("it still waits")
					}
				})
			})
		}
	}
}
