package mixture

import "lockflow/internal/regions"

// NewIncrementalCheck is regions.Check for many mixtures of one fleet: lists with the same regions as the one before are
// looked at anew only where a region differs. Not safe for concurrent use.
func NewIncrementalCheck() func([]regions.Region) []regions.Conflict {
	var index *regions.Index
	held := make(map[string]regions.Region)
	var last []regions.Conflict
	return func(all []regions.Region) []regions.Conflict {
		known, differ := len(all) == len(held), 0
		for _, r := range all {
			h, has := held[r.Name]
			known = known && has
			if has && !sharesData(r, h) {
				differ++
			}
		}
		// Guards against replacing region by region what is another fleet altogether.
		if known && differ > len(all)/2 && differ > 1 {
			known = false
		}
		if !known {
			if index != nil && len(all) > len(held) { // a mixture of another kind: kept aside
				return regions.Check(all)
			}
			index, held = regions.NewIndex(all), make(map[string]regions.Region, len(all))
			last = index.Conflicts()
		}
		for _, r := range all {
			if known && !sharesData(r, held[r.Name]) {
				last = index.Replace(r)
			}
			held[r.Name] = r
		}
		return last
	}
}

// sharesData tells whether two regions share what they were made of; if not, they may still be equal.
func sharesData(a, b regions.Region) bool {
	return a.Instances == b.Instances && a.Members == b.Members && a.Shared == b.Shared && sharesList(a.Listeners, b.Listeners) &&
		sharesList(a.Routes, b.Routes) && sharesList(a.Services, b.Services)
}

func sharesList[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
