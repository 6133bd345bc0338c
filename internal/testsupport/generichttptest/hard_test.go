package generichttptest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testkit"
)

// dial connects to a node. The connection is closed when the test ends.
func dial(t testing.TB, o *testbench.GenericHTTP) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", o.Node.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	return c, bufio.NewReader(c)
}

// writeRequestHead writes the head of a request with a script for the origin.
func writeRequestHead(c net.Conn, method, script string, fields ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n", method, fake.HeaderScript, script)
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	io.WriteString(c, b.String()+"\r\n")
}

func readResponse(t testing.TB, in *bufio.Reader) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// waitUntilIdle waits until the node has no requests, streams or buffered bytes.
func waitUntilIdle(t testing.TB, o *testbench.GenericHTTP) {
	t.Helper()
	testkit.Until(t, "the node is idle", func() bool {
		st := o.Node.Status()[0]
		return st.Requests == 0 && st.Resources.Requests.Used == 0 && st.Resources.BufferedBytes.Used == 0 && st.OpenStreams == 0
	})
}

type requestLog struct {
	mu       sync.Mutex
	requests []fake.Request
}

func (r *requestLog) record(q fake.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

func (r *requestLog) list() []fake.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]fake.Request(nil), r.requests...)
}

// An answer of 404 does not count as a failure of the server, so each of 200 requests is answered 404 after one attempt.
func TestNotFoundIsNotAServerFailure(t *testing.T) {
	var attemptCounts [2]atomic.Int64
	var origins []*fake.Origin
	for i := range 2 {
		origins = append(origins, &fake.Origin{OnRequest: func(fake.Request) { attemptCounts[i].Add(1) }})
	}
	o := startNode(t, origins...)
	c, in := dial(t, o)
	for range 200 {
		writeRequestHead(c, "GET", "status=404&body=3")
		r := readResponse(t, in)
		io.Copy(io.Discard, r.Body)
		if r.StatusCode != 404 {
			t.Fatal(r.Status)
		}
	}
	if a, b := attemptCounts[0].Load(), attemptCounts[1].Load(); a+b != 200 {
		t.Errorf("%d and %d attempts for 200 requests, want 200 in total", a, b)
	}
}

// A server may answer before it has read the request's body and continue reading. The client must receive the complete
// answer while it is still sending.
func TestEarlyAnswer(t *testing.T) {
	var received requestLog
	o := startNode(t, &fake.Origin{OnRequest: received.record})
	c, in := dial(t, o)
	const n = 1 << 20
	writeRequestHead(c, "POST", "early=1&body=100000&frame=chunked", fmt.Sprintf("Content-Length: %d", n))
	io.CopyN(c, fake.PatternReader(n), n/2)
	r := readResponse(t, in)
	got, err := io.ReadAll(r.Body) // the complete answer, while half of the request's body has not been sent
	if err != nil || r.StatusCode != 200 || len(got) != 100000 {
		t.Fatalf("got status %s, %d bytes, error %v, want 200 with 100000 bytes", r.Status, len(got), err)
	}
	waitUntilIdle(t, o)
}

// If an answer that is too long to be buffered breaks before any part of it was forwarded, the client receives 502 and its
// connection remains usable. If the answer breaks later, the client's connection is closed.
func TestLongAnswerAborted(t *testing.T) {
	o := startNode(t, &fake.Origin{})
	c, in := dial(t, o)
	for _, cut := range []int{400, 1501, 3000} {
		writeRequestHead(c, "POST", fmt.Sprintf("body=200000&cut=%d", cut), "Content-Length: 0")
		if r := readResponse(t, in); r.StatusCode != 502 || r.Close {
			t.Fatalf("cut at %d: got status %s, close %v, want 502 on a connection that remains open", cut, r.Status, r.Close)
		} else if body, err := io.ReadAll(r.Body); err != nil || strings.Contains(string(body), "\x00") || r.Header.Get("X-Origin") != "" {
			t.Errorf("cut at %d: got body %q, error %v, header %v, want the node's own answer", cut, body, err, r.Header)
		}
	}
	writeRequestHead(c, "POST", "body=200000&cut=100000", "Content-Length: 0")
	if r := readResponse(t, in); r.StatusCode != 200 {
		t.Error(r.Status)
	} else if n, err := io.Copy(io.Discard, r.Body); err == nil || n >= 200000 {
		t.Errorf("got %d bytes, error %v, want an error before 200000 bytes", n, err)
	}
	waitUntilIdle(t, o)
}

