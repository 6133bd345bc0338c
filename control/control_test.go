package control

import (
	"fmt"
	"io/fs"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const ms = time.Millisecond

// settings is a small deployment for tests: one free class, two plans.
func settings() Settings {
	return Settings{
		GroupSize: 2, Zone: "z1", MaxAttempts: 3, SupportsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		WarmupTime: 10 * time.Second, InitialCapacity: 0.2, OverloadWindow: time.Second, OverloadMultiple: 2, MeterPeriod: time.Second,
		CanCancel: true,
		Classes:   []Class{{Name: "job", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1}},
		Plans: []Plan{
			{Name: "low", Price: 0.5, QuotaRate: 1000, QuotaBurst: 1000},
			{Name: "high", Price: 1.5, QuotaRate: 1000, QuotaBurst: 1000},
		},
	}
}

// gate drives one controller by hand and keeps what it was told to do.
type gate struct {
	t     *testing.T
	c     *Controller
	now   time.Duration
	sends []Send
	ends  map[string]Action
	n     map[string]int // attempts by request
	due   map[uint64]time.Duration
	acts  []Action
}

func newGate(t *testing.T, settings Settings, servers ...Endpoint) *gate {
	t.Helper()
	c, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	gateway := &gate{
		t: t, c: c, now: time.Hour, ends: map[string]Action{}, n: map[string]int{},
		due: map[uint64]time.Duration{},
	}
	gateway.do(EndpointList{Kind: ListCached, Endpoints: servers})
	return gateway
}

// do hands over one event and checks what holds for all actions.
func (g *gate) do(event Event) {
	g.t.Helper()
	acts := append([]Action{}, g.c.Handle(g.now, event)...)
	for _, action := range acts {
		switch a := action.(type) {
		case Send:
			if g.ends[a.ID] != nil {
				g.t.Fatalf("%s was sent after its end", a.ID)
			}
			g.n[a.ID]++
			g.sends = append(g.sends, a)
		case Reject:
			g.end(a.ID, a)
		case Fail:
			g.end(a.ID, a)
		case StartTimer:
			g.due[a.Label] = g.now + a.After
		}
	}
	g.acts = append(g.acts, acts...)
}

func (g *gate) end(id string, action Action) {
	g.t.Helper()
	if g.ends[id] != nil {
		g.t.Fatalf("%s has two final answers", id)
	}
	g.ends[id] = action
}

// pass lets time go by, with the timers that come due in it.
func (g *gate) pass(d time.Duration) {
	g.t.Helper()
	for end := g.now + d; ; {
		var label uint64
		at := end + 1
		for l, t := range g.due {
			if t < at || t == at && l < label {
				label, at = l, t
			}
		}
		if at > end {
			g.now = end
			return
		}
		delete(g.due, label)
		g.now = max(g.now, at)
		g.do(TimerFired{Label: label})
	}
}

func (g *gate) ask(id, class, plan, customer string) {
	g.t.Helper()
	g.do(Request{ID: id, Class: class, Plan: plan, Customer: customer, Timeout: 5 * time.Second, Units: 1, FanOut: 2})
}

// reply answers the latest send of a request.
func (g *gate) reply(id string, why Reason, used int) {
	g.t.Helper()
	for i := len(g.sends) - 1; i >= 0; i-- {
		if g.sends[i].ID == id {
			g.do(AttemptResult{ID: id, Attempt: g.n[id] - 1, Server: g.sends[i].Server, Reason: why, IsFinal: why == OK, QuotaUsage: used})
			if why == OK {
				g.ends[id] = Send{}
			}
			return
		}
	}
	g.t.Fatalf("%s was never sent", id)
}

func on(ids ...uint32) []Endpoint {
	var m []Endpoint
	for i, id := range ids {
		m = append(m, Endpoint{Server: id, Zone: fmt.Sprintf("z%d", i%2+1), Cell: i / 2, Size: 1})
	}
	return m
}

// One slow answer is no verdict for good: with nothing out, a try goes on, and fast answers open the way
// again.
func TestOneSlowAnswerDoesNotShutTheNode(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2)...)
	gateway.ask("slow", "job", "low", "")
	gateway.pass(3 * time.Second) // past the aim, within the deadline
	gateway.reply("slow", OK, 0)
	let := 0
	for i := range 40 {
		id := fmt.Sprint("r", i)
		gateway.ask(id, "job", "low", "")
		if gateway.n[id] > 0 {
			let++
			gateway.pass(20 * ms)
			gateway.reply(id, OK, 0)
		}
		gateway.pass(200 * ms)
	}
	if let < 39 {
		t.Errorf("%d of 40 are let in", let)
	}
}

