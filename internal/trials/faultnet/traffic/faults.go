package traffic

import (
	"sync"
	"time"
)

// Faults records when faults affected a part of a trial, such as the clients of one node. The zero value is
// ready; its methods are safe for concurrent use.
type Faults[Part comparable] struct {
	mu     sync.Mutex
	byPart map[Part]faultTimes
}

// faultTimes records when faults affected one part.
type faultTimes struct {
	active  int       // number of faults in force
	lastEnd time.Time // end of the fault that ended last
}

// Begin records that a fault of a part is about to begin.
func (f *Faults[Part]) Begin(part Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byPart == nil {
		f.byPart = make(map[Part]faultTimes)
	}
	i := f.byPart[part]
	i.active++
	f.byPart[part] = i
}

// End records that a fault of a part has ended.
func (f *Faults[Part]) End(part Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byPart[part] = faultTimes{active: f.byPart[part].active - 1, lastEnd: time.Now()}
}

// IsPossible reports whether a fault may have affected a part since a time.
func (f *Faults[Part]) IsPossible(part Part, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.byPart[part]
	return i.active > 0 || i.lastEnd.After(since)
}
