package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// schemeAndAuthority matches the beginning of a target in absolute form (RFC 9112, 3.2.2).
var schemeAndAuthority = regexp.MustCompile(`^(?i:https?)://[^/?]+`)

// wantTarget returns the target that a server has to receive: the client's, in origin form. It returns false if the
// client's target has no origin form.
func wantTarget(target string) (string, bool) {
	if strings.HasPrefix(target, "/") {
		return target, true
	}
	beginning := schemeAndAuthority.FindString(target)
	if beginning == "" {
		return "", false
	}
	rest := target[len(beginning):]
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	return rest, true
}

// newForwardingTable returns a table with one service of the platform's protocol.
func newForwardingTable(t testing.TB) *RoutingTable {
	s, err := service.New(service.Options{
		Settings: control.Settings{
			GroupSize: 1, MaxRetryAfter: time.Second, Plans: []control.Plan{{Name: "p"}},
			Classes: []control.Class{
				{Name: "read", LatencyObjective: time.Second, Deadline: 20 * time.Second},
				{Name: "write", LatencyObjective: time.Second, Deadline: 20 * time.Second, Idempotency: control.IdempotentWithKey},
			},
		},
		Upstream: upstream.Options{SocketLimiter: limits.NewSocketLimiter(100)}, Source: discovery.Source{Kind: discovery.Static},
	})
	if err != nil {
		t.Fatal(err)
	}
	return &RoutingTable{Targets: []Target{{Service: s, MaxBodyBytes: 1 << 16}}}
}

// FuzzRequestIsForwardedUnchanged checks that of each request that the node accepts a server receives the method, path,
// query, body and the protocol's headers byte for byte, except for the time left.
func FuzzRequestIsForwardedUnchanged(f *testing.F) {
	const account = "account=0000000000000001"
	for _, seed := range []struct{ method, target, fields, body string }{
		{"GET", "/read?" + account, "", ""},
		{"POST", "/write?" + account, "Idempotency-Key: k", "body"},
		{"GET", "http://h/read?" + account, "", ""},
		{"GET", "http:/read?" + account, "", ""},
		{"GET", "http:/read?u=a://b/write&" + account, "", ""},
		{"GET", "http://h?u=a://b/read&" + account, "", ""},
		{"GET", "ftp://h/read?" + account, "", ""},
		{"GET", "//read?" + account, "", ""},
		{"GET", "/read?u=a://b/c&" + account, "", ""},
		{"GET", "/r%65ad?" + account, "", ""},
		{"GET", "/read/%2F[!']?" + account + "&%zz", "", ""},
		{"GET", "*", "", ""},
		{"OPTIONS", "*", "", ""},
		{"POST", "/write?" + account, "Idempotency-Key: k\r\nConnection: Idempotency-Key", "body"},
		{"POST", "/write?" + account, "Idempotency-Key: k\r\nConnection: close, x-correlation-id ,X-Tariff", "body"},
		{"POST", "/write?" + account, "Idempotency-Key: k\r\nX-Repeat: 1\r\nConnection: X-Repeat, X-Other\r\nX-Other: 1", "body"},
	} {
		f.Add(seed.method, seed.target, seed.fields, seed.body)
	}
	table := newForwardingTable(f)
	f.Fuzz(func(t *testing.T, method, target, fields, body string) {
		if strings.ContainsAny(method+target, " \r\n") || strings.Contains(fields, "\r\n\r\n") {
			t.Skip("not one head")
		}
		if fields != "" {
			fields += "\r\n"
		}
		raw := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: id\r\nX-Tariff: p\r\nX-Time-Left: 1500m\r\nContent-Length: %d\r\n%s\r\n%s",
			method, target, len(body), fields, body)
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			t.Skip(err)
		}
		sent := request.Header.Clone()
		found, firstSegment, badRequest := table.findTarget(request)
		if badRequest != nil {
			return
		}
		exchange, badRequest := platformProtocol{}.ReadRequest(request, found, firstSegment, time.Now())
		if badRequest != nil {
			return
		}
		forwarded := *exchange.Forwarder.(*upstream.BufferedRequest).Request
		sentBody, err := io.ReadAll(request.Body)
		if err != nil {
			t.Skip(err)
		}
		forwarded.ContentLength = int64(len(sentBody))
		if forwarded.Body = http.NoBody; len(sentBody) > 0 {
			forwarded.Body = io.NopCloser(bytes.NewReader(sentBody))
		}
		var out bytes.Buffer
		if err := forwarded.Write(&out); err != nil {
			t.Fatalf("writing the request %q: %v", raw, err)
		}
		line, _, _ := strings.Cut(out.String(), "\r\n")
		if want, ok := wantTarget(target); !ok || line != method+" "+want+" HTTP/1.1" {
			t.Errorf("%s %s was forwarded as %q", method, target, line)
		}
		if got := forwarded.URL.RequestURI(); line != method+" "+got+" HTTP/1.1" { // sent over HTTP/2
			t.Errorf("%s %s has the path %q over HTTP/2, and %q over HTTP/1.1", method, target, got, line)
		}
		received, err := http.ReadRequest(bufio.NewReader(&out))
		if err != nil {
			t.Fatalf("reading the forwarded request: %v", err)
		}
		for _, name := range []string{protocol.HeaderID, protocol.HeaderPlan, protocol.HeaderWeight, protocol.HeaderRetry, protocol.HeaderIdempotencyKey} {
			if got, want := fmt.Sprintf("%q", received.Header[name]), fmt.Sprintf("%q", sent[name]); got != want {
				t.Errorf("%s of %q was forwarded as %s, want %s", name, raw, got, want)
			}
		}
		if received.ContentLength != int64(len(sentBody)) {
			t.Errorf("a body of %d bytes was forwarded with length %d", len(sentBody), received.ContentLength)
		}
		if got, err := io.ReadAll(received.Body); err != nil || !bytes.Equal(got, sentBody) {
			t.Errorf("body %q was forwarded as %q, %v", sentBody, got, err)
		}
	})
}
