package regions

import (
	"reflect"
	"slices"
	"strings"
)

// Index holds the conflicts between regions, so that after a change of one region only the affected rules
// are compared again. It is not safe for concurrent use, and the regions passed to it must not be changed.
type Index struct {
	*conditionIndex
	*registry
	regions          []*indexedRegion        // sorted by name
	watched          map[*condition]struct{} // conditions that differ between regions or whose rules may be dead
	differences      map[*condition][]finding
	deadRules        map[*condition][]finding
	loopConflicts    []Conflict
	sumConflicts     []Conflict
	ruleInfosAtBuild int    // number of rule infos in the registry when the index was built
	pass             uint32 // number of the latest pass over a region's rules
	maxSteps         int    // largest number of conditions examined for one condition, and for all loops

	// Scratch space for the request that is examined.
	chosen            []chosenRule // by region
	winning, opposing []opposedRule
}

// indexedRegion is a region and its rules.
type indexedRegion struct {
	Region
	rules []ruleRef // parallel to Routes; condition is nil if package route rejects the rule
}

// ruleRef is a rule's condition and its number in the registry.
type ruleRef struct {
	*condition
	ruleID int32
}

// chosenRule is the rule that a region chooses for a request; condition is nil if there is none.
type chosenRule struct {
	*condition
	ruleID int32
}

// Check returns all conflicts between regions, sorted and independent of the order of the regions. Of
// rules of one region with the same conditions only the first is used; rules that package route rejects are
// ignored. Regions with the same name are compared like any others.
func Check(all []Region) []Conflict { return NewIndex(all).Conflicts() }

// NewIndex returns the index of regions.
func NewIndex(all []Region) *Index { return newIndex(all, maxStepsDefault) }

func newIndex(all []Region, maxSteps int) *Index {
	x := &Index{
		maxSteps:       maxSteps,
		conditionIndex: newConditionIndex(),
		registry:       newRegistry(),
		watched:        make(map[*condition]struct{}),
		differences:    make(map[*condition][]finding),
		deadRules:      make(map[*condition][]finding),
	}
	for _, region := range all {
		x.regions = append(x.regions, &indexedRegion{Region: region})
	}
	slices.SortStableFunc(x.regions, func(a, b *indexedRegion) int { return strings.Compare(a.Name, b.Name) })
	x.chosen = make([]chosenRule, len(x.regions))
	for i, region := range x.regions {
		region.rules = x.compileRules(&region.Region, nil, nil, x.regionServices(&region.Region))
		x.replaceRules(int32(i), nil, region.rules)
	}
	for _, c := range x.conditions {
		x.review(c, noChangedRegion)
	}
	x.ruleInfosAtBuild = len(x.ruleInfos.values)
	x.namesChanged = false
	x.loopConflicts = x.findLoops()
	x.sumConflicts = x.findSumConflicts()
	return x
}

// Bounds of the registry's growth by changes, above which the index is rebuilt.
const (
	maxRegistryGrowth   = 4
	extraRegistryGrowth = 4096 // rules
)

// Replace replaces the configuration of the region with the same name, or adds the region, and returns all
// conflicts that result.
func (x *Index) Replace(region Region) []Conflict {
	i, isKnown := slices.BinarySearchFunc(x.regions, region.Name, func(r *indexedRegion, name string) int { return strings.Compare(r.Name, name) })
	isOvergrown := len(x.ruleInfos.values) > maxRegistryGrowth*x.ruleInfosAtBuild+extraRegistryGrowth
	if !isKnown || isOvergrown {
		x.rebuild(region)
		return x.Conflicts()
	}
	current := x.regions[i]
	before := *current
	env := x.regionServices(&region)
	hasNewServices := !reflect.DeepEqual(before.Services, region.Services)
	if hasNewServices {
		*current = indexedRegion{Region: region, rules: x.compileRules(&region, nil, nil, env)}
	} else {
		*current = indexedRegion{Region: region, rules: x.compileRules(&region, &before.Region, before.rules, env)}
	}
	touched := x.replaceRules(int32(i), before.rules, current.rules)
	x.reviewTouched(touched, int32(i))
	if len(touched) > 0 || hasNewServices || !slices.Equal(before.Listeners, region.Listeners) {
		x.loopConflicts = x.findLoops()
	}
	if hasNewServices || !hasSameSize(&before.Region, &region) {
		x.sumConflicts = x.findSumConflicts()
	}
	return x.Conflicts()
}

// rebuild builds the index again from its regions, with one region replaced or added.
func (x *Index) rebuild(region Region) {
	all := []Region{region}
	for _, other := range x.regions {
		if other.Name != region.Name {
			all = append(all, other.Region)
		}
	}
	*x = *newIndex(all, x.maxSteps)
}

func hasSameSize(a, b *Region) bool {
	return a.Instances == b.Instances && a.Members == b.Members && a.Shared == b.Shared
}

// chooseRules finds the rule that each region chooses for a request.
func (x *Index) chooseRules(request *Witness) {
	clear(x.chosen)
	undecided := len(x.chosen)
	x.eachMatching(request, func(c *condition) bool {
		for _, use := range c.uses {
			if chosen := &x.chosen[use.region]; chosen.condition == nil {
				*chosen = chosenRule{c, use.ruleID}
				undecided--
			}
		}
		return undecided > 0
	})
}

// minimalRequest returns the minimal request of a set that names a method: a host and a path of the set to
// which no more specific rule applies, and only the headers that are required. It returns nil if the set has
// no such host and path.
func (x *Index) minimalRequest(set requestSet) *Witness {
	host, path, ok := x.unnamedHostAndPath(set)
	if !ok {
		return nil
	}
	return &Witness{Method: set.method, Host: host, Path: path, Headers: x.minimalHeaders(set)}
}
