package wire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"lockflow/control"
)

// open reads the start of an instance. Settings keys that are not known are
// skipped; what the settings mean is for control.New to judge.
func (d *Decoder) open(rest string) (Input, error) {
	f := parse(rest)
	m := make(map[string]string, len(f.keys))
	for i, k := range f.keys {
		m[k] = f.values[i]
	}
	settings, err := readSettings(m, false) // what they mean is for the module to judge
	if err != nil {
		return Input{}, d.fail("open_instance", err)
	}
	in := Input{
		Who:  int(f.integer("who", true)),
		Open: &Open{Seed: f.unsigned("salt", true), Settings: settings},
	}
	if f.err != nil {
		return in, d.fail("open_instance", f.err)
	}
	return in, nil
}

// Settings reads settings given as text by their dotted paths: the length of a
// list of objects under .count, its items under .0, .1 and onward. The first that can't be is named by
// its path.
func Settings(paths map[string]string) (control.Settings, error) { return readSettings(paths, true) }

func readSettings(paths map[string]string, strict bool) (control.Settings, error) {
	g := &facts{fields: &fields{}, m: paths, strict: strict}
	for k, v := range paths {
		g.keys, g.values = append(g.keys, k), append(g.values, v)
	}
	s := g.settings()
	if strict {
		g.check(&s)
	}
	return s, g.err
}

// check names the first setting, by its path, that can't be whatever a module makes of it.
func (g *facts) check(s *control.Settings) {
	for i, k := range s.Classes {
		for name, v := range map[string]time.Duration{"aim": k.LatencyObjective, "deadline": k.Deadline} {
			if v <= 0 {
				g.bad(fmt.Sprintf("classes.%d.%s", i, name), fmt.Errorf("class %q: %v is not positive", k.Name, v))
			}
		}
		if k.RepeatWindow < 0 {
			g.bad(fmt.Sprintf("classes.%d.repeat-window", i), fmt.Errorf("class %q: %v is negative", k.Name, k.RepeatWindow))
		}
	}
	if s.GroupSize < 1 {
		g.bad("group-size", fmt.Errorf("%d is not positive", s.GroupSize))
	}
	if s.SelfIndex >= s.GroupSize {
		g.bad("self-index", fmt.Errorf("%d is outside a group of %d", s.SelfIndex, s.GroupSize))
	}
	if s.InitialCapacity > 1 {
		g.bad("contract.cold-from", fmt.Errorf("%g is more than all of a server's capacity", s.InitialCapacity))
	}
	// Guards against a request that means the one and is held to the terms of the other.
	classes, plans := map[string]bool{}, map[string]bool{}
	for i, k := range s.Classes {
		g.names(classes, fmt.Sprintf("classes.%d.name", i), k.Name)
	}
	for i, p := range s.Plans {
		g.names(plans, fmt.Sprintf("tariffs.%d.name", i), p.Name)
	}
	if len(s.Classes) == 0 {
		g.bad("classes", errors.New("there are none"))
	}
	if _, told := g.m["tariffs.count"]; len(s.Plans) == 0 && told {
		s.Plans = []control.Plan{{Price: 1}} // of all customers: none is named, and none has a quota
	} else if len(s.Plans) == 0 {
		g.bad("tariffs", errors.New("there are none"))
	}
}

// InvalidSettings names, by its path, each figure of a quota that makes no sense. They can be served by: their plan's
// customers get little or have no quota, and nobody else hears of it.
func InvalidSettings(s control.Settings) []error {
	var all []error
	doubt := func(plan int, name, format string, args ...any) {
		all = append(all, fmt.Errorf("field tariffs.%d.%s: plan %q: %s", plan, name, s.Plans[plan].Name, fmt.Sprintf(format, args...)))
	}
	largest := max(1, s.MaxUnits)
	for i, p := range s.Plans {
		if p.QuotaRate > 0 && p.QuotaBurst < largest {
			doubt(i, "depth", "%g units are fewer than the %g of one request", p.QuotaBurst, largest)
		}
		if p.QuotaRate == 0 && p.QuotaBurst > 0 && p.MaxInFlight == 0 {
			doubt(i, "quota-rate", "a store of %g units is no quota without one", p.QuotaBurst)
		}
		if p.HardLimitRate > 0 && p.HardLimitBurst < largest {
			doubt(i, "hard-burst", "%g units are fewer than the %g of one request", p.HardLimitBurst, largest)
		}
		if p.HardLimitRate == 0 && p.HardLimitBurst > 0 {
			doubt(i, "cap-rate", "a store of %g units is no ceiling without one", p.HardLimitBurst)
		}
	}
	return all
}

// names takes one name of a list, which has each once.
func (g *facts) names(taken map[string]bool, path, name string) {
	switch {
	case name == "":
		g.bad(path, errors.New("there is none"))
	case taken[name]:
		g.bad(path, fmt.Errorf("%q is given twice", name))
	}
	taken[name] = true
}

