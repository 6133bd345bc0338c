package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/testkit"
)

// Near the descriptor limit an idle client connection is evicted for a new one.
func TestIdleClientIsEvictedAtDescriptorLimit(t *testing.T) {
	r := newTestNode(t)
	r.setEndpoints(discovery.Endpoint{UID: "s-1", Address: "127.0.0.1:1", State: "up"})
	r.waitUntil("ready", r.node.isReady)
	r.node.limiter.(*exclusiveLimiter).sockets.SetLimit(limits.ReservedForServers + 2) // one client and one more that is being accepted
	for range 3 {
		c, err := net.Dial("tcp", r.node.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
		io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("/healthz: answer %v, error %v, want 200", resp, err)
		}
	}
}

// dial opens a raw connection to the node.
func (r *testNode) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.node.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	return c
}

// readStatuses reads answers from a raw connection until it is closed and returns their statuses.
func readStatuses(t *testing.T, c net.Conn) []int {
	t.Helper()
	var got []int
	for in := bufio.NewReader(c); ; {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
				t.Fatalf("the connection is still open after answers %v", got)
			}
			return got
		}
		io.Copy(io.Discard, resp.Body)
		got = append(got, resp.StatusCode)
	}
}

const validHeaders = protocol.HeaderID + ": raw\r\n" + protocol.HeaderPlan + ": enterprise\r\n" + protocol.HeaderTimeLeft + ": 7000m\r\n" + protocol.HeaderIdempotencyKey + ": k\r\n"

// Guards against request smuggling: a request hidden in a body, or after a body whose length is ambiguous, does not reach
// an app server. The client gets one answer and its connection is closed.
func TestSmuggledRequestsAreNotForwarded(t *testing.T) {
	r := newTestNode(t)
	app := testkit.NewApp(t, testkit.AnswerServed)
	r.setEndpoints(endpointOf(app, "s-1", 0))
	const post = "POST /visit-update?account=00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\n" + validHeaders
	smuggled := strings.ReplaceAll(strings.Replace(post, "POST /visit-update", "GET /roster-read", 1), "raw", "hidden") + "\r\n"
	for name, tc := range map[string]struct {
		text string
		want int
	}{
		"length and chunks":  {post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, 411},
		"chunks and length":  {post + "Transfer-Encoding: chunked\r\nContent-Length: " + strconv.Itoa(5+len(smuggled)) + "\r\n\r\n0\r\n\r\n" + smuggled, 411},
		"chunks":             {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, 411},
		"two lengths":        {post + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n" + smuggled, 400},
		"negative length":    {post + "Content-Length: -1\r\n\r\n" + smuggled, 400},
		"huge length":        {post + "Content-Length: 60000000\r\n\r\n" + smuggled, 413},
		"overflowing length": {post + "Content-Length: 99999999999999999999\r\n\r\n" + smuggled, 400},
		"no head":            {"\x00\x01 noise\r\n\r\n" + smuggled, 400},
	} {
		t.Run(name, func(t *testing.T) {
			c := r.dial()
			io.WriteString(c, tc.text)
			if got := readStatuses(t, c); len(got) != 1 || got[0] != tc.want {
				t.Errorf("statuses of the answers: %v, want one answer", got)
			}
		})
	}
	if n := app.Count(); n > 0 {
		t.Errorf("forwarded to the app server: %q", app.Requests())
	}
}

// When clients that send nothing use all descriptors, a client with a request is still served, and connections to app
// servers stay open.
func TestSilentClientsAreEvicted(t *testing.T) {
	r := newTestNode(t)
	r.node.limiter.(*exclusiveLimiter).sockets.SetLimit(limits.ReservedForServers + 20)
	app := testkit.NewApp(t, testkit.AnswerServed)
	r.setEndpoints(endpointOf(app, "s-1", 0))
	r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
	for range 60 {
		r.dial()
	}
	for id := range 3 {
		c := r.dial()
		io.WriteString(c, strings.Replace("GET /roster-read?account=00000000b4d65521 HTTP/1.1\r\nHost: o\r\nConnection: close\r\n"+validHeaders+"\r\n", "raw", "after-"+strconv.Itoa(id), 1))
		if got := readStatuses(t, c); len(got) != 1 || got[0] != 200 {
			t.Errorf("statuses of the answers: %v, want one answer", got)
		}
	}
	if s := r.status(); s.IdleConnections != app.Dials() {
		t.Errorf("%d connections to the app server were opened and %d are idle: others were closed for silent clients", app.Dials(), s.IdleConnections)
	}
}
