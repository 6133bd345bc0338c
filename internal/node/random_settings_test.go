package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lockflow/control"
	"lockflow/internal/config"
	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/testkit"
)

// classNames are names for classes and plans. Each needs escaping somewhere or could be mistaken for something else.
var classNames = []string{"read", "a/b", "50%2F%", `Über "x"`, "..", "a+b c", "x;y=1?#&", "日本,語", "healthz", "'", "POST", "0"}

// Actions of an app server on a request that it has received completely. Except for rejectUnseen, the request may have
// been executed.
const (
	answerOK = iota
	answerError
	resetConnection
	rejectUnseen
	neverAnswer // block until the node cancels the request
)

// scriptedServers are three app servers that handle each arrival of a request by the next action of its script.
type scriptedServers struct {
	servers  [3]*testkit.App
	mu       sync.Mutex
	scripts  map[string][]int // by request ID
	arrivals map[string][]arrival
}

type arrival struct{ server, action int }

func newScriptedServers(t *testing.T) *scriptedServers {
	scripted := &scriptedServers{scripts: map[string][]int{}, arrivals: map[string][]arrival{}}
	for i := range scripted.servers {
		scripted.servers[i] = testkit.NewApp(t, func(w http.ResponseWriter, req *http.Request) {
			switch scripted.arrive(i, req.Header.Get(protocol.HeaderID)) {
			case answerError:
				w.WriteHeader(http.StatusInternalServerError)
			case resetConnection:
				testkit.Reset(w, req)
			case rejectUnseen:
				w.Header().Set(protocol.HeaderUnprocessed, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			case neverAnswer:
				<-req.Context().Done()
			default:
				w.Header().Set(protocol.HeaderQuotaUsed, "90")
				w.Header().Set(protocol.HeaderTrueCost, "2")
				w.Header().Set(protocol.HeaderBackendLoad, "util=0.5,latency_ms=2")
				testkit.AnswerServed(w, req)
			}
		})
	}
	return scripted
}

func (s *scriptedServers) arrive(server int, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	action := answerOK
	if n := len(s.arrivals[id]); n < len(s.scripts[id]) {
		action = s.scripts[id][n]
	}
	s.arrivals[id] = append(s.arrivals[id], arrival{server, action})
	return action
}

func (s *scriptedServers) arrivalsOf(id string) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[id]
}

// serverZones and serverCells are the zone and the cell of each server.
var (
	serverZones = [3]string{"z 1", "z 1", "z/2"}
	serverCells = [3]int{1, 2, 2}
)