// facts reads settings by their path.
type facts struct {
	*fields
	m      map[string]string
	strict bool // no figure may be one that makes no sense
}

func (g *facts) num(key string) float64 {
	s, ok := g.m[key]
	if !ok || s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		g.bad(key, err)
	} else if g.strict && (!(v >= 0) || math.IsInf(v, 0)) { // no setting is below nothing
		g.bad(key, fmt.Errorf("%g is negative or not finite", v))
	}
	return v
}

// integer reads a whole number. Guards against a part of one cut off, which may leave what means no limit.
func (g *facts) integer(key string) int {
	v := g.num(key)
	if g.strict && (v != math.Trunc(v) || v > math.MaxInt32) {
		g.bad(key, fmt.Errorf("%g is no whole number, or too large", v))
	}
	return int(v)
}

func (g *facts) flag(key string) bool { return g.boolean(key) }

func (g *facts) settings() control.Settings {
	s := control.Settings{
		SelfIndex: g.integer("self-index"), GroupSize: g.integer("group-size"), Zone: g.m["zone"],
		ListOnRequest:   g.m["discovery"] == "on_request",
		MaxPollInterval: g.ms("contract.ask-within", false), DrainGrace: g.ms("contract.drain-grace", false),
		WarmupTime: g.ms("contract.cold", false), InitialCapacity: g.num("contract.cold-from"),
		OverloadWindow: g.ms("contract.fall", false), OverloadMultiple: g.num("contract.fall-multiple"),
		MeterPeriod: g.ms("domain.meter-period", false), UnitsInResponse: g.flag("domain.cost-after"),
		MaxUnits: g.num("domain.units-top"), HasCounter: g.flag("domain.has-counter"),
		PeerMessagesPerSecond: g.num("domain.inbox-per-s"),
		MaxAttempts:           g.integer("limits.send-cap"), MaxRequests: g.integer("limits.open-cap"),
		CanCancel: g.flag("limits.may-cancel"), RetriesAreMarked: g.flag("clients.marks-retry"), HealthChecks: g.flag("limits.probes"),
		PeerMessages: g.flag("limits.peer-messages"), HedgedRequests: g.flag("limits.second-copies"),
		SupportsRetryAfter: g.flag("limits.retry-after"), MaxRetryAfter: g.ms("limits.max-retry-after", false),
		CrossZonePrice: g.num("charges.cross-zone"),
	}
	for i := 0; i < g.count("classes"); i++ {
		s.Classes = append(s.Classes, g.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := 0; i < g.count("tariffs"); i++ {
		s.Plans = append(s.Plans, g.plan(fmt.Sprintf("tariffs.%d.", i)))
	}
	return s
}

// count reads the length of a list and holds it to what the settings could hold.
func (g *facts) count(list string) int {
	n := g.num(list + ".count")
	if !(n >= 0 && n <= float64(len(g.keys))) {
		g.bad(list+".count", fmt.Errorf("%g items cannot be in these settings", n))
		return 0
	}
	return int(n)
}

func (g *facts) class(p string) control.Class {
	c := control.Class{
		Name: g.m[p+"name"], LatencyObjective: g.ms(p+"aim", false), Deadline: g.ms(p+"deadline", false),
		RepeatWindow: g.ms(p+"repeat-window", false), PriorityWeight: g.num(p + "worth"),
		LateWeightFraction: g.num(p + "late-share"), IsStreaming: g.flag(p + "stream"),
	}
	switch e := g.m[p+"effect"]; e {
	case "free":
		c.Idempotency = control.Idempotent
	case "guarded":
		c.Idempotency = control.IdempotentWithKey
	case "single_shot":
		c.Idempotency = control.NotIdempotent
	default:
		g.bad(p+"effect", fmt.Errorf("unknown value %q", e))
	}
	switch k := g.m[p+"key-scope"]; k {
	case "", "all":
		c.KeyScope = control.ScopeAll
	case "zone":
		c.KeyScope = control.ScopeZone
	case "cell":
		c.KeyScope = control.ScopeCell
	default:
		g.bad(p+"key-scope", fmt.Errorf("unknown value %q", k))
	}
	return c
}

func (g *facts) plan(p string) control.Plan {
	return control.Plan{
		Name: g.m[p+"name"], Price: g.num(p + "value-factor"), QuotaRate: g.num(p + "quota-rate"),
		QuotaBurst: g.num(p + "depth"), MaxInFlight: g.integer(p + "open"), OverQuotaCost: g.num(p + "overrun-cost"),
		OverQuotaGain: g.num(p + "beyond-earns"), HardLimitRate: g.num(p + "cap-rate"),
		HardLimitBurst: g.num(p + "hard-burst"), HardLimitSlack: g.num(p + "ceiling-slack"),
	}
}
