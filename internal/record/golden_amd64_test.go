package record

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/decisiondigest"
)

// updateRecordings makes TestGoldenRecordings record the histories again and write the golden file:
//
//	go test ./internal/record -run '^TestGoldenRecordings$' -update-recordings
//
// Without the flag, the test replays the existing recordings, to check that a build decides as earlier builds did.
var updateRecordings = flag.Bool("update-recordings", false, "records the recordings in testdata again and writes their digests")

const (
	recordingsDir     = "testdata/recordings"
	goldenRecordings  = "testdata/recordings.golden"
	maxRecordingBytes = 24 << 10
	historySteps      = 420
	listedServers     = 4
)

// recordedFeatures are the kinds of event, state and decision that the recordings taken together must contain.
var recordedFeatures = []string{
	"attempt of a free request", "retry of a free request",
	"attempt of a guarded request", "retry of a guarded request",
	"attempt of a single-shot request",
	"attempt at a recently started server", "failed: no_further", "list watched", "quota usage reported",
	"refused: by_chance", "refused: no_further", "refused: no_room", "refused: no_turn", "refused: over_ceiling", "refused: over_store",
	"refused: too_late", "refused: unknown", "refused: yields",
	"client gone", "stream started", "list: patch", "list: complete", "list: stale", "list: failed",
}

// history describes the random events of a recording.
type history struct {
	settings        control.Settings
	classes         []string         // of requests, with equal probability
	reasons         []control.Reason // of attempts' ends, with equal probability
	customers       int
	requestRate     float64       // fraction of steps that send a request; in the others an attempt ends
	maxStepTime     time.Duration // maximum time between two steps
	replacesServers bool          // servers are replaced by recently started ones
}

// mixedReasons are reasons for the end of attempts, a third of them failures.
var mixedReasons = []control.Reason{
	control.OK, control.OK, control.OK, control.OK, control.OK, control.OK, control.OK, control.OK, control.OK, control.OK, control.OK, control.OK,
	control.Errored, control.RejectedByServer, control.ConnectFailed, control.TimedOut, control.ResetByPeer, control.Cancelled,
}

// baseSettings returns the settings of a group of two, with a class for each kind of idempotency.
func baseSettings() control.Settings {
	return control.Settings{
		GroupSize: 2, Zone: "west", MaxAttempts: 4, ListOnRequest: true, CanCancel: true, RetriesAreMarked: true, SupportsRetryAfter: true, MaxRetryAfter: time.Second,
		DrainGrace: 2 * time.Second, WarmupTime: 10 * time.Second, InitialCapacity: 0.15, OverloadWindow: 2 * time.Second, OverloadMultiple: 2.5, MaxUnits: 4, CrossZonePrice: 0.1,
		Classes: []control.Class{
			{Name: "read", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, LateWeightFraction: 0.2},
			{Name: "update", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 5, Idempotency: control.IdempotentWithKey, KeyScope: control.ScopeCell, RepeatWindow: 2 * time.Second},
			{Name: "transfer", LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 8, Idempotency: control.NotIdempotent},
			{Name: "watch", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 2, IsStreaming: true},
		},
		Plans: []control.Plan{{Name: "basic", Price: 0.8}, {Name: "enterprise", Price: 1.4}},
	}
}

// quotaSettings returns baseSettings with metered quotas, in-flight quotas and hard limits.
func quotaSettings() control.Settings {
	s := baseSettings()
	s.MeterPeriod, s.UnitsInResponse = time.Second, true
	s.Plans = []control.Plan{
		{Name: "basic", Price: 0.8, QuotaRate: 6, QuotaBurst: 10, OverQuotaCost: 0.6},
		{Name: "standard", Price: 1.1, MaxInFlight: 3, OverQuotaCost: 0.9},
		{Name: "enterprise", Price: 1.4, QuotaRate: 12, QuotaBurst: 18, OverQuotaCost: 1.2, HardLimitRate: 14, HardLimitBurst: 20, HardLimitSlack: 4},
	}
	return s
}

