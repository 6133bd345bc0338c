package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/service"
	"lockflow/internal/testkit"
)

func TestRequestAndAnswerAreForwardedUnchanged(t *testing.T) {
	r := newRig(t)
	a := testkit.NewApp(t, func(w http.ResponseWriter, req *http.Request) {
		left, err := strconv.Atoi(strings.TrimSuffix(req.Header.Get(protocol.HeaderTimeLeft), "m"))
		// The answer's last byte has to be there in time: the edge node waits a little less.
		if err != nil || left < 1 || left > 7000-int(service.DeadlineMargin.Milliseconds()) {
			t.Errorf("time left %q", req.Header.Get(protocol.HeaderTimeLeft))
		}
		w.Header().Set("Content-Type", "text/x-roster")
		w.Header().Set(protocol.HeaderUsed, "85")
		testkit.Served(w, req)
	})
	r.list(target(a, "s-1", 0))
	post := r.call(http.MethodPost, "/visit-update/a%2Fb/c", "id-1")
	post.Body, post.ContentLength = io.NopCloser(strings.NewReader("swap")), 4
	resp, body := r.do(post)
	if resp.StatusCode != 200 || body != "served id-1" || resp.Header.Get("Content-Type") != "text/x-roster" {
		t.Errorf("%s %q %v", resp.Status, body, resp.Header)
	}
	if resp.Header.Get(protocol.HeaderUsed) != "" {
		t.Error("a report for edge nodes went to a client")
	}
	if want := "POST /visit-update/a%2Fb/c?account=00000000b4d65521 k-id-1 swap"; a.Requests()[0] != want {
		t.Errorf("%q, not %q", a.Requests()[0], want)
	}
}

func TestHealthzReportsReadiness(t *testing.T) {
	r := newRig(t)
	health := func() int {
		req, _ := http.NewRequest(http.MethodGet, "http://"+r.node.Addr()+"/healthz", nil)
		resp, _ := r.do(req)
		return resp.StatusCode
	}
	if s := health(); s != http.StatusServiceUnavailable {
		t.Errorf("%d with no app server known", s)
	}
	r.list(discovery.Target{UID: "s-1", Endpoint: "127.0.0.1:1", State: "up"})
	r.wait("ready", r.node.isReady)
	if s := health(); s != http.StatusOK {
		t.Errorf("%d with an app server", s)
	}
}

