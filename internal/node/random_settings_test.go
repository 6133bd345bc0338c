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
	"lockflow/internal/testkit"
)

// names are of classes, plans and zones; each has to be escaped somewhere, or may be taken for something else.
var names = []string{"read", "a/b", "50%2F%", `Über "x"`, "..", "a+b c", "x;y=1?#&", "日本,語", "healthz", "'", "POST", "0"}

// What an app server does with a request that has come whole; in all but turnsAway it may have run.
const (
	serves = iota
	fails
	resets
	turnsAway
	stays // until the node gives up
)

// drawnApps are three app servers that do with each request, arrival by arrival, what was drawn for it.
type drawnApps struct {
	all  [3]*testkit.App
	mu   sync.Mutex
	does map[string][]int // by id
	seen map[string][]arrival
}

type arrival struct{ server, did int }

func newDrawnApps(t *testing.T) *drawnApps {
	d := &drawnApps{does: map[string][]int{}, seen: map[string][]arrival{}}
	for i := range d.all {
		d.all[i] = testkit.NewApp(t, func(w http.ResponseWriter, q *http.Request) {
			switch d.arrive(i, q.Header.Get(protocol.HeaderID)) {
			case fails:
				w.WriteHeader(http.StatusInternalServerError)
			case resets:
				testkit.Reset(w, q)
			case turnsAway:
				w.Header().Set(protocol.HeaderUnseen, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			case stays:
				<-q.Context().Done()
			default:
				w.Header().Set(protocol.HeaderUsed, "90")
				w.Header().Set(protocol.HeaderCost, "2")
				w.Header().Set(protocol.HeaderLoad, "util=0.5,latency_ms=2")
				testkit.Served(w, q)
			}
		})
	}
	return d
}

func (d *drawnApps) arrive(server int, id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	did := serves
	if n := len(d.seen[id]); n < len(d.does[id]) {
		did = d.does[id][n]
	}
	d.seen[id] = append(d.seen[id], arrival{server, did})
	return did
}

func (d *drawnApps) of(id string) []arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seen[id]
}

// The zone and the cell of each server.
var (
	drawnZones = [3]string{"z 1", "z 1", "z/2"}
	drawnCells = [3]int{1, 2, 2}
)

// drawnSite draws a whole configuration: of few or many figures, any effect for any name.
func drawnSite(t *rapid.T, apps *drawnApps) obj {
	some := func(what string, of ...any) any { return rapid.SampledFrom(of).Draw(t, what) }
	set := obj{"group-size": rapid.IntRange(1, 300).Draw(t, "group"), "discovery": some("discovery", "pushed", "on_request")}
	set["self-index"] = rapid.IntRange(0, set["group-size"].(int)-1).Draw(t, "index")
	if rapid.Bool().Draw(t, "zones") {
		set["zone"], set["azs"] = drawnZones[0], drawnZones[1:]
	}
	order := rapid.Permutation(names).Draw(t, "names")
	classes, plans := []any{}, []any{}
	for i := range rapid.IntRange(1, 3).Draw(t, "classes") {
		classes = append(classes, obj{
			"name": order[i], "effect": some("effect", "free", "guarded", "single_shot"), "key-scope": some("scope", "all", "zone", "cell"),
			"deadline": some("deadline", 1, 20, 300.5, 3000, 3600e3), "aim": some("aim", 1, 200, 2000, 3600e3), "repeat-window": some("window", 0, 1, 500, 3600e3),
			"worth": some("worth", 0, 1, 5), "late-share": some("late", 0, 1),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "plans") {
		p := obj{"name": order[len(order)-1-i], "value-factor": some("price", 0, 1.5)}
		for key, of := range map[string][]any{"quota-rate": {0, 0.5, 1000}, "depth": {0, 0.5, 40}, "open": {0, 1, 40}, "cap-rate": {0, 0, 10}, "hard-burst": {0, 40}} {
			if rapid.Bool().Draw(t, key+" told") {
				p[key] = some(key, of...)
			}
		}
		plans = append(plans, p)
	}
	set["classes"], set["tariffs"] = classes, plans
	if rapid.Bool().Draw(t, "domain") {
		set["domain"] = obj{"meter-period": some("meter", 0, 100, 1000), "cost-after": some("cost", true, false), "units-top": some("units", 0, 1, 4)}
	}
	if rapid.Bool().Draw(t, "contract") {
		set["contract"] = obj{"cold": 15000, "cold-from": 0.15, "drain-grace": 2000, "fall": 2000, "fall-multiple": 2.5}
	}
	if rapid.Bool().Draw(t, "limits") {
		set["limits"] = obj{"send-cap": some("cap", 0, 1, 6), "connect-timeout": 250, "keepalive": some("keepalive", 100, 15000), "max-retry-after": some("after", 0, 1000)}
	}
	var targets []any
	for i, a := range apps.all {
		targets = append(targets, obj{"uid": fmt.Sprint("s/", i), "endpoint": a.Addr(), "az": drawnZones[i], "pod_group": drawnCells[i], "state": "up"})
	}
	return obj{
		"name": "n 1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
		"known": obj{"rev": 3, "all": true, "targets": targets}, "settings": set,
	}
}

// drawnAsk is one request, what its client gets wrong, and what servers do with it.
type drawnAsk struct {
	class, plan   int
	key           bool
	method        string
	does          []int
	spread, first int
}

// Whatever the settings are, a node starts by them, answers each request once, and sends one that may have run again
// by the terms of its class alone, whatever the class is called and whichever method it comes by.
func TestRandomSettingsServeRequests(t *testing.T) {
	apps := newDrawnApps(t)
	next, served := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		raw, err := json.Marshal(drawnSite(rt, apps))
		if err != nil {
			rt.Fatal(err)
		}
		cfg, err := config.ParsePlatform(raw)
		if err != nil {
			rt.Fatalf("%v: %s", err, raw)
		}
		cfg.Process.Drain = config.Drain{}
		set := cfg.Services[0].Settings
		var asks []drawnAsk
		for range rapid.IntRange(1, 8).Draw(rt, "requests") {
			a := drawnAsk{
				class: rapid.IntRange(0, len(set.Classes)-1).Draw(rt, "class"), plan: rapid.IntRange(0, len(set.Plans)-1).Draw(rt, "plan"),
				key: rapid.Bool().Draw(rt, "key"), method: rapid.SampledFrom([]string{"", "", "", "GET", "POST"}).Draw(rt, "method"),
				spread: rapid.IntRange(1, set.GroupSize).Draw(rt, "spread"), first: rapid.IntRange(0, set.GroupSize-1).Draw(rt, "first"),
			}
			most := turnsAway
			if set.Classes[a.class].Deadline < time.Second {
				most = stays
			}
			a.does = rapid.SliceOfN(rapid.IntRange(serves, most), 0, 6).Draw(rt, "does")
			asks = append(asks, a)
		}
		if ok := t.Run("", func(t *testing.T) {
			r := newRigWithConfig(t, cfg)
			conn, err := net.Dial("tcp", r.node.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(testkit.Patience))
			in := bufio.NewReader(conn)
			for _, a := range asks {
				next++
				id := fmt.Sprint("id-", next)
				if a.ask(t, apps, &set, id, conn, in) == http.StatusOK {
					served++
				}
			}
			testkit.Until(t, "nothing held", func() bool { return r.status().Requests == 0 })
		}); !ok {
			rt.Fatalf("settings %s, requests %+v", raw, asks)
		}
	})
	if served < next/10 {
		t.Errorf("%d of %d served: it shows little", served, next)
	}
}

