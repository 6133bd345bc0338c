// Package scattergathertest tests scatter-gather services through a complete node, from the view of clients and servers.
package scattergathertest

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"lockflow/internal/command"
	"lockflow/internal/config"
	"lockflow/internal/node"
	"lockflow/internal/testsupport/testkit"
)

// pool is the only server of a service. It answers with array elements that contain its name. While it is stalled it does
// not answer.
type pool struct {
	*testkit.App
	name    string
	mu      sync.Mutex
	gate    chan struct{} // requests wait until it is closed
	handler http.HandlerFunc
}

func newPool(t *testing.T, name string) *pool {
	p := &pool{name: name, gate: make(chan struct{})}
	close(p.gate)
	p.handler = func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, ` [ %q , {"of":%q} ] `, name, name) }
	testEnded := make(chan struct{})
	p.App = testkit.NewApp(t, func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		gate, handler := p.gate, p.handler
		p.mu.Unlock()
		select {
		case <-gate:
			handler(w, r)
		case <-r.Context().Done():
		case <-testEnded:
		}
	})
	t.Cleanup(func() { close(testEnded) })
	return p
}

func (p *pool) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate = make(chan struct{})
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.gate)
}

func (p *pool) setHandler(h http.HandlerFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handler = h
}

func service(p *pool, more string) string {
	return fmt.Sprintf("[services.%s]\n%s\nsource = { kind = \"static\", servers = [{ endpoint = %q }] }\n", p.name, more, p.Addr())
}

const baseConfig = `
[process]
descriptors = 1024
drain = { idle = "0s", accept = "0s", most = "5s" }
[[listeners]]
address = "127.0.0.1:0"
[classes.read]
repeats = "free"
deadline = "20s"
[classes.search]
repeats = "free"
deadline = "20s"
[plans.free]
[plans.tight]
rate = 0.001
depth = 2
`

func gatheringService(gather string) string {
	return "[services.district.gather]\nmerge = \"json-array\"\n" + gather + "\n[[routes]]\nservice = \"district\"\n" +
		"[[routes]]\nservice = \"district\"\npath = \"/search\"\nmethod = \"POST\"\nas = \"search\"\n"
}

// testNode is a node with pools a, b and c.
type testNode struct {
	*node.Node
	t               *testing.T
	a, b, c         *pool
	serviceSettings map[string]string // additional settings by service
}

func (r *testNode) configText(gather string) string {
	s := baseConfig
	for _, p := range []*pool{r.a, r.b, r.c} {
		s += service(p, cmp.Or(r.serviceSettings[p.name], `plans = ["free"]`))
	}
	return s + gather
}

func startNode(t *testing.T, gather string, serviceSettings map[string]string) *testNode {
	t.Helper()
	r := &testNode{t: t, a: newPool(t, "a"), b: newPool(t, "b"), c: newPool(t, "c"), serviceSettings: serviceSettings}
	cfg, err := config.Parse("test", []byte(r.configText(gather)))
	if err != nil {
		t.Fatal(err)
	}
	if r.Node, err = node.New(cfg); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		stop()
		if err := testkit.Next(t, done); err != nil {
			t.Error(err)
		}
	})
	testkit.Next(t, r.Ready())
	return r
}

type answer struct {
	status         int
	parts, missing string
	body           string
	header         http.Header
}