// What a client got wrong is told as such, and nothing is sent on.
func TestInvalidRequestsAreRejected(t *testing.T) {
	r := newRig(t)
	a := testkit.NewApp(t, testkit.Served)
	r.list(target(a, "s-1", 0))
	for name, tc := range map[string]struct {
		change func(*http.Request)
		want   int
	}{
		"no id":             {func(q *http.Request) { q.Header.Del(protocol.HeaderID) }, 400},
		"a long id":         {func(q *http.Request) { q.Header.Set(protocol.HeaderID, strings.Repeat("x", 129)) }, 400},
		"no class":          {func(q *http.Request) { q.URL.Path = "/" }, 404},
		"unknown class":     {func(q *http.Request) { q.URL.Path = "/checkout" }, 404},
		"wrong method":      {func(q *http.Request) { q.Method = http.MethodPut }, 405},
		"no key":            {func(q *http.Request) { q.Header.Del(protocol.HeaderKey) }, 400},
		"unknown plan":      {func(q *http.Request) { q.Header.Set(protocol.HeaderPlan, "gold") }, 400},
		"no plan":           {func(q *http.Request) { q.Header.Del(protocol.HeaderPlan) }, 400},
		"no account":        {func(q *http.Request) { q.URL.RawQuery = "" }, 400},
		"short account":     {func(q *http.Request) { q.URL.RawQuery = "account=b4d65521" }, 400},
		"huge account":      {func(q *http.Request) { q.URL.RawQuery = "account=0000000200000000" }, 400},
		"odd account":       {func(q *http.Request) { q.URL.RawQuery = "account=000000000000000g" }, 400},
		"no time":           {func(q *http.Request) { q.Header.Del(protocol.HeaderTimeLeft) }, 400},
		"no unit":           {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "480") }, 400},
		"other unit":        {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "4s") }, 400},
		"no time is left":   {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "0m") }, 400},
		"time without end":  {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "1e300m") }, 400},
		"time past class":   {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "7600m") }, 400},
		"huge units":        {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=1e300") }, 400},
		"units over most":   {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=4.1") }, 400},
		"negative units":    {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=-1") }, 400},
		"units given twice": {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=1,units=2") }, 400},
		"two ids":           {func(q *http.Request) { q.Header.Add(protocol.HeaderID, "worse") }, 400},
		"two accounts":      {func(q *http.Request) { q.URL.RawQuery += "&account=00000000b4d65522" }, 400},
		"odd time":          {func(q *http.Request) { q.Header.Set(protocol.HeaderTimeLeft, "NaNm") }, 400},
		"no units":          {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=0") }, 400},
		"odd units":         {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=NaN") }, 400},
		"wide spread":       {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "units=1,spread=3") }, 400},
		"odd spread":        {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "spread=1.5") }, 400},
		"odd first":         {func(q *http.Request) { q.Header.Set(protocol.HeaderWeight, "first=-1") }, 400},
		"a large body": {func(q *http.Request) {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", protocol.BodyMost+1))), protocol.BodyMost+1
		}, 413},
	} {
		t.Run(name, func(t *testing.T) {
			q := r.call(http.MethodPost, "/visit-update", "bad")
			tc.change(q)
			if resp, body := r.do(q); resp.StatusCode != tc.want {
				t.Errorf("%s %q", resp.Status, body)
			}
		})
	}
	if resp, _ := r.do(r.call(http.MethodPost, "/roster-read", "bad")); resp.StatusCode != 405 {
		t.Errorf("a POST to a safe class: %s", resp.Status)
	}
	withBody := r.call(http.MethodGet, "/roster-read", "bad")
	withBody.Body, withBody.ContentLength = io.NopCloser(strings.NewReader("x")), 1
	if resp, _ := r.do(withBody); resp.StatusCode != 400 {
		t.Errorf("a GET with a body: %s", resp.Status)
	}
	if n := a.Count(); n > 0 {
		t.Errorf("%d bad requests were sent on", n)
	}
	if resp, _ := r.do(r.call(http.MethodPost, "/visit-update", "good")); resp.StatusCode != 200 {
		t.Errorf("a good one after them: %s", resp.Status)
	}
}

