package fleetfile

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"lockflow/control"
	"lockflow/internal/config"
	"lockflow/internal/regions"
)

// Intermediate returns the region with the settings that package mixture proposes: their changes of instances, hard
// limits, classes and slow start are written into the region's own configuration. It fails if the configuration
// can't express them.
func (region Region) Intermediate(proposed regions.Region) (Region, error) {
	doc := make(map[string]any)
	if err := toml.Unmarshal(region.Text, &doc); err != nil {
		return Region{}, fmt.Errorf("region %s: %w", region.Name, err)
	}
	current := region.Region()
	if proposed.Instances != current.Instances && region.Instances == 0 {
		subTable(doc, "process")["instances"] = int64(proposed.Instances)
	}
	for i, s := range proposed.Services {
		if i >= len(current.Services) || current.Services[i].Name != s.Name {
			return Region{}, fmt.Errorf("region %s has no service %q at the proposed position", region.Name, s.Name)
		}
		writeService(doc, current.Services[i], s)
	}
	text, err := toml.Marshal(doc)
	if err != nil {
		return Region{}, fmt.Errorf("region %s: %w", region.Name, err)
	}
	if region.Config, err = config.Parse(region.Name+" (intermediate)", text); err != nil {
		return Region{}, err
	}
	region.Text = text
	if region.Instances > 0 {
		region.Instances = proposed.Instances
	}
	region.Hash = region.Config.Hash
	written := region.Region()
	if written.Instances != proposed.Instances || !reflect.DeepEqual(sortedByName(written.Services), sortedByName(proposed.Services)) {
		return Region{}, fmt.Errorf("region %s: its configuration can't express the intermediate settings", region.Name)
	}
	return region, nil
}

// writeService writes the differences between a service before and after into doc.
func writeService(doc map[string]any, before, after regions.Service) {
	for k, c := range after.Classes {
		isDerived := strings.Contains(c.Name, " ") // derived from another class, which is written instead
		if k < len(before.Classes) && !isDerived && !reflect.DeepEqual(c, before.Classes[k]) {
			writeClass(subTable(subTable(doc, "classes"), c.Name), c)
		}
	}
	for k, p := range after.Plans {
		if k < len(before.Plans) && p != before.Plans[k] {
			writePlan(subTable(subTable(doc, "plans"), p.Name), p)
		}
	}
	if after.SlowStart != before.SlowStart {
		table := subTable(subTable(doc, "services"), after.Name)
		table["cold"] = after.SlowStart.WarmupTime.String()
		table["cold_from"] = after.SlowStart.InitialCapacity
		table["fall_multiple"] = after.SlowStart.OverloadMultiple
	}
}

// sortedByName returns services, their classes and their plans ordered by name, since writing a file changes their
// order.
func sortedByName(all []regions.Service) []regions.Service {
	all = slices.SortedFunc(slices.Values(all), func(a, b regions.Service) int { return strings.Compare(a.Name, b.Name) })
	for i := range all {
		s := &all[i]
		s.Classes = slices.SortedFunc(slices.Values(s.Classes), func(a, b control.Class) int { return strings.Compare(a.Name, b.Name) })
		s.Plans = slices.SortedFunc(slices.Values(s.Plans), func(a, b control.Plan) int { return strings.Compare(a.Name, b.Name) })
	}
	return all
}

// subTable returns the table at a key of doc, and creates it if there is none.
func subTable(doc map[string]any, key string) map[string]any {
	t, ok := doc[key].(map[string]any)
	if !ok {
		t = make(map[string]any)
		doc[key] = t
	}
	return t
}

// writePlan writes a plan's quota rate and hard limit.
func writePlan(t map[string]any, p control.Plan) {
	if p.QuotaRate > 0 {
		t["rate"] = p.QuotaRate
	}
	t["ceiling_rate"] = p.HardLimitRate
	t["ceiling_burst"] = p.HardLimitBurst
	t["ceiling_slack"] = p.HardLimitSlack
}

// writeClass writes a class's times and idempotency.
func writeClass(t map[string]any, c control.Class) {
	t["aim"] = c.LatencyObjective.String()
	t["deadline"] = c.Deadline.String()
	t["repeats"] = []string{"free", "keyed", "never"}[c.Idempotency]
	delete(t, "key_scope")
	delete(t, "repeat_window")
	if c.Idempotency == control.IdempotentWithKey {
		t["key_scope"] = []string{"all", "zone", "group"}[c.KeyScope]
		t["repeat_window"] = c.RepeatWindow.String()
	}
}