// A final answer received during an upload is forwarded immediately, and the rest of the upload is not read.
func TestAnswerDuringUpload(t *testing.T) {
	var received requestLog
	o := startNode(t, &fake.Origin{OnRequest: received.record})
	for _, status := range []int{413, 401} {
		c, in := dial(t, o)
		writeRequestHead(c, "PUT", fmt.Sprintf("status=%d&body=9&unread=1", status), "Content-Length: 2000000000")
		sent := make(chan int64)
		go func() {
			n, _ := io.Copy(c, fake.PatternReader(2000000000))
			sent <- n
		}()
		r := readResponse(t, in)
		if got, err := io.ReadAll(r.Body); r.StatusCode != status || len(got) != 9 || err != nil || !r.Close {
			t.Errorf("got status %s, body %q, error %v, close %v", r.Status, got, err, r.Close)
		}
		if n := testkit.Next(t, sent); n >= 2000000000 {
			t.Error("the complete upload was read")
		}
	}
	waitUntilIdle(t, o)
	if n := len(received.list()); n != 2 {
		t.Errorf("got %d attempts, want 2", n)
	}
}

// An upload that its client aborts must not look complete to a server, must not be retried, and leaves nothing reserved.
func TestAbortedUpload(t *testing.T) {
	var received requestLog
	o := startNode(t, &fake.Origin{OnRequest: received.record})
	for _, tc := range []struct{ framing, body string }{
		{"Transfer-Encoding: chunked", "5\r\nhello\r\n"},
		{"Transfer-Encoding: chunked", "5\r\nhello\r\n5\r\nhe"},
		{"Content-Length: 1000000", strings.Repeat("x", 200000)},
		{"Transfer-Encoding: chunked", "5\r\nhello\r\nno size\r\n"},
	} {
		c, in := dial(t, o)
		writeRequestHead(c, "POST", "body=5", tc.framing)
		io.WriteString(c, tc.body)
		c.(*net.TCPConn).CloseWrite()
		if r, err := http.ReadResponse(in, nil); err == nil && r.StatusCode != 400 {
			t.Errorf("%s: got status %s, want 400 or a closed connection", tc.framing, r.Status)
		}
		c.Close()
	}
	waitUntilIdle(t, o)
	for _, r := range received.list() {
		if r.IsComplete {
			t.Errorf("a server received an aborted upload of %d bytes as complete", r.Bytes)
		}
	}
	if n := len(received.list()); n > 4 {
		t.Errorf("%d attempts for 4 requests", n)
	}
}

// A server resets the connection during an upload. If more than the retry buffer was sent, there must be no retry, even if
// the class permits it. If less was sent, a request that may be repeated is retried at another server.
func TestResetDuringUpload(t *testing.T) {
	var received requestLog
	o := startNode(t, &fake.Origin{OnRequest: received.record}, &fake.Origin{OnRequest: received.record})
	for _, tc := range []struct {
		method   string
		at       int
		attempts int
	}{{"POST", 1 << 20, 1}, {"OPTIONS", 1 << 20, 1}, {"POST", 100, 1}, {"OPTIONS", 100, 2}} {
		before := len(received.list())
		c, in := dial(t, o)
		writeRequestHead(c, tc.method, fmt.Sprintf("reset=%d", tc.at), "Transfer-Encoding: chunked")
		if tc.at < 1000 {
			fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", 2000, strings.Repeat("x", 2000))
		} else {
			go func() {
				for i := 0; i < 100; i++ {
					if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", 1<<16, strings.Repeat("x", 1<<16)); err != nil {
						return
					}
				}
			}()
		}
		r := readResponse(t, in)
		if r.StatusCode != 502 {
			t.Errorf("%s: got status %s, want 502", tc.method, r.Status)
		}
		c.Close()
		waitUntilIdle(t, o)
		if n := len(received.list()) - before; tc.attempts == 1 && n != 1 || n < tc.attempts {
			t.Errorf("%s reset at %d: got %d attempts, want %d", tc.method, tc.at, n, tc.attempts)
		}
	}
}

