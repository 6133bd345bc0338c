package rollout

import (
	"fmt"
	"slices"
)

// phase is the way from one generation to the next: its stages, each with the members that it adds.
type phase struct {
	stages  [][]int
	members []int // all of them, in order
}

// layout lays out every phase's stages.
func (p *Plan) layout() ([]phase, error) {
	all := make([]phase, len(p.Members[0].Versions)-1)
	for k := range all {
		var groups [][]int
		if p.RegionOrder == nil {
			groups = [][]int{p.changedMembers(k, func(Member) bool { return true })}
		} else {
			for _, r := range p.RegionOrder[min(k, len(p.RegionOrder)-1)] {
				groups = append(groups, p.changedMembers(k, func(m Member) bool { return m.Region == r }))
			}
		}
		for _, g := range groups {
			g = p.spread(g)
			done := 0
			for i, s := range p.Stages {
				to := s.size(len(g))
				if to < done {
					return nil, fmt.Errorf("stages: stage %d, %s, is %d of %d members, less than the %d of the one before it", i+1, s, to, len(g), done)
				}
				if to > done { // a small fleet has fewer stages
					all[k].stages = append(all[k].stages, g[done:to])
				}
				done = to
			}
			all[k].members = append(all[k].members, g...)
		}
	}
	return all, nil
}

// changedMembers are the members that phase k changes.
func (p *Plan) changedMembers(k int, in func(Member) bool) []int {
	var all []int
	for i, m := range p.Members {
		if in(m) && m.Versions[k] != m.Versions[k+1] {
			all = append(all, i)
		}
	}
	return all
}

// spread orders members so that any beginning of the list is spread over regions as evenly as can be,
// and within each over its zones. Regions and zones keep the order in which they come.
func (p *Plan) spread(members []int) []int {
	byRegion := func(i int) string { return p.Members[i].Region }
	byZone := func(i int) string { return p.Members[i].Zone }
	regions := groupBy(members, byRegion)
	for i, r := range regions {
		regions[i] = interleave(groupBy(r, byZone))
	}
	return interleave(regions)
}

func groupBy(members []int, by func(int) string) [][]int {
	var names []string
	parts := make(map[string][]int)
	for _, i := range members {
		n := by(i)
		if !slices.Contains(names, n) {
			names = append(names, n)
		}
		parts[n] = append(parts[n], i)
	}
	all := make([][]int, len(names))
	for i, n := range names {
		all[i] = parts[n]
	}
	return all
}

// interleave takes from lists in turn, from each by its length, so that all end together.
func interleave(lists [][]int) []int {
	var all []int
	taken := make([]int, len(lists))
	for {
		next, lowest := -1, 0.0
		for i, l := range lists {
			if taken[i] == len(l) {
				continue
			}
			if at := float64(taken[i]) / float64(len(l)); next < 0 || at < lowest {
				next, lowest = i, at
			}
		}
		if next < 0 {
			return all
		}
		all = append(all, lists[next][taken[next]])
		taken[next]++
	}
}
