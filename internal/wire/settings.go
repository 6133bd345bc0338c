package wire

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"lockflow/control"
)

// readOpen reads the line that starts an instance. Unknown settings are skipped; invalid ones are left to
// control.New to reject.
func (d *Decoder) readOpen(rest string) (Input, error) {
	f := parseFields(rest)
	byPath := make(map[string]string, len(f.keys))
	for i, key := range f.keys {
		byPath[key] = f.values[i]
	}
	settings, err := readSettings(byPath, false)
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

// Settings reads settings from strings by dotted path: a list of objects has its length at ".count" and its items
// at ".0", ".1" and so on. Unknown paths are skipped. The error names the path of the first invalid setting.
func Settings(byPath map[string]string) (control.Settings, error) { return readSettings(byPath, true) }

func readSettings(byPath map[string]string, isStrict bool) (control.Settings, error) {
	r := &settingsReader{fields: &fields{}, byPath: byPath, isStrict: isStrict}
	for key, value := range byPath {
		r.keys = append(r.keys, key)
		r.values = append(r.values, value)
	}
	settings := r.settings()
	if isStrict {
		r.validate(&settings)
	}
	return settings, r.err
}

// settingsReader reads settings by their paths. The names in the paths predate the terms of docs/glossary.md; only
// this type maps them.
type settingsReader struct {
	*fields
	byPath   map[string]string
	isStrict bool // numbers have to be finite and not negative, and integers without a fraction
}

func (r *settingsReader) number(key string) float64 {
	text, ok := r.byPath[key]
	if !ok || text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		r.fail(key, err)
	} else if r.isStrict && (!(v >= 0) || math.IsInf(v, 0)) {
		r.fail(key, fmt.Errorf("%g is negative or not finite", v))
	}
	return v
}

// integer reads an integer. In strict mode a fraction is an error: truncated to 0 it could mean that there is no
// limit.
func (r *settingsReader) integer(key string) int {
	v := r.number(key)
	if r.isStrict && (v != math.Trunc(v) || v > math.MaxInt32) {
		r.fail(key, fmt.Errorf("%g is not an integer, or too large", v))
	}
	return int(v)
}

func (r *settingsReader) duration(key string) time.Duration { return r.milliseconds(key, false) }

func (r *settingsReader) settings() control.Settings {
	s := control.Settings{
		SelfIndex:             r.integer("self-index"),
		GroupSize:             r.integer("group-size"),
		Zone:                  r.byPath["zone"],
		ListOnRequest:         r.byPath["discovery"] == "on_request",
		MaxPollInterval:       r.duration("contract.ask-within"),
		DrainGrace:            r.duration("contract.drain-grace"),
		WarmupTime:            r.duration("contract.cold"),
		InitialCapacity:       r.number("contract.cold-from"),
		OverloadWindow:        r.duration("contract.fall"),
		OverloadMultiple:      r.number("contract.fall-multiple"),
		MeterPeriod:           r.duration("domain.meter-period"),
		UnitsInResponse:       r.boolean("domain.cost-after"),
		MaxUnits:              r.number("domain.units-top"),
		HasCounter:            r.boolean("domain.has-counter"),
		PeerMessagesPerSecond: r.number("domain.inbox-per-s"),
		MaxAttempts:           r.integer("limits.send-cap"),
		MaxRequests:           r.integer("limits.open-cap"),
		CanCancel:             r.boolean("limits.may-cancel"),
		RetriesAreMarked:      r.boolean("clients.marks-retry"),
		HealthChecks:          r.boolean("limits.probes"),
		PeerMessages:          r.boolean("limits.peer-messages"),
		HedgedRequests:        r.boolean("limits.second-copies"),
		SupportsRetryAfter:    r.boolean("limits.retry-after"),
		MaxRetryAfter:         r.duration("limits.max-retry-after"),
		CrossZonePrice:        r.number("charges.cross-zone"),
	}
	for i := range r.count("classes") {
		s.Classes = append(s.Classes, r.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := range r.count("tariffs") {
		s.Plans = append(s.Plans, r.plan(fmt.Sprintf("tariffs.%d.", i)))
	}
	return s
}

// count reads the length of a list. To bound the allocation, it can't exceed the number of settings.
func (r *settingsReader) count(list string) int {
	n := r.number(list + ".count")
	if !(n >= 0 && n <= float64(len(r.keys))) {
		r.fail(list+".count", fmt.Errorf("%g is not a valid length: it is negative or more than the number of settings", n))
		return 0
	}
	return int(n)
}

// class reads the class whose paths start with a prefix.
func (r *settingsReader) class(prefix string) control.Class {
	class := control.Class{
		Name:               r.byPath[prefix+"name"],
		LatencyObjective:   r.duration(prefix + "aim"),
		Deadline:           r.duration(prefix + "deadline"),
		RepeatWindow:       r.duration(prefix + "repeat-window"),
		PriorityWeight:     r.number(prefix + "worth"),
		LateWeightFraction: r.number(prefix + "late-share"),
		IsStreaming:        r.boolean(prefix + "stream"),
	}
	switch effect := r.byPath[prefix+"effect"]; effect {
	case "free":
		class.Idempotency = control.Idempotent
	case "guarded":
		class.Idempotency = control.IdempotentWithKey
	case "single_shot":
		class.Idempotency = control.NotIdempotent
	default:
		r.fail(prefix+"effect", fmt.Errorf("unknown value %q", effect))
	}
	switch scope := r.byPath[prefix+"key-scope"]; scope {
	case "", "all":
		class.KeyScope = control.ScopeAll
	case "zone":
		class.KeyScope = control.ScopeZone
	case "cell":
		class.KeyScope = control.ScopeCell
	default:
		r.fail(prefix+"key-scope", fmt.Errorf("unknown value %q", scope))
	}
	return class
}

// plan reads the plan whose paths start with a prefix.
func (r *settingsReader) plan(prefix string) control.Plan {
	return control.Plan{
		Name:           r.byPath[prefix+"name"],
		Price:          r.number(prefix + "value-factor"),
		QuotaRate:      r.number(prefix + "quota-rate"),
		QuotaBurst:     r.number(prefix + "depth"),
		MaxInFlight:    r.integer(prefix + "open"),
		OverQuotaCost:  r.number(prefix + "overrun-cost"),
		OverQuotaGain:  r.number(prefix + "beyond-earns"),
		HardLimitRate:  r.number(prefix + "cap-rate"),
		HardLimitBurst: r.number(prefix + "hard-burst"),
		HardLimitSlack: r.number(prefix + "ceiling-slack"),
	}
}
