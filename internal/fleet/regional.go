package fleet

import (
	"context"
	"fmt"
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

// ConflictError is a change that would bring conflicts between regions: it is not begun.
type ConflictError struct {
	Reason    string
	Conflicts []regions.Conflict
}

func (c *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString(c.Reason)
	for _, one := range c.Conflicts {
		fmt.Fprintf(&b, "\n  %s: %s: %s", one.Kind, strings.Join(one.Regions, ", "), one.Why)
	}
	return b.String()
}

// membersOf are a fleet file's members, by region.
func membersOf(f fleetfile.File) (all []Placed) {
	for _, r := range f.All {
		for _, m := range r.Members {
			all = append(all, Placed{Member: Member{m.Socket, manage.Client{Path: m.Socket}}, Region: r.Name, Zone: m.Zone})
		}
	}
	return all
}

// MembersInRegions are the members that a fleet file names, with their regions.
func MembersInRegions(f fleetfile.File) ([]Placed, error) {
	all := membersOf(f)
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: it names no member", f.Path)
	}
	return all, nil
}

// PlanRegions makes of a fleet file what its members are to run, one generation after another, and the orders in
// which the regions change in each phase. What they run now is asked anew, and held against the file's
// regions: a conflict that the change would bring, at its end or on the way, is a *ConflictError.
func PlanRegions(ctx context.Context, f fleetfile.File, now time.Time) ([]Placed, [][]string, error) {
	members, err := MembersInRegions(f)
	if err != nil {
		return nil, nil, err
	}
	statuses, err := requireReady(ctx, members, false)
	if err != nil {
		return nil, nil, err
	}
	wanted := make(map[string]fleetfile.Region)
	for _, r := range f.All {
		wanted[r.Name] = r
	}
	old, new, texts, err := currentAndNext(f, members, statuses)
	if err != nil {
		return nil, nil, err
	}
	waiving, checkMixtures := f.Waiving(now), mixture.NewIncrementalCheck()
	check := func(all []regions.Region) (left []regions.Conflict) {
		for _, c := range checkMixtures(all) {
			// A waiver names regions as the file does, and not by their generations.
			if len(waiving.Left([]regions.Conflict{mixture.WithoutGenerations(c)})) > 0 {
				left = append(left, c)
			}
		}
		return left
	}
	if brought := newErrors(check(new), check(old)); len(brought) > 0 {
		return nil, nil, &ConflictError{"the change would bring conflicts; nothing was changed", brought}
	}
	res := mixture.Order(old, new, check)
	if res.Order == nil {
		return nil, nil, &ConflictError{fmt.Sprintf("there is no order in which the regions can change: %s block each other; nothing was changed",
			strings.Join(res.Cycle, ", ")), res.Blocked}
	}
	order := [][]string{completeOrder(f, res.Order)}
	between := make(map[string][]byte)
	if len(res.Intermediate) > 0 {
		order = [][]string{completeOrder(f, res.IntermediateOrder), order[0]}
		for _, r := range res.Intermediate {
			i := slices.IndexFunc(old, func(o regions.Region) bool { return o.Name == r.Name })
			if between[r.Name], err = writeIntermediate(texts[r.Name], old[i], new[i]); err != nil {
				return nil, nil, fmt.Errorf("region %s: %w", r.Name, err)
			}
		}
	}
	for i, m := range members {
		if len(res.Intermediate) > 0 {
			first := between[m.Region]
			if first == nil {
				first = texts[m.Region]
			}
			members[i].Texts = append(members[i].Texts, first)
		}
		members[i].Texts = append(members[i].Texts, wanted[m.Region].Text)
	}
	return members, order, nil
}

// currentAndNext gives the regions as their members run them now and as the file has them, and the text that each
// region runs, by its name.
func currentAndNext(f fleetfile.File, members []Placed, statuses []manage.Status) (old, new []regions.Region, texts map[string][]byte, err error) {
	texts = make(map[string][]byte)
	for _, r := range f.All {
		text, err := currentSettings(members, statuses, r)
		if err != nil {
			return nil, nil, nil, err
		}
		cfg, err := config.Parse("what region "+r.Name+" runs", text)
		if err != nil {
			return nil, nil, nil, err
		}
		texts[r.Name] = text
		old = append(old, fleetfile.Region{Name: r.Name, Listeners: r.Listeners, Instances: r.Instances, Members: r.Members, Config: cfg, Text: text}.Region())
		new = append(new, r.Region())
	}
	return old, new, texts, nil
}

// completeOrder is an order with the regions that don't change behind the others.
func completeOrder(f fleetfile.File, order []string) []string {
	all := slices.Clone(order)
	for _, r := range f.All {
		if !slices.Contains(all, r.Name) {
			all = append(all, r.Name)
		}
	}
	return all
}

// newErrors are errors of a list that another lacks.
func newErrors(all, known []regions.Conflict) (more []regions.Conflict) {
	for _, c := range all {
		if c.Severity == regions.Error && !slices.ContainsFunc(known, func(k regions.Conflict) bool {
			return k.Kind == c.Kind && slices.Equal(k.Regions, c.Regions) && slices.Equal(k.Rules, c.Rules)
		}) {
			more = append(more, c)
		}
	}
	return more
}

// currentSettings is the text that a region's members run, of those that don't run the new one yet. That some run
// another is a drift: it is told, and nothing is begun over it.
func currentSettings(members []Placed, statuses []manage.Status, r fleetfile.Region) ([]byte, error) {
	hash, first := "", ""
	var text []byte
	for i, m := range members {
		if m.Region != r.Name {
			continue
		}
		h := statuses[i].ConfigHash
		if h == r.Hash {
			continue
		}
		if hash != "" && h != hash {
			return nil, fmt.Errorf("region %s: members %s and %s run different settings, %.12s and %.12s; nothing was changed", r.Name, first, m.Name, hash, h)
		}
		hash, first = h, m.Name
		if raw, err := os.ReadFile(statuses[i].ConfigPath); err == nil && desiredstate.Hash(raw) == h {
			text = raw
		}
	}
	switch {
	case hash == "":
		return r.Text, nil
	case text == nil:
		return nil, fmt.Errorf("region %s: member %s runs settings %.12s, which are in no file any more, so nothing can be checked against them", r.Name, first, hash)
	}
	return text, nil
}