const shortDeadline = "[classes.read]\naim = \"100ms\"\ndeadline = \"300ms\"\nrepeats = \"free\"\n[[routes]]\nservice = \"app\"\nupgrade = [\"echo\"]\n"

// A deadline applies up to the first byte of an answer: an event stream continues after it, and each event is forwarded
// immediately.
func TestEventsBeyondTheDeadline(t *testing.T) {
	o := startNodeWithConfig(t, "", "", shortDeadline, &fake.Origin{})
	c, in := dial(t, o)
	startedAt := time.Now()
	writeRequestHead(c, "GET", "type=text/event-stream&frame=chunked&body=20480&every=50ms")
	r := readResponse(t, in)
	first := make([]byte, 1024)
	if _, err := io.ReadFull(r.Body, first); err != nil {
		t.Fatal(err)
	}
	firstPartDelay := time.Since(startedAt)
	rest, err := io.ReadAll(r.Body)
	if duration := time.Since(startedAt); err != nil || len(rest) != 19*1024 || duration < 900*time.Millisecond || firstPartDelay > duration/2 {
		t.Errorf("got %d bytes, error %v, first part after %v of %v", len(rest), err, firstPartDelay, duration)
	}
	writeRequestHead(c, "GET", "silent=1")
	if r := readResponse(t, in); r.StatusCode != 504 {
		t.Errorf("server without answer: got status %s, want 504", r.Status)
	}
}

// A client that waits for 100 (Continue) receives it after a delay even if the server never sends it, unless the server
// sends a final answer first.
func TestExpect(t *testing.T) {
	var received requestLog
	o := startNode(t, &fake.Origin{OnRequest: received.record})
	for script, want := range map[string]string{"body=5": "100", "never100=1&body=5": "100", "unread=1&status=413&body=0": "413"} {
		c, in := dial(t, o)
		writeRequestHead(c, "PUT", script, "Expect: 100-continue", "Content-Length: 100000")
		r := readResponse(t, in)
		if fmt.Sprint(r.StatusCode) != want {
			t.Errorf("%s: got first status %s", script, r.Status)
		}
		if r.StatusCode != 100 {
			continue
		}
		io.Copy(c, fake.PatternReader(100000))
		if r = readResponse(t, in); r.StatusCode != 200 {
			t.Errorf("%s: got final status %s, want 200", script, r.Status)
		}
	}
	for _, r := range received.list() {
		if r.IsComplete && r.Hash != fake.HashOf(100000) {
			t.Errorf("a server received a complete body of %d bytes with wrong content", r.Bytes)
		}
	}
	c, in := dial(t, o)
	writeRequestHead(c, "PUT", "", "Expect: tea", "Content-Length: 1")
	if r := readResponse(t, in); r.StatusCode != 417 {
		t.Errorf("Expect: tea: got status %s, want 417", r.Status)
	}
}

// Bytes that a server sends after its answer must not become the answer of another request, and a malformed response is
// answered with 502.
func TestMalformedResponses(t *testing.T) {
	o := startNode(t, &fake.Origin{})
	c, in := dial(t, o)
	for i, tc := range []struct {
		script string
		status int
	}{
		{"twice=1&body=9", 200},
		{"body=7", 200},
		{"frame=chunked&trailer=announced&body=9", 200},
		{"raw=HTTP/1.1 200 OK%0D%0AContent-Length: 5%0D%0ATransfer-Encoding: chunked%0D%0A%0D%0A0%0D%0A%0D%0A", 502},
		{"raw=HTTP/1.1 200 OK%0D%0AA: b%0D%0A c%0D%0AContent-Length: 0%0D%0A%0D%0A", 502},
		{"raw=HTTP/1.1 200 OK%0D%0AContent-Length: 5%0D%0AContent-Length: 6%0D%0A%0D%0Ahellox", 502},
		{"raw=HTTP/1.1 101 Switching Protocols%0D%0AUpgrade: x%0D%0A%0D%0A", 502},
		{"raw=noise", 502},
		{"cut=40&body=10", 502},
		{"body=7", 200},
	} {
		writeRequestHead(c, "POST", strings.ReplaceAll(tc.script, " ", "+"), "Content-Length: 0")
		r := readResponse(t, in)
		b, err := io.ReadAll(r.Body)
		if r.StatusCode != tc.status || err != nil {
			t.Errorf("%d %s: got status %s, error %v, want %d", i, tc.script, r.Status, err, tc.status)
		}
		if r.StatusCode == 200 && len(b) != 9 && len(b) != 7 {
			t.Errorf("%d %s: got %d bytes, want 7 or 9", i, tc.script, len(b))
		}
	}
}

