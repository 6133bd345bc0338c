package accept

import (
	"maps"
	"sync"
)

// failure is a kind of failed accept, by the listener's purpose and the error's name.
type failure struct {
	purpose Purpose
	errno   string
}

// failureCounts counts failures by kind. The number of kinds is bounded by the number of purposes times the number of
// system errors. It is safe for concurrent use.
type failureCounts struct {
	mu     sync.Mutex
	counts map[failure]uint64
}

// failures counts the failed accepts of this process.
var failures failureCounts

// add counts a failure.
func (f *failureCounts) add(kind failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = make(map[failure]uint64)
	}
	f.counts[kind]++
}

// snapshot returns a copy of the counts.
func (f *failureCounts) snapshot() map[failure]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}

// EachFailure calls f for each kind of failure with the number of failed accepts in this process, by the listener's
// purpose and the error's name. It is safe for concurrent use.
func EachFailure(f func(purpose Purpose, errno string, count uint64)) {
	for kind, count := range failures.snapshot() {
		f(kind.purpose, kind.errno, count)
	}
}
