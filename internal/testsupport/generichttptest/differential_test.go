// Package generichttptest tests the forwarding of generic HTTP through a complete node to origins that answer correctly
// or inject faults.
package generichttptest

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testkit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startNode starts origins and a node that forwards to them. They are stopped when the test ends.
func startNode(t testing.TB, origins ...*fake.Origin) *testbench.GenericHTTP {
	t.Helper()
	return startNodeWithConfig(t, `drain = { idle = "0s", accept = "0s", most = "1s" }`, "", "", origins...)
}

func startNodeWithConfig(t testing.TB, process, service, more string, origins ...*fake.Origin) *testbench.GenericHTTP {
	t.Helper()
	o, err := testbench.StartGenericHTTP(origins, process, service, more)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := o.Stop(); err != nil {
			t.Error(err)
		}
	})
	testkit.Until(t, "the node is ready", func() bool { return o.Node.Status()[0].Ready })
	return o
}

// exchange is a request together with the script of the origin's answer.
type exchange struct {
	name, method, target, script string
	fields                       []string
	body                         int64  // bytes
	framing                      string // length, chunked; "" is none
	trailer                      bool
	isHTTP10                     bool // HTTP/1.0
}

// corpus returns exchanges that cover all methods, statuses, framings, sizes and other features of HTTP, though not every
// combination of them.
func corpus() []exchange {
	var exchanges []exchange
	add := func(e exchange) {
		if e.target == "" {
			e.target = "/a/b"
		}
		e.name = fmt.Sprintf("%03d %s %s %s %s %d", len(exchanges), e.method, e.target, e.script, e.framing, e.body)
		exchanges = append(exchanges, e)
	}
	methods := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND", "M-SEARCH", "QUERY"}
	for _, m := range methods {
		for _, framing := range []string{"length", "chunked", "close"} {
			for _, n := range []int{0, 1, 500, 70000, 300000} {
				add(exchange{method: m, script: fmt.Sprintf("frame=%s&body=%d", framing, n)})
			}
		}
	}
	for _, status := range []int{
		200, 201, 202, 203, 204, 205, 206, 207, 226, 300, 301, 302, 303, 304, 307, 308, 400, 401, 402, 403, 404, 405,
		406, 407, 408, 409, 410, 411, 412, 413, 414, 415, 416, 417, 418, 421, 422, 423, 425, 426, 428, 429, 431, 451, 500, 501, 502, 503,
		504, 505, 506, 507, 508, 511, 599,
	} {
		for _, m := range []string{"GET", "POST"} {
			n := 20
			if status == 304 {
				n = 0
			}
			add(exchange{method: m, script: fmt.Sprintf("status=%d&body=%d", status, n), framing: framingOf(m), body: int64(len(m))})
		}
	}
	for _, m := range []string{"POST", "PUT", "DELETE", "GET", "QUERY"} {
		for _, framing := range []string{"length", "chunked"} {
			for _, n := range []int64{0, 1, 4096, 4097, 65536, 65537, 400000} {
				add(exchange{method: m, framing: framing, body: n, script: "body=10"})
			}
		}
	}
	for _, target := range []string{"/", "/?", "/a?b=c&b=d;e", "/%41/%7e?x=%zz", "/a;p=1/b", "/caf%C3%A9", "/a'b(c)!$&*+,=:@", "/a?x=/../y", "/x?" + strings.Repeat("q", 2000)} {
		for _, isHTTP10 := range []bool{false, true} {
			add(exchange{method: "GET", target: target, script: "body=5", isHTTP10: isHTTP10})
		}
	}
	for _, s := range []string{
		"frame=chunked&body=100&trailer=1", "frame=chunked&body=100&trailer=announced", "frame=chunked&body=100000&trailer=1",
		"frame=chunked&body=100&trailer=sent", "interim=103&body=5", "interim=103&interim=103&body=70000", "interim=102&status=404&body=3",
		"old=1&frame=close&body=900", "old=1&frame=length&body=900", "old=1&frame=close&body=200000", "type=text/html&body=5", "type=text/event-stream&body=300&frame=chunked",
		"type=text/event-stream&body=300", "body=3000&every=1ms&frame=chunked", "body=100&frame=none", "status=204&interim=103",
	} {
		for _, m := range []string{"GET", "POST", "HEAD"} {
			add(exchange{method: m, script: s, framing: framingOf(m), body: int64(len(m))})
		}
	}
	for _, f := range []string{
		"Accept: a\r\nAccept: b", "X-Empty:", "X-Long: " + strings.Repeat("v", 3000), "Cookie: a=b; c=d", "Cookie: a\r\nCookie: b", "Te: trailers",
		"If-None-Match: \"x\"", "Range: bytes=0-5", "Authorization: Basic eDp5", "Connection: keep-alive, X-Drop\r\nX-Drop: 1", "X-Latin: caf\xe9",
		"X-Request-Id: r-1", "Idempotency-Key: k", "User-Agent: u/1", "Accept-Encoding: gzip", "Keep-Alive: timeout=5", "Cache-Control: no-store",
	} {
		add(exchange{method: "GET", fields: []string{f}, script: "body=5"})
		add(exchange{method: "POST", fields: []string{f}, script: "body=5", framing: "chunked", body: 10, trailer: true})
	}
	return exchanges
}

