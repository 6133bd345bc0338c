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

// Intermediate is the region with the settings of mid, one that package mixture proposes, written into its
// own configuration: what differs from it in instances, ceilings, terms and cold times.
func (one Region) Intermediate(mid regions.Region) (Region, error) {
	doc := make(map[string]any)
	if err := toml.Unmarshal(one.Text, &doc); err != nil {
		return Region{}, fmt.Errorf("region %s: %w", one.Name, err)
	}
	is := one.Region()
	if mid.Instances != is.Instances && one.Instances == 0 {
		subTable(doc, "process")["instances"] = int64(mid.Instances)
	}
	for i, s := range mid.Services {
		if i >= len(is.Services) || is.Services[i].Name != s.Name {
			return Region{}, fmt.Errorf("region %s has no service %q there", one.Name, s.Name)
		}
		writeService(doc, is.Services[i], s)
	}
	text, err := toml.Marshal(doc)
	if err != nil {
		return Region{}, fmt.Errorf("region %s: %w", one.Name, err)
	}
	if one.Config, err = config.Parse(one.Name+" (intermediate)", text); err != nil {
		return Region{}, err
	}
	one.Text = text
	if one.Instances > 0 {
		one.Instances = mid.Instances
	}
	one.Hash = one.Config.Hash
	if got := one.Region(); got.Instances != mid.Instances || !reflect.DeepEqual(sortedByName(got.Services), sortedByName(mid.Services)) {
		return Region{}, fmt.Errorf("region %s: its file can't say the intermediate settings", one.Name)
	}
	return one, nil
}

// writeService writes into doc what a service has otherwise than before.
func writeService(doc map[string]any, before, s regions.Service) {
	for k, c := range s.Classes {
		if k < len(before.Classes) && !reflect.DeepEqual(c, before.Classes[k]) && !strings.Contains(c.Name, " ") { // those with a space follow from others
			writeClass(subTable(subTable(doc, "classes"), c.Name), c)
		}
	}
	for k, p := range s.Plans {
		if k < len(before.Plans) && p != before.Plans[k] {
			writePlan(subTable(subTable(doc, "plans"), p.Name), p)
		}
	}
	if s.SlowStart != before.SlowStart {
		to := subTable(subTable(doc, "services"), s.Name)
		to["cold"], to["cold_from"], to["fall_multiple"] = s.SlowStart.For.String(), s.SlowStart.From, s.SlowStart.Multiple
	}
}

// sortedByName is services by name, with all that they have by name: a file that is written anew has its own order.
func sortedByName(all []regions.Service) []regions.Service {
	all = slices.SortedFunc(slices.Values(all), func(a, b regions.Service) int { return strings.Compare(a.Name, b.Name) })
	for i := range all {
		s := &all[i]
		s.Classes = slices.SortedFunc(slices.Values(s.Classes), func(a, b control.Class) int { return strings.Compare(a.Name, b.Name) })
		s.Plans = slices.SortedFunc(slices.Values(s.Plans), func(a, b control.Plan) int { return strings.Compare(a.Name, b.Name) })
	}
	return all
}

// subTable is a table of a table, made where there is none.
func subTable(doc map[string]any, key string) map[string]any {
	t, ok := doc[key].(map[string]any)
	if !ok {
		t = make(map[string]any)
		doc[key] = t
	}
	return t
}

func writePlan(t map[string]any, p control.Plan) {
	if p.QuotaRate > 0 {
		t["rate"] = p.QuotaRate
	}
	t["ceiling_rate"], t["ceiling_burst"], t["ceiling_slack"] = p.HardLimitRate, p.HardLimitBurst, p.HardLimitSlack
}

func writeClass(t map[string]any, c control.Class) {
	t["aim"], t["deadline"] = c.LatencyObjective.String(), c.Deadline.String()
	t["repeats"] = []string{"free", "keyed", "never"}[c.Idempotency]
	delete(t, "key_scope")
	delete(t, "repeat_window")
	if c.Idempotency == control.IdempotentWithKey {
		t["key_scope"], t["repeat_window"] = []string{"all", "zone", "group"}[c.KeyScope], c.RepeatWindow.String()
	}
}
