package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"testing"

	"lockflow/internal/config"
	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/testkit"
)

// jsonObject is a decoded JSON object of a configuration.
type jsonObject = map[string]any

// TestPlatformSettingsVariants checks that a request of each class is served under settings that differ from those of the
// fixture: missing settings, unusual numbers, and names that need escaping.
func TestPlatformSettingsVariants(t *testing.T) {
	onlyIdempotent := func(o jsonObject) {
		o["settings"].(jsonObject)["classes"] = []any{jsonObject{"name": "read", "aim": 100.0, "deadline": 400.0, "effect": "free"}}
	}
	prefixNames := func(name string) func(jsonObject) {
		return func(o jsonObject) {
			for _, k := range o["settings"].(jsonObject)["classes"].([]any) {
				k := k.(jsonObject)
				k["name"] = name + k["effect"].(string)
			}
		}
	}
	setValue := func(path string, v any) func(jsonObject) {
		return func(o jsonObject) {
			keys := strings.Split(path, "/")
			for _, k := range keys[:len(keys)-1] {
				o = o[k].(jsonObject)
			}
			if o[keys[len(keys)-1]] = v; v == "gone" {
				delete(o, keys[len(keys)-1])
			}
		}
	}
	onlyPlan := func(name string) func(jsonObject) {
		return setValue("settings/tariffs", []any{jsonObject{"name": name}})
	}
	for name, change := range map[string]func(jsonObject){
		"settings of the fixture": func(jsonObject) {},
		"one class":               onlyIdempotent,
		"no clients":              setValue("settings/clients", "gone"),
		"no contract":             setValue("settings/contract", "gone"),
		"no domain":               setValue("settings/domain", nil),
		"no limits":               setValue("settings/limits", jsonObject{}),
		"no zones":                func(o jsonObject) { setValue("settings/zone", "gone")(o); setValue("settings/azs", []any{})(o) },
		"no process limits":       setValue("limits", "gone"),
		"no cached endpoints":     setValue("known", "gone"),
		"no meter":                setValue("settings/domain/meter-period", 0),
		"numbers as text": func(o jsonObject) {
			setValue("settings/domain/units-top", "4.0")(o)
			setValue("settings/group-size", "1")(o)
		},
		"alone":                      setValue("settings/group-size", 1),
		"fractional limits":          setValue("limits", jsonObject{"cores": 0.25, "memory_mb": 76.8, "sockets": json.Number("512.0")}),
		"few sockets":                setValue("limits/sockets", 64),
		"long connect timeout":       setValue("settings/limits/connect-timeout", 60000),
		"short keep-alive":           setValue("settings/limits/keepalive", 1),
		"one attempt":                setValue("settings/limits/send-cap", 1),
		"nested unknown settings":    setValue("settings/later", []any{jsonObject{"a": []any{1, "b,c d", nil, []any{}}}, nil}),
		"a plan with blanks":         onlyPlan("Große Kunden, 50 % mehr"),
		"a plan without quota":       onlyPlan("plain"),
		"no plans":                   setValue("settings/tariffs", []any{}),
		"a class with a slash":       prefixNames("care/plans"),
		"a class with a plus":        prefixNames("a+b c"),
		"a class with percent signs": prefixNames("50%2F%"),
		"a class with umlauts":       prefixNames("Übersicht;x=1?#"),
		"a class of dots":            prefixNames(".."),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkEachClassIsServed(t, change)
		})
	}
}

