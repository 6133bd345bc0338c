package fleet

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"lockflow/control"
	"lockflow/internal/config"
	"lockflow/internal/config/tree"
	"lockflow/internal/fleetfile"
	"lockflow/internal/regions"
	"lockflow/internal/regions/mixture"
)

// Between is the text of the settings that members run between old and new, where those two may not stand
// side by side: in every ceiling, cold budget and term the stricter of both. nil is none: they may.
func Between(old, new []byte) ([]byte, error) {
	a, err := asRegion("the old settings", old)
	if err != nil {
		return nil, err
	}
	b, err := asRegion("the new settings", new)
	if err != nil {
		return nil, err
	}
	if len(mixture.Phases(a, b)) == 0 {
		return nil, nil
	}
	return meet(old, a, b)
}

// asRegion is what settings are as a region of no known members.
func asRegion(name string, text []byte) (regions.Region, error) {
	cfg, err := config.Parse(name, text)
	if err != nil {
		return regions.Region{}, err
	}
	return fleetfile.Region{Config: cfg, Text: text}.Region(), nil
}

// meet writes the settings of mixture.Meet as a change of old's text, and holds the result against it.
func meet(text []byte, old, new regions.Region) ([]byte, error) {
	want := mixture.Strictest(old, new)
	change, without := changeTo(old, want)
	var r tree.Reading
	base, ok := r.Parse("the old settings", text)
	if !ok {
		return nil, r.Err()
	}
	for _, key := range without {
		if has(base, key) {
			list, _ := change[tree.RemovedKeys].([]string)
			change[tree.RemovedKeys] = append(list, key)
		}
	}
	raw, err := toml.Marshal(change)
	if err != nil {
		return nil, fmt.Errorf("writing the settings between: %w", err)
	}
	over, ok := r.Parse("the settings between", raw)
	if !ok {
		return nil, r.Err()
	}
	out, err := over.MergeOver(base).Text()
	if err == nil {
		err = r.Err()
	}
	if err != nil {
		return nil, fmt.Errorf("writing the settings between: %w", err)
	}
	out = append([]byte("# between two settings that may not stand side by side; written by lockflow fleet\n"), out...)
	got, err := asRegion("the settings between", out)
	if err != nil {
		return nil, fmt.Errorf("the settings that have to come between can't be written: %w", err)
	}
	for i, s := range want.Services {
		g := got.Services[i]
		if g.SlowStart != s.SlowStart || !reflect.DeepEqual(g.Plans, s.Plans) || !reflect.DeepEqual(g.Classes, s.Classes) || got.Instances != want.Instances {
			return nil, fmt.Errorf("the settings that have to come between can't be written for service %s: change them in two steps, the stricter first", s.Name)
		}
	}
	if bytes.Equal(out, text) {
		return nil, nil
	}
	return out, nil
}

// changeTo is what of a region's settings has to change to be as wanted, as a document, and the keys to leave out.
func changeTo(old, want regions.Region) (change map[string]any, without []string) {
	change = make(map[string]any)
	set := func(v any, path ...string) {
		at := change
		for _, key := range path[:len(path)-1] {
			if at[key] == nil {
				at[key] = make(map[string]any)
			}
			at = at[key].(map[string]any)
		}
		at[path[len(path)-1]] = v
	}
	if want.Instances != old.Instances {
		set(want.Instances, "process", "instances")
	}
	for i, s := range want.Services {
		was := old.Services[i]
		if s.SlowStart != was.SlowStart {
			set(s.SlowStart.WarmupTime.String(), "services", s.Name, "cold")
			set(s.SlowStart.InitialCapacity, "services", s.Name, "cold_from")
			set(s.SlowStart.OverloadMultiple, "services", s.Name, "fall_multiple")
		}
		setPlans(set, was.Plans, s.Plans)
		without = append(without, setClasses(set, was.Classes, s.Classes)...)
	}
	return change, without
}

// setPlans sets what plans have otherwise than before.
func setPlans(set func(v any, path ...string), was, plans []control.Plan) {
	for k, p := range plans {
		if p == was[k] {
			continue
		}
		for key, v := range map[string]float64{"rate": p.QuotaRate, "ceiling_rate": p.HardLimitRate, "ceiling_burst": p.HardLimitBurst, "ceiling_slack": p.HardLimitSlack} {
			if v > 0 || p.HardLimitRate > 0 && key != "rate" {
				set(v, "plans", p.Name, key)
			}
		}
	}
}

// setClasses sets what classes have otherwise than before, and gives the keys that they have no more.
func setClasses(set func(v any, path ...string), was, classes []control.Class) (without []string) {
	for k, c := range classes {
		if c == was[k] {
			continue
		}
		for key, v := range terms(c) {
			set(v, "classes", c.Name, key)
		}
		if was[k].Idempotency == control.IdempotentWithKey && c.Idempotency != control.IdempotentWithKey {
			without = append(without, "classes."+c.Name+".key_scope", "classes."+c.Name+".repeat_window")
		}
	}
	return without
}

func terms(c control.Class) map[string]any {
	t := map[string]any{"repeats": [...]string{"free", "keyed", "never"}[c.Idempotency], "deadline": c.Deadline.String(), "aim": c.LatencyObjective.String()}
	if c.Idempotency == control.IdempotentWithKey {
		t["key_scope"], t["repeat_window"] = [...]string{"all", "zone", "group"}[c.KeyScope], c.RepeatWindow.String()
	}
	return t
}

func has(t tree.Table, key string) bool {
	path := strings.Split(key, ".")
	for _, k := range path[:len(path)-1] {
		if !t.Has(k) {
			return false
		}
		t = t.Sub(k)
	}
	return t.Has(path[len(path)-1])
}
