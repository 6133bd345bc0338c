package fleetsim

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/decisiondigest"
)

// updateDecisions rewrites the golden file:
//
//	go test ./internal/simulation/fleetsim -run '^TestDecisionsAreUnchanged$' -update-decisions
//
// A change of package control that is meant to keep all decisions must not rewrite it.
var updateDecisions = flag.Bool("update-decisions", false, "rewrite testdata/decisions.golden")

const (
	goldenDecisions  = "testdata/decisions.golden"
	decisionSeeds    = 3
	decisionDuration = 8 * time.Second
	imageInterval    = 256 // number of events after which the state of the instance that handled the last one is added to the digest
)

var decisionFleets = []int{2, 80}

// decisionDays are the days, by name, whose decisions are compared with the golden file. Together they cover decisionFeatures.
var decisionDays = map[string]func(p *recordedDay) error{
	"calm":  (*recordedDay).runNamed,
	"roll":  (*recordedDay).runNamed,
	"herd":  (*recordedDay).runNamed,
	"zone":  (*recordedDay).runNamed,
	"split": (*recordedDay).runNamed,
	"join":  (*recordedDay).runNamed,
	"long":  (*recordedDay).runNamed,
	"single-shot": func(p *recordedDay) error {
		mutation := &Mutation{settings: func(_ *world, n *node) { n.settings.Classes[1].Idempotency = control.NotIdempotent }}
		return p.runDay(DayOptions{Day: "split", Mutation: mutation, Load: 2}, days["split"])
	},
	"hand-over": func(p *recordedDay) error {
		return p.runDay(DayOptions{Day: "hand-over"}, dayScript{script: p.handOverAll})
	},
	"clinic":   (*recordedDay).runQuotas,
	"library":  (*recordedDay).runQuotas,
	"archive":  (*recordedDay).runQuotas,
	"cableway": (*recordedDay).runQuotas,
	"kiosk":    (*recordedDay).runQuotas,
}

// decisionFeatures are the kinds of decisions that the days have to cover, so that the digests depend on each of them.
var decisionFeatures = []string{
	"attempt of a free request", "retry of a free request",
	"attempt of a guarded request", "retry of a guarded request",
	"attempt of a single-shot request", "retry of a single-shot request",
	"attempt at a warming-up server", "failed: no_further", "quota usage reported",
	"refused: by_chance", "refused: no_further", "refused: no_turn", "refused: over_ceiling", "refused: over_store",
	"refused: too_late", "refused: yields",
	"hand-over", "restored exactly", "restored estimates", "rejoined",
}

var idempotencyNames = map[control.Idempotency]string{control.Idempotent: "free", control.IdempotentWithKey: "guarded", control.NotIdempotent: "single-shot"}

// recordedDay is one simulation of a day with the digests of the decisions and the state of its instances.
type recordedDay struct {
	day       string
	instances int
	seed      uint64

	events, actions int
	decisions       *decisiondigest.Digest // digest of every action of every instance, in order
	state           *decisiondigest.Digest // digest of an instance's state every imageInterval events, of each checkpoint, and of all states at the end
	world           *world
	features        map[string]bool
	err             error // the first error of a digest
}

// recordDay simulates a day and returns its digests.
func recordDay(day string, instances int, seed uint64) (*recordedDay, error) {
	p := &recordedDay{
		day: day, instances: instances, seed: seed, decisions: decisiondigest.New(), state: decisiondigest.New(),
		features: make(map[string]bool),
	}
	if err := decisionDays[day](p); err != nil {
		return nil, err
	}
	for _, n := range p.world.nodes {
		p.recordError(p.state.AddImage(n.controller.Image()))
	}
	return p, p.err
}

func (p *recordedDay) runNamed() error { return p.runDay(DayOptions{Day: p.day}, days[p.day]) }

func (p *recordedDay) runDay(o DayOptions, plan dayScript) error {
	o.Instances, o.Seed, o.Duration, o.observe = p.instances, p.seed, decisionDuration, p.observe
	_, err := runDay(o, plan)
	return err
}

func (p *recordedDay) runQuotas() error {
	_, err := RunQuotas(QuotaOptions{Deployment: p.day, Policy: ByModule, Instances: p.instances, Seed: p.seed, Duration: decisionDuration, observe: p.observe})
	return err
}

// observe adds the actions of an event to the digest.
func (p *recordedDay) observe(w *world, instance int, event control.Event, actions []control.Action) {
	p.world = w
	p.events++
	p.actions += len(actions)
	p.decisions.AddActions(w.Now(), instance, actions)
	if p.events%imageInterval == 0 {
		p.recordError(p.state.AddImage(w.nodes[instance].controller.Image()))
	}
	if response, ok := event.(control.AttemptResult); ok && response.QuotaUsage > 0 {
		p.features["quota usage reported"] = true
	}
	for _, action := range actions {
		switch a := action.(type) {
		case control.Send:
			p.recordAttempt(w, instance, a)
		case control.Reject:
			p.features["refused: "+a.Cause.String()] = true
		case control.Fail:
			p.features["failed: "+a.Cause.String()] = true
		}
	}
}

