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
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upstream"
)

// disconnects lists the ways in which a client closes its connection, or fills the receive buffer without closing.
var disconnects = []struct {
	name           string
	apply          func(*net.TCPConn)
	hidesClose     bool // the client's unread input hides its close
	staysConnected bool // the client stays connected and waits for an answer
}{
	{name: "closes", apply: func(c *net.TCPConn) { c.Close() }},
	{name: "half-closes", apply: func(c *net.TCPConn) { c.CloseWrite() }},
	{name: "resets", apply: func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	{name: "floods and closes", apply: func(c *net.TCPConn) { flood(c); c.Close() }, hidesClose: true},
	{name: "floods and half-closes", apply: func(c *net.TCPConn) { flood(c); c.CloseWrite() }, hidesClose: true},
	{name: "floods and stays", apply: flood, hidesClose: true, staysConnected: true},
}

// A client sends two requests, the first of which is longer than the read buffer of net/http, and disconnects
// while the first is queued. Neither request may be forwarded, although net/http reads only the first byte of
// the second. The same holds for a client that has filled the receive buffer, which hides its close.
func TestRequestsOfDisconnectedPipeliningClientAreNotForwarded(t *testing.T) {
	for _, class := range []control.Class{
		{Idempotency: control.Idempotent},
		{Idempotency: control.IdempotentWithKey, RepeatWindow: time.Minute},
		{Idempotency: control.NotIdempotent},
	} {
		for _, disconnect := range disconnects {
			t.Run(fmt.Sprint(disconnect.name, ", idempotency ", class.Idempotency), func(t *testing.T) {
				node := startTestNode(t, class)
				first := []net.Conn{node.send("f0"), node.send("f1")} // use up the plan's in-flight quota
				testkit.Until(t, "arrival of two requests at the server", func() bool { return node.app.Count() == 2 })
				client := node.send("left", "behind")
				testkit.Until(t, "queueing of the client's request", func() bool { return node.service.Status().Requests == 3 })
				disconnect.apply(client)
				testkit.Until(t, "detection of the disconnect", func() bool { return node.waitingClients() == 2 })
				node.openGate()
				for _, conn := range first {
					if got := readStatusLine(conn); got != "HTTP/1.1 200" {
						t.Errorf("answer to an earlier request: %q, want HTTP/1.1 200", got)
					}
				}
				testkit.Until(t, "end of all requests", func() bool { return node.service.Status().Requests == 0 })
				if got := readStatusLine(node.send("next")); got != "HTTP/1.1 200" {
					t.Errorf("answer to the next request: %q, want HTTP/1.1 200", got)
				}
				switch got := readStatusLine(client); {
				case disconnect.staysConnected && got != "HTTP/1.1 503",
					strings.HasPrefix(got, "HTTP") && !disconnect.hidesClose, strings.HasSuffix(got, "200"):
					t.Errorf("answer to the client whose requests must not be forwarded: %q", got)
				}
				if received := strings.Join(node.app.Requests(), " "); strings.Contains(received, "left") || strings.Contains(received, "behind") {
					t.Errorf("requests at the server: %.200s; those of the disconnected client must not be among them", received)
				}
			})
		}
	}
}

// testNode is a front with a service that has an in-flight quota of two and one server. The server answers
// requests whose IDs begin with "f" only after openGate is called.
type testNode struct {
	t        *testing.T
	class    control.Class
	app      *testkit.App
	openGate func()
	service  *service.Service
	front    *Front
	address  string
}

func startTestNode(t *testing.T, class control.Class) *testNode {
	t.Helper()
	gate := make(chan struct{})
	n := &testNode{t: t, openGate: sync.OnceFunc(func() { close(gate) })}
	n.app = testkit.NewApp(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/job/f") {
			<-gate
		}
		io.WriteString(w, "ok")
	})
	t.Cleanup(n.openGate) // runs before the shutdown of the server, which waits for its handlers
	class.Name, class.LatencyObjective, class.Deadline, class.PriorityWeight = "job", time.Minute, time.Minute, 1
	n.class = class
	n.startService()
	n.startFront()
	return n
}

// startService runs the service until the test ends.
func (n *testNode) startService() {
	n.t.Helper()
	ready := make(chan struct{})
	settings := control.Settings{
		GroupSize: 1, MaxRetryAfter: time.Second,
		Plans: []control.Plan{{Name: "p", Price: 1, MaxInFlight: 2}}, Classes: []control.Class{n.class},
	}
	server := discovery.Endpoint{UID: "s-1", Address: n.app.Addr(), State: "up", Capacity: 1}
	s, err := service.New(service.Options{
		AnyMethod: true, OnReady: func() { close(ready) }, Settings: settings,
		Source:   discovery.Source{Kind: discovery.Static, Endpoints: []discovery.Endpoint{server}},
		Upstream: upstream.Options{ConnectTimeout: time.Second, KeepAliveTimeout: time.Minute, SocketLimiter: limits.NewSocketLimiter(100)},
	})
	if err != nil {
		n.t.Fatal(err)
	}
	n.service = s
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	n.t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			n.t.Error(err)
		}
	})
	testkit.Next(n.t, ready)
}

