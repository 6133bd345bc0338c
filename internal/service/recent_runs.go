package service

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// recentRunLifetime is how long after its end a request may arrive again with its id. Clients send a request once
	// more only until its deadline.
	recentRunLifetime = 10 * time.Second
	// maxRecentRuns limits the ended requests that are remembered, about 2 MB with ids of 16 bytes. The oldest is
	// forgotten first.
	maxRecentRuns = 1 << 14
)

// recentRuns remembers the ids of requests that are open, or that have ended and may have run, so that such a request is
// not run again if it arrives once more. A client that closes its connection without reading its answers does
// that. A service shares it with the one that replaces it. It is safe for concurrent use.
type recentRuns struct {
	mu    sync.Mutex
	open  map[string]bool
	ended map[string]bool
	order []endedRun // of ended, the oldest first
}

// endedRun is a request that has ended and may have run.
type endedRun struct {
	id      string
	endedAt time.Time
}

func newRecentRuns() *recentRuns {
	return &recentRuns{open: make(map[string]bool), ended: make(map[string]bool)}
}

// begin records that a request is open. It returns false if one with its id is open or may have run.
func (r *recentRuns) begin(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOld(time.Now(), maxRecentRuns)
	if r.open[id] || r.ended[id] {
		return false
	}
	r.open[id] = true
	return true
}

// end records that an open request has ended.
func (r *recentRuns) end(id string, mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	if mayHaveRun {
		r.add(id)
	}
}

// export returns the ids that must not run again, for another process.
func (r *recentRuns) export() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOld(time.Now(), maxRecentRuns)
	ids := make([]string, 0, len(r.order)+len(r.open))
	for _, run := range r.order {
		ids = append(ids, run.id)
	}
	return slices.AppendSeq(ids, maps.Keys(r.open))
}

// restore records requests that have run, or may still run, in another process.
func (r *recentRuns) restore(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.add(id)
	}
}

// add records that a request has ended and may have run. The caller holds mu.
func (r *recentRuns) add(id string) {
	if r.ended[id] {
		return
	}
	now := time.Now()
	r.forgetOld(now, maxRecentRuns-1)
	r.ended[id] = true
	r.order = append(r.order, endedRun{id, now})
}

// forgetOld forgets the requests that ended too long ago, and the oldest ones beyond a limit.
func (r *recentRuns) forgetOld(now time.Time, limit int) {
	n := max(0, len(r.order)-limit)
	for n < len(r.order) && now.Sub(r.order[n].endedAt) >= recentRunLifetime {
		n++
	}
	for _, run := range r.order[:n] {
		delete(r.ended, run.id)
	}
	r.order = r.order[n:]
}