func framingOf(method string) string {
	if method == "POST" {
		return "length"
	}
	return ""
}

// clientView is an answer as a client receives it.
type clientView struct {
	status   string
	fields   string
	interims []string
	body     string // length and hash
	trailer  string
	err      string
}

func (e exchange) write(w io.Writer, host string) {
	version := "1.1"
	if e.isHTTP10 {
		version = "1.0"
	}
	fmt.Fprintf(w, "%s %s HTTP/%s\r\nHost: %s\r\n%s: %s\r\n", e.method, e.target, version, host, fake.HeaderScript, e.script)
	for _, f := range e.fields {
		fmt.Fprintf(w, "%s\r\n", f)
	}
	switch e.framing {
	case "length":
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", e.body)
		io.Copy(w, fake.PatternReader(e.body))
		return
	case "chunked":
		if e.trailer {
			io.WriteString(w, "Trailer: X-Check\r\n")
		}
		io.WriteString(w, "Transfer-Encoding: chunked\r\n\r\n")
		p := make([]byte, 10000)
		for src := fake.PatternReader(e.body); ; {
			n, err := src.Read(p)
			if err != nil {
				break
			}
			fmt.Fprintf(w, "%x\r\n%s\r\n", n, p[:n])
		}
		io.WriteString(w, "0\r\n")
		if e.trailer {
			io.WriteString(w, "X-Check: sum\r\n")
		}
	}
	io.WriteString(w, "\r\n")
}

// send sends the request on a new connection and returns the answer.
func (e exchange) send(addr, host string) clientView {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return clientView{err: err.Error()}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	go e.write(c, host)
	return readView(bufio.NewReader(c), e.method)
}

func readView(in *bufio.Reader, method string) clientView {
	var v clientView
	for {
		r, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			v.err = err.Error()
			return v
		}
		if r.StatusCode < 200 {
			v.interims = append(v.interims, fmt.Sprint(r.StatusCode)+"\n"+fake.Fields(r.Header, "Via"))
			continue
		}
		h := sha256.New()
		n, err := io.Copy(h, r.Body)
		if err != nil {
			v.err = err.Error()
		}
		v.status, v.fields = fmt.Sprint(r.StatusCode), fake.Fields(r.Header, "Via", "Connection")
		v.body, v.trailer = fmt.Sprintf("%d bytes %s", n, hex.EncodeToString(h.Sum(nil)[:8])), fake.Fields(r.Trailer)
		return v
	}
}