// checkEachClassIsServed sends one request of each class to a node with changed platform settings.
func checkEachClassIsServed(t *testing.T, change func(jsonObject)) {
	raw, err := os.ReadFile("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var o jsonObject
	if err := json.Unmarshal(raw, &o); err != nil {
		t.Fatal(err)
	}
	classes := o["settings"].(jsonObject)["classes"].([]any)
	o["settings"].(jsonObject)["classes"] = append(classes, jsonObject{"name": "book", "aim": 900, "deadline": 40, "effect": "single_shot", "worth": 1})
	o["settings"].(jsonObject)["tariffs"] = o["settings"].(jsonObject)["tariffs"].([]any)[1:]
	change(o)
	if raw, err = json.Marshal(o); err != nil {
		t.Fatal(err)
	}
	r := newTestNodeWithPlatformConfig(t, raw)
	app := testkit.NewApp(t, testkit.AnswerServed)
	r.setEndpoints(endpointOf(app, "s-1", 0))
	s := r.node.services[""].cfg.Settings
	for i, k := range s.Classes {
		method := http.MethodPost
		if k.Idempotency == 0 {
			method = http.MethodGet
		}
		req := r.newRequest(method, "/", fmt.Sprint("id-", i))
		req.Header.Set(protocol.HeaderPlan, s.Plans[0].Name)
		req.Header.Set(protocol.HeaderTimeLeft, fmt.Sprint(k.Deadline.Milliseconds(), "m"))
		req.URL.Path, req.URL.RawPath = "/"+k.Name+"/7", "/"+url.PathEscape(k.Name)+"/7"
		if resp, body := r.do(req); resp.StatusCode != http.StatusOK && k.Deadline > 100e6 || resp.StatusCode/100 == 4 && resp.StatusCode != 429 {
			t.Errorf("class %q: %s %s", k.Name, resp.Status, body)
		}
	}
}

// Guards against extreme numbers of units that affect later requests. If the settings have no maximum of units, the size
// of the plan's token bucket bounds the units that clients declare and that app servers charge.
func TestUnitsAreBoundedByTokenBucketWithoutSetting(t *testing.T) {
	raw, err := os.ReadFile("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var o jsonObject
	if err := json.Unmarshal(raw, &o); err != nil {
		t.Fatal(err)
	}
	settings := o["settings"].(jsonObject)
	delete(settings["domain"].(jsonObject), "units-top")
	settings["tariffs"] = []any{
		jsonObject{"name": "stored", "quota-rate": 0.1, "depth": 8},
		jsonObject{"name": "small", "quota-rate": 0.1, "depth": 0.5},
		jsonObject{"name": "counted", "open": 9},
		jsonObject{"name": "capped", "cap-rate": 9.5, "hard-burst": 30, "ceiling-slack": 30},
	}
	if raw, err = json.Marshal(o); err != nil {
		t.Fatal(err)
	}
	r := newTestNodeWithPlatformConfig(t, raw)
	app := testkit.NewApp(t, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(protocol.HeaderTrueCost, "1e300")
		testkit.AnswerServed(w, req)
	})
	r.setEndpoints(endpointOf(app, "s-1", 0))
	for i, tc := range []struct {
		plan, weight string
		status       int
	}{
		{"stored", "units=8.1", 400},
		{"stored", "units=1e300", 400},
		{"stored", "units=3", 200},
		{"stored", "units=2", 200},
		{"small", "units=1.5", 400},
		{"small", "", 200}, // a request without units is valid
		{"counted", "units=1e300", 400},
		{"counted", "units=1.5", 200},
		{"counted", "units=1e5", 200},
		{"counted", "", 200},
		{"capped", "units=31", 400},
		{"capped", "units=5", 200},
	} {
		req := r.newRequest(http.MethodGet, "/roster-read", fmt.Sprint("id-", i))
		req.Header.Set(protocol.HeaderPlan, tc.plan)
		req.Header.Set(protocol.HeaderWeight, tc.weight)
		if resp, body := r.do(req); resp.StatusCode != tc.status {
			t.Errorf("weight %s of plan %s: %s %s", tc.weight, tc.plan, resp.Status, body)
		}
	}
}

// A node starts even if the quota of a plan is invalid, which affects only requests of that plan's customers.
func TestInvalidQuotaAffectsOnlyItsPlan(t *testing.T) {
	raw, err := os.ReadFile("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for name, variant := range map[string]jsonObject{
		"no depth": {"quota-rate": 5}, "a depth below one": {"quota-rate": 5, "depth": 0.4}, "no rate": {"depth": 5}, "nothing": {},
		"no burst": {"cap-rate": 5}, "no hard limit rate": {"hard-burst": 5}, "huge": {"quota-rate": 1e300, "depth": 1e300, "cap-rate": 1e300, "hard-burst": 1e300, "open": 1e9},
		"tiny": {"quota-rate": 1e-300, "depth": 1e-300, "cap-rate": 1e-300, "hard-burst": 1e-300, "ceiling-slack": 1e-300},
		"open": {"quota-rate": 0, "depth": 0, "open": 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var o jsonObject
			if err := json.Unmarshal(raw, &o); err != nil {
				t.Fatal(err)
			}
			variant["name"] = "odd"
			o["settings"].(jsonObject)["tariffs"] = append(o["settings"].(jsonObject)["tariffs"].([]any), variant)
			raw, err := json.Marshal(o)
			if err != nil {
				t.Fatal(err)
			}
			r := newTestNodeWithPlatformConfig(t, raw)
			app := testkit.NewApp(t, func(w http.ResponseWriter, req *http.Request) {
				w.Header().Set(protocol.HeaderQuotaUsed, "120")
				w.Header().Set(protocol.HeaderTrueCost, "3")
				testkit.AnswerServed(w, req)
			})
			r.setEndpoints(endpointOf(app, "s-1", 0))
			for i := range 20 {
				req := r.newRequest(http.MethodGet, "/roster-read", fmt.Sprint("id-", i))
				if i%2 == 0 {
					req.Header.Set(protocol.HeaderPlan, "odd")
				}
				resp, body := r.do(req)
				if ok := resp.StatusCode == 200; !ok && (i%2 == 1 || resp.StatusCode != 503) {
					t.Errorf("request %d: %s %s", i, resp.Status, body)
				}
			}
		})
	}
}

