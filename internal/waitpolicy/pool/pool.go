// Package pool merges what many instances have learned of the same parts. It does no I/O: its methods take the time
// and the received reports as arguments. A member that misreports, or is itself overloaded, has no more weight than any
// other member, and none if its sketch is an outlier.
package pool

import (
	"fmt"
	"slices"
	"time"

	"lockflow/internal/waitpolicy"
)

// Limits of a pool.
const (
	MaxMembers = 64
	MaxIDBytes = 64 // of a member's ID
)

const (
	// maxTrustStep is the largest change of trust in one merge interval.
	maxTrustStep = 0.25
	// freshDivisor divides a report's lifetime; the weight of a report decreases after the resulting time.
	freshDivisor = 3
)

// Options configure a pool.
type Options struct {
	OwnID    string        // reports under this ID are ignored
	Lifetime time.Duration // age at which a report has no weight; from a third of it on the weight decreases
	// MergeInterval is the time between two merges, in which trust changes by at most a quarter.
	MergeInterval time.Duration
}

// Pool contains the latest reports of other instances. It is not safe for concurrent use.
type Pool struct {
	options     Options
	members     map[string]*member // by ID
	trust       float64            // in the merged sketches, 0 to 1
	lastMergeAt time.Duration
	lastReplyAt time.Duration // time of the latest reply of any store
	stats       Stats
	sketches    []memberSketch // buffer that mergeKey reuses
}

// member is the latest report of another instance.
type member struct {
	reportedAt time.Duration // by this instance's clock
	records    map[waitpolicy.Key]*waitpolicy.Record
}

// Stats are the state of a pool, and its counts since it was created.
type Stats struct {
	Members  int     `json:"members"`
	Trust    float64 `json:"trust"`
	Accepted uint64  `json:"taken"`   // reports that were added
	Rejected uint64  `json:"refused"` // reports that could not be decoded
	Outliers uint64  `json:"apart"`   // sketches that were not merged
}

// New returns a pool without members.
func New(options Options) *Pool { return &Pool{options: options, members: make(map[string]*member)} }

// AddReport adds a report that a member has shared the given time ago. A report that has expired, or is not newer than
// the member's current one, is ignored. If a report cannot be decoded, AddReport returns an error and retains the
// member's current report.
func (p *Pool) AddReport(now time.Duration, id string, age time.Duration, report []byte) error {
	if id == p.options.OwnID {
		return nil
	}
	if id == "" || len(id) > MaxIDBytes {
		p.stats.Rejected++
		return fmt.Errorf("wait policy pool: member ID of %d bytes is empty or too long", len(id))
	}
	reportedAt := now - max(0, age)
	old := p.members[id]
	if now-reportedAt >= p.options.Lifetime || old != nil && old.reportedAt >= reportedAt {
		return nil
	}
	records, err := waitpolicy.DecodeShared(report)
	if err != nil {
		p.stats.Rejected++
		return fmt.Errorf("wait policy pool: member %s: %w", id, err)
	}
	if old == nil && len(p.members) >= MaxMembers && !p.evictOlderThan(reportedAt) {
		return nil
	}
	added := &member{reportedAt: reportedAt, records: make(map[waitpolicy.Key]*waitpolicy.Record, len(records))}
	for i := range records {
		added.records[records[i].Key()] = &records[i]
	}
	p.members[id] = added
	p.stats.Accepted++
	return nil
}

// evictOlderThan removes the member with the oldest report. It returns false if that report is not older than the
// given time.
func (p *Pool) evictOlderThan(reportedAt time.Duration) bool {
	oldestID := ""
	var oldest *member
	for id, m := range p.members {
		isOlder := oldest == nil || m.reportedAt < oldest.reportedAt
		if isOlder || m.reportedAt == oldest.reportedAt && id < oldestID {
			oldestID = id
			oldest = m
		}
	}
	if oldest.reportedAt >= reportedAt {
		return false
	}
	delete(p.members, oldestID)
	return true
}

// StoreReplied records that a store has replied, regardless of the content of the reply.
func (p *Pool) StoreReplied(now time.Duration) { p.lastReplyAt = max(p.lastReplyAt, now) }

// Merge returns the merged sketches of all members, and the trust in them, 0 to 1. Trust changes in steps, so that
// deadlines do not jump when a store is found, lost or replaced. The instance's own sketches are only used in the
// detection of outliers.
func (p *Pool) Merge(now time.Duration, ownKeys []waitpolicy.Key, ownSketches []waitpolicy.Sketch) (merged map[waitpolicy.Key]*waitpolicy.Sketch, trust float64) {
	ids := p.currentMembers(now)
	p.updateTrust(now, len(ids))
	merged = make(map[waitpolicy.Key]*waitpolicy.Sketch)
	own := make(map[waitpolicy.Key]*waitpolicy.Sketch, len(ownKeys))
	for i, key := range ownKeys {
		own[key] = &ownSketches[i]
	}
	for _, id := range ids {
		for key := range p.members[id].records {
			if _, isMerged := merged[key]; !isMerged && len(merged) < waitpolicy.MaxSketches {
				merged[key] = p.mergeKey(now, ids, key, own[key])
			}
		}
	}
	return merged, p.trust
}

// currentMembers removes members whose reports have expired and returns the sorted IDs of the others.
func (p *Pool) currentMembers(now time.Duration) (ids []string) {
	for id, m := range p.members {
		if now-m.reportedAt >= p.options.Lifetime {
			delete(p.members, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// updateTrust moves trust toward 1 while there are members and a store replies, and toward 0 otherwise.
func (p *Pool) updateTrust(now time.Duration, members int) {
	intervals := 1.0
	if p.options.MergeInterval > 0 {
		intervals = float64(now-p.lastMergeAt) / float64(p.options.MergeInterval)
	}
	p.lastMergeAt = now
	target := 0.0
	if members > 0 && now-p.lastReplyAt <= p.options.Lifetime/2 {
		target = 1
	}
	maxStep := maxTrustStep * max(0, min(1, intervals))
	p.trust += max(-maxStep, min(maxStep, target-p.trust))
}

// Stats returns the pool's state and counts.
func (p *Pool) Stats() Stats {
	s := p.stats
	s.Members = len(p.members)
	s.Trust = p.trust
	return s
}