// histories are the histories of the recordings by name. Each section of a history is stored as a separate recording.
var histories = map[string]history{
	"effects":   {settings: baseSettings(), classes: []string{"read", "update", "transfer", "watch", "unknown"}, reasons: mixedReasons, customers: 4, requestRate: 0.5, maxStepTime: 30 * time.Millisecond},
	"quotas":    {settings: quotaSettings(), classes: []string{"read", "update"}, reasons: mixedReasons, customers: 2, requestRate: 0.55, maxStepTime: 40 * time.Millisecond},
	"cold":      {settings: baseSettings(), classes: []string{"read", "update"}, reasons: mixedReasons, customers: 4, requestRate: 0.5, maxStepTime: 60 * time.Millisecond, replacesServers: true},
	"hand-over": {settings: quotaSettings(), classes: []string{"read", "update", "transfer"}, reasons: mixedReasons, customers: 3, requestRate: 0.5, maxStepTime: 30 * time.Millisecond, replacesServers: true},
}

// historyRecorder passes the events of a history to recorded modules.
type historyRecorder struct {
	*driver
	t           *testing.T
	history     history
	dir         string
	lastServer  uint32 // number of servers so far; the latest listedServers are listed
	lastRequest int
}

func (h *historyRecorder) newModule(seed uint64, name string) *Module {
	c, err := control.New(h.history.settings, seed)
	if err != nil {
		h.t.Fatal(err)
	}
	m, err := New(c, h.history.settings, Options{Service: name, Dir: h.dir, MaxBytes: 64 << 20})
	if err != nil {
		h.t.Fatal(err)
	}
	return m
}

// endpoint returns a server's entry in the endpoint list, in one of two zones and one of two cells.
func (h *historyRecorder) endpoint(server uint32, state control.EndpointState) control.Endpoint {
	return control.Endpoint{Server: server, State: state, Zone: []string{"west", "east"}[server%2], Cell: int(server / 2 % 2), Size: 1}
}

// sendList sends the module a list of all current servers.
func (h *historyRecorder) sendList(kind control.ListKind) {
	l := control.EndpointList{Kind: kind}
	for server := h.lastServer - listedServers + 1; server <= h.lastServer; server++ {
		l.Endpoints = append(l.Endpoints, h.endpoint(server, control.Active))
	}
	h.handle(l)
}

// replaceServer adds a recently started server and drains the oldest one.
func (h *historyRecorder) replaceServer() {
	h.lastServer++
	fresh := h.endpoint(h.lastServer, control.Active)
	fresh.HasStartedAt, fresh.StartedAt = true, h.now
	h.handle(control.EndpointList{Kind: control.ListPatch, Endpoints: []control.Endpoint{fresh, h.endpoint(h.lastServer-listedServers, control.Draining)}})
}

// step sends the module a request, the end of an attempt, or an event of the endpoint list.
func (h *historyRecorder) step(i int) {
	h.advance(time.Duration(h.rng.Int64N(int64(h.history.maxStepTime))))
	if h.history.replacesServers && i%100 == 50 {
		h.replaceServer()
	}
	switch {
	case i%140 == 60:
		h.handle(control.EndpointList{Kind: control.ListFailed})
	case i%140 == 90:
		h.sendList(control.ListCached)
	case i%140 == 130:
		h.sendList(control.ListComplete)
	case h.rng.Float64() < h.history.requestRate || len(h.sent) == 0:
		h.sendRequest()
	default:
		h.respond(h.removeSent(h.rng.IntN(len(h.sent))), h.randomResult())
	}
}

func (h *historyRecorder) sendRequest() {
	h.lastRequest++
	plans := h.history.settings.Plans
	r := control.Request{
		ID: fmt.Sprint("r", h.lastRequest), Class: h.history.classes[h.rng.IntN(len(h.history.classes))], Plan: plans[h.rng.IntN(len(plans))].Name,
		Customer: fmt.Sprint("c", h.rng.IntN(h.history.customers)), Timeout: 3 * time.Second, Units: float64(1 + h.rng.IntN(3)), FanOut: 1 + h.rng.IntN(2),
		IsOverCapacity: h.lastRequest%97 == 0, HasPendingBody: h.lastRequest%13 == 0,
	}
	if h.lastRequest%9 == 0 { // a retry by the client
		r.IsRetry, r.Timeout = true, time.Duration(500+h.rng.IntN(2000))*time.Millisecond
	}
	h.handle(r)
	if h.lastRequest%23 == 0 {
		h.handle(control.ClientGone{ID: r.ID})
	}
}

