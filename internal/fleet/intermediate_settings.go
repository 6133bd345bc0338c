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

// intermediateHeader is the first line of the intermediate settings that this package writes.
const intermediateHeader = "# between two settings that may not stand side by side; written by lockflow fleet\n"

// IntermediateSettings returns the settings that members have to run between old and new ones which may not be in force
// at the same time: for each hard limit, slow start and class the stricter of both. It returns nil if members with the
// old and the new settings may run side by side.
func IntermediateSettings(old, new []byte) ([]byte, error) {
	oldRegion, err := parseRegion("the old settings", old)
	if err != nil {
		return nil, err
	}
	newRegion, err := parseRegion("the new settings", new)
	if err != nil {
		return nil, err
	}
	if len(mixture.Phases(oldRegion, newRegion)) == 0 {
		return nil, nil
	}
	return writeIntermediate(old, oldRegion, newRegion)
}

// parseRegion parses settings into a region without members. name identifies the settings in errors.
func parseRegion(name string, text []byte) (regions.Region, error) {
	cfg, err := config.Parse(name, text)
	if err != nil {
		return regions.Region{}, err
	}
	return fleetfile.Region{Config: cfg, Text: text}.Region(), nil
}

// writeIntermediate writes the settings of mixture.Strictest as a modification of the old text, and verifies that the
// result parses to the same limits. It returns nil if the text stays the same.
func writeIntermediate(oldText []byte, old, new regions.Region) ([]byte, error) {
	wanted := mixture.Strictest(old, new)
	text, err := mergeDifference(oldText, settingsDifference(old, wanted))
	if err != nil {
		return nil, err
	}
	written, err := parseRegion("the intermediate settings", text)
	if err != nil {
		return nil, fmt.Errorf("the intermediate settings can't be generated: %w", err)
	}
	for i, service := range wanted.Services {
		if !hasSameLimits(written.Services[i], service) || written.Instances != wanted.Instances {
			return nil, fmt.Errorf("the intermediate settings can't be generated for service %s: change the settings in two steps, the stricter first", service.Name)
		}
	}
	if bytes.Equal(text, oldText) {
		return nil, nil
	}
	return text, nil
}

// hasSameLimits reports whether two services are equal in the settings that an intermediate step changes.
func hasSameLimits(a, b regions.Service) bool {
	return a.SlowStart == b.SlowStart && reflect.DeepEqual(a.Plans, b.Plans) && reflect.DeepEqual(a.Classes, b.Classes)
}

// mergeDifference applies a difference to the text of settings.
func mergeDifference(text []byte, diff difference) ([]byte, error) {
	var r tree.Reading
	base, ok := r.Parse("the old settings", text)
	if !ok {
		return nil, r.Err()
	}
	for _, key := range diff.removed {
		if hasKey(base, key) {
			list, _ := diff.document[tree.RemovedKeys].([]string)
			diff.document[tree.RemovedKeys] = append(list, key)
		}
	}
	raw, err := toml.Marshal(diff.document)
	if err != nil {
		return nil, fmt.Errorf("writing the intermediate settings: %w", err)
	}
	overlay, ok := r.Parse("the intermediate settings", raw)
	if !ok {
		return nil, r.Err()
	}
	merged, err := overlay.MergeOver(base).Text()
	if err == nil {
		err = r.Err()
	}
	if err != nil {
		return nil, fmt.Errorf("writing the intermediate settings: %w", err)
	}
	return append([]byte(intermediateHeader), merged...), nil
}

// difference is a set of modifications of a settings document.
type difference struct {
	document map[string]any // tables and values to set
	removed  []string       // dotted keys to remove
}

// set sets the value at a path of keys.
func (d *difference) set(value any, path ...string) {
	table := d.document
	for _, key := range path[:len(path)-1] {
		if table[key] == nil {
			table[key] = make(map[string]any)
		}
		table = table[key].(map[string]any)
	}
	table[path[len(path)-1]] = value
}

// settingsDifference returns the difference between a region's old and wanted settings.
func settingsDifference(old, wanted regions.Region) difference {
	diff := difference{document: make(map[string]any)}
	if wanted.Instances != old.Instances {
		diff.set(wanted.Instances, "process", "instances")
	}
	for i, service := range wanted.Services {
		oldService := old.Services[i]
		if service.SlowStart != oldService.SlowStart {
			diff.set(service.SlowStart.WarmupTime.String(), "services", service.Name, "cold")
			diff.set(service.SlowStart.InitialCapacity, "services", service.Name, "cold_from")
			diff.set(service.SlowStart.OverloadMultiple, "services", service.Name, "fall_multiple")
		}
		diff.setPlans(oldService.Plans, service.Plans)
		diff.setClasses(oldService.Classes, service.Classes)
	}
	return diff
}

// setPlans sets the rates of plans that have changed.
func (d *difference) setPlans(old, plans []control.Plan) {
	for i, p := range plans {
		if p == old[i] {
			continue
		}
		rates := map[string]float64{
			"rate":          p.QuotaRate,
			"ceiling_rate":  p.HardLimitRate,
			"ceiling_burst": p.HardLimitBurst,
			"ceiling_slack": p.HardLimitSlack,
		}
		for key, rate := range rates {
			if rate > 0 || p.HardLimitRate > 0 && key != "rate" {
				d.set(rate, "plans", p.Name, key)
			}
		}
	}
}

// setClasses sets the settings of classes that have changed, and removes the keys that no longer apply to them.
func (d *difference) setClasses(old, classes []control.Class) {
	for i, c := range classes {
		if c == old[i] {
			continue
		}
		for key, value := range classSettings(c) {
			d.set(value, "classes", c.Name, key)
		}
		if old[i].Idempotency == control.IdempotentWithKey && c.Idempotency != control.IdempotentWithKey {
			d.removed = append(d.removed, "classes."+c.Name+".key_scope", "classes."+c.Name+".repeat_window")
		}
	}
}

// classSettings returns a class's settings by key.
func classSettings(c control.Class) map[string]any {
	settings := map[string]any{
		"repeats":  [...]string{"free", "keyed", "never"}[c.Idempotency],
		"deadline": c.Deadline.String(),
		"aim":      c.LatencyObjective.String(),
	}
	if c.Idempotency == control.IdempotentWithKey {
		settings["key_scope"] = [...]string{"all", "zone", "group"}[c.KeyScope]
		settings["repeat_window"] = c.RepeatWindow.String()
	}
	return settings
}

// hasKey reports whether a document has a dotted key.
func hasKey(table tree.Table, key string) bool {
	path := strings.Split(key, ".")
	last := len(path) - 1
	for _, part := range path[:last] {
		if !table.Has(part) {
			return false
		}
		table = table.Sub(part)
	}
	return table.Has(path[last])
}
