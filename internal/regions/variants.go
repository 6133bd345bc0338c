package regions

import (
	"cmp"
	"net/http"
	"slices"
)

// variants splits a request set by the methods and classes that the given rules handle differently. The
// minimal requests of the parts show every outcome that the rules have for requests of the set.
func (x *Index) variants(set requestSet, ruleIDs []int32) []requestSet {
	classes := x.splitByClass(set, ruleIDs)
	if set.method != "" {
		return classes
	}
	methods := x.methodsThatMatter(ruleIDs)
	var variants []requestSet
	for _, variant := range classes {
		for _, method := range methods {
			variant.method = method
			variants = append(variants, variant)
		}
	}
	return variants
}

// splitByClass returns a request set and, if the set matches any path, its part for each class that the given
// rules derive from the path; sorted by path.
func (x *Index) splitByClass(set requestSet, ruleIDs []int32) []requestSet {
	parts := []requestSet{set}
	if set.isExactPath || set.path != "" {
		return parts
	}
	for _, id := range ruleIDs {
		result := x.outcomeOf(id)
		if result.classSource != classFromPath {
			continue
		}
		for class := range x.classTables[result.tableID] {
			part, ok := set.intersect(requestSet{path: "/" + class})
			isKnown := slices.ContainsFunc(parts, func(other requestSet) bool { return other.path == part.path })
			if ok && !isKnown {
				parts = append(parts, part)
			}
		}
	}
	slices.SortFunc(parts, func(a, b requestSet) int { return cmp.Compare(a.path, b.path) })
	return parts
}

// methodsThatMatter returns one method of each kind that the given rules handle differently.
func (x *Index) methodsThatMatter(ruleIDs []int32) []string {
	var hasMethodRules, hasClassByMethod bool
	for _, id := range ruleIDs {
		result := x.outcomeOf(id)
		isPlatform := !result.genericHTTP && result.tableID != 0
		hasMethodRules = hasMethodRules || isPlatform || result.gatherID != 0
		hasClassByMethod = hasClassByMethod || result.classSource == classFromMethod
	}
	unsafe := x.unusedMethod(false)
	safe := x.unusedMethod(true)
	switch {
	case hasMethodRules || hasClassByMethod && safe == "":
		return []string{http.MethodGet, http.MethodPost, http.MethodHead, http.MethodOptions, unsafe}
	case hasClassByMethod:
		return []string{safe, unsafe}
	default:
		return []string{cmp.Or(safe, unsafe)}
	}
}
