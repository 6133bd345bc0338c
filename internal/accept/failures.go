package accept

import (
	"maps"
	"sync"
)

// failure is one kind of failed accept.
type failure struct {
	purpose Purpose
	errno   string
}

// failureCounts counts failures. Their kinds are bounded by the purposes and the system's errors.
type failureCounts struct {
	mu     sync.Mutex
	counts map[failure]uint64
}

// failures are those of the process.
var failures failureCounts

func (f *failureCounts) add(kind failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = make(map[failure]uint64)
	}
	f.counts[kind]++
}

func (f *failureCounts) snapshot() map[failure]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}

// EachFailure calls f with how often accept has failed in this process, by what the listener is for and the
// error's name. It is safe for concurrent use.
func EachFailure(f func(purpose Purpose, errno string, count uint64)) {
	for kind, count := range failures.snapshot() {
		f(kind.purpose, kind.errno, count)
	}
}
