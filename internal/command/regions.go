package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/fleetfile"
	"lockflow/internal/regions"
	"lockflow/internal/regions/mixture"
)

// errUnusable means that a fleet file can't be checked. The returned errors wrap it and the config.FieldErrors.
var errUnusable = errors.New("unusable")

// findings is the result of checking a fleet, or of planning its change.
type findings struct {
	Conflicts    []regions.Conflict   `json:"conflicts"`
	Order        []string             `json:"order"` // steps of the change; "NAME (intermediate)" is a region's step to intermediate settings
	Cycle        []string             `json:"circle,omitempty"`
	Intermediate []intermediateConfig `json:"through,omitempty"`
	Transient    []regions.Conflict   `json:"passing,omitempty"`
}

// intermediateConfig is a configuration that a region runs between its old and its new one.
type intermediateConfig struct {
	Region    string      `json:"region"`
	Instances int         `json:"instances"` // group size that its members assume
	Hash      string      `json:"hash"`
	Text      string      `json:"text"`
	Changes   config.Plan `json:"changes"` // from the old configuration
}

// intermediateSuffix follows the region's name in a step to intermediate settings.
const intermediateSuffix = " (intermediate)"

// loadFleet reads a fleet file. Its errors wrap errUnusable.
func loadFleet(path string) (fleetfile.File, error) {
	f, err := fleetfile.Load(path)
	if err != nil {
		err = fmt.Errorf("%w: %w", errUnusable, err)
	}
	return f, err
}

// checkFleet prints the conflicts between the regions of a fleet file, except waived ones.
func checkFleet(e *Env, path string, asJSON bool) error {
	f, err := loadFleet(path)
	if err != nil {
		return err
	}
	found := findings{Conflicts: f.Waive(regions.Check(f.Regions()), time.Now())}
	if !asJSON && len(found.Conflicts) == 0 {
		fmt.Fprintf(e.Out, "%s: fine: %d regions, %d members\n", path, len(f.All), countMembers(f))
	}
	return found.report(e, asJSON)
}

// countMembers counts the members of all regions.
func countMembers(f fleetfile.File) (n int) {
	for _, r := range f.All {
		n += len(r.Members)
	}
	return n
}

// planFleet prints an order in which regions can change from one fleet file to another, and the conflicts of the new
// configurations and of all mixtures of old and new ones on the way. The new file's waivers apply to mixtures too.
func planFleet(e *Env, oldPath, newPath string, asJSON bool) error {
	old, err := loadFleet(oldPath)
	if err != nil {
		return err
	}
	new, err := loadFleet(newPath)
	if err != nil {
		return err
	}
	waivers := new.Waiving(time.Now())
	checkMixtures := mixture.NewIncrementalCheck()
	check := func(all []regions.Region) []regions.Conflict {
		var remaining []regions.Conflict
		for _, c := range checkMixtures(all) {
			if len(waivers.Left([]regions.Conflict{mixture.WithoutGenerations(c)})) > 0 {
				remaining = append(remaining, c)
			}
		}
		return remaining
	}
	newRegions := new.Regions()
	found := findings{Conflicts: check(newRegions)}
	result := mixture.Order(old.Regions(), newRegions, check)
	found.Cycle = result.Cycle
	found.Transient = result.Transient
	found.Conflicts = append(found.Conflicts, result.Blocked...)
	found.Conflicts = append(found.Conflicts, waivers.Conflicts()...)
	if found.Intermediate, err = intermediateConfigs(old, result.Intermediate); err != nil {
		return err
	}
	for _, name := range result.IntermediateOrder {
		found.Order = append(found.Order, name+intermediateSuffix)
	}
	found.Order = append(found.Order, result.Order...)
	if !asJSON {
		found.explain(e.Out, result)
	}
	return found.report(e, asJSON)
}

// intermediateConfigs returns the configurations of regions with their proposed intermediate settings.
func intermediateConfigs(old fleetfile.File, proposed []regions.Region) ([]intermediateConfig, error) {
	var all []intermediateConfig
	for _, p := range proposed {
		for _, region := range old.All {
			if region.Name != p.Name {
				continue
			}
			changed, err := region.Intermediate(p)
			if err != nil {
				return nil, err
			}
			all = append(all, intermediateConfig{
				Region:    p.Name,
				Instances: p.Instances,
				Hash:      changed.Hash,
				Text:      string(changed.Text),
				Changes:   config.Compare(region.Config, changed.Config),
			})
		}
	}
	return all, nil
}

// explain prints the order of the change, or why there is none.
func (f findings) explain(w io.Writer, result mixture.Result) {
	switch {
	case result.Order != nil && len(result.Order) == 0 && len(result.Cycle) == 0:
		fmt.Fprintln(w, "no region changes")
		return
	case len(result.Cycle) > 0:
		fmt.Fprintf(w, "no order as it is: %s in the way of each other\n", strings.Join(result.Cycle, ", "))
	}
	if result.Order == nil {
		if result.IsIncomplete {
			fmt.Fprintln(w, "the search ended by its bound: an order may exist")
		}
		fmt.Fprintln(w, "no intermediate settings help: waive what is meant until the change is through, or change less at once")
	}
	for i, step := range f.Order {
		fmt.Fprintf(w, "%d. %s\n", i+1, step)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, intermediate := range f.Intermediate {
		for _, c := range intermediate.Changes {
			fmt.Fprintf(t, "%s\t%s\t%s\n", intermediate.Region+intermediateSuffix, c.What, formatValues(c))
		}
	}
	for _, c := range f.Transient {
		fmt.Fprintf(t, "passing\t%s\t%s\t%s\t%s\n", c.Kind, strings.Join(c.Regions, ", "), strings.Join(c.Rules, ", "), c.Why)
	}
	t.Flush()
}

// report prints the conflicts, and fails if there are any.
func (f findings) report(e *Env, asJSON bool) error {
	if asJSON {
		if f.Conflicts == nil {
			f.Conflicts = []regions.Conflict{}
		}
		if f.Order == nil {
			f.Order = []string{}
		}
		if err := json.NewEncoder(e.Out).Encode(f); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
		for i, c := range f.Conflicts {
			if i == 0 {
				fmt.Fprintln(w, "severity\tkind\tregions\trules\twhy")
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", c.Severity, c.Kind, strings.Join(c.Regions, ", "), strings.Join(c.Rules, ", "), c.Why)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if len(f.Conflicts) > 0 {
		return errReported
	}
	return nil
}