// The module's refusal is given at once and tells when to come again.
func TestRejectionHasRetryAfter(t *testing.T) {
	r := newRig(t)
	a := testkit.NewApp(t, testkit.Served)
	r.list(target(a, "s-1", 0))
	for i := range 100 {
		q := r.call(http.MethodGet, "/roster-read", "id-"+strconv.Itoa(i))
		q.Header.Set(protocol.HeaderPlan, "basic") // a burst of 8 units
		resp, _ := r.do(q)
		if resp.StatusCode == http.StatusOK {
			continue
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 {
			t.Errorf("%s %v", resp.Status, resp.Header)
		}
		if a.Count() != i {
			t.Errorf("%d requests sent on before the first refusal of %d", a.Count(), i)
		}
		return
	}
	t.Error("none of 100 requests was refused")
}

// A keyed request that may have run goes again within its group only, with its key.
func TestIdempotentRequestIsRetriedWithinItsGroup(t *testing.T) {
	r := newRig(t)
	fails := true
	serve := func(w http.ResponseWriter, q *http.Request) {
		if fails {
			fails = false
			testkit.Reset(w, q)
			return
		}
		testkit.Served(w, q)
	}
	a, b := testkit.NewApp(t, serve), testkit.NewApp(t, serve)
	r.list(target(a, "s-1", 0), target(b, "s-2", 1))
	resp, body := r.do(r.call(http.MethodPost, "/visit-update", "id-1"))
	if resp.StatusCode != 200 || body != "served id-1" {
		t.Errorf("%s %q", resp.Status, body)
	}
	if n := a.Count() * b.Count(); n != 0 || a.Count()+b.Count() != 2 {
		t.Errorf("attempts %v and %v", a.Requests(), b.Requests())
	}
	for _, s := range append(a.Requests(), b.Requests()...) {
		if !strings.Contains(s, "k-id-1") {
			t.Errorf("attempt %q has lost its key", s)
		}
	}
}

// At the end of the client's time the attempt's connection is closed and the client is told.
func TestDeadlineEndsAttempt(t *testing.T) {
	for class, tc := range map[string]struct {
		method string
		want   int
	}{
		"/roster-read":  {http.MethodGet, http.StatusServiceUnavailable}, // harmless to try again
		"/visit-update": {http.MethodPost, http.StatusGatewayTimeout},    // may have run
	} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			gone := make(chan struct{})
			a := testkit.NewApp(t, func(_ http.ResponseWriter, q *http.Request) {
				<-q.Context().Done()
				close(gone)
			})
			r.list(target(a, "s-1", 0))
			q := r.call(tc.method, class, "id-1")
			q.Header.Set(protocol.HeaderTimeLeft, "600000u")
			if resp, _ := r.do(q); resp.StatusCode != tc.want {
				t.Errorf("%s", resp.Status)
			}
			testkit.Next(t, gone)
			if n := a.Count(); n != 1 {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

// A client that leaves is owed nothing; its id is free again when its attempt has ended.
func TestClientDisconnectFreesRequestID(t *testing.T) {
	r := newRig(t)
	held, finish := make(chan struct{}), make(chan struct{})
	a := testkit.NewApp(t, func(w http.ResponseWriter, q *http.Request) {
		held <- struct{}{}
		<-finish
		testkit.Served(w, q)
	})
	r.list(target(a, "s-1", 0))
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		resp, err := r.RoundTrip(r.call(http.MethodGet, "/roster-read", "id-1").WithContext(ctx))
		if err == nil {
			resp.Body.Close()
		}
		left <- err
	}()
	testkit.Next(t, held)
	if resp, _ := r.do(r.call(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != http.StatusConflict {
		t.Errorf("an id in flight was taken again: %s", resp.Status)
	}
	leave()
	if err := testkit.Next(t, left); err == nil {
		t.Error("the client got an answer")
	}
	r.wait("the hang-up", func() bool { s := r.status(); return s.Requests == 1 && s.Unanswered == 0 })
	close(finish)
	r.wait("the attempt's end", func() bool { return r.status().Requests == 0 })
	go func() { <-held }()
	if resp, _ := r.do(r.call(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != 200 {
		t.Errorf("a free id: %s", resp.Status)
	}
}

// Nothing new goes to an app server that drains, and its idle connections are closed.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	r := newRig(t)
	a := testkit.NewApp(t, testkit.Served)
	b := testkit.NewApp(t, testkit.Served)
	r.list(target(a, "s-1", 0))
	r.do(r.call(http.MethodGet, "/roster-read", "id-1"))
	drains := target(a, "s-1", 0)
	drains.State = "draining"
	r.list(drains, target(b, "s-2", 0))
	for i := range 20 {
		if resp, _ := r.do(r.call(http.MethodGet, "/roster-read", "later-"+strconv.Itoa(i))); resp.StatusCode != 200 {
			t.Errorf("%s", resp.Status)
		}
	}
	if a.Count() != 1 || b.Count() != 20 {
		t.Errorf("%d requests to the one that drains, %d to the other", a.Count(), b.Count())
	}
	if s := r.status(); s.AvailableServers != 1 || s.IdleConnections != b.Dials() {
		t.Error("an idle connection to it was kept")
	}
}

// An app server may come back under another address.
func TestServerChangesAddress(t *testing.T) {
	r := newRig(t)
	a, b := testkit.NewApp(t, testkit.Served), testkit.NewApp(t, testkit.Served)
	r.list(target(a, "s-1", 0))
	r.do(r.call(http.MethodGet, "/roster-read", "id-1"))
	r.list(target(b, "s-1", 0))
	r.do(r.call(http.MethodGet, "/roster-read", "id-2"))
	if a.Count() != 1 || b.Count() != 1 {
		t.Errorf("%d requests to the old address, %d to the new one", a.Count(), b.Count())
	}
}

// A connection belongs to the app server that it was opened to, not to its address: it is
// never used for another one there, also where it was in use when the first one went.
func TestReusedAddressGetsNewConnections(t *testing.T) {
	r := newRig(t)
	var mu sync.Mutex
	from := make(map[string]string)
	held, finish := make(chan struct{}), make(chan struct{})
	a := testkit.NewApp(t, func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get(protocol.HeaderID)
		mu.Lock()
		from[id] = q.RemoteAddr
		mu.Unlock()
		if id == "held" {
			close(held)
			<-finish
		}
		testkit.Served(w, q)
	})
	r.list(target(a, "s-1", 0))
	answered := make(chan int, 1)
	go func() {
		resp, _ := r.do(r.call(http.MethodGet, "/roster-read", "held"))
		answered <- resp.StatusCode
	}()
	testkit.Next(t, held)
	r.do(r.call(http.MethodGet, "/roster-read", "before"))
	gone := target(a, "s-1", 0)
	gone.State = "removed"
	r.list(gone, target(a, "s-2", 0))
	close(finish)
	if s := testkit.Next(t, answered); s != 200 {
		t.Errorf("what was held: %d", s)
	}
	r.wait("the attempt's end", func() bool { return r.status().Requests == 0 })
	r.do(r.call(http.MethodGet, "/roster-read", "after"))
	if from["after"] == from["before"] || from["after"] == from["held"] {
		t.Error("a connection to the one that has gone was used")
	}
}

// The node keeps nothing of app servers that have come and gone.
func TestRemovedServersLeaveNoState(t *testing.T) {
	r := newRig(t)
	a := testkit.NewApp(t, testkit.Served)
	for i := range 50 {
		up := target(a, "s-"+strconv.Itoa(i), 0)
		r.list(up)
		resp, _ := r.do(r.call(http.MethodGet, "/roster-read", "id-"+strconv.Itoa(i)))
		if resp.StatusCode != 200 {
			t.Errorf("%s", resp.Status)
		}
		r.wait("one app server", func() bool { s := r.status(); return s.Servers == 1 && s.AvailableServers == 1 })
		up.State = "removed"
		r.list(up)
	}
	r.wait("none", func() bool { s := r.status(); return s.Servers == 0 && s.AvailableServers == 0 })
	if idle, pools := r.service().Upstream().Conns(); idle != 0 || pools != 0 {
		t.Errorf("%d pools, %d connections", pools, idle)
	}
}

// A draining node answers what it holds, takes what still comes and then ends.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	t.Parallel()
	r := newRigWithDrain(t, config.PlatformDrain)
	held, finish := make(chan struct{}, 2), make(chan struct{})
	a := testkit.NewApp(t, func(w http.ResponseWriter, q *http.Request) {
		held <- struct{}{}
		<-finish
		testkit.Served(w, q)
	})
	r.list(target(a, "s-1", 0))
	answers := make(chan *http.Response, 2)
	ask := func(id string) {
		resp, _ := r.do(r.call(http.MethodGet, "/roster-read", id))
		answers <- resp
	}
	go ask("before")
	testkit.Next(t, held)
	r.stop()
	r.wait("draining", r.isDraining)
	if resp, _ := r.do(r.call(http.MethodGet, "/roster-read", "")); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("a bad request: %s, close %v", resp.Status, resp.Close)
	}
	go ask("after")
	testkit.Next(t, held)
	close(finish)
	for range 2 {
		if resp := testkit.Next(t, answers); resp.StatusCode != 200 || !resp.Close {
			t.Errorf("%s, close %v", resp.Status, resp.Close)
		}
	}
	if err := testkit.Next(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
	if c, err := net.Dial("tcp", r.node.Addr()); err == nil {
		c.Close()
		t.Error("still listening")
	}
}

// What an app server doesn't answer while the node drains is answered as failed before the end.
func TestDrainFailsUnansweredRequests(t *testing.T) {
	t.Parallel()
	r := newRigWithDrain(t, config.PlatformDrain)
	answered := r.holdRequest()
	r.stop()
	if s := testkit.Next(t, answered); s != http.StatusBadGateway {
		t.Errorf("%d", s)
	}
	if err := testkit.Next(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}

// Near the limit on descriptors an idle client connection goes for a new one.
func TestIdleClientIsEvictedAtDescriptorLimit(t *testing.T) {
	r := newRig(t)
	r.list(discovery.Target{UID: "s-1", Endpoint: "127.0.0.1:1", State: "up"})
	r.wait("ready", r.node.isReady)
	r.node.limiter.(*exclusiveLimiter).sockets.SetLimit(limits.ReservedForServers + 2) // one client, and the place for the next
	for range 3 {
		c, err := net.Dial("tcp", r.node.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testkit.Patience))
		io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
	}
}

// dial opens a raw connection to the node.
func (r *rig) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.node.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testkit.Patience))
	return c
}