// An ambiguous or malformed request (request smuggling) is rejected before any of it reaches a server.
func TestAmbiguousRequests(t *testing.T) {
	var received requestLog
	o := startNode(t, &fake.Origin{OnRequest: received.record})
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c: d\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\rC: d\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"GET /a/../b HTTP/1.1\r\nHost: h\r\n\r\n", "GET /%2e%2e/b HTTP/1.1\r\nHost: h\r\n\r\n",
		"TRACE / HTTP/1.1\r\nHost: h\r\n\r\n", "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n", "G ET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		c, in := dial(t, o)
		io.WriteString(c, text)
		r := readResponse(t, in)
		if r.StatusCode < 400 || r.StatusCode > 501 {
			t.Errorf("%q: got status %s, want 400 to 501", text, r.Status)
		}
		c.Close()
	}
	if l := received.list(); len(l) > 0 {
		t.Errorf("a server received %+v", l)
	}
}

// The node's own error answers describe the error in the content type that the client accepts; a 503 has a Retry-After.
func TestGeneratedAnswers(t *testing.T) {
	stoppedOrigin := &fake.Origin{}
	o := startNode(t, stoppedOrigin)
	stoppedOrigin.Close()
	for accept, kind := range map[string]string{"*/*": "text/plain; charset=utf-8", "application/json": "application/problem+json"} {
		c, in := dial(t, o)
		writeRequestHead(c, "GET", "", "Accept: "+accept)
		r := readResponse(t, in)
		b, _ := io.ReadAll(r.Body)
		if r.Header.Get("Content-Type") != kind || r.StatusCode != 502 && r.StatusCode != 503 || len(b) < 20 {
			t.Errorf("%s: got status %s, header %v, body %q", accept, r.Status, r.Header, b)
		}
		if r.StatusCode == 503 && r.Header.Get("Retry-After") != "1" {
			t.Errorf("got Retry-After %q, want 1", r.Header.Get("Retry-After"))
		}
	}
}

// openTunnel opens a tunnel to an echo server and checks that it echoes.
func openTunnel(t testing.TB, o *testbench.GenericHTTP) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, in := dial(t, o)
	writeRequestHead(c, "GET", "upgrade=1", "Connection: Upgrade", "Upgrade: echo")
	if r := readResponse(t, in); r.StatusCode != 101 || r.Header.Get("Upgrade") != "echo" {
		t.Fatalf("got status %s, header %v, want 101 with the protocol echo", r.Status, r.Header)
	}
	requireEcho(t, c, in, "\r\r\nanything\x00")
	return c, in
}

func requireEcho(t testing.TB, c net.Conn, in *bufio.Reader, text string) {
	t.Helper()
	io.WriteString(c, text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(in, got); err != nil || string(got) != text {
		t.Fatalf("got echo %q, error %v", got, err)
	}
}

func TestTunnel(t *testing.T) {
	var received requestLog
	o := startNode(t, &fake.Origin{OnRequest: received.record})
	c, in := openTunnel(t, o)
	if st := o.Node.Status()[0]; st.OpenStreams != 1 || st.AttemptsInFlight != 1 || st.Resources.Requests.Used != 1 {
		t.Errorf("status with one open tunnel: %+v", st)
	}
	c.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Errorf("after the end of the tunnel: got %q, error %v", rest, err)
	}
	waitUntilIdle(t, o)
	// An upgrade to a protocol that the route does not allow is not forwarded.
	c, in = dial(t, o)
	writeRequestHead(c, "GET", "body=3", "Connection: Upgrade", "Upgrade: h2c")
	if r := readResponse(t, in); r.StatusCode != 200 {
		t.Error(r.Status)
	}
	for _, r := range received.list() {
		if r.Header.Get("Upgrade") == "h2c" {
			t.Error("the upgrade to h2c was forwarded")
		}
	}
}

