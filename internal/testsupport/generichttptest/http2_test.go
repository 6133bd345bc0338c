package generichttptest

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/node"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testkit"
)

// startDualProtocolOrigin starts an origin that serves HTTP/1.1, and HTTP/2 to clients with prior knowledge.
func startDualProtocolOrigin(t testing.TB, serve http.HandlerFunc) *httptest.Server {
	s := httptest.NewUnstartedServer(serve)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// staticServer returns the configuration of an origin as the only server of a list.
func staticServer(origin *httptest.Server) string {
	return "{ endpoint = \"" + origin.Listener.Addr().String() + "\" }"
}

// startHTTP2Node starts a node that forwards over HTTP/2 to a list of servers. more is the configuration after the service;
// if it is empty, a route that allows upgrades.
func startHTTP2Node(t testing.TB, servers, more string) *node.Node {
	t.Helper()
	if more == "" {
		more = "[[routes]]\nservice = \"app\"\nupgrade = [\"echo\"]\n"
	}
	text := "[process]\ndrain = { idle = \"0s\", accept = \"0s\", most = \"1s\" }\n[[listeners]]\naddress = \"127.0.0.1:0\"\n[services.app]\n" +
		"servers = { protocol = \"http/2\" }\nsource = { kind = \"static\", servers = [" + servers + "] }\n" + more
	cfg, err := config.Parse("http2.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	n, err := node.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	testkit.Until(t, "the node is ready", func() bool { return n.Status()[0].Ready })
	return n
}

// serveByQuery is an origin's handler that reports the request in header fields and answers as the query specifies.
func serveByQuery(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	sum := sha256.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if q.Has("early") {
		w.Header().Set("X-Early", "1")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("X-Early")
	}
	h := w.Header()
	h["Date"] = nil
	h.Set("X-Asked", fmt.Sprintf("%s %s %s %d %x %v", r.Method, r.Host, r.RequestURI, n, sum.Sum(nil)[:4], r.Trailer))
	for _, name := range []string{"X-One", "Cookie", "Accept", "Content-Type", "Expect", "Te"} {
		h["X-Got-"+name] = slices.Clone(r.Header[name])
	}
	if q.Has("trailer") {
		h.Set("Trailer", "X-Sum")
	}
	size, _ := strconv.Atoi(q.Get("size"))
	if q.Has("length") {
		h.Set("Content-Length", strconv.Itoa(size))
	}
	h.Set("Content-Type", "text/x-test")
	status, _ := strconv.Atoi(q.Get("status"))
	if status == 0 {
		status = 200
	}
	w.WriteHeader(status)
	if q.Has("flush") {
		w.(http.Flusher).Flush()
	}
	io.Copy(w, io.LimitReader(&alphabetReader{}, int64(size)))
	if q.Has("trailer") {
		h.Set("X-Sum", "sum")
	}
	if q.Has("cut") {
		panic(http.ErrAbortHandler)
	}
}

// alphabetReader is an endless reader of the alphabet, repeated.
type alphabetReader struct{ offset int }

func (l *alphabetReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a' + byte((l.offset+i)%26)
	}
	l.offset += len(p)
	return len(p), nil
}

// A client must receive the same answer directly from an origin and through a node that forwards over HTTP/2. The answer
// also reports the request as the origin received it, which must be the same too.
func TestHTTP2ForwardingIsTransparent(t *testing.T) {
	origin := startDualProtocolOrigin(t, serveByQuery)
	n := startHTTP2Node(t, staticServer(origin), "")
	type testRequest struct {
		method, query string
		body          int
		chunked       bool
		fields        map[string]string
	}
	var requests []testRequest
	for _, m := range []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "QUERY"} {
		for _, size := range []string{"size=0", "size=0&length", "size=1", "size=500&length", "size=70000&length", "size=300000", "size=300000&length", "size=20&flush&trailer"} {
			requests = append(requests, testRequest{method: m, query: size})
		}
		for _, b := range []int{1, 4096, 4097, 70000, 400000} {
			requests = append(requests, testRequest{method: m, query: "size=5&length", body: b}, testRequest{method: m, query: "size=5", body: b, chunked: true})
		}
	}
	for _, status := range []int{201, 204, 206, 301, 304, 400, 404, 418, 429, 500, 501, 503} {
		size := "size=20"
		if status == 204 || status == 304 {
			size = "size=0"
		}
		requests = append(requests, testRequest{method: "GET", query: fmt.Sprint(size, "&status=", status)}, testRequest{method: "POST", query: fmt.Sprint(size, "&status=", status), body: 3})
	}
	requests = append(requests, testRequest{method: "GET", query: "early&size=5"}, testRequest{method: "GET", query: "size=5", fields: map[string]string{"X-One": "a", "Cookie": "a=b; c=d", "Te": "trailers"}},
		testRequest{method: "POST", query: "size=5", body: 70000, fields: map[string]string{"Expect": "100-continue"}})
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	t.Cleanup(client.CloseIdleConnections)
	describeAnswer := func(a testRequest, addr string) string {
		var body io.Reader
		if a.body > 0 {
			body = io.LimitReader(&alphabetReader{}, int64(a.body))
			if !a.chunked {
				body = bytes.NewReader(bytes.Repeat([]byte("b"), a.body))
			}
		}
		r, err := http.NewRequest(a.method, "http://"+addr+"/x/y%20z?"+a.query, body)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "app.example"
		for k, v := range a.fields {
			r.Header.Set(k, v)
		}
		resp, err := client.Do(r)
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		sum := sha256.New()
		size, err := io.Copy(sum, resp.Body)
		h := resp.Header.Clone()
		for _, k := range []string{"Via", "X-Forwarded-For", "Date", "Connection", "Keep-Alive", "Trailer"} {
			h.Del(k)
		}
		h.Del("X-Got-Expect")                    // Expect may be answered by the node instead of the origin
		if resp.ContentLength < 0 || size == 0 { // without a length each hop chooses the framing
			h.Del("Content-Length")
		}
		return fmt.Sprint(resp.Status, h, size, fmt.Sprintf("%x", sum.Sum(nil)[:4]), err, resp.Trailer)
	}
	for _, a := range requests {
		direct, proxied := describeAnswer(a, origin.Listener.Addr().String()), describeAnswer(a, n.Addr())
		if direct != proxied {
			t.Errorf("%+v: direct answer\n%s\nanswer through the node\n%s", a, direct, proxied)
		}
	}
}