func (h *historyRecorder) randomResult() control.AttemptResult {
	s := h.history.settings
	r := control.AttemptResult{Reason: h.history.reasons[h.rng.IntN(len(h.history.reasons))], Delay: time.Duration(1+h.rng.IntN(90)) * time.Millisecond}
	r.IsFinal = r.Reason == control.OK
	if h.rng.IntN(3) == 0 {
		r.Load = &control.LoadReport{InFlight: 2, Queued: 1, Utilization: h.rng.Float64(), MeanLatencyMS: 20 + 60*h.rng.Float64(), RequestsPerSecond: -1, ErrorsPerSecond: -1}
	}
	if s.MeterPeriod > 0 && r.IsFinal {
		r.QuotaUsage, r.ActualUnits = 1+h.rng.IntN(120), float64(1+h.rng.IntN(4))
	}
	return r
}

// respond ends an attempt; for one in four final results, a streaming response starts before.
func (h *historyRecorder) respond(s control.Send, r control.AttemptResult) {
	if r.IsFinal && h.rng.IntN(4) == 0 {
		h.handle(control.ResponseStarted{ID: s.ID, Attempt: h.attempts[s.ID], Server: s.Server, Delay: r.Delay})
		h.advance(5 * time.Millisecond)
	}
	h.driver.respond(s, r)
}

// handOver hands half of the module's unspent tokens and refill rates over to a successor, and the rest after both have
// handled requests.
func (h *historyRecorder) handOver(steps int) {
	predecessor := h.driver
	successor := &historyRecorder{
		t: h.t, history: h.history, dir: h.dir, lastServer: h.lastServer, lastRequest: 1000,
		driver: &driver{module: h.newModule(2, "successor"), rng: h.rng, now: h.now, attempts: make(map[string]int)},
	}
	successor.sendList(control.ListComplete)
	checkpoint := predecessor.module.HandOver(h.now, 0.5)
	successor.module.Restore(successor.now, checkpoint, control.TrustAll)
	for i := range steps {
		h.step(i)
		successor.step(i)
	}
	now := max(h.now, successor.now)
	remainder := predecessor.module.HandOver(now, 1)
	successor.now = now
	successor.module.ReclaimRates(now, &remainder)
	for i := range steps {
		successor.step(i)
	}
	if err := successor.module.Close(); err != nil {
		h.t.Fatal(err)
	}
}