// describeRequest describes a request as an origin received it, without the fields that the node sets or drops according to
// docs/http.md.
func describeRequest(r fake.Request) string {
	h := r.Header.Clone()
	without := []string{"Via", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Connection", "Keep-Alive", "X-Drop"}
	return fmt.Sprintf("%s %s\nHost: %s\n%s\n%s %d %s complete=%v\ntrailer %s", r.Method, r.Target, r.Host, fake.Fields(h, without...),
		r.Framing, r.Bytes, r.Hash, r.IsComplete, fake.Fields(r.Trailer))
}

// normalizeDirect removes from an answer received directly from an origin what the node removes according to docs/http.md.
func normalizeDirect(direct clientView) clientView {
	if direct.status == "304" {
		direct.fields = strings.TrimPrefix(direct.fields, "Content-Length: 0\n")
	}
	return direct
}

// A client must receive the same answer directly from an origin and through the node, and the origin must receive the same
// request. Differences of the standard library's ReverseProxy are only logged, for comparison.
func TestDifferential(t *testing.T) {
	received := make(chan fake.Request, 100)
	origin := &fake.Origin{OnRequest: func(r fake.Request) { received <- r }}
	o := startNode(t, origin)
	exchanges := corpus()
	if len(exchanges) < 300 {
		t.Fatalf("got %d exchanges, want at least 300", len(exchanges))
	}
	t.Logf("%d exchanges", len(exchanges))
	reverseProxyAddr := reverseProxy(t, origin.Addr())
	differences := make(map[string]int)
	for _, e := range exchanges {
		host := "app.example:81"
		direct := e.send(origin.Addr(), host)
		directRequest := testkit.Next(t, received)
		viaNode := e.send(o.Node.Addr(), host)
		var forwardedRequest fake.Request
		select {
		case forwardedRequest = <-received:
		case <-time.After(testkit.WaitTimeout):
			t.Fatalf("%s: the origin received no request; the client received %+v", e.name, viaNode)
		}
		for more := true; more; { // discards retries: 502 to 504 are retried for a safe method
			select {
			case <-received:
			default:
				more = false
			}
		}
		if a, b := fmt.Sprintf("%+v", normalizeDirect(direct)), fmt.Sprintf("%+v", viaNode); a != b {
			t.Errorf("%s: the client receives\n%s\ndirectly, and through the node\n%s", e.name, a, b)
		}
		if a, b := describeRequest(directRequest), describeRequest(forwardedRequest); a != b {
			t.Errorf("%s: the origin receives\n%s\ndirectly, and through the node\n%s", e.name, a, b)
		}
		viaReverseProxy := e.send(reverseProxyAddr, host)
		select {
		case r := <-received:
			for kind := range explainDifferences(e, direct, viaReverseProxy, directRequest, r) {
				differences[kind]++
			}
		case <-time.After(testkit.WaitTimeout):
			t.Errorf("%s: ReverseProxy forwarded no request: %s %s", e.name, viaReverseProxy.status, viaReverseProxy.err)
		}
	}
	for kind, n := range differences {
		t.Logf("ReverseProxy differs in %d of %d exchanges: %s", n, len(exchanges), kind)
	}
}

// explainDifferences classifies the differences between an exchange through the standard library's proxy and a direct one.
// A difference without a known explanation is returned in full, on several lines.
func explainDifferences(e exchange, direct, proxied clientView, directRequest, proxiedRequest fake.Request) map[string]bool {
	kinds := make(map[string]bool)
	directFields, proxiedFields := direct.fields, proxied.fields
	if without := strings.Replace(proxiedFields, "Content-Type: application/octet-stream\n", "", 1); without != proxiedFields && !strings.Contains(directFields, "Content-Type") {
		kinds["Content-Type is guessed if the server sends none"] = true
		proxiedFields = without
	}
	if without := strings.Replace(proxiedFields, "Trailer: X-Sum\n", "", 1); without != proxiedFields && e.method == "HEAD" {
		kinds["Trailer is sent in an answer to HEAD"] = true
		proxiedFields = without
	}
	if without := strings.Replace(proxiedFields, "Content-Length: 0\n", "", 1); without == directFields && without != proxiedFields {
		kinds["Content-Length: 0 is added to an empty body that ended with its connection"] = true
		proxiedFields = without
	}
	if normalizeDirect(direct).fields != proxiedFields || direct.status != proxied.status || direct.body != proxied.body || direct.trailer != proxied.trailer ||
		fmt.Sprint(direct.interims) != fmt.Sprint(proxied.interims) {
		kinds[fmt.Sprintf("the client receives\n%+v\nnot\n%+v", proxied, direct)] = true
	}
	if directRequest.Framing == "none" && proxiedRequest.Framing == "length" && proxiedRequest.Bytes == 0 {
		kinds["Content-Length: 0 is added to a request without a body"] = true
		proxiedRequest.Framing = "none"
		proxiedRequest.Header = proxiedRequest.Header.Clone()
		proxiedRequest.Header.Del("Content-Length")
	}
	if directRequest.Target != proxiedRequest.Target && strings.Contains(directRequest.Target, "?") {
		kinds["query parameters with a semicolon or an invalid escape are dropped"] = true
		proxiedRequest.Target = directRequest.Target
	}
	if directRequest.Framing == "length" && directRequest.Bytes == 0 && proxiedRequest.Framing == "none" {
		kinds["Content-Length: 0 is dropped for a method that usually has no body"] = true
		proxiedRequest.Framing = "length"
		proxiedRequest.Header = proxiedRequest.Header.Clone()
		proxiedRequest.Header.Set("Content-Length", "0")
	}
	if fake.Fields(directRequest.Trailer) != "" && fake.Fields(proxiedRequest.Trailer) == "" {
		kinds["trailers of a request are dropped"] = true
		proxiedRequest.Trailer = directRequest.Trailer
	}
	if a, b := describeRequest(directRequest), describeRequest(proxiedRequest); a != b {
		kinds["the origin receives\n"+b+"\nnot\n"+a] = true
	}
	return kinds
}

// reverseProxy starts the standard library's reverse proxy in front of the origin and returns its address.
func reverseProxy(t *testing.T, to string) string {
	u, err := url.Parse("http://" + to)
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DisableCompression: true}
	p := &httputil.ReverseProxy{Transport: transport, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(u)
		r.Out.Host = r.In.Host
		r.SetXForwarded()
	}}
	srv := httptest.NewServer(p)
	t.Cleanup(func() { srv.Close(); transport.CloseIdleConnections() })
	return srv.Listener.Addr().String()
}
