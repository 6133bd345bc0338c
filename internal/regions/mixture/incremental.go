package mixture

import "lockflow/internal/regions"

// NewIncrementalCheck returns a function that is equivalent to regions.Check and faster for many mixtures of
// one fleet: if a list has the same regions as the previous one, only the regions that differ are compared
// again. The function is not safe for concurrent use.
func NewIncrementalCheck() CheckFunc {
	c := &incrementalCheck{current: make(map[string]regions.Region)}
	return c.check
}

// incrementalCheck holds an index of the fleet that was checked last.
type incrementalCheck struct {
	index     *regions.Index
	current   map[string]regions.Region // by name
	conflicts []regions.Conflict
}

func (c *incrementalCheck) check(all []regions.Region) []regions.Conflict {
	isSameFleet := c.isSameFleet(all)
	if !isSameFleet {
		if c.index != nil && len(all) > len(c.current) {
			// This mixture has both generations of regions. The index of the fleet is kept for the next mixture.
			return regions.Check(all)
		}
		c.index = regions.NewIndex(all)
		c.current = make(map[string]regions.Region, len(all))
		c.conflicts = c.index.Conflicts()
	}
	for _, region := range all {
		if isSameFleet && !sharesData(region, c.current[region.Name]) {
			c.conflicts = c.index.Replace(region)
		}
		c.current[region.Name] = region
	}
	return c.conflicts
}

// isSameFleet reports whether a list has the same regions as the previous one, and at least half of them, or
// all but one, are unchanged. To replace most of the regions one by one would cost more than a new index.
func (c *incrementalCheck) isSameFleet(all []regions.Region) bool {
	if len(all) != len(c.current) {
		return false
	}
	changed := 0
	for _, region := range all {
		current, isKnown := c.current[region.Name]
		if !isKnown {
			return false
		}
		if !sharesData(region, current) {
			changed++
		}
	}
	return changed <= len(all)/2 || changed <= 1
}

// sharesData reports whether two regions have the same sizes and consist of the same slices in memory.
// Regions that do not may still be equal.
func sharesData(a, b regions.Region) bool {
	hasSameSize := a.Instances == b.Instances && a.Members == b.Members && a.Shared == b.Shared
	return hasSameSize && sharesList(a.Listeners, b.Listeners) && sharesList(a.Routes, b.Routes) && sharesList(a.Services, b.Services)
}

func sharesList[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