// startFront serves clients until the test ends.
func (n *testNode) startFront() {
	n.t.Helper()
	target := Target{Service: n.service, Class: "job", MaxBodyBytes: 1 << 20}
	n.front = New(&RoutingTable{Targets: []Target{target}}, func() bool { return true })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.address = listener.Addr().String()
	server := n.front.Server()
	ctx, stop := context.WithCancel(context.Background())
	go server.Serve(ValidatingListener(limits.Listen(ctx, listener, limits.NewSocketLimiter(100))))
	n.t.Cleanup(func() { server.Close(); stop() })
}

// send sends one request for each ID on a new connection.
func (n *testNode) send(ids ...string) *net.TCPConn {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.address)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { conn.Close() })
	var requests strings.Builder
	for _, id := range ids {
		requests.WriteString(n.request(id))
	}
	if _, err := io.WriteString(conn, requests.String()); err != nil {
		n.t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

// request returns a request with a body of 9000 bytes, or with a header of that size if the node's class allows no body.
func (n *testNode) request(id string) string {
	long := strings.Repeat("x", 9000)
	if n.class.Idempotency == control.Idempotent {
		return fmt.Sprintf("GET /job/%s?account=00000000b4d65521 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: p\r\n%s: 60000m\r\nX-More: %s\r\n\r\n",
			id, protocol.HeaderID, id, protocol.HeaderPlan, protocol.HeaderTimeLeft, long)
	}
	return fmt.Sprintf("POST /job/%s?account=00000000b4d65521 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: p\r\n%s: 60000m\r\n%s: k-%s\r\nContent-Length: 9000\r\n\r\n%s",
		id, protocol.HeaderID, id, protocol.HeaderPlan, protocol.HeaderTimeLeft, protocol.HeaderIdempotencyKey, id, long)
}

// waitingClients returns the number of clients that the front considers connected.
func (n *testNode) waitingClients() int {
	n.front.clients.mu.Lock()
	defer n.front.clients.mu.Unlock()
	count := 0
	for _, c := range n.front.clients.connections {
		if (sequentialClient{c}).IsWaiting() {
			count++
		}
	}
	return count
}

// readStatusLine reads the first bytes of an answer, up to the length of "HTTP/1.1 200". Missing bytes are zero.
func readStatusLine(conn net.Conn) string {
	conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	line := make([]byte, len("HTTP/1.1 200"))
	io.ReadFull(conn, line)
	return string(line)
}

// flood writes until the socket buffers are full.
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

// While a request is queued, a disconnect of its client is detected at once, whatever the form of the request
// and also long after the read timeout. A client that stays connected is not considered disconnected.
func TestClientDisconnectIsDetected(t *testing.T) {
	const get, post = "GET /read?account=0000000000000001 HTTP/1.", "POST /write?account=0000000000000001 HTTP/1.1\r\n" + requestHeaders
	long := strings.Repeat("x", 1<<16)
	for name, parts := range map[string][]string{
		"plain":                {get + "1\r\n" + requestHeaders + "\r\n"},
		"HTTP/1.0":             {get + "0\r\n" + requestHeaders + "\r\n"},
		"HTTP/1.0 keep-alive":  {get + "0\r\nConnection: keep-alive\r\n" + requestHeaders + "\r\n"},
		"closes":               {get + "1\r\nConnection: close\r\n" + requestHeaders + "\r\n"},
		"no body":              {post + "Content-Length: 0\r\n\r\n"},
		"long body":            {post + "Content-Length: 65536\r\n\r\n" + long},
		"body in pieces":       {post + "Content-Length: 65536\r\n\r\n" + long[:1], long[1:40000], long[40000:]},
		"Expect, body later":   {post + "Expect: 100-continue\r\nContent-Length: 65536\r\n\r\n", long},
		"Expect, body at once": {post + "Expect: 100-continue\r\nContent-Length: 65536\r\n\r\n" + long},
	} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", late ", late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testDisconnect(t, parts, late) })
			})
		}
	}
}

// testDisconnect sends a request in parts, and disconnects at once or, if late is set, long after the read timeout.
func testDisconnect(t *testing.T, parts []string, isLate bool) {
	listener, _, service, stop := startFront(t, keepQueued, nil, nil)
	defer stop()
	client := listener.dial()
	defer client.Close()
	go io.Copy(io.Discard, client) // the client reads what the server sends
	for _, p := range parts {
		io.WriteString(client, p)
		synctest.Wait()
	}
	if service.Status().Unanswered != 1 {
		t.Fatalf("status %+v, want 1 unanswered request", service.Status())
	}
	if isLate {
		time.Sleep(3 * requestReadTimeout)
		if service.Status().Unanswered != 1 {
			t.Error("the connected client was considered disconnected")
		}
	}
	client.Close()
	if synctest.Wait(); service.Status().Unanswered != 0 {
		t.Error("the request of the disconnected client is still unanswered")
	}
}
