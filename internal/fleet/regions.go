package fleet

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/desiredstate"
	"lockflow/internal/fleetfile"
	"lockflow/internal/manage"
	"lockflow/internal/regions"
	"lockflow/internal/regions/mixture"
)

// ConflictError rejects a change that would cause conflicts between regions. Nothing was changed.
type ConflictError struct {
	Reason    string
	Conflicts []regions.Conflict
}

func (c *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString(c.Reason)
	for _, conflict := range c.Conflicts {
		fmt.Fprintf(&b, "\n  %s: %s: %s", conflict.Kind, strings.Join(conflict.Regions, ", "), conflict.Why)
	}
	return b.String()
}

// MembersInRegions returns the members that a fleet file names, with their regions and zones but without settings. It
// fails if there are none.
func MembersInRegions(f fleetfile.File) ([]PlacedMember, error) {
	var all []PlacedMember
	for _, r := range f.All {
		for _, m := range r.Members {
			member := Member{m.Socket, manage.Client{Path: m.Socket}}
			all = append(all, PlacedMember{Member: member, Region: r.Name, Zone: m.Zone})
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: the file names no members", f.Path)
	}
	return all, nil
}

// PlanRegions returns the members of a fleet file with their settings for each generation, and the order of the regions
// in each phase. It polls the members for the settings that they currently run. For a change that would cause a
// conflict between regions, in its final or an intermediate state, it returns a *ConflictError. Waivers that have
// expired at now do not apply.
func PlanRegions(ctx context.Context, f fleetfile.File, now time.Time) ([]PlacedMember, [][]string, error) {
	members, err := MembersInRegions(f)
	if err != nil {
		return nil, nil, err
	}
	statuses, err := requireReady(ctx, members, false)
	if err != nil {
		return nil, nil, err
	}
	change, err := newRegionsChange(f, members, statuses)
	if err != nil {
		return nil, nil, err
	}
	order, err := change.order(f, now)
	if err != nil {
		return nil, nil, err
	}
	intermediates, err := change.writeIntermediates(order.Intermediate)
	if err != nil {
		return nil, nil, err
	}
	wantedTexts := make(map[string][]byte)
	for _, r := range f.All {
		wantedTexts[r.Name] = r.Text
	}
	for i, m := range members {
		if intermediates != nil {
			members[i].Texts = append(members[i].Texts, intermediates[m.Region])
		}
		members[i].Texts = append(members[i].Texts, wantedTexts[m.Region])
	}
	phases := [][]string{completeOrder(f, order.Order)}
	if intermediates != nil {
		phases = [][]string{completeOrder(f, order.IntermediateOrder), phases[0]}
	}
	return members, phases, nil
}

// regionsChange is a change of the settings of several regions. The slices are in the order of the fleet file.
type regionsChange struct {
	old   []regions.Region  // with the settings that the members run
	new   []regions.Region  // with the settings of the fleet file
	texts map[string][]byte // settings that each region currently runs, by name of the region
}

// newRegionsChange returns the change from the settings that the members run to those of a fleet file.
func newRegionsChange(f fleetfile.File, members []PlacedMember, statuses []manage.Status) (*regionsChange, error) {
	c := &regionsChange{texts: make(map[string][]byte)}
	for _, r := range f.All {
		text, err := currentSettings(members, statuses, r)
		if err != nil {
			return nil, err
		}
		cfg, err := config.Parse("the settings that region "+r.Name+" currently runs", text)
		if err != nil {
			return nil, err
		}
		current := fleetfile.Region{
			Name:      r.Name,
			Listeners: r.Listeners,
			Instances: r.Instances,
			Members:   r.Members,
			Config:    cfg,
			Text:      text,
		}
		c.texts[r.Name] = text
		c.old = append(c.old, current.Region())
		c.new = append(c.new, r.Region())
	}
	return c, nil
}

// order returns an order in which the regions can change without a conflict, or a *ConflictError if there is none.
func (c *regionsChange) order(f fleetfile.File, now time.Time) (mixture.Result, error) {
	waiving := f.Waiving(now)
	checkMixtures := mixture.NewIncrementalCheck()
	check := func(all []regions.Region) (remaining []regions.Conflict) {
		for _, conflict := range checkMixtures(all) {
			// A waiver names regions as the fleet file does, without a generation.
			if len(waiving.Left([]regions.Conflict{mixture.WithoutGenerations(conflict)})) > 0 {
				remaining = append(remaining, conflict)
			}
		}
		return remaining
	}
	if conflicts := addedErrors(check(c.new), check(c.old)); len(conflicts) > 0 {
		return mixture.Result{}, &ConflictError{"the change would bring conflicts; nothing was changed", conflicts}
	}
	order := mixture.Order(c.old, c.new, check)
	if order.Order == nil {
		reason := fmt.Sprintf("there is no order in which the regions can change: %s block each other; nothing was changed", strings.Join(order.Cycle, ", "))
		return mixture.Result{}, &ConflictError{reason, order.Blocked}
	}
	return order, nil
}

// writeIntermediates returns the settings of each region in the first of two phases, by name of the region:
// intermediate settings where they are needed, and otherwise the current ones. It returns nil if one phase is enough.
func (c *regionsChange) writeIntermediates(intermediate []regions.Region) (map[string][]byte, error) {
	if len(intermediate) == 0 {
		return nil, nil
	}
	texts := maps.Clone(c.texts)
	for _, r := range intermediate {
		i := slices.IndexFunc(c.old, func(old regions.Region) bool { return old.Name == r.Name })
		text, err := writeIntermediate(c.texts[r.Name], c.old[i], c.new[i])
		if err != nil {
			return nil, fmt.Errorf("region %s: %w", r.Name, err)
		}
		if text != nil {
			texts[r.Name] = text
		}
	}
	return texts, nil
}

// completeOrder appends the regions that are missing in an order because they don't change.
func completeOrder(f fleetfile.File, order []string) []string {
	all := slices.Clone(order)
	for _, r := range f.All {
		if !slices.Contains(all, r.Name) {
			all = append(all, r.Name)
		}
	}
	return all
}

// addedErrors returns the conflicts of severity Error that are not among the known ones.
func addedErrors(all, known []regions.Conflict) (added []regions.Conflict) {
	for _, c := range all {
		isKnown := slices.ContainsFunc(known, func(k regions.Conflict) bool {
			return k.Kind == c.Kind && slices.Equal(k.Regions, c.Regions) && slices.Equal(k.Rules, c.Rules)
		})
		if c.Severity == regions.Error && !isKnown {
			added = append(added, c)
		}
	}
	return added
}

// currentSettings returns the settings that the members of a region run, leaving out members that already run the new
// ones. It fails if the members run different settings, or if no member's file has these settings any more.
func currentSettings(members []PlacedMember, statuses []manage.Status, r fleetfile.Region) ([]byte, error) {
	hash := ""
	firstMember := "" // name of the first member that runs hash
	var text []byte
	for i, m := range members {
		current := statuses[i].ConfigHash
		if m.Region != r.Name || current == r.Hash {
			continue
		}
		if hash != "" && current != hash {
			return nil, fmt.Errorf("region %s: members %s and %s run different settings, %.12s and %.12s; nothing was changed", r.Name, firstMember, m.Name, hash, current)
		}
		hash = current
		firstMember = m.Name
		if raw, err := os.ReadFile(statuses[i].ConfigPath); err == nil && desiredstate.Hash(raw) == current {
			text = raw
		}
	}
	switch {
	case hash == "":
		return r.Text, nil
	case text == nil:
		return nil, fmt.Errorf("region %s: member %s runs settings %.12s, which are no longer in any file, so the change can't be checked for conflicts", r.Name, firstMember, hash)
	}
	return text, nil
}