// bookkeepingFiles hold types, state and its storage, and decide nothing. Each file is either one of them or policy.
var bookkeepingFiles = []string{
	"account.go", "account_storage.go", "actions.go", "checkpoint.go", "doc.go", "endpoints.go", "events.go", "fleet.go",
	"history.go", "image.go", "image_take.go", "meter_clock.go", "plan_queue.go", "request.go", "restore.go", "resume.go", "server.go",
	"server_storage.go", "settings.go", "sharecontrol/state.go", "state.go",
}

// The limits of what decides: the files that the deploy file lists, all of them together. Blank lines do not
// count, comments do, as in the rule.
func TestModuleSize(t *testing.T) {
	policy := policyFiles(t, "../deploy/balancer.toml")
	if tally := policyFiles(t, "../deploy/tally.toml"); !slices.Equal(policy, tally) {
		t.Errorf("deploy/tally.toml lists other policy files: %q, not %q", tally, policy)
	}
	lines := 0
	for _, name := range policy {
		b, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(b), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := len([]rune(l)); n > 110 {
				t.Errorf("%s:%d has %d characters", name, i+1, n)
			}
		}
	}
	if lines > 1200 || lines < 1000 {
		t.Errorf("the policy files have %d lines together; 1,200 is the most, and few of them would be a list with holes", lines)
	}
}

// No file is left out of the deploy file's list unless it is known to decide nothing.
func TestEveryFileIsPolicyOrBookkeeping(t *testing.T) {
	policy := policyFiles(t, "../deploy/balancer.toml")
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		isPolicy := slices.Contains(policy, "control/"+filepath.ToSlash(path))
		if isBookkeeping := slices.Contains(bookkeepingFiles, filepath.ToSlash(path)); isPolicy == isBookkeeping {
			t.Errorf("%s: policy %v, bookkeeping %v; it has to be one of them", path, isPolicy, isBookkeeping)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func policyFiles(t *testing.T, path string) []string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Policy []string }
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		t.Fatal(err)
	}
	if len(deploy.Policy) == 0 {
		t.Fatalf("%s lists no policy files", path)
	}
	return deploy.Policy
}

func TestNewNamesTheBadSetting(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"classes":    func(settings *Settings) { settings.Classes = nil },
		"plans":      func(settings *Settings) { settings.Plans = nil },
		"self index": func(settings *Settings) { settings.SelfIndex = 2 },
		"group size": func(settings *Settings) { settings.GroupSize = 0 },
		"rate":       func(settings *Settings) { settings.Plans[0].QuotaRate = -1 },
		"price":      func(settings *Settings) { settings.Plans[1].Price = math.NaN() },
		"depth":      func(settings *Settings) { settings.Plans[1].QuotaBurst = math.Inf(1) },
		"aim":        func(settings *Settings) { settings.Classes[0].LatencyObjective = 0 },
	} {
		settings := settings()
		spoil(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: New gave %v", field, err)
		}
	}
}

func TestTurnsFollowShares(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2)...)
	gateway.c.plans[0].share, gateway.c.plans[1].share = 0.25, 0.75
	for i := 0; i < 80; i++ {
		gateway.ask(fmt.Sprint("l", i), "job", "low", "a")
		gateway.ask(fmt.Sprint("h", i), "job", "high", "b")
	}
	for i := 0; i < 80; i++ { // keep the bound full
		gateway.reply(gateway.sends[i].ID, OK, 0)
	}
	high := 0
	for _, send := range gateway.sends[4:84] {
		if send.ID[0] == 'h' {
			high++
		}
	}
	if high < 57 || high > 63 {
		t.Errorf("%d of 80 turns went to the plan with three quarters of the share", high)
	}
}