func (r *testNode) query(method, path, body string, fields ...string) answer {
	r.t.Helper()
	req, err := http.NewRequest(method, "http://"+r.Addr()+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	for i := 0; i < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return answer{resp.StatusCode, resp.Header.Get("Lockflow-Parts"), resp.Header.Get("Lockflow-Missing"), string(raw), resp.Header}
}

// requireAnswer checks an answer. The body is checked only for the status 200, and not if the expected body is "-".
func (r *testNode) requireAnswer(a answer, status int, parts, missing, body string) {
	r.t.Helper()
	if a.status != status || a.parts != parts || a.missing != missing || status == 200 && body != "-" && a.body != body {
		r.t.Errorf("got status %d, parts %q, missing %q, body %s", a.status, a.parts, a.missing, a.body)
	}
}

// waitUntilIdle waits until no service has requests or buffered bytes.
func (r *testNode) waitUntilIdle() {
	r.t.Helper()
	testkit.Until(r.t, "all services are idle", func() bool {
		return !slices.ContainsFunc(r.Status(), func(s node.Status) bool {
			return s.Requests != 0 || s.Resources.Requests.Used != 0 || s.Resources.BufferedBytes.Used != 0
		})
	})
}

func mergedBody(names ...string) string {
	var all []string
	for _, n := range names {
		all = append(all, fmt.Sprintf("%q , {\"of\":%q}", n, n))
	}
	return "[" + strings.Join(all, ",") + "]"
}

const fixedDeadline = `parts = ["a", "b", "c"]
least = 0.6
deadline = "2s"
half_life = "10s"`

// nodeVariable is the environment variable that makes the test binary run as lockflow itself.
const nodeVariable = "LOCKFLOW_TEST_SCATTER"

func TestMain(m *testing.M) {
	if os.Getenv(nodeVariable) != "" {
		os.Exit(command.Main(os.Args[1:]))
	}
	goleak.VerifyTestMain(m)
}

var longDeadline = strings.Replace(fixedDeadline, "2s", "15s", 1)

func TestWholePartialAndTooFew(t *testing.T) {
	r := startNode(t, gatheringService(longDeadline), nil)
	r.requireAnswer(r.query("GET", "/x", ""), 200, "3/3", "", mergedBody("a", "b", "c"))
	a := r.query("HEAD", "/x", "")
	if r.requireAnswer(a, 200, "3/3", "", ""); a.header.Get("Content-Length") != fmt.Sprint(len(mergedBody("a", "b", "c"))) {
		t.Errorf("got Content-Length %s for HEAD", a.header.Get("Content-Length"))
	}
	r.requireAnswer(r.query("POST", "/x", ""), 405, "", "", "")
	r.requireAnswer(r.query("POST", "/search", strings.Repeat("x", 9000)), 200, "3/3", "", mergedBody("a", "b", "c"))
	if received := r.b.Requests(); received[len(received)-1] != "POST /search  "+strings.Repeat("x", 9000) {
		t.Errorf("the part received the request %.80q", received[len(received)-1])
	}
	r.requireAnswer(r.query("POST", "/search", strings.Repeat("x", 70000)), 413, "", "", "")
	for name, bad := range map[string]http.HandlerFunc{
		"an error":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500); io.WriteString(w, "[1]") },
		"not found":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404); io.WriteString(w, "[1]") },
		"an object":     func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"a":[1]}`) },
		"half an array": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `[1,2`) },
		"two arrays":    func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `[1][2]`) },
		"cut short": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, `[1]`)
		},
		"encoded": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			io.WriteString(w, `[1]`)
		},
		"an impossible parts header": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Lockflow-Parts", "3/2")
			io.WriteString(w, `[1]`)
		},
		"too long in pieces": func(w http.ResponseWriter, _ *http.Request) {
			w.(http.Flusher).Flush()
			io.WriteString(w, "["+strings.Repeat("1,", 300<<10)+"1]")
		},
	} {
		r.b.setHandler(bad)
		a := r.query("GET", "/x", "")
		if a.status != 200 || a.parts != "2/3" || a.missing != "b" || a.body != mergedBody("a", "c") {
			t.Errorf("%s: %+v", name, a)
		}
	}
	r.a.setHandler(testkit.Reset)
	r.requireAnswer(r.query("GET", "/x", ""), 503, "", "", "")
	st := r.GathererStatus()[0]
	if st.Queries["whole"] != 3 || st.Queries["partial"] != 9 || st.Queries["too_few"] != 1 || st.MissingCounts["b"] != 10 || st.MissingCounts["c"] > 1 {
		t.Errorf("%+v", st)
	}
	r.waitUntilIdle()
}

// A part that does not answer must not delay or lose the others' results: the query is answered without it at the
// deadline. A late result of the part is used only for learning, and is never added to an answer.
func TestStalled(t *testing.T) {
	t.Parallel() // the test waits for deadlines, which are long so that they are met on busy machines
	r := startNode(t, gatheringService(fixedDeadline), nil)
	r.c.stall()
	for range 2 {
		r.requireAnswer(r.query("GET", "/x", ""), 200, "2/3", "c", mergedBody("a", "b"))
	}
	if r.a.Count() != 2 || r.b.Count() != 2 || r.c.Count() < 1 || r.c.Count() > 2 {
		t.Errorf("got %d, %d and %d requests, want 2, 2 and 1 or 2", r.a.Count(), r.b.Count(), r.c.Count())
	}
	before := r.GathererStatus()[0].Learned
	r.c.release() // late results are learned from but are part of no answer
	// The first late answer makes c look as slow as its latency objective. Its module then admits a request only
	// while no attempt is in flight, so the next query has to wait until both late answers are in.
	r.waitUntilIdle()
	r.requireAnswer(r.query("GET", "/x", ""), 200, "3/3", "", mergedBody("a", "b", "c"))
	r.waitUntilIdle()
	if after := r.GathererStatus()[0].Learned; after.Sketches < before.Sketches || after.Queries != 3 {
		t.Errorf("got learned data %+v after %+v", after, before)
	}
	// The disconnect of a client ends its query and all attempts of it.
	r.c.stall()
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+r.Addr()+"/x", nil)
	n := r.c.Count()
	go func() {
		testkit.Until(t, "the stalled part receives a request", func() bool { return r.c.Count() > n })
		cancel()
	}()
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
	testkit.Until(t, "the query is counted as left by its client", func() bool { return r.GathererStatus()[0].Queries["left"] == 1 })
	r.c.release()
	r.waitUntilIdle()
	testkit.Until(t, "no query is in flight", func() bool { return r.GathererStatus()[0].InFlight == 0 })
	if n := r.GathererStatus()[0].Learned.Queries; n != 4 { // otherwise the exploration budget of a query is never returned
		t.Errorf("%d queries are learned from, want 4", n)
	}
}

// The deadline that a client sends limits the wait even if the service has none: the query is answered in time with the
// results received so far. A malformed deadline is answered with 400.
func TestClientDeadline(t *testing.T) {
	t.Parallel()
	r := startNode(t, strings.Replace(gatheringService(strings.Replace(fixedDeadline, "2s", "none", 1)), "[services.district.gather]", "[services.district]\ntime_header = \"X-Wait\"\n[services.district.gather]", 1), nil)
	r.c.stall()
	r.requireAnswer(r.query("GET", "/x", "", "X-Wait", "3s"), 200, "2/3", "c", mergedBody("a", "b"))
	r.b.stall()
	r.requireAnswer(r.query("GET", "/x", "", "X-Wait", "3s"), 503, "", "", "")
	r.requireAnswer(r.query("GET", "/x", "", "X-Wait", "soon"), 400, "", "", "")
	r.b.release()
	r.c.release()
}

// If the quota of one part rejects a query, the entire query is rejected and no part is sent a request.
func TestQuota(t *testing.T) {
	r := startNode(t, gatheringService(longDeadline), map[string]string{"b": `plans = ["tight"]`})
	served := 0
	for range 12 {
		switch a := r.query("GET", "/x", ""); {
		case a.status == 200 && a.parts == "3/3":
			served++
		case a.status != 503 || a.header.Get("Retry-After") == "" || !strings.Contains(a.body, "the quota of a part, b"):
			t.Errorf("%+v", a)
		}
	}
	if served == 0 || served == 12 {
		t.Fatalf("%d of 12 queries served: the quota was not tested", served)
	}
	for _, p := range []*pool{r.a, r.b, r.c} {
		if p.Count() != served {
			t.Errorf("%s received %d requests, want %d as queries served", p.name, p.Count(), served)
		}
	}
	if n := r.GathererStatus()[0].Queries["quota"]; n != uint64(12-served) {
		t.Errorf("%d queries rejected by quota", n)
	}
	// No service has a request in flight. The module of the part that rejected the last query is consulted first for the
	// next one, so most rejected queries never reach the modules of the other parts.
	for _, s := range r.Status() {
		if s.Requests != 0 {
			t.Errorf("%s has %d requests in flight, want 0", s.Name, s.Requests)
		}
	}
	r.waitUntilIdle()
}

// A part may itself be a scatter-gather service, in the same process or in another one. The counts of received and missing
// parts in an answer are then those of the innermost parts.
func TestTwoLevels(t *testing.T) {
	t.Parallel()
	west := "[services.west.gather]\nparts = [\"b\", \"c\"]\nleast = 0.5\nmerge = \"json-array\"\ndeadline = \"2s\"\nhalf_life = \"10s\"\n"
	r := startNode(t, west+gatheringService("parts = [\"a\", \"west\"]\nweights = [3, 1]\nleast = 0.6\ndeadline = \"4s\"\nhalf_life = \"10s\""), nil)
	r.requireAnswer(r.query("GET", "/x", ""), 200, "3/3", "", mergedBody("a", "b", "c"))
	r.c.stall()
	r.requireAnswer(r.query("GET", "/x", ""), 200, "2/3", "west/c", mergedBody("a", "b"))
	r.b.stall()
	r.requireAnswer(r.query("GET", "/x", ""), 200, "1/3", "west", mergedBody("a"))
	r.b.release()
	r.c.release()
	r.b.setHandler(func(w http.ResponseWriter, _ *http.Request) { // the answer of a scatter-gather service with four parts
		w.Header().Set("Lockflow-Parts", "2/4")
		w.Header().Set("Lockflow-Missing", "p, q/r")
		io.WriteString(w, "[1,2]")
	})
	r.requireAnswer(r.query("GET", "/x", ""), 200, "4/6", "west/b/p, west/b/q/r", "["+strings.Trim(mergedBody("a"), "[]")+",1,2,"+strings.Trim(mergedBody("c"), "[]")+"]")
	r.waitUntilIdle()
}

// Reloads under load lose no query: each query has one answer, whose header states exactly the results in the body.
func TestReloadUnderLoad(t *testing.T) {
	r := startNode(t, gatheringService(longDeadline), nil)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := r.query("GET", "/x", "")
				var all []any
				received, n := 0, 0
				_, _ = fmt.Sscanf(a.parts, "%d/%d", &received, &n) // received and n remain 0 for an answer without parts
				if err := json.Unmarshal([]byte(a.body), &all); a.status == 503 {
					continue // can happen on a busy machine; the status checked below limits the number
				} else if a.status != 200 || err != nil || len(all) != 2*received || (received < n) != (a.missing != "") {
					t.Errorf("%+v: %v", a, err)
				}
			}
		})
	}
	for i := range 12 {
		configText := []string{gatheringService(longDeadline), gatheringService(strings.Replace(longDeadline, `, "c"]`, "]", 1)), gatheringService(strings.Replace(longDeadline, "15s", "none", 1))}[i%3]
		if i%3 == 1 {
			configText += "[[routes]]\nservice = \"c\"\npath = \"/c\"\n"
		}
		cfg, err := config.Parse("test", []byte(r.configText(configText)))
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Reload(cfg); err != nil {
			t.Fatal(err)
		}
		n := r.a.Count()
		testkit.Until(t, "20 more requests are served", func() bool { return r.a.Count() > n+20 })
	}
	close(stop)
	clients.Wait()
	st := r.GathererStatus()[0]
	if st.Queries["whole"] < 100 || st.Queries["partial"]+st.Queries["too_few"] > st.Queries["whole"]/2 || st.Learned.Sketches == 0 || !st.IsKnown {
		t.Errorf("%+v", st)
	}
	before := r.Checkpoint()
	if len(before.ScatterGathers["district"]) == 0 {
		t.Error("the checkpoint has no learned data")
	}
}
