package wire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"lockflow/control"
)

// readOpen reads the start of an instance. Settings keys that are not known are
// skipped; what the settings mean is for control.New to judge.
func (d *Decoder) readOpen(rest string) (Input, error) {
	f := parseFields(rest)
	m := make(map[string]string, len(f.keys))
	for i, k := range f.keys {
		m[k] = f.values[i]
	}
	settings, err := readSettings(m, false) // what they mean is for the module to judge
	if err != nil {
		return Input{}, d.fail("open_instance", err)
	}
	in := Input{
		Instance: int(f.integer("who", true)),
		Open:     &Open{Seed: f.unsigned("salt", true), Settings: settings},
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
	g := &settingsReader{fields: &fields{}, byPath: paths, isStrict: strict}
	for k, v := range paths {
		g.keys, g.values = append(g.keys, k), append(g.values, v)
	}
	s := g.settings()
	if strict {
		g.validate(&s)
	}
	return s, g.err
}

// validate names the first setting, by its path, that can't be whatever a module makes of it.
func (g *settingsReader) validate(s *control.Settings) {
	for i, k := range s.Classes {
		for name, v := range map[string]time.Duration{"aim": k.LatencyObjective, "deadline": k.Deadline} {
			if v <= 0 {
				g.fail(fmt.Sprintf("classes.%d.%s", i, name), fmt.Errorf("class %q: %v is not positive", k.Name, v))
			}
		}
		if k.RepeatWindow < 0 {
			g.fail(fmt.Sprintf("classes.%d.repeat-window", i), fmt.Errorf("class %q: %v is negative", k.Name, k.RepeatWindow))
		}
	}
	if s.GroupSize < 1 {
		g.fail("group-size", fmt.Errorf("%d is not positive", s.GroupSize))
	}
	if s.SelfIndex >= s.GroupSize {
		g.fail("self-index", fmt.Errorf("%d is outside a group of %d", s.SelfIndex, s.GroupSize))
	}
	if s.InitialCapacity > 1 {
		g.fail("contract.cold-from", fmt.Errorf("%g is more than all of a server's capacity", s.InitialCapacity))
	}
	// Guards against a request that means the one and is held to the terms of the other.
	classes, plans := map[string]bool{}, map[string]bool{}
	for i, k := range s.Classes {
		g.checkName(classes, fmt.Sprintf("classes.%d.name", i), k.Name)
	}
	for i, p := range s.Plans {
		g.checkName(plans, fmt.Sprintf("tariffs.%d.name", i), p.Name)
	}
	if len(s.Classes) == 0 {
		g.fail("classes", errors.New("there are none"))
	}
	if _, told := g.byPath["tariffs.count"]; len(s.Plans) == 0 && told {
		s.Plans = []control.Plan{{Price: 1}} // of all customers: none is named, and none has a quota
	} else if len(s.Plans) == 0 {
		g.fail("tariffs", errors.New("there are none"))
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

// checkName takes one name of a list, which has each once.
func (g *settingsReader) checkName(taken map[string]bool, path, name string) {
	switch {
	case name == "":
		g.fail(path, errors.New("there is none"))
	case taken[name]:
		g.fail(path, fmt.Errorf("%q is given twice", name))
	}
	taken[name] = true
}

// settingsReader reads settings by their path.
type settingsReader struct {
	*fields
	byPath   map[string]string
	isStrict bool // no figure may be one that makes no sense
}

func (g *settingsReader) number(key string) float64 {
	s, ok := g.byPath[key]
	if !ok || s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		g.fail(key, err)
	} else if g.isStrict && (!(v >= 0) || math.IsInf(v, 0)) { // no setting is below nothing
		g.fail(key, fmt.Errorf("%g is negative or not finite", v))
	}
	return v
}

// integer reads a whole number. Guards against a part of one cut off, which may leave what means no limit.
func (g *settingsReader) integer(key string) int {
	v := g.number(key)
	if g.isStrict && (v != math.Trunc(v) || v > math.MaxInt32) {
		g.fail(key, fmt.Errorf("%g is no whole number, or too large", v))
	}
	return int(v)
}

func (g *settingsReader) flag(key string) bool { return g.boolean(key) }

func (g *settingsReader) settings() control.Settings {
	s := control.Settings{
		SelfIndex: g.integer("self-index"), GroupSize: g.integer("group-size"), Zone: g.byPath["zone"],
		ListOnRequest:   g.byPath["discovery"] == "on_request",
		MaxPollInterval: g.milliseconds("contract.ask-within", false), DrainGrace: g.milliseconds("contract.drain-grace", false),
		WarmupTime: g.milliseconds("contract.cold", false), InitialCapacity: g.number("contract.cold-from"),
		OverloadWindow: g.milliseconds("contract.fall", false), OverloadMultiple: g.number("contract.fall-multiple"),
		MeterPeriod: g.milliseconds("domain.meter-period", false), UnitsInResponse: g.flag("domain.cost-after"),
		MaxUnits: g.number("domain.units-top"), HasCounter: g.flag("domain.has-counter"),
		PeerMessagesPerSecond: g.number("domain.inbox-per-s"),
		MaxAttempts:           g.integer("limits.send-cap"), MaxRequests: g.integer("limits.open-cap"),
		CanCancel: g.flag("limits.may-cancel"), RetriesAreMarked: g.flag("clients.marks-retry"), HealthChecks: g.flag("limits.probes"),
		PeerMessages: g.flag("limits.peer-messages"), HedgedRequests: g.flag("limits.second-copies"),
		SupportsRetryAfter: g.flag("limits.retry-after"), MaxRetryAfter: g.milliseconds("limits.max-retry-after", false),
		CrossZonePrice: g.number("charges.cross-zone"),
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
func (g *settingsReader) count(list string) int {
	n := g.number(list + ".count")
	if !(n >= 0 && n <= float64(len(g.keys))) {
		g.fail(list+".count", fmt.Errorf("%g items cannot be in these settings", n))
		return 0
	}
	return int(n)
}

func (g *settingsReader) class(p string) control.Class {
	c := control.Class{
		Name: g.byPath[p+"name"], LatencyObjective: g.milliseconds(p+"aim", false), Deadline: g.milliseconds(p+"deadline", false),
		RepeatWindow: g.milliseconds(p+"repeat-window", false), PriorityWeight: g.number(p + "worth"),
		LateWeightFraction: g.number(p + "late-share"), IsStreaming: g.flag(p + "stream"),
	}
	switch e := g.byPath[p+"effect"]; e {
	case "free":
		c.Idempotency = control.Idempotent
	case "guarded":
		c.Idempotency = control.IdempotentWithKey
	case "single_shot":
		c.Idempotency = control.NotIdempotent
	default:
		g.fail(p+"effect", fmt.Errorf("unknown value %q", e))
	}
	switch k := g.byPath[p+"key-scope"]; k {
	case "", "all":
		c.KeyScope = control.ScopeAll
	case "zone":
		c.KeyScope = control.ScopeZone
	case "cell":
		c.KeyScope = control.ScopeCell
	default:
		g.fail(p+"key-scope", fmt.Errorf("unknown value %q", k))
	}
	return c
}

func (g *settingsReader) plan(p string) control.Plan {
	return control.Plan{
		Name: g.byPath[p+"name"], Price: g.number(p + "value-factor"), QuotaRate: g.number(p + "quota-rate"),
		QuotaBurst: g.number(p + "depth"), MaxInFlight: g.integer(p + "open"), OverQuotaCost: g.number(p + "overrun-cost"),
		OverQuotaGain: g.number(p + "beyond-earns"), HardLimitRate: g.number(p + "cap-rate"),
		HardLimitBurst: g.number(p + "hard-burst"), HardLimitSlack: g.number(p + "ceiling-slack"),
	}
}