func TestAnEmptyQueuePassesItsTurn(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2)...)
	gateway.c.plans[0].share, gateway.c.plans[1].share = 0, 1
	gateway.ask("a", "job", "low", "x")
	if len(gateway.sends) != 1 {
		t.Errorf("%d sends for the only request", len(gateway.sends))
	}
}

func TestBoundStartsAtTwiceTheServersAndHalvesOnce(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2, 3)...)
	for i := 0; i < 20; i++ {
		gateway.ask(fmt.Sprint(i), "job", "low", "x")
	}
	if len(gateway.sends) != 6 {
		t.Fatalf("%d in flight with three servers at start", len(gateway.sends))
	}
	gateway.c.limiter.limit = 40
	for i := 0; i < 10; i++ { // time-outs and refusals, many in each interval
		gateway.c.window.overloads, gateway.c.window.answers = 5, 5
		before := gateway.c.limiter.limit
		gateway.c.endWindow(1)
		if gateway.c.limiter.limit < before/2 {
			t.Errorf("the bound went from %g to %g in one interval", before, gateway.c.limiter.limit)
		}
	}
	if gateway.c.limiter.limit != 3 {
		t.Errorf("the bound fell to %g, the part of two gateways of two a server is 3", gateway.c.limiter.limit)
	}
}

// Guards against a few long requests that pin the bound to its floor.
func TestOneTimeOutDoesNotCutTheBound(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2)...)
	gateway.c.limiter.limit, gateway.c.window.overloads, gateway.c.window.answers = 40, 1, 99
	gateway.c.endWindow(1)
	if gateway.c.limiter.limit < 40 {
		t.Errorf("bound %g after one time-out in a hundred answers", gateway.c.limiter.limit)
	}
	gateway.c.window.overloads, gateway.c.window.answers = 30, 70
	gateway.c.endWindow(1)
	if gateway.c.limiter.limit != 20 {
		t.Errorf("bound %g after thirty in a hundred", gateway.c.limiter.limit)
	}
}

func TestSharesStayWithFewAnswers(t *testing.T) {
	gateway := newGate(t, settings(), on(1)...)
	gateway.c.plans[0].meanLateness, gateway.c.plans[1].meanLateness, gateway.c.window.answers = 3, 0.1, minAnswersPerWindow-1
	gateway.c.endWindow(1)
	if gateway.c.plans[0].share != 0.5 {
		t.Errorf("share %g after an interval of four answers", gateway.c.plans[0].share)
	}
}

func TestUnknownClassOrPlanIsRefusedOnce(t *testing.T) {
	gateway := newGate(t, settings(), on(1)...)
	gateway.ask("a", "other", "low", "x")
	gateway.ask("b", "job", "other", "x")
	for _, id := range []string{"a", "b"} {
		if _, ok := gateway.ends[id].(Reject); !ok {
			t.Errorf("%s ended with %v", id, gateway.ends[id])
		}
	}
	gateway.do(ClientGone{ID: "z"})
	gateway.do(AttemptResult{ID: "z", Server: 9, Reason: OK})
	gateway.do(TimerFired{Label: 999})
	gateway.do(HealthCheckResult{Server: 77})
	gateway.do(CounterResult{Name: 4})
	gateway.do(PeerMessage{From: 1})
	gateway.do(ResponseStarted{ID: "z"})
}

func TestQueuedRequestsAreAnsweredInTime(t *testing.T) {
	gateway := newGate(t, settings()) // no server at all
	gateway.ask("a", "job", "low", "x")
	gateway.pass(5 * time.Second)
	r, ok := gateway.ends["a"].(Reject)
	if !ok || r.RetryAfter != time.Second {
		t.Errorf("ended with %#v", gateway.ends["a"])
	}
}

// Guards against a further attempt that waits beyond the client's time.
func TestRequeuedRequestIsAnsweredInTime(t *testing.T) {
	gateway := newGate(t, settings(), on(1)...)
	gateway.ask("a", "job", "low", "x")
	gateway.pass(4 * time.Second)
	gateway.do(EndpointList{Kind: ListComplete})
	gateway.reply("a", Errored, 0)
	gateway.pass(990 * ms)
	if gateway.ends["a"] != nil {
		return
	}
	gateway.pass(10 * ms)
	if gateway.ends["a"] == nil {
		t.Error("no answer by the client's time")
	}
}

