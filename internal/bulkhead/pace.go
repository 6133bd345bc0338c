package bulkhead

import (
	"math"
	"time"
)

// smoothingTime is the span over which use of time is smoothed.
const smoothingTime = time.Second

// TimeLimiter divides the time of a processor: how much of each second each owner may use. It only
// tells, and takes nothing away that is in use. Its promise: an owner within its guaranteed
// part is never held back, whatever the others use; one beyond it only while all together
// use more than there is. It is not safe for concurrent use.
type TimeLimiter struct {
	total  float64
	owners []timeUse
	all    timeUse
}

type timeUse struct {
	guaranteed float64
	used       float64 // smoothed, s per s
	updatedAt  time.Duration
}

func (p *timeUse) decay(now time.Duration) {
	if now > p.updatedAt {
		p.used *= math.Exp(-float64(now-p.updatedAt) / float64(smoothingTime))
		p.updatedAt = now
	}
}

func (p *timeUse) add(now, took time.Duration) {
	p.decay(now)
	p.used += float64(took) / float64(smoothingTime)
}

// NewTimeLimiter makes a pace of so many seconds of a second in all.
func NewTimeLimiter(total float64) *TimeLimiter { return &TimeLimiter{total: total} }

// SetTotal sets how many seconds of a second there are in all.
func (p *TimeLimiter) SetTotal(total float64) { p.total = total }

// SetGuaranteed sets an owner's guaranteed part, in seconds of a second.
func (p *TimeLimiter) SetGuaranteed(o Owner, guaranteed float64) {
	for int(o) >= len(p.owners) {
		p.owners = append(p.owners, timeUse{})
	}
	p.owners[o].guaranteed = guaranteed
}

// Record notes that an owner has used some time.
func (p *TimeLimiter) Record(now time.Duration, o Owner, took time.Duration) {
	p.owners[o].add(now, took)
	p.all.add(now, took)
}

// Allows tells whether an owner may go on using time.
func (p *TimeLimiter) Allows(now time.Duration, o Owner) bool {
	w := &p.owners[o]
	w.decay(now)
	p.all.decay(now)
	return w.used <= w.guaranteed || p.all.used <= p.total
}

// Used is what an owner used of late, in seconds of a second.
func (p *TimeLimiter) Used(now time.Duration, o Owner) float64 {
	p.owners[o].decay(now)
	return p.owners[o].used
}
