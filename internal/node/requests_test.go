package node

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"lockflow/internal/discovery"
	"lockflow/internal/protocol"
	"lockflow/internal/service"
	"lockflow/internal/testsupport/testkit"
)

func TestRequestAndAnswerAreForwardedUnchanged(t *testing.T) {
	r := newTestNode(t)
	app := testkit.NewApp(t, func(w http.ResponseWriter, req *http.Request) {
		left, err := strconv.Atoi(strings.TrimSuffix(req.Header.Get(protocol.HeaderTimeLeft), "m"))
		// The node tells the server a little less time than the client has, so that the whole answer arrives in time.
		if err != nil || left < 1 || left > 7000-int(service.DeadlineMargin.Milliseconds()) {
			t.Errorf("the server was told that %q are left", req.Header.Get(protocol.HeaderTimeLeft))
		}
		w.Header().Set("Content-Type", "text/x-roster")
		w.Header().Set(protocol.HeaderQuotaUsed, "85")
		testkit.AnswerServed(w, req)
	})
	r.setEndpoints(endpointOf(app, "s-1", 0))
	post := r.newRequest(http.MethodPost, "/visit-update/a%2Fb/c", "id-1")
	post.Body, post.ContentLength = io.NopCloser(strings.NewReader("swap")), 4
	resp, body := r.do(post)
	if resp.StatusCode != 200 || body != "served id-1" || resp.Header.Get("Content-Type") != "text/x-roster" {
		t.Errorf("answer: %s %q, header %v", resp.Status, body, resp.Header)
	}
	if resp.Header.Get(protocol.HeaderQuotaUsed) != "" {
		t.Error("a header for edge nodes was sent to a client")
	}
	if want := "POST /visit-update/a%2Fb/c?account=00000000b4d65521 k-id-1 swap"; app.Requests()[0] != want {
		t.Errorf("forwarded request %q, want %q", app.Requests()[0], want)
	}
}

func TestHealthzReportsReadiness(t *testing.T) {
	r := newTestNode(t)
	health := func() int {
		req, _ := http.NewRequest(http.MethodGet, "http://"+r.node.Addr()+"/healthz", nil)
		resp, _ := r.do(req)
		return resp.StatusCode
	}
	if s := health(); s != http.StatusServiceUnavailable {
		t.Errorf("/healthz: status %d without app servers, want 503", s)
	}
	r.setEndpoints(discovery.Endpoint{UID: "s-1", Address: "127.0.0.1:1", State: "up"})
	r.waitUntil("ready", r.node.isReady)
	if s := health(); s != http.StatusOK {
		t.Errorf("/healthz: status %d with an app server, want 200", s)
	}
}