// Guards against a keyed retry that waits in the queue when it can't be forwarded any more: it is answered as its
// repeat window ends, well before its client's time.
func TestWaitingRetryIsAnsweredAtTheEndOfItsWindow(t *testing.T) {
	s := settings()
	class := &s.Classes[0]
	class.Idempotency, class.KeyScope, class.RepeatWindow = IdempotencyKeyed, ScopeCell, time.Second
	gateway := newGate(t, s, on(1)...)
	gateway.ask("a", "job", "low", "x")
	gateway.pass(100 * ms)
	gateway.do(EndpointList{Kind: ListComplete})
	gateway.reply("a", Errored, 0)
	gateway.pass(890 * ms)
	if gateway.ends["a"] != nil {
		t.Errorf("ended with %#v within its window", gateway.ends["a"])
	}
	gateway.pass(10 * ms)
	if _, failed := gateway.ends["a"].(Fail); !failed {
		t.Errorf("ended with %#v at the end of its window", gateway.ends["a"])
	}
}

func TestRepeatsFollowTheEffect(t *testing.T) {
	for _, k := range []struct {
		name  string
		class Class
		why   Reason
		again bool // another attempt is sent
		end   string
	}{
		{"free", Class{Idempotency: Idempotent}, Errored, true, ""},
		{"unsafe maybe run", Class{Idempotency: NotIdempotent}, Errored, false, "control.Fail"},
		{"unsafe never ran", Class{Idempotency: NotIdempotent}, RejectedByServer, true, ""},
		{"keyed in window", Class{Idempotency: IdempotencyKeyed, KeyScope: ScopeCell, RepeatWindow: time.Minute}, ResetByPeer, true, ""},
		{"keyed too late", Class{Idempotency: IdempotencyKeyed, KeyScope: ScopeCell, RepeatWindow: ms}, ResetByPeer, false, "control.Fail"},
		{"keyed by all, too late", Class{Idempotency: IdempotencyKeyed, RepeatWindow: ms}, ResetByPeer, false, "control.Reject"},
	} {
		settings := settings()
		k.class.Name, k.class.LatencyObjective, k.class.Deadline = "job", 2*time.Second, 6*time.Second
		settings.Classes = []Class{k.class}
		gateway := newGate(t, settings, on(1, 2, 3, 4)...)
		gateway.ask("a", "job", "low", "x")
		gateway.now += 10 * ms
		gateway.reply("a", k.why, 0)
		if again := gateway.n["a"] == 2; again != k.again {
			t.Errorf("%s: sent %d times", k.name, gateway.n["a"])
		}
		if got := fmt.Sprintf("%T", gateway.ends["a"]); k.end != "" && got != k.end {
			t.Errorf("%s: ended with %s", k.name, got)
		}
	}
}

func TestKeyedRepeatStaysInItsGroup(t *testing.T) {
	for scope, same := range map[KeyScope]func(a, b Endpoint) bool{
		ScopeCell: func(a, b Endpoint) bool { return a.Cell == b.Cell },
		ScopeZone: func(a, b Endpoint) bool { return a.Zone == b.Zone },
	} {
		settings := settings()
		settings.Classes[0].Idempotency, settings.Classes[0].KeyScope, settings.Classes[0].RepeatWindow = IdempotencyKeyed, scope, time.Minute
		list := on(1, 2, 3, 4, 5, 6)
		gateway := newGate(t, settings, list...)
		for i := 0; i < 30; i++ {
			id := fmt.Sprint(scope, "-", i)
			gateway.ask(id, "job", "low", "x")
			gateway.reply(id, TimedOut, 0)
			if gateway.n[id] == 2 {
				a, b := gateway.sends[len(gateway.sends)-2].Server, gateway.sends[len(gateway.sends)-1].Server
				if !same(list[a-1], list[b-1]) {
					t.Fatalf("scope %v: from server %d to %d", scope, a, b)
				}
				gateway.reply(id, OK, 0)
			}
		}
	}
}