// statuses reads all answers on a raw connection until it is closed.
func statuses(t *testing.T, c net.Conn) []int {
	t.Helper()
	var got []int
	for in := bufio.NewReader(c); ; {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
				t.Fatalf("the connection stays open after %v", got)
			}
			return got
		}
		io.Copy(io.Discard, resp.Body)
		got = append(got, resp.StatusCode)
	}
}

const validHeaders = protocol.HeaderID + ": raw\r\n" + protocol.HeaderPlan + ": enterprise\r\n" + protocol.HeaderTimeLeft + ": 7000m\r\n" + protocol.HeaderKey + ": k\r\n"

// Nothing that hides in a body or behind one that can't be told reaches an app server: the
// client is answered once and its connection closed.
func TestSmuggledRequestsAreNotForwarded(t *testing.T) {
	r := newRig(t)
	a := testkit.NewApp(t, testkit.Served)
	r.list(target(a, "s-1", 0))
	const post = "POST /visit-update?account=00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\n" + validHeaders
	hidden := strings.ReplaceAll(strings.Replace(post, "POST /visit-update", "GET /roster-read", 1), "raw", "hidden") + "\r\n"
	for name, tc := range map[string]struct {
		text string
		want int
	}{
		"length and chunks": {post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 411},
		"chunks and length": {post + "Transfer-Encoding: chunked\r\nContent-Length: " + strconv.Itoa(5+len(hidden)) + "\r\n\r\n0\r\n\r\n" + hidden, 411},
		"chunks":            {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 411},
		"two lengths":       {post + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n" + hidden, 400},
		"negative length":   {post + "Content-Length: -1\r\n\r\n" + hidden, 400},
		"huge length":       {post + "Content-Length: 60000000\r\n\r\n" + hidden, 413},
		"no length at all":  {post + "Content-Length: 99999999999999999999\r\n\r\n" + hidden, 400},
		"no head":           {"\x00\x01 noise\r\n\r\n" + hidden, 400},
	} {
		t.Run(name, func(t *testing.T) {
			c := r.dial()
			io.WriteString(c, tc.text)
			if got := statuses(t, c); len(got) != 1 || got[0] != tc.want {
				t.Errorf("answered %v", got)
			}
		})
	}
	if n := a.Count(); n > 0 {
		t.Errorf("sent on: %q", a.Requests())
	}
}

// Where all places are taken by clients that say nothing, one that asks is still testkit.Served, and
// the connections to app servers stay.
func TestSilentClientsAreEvicted(t *testing.T) {
	r := newRig(t)
	r.node.limiter.(*exclusiveLimiter).sockets.SetLimit(limits.ReservedForServers + 20)
	a := testkit.NewApp(t, testkit.Served)
	r.list(target(a, "s-1", 0))
	r.do(r.call(http.MethodGet, "/roster-read", "id-1"))
	for range 60 {
		r.dial()
	}
	for id := range 3 {
		c := r.dial()
		io.WriteString(c, strings.Replace("GET /roster-read?account=00000000b4d65521 HTTP/1.1\r\nHost: o\r\nConnection: close\r\n"+validHeaders+"\r\n", "raw", "after-"+strconv.Itoa(id), 1))
		if got := statuses(t, c); len(got) != 1 || got[0] != 200 {
			t.Errorf("answered %v", got)
		}
	}
	if s := r.status(); s.IdleConnections != a.Dials() {
		t.Errorf("%d connections to the app server were made, and %d are left: given up for silent clients", a.Dials(), s.IdleConnections)
	}
}