// recordAttempt records the kind of an attempt as covered.
func (p *recordedDay) recordAttempt(w *world, instance int, a control.Send) {
	n := w.nodes[instance]
	t := n.inFlight[a.ID]
	if t == nil {
		return
	}
	kind := "attempt"
	if t.attempts > 0 {
		kind = "retry"
	}
	p.features[kind+" of a "+idempotencyNames[n.settings.Classes[t.call.class].Idempotency]+" request"] = true
	if warmthAt(w.Now()-w.hostByID[a.Server].bootedAt) < 1 {
		p.features["attempt at a warming-up server"] = true
	}
}

// handOverAll is the script of a day on which half of the servers are replaced by new ones, which have to warm up, while
// the instances hand over to successors one after another.
func (p *recordedDay) handOverAll(w *world) {
	w.replaceServers(0.5, 0.1, 0.5)
	for i := range w.nodes {
		w.At(w.timeAt(0.2+0.6*float64(i)/float64(len(w.nodes))), func() { p.handOver(w, i) })
	}
}

// handOver has an instance hand over half of its budgets to a successor, and the rest one second later. Every other
// successor restores the checkpoint with TrustEstimates, which takes over estimates only.
func (p *recordedDay) handOver(w *world, instance int) {
	now, predecessor := w.Now()+moduleClockOffset, w.nodes[instance].controller
	checkpoint := predecessor.HandOver(now, 0.5)
	p.recordError(p.state.AddCheckpoint(checkpoint))
	p.features["hand-over"] = true
	w.kill(instance)
	w.start(instance)
	successor := w.nodes[instance].controller
	if instance%2 == 0 {
		successor.Restore(now, checkpoint, control.TrustAll)
		p.features["restored exactly"] = true
	} else {
		successor.Restore(now, checkpoint, control.TrustEstimates)
		p.features["restored estimates"] = true
	}
	w.After(time.Second, func() {
		remaining := predecessor.HandOver(w.Now()+moduleClockOffset, 1)
		p.recordError(p.state.AddCheckpoint(remaining))
		successor.ReclaimRates(w.Now()+moduleClockOffset, &remaining)
		p.features["rejoined"] = true
	})
}

func (p *recordedDay) recordError(err error) {
	if p.err == nil {
		p.err = err
	}
}

// goldenLine returns the line of this simulation in the golden file.
func (p *recordedDay) goldenLine() string {
	return fmt.Sprintf("%s instances=%d seed=%d events=%d actions=%d decisions=%s state=%s", p.day, p.instances, p.seed, p.events, p.actions,
		p.decisions.Sum(), p.state.Sum())
}

// On every day, each controller returns the same actions in the same order as when the golden file was written, and ends
// in the same state, bit for bit.
func TestDecisionsAreUnchanged(t *testing.T) {
	var lock sync.Mutex
	var lines []string
	features := make(map[string]bool)
	t.Run("days", func(t *testing.T) {
		for day := range decisionDays {
			for _, instances := range decisionFleets {
				for seed := uint64(1); seed <= decisionSeeds; seed++ {
					t.Run(fmt.Sprintf("%s/%d/%d", day, instances, seed), func(t *testing.T) {
						t.Parallel()
						p, err := recordDay(day, instances, seed)
						if err != nil {
							t.Fatal(err)
						}
						lock.Lock()
						defer lock.Unlock()
						lines = append(lines, p.goldenLine())
						maps.Copy(features, p.features)
					})
				}
			}
		}
	})
	for _, feature := range decisionFeatures {
		if !features[feature] {
			t.Errorf("no day covers %q", feature)
		}
	}
	slices.Sort(lines)
	compareGolden(t, lines)
}

// compareGolden compares the lines with the golden file, or writes it with -update-decisions.
func compareGolden(t *testing.T, lines []string) {
	t.Helper()
	if *updateDecisions {
		if err := os.WriteFile(goldenDecisions, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	raw, err := os.ReadFile(goldenDecisions)
	if err != nil {
		t.Fatal(err)
	}
	golden := strings.Split(strings.TrimSuffix(string(raw), "\n"), "\n")
	if len(golden) != len(lines) {
		t.Errorf("%d simulations, but the golden file has %d", len(lines), len(golden))
	}
	for i := range min(len(golden), len(lines)) {
		if lines[i] != golden[i] {
			t.Errorf("decisions or state differ from the golden file:\n got %s\nwant %s", lines[i], golden[i])
		}
	}
}