func TestAttemptLimitAndOneAtATime(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2, 3, 4)...)
	gateway.ask("a", "job", "low", "x")
	for i := 0; i < 3; i++ {
		if gateway.n["a"] != i+1 {
			t.Fatalf("%d attempts after %d failures", gateway.n["a"], i)
		}
		gateway.reply("a", RejectedByServer, 0)
	}
	if _, ok := gateway.ends["a"].(Reject); !ok || gateway.n["a"] != 3 {
		t.Errorf("%d attempts, ended with %v", gateway.n["a"], gateway.ends["a"])
	}
}

func TestNothingGoesToADrainingServer(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2)...)
	gateway.do(EndpointList{Kind: ListPatch, Endpoints: []Endpoint{{Server: 1, State: Draining}}})
	for i := 0; i < 4; i++ {
		gateway.ask(fmt.Sprint(i), "job", "low", "x")
	}
	gateway.do(EndpointList{Kind: ListComplete, Endpoints: on(3)})
	gateway.ask("x", "job", "low", "x")
	for _, send := range gateway.sends {
		if send.Server == 1 || send.ID == "x" && send.Server != 3 {
			t.Errorf("%s went to %d", send.ID, send.Server)
		}
	}
}

func TestColdServerIsHeldUnderItsBudget(t *testing.T) {
	settings := settings()
	list := on(1, 2, 3, 4)
	list[0].StartedAt, list[0].HasStartedAt = time.Hour-100*ms, true
	gateway := newGate(t, settings, list...)
	cold, busy := 0, 0
	for i := 0; i < 100; i++ {
		from := len(gateway.sends)
		for k := 0; k < 8; k++ {
			gateway.ask(fmt.Sprint(i, "-", k), "job", "low", "x")
		}
		here := 0
		for _, send := range gateway.sends[from:] {
			if send.Server == 1 {
				here++
			}
		}
		cold, busy = cold+here, max(busy, here)
		gateway.pass(20 * ms)
		for k := 0; k < 8; k++ {
			if id := fmt.Sprint(i, "-", k); gateway.ends[id] == nil {
				gateway.reply(id, OK, 0)
			}
		}
	}
	if cold == 0 || busy > 1 {
		t.Errorf("%d sends in 2 s to a server just started, %d at once", cold, busy)
	}
}

func TestRestartedGatewayStartsItsCeilingEmpty(t *testing.T) {
	settings := settings()
	settings.Plans[0].HardLimitRate, settings.Plans[0].HardLimitBurst, settings.Plans[0].HardLimitSlack = 10, 40, 4
	gateway := newGate(t, settings, on(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)...)
	for i := 0; i < 50; i++ {
		gateway.ask(fmt.Sprint("s", i), "job", "low", "x")
	}
	if len(gateway.sends) > 2 { // the slack over two gateways
		t.Errorf("%d units at once from a gateway that knows nothing", len(gateway.sends))
	}
	sent, start := 0, gateway.now
	for gateway.now < start+20*time.Second {
		id := fmt.Sprint(gateway.now)
		gateway.ask(id, "job", "low", "x")
		if gateway.n[id] > 0 {
			sent++
			gateway.reply(id, OK, 0)
		}
		gateway.pass(10 * ms)
	}
	if most := 20*5 + 2 + 1; sent > most {
		t.Errorf("%d units in 20 s, this gateway's part is %d", sent, most)
	}
	if sent < 80 {
		t.Errorf("only %d units in 20 s", sent)
	}
}

func TestUnseenCustomerMaySendItsPartOfTheBurst(t *testing.T) {
	settings := settings()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1, 20
	gateway := newGate(t, settings, on(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)...)
	for i := 0; i < 60; i++ {
		gateway.ask(fmt.Sprint(i), "job", "low", "x")
	}
	if n := len(gateway.sends); n < 8 || n > 20 {
		t.Errorf("%d of a burst of 20 over two gateways", n)
	}
}