// Open streams and tunnels survive a reload that replaces their service. A drain lets them continue until its timeout, then
// closes them.
func TestReloadAndDrainWithStreams(t *testing.T) {
	const streams, tunnels = 200, 50
	// Tunnels are opened first, since each counts as an attempt in flight for the module's concurrency limit until it is
	// established.
	process := "descriptors = 4096\ndrain = { idle = \"0s\", accept = \"0s\", most = \"700ms\" }\nclients = 800\nbytes = \"256MiB\""
	o, err := testbench.StartGenericHTTP([]*fake.Origin{{}, {}}, process, "", "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := o.Stop(); err != nil {
			t.Error(err)
		}
	}()
	testkit.Until(t, "ready", func() bool { return o.Node.Status()[0].Ready })
	type openConn struct {
		c  net.Conn
		in *bufio.Reader
	}
	var echo, events []openConn
	for range tunnels {
		c, in := openTunnel(t, o)
		echo = append(echo, openConn{c, in})
	}
	for range streams {
		c, in := dial(t, o)
		writeRequestHead(c, "GET", "type=text/event-stream&frame=chunked&body=100000000&every=20ms")
		if r := readResponse(t, in); r.StatusCode != 200 {
			t.Fatal(r.Status)
		}
		events = append(events, openConn{c, in})
	}
	if st := o.Node.Status()[0]; st.OpenStreams != streams+tunnels {
		t.Errorf("got %d open streams", st.OpenStreams)
	}
	cfg, err := o.Config(process, "attempts = 4", "")
	if err == nil {
		err = o.Node.Reload(cfg)
	}
	if err != nil {
		t.Fatal(err)
	}
	if n := len(o.Node.RetiredServices()); n != 1 {
		t.Errorf("got %d retired services, want 1", n)
	}
	for i, e := range echo {
		requireEcho(t, e.c, e.in, fmt.Sprint("after the reload ", i))
	}
	p := make([]byte, 1024)
	for _, e := range events {
		if _, err := io.ReadFull(e.in, p); err != nil {
			t.Fatal(err)
		}
	}
	o.Drain()
	for i, e := range echo {
		requireEcho(t, e.c, e.in, fmt.Sprint("while it drains ", i))
	}
	if err := o.Stop(); err != nil {
		t.Error(err)
	}
	for _, e := range events {
		if _, err := io.Copy(io.Discard, e.in); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Error(err)
		}
	}
}

// A client that reads slowly delays only its own answer, and little of that answer is buffered.
func TestSlowReader(t *testing.T) {
	o := startNode(t, &fake.Origin{})
	slow, in := dial(t, o)
	slow.(*net.TCPConn).SetReadBuffer(4 << 10)
	writeRequestHead(slow, "GET", "body=10000000000")
	readResponse(t, in)
	c, other := dial(t, o)
	for range 300 {
		writeRequestHead(c, "GET", "body=5")
		r := readResponse(t, other)
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.StatusCode != 200 {
			t.Fatal(r.Status, err)
		}
	}
	if st := o.Node.Status()[0]; st.OpenStreams != 1 || st.Resources.BufferedBytes.Used > 1<<20 {
		t.Errorf("got %d open streams, want 1; %d bytes buffered, want at most 1 MiB", st.OpenStreams, st.Resources.BufferedBytes.Used)
	}
	slow.Close()
	waitUntilIdle(t, o)
}