// recordHistory records a history and copies its sections to recordingsDir.
func recordHistory(t *testing.T, name string) {
	recorder := &historyRecorder{t: t, history: histories[name], dir: t.TempDir(), lastServer: listedServers}
	recorder.driver = &driver{module: recorder.newModule(1, "service"), rng: rand.New(rand.NewPCG(7, 41)), now: time.Hour, attempts: make(map[string]int)}
	recorder.sendList(control.ListComplete)
	steps := historySteps
	if name == "hand-over" {
		steps /= 3
	}
	for i := range steps {
		recorder.step(i)
	}
	if name == "hand-over" {
		recorder.handOver(steps)
	}
	if err := recorder.module.Close(); err != nil {
		t.Fatal(err)
	}
	for i, path := range sectionPaths(t, recorder.dir) {
		service, _, _ := strings.Cut(filepath.Base(path), "-")
		raw, err := os.ReadFile(path)
		if err == nil {
			err = os.WriteFile(filepath.Join(recordingsDir, fmt.Sprintf("%s-%d-%s%s", name, i+1, service, Suffix)), raw, 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// goldenReplay is the replay of one golden recording.
type goldenReplay struct {
	t                  *testing.T
	path               string
	reader             *Reader
	shadow             *control.Controller // handles the same events, to expose the state at the end
	requestIdempotency map[string]control.Idempotency
	attemptCounts      map[string]int
	hasStartTime       map[uint32]bool
	decisions          *decisiondigest.Digest
	features           map[string]bool
	differences        int // events whose actions differ from the recorded ones
}

func openRecording(t *testing.T, path string) *goldenReplay {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > maxRecordingBytes {
		t.Errorf("%s: recording has %d bytes, more than the limit of %d", path, len(raw), maxRecordingBytes)
	}
	p := &goldenReplay{
		t: t, path: path, decisions: decisiondigest.New(), features: make(map[string]bool), requestIdempotency: make(map[string]control.Idempotency),
		attemptCounts: make(map[string]int), hasStartTime: make(map[uint32]bool),
	}
	if p.reader, err = Open(bytes.NewReader(raw)); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if p.shadow, err = control.Resume(p.reader.header.Settings, p.reader.header.Image); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return p
}

// replay replays the recording and returns its line of the golden file.
func (p *goldenReplay) replay() string {
	p.t.Helper()
	events, sum, err := p.reader.Replay(func(s Step) error {
		if !s.IsAsRecorded {
			if p.differences++; p.differences == 1 {
				p.t.Errorf("%s: at %v the actions for %T differ from the recorded ones: %v", p.path, s.Now, s.Event, s.Actions)
			}
		}
		p.decisions.AddActions(s.Now, 0, s.Actions)
		p.recordEventFeatures(s.Event)
		for _, action := range s.Actions {
			p.recordActionFeatures(action)
		}
		p.shadow.Handle(s.Now, s.Event)
		return nil
	})
	if err != nil {
		p.t.Fatalf("%s: %v", p.path, err)
	}
	state := decisiondigest.New()
	if err := state.AddImage(p.shadow.Image()); err != nil {
		p.t.Fatal(err)
	}
	return fmt.Sprintf("%s events=%d replay=%016x decisions=%s state=%s", filepath.Base(p.path), events, sum, p.decisions.Sum(), state.Sum())
}

var listNames = map[control.ListKind]string{control.ListPatch: "patch", control.ListComplete: "complete", control.ListCached: "stale", control.ListFailed: "failed"}

func (p *goldenReplay) recordEventFeatures(event control.Event) {
	switch e := event.(type) {
	case control.Request:
		for _, class := range p.reader.Settings().Classes {
			if class.Name == e.Class {
				p.requestIdempotency[e.ID] = class.Idempotency
			}
		}
	case control.EndpointList:
		p.features["list: "+listNames[e.Kind]] = true
		for _, m := range e.Endpoints {
			p.hasStartTime[m.Server] = m.HasStartedAt
		}
	case control.AttemptResult:
		p.features["quota usage reported"] = p.features["quota usage reported"] || e.QuotaUsage > 0
	case control.ResponseStarted:
		p.features["stream started"] = true
	case control.ClientGone:
		p.features["client gone"] = true
	}
}

var idempotencyNames = map[control.Idempotency]string{control.Idempotent: "free", control.IdempotentWithKey: "guarded", control.NotIdempotent: "single-shot"}

func (p *goldenReplay) recordActionFeatures(action control.Action) {
	switch a := action.(type) {
	case control.Send:
		kind := "attempt"
		if p.attemptCounts[a.ID]++; p.attemptCounts[a.ID] > 1 {
			kind = "retry"
		}
		if idempotency, known := p.requestIdempotency[a.ID]; known {
			p.features[kind+" of a "+idempotencyNames[idempotency]+" request"] = true
		}
		if p.hasStartTime[a.Server] {
			p.features["attempt at a recently started server"] = true
		}
	case control.Reject:
		p.features["refused: "+a.Cause.String()] = true
	case control.Fail:
		p.features["failed: "+a.Cause.String()] = true
	case control.WatchEndpoints:
		p.features["list watched"] = true
	}
}

// Recordings of an earlier build replay without a difference, and their digests equal those in the golden file: of
// all actions with all their fields, of which a recording stores only some, and of the state at the end.
func TestGoldenRecordings(t *testing.T) {
	if *updateRecordings {
		for _, name := range slices.Sorted(maps.Keys(histories)) {
			recordHistory(t, name)
		}
	}
	var lines []string
	features := make(map[string]bool)
	paths, err := filepath.Glob(filepath.Join(recordingsDir, "*"+Suffix))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		p := openRecording(t, path)
		lines = append(lines, p.replay())
		maps.Copy(features, p.features)
	}
	for _, feature := range recordedFeatures {
		if !features[feature] {
			t.Errorf("no recording contains %q", feature)
		}
	}
	text := strings.Join(lines, "\n") + "\n"
	if *updateRecordings {
		if err := os.WriteFile(goldenRecordings, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(goldenRecordings)
	if err != nil {
		t.Fatal(err)
	}
	if text != string(golden) {
		t.Errorf("replayed:\n%s\ngolden:\n%s", text, golden)
	}
}