func TestChanceFollowsTheFormulaAndReadsAPeriodOnce(t *testing.T) {
	settings := settings()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1000, 20 // enough units for a reading to outweigh the prior
	gateway := newGate(t, settings, on(1, 2, 3)...)
	account := gateway.c.accountFor(gateway.c.plans[0], "x", 1000) // own tries tell next to nothing
	read := func(pct int) float64 {
		gateway.c.now = gateway.now
		account.quota.tokens = 0 // the store is empty enough for the chance to decide
		gateway.c.recordReading(account, pct+1, 1)
		return gateway.c.rejectionProbability(account)
	}
	gateway.c.meter.lagBins = 0
	asks := func(n, refused int) { // what was asked and refused in the second to come
		gateway.c.now = gateway.now
		gateway.c.refill(account)
		account.history.arrivals.add(float64(n))
		account.history.rejections.add(float64(refused))
		gateway.now += 1100 * ms
	}
	asks(4000, 0)
	if d := read(400); math.Abs(d-0.75) > 0.01 {
		t.Fatalf("d = %g after a first reading of 400%%", d)
	}
	for i := 0; i < 5; i++ {
		gateway.now += 20 * ms
		if d := read(400); math.Abs(d-0.75) > 0.02 {
			t.Fatalf("d = %g: one period was read again", d)
		}
	}
	gateway.now += 900 * ms
	asks(4000, 3000) // with three quarters refused, 200% is left
	if d := read(200); math.Abs(d-0.875) > 0.01 {
		t.Errorf("d = %g after 200%% let through by a chance of 0.75", d)
	}
	for i := 0; i < 20; i++ {
		gateway.now += time.Second
		if d := read(5000); d < 0 || d > maxRejectionProbability {
			t.Fatalf("d = %g", d)
		}
	}
}

// The meter's period and lateness are learned from our own sends.
func TestClockLearnsTheLateness(t *testing.T) {
	settings := settings()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 10, 1000
	gateway := newGate(t, settings, on(1, 2, 3)...)
	account := gateway.c.accountFor(gateway.c.plans[0], "x", 1)
	const late = 1300 * ms
	var sent []time.Duration
	for i := 0; i < 3000; i++ {
		gateway.now += 10 * ms
		gateway.c.now = gateway.now
		gateway.c.refill(account)
		if i%7 == 0 && (i/300)%2 == 0 {
			gateway.c.chargeFirstAttempt(account, 1)
			sent = append(sent, gateway.now)
		}
		end := (gateway.now - late).Truncate(time.Second)
		n := 0
		for _, at := range sent {
			if at >= end-time.Second && at < end {
				n++
			}
		}
		if i%5 == 0 {
			gateway.c.recordReading(account, 1+n*10, 1)
		}
	}
	end := gateway.c.meter.periodEndBin(gateway.c.currentBin())
	if want := int64((gateway.now - late).Truncate(time.Second) / (100 * ms)); end < want-1 || end > want+1 {
		t.Errorf("the told period is taken to end in bin %d, it ended in %d", end, want)
	}
}

func TestOpenQuotaHoldsBack(t *testing.T) {
	settings := settings()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst, settings.Plans[0].MaxInFlight = 0, 0, 4
	gateway := newGate(t, settings, on(1, 2, 3, 4)...)
	for i := 0; i < 4; i++ {
		gateway.ask(fmt.Sprint(i), "job", "low", "x")
	}
	gateway.ask("y", "job", "low", "y")
	if gateway.c.accountFor(gateway.c.plans[0], "x", 2).inFlight.current != 2 || gateway.n["y"] != 1 {
		t.Fatalf("sends %v: two of x are its part of four, y is not held up", gateway.sends)
	}
	gateway.reply("0", OK, 0)
	if gateway.n["2"] != 1 {
		t.Error("the next of x did not follow")
	}
}

func TestTrueUnitsAreSettled(t *testing.T) {
	settings := settings()
	settings.UnitsInResponse = true
	gateway := newGate(t, settings, on(1)...)
	gateway.ask("a", "job", "low", "x")
	account := gateway.c.accountFor(gateway.c.plans[0], "x", 2)
	before := account.quota.tokens
	gateway.do(AttemptResult{ID: "a", Server: 1, Reason: OK, IsFinal: true, ActualUnits: 4})
	if got := before - account.quota.tokens; math.Abs(got-3) > 1e-9 {
		t.Errorf("settled %g units, guessed 1, true 4", got)
	}
}