// Streams that are past their deadline are closed when another service needs its guaranteed resources.
func TestStreamsAreEvicted(t *testing.T) {
	long, short := &fake.Origin{}, &fake.Origin{}
	if err := short.Start(); err != nil {
		t.Fatal(err)
	}
	defer short.Close()
	services := fmt.Sprintf(`[classes.read]
aim = "300ms"
deadline = "300ms"
repeats = "free"
[classes.patient]
aim = "5s"
deadline = "10s"
repeats = "free"
[services.other]
source = { kind = "static", servers = [{ endpoint = %q }] }
guaranteed = { held = 10 }
[[routes]]
service = "app"
prefix = "/x"
[[routes]]
service = "other"
prefix = "/other"
as = "patient"
`, short.Addr())
	o := startNodeWithConfig(t, "held = 20\ndrain = { idle = \"0s\", accept = \"0s\", most = \"300ms\" }", "guaranteed = { held = 5 }", services, long)
	var open []net.Conn
	for range 40 {
		c, in := dial(t, o)
		writeRequestHead(c, "GET", "type=text/event-stream&frame=chunked&body=100000000&every=20ms")
		if r, err := http.ReadResponse(in, nil); err == nil && r.StatusCode == 200 {
			open = append(open, c)
		}
	}
	if len(open) < 6 {
		t.Fatalf("only %d streams were opened, want at least 6", len(open))
	}
	countServed := func() (n int) {
		var clients sync.WaitGroup
		var servedCount atomic.Int64
		for range 10 {
			clients.Go(func() {
				c, err := net.Dial("tcp", o.Node.Addr())
				if err != nil {
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
				fmt.Fprintf(c, "GET /other HTTP/1.1\r\nHost: h\r\n%s: wait=50ms&body=1\r\n\r\n", fake.HeaderScript)
				if r, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && r.StatusCode == 200 {
					servedCount.Add(1)
				}
			})
		}
		clients.Wait()
		return int(servedCount.Load())
	}
	if n := countServed(); n == 10 {
		t.Error("the other service's guaranteed resources were all free: the streams used none of them")
	}
	testkit.Until(t, "the other service has its guaranteed resources", func() bool { return countServed() == 10 })
	if st := o.Node.Status()[0]; st.CutStreams == 0 || st.OpenStreams == 0 || st.OpenStreams >= len(open) {
		t.Errorf("%d of %d streams are open, %d were evicted", st.OpenStreams, len(open), st.CutStreams)
	}
}

// Uploads that hang at the silent servers of one service must not use the guaranteed resources of another: isolation of
// services for streams instead of short requests.
func TestIsolationWithStreams(t *testing.T) {
	other := &fake.Origin{}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	process := "descriptors = 512\nclients = 250\nheld = 200\ndrain = { idle = \"0s\", accept = \"0s\", most = \"300ms\" }"
	services := fmt.Sprintf(`[services.other]
source = { kind = "static", servers = [{ endpoint = %q }] }
guaranteed = { held = 60, descriptors = 60 }
[[routes]]
service = "app"
prefix = "/x"
[[routes]]
service = "other"
prefix = "/other"
`, other.Addr())
	o := startNodeWithConfig(t, process, "guaranteed = { held = 60, descriptors = 60 }", services, &fake.Origin{})
	for range 150 {
		c, _ := dial(t, o)
		writeRequestHead(c, "POST", "silent=1", "Transfer-Encoding: chunked")
		fmt.Fprintf(c, "%x\r\n%s\r\n", 100_000, strings.Repeat("x", 100_000))
	}
	testkit.Until(t, "uploads are in flight", func() bool { return o.Node.Status()[0].Requests > 2 })
	var clients sync.WaitGroup
	var failedClients atomic.Int64
	for range 4 {
		clients.Go(func() {
			c, in := dial(t, o)
			for range 100 {
				fmt.Fprintf(c, "GET /other HTTP/1.1\r\nHost: h\r\n%s: body=500\r\n\r\n", fake.HeaderScript)
				r, err := http.ReadResponse(in, nil)
				if err != nil || r.StatusCode != 200 {
					failedClients.Add(1)
					return
				}
				io.Copy(io.Discard, r.Body)
			}
		})
	}
	clients.Wait()
	if n := failedClients.Load(); n > 0 {
		t.Errorf("%d of 4 clients of the other service were not served", n)
	}
}