// invalidRequests are changes that make a valid request invalid, each with the status that it is answered with.
var invalidRequests = map[string]struct {
	change func(*http.Request)
	want   int
}{
	"no id":                    {func(q *http.Request) { q.Header.Del(protocol.HeaderID) }, 400},
	"a long id":                {func(q *http.Request) { q.Header.Set(protocol.HeaderID, strings.Repeat("x", 129)) }, 400},
	"no class":                 {func(q *http.Request) { q.URL.Path = "/" }, 404},
	"unknown class":            {func(q *http.Request) { q.URL.Path = "/checkout" }, 404},
	"wrong method":             {func(q *http.Request) { q.Method = http.MethodPut }, 405},
	"no key":                   {func(q *http.Request) { q.Header.Del(protocol.HeaderIdempotencyKey) }, 400},
	"unknown plan":             {func(q *http.Request) { q.Header.Set(protocol.HeaderPlan, "gold") }, 400},
	"no plan":                  {func(q *http.Request) { q.Header.Del(protocol.HeaderPlan) }, 400},
	"no account":               {func(q *http.Request) { q.URL.RawQuery = "" }, 400},
	"short account":            {func(q *http.Request) { q.URL.RawQuery = "account=b4d65521" }, 400},
	"huge account":             {func(q *http.Request) { q.URL.RawQuery = "account=0000000200000000" }, 400},
	"odd account":              {func(q *http.Request) { q.URL.RawQuery = "account=000000000000000g" }, 400},
	"no time":                  {func(q *http.Request) { q.Header.Del(protocol.HeaderTimeLeft) }, 400},
	"no unit":                  {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "480") }, 400},
	"other unit":               {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "4s") }, 400},
	"zero time":                {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "0m") }, 400},
	"infinite time":            {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "1e300m") }, 400},
	"time over class deadline": {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "7600m") }, 400},
	"huge units":               {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=1e300") }, 400},
	"units over maximum":       {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=4.1") }, 400},
	"negative units":           {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=-1") }, 400},
	"units given twice":        {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=1,units=2") }, 400},
	"two ids":                  {func(q *http.Request) { q.Header.Add(protocol.HeaderID, "worse") }, 400},
	"two accounts":             {func(q *http.Request) { q.URL.RawQuery += "&account=00000000b4d65522" }, 400},
	"odd time":                 {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "NaNm") }, 400},
	"no units":                 {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=0") }, 400},
	"odd units":                {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=NaN") }, 400},
	"wide spread":              {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=1,spread=3") }, 400},
	"odd spread":               {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "spread=1.5") }, 400},
	"odd first":                {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "first=-1") }, 400},
	"a large body": {func(q *http.Request) {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", protocol.MaxBodyBytes+1))), protocol.MaxBodyBytes+1
	}, 413},
}

// TestInvalidRequestsAreRejected checks that invalid requests are answered with a 4xx status and not forwarded.
func TestInvalidRequestsAreRejected(t *testing.T) {
	r := newTestNode(t)
	app := testkit.NewApp(t, testkit.AnswerServed)
	r.setEndpoints(endpointOf(app, "s-1", 0))
	for name, tc := range invalidRequests {
		t.Run(name, func(t *testing.T) {
			req := r.newRequest(http.MethodPost, "/visit-update", "bad")
			tc.change(req)
			if resp, body := r.do(req); resp.StatusCode != tc.want {
				t.Errorf("answer: %s %q", resp.Status, body)
			}
		})
	}
	if resp, _ := r.do(r.newRequest(http.MethodPost, "/roster-read", "bad")); resp.StatusCode != 405 {
		t.Errorf("POST to a class of safe requests: %s, want 405", resp.Status)
	}
	withBody := r.newRequest(http.MethodGet, "/roster-read", "bad")
	withBody.Body, withBody.ContentLength = io.NopCloser(strings.NewReader("x")), 1
	if resp, _ := r.do(withBody); resp.StatusCode != 400 {
		t.Errorf("GET with a body: %s, want 400", resp.Status)
	}
	if n := app.Count(); n > 0 {
		t.Errorf("%d invalid requests were forwarded", n)
	}
	if resp, _ := r.do(r.newRequest(http.MethodPost, "/visit-update", "good")); resp.StatusCode != 200 {
		t.Errorf("valid request after invalid ones: %s, want 200", resp.Status)
	}
}

// A request that the decision module rejects is answered without being forwarded, with a Retry-After header.
func TestRejectionHasRetryAfter(t *testing.T) {
	r := newTestNode(t)
	app := testkit.NewApp(t, testkit.AnswerServed)
	r.setEndpoints(endpointOf(app, "s-1", 0))
	for i := range 100 {
		req := r.newRequest(http.MethodGet, "/roster-read", "id-"+strconv.Itoa(i))
		req.Header.Set(protocol.HeaderPlan, "basic") // a burst of 8 units
		resp, _ := r.do(req)
		if resp.StatusCode == http.StatusOK {
			continue
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 {
			t.Errorf("rejection: %s, header %v", resp.Status, resp.Header)
		}
		if app.Count() != i {
			t.Errorf("%d requests forwarded before the first rejection, of request %d", app.Count(), i)
		}
		return
	}
	t.Error("none of 100 requests was rejected")
}