func TestDeadServerIsLeftAlone(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2, 3, 4)...)
	bad := 0
	for i := 0; i < 200; i++ {
		id := fmt.Sprint(i)
		gateway.ask(id, "job", "low", "x")
		for gateway.ends[id] == nil {
			if gateway.sends[len(gateway.sends)-1].Server == 2 {
				bad++
				gateway.reply(id, ConnectFailed, 0)
			} else {
				gateway.now += 50 * ms
				gateway.reply(id, OK, 0)
			}
		}
	}
	if bad > 12 {
		t.Errorf("%d attempts on a server that takes no connection, in 10 s", bad)
	}
}

func TestListIsAskedForAgainAfterAFailure(t *testing.T) {
	settings := settings()
	settings.ListOnRequest, settings.MaxPollInterval = true, 10*time.Second
	gateway := newGate(t, settings, on(1)...)
	follows := func() (n int) {
		for _, action := range gateway.acts {
			if f, ok := action.(WatchEndpoints); ok && f.Active {
				n++
			}
		}
		return n
	}
	gateway.pass(200 * ms)
	if follows() != 1 {
		t.Fatalf("%d askings at start", follows())
	}
	gateway.do(EndpointList{Kind: ListFailed})
	gateway.pass(5 * time.Second)
	if follows() < 2 {
		t.Error("no second asking after the first failed")
	}
	gateway.do(EndpointList{Kind: ListComplete, Endpoints: on(1)})
	n := follows()
	gateway.pass(20 * time.Second)
	if follows() != n {
		t.Error("asked again while subscribed")
	}
}

// Guards against a server that fails at once, looks idle and draws all traffic.
func TestServerThatFailsFastDoesNotDrawTheTraffic(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2, 3, 4)...)
	bad := 0
	for i := 0; i < 300; i++ {
		id := fmt.Sprint(i)
		gateway.ask(id, "job", "low", "x")
		for gateway.ends[id] == nil {
			if gateway.sends[len(gateway.sends)-1].Server == 2 {
				bad++
				gateway.now += ms
				gateway.reply(id, Errored, 0)
			} else {
				gateway.now += 50 * ms
				gateway.reply(id, OK, 0)
			}
		}
	}
	if bad > 20 {
		t.Errorf("%d attempts in 15 s on a server that only fails", bad)
	}
}

// Guards against servers that fail every second request at once: never put aside, they look
// idle and draw the traffic.
func TestServerThatFailsHalfIsChosenLess(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2, 3, 4)...)
	tries := make(map[uint32]int)
	for i := 0; i < 400; i++ {
		id := fmt.Sprint(i)
		gateway.ask(id, "job", "low", "x")
		for gateway.ends[id] == nil {
			s := gateway.sends[len(gateway.sends)-1].Server
			if tries[s]++; s == 2 && tries[s]%2 == 0 {
				gateway.now += ms
				gateway.reply(id, Errored, 0)
			} else {
				gateway.now += 50 * ms
				gateway.reply(id, OK, 0)
			}
		}
	}
	if tries[2] > tries[1]/2 {
		t.Errorf("tries by server: %v", tries)
	}
}

// Guards against a storm of fast errors that uses up the further attempts, or puts servers
// aside that still serve half of what they are sent: twelve requests are open at a time.
func TestStormOfFastErrorsIsRiddenOut(t *testing.T) {
	settings := settings()
	settings.MaxAttempts = 6
	gateway := newGate(t, settings, on(1, 2, 3, 4)...)
	rng := rand.New(rand.NewPCG(1, 2))
	type outcome struct {
		at  time.Duration
		id  string
		why Reason
	}
	var due []outcome
	tries, seen, asked, failed := make(map[uint32]int), 0, 0, 0
	for len(gateway.ends) < 2000 {
		for ; asked-len(gateway.ends) < 12; asked++ {
			gateway.ask(fmt.Sprint(asked), "job", "low", "x")
		}
		for ; seen < len(gateway.sends); seen++ {
			o := outcome{gateway.now + 50*ms, gateway.sends[seen].ID, OK}
			if srv := gateway.sends[seen].Server; srv > 1 && rng.IntN(2) == 0 {
				o.at, o.why = gateway.now+ms, Errored
			}
			tries[gateway.sends[seen].Server]++
			due = append(due, o)
		}
		first := 0
		for i, o := range due {
			if o.at < due[first].at {
				first = i
			}
		}
		o := due[first]
		due = slices.Delete(due, first, first+1)
		gateway.pass(o.at - gateway.now)
		gateway.reply(o.id, o.why, 0)
	}
	for _, end := range gateway.ends {
		if _, ok := end.(Send); !ok {
			failed++
		}
	}
	if failed > 60 {
		t.Errorf("%d of 2000 not served; tries by server: %v", failed, tries)
	}
}

