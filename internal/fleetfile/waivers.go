package fleetfile

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"lockflow/internal/config/tree"
	"lockflow/internal/regions"
)

// WaiverKind is the kind of a conflict about a waiver that has expired or waives nothing.
const WaiverKind regions.Kind = "waiver"

// waivableKinds are the kinds of conflicts that can be waived.
var waivableKinds = []regions.Kind{
	regions.ServiceKind, regions.CoverageKind, regions.TermsKind, regions.HardLimitKind, regions.SlowStartKind,
	regions.LoopKind, regions.DeadKind,
}

// Waiver is an entry of [[waivers]]: it lists conflicts that the operator accepts.
type Waiver struct {
	Kind    regions.Kind
	Regions []string  // a conflict is waived only if all its regions are among these
	Rules   []string  // and all its rules among these
	Reason  string    // for readers of the file
	Until   time.Time // the waiver expires then
	Line    int       // line in the fleet file
}

// readWaivers reads [[waivers]]. names are the file's regions.
func readWaivers(root tree.Table, names []string) []Waiver {
	var all []Waiver
	tables := root.Tables("waivers")
	if len(tables) > maxWaivers {
		root.Errorf("waivers", "%d waivers are more than the %d allowed", len(tables), maxWaivers)
		return nil
	}
	for _, t := range tables {
		all = append(all, readWaiver(t, names))
	}
	return all
}

func readWaiver(t tree.Table, names []string) Waiver {
	kinds := make([]string, len(waivableKinds))
	for i, kind := range waivableKinds {
		kinds[i] = string(kind)
	}
	w := Waiver{
		Kind:    waivableKinds[t.OneOf("kind", kinds...)],
		Regions: t.Strings("regions"),
		Rules:   t.Strings("rules"),
		Reason:  strings.TrimSpace(t.String("reason", "")),
		Line:    t.Node().Line(),
	}
	isMissing := map[string]bool{
		"kind":    !t.Has("kind"),
		"regions": len(w.Regions) == 0,
		"rules":   len(w.Rules) == 0,
		"reason":  w.Reason == "",
	}
	for key, missing := range isMissing {
		if missing {
			t.Errorf(key, "every waiver needs it")
		}
	}
	for _, name := range w.Regions {
		if !slices.Contains(names, name) {
			t.Errorf("regions", "%q is no region of this file", name)
		}
	}
	w.Until = readUntil(t)
	t.ReportUnknownKeys()
	return w
}

// readUntil reads a waiver's last day, a date or a string, and returns the end of that day in UTC.
func readUntil(t tree.Table) time.Time {
	switch v := t.Value("until").(type) {
	case nil:
		t.Errorf("until", "a waiver needs an end: the last day on which it waives, such as 2027-01-31")
	case toml.LocalDate:
		return v.AsTime(time.UTC).AddDate(0, 0, 1)
	case string:
		day, err := time.Parse(time.DateOnly, v)
		if err == nil {
			return day.AddDate(0, 0, 1)
		}
		t.Errorf("until", "%q is no date such as 2027-01-31", v)
	default:
		t.Errorf("until", "it has to be a date such as 2027-01-31")
	}
	return time.Time{}
}

// waives reports whether the waiver covers a conflict, whether it has expired or not.
func (w Waiver) waives(c regions.Conflict) bool {
	if c.Kind != w.Kind {
		return false
	}
	for _, r := range c.Regions {
		if !slices.Contains(w.Regions, r) {
			return false
		}
	}
	hasRules := false
	for _, r := range c.Rules {
		if r == "" { // the region has no rule
			continue
		}
		hasRules = true
		if !slices.Contains(w.Rules, r) {
			return false
		}
	}
	return hasRules
}

// Waiving applies a file's waivers as of one point in time, and records which of them were used. It is not safe for
// concurrent use.
type Waiving struct {
	file File
	now  time.Time
	used []bool
}

// Waiving returns a Waiving for the file's waivers as of now, with none of them used.
func (f File) Waiving(now time.Time) *Waiving {
	return &Waiving{file: f, now: now, used: make([]bool, len(f.Waivers))}
}

// Left returns the conflicts that no waiver in force covers, in their order.
func (w *Waiving) Left(all []regions.Conflict) (remaining []regions.Conflict) {
	for _, c := range all {
		isWaived := false
		for i, waiver := range w.file.Waivers {
			if waiver.waives(c) {
				w.used[i] = true
				isWaived = isWaived || w.now.Before(waiver.Until)
			}
		}
		if !isWaived {
			remaining = append(remaining, c)
		}
	}
	return remaining
}

// Conflicts returns a conflict for each waiver that has expired or has not covered any conflict so far.
func (w *Waiving) Conflicts() (conflicts []regions.Conflict) {
	for i, waiver := range w.file.Waivers {
		c := regions.Conflict{Kind: WaiverKind, Severity: regions.Warning, Regions: slices.Sorted(slices.Values(waiver.Regions)), Rules: waiver.Rules}
		last := waiver.Until.AddDate(0, 0, -1).Format(time.DateOnly)
		switch {
		case !w.now.Before(waiver.Until):
			c.Severity = regions.Error
			c.Why = fmt.Sprintf("%s:%d: the waiver of %s has expired on %s (%s)", w.file.Path, waiver.Line, waiver.Kind, last, waiver.Reason)
		case !w.used[i]:
			c.Why = fmt.Sprintf("%s:%d: the waiver of %s until %s waives nothing: no such conflict (%s)", w.file.Path, waiver.Line, waiver.Kind, last, waiver.Reason)
		default:
			continue
		}
		conflicts = append(conflicts, c)
	}
	return conflicts
}

// Waive returns the conflicts in all that no waiver in force covers, and the conflicts about the waivers themselves.
func (f File) Waive(all []regions.Conflict, now time.Time) []regions.Conflict {
	w := f.Waiving(now)
	return append(w.Left(all), w.Conflicts()...)
}