// An interim response (1xx) is forwarded to the client when it is received, before the final answer.
func TestEarlyHintsOverHTTP2(t *testing.T) {
	n := startHTTP2Node(t, staticServer(startDualProtocolOrigin(t, serveByQuery)), "")
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /x?early&size=3 HTTP/1.1\r\nHost: h\r\n\r\n")
	in := textproto.NewReader(bufio.NewReader(c))
	line, _ := in.ReadLine()
	h, err := in.ReadMIMEHeader()
	if !strings.Contains(line, "103") || h.Get("X-Early") != "1" || err != nil {
		t.Errorf("got status line %q, header %v, error %v, want 103 with X-Early", line, h, err)
	}
	if line, _ = in.ReadLine(); !strings.Contains(line, "200") {
		t.Errorf("got final status line %q, want status 200", line)
	}
}

// A client that does not read its answer blocks only its own stream: other streams of the same connection proceed, and what
// is buffered of the blocked answer stays within the flow-control window.
func TestSlowReaderOverHTTP2(t *testing.T) {
	origin := startDualProtocolOrigin(t, serveByQuery)
	n := startHTTP2Node(t, staticServer(origin), "")
	slow, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(4 << 10)
	io.WriteString(slow, "GET /x?size=2000000000 HTTP/1.1\r\nHost: h\r\n\r\n")
	in := bufio.NewReader(slow)
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 200 {
		t.Fatal(r, err)
	}
	for range 300 {
		r, err := http.Get("http://" + n.Addr() + "/x?size=30000")
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(r.Body); err != nil || len(b) != 30000 {
			t.Fatal(len(b), err)
		}
		r.Body.Close()
	}
	if st := n.Status()[0]; st.OpenStreams != 1 || st.Resources.Descriptors.Used > 8 {
		t.Errorf("%d open streams, want 1; %d descriptors used, want at most 8", st.OpenStreams, st.Resources.Descriptors.Used)
	}
	slow.Close()
	testkit.Until(t, "the stream has ended", func() bool { return n.Status()[0].OpenStreams == 0 })
	http.DefaultClient.CloseIdleConnections()
}

// An abort on one side is propagated to the other: a truncated answer must not look complete to the client, and the
// request of a client that disconnects must be canceled at the server.
func TestAbortsOverHTTP2(t *testing.T) {
	requestCanceled := make(chan struct{})
	origin := startDualProtocolOrigin(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			for r.Context().Err() == nil { // the node notices the disconnected client when it writes to it
				io.WriteString(w, "data: x\n\n")
				w.(http.Flusher).Flush()
				select {
				case <-time.After(time.Millisecond):
				case <-r.Context().Done():
				}
			}
			close(requestCanceled)
			return
		}
		serveByQuery(w, r)
	})
	n := startHTTP2Node(t, staticServer(origin), "")
	for _, query := range []string{"size=200000&cut", "size=200000&length&cut&flush", "size=10&flush&cut"} {
		r, err := http.Get("http://" + n.Addr() + "/x?" + query)
		if err != nil {
			continue // the client detects the abort; it may also receive a 502
		}
		if _, err := io.ReadAll(r.Body); err == nil && r.StatusCode == 200 && !strings.Contains(query, "length") {
			t.Errorf("%s: truncated answer received as complete", query)
		}
		r.Body.Close()
	}
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+n.Addr()+"/wait", nil)
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	r.Body.Close()
	testkit.Next(t, requestCanceled)
	http.DefaultClient.CloseIdleConnections()
}