// Guards against memory that grows with customers who come once. One whose stores are not
// full again is kept: forgetting it would open its quota or ceiling anew.
func TestCustomersThatCameOnceAreForgotten(t *testing.T) {
	settings := settings()
	settings.Plans = append(settings.Plans, Plan{Name: "slow", Price: 1, QuotaRate: 0.01, QuotaBurst: 10},
		Plan{Name: "capped", Price: 1, QuotaRate: 1000, QuotaBurst: 1000, HardLimitRate: 0.01, HardLimitBurst: 10, HardLimitSlack: 9})
	gateway := newGate(t, settings, on(1, 2)...)
	for i := 0; i < 100; i++ {
		for _, plan := range []string{"low", "slow", "capped"} {
			id := fmt.Sprint(plan, i)
			gateway.ask(id, "job", plan, id)
			gateway.now += ms
			gateway.reply(id, OK, 0)
		}
	}
	gateway.ask("stays", "job", "low", "stays")
	for range 80 {
		gateway.pass(time.Second)
		id := fmt.Sprint("on", gateway.now)
		gateway.ask(id, "job", "low", "comes on")
		gateway.reply(id, OK, 0)
	}
	kept := make(map[string]int)
	for _, account := range gateway.c.accounts {
		kept[account.plan.Name]++
	}
	if kept["low"] > 2 || kept["slow"] != 100 || kept["capped"] != 100 {
		t.Errorf("kept %v", kept)
	}
}

// Guards against many gateways that jam the fleet by their floors alone.
func TestFloorsOfALargeGroupAreShared(t *testing.T) {
	settings := settings()
	settings.GroupSize = 16
	gateway := newGate(t, settings, on(1, 2, 3, 4, 5, 6, 7, 8)...)
	for i := 0; i < 50; i++ {
		gateway.ask(fmt.Sprint(i), "job", "low", "x")
	}
	if per := float64(16*len(gateway.sends)) / 8; per > 8 {
		t.Errorf("a group of 16 starts with %g requests in each server", per)
	}
}

// Guards against a server that takes requests and never answers.
func TestSilentServerIsLeftAlone(t *testing.T) {
	gateway := newGate(t, settings(), on(1, 2, 3, 4)...)
	silent := 0
	for i := 0; i < 200; i++ {
		id := fmt.Sprint(i)
		gateway.ask(id, "job", "low", "x")
		gateway.pass(20 * ms)
		if gateway.sends[len(gateway.sends)-1].Server == 2 {
			silent++
		} else if gateway.n[id] > 0 {
			gateway.reply(id, OK, 0)
		}
	}
	if silent == 0 || silent > 6 {
		t.Errorf("%d of 200 requests in 4 s went to a server that never answers", silent)
	}
}

// Guards against a just-started server that every gateway of a large group tries at once.
func TestColdServerIsSharedByALargeGroup(t *testing.T) {
	settings := settings()
	settings.GroupSize = 12
	list := on(1, 2)
	list[0].StartedAt, list[0].HasStartedAt = time.Hour-ms, true
	gateway := newGate(t, settings, list...)
	cold := 0
	for i := 0; i < 300; i++ {
		id := fmt.Sprint(i)
		gateway.ask(id, "job", "low", "x")
		gateway.pass(10 * ms)
		if gateway.n[id] > 0 && gateway.sends[len(gateway.sends)-1].Server == 1 {
			cold++
			gateway.reply(id, OK, 0)
		} // the warm server answers nothing, so its rate is not known
	}
	if cold > 1 {
		t.Errorf("%d sends in 3 s from one of twelve gateways that knows no rate", cold)
	}
}