// TestRequestTargetIsForwardedUnchanged sends request targets that url.URL would normalize.
func TestRequestTargetIsForwardedUnchanged(t *testing.T) {
	r := newTestNode(t)
	app := testkit.NewApp(t, testkit.AnswerServed)
	r.setEndpoints(endpointOf(app, "s-1", 0))
	for i, path := range []string{"/roster-read/ä", "/roster-read/a|b^c\"", "/roster-read/%7e%2f%2F//x/../.", "/roster%2dread", "/roster-read/a#b", "/roster-read"} {
		for _, query := range []string{"?account=00000000b4d65521", "?account=00000000b4d65521&x=ä|%7e"} {
			conn, err := net.Dial("tcp", r.node.Addr())
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: id-%d%d\r\nX-Tariff: enterprise\r\nX-Time-Left: 7000m\r\nConnection: close\r\n\r\n", path+query, i, len(query))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			conn.Close()
			all := app.Requests()
			if got := strings.Fields(all[len(all)-1])[1]; got != path+query || resp.StatusCode != 200 {
				t.Errorf("target %s: %s, forwarded as %s", path+query, resp.Status, got)
			}
		}
	}
}

// TestOptionsAsteriskIsRejected guards against net/http's own 200 answer to OPTIONS *: only app servers answer 200.
func TestOptionsAsteriskIsRejected(t *testing.T) {
	r := newTestNode(t)
	conn, err := net.Dial("tcp", r.node.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusBadRequest {
		t.Errorf("OPTIONS *: %s, want 400", resp.Status)
	}
}

// newTestNodeWithPlatformConfig runs a node with a platform configuration in JSON.
func newTestNodeWithPlatformConfig(t *testing.T, raw []byte) *testNode {
	t.Helper()
	cfg, err := config.ParsePlatform(raw)
	if err != nil {
		t.Fatal(err)
	}
	return newTestNodeWithConfig(t, cfg)
}

// Invalid and malformed entries of an endpoint list do not affect the other entries.
func TestInvalidEndpointEntriesDoNotAffectOthers(t *testing.T) {
	r := newTestNode(t)
	app := testkit.NewApp(t, testkit.AnswerServed)
	validEntry := fmt.Sprintf(`{"uid":"s-1","endpoint":%q,"az":"z1","state":"up","capacity_hint":1.0,"boot_ms":0,"later":{"a":[1]}}`, app.Addr())
	send := func(line string) {
		t.Helper()
		r.revision++
		r.agent.Lines <- strings.Replace(line, "REV", fmt.Sprint(r.revision), 1) + "\n"
		r.waitUntil("the new endpoint list", func() bool { return r.service().Endpoints().Revision == int64(r.revision) })
		r.status()
	}
	wantAvailable := []int{1, 1, 1, 5, 5, 5, 5, 1}
	for i, line := range []string{
		`{"rev":REV,"all":true,"more":{},"targets":[` + validEntry + `]}`,
		`{"rev":REV,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","state":"up"},` + validEntry + `,` + validEntry + `]}`, // the last entry of a server counts
		`{"rev":REV,"all":false,"targets":[{"uid":"","endpoint":"127.0.0.1:1","state":"up"},{"uid":"s-2"},{"uid":"s-3","state":"starting","endpoint":"127.0.0.1:1"}]}`,
		`{"rev":REV,"all":false,"targets":[{"uid":"s-4","endpoint":"127.0.0.1:99999","state":"up"},{"uid":"s-5","endpoint":"a b\r\n:9","state":"up"},
			{"uid":"s-6","endpoint":"[::1","state":"up"},{"uid":"s-7","endpoint":":","state":"up"},{"uid":"s-8","endpoint":"127.0.0.1:x","state":"up"}]}`,
		`{"rev":REV,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","state":"removed"},` + validEntry + `]}`,
		`{"rev":REV,"targets":[{"uid":"s-1","endpoint":"` + app.Addr() + `","state":"up","boot_ms":1e300,"capacity_hint":-1e300,"pod_group":-9}]}`,
		`{"rev":REV,"targets":[{"uid":"s-9","state":"removed"},{"uid":"s-9","state":"draining"}],"targets":[]}`,
		`{"targets":[],"all":false,"all":true,"rev":1,"rev":REV,"targets":[` + validEntry + `]}`,
	} {
		send(line)
		if s := r.status(); s.AvailableServers != wantAvailable[i] {
			t.Errorf("after list %s: %d servers available, want %d", line, s.AvailableServers, wantAvailable[i])
		}
		for n := range 8 {
			if resp, body := r.do(r.newRequest(http.MethodGet, "/roster-read", fmt.Sprint("id-", i, "-", n))); resp.StatusCode != 200 {
				t.Errorf("after list %s: %s %s", line, resp.Status, body)
			}
		}
	}
}