// drawSettings draws a platform configuration with few or many settings and any idempotency for each class.
func drawSettings(t *rapid.T, apps *scriptedServers) jsonObject {
	sample := func(what string, values ...any) any { return rapid.SampledFrom(values).Draw(t, what) }
	settings := jsonObject{"group-size": rapid.IntRange(1, 300).Draw(t, "group"), "discovery": sample("discovery", "pushed", "on_request")}
	settings["self-index"] = rapid.IntRange(0, settings["group-size"].(int)-1).Draw(t, "index")
	if rapid.Bool().Draw(t, "zones") {
		settings["zone"], settings["azs"] = serverZones[0], serverZones[1:]
	}
	order := rapid.Permutation(classNames).Draw(t, "names")
	classes, plans := []any{}, []any{}
	for i := range rapid.IntRange(1, 3).Draw(t, "classes") {
		classes = append(classes, jsonObject{
			"name": order[i], "effect": sample("effect", "free", "guarded", "single_shot"), "key-scope": sample("scope", "all", "zone", "cell"),
			"deadline": sample("deadline", 1, 20, 300.5, 3000, 3600e3), "aim": sample("aim", 1, 200, 2000, 3600e3), "repeat-window": sample("window", 0, 1, 500, 3600e3),
			"worth": sample("worth", 0, 1, 5), "late-share": sample("late", 0, 1),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "plans") {
		p := jsonObject{"name": order[len(order)-1-i], "value-factor": sample("price", 0, 1.5)}
		for key, values := range map[string][]any{"quota-rate": {0, 0.5, 1000}, "depth": {0, 0.5, 40}, "open": {0, 1, 40}, "cap-rate": {0, 0, 10}, "hard-burst": {0, 40}} {
			if rapid.Bool().Draw(t, key+" told") {
				p[key] = sample(key, values...)
			}
		}
		plans = append(plans, p)
	}
	settings["classes"], settings["tariffs"] = classes, plans
	if rapid.Bool().Draw(t, "domain") {
		settings["domain"] = jsonObject{"meter-period": sample("meter", 0, 100, 1000), "cost-after": sample("cost", true, false), "units-top": sample("units", 0, 1, 4)}
	}
	if rapid.Bool().Draw(t, "contract") {
		settings["contract"] = jsonObject{"cold": 15000, "cold-from": 0.15, "drain-grace": 2000, "fall": 2000, "fall-multiple": 2.5}
	}
	if rapid.Bool().Draw(t, "limits") {
		settings["limits"] = jsonObject{"send-cap": sample("cap", 0, 1, 6), "connect-timeout": 250, "keepalive": sample("keepalive", 100, 15000), "max-retry-after": sample("after", 0, 1000)}
	}
	var targets []any
	for i, app := range apps.servers {
		targets = append(targets, jsonObject{"uid": fmt.Sprint("s/", i), "endpoint": app.Addr(), "az": serverZones[i], "pod_group": serverCells[i], "state": "up"})
	}
	return jsonObject{
		"name": "n 1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
		"known": jsonObject{"rev": 3, "all": true, "targets": targets}, "settings": settings,
	}
}

// randomRequest is a request, possibly with a wrong method or no key, and the servers' actions on its attempts.
type randomRequest struct {
	class, plan   int
	hasKey        bool
	method        string
	script        []int
	spread, first int
}

// With any settings a node starts and answers each request once. It retries a request that may have been executed only as
// the idempotency, key scope and repeat window of its class allow, independently of the class's name and the request's
// method.
func TestRandomSettingsServeRequests(t *testing.T) {
	apps := newScriptedServers(t)
	next, served := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		raw, err := json.Marshal(drawSettings(rt, apps))
		if err != nil {
			rt.Fatal(err)
		}
		cfg, err := config.ParsePlatform(raw)
		if err != nil {
			rt.Fatalf("parsing settings: %v: %s", err, raw)
		}
		cfg.Process.Drain = config.Drain{}
		settings := cfg.Services[0].Settings
		var requests []randomRequest
		for range rapid.IntRange(1, 8).Draw(rt, "requests") {
			request := randomRequest{
				class: rapid.IntRange(0, len(settings.Classes)-1).Draw(rt, "class"), plan: rapid.IntRange(0, len(settings.Plans)-1).Draw(rt, "plan"),
				hasKey: rapid.Bool().Draw(rt, "key"), method: rapid.SampledFrom([]string{"", "", "", "GET", "POST"}).Draw(rt, "method"),
				spread: rapid.IntRange(1, settings.GroupSize).Draw(rt, "spread"), first: rapid.IntRange(0, settings.GroupSize-1).Draw(rt, "first"),
			}
			lastAction := rejectUnseen
			if settings.Classes[request.class].Deadline < time.Second {
				lastAction = neverAnswer
			}
			request.script = rapid.SliceOfN(rapid.IntRange(answerOK, lastAction), 0, 6).Draw(rt, "does")
			requests = append(requests, request)
		}
		if ok := t.Run("", func(t *testing.T) {
			r := newTestNodeWithConfig(t, cfg)
			conn, err := net.Dial("tcp", r.node.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
			in := bufio.NewReader(conn)
			for _, request := range requests {
				next++
				id := fmt.Sprint("id-", next)
				if request.send(t, apps, &settings, id, conn, in) == http.StatusOK {
					served++
				}
			}
			testkit.Until(t, "no request in flight", func() bool { return r.status().Requests == 0 })
		}); !ok {
			rt.Fatalf("settings %s, requests %+v", raw, requests)
		}
	})
	if served < next/10 {
		t.Errorf("only %d of %d requests served: the test covers too little", served, next)
	}
}

// send sends a request and checks its answer and its arrivals at servers against the settings of its class.
func (request *randomRequest) send(t *testing.T, apps *scriptedServers, settings *control.Settings, id string, conn io.Writer, in *bufio.Reader) int {
	class := &settings.Classes[request.class]
	apps.mu.Lock()
	apps.scripts[id] = request.script
	apps.mu.Unlock()
	method, rejection := request.methodAndRejection(class)
	if _, err := io.WriteString(conn, request.text(class, settings.Plans[request.plan].Name, id, method)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("request %s: no answer: %v", id, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || in.Buffered() > 0 || resp.Close {
		t.Fatalf("request %s: error %v, %d bytes after the answer, close %v", id, err, in.Buffered(), resp.Close)
	}
	arrivals := apps.arrivalsOf(id)
	mayHaveRun := checkArrivals(t, id, class, settings.MaxAttempts, arrivals)
	succeeded := len(arrivals) > 0 && arrivals[len(arrivals)-1].action == answerOK
	switch resp.StatusCode {
	case http.StatusOK:
		if !succeeded || string(body) != "served "+id {
			t.Errorf("request %s: answered 200 %q after arrivals %+v", id, body, arrivals)
		}
	case http.StatusServiceUnavailable:
		if mayHaveRun && class.Idempotency != control.Idempotent && (class.Idempotency == control.NotIdempotent || class.KeyScope != control.ScopeAll) {
			t.Errorf("request %s of class %+v was answered 503 after arrivals %+v", id, *class, arrivals)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		if resp.StatusCode != rejection {
			t.Errorf("request %s: %s %s", id, resp.Status, body)
		}
	}
	if rejection != 0 && (resp.StatusCode != rejection || len(arrivals) > 0) {
		t.Errorf("invalid request %s: %s, arrivals %+v", id, resp.Status, arrivals)
	}
	return resp.StatusCode
}

// methodAndRejection returns the method of the request and the status that it is rejected with, or 0 if it is valid.
func (request *randomRequest) methodAndRejection(class *control.Class) (method string, rejection int) {
	method = http.MethodPost
	if class.Idempotency == control.Idempotent {
		method = http.MethodGet
	}
	if class.Idempotency == control.IdempotentWithKey && !request.hasKey {
		rejection = http.StatusBadRequest
	}
	if request.method != "" && request.method != method {
		return request.method, http.StatusMethodNotAllowed
	}
	return method, rejection
}

// text returns the request as it is sent.
func (request *randomRequest) text(class *control.Class, plan, id, method string) string {
	var builder strings.Builder
	fmt.Fprintf(&builder, "%s /%s/7?account=%016x HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s: %s\r\n%s: %dm\r\n%s: units=1,spread=%d,first=%d\r\n", method, url.PathEscape(class.Name), 7,
		protocol.HeaderID, id, protocol.HeaderPlan, plan, protocol.HeaderTimeLeft, class.Deadline.Milliseconds(), protocol.HeaderWeight, request.spread, request.first)
	if request.hasKey {
		fmt.Fprintf(&builder, "%s: key of %s\r\n", protocol.HeaderIdempotencyKey, id)
	}
	if method == http.MethodPost {
		builder.WriteString("Content-Length: 4\r\n\r\nbody")
	} else {
		builder.WriteString("\r\n")
	}
	return builder.String()
}

// checkArrivals checks that a request that may have been executed was retried only as its class allows. It reports
// whether the request may have been executed.
func checkArrivals(t *testing.T, id string, class *control.Class, maxAttempts int, arrivals []arrival) (mayHaveRun bool) {
	t.Helper()
	var first arrival
	for i, arrived := range arrivals {
		if mayHaveRun && !mayRetry(class, first.server, arrived.server) {
			t.Errorf("request %s of class %+v was retried: arrivals %+v", id, *class, arrivals)
		}
		if arrived.action != rejectUnseen && !mayHaveRun {
			mayHaveRun, first = true, arrived
		}
		if maxAttempts > 0 && i >= maxAttempts {
			t.Errorf("request %s was sent more than %d times", id, maxAttempts)
		}
	}
	return mayHaveRun
}

// mayRetry reports whether a request that server first may have executed may be sent to server next.
func mayRetry(class *control.Class, first, next int) bool {
	switch class.Idempotency {
	case control.NotIdempotent:
		return false
	case control.IdempotentWithKey:
		return class.RepeatWindow != 0 &&
			(class.KeyScope != control.ScopeZone || serverZones[next] == serverZones[first]) &&
			(class.KeyScope != control.ScopeCell || serverCells[next] == serverCells[first])
	}
	return true
}
