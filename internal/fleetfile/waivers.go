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

// WaiverKind is the kind of what is told of a waiver itself.
const WaiverKind regions.Kind = "waiver"

// waivableKinds are those that can be waived.
var waivableKinds = []regions.Kind{
	regions.ServiceKind, regions.CoverageKind, regions.TermsKind, regions.HardLimitKind, regions.SlowStartKind,
	regions.LoopKind, regions.DeadKind,
}

// Waiver says that conflicts are meant.
type Waiver struct {
	Kind    regions.Kind
	Regions []string  // all regions of a conflict that it waives are among these
	Rules   []string  // and all of its rules among these
	Reason  string    // for readers
	Until   time.Time // from then on it waives nothing
	Line    int       // in the fleet file
}

// readWaivers reads [[waivers]].
func readWaivers(root tree.Table, names []string) []Waiver {
	var all []Waiver
	tables := root.Tables("waivers")
	if len(tables) > maxWaivers {
		root.Wrong("waivers", "%d are more than %d", len(tables), maxWaivers)
		return nil
	}
	words := make([]string, len(waivableKinds))
	for i, k := range waivableKinds {
		words[i] = string(k)
	}
	for _, t := range tables {
		w := Waiver{
			Kind: waivableKinds[t.OneOf("kind", words...)], Regions: t.Texts("regions"), Rules: t.Texts("rules"),
			Reason: strings.TrimSpace(t.Str("reason", "")), Line: t.Node().Line(),
		}
		for key, lacks := range map[string]bool{
			"kind": !t.Has("kind"), "regions": len(w.Regions) == 0, "rules": len(w.Rules) == 0,
			"reason": w.Reason == "",
		} {
			if lacks {
				t.Wrong(key, "a waiver needs it")
			}
		}
		for _, name := range w.Regions {
			if !slices.Contains(names, name) {
				t.Wrong("regions", "%q is no region of this file", name)
			}
		}
		w.Until = readUntil(t)
		t.Done()
		all = append(all, w)
	}
	return all
}

// readUntil reads the last day, as a date or as a text, and gives its end.
func readUntil(t tree.Table) time.Time {
	switch v := t.Value("until").(type) {
	case nil:
		t.Wrong("until", "a waiver needs an end: the last day on which it waives, such as 2027-01-31")
	case toml.LocalDate:
		return v.AsTime(time.UTC).AddDate(0, 0, 1)
	case string:
		day, err := time.Parse(time.DateOnly, v)
		if err == nil {
			return day.AddDate(0, 0, 1)
		}
		t.Wrong("until", "%q is no date such as 2027-01-31", v)
	default:
		t.Wrong("until", "it has to be a date such as 2027-01-31")
	}
	return time.Time{}
}

// waives tells whether it is about a conflict.
func (w Waiver) waives(c regions.Conflict) bool {
	if c.Kind != w.Kind {
		return false
	}
	for _, r := range c.Regions {
		if !slices.Contains(w.Regions, r) {
			return false
		}
	}
	some := false
	for _, r := range c.Rules {
		if r == "" { // a region that has none
			continue
		}
		if some = true; !slices.Contains(w.Rules, r) {
			return false
		}
	}
	return some
}

// Waiving is the waivers at one moment, with which of them have had something to waive.
type Waiving struct {
	file File
	now  time.Time
	used []bool
}

// Waiving begins with waivers of which none is used.
func (f File) Waiving(now time.Time) *Waiving {
	return &Waiving{file: f, now: now, used: make([]bool, len(f.Waivers))}
}

// Left gives the conflicts that no waiver in force is about, in their order.
func (w *Waiving) Left(all []regions.Conflict) (left []regions.Conflict) {
	for _, c := range all {
		waived := false
		for i, one := range w.file.Waivers {
			if one.waives(c) {
				w.used[i] = true
				waived = waived || w.now.Before(one.Until)
			}
		}
		if !waived {
			left = append(left, c)
		}
	}
	return left
}

// Conflicts is what is to be said of the waivers: that one has expired, or that there was nothing which it
// would have waived.
func (w *Waiving) Conflicts() (conflicts []regions.Conflict) {
	for i, one := range w.file.Waivers {
		c := regions.Conflict{Kind: WaiverKind, Severity: regions.Warning, Regions: slices.Sorted(slices.Values(one.Regions)), Rules: one.Rules}
		last := one.Until.AddDate(0, 0, -1).Format(time.DateOnly)
		switch {
		case !w.now.Before(one.Until):
			c.Severity = regions.Error
			c.Why = fmt.Sprintf("%s:%d: the waiver of %s has expired on %s (%s)", w.file.Path, one.Line, one.Kind, last, one.Reason)
		case !w.used[i]:
			c.Why = fmt.Sprintf("%s:%d: the waiver of %s until %s waives nothing: no such conflict (%s)", w.file.Path, one.Line, one.Kind, last, one.Reason)
		default:
			continue
		}
		conflicts = append(conflicts, c)
	}
	return conflicts
}

// Waive is Left and Told in one, of all conflicts that there are.
func (f File) Waive(all []regions.Conflict, now time.Time) []regions.Conflict {
	w := f.Waiving(now)
	return append(w.Left(all), w.Conflicts()...)
}
