package bulkhead

import (
	"math"
	"time"
)

// smoothingTime is the time constant of the exponential averages of used time.
const smoothingTime = time.Second

// TimeLimiter limits the processor time that each owner uses, in seconds per second. It only reports which owners have to
// wait and does not interrupt them. An owner within its guaranteed part never has to wait, whatever other owners use. An
// owner above it has to wait only while all owners together use more than the total. It is not safe for concurrent use.
type TimeLimiter struct {
	total  float64
	owners []timeUse // indexed by Owner
	all    timeUse
}

// timeUse is an exponential average of used time, in seconds per second.
type timeUse struct {
	guaranteed float64
	used       float64
	updatedAt  time.Duration
}

func (u *timeUse) decay(now time.Duration) {
	if now > u.updatedAt {
		u.used *= math.Exp(-float64(now-u.updatedAt) / float64(smoothingTime))
		u.updatedAt = now
	}
}

func (u *timeUse) add(now, duration time.Duration) {
	u.decay(now)
	u.used += float64(duration) / float64(smoothingTime)
}

// NewTimeLimiter returns a limiter with a total in seconds per second.
func NewTimeLimiter(total float64) *TimeLimiter { return &TimeLimiter{total: total} }

// SetTotal sets the total, in seconds per second.
func (l *TimeLimiter) SetTotal(total float64) { l.total = total }

// SetGuaranteed sets an owner's guaranteed part, in seconds per second. It adds the owner if it is new.
func (l *TimeLimiter) SetGuaranteed(o Owner, guaranteed float64) {
	for int(o) >= len(l.owners) {
		l.owners = append(l.owners, timeUse{})
	}
	l.owners[o].guaranteed = guaranteed
}

// Record records processor time used by an owner.
func (l *TimeLimiter) Record(now time.Duration, o Owner, duration time.Duration) {
	l.owners[o].add(now, duration)
	l.all.add(now, duration)
}

// Allows reports whether an owner may use more time now.
func (l *TimeLimiter) Allows(now time.Duration, o Owner) bool {
	owner := &l.owners[o]
	owner.decay(now)
	l.all.decay(now)
	return owner.used <= owner.guaranteed || l.all.used <= l.total
}

// Used returns the average use of an owner, in seconds per second.
func (l *TimeLimiter) Used(now time.Duration, o Owner) float64 {
	l.owners[o].decay(now)
	return l.owners[o].used
}