// Uploads larger than every flow-control window are forwarded, and an answer that a server sends before the end of the
// upload reaches the client.
func TestUploadsOverHTTP2(t *testing.T) {
	origin := startDualProtocolOrigin(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		serveByQuery(w, r)
	})
	n := startHTTP2Node(t, staticServer(origin), "")
	const size = 30 << 20
	startedAt := time.Now()
	r, err := http.Post("http://"+n.Addr()+"/x?size=3", "application/octet-stream", io.LimitReader(&alphabetReader{}, size))
	if err != nil || r.StatusCode != 200 || !strings.Contains(r.Header.Get("X-Asked"), fmt.Sprint(" ", size, " ")) {
		t.Fatal(r, err)
	}
	t.Logf("%d bytes in %v", size, time.Since(startedAt))
	r.Body.Close()
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 10000))
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got response %v, error %v, want status 413", r, err)
	}
	http.DefaultClient.CloseIdleConnections()
}

// sendPosts sends POST requests of various sizes and framings through a node to HTTP/2 servers whose connections may break
// after any byte. It returns what the servers executed and how many requests were answered with 200.
func sendPosts(t *testing.T, n int, service string) (counts fake.Counts, servedCount int64) {
	executions := &fake.Executions{}
	f := fake.HTTP2Faults{Refuse: 0.05, Reset: 0.03, Error: 0.02, Early: 0.05, Lower: 0.05, GoAway: 0.05, CutRead: 0.4, CutSent: 0.4, MaxCutOffset: 60000}
	var servers []string
	for i := range 3 {
		s, err := fake.HTTP2Server{UID: fmt.Sprint("s", i), Executions: executions, Faults: f, Seed: uint64(i), Streams: 10}.Start()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		servers = append(servers, fmt.Sprintf("{ endpoint = %q }", s.Addr()))
	}
	node := startHTTP2Node(t, strings.Join(servers, ", "), service)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}, Timeout: testkit.WaitTimeout}
	defer client.CloseIdleConnections()
	var lastSeed, served atomic.Int64
	var clients sync.WaitGroup
	for range 16 {
		clients.Go(func() {
			for seed := lastSeed.Add(1); seed <= int64(n); seed = lastSeed.Add(1) {
				rng := rand.New(rand.NewPCG(uint64(seed), 3))
				size := int64([]int{0, 1, 300, 5000, 40000}[rng.IntN(5)])
				body := io.LimitReader(&alphabetReader{}, size)
				if rng.IntN(2) == 0 {
					raw, _ := io.ReadAll(body)
					body = bytes.NewReader(raw)
				}
				r, err := http.NewRequest("POST", "http://"+node.Addr()+"/x", body)
				if err != nil {
					t.Error(err)
					return
				}
				r.GetBody = nil // prevents the client from retrying
				id := fmt.Sprint("r-", seed)
				r.Header.Set("X-Correlation-Id", id)
				resp, err := client.Do(r)
				if err != nil {
					t.Errorf("%s: %v", id, err)
					continue
				}
				raw, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if resp.StatusCode == 200 {
					if served.Add(1); err != nil || !strings.HasSuffix(string(raw), " "+id) || executions.Runs(id) == 0 {
						t.Errorf("%s: got body %q, error %v, executed %d times", id, raw, err, executions.Runs(id))
					}
				}
			}
		})
	}
	clients.Wait()
	return executions.Counts(), served.Load()
}

// A request whose class forbids retries must not be executed twice, after whichever byte a connection breaks. The second
// part verifies that the check detects repeated executions, with a configuration that allows retries.
func TestPostsOverHTTP2(t *testing.T) {
	if c, ok := sendPosts(t, 1000, readWriteClasses); c.Repeated > 0 || c.DuplicateEffects > 0 || c.MaxInFlight > 1 || ok < 600 {
		t.Errorf("got counts %+v, %d served, want no repeated executions and at least 600 served", c, ok)
	}
	if c, _ := sendPosts(t, 400, strings.Replace(readWriteClasses, `repeats = "never"`, `repeats = "free"`, 1)); c.Repeated == 0 {
		t.Error("repeated executions were not detected")
	}
}