// ask sends a request and holds its answer, and what the servers saw, to the terms of its class.
func (a *drawnAsk) ask(t *testing.T, apps *drawnApps, set *control.Settings, id string, conn io.Writer, in *bufio.Reader) int {
	k := set.Classes[a.class]
	apps.mu.Lock()
	apps.does[id] = a.does
	apps.mu.Unlock()
	method := http.MethodPost
	if k.Idempotency == control.Idempotent {
		method = http.MethodGet
	}
	wrong := 0
	if k.Idempotency == control.IdempotencyKeyed && !a.key {
		wrong = http.StatusBadRequest
	}
	if a.method != "" && a.method != method {
		method, wrong = a.method, http.StatusMethodNotAllowed
	}
	var q strings.Builder
	fmt.Fprintf(&q, "%s /%s/7?account=%016x HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s: %s\r\n%s: %dm\r\n%s: units=1,spread=%d,first=%d\r\n", method, url.PathEscape(k.Name), 7,
		protocol.HeaderID, id, protocol.HeaderPlan, set.Plans[a.plan].Name, protocol.HeaderTimeLeft, k.Deadline.Milliseconds(), protocol.HeaderWeight, a.spread, a.first)
	if a.key {
		fmt.Fprintf(&q, "%s: key of %s\r\n", protocol.HeaderKey, id)
	}
	if method == http.MethodPost {
		q.WriteString("Content-Length: 4\r\n\r\nbody")
	} else {
		q.WriteString("\r\n")
	}
	if _, err := io.WriteString(conn, q.String()); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("%s: no answer: %v", id, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || in.Buffered() > 0 || resp.Close {
		t.Fatalf("%s: %v, %d bytes behind the answer, close %v", id, err, in.Buffered(), resp.Close)
	}
	seen := apps.of(id)
	ran, first := false, arrival{}
	for i, s := range seen {
		if ran && (k.Idempotency == control.NotIdempotent || k.Idempotency == control.IdempotencyKeyed && (k.RepeatWindow == 0 ||
			k.KeyScope == control.ScopeZone && drawnZones[s.server] != drawnZones[first.server] ||
			k.KeyScope == control.ScopeCell && drawnCells[s.server] != drawnCells[first.server])) {
			t.Errorf("%s of %+v was sent again: %+v", id, k, seen)
		}
		if s.did != turnsAway && !ran {
			ran, first = true, s
		}
		if set.MaxAttempts > 0 && i >= set.MaxAttempts {
			t.Errorf("%s was sent more than %d times", id, set.MaxAttempts)
		}
	}
	good := len(seen) > 0 && seen[len(seen)-1].did == serves
	switch resp.StatusCode {
	case http.StatusOK:
		if !good || string(body) != "served "+id {
			t.Errorf("%s: served %q behind %+v", id, body, seen)
		}
	case http.StatusServiceUnavailable:
		if ran && k.Idempotency != control.Idempotent && (k.Idempotency == control.NotIdempotent || k.KeyScope != control.ScopeAll) {
			t.Errorf("%s of %+v was refused behind %+v", id, k, seen)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		if resp.StatusCode != wrong {
			t.Errorf("%s: %s %s", id, resp.Status, body)
		}
	}
	if wrong != 0 && (resp.StatusCode != wrong || len(seen) > 0) {
		t.Errorf("%s, which is wrong: %s, %+v", id, resp.Status, seen)
	}
	return resp.StatusCode
}
