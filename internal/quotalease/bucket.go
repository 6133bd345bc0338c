package quotalease

import (
	"math"
	"time"
)

// fractionSteps is the number of steps to which reserved fractions are rounded. It limits the length of the
// list of minima and makes a sum independent of its order.
const fractionSteps = 1e5

// Buckets are removed after being idle for minBucketIdleTime and for the time that they take to fill.
const (
	bucketCleanupInterval = 1024 // buckets created between two cleanups
	minBucketIdleTime     = 10 * time.Minute
)

// distantPast is a time before all times of a store's clock.
const distantPast time.Duration = -1 << 62

// bucket is the token bucket of one customer at the store.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
	fillTime  time.Duration // from empty to full with all of the hard limit reserved
}

// reservedMinimum is the smallest fraction that was reserved at any time since a moment.
type reservedMinimum struct {
	since    time.Duration
	fraction float64
}

// reservedFraction returns the sum of the reservations, 0 to 1, and removes expired ones.
func (s *Store) reservedFraction(now time.Duration) (sum float64) {
	for holderID, r := range s.reservations {
		if r.expiresAt <= now {
			delete(s.reservations, holderID)
			continue
		}
		sum += r.fraction
	}
	return min(1, math.Round(sum*fractionSteps)/fractionSteps)
}

// recordReserved records that a fraction is reserved from now on.
func (s *Store) recordReserved(now time.Duration, fraction float64) {
	since := now
	for i := len(s.reservedMinima) - 1; i >= 0 && s.reservedMinima[i].fraction >= fraction; i-- {
		since = s.reservedMinima[i].since // at least as much was reserved since then
		s.reservedMinima = s.reservedMinima[:i]
	}
	isFirst := len(s.reservedMinima) == 0 && since == now
	if isFirst && fraction > 0 && !s.disabled.emptyStart {
		s.reservedMinima = append(s.reservedMinima, reservedMinimum{since: distantPast, fraction: 0})
	}
	s.reservedMinima = append(s.reservedMinima, reservedMinimum{since: since, fraction: fraction})
}

// minReservedSince returns the smallest fraction that was reserved between a time and the last record.
func (s *Store) minReservedSince(since time.Duration) float64 {
	i := len(s.reservedMinima) - 1
	for i > 0 && s.reservedMinima[i].since > since {
		i--
	}
	return s.reservedMinima[i].fraction
}

// refilledBucket returns a customer's bucket, refilled at the smallest fraction of its rate that was reserved
// since its last update.
func (s *Store) refilledBucket(now time.Duration, key string, limit HardLimit) *bucket {
	b := s.buckets[key]
	if b == nil {
		return s.newBucket(now, key, limit)
	}
	fraction := s.minReservedSince(b.updatedAt)
	if s.disabled.emptyStart {
		fraction = 1
	}
	b.tokens = min(fraction*limit.Burst, b.tokens) + max(0, (now-b.updatedAt).Seconds())*fraction*limit.Rate
	b.tokens = min(b.tokens, fraction*limit.Burst)
	b.updatedAt = now
	return b
}

// newBucket adds the bucket of a customer that is not known. It has the tokens of one that was empty at any of
// the times at which the reserved minimum rose and that has been refilled at that minimum since.
func (s *Store) newBucket(now time.Duration, key string, limit HardLimit) *bucket {
	s.removeIdleBuckets(now)
	b := &bucket{updatedAt: now, fillTime: time.Duration(limit.Burst / limit.Rate * float64(time.Second))}
	if s.disabled.emptyStart {
		b.tokens = limit.Burst
	}
	for _, minimum := range s.reservedMinima {
		if minimum.fraction > 0 {
			b.tokens = max(b.tokens, min(limit.Burst, (now-minimum.since).Seconds()*limit.Rate)*minimum.fraction)
		}
	}
	s.buckets[key] = b
	return b
}

// removeIdleBuckets removes, at every bucketCleanupInterval-th bucket, those that have been idle for so long
// that new ones would be equal.
func (s *Store) removeIdleBuckets(now time.Duration) {
	if n := len(s.buckets); n == 0 || n%bucketCleanupInterval != 0 {
		return
	}
	for key, b := range s.buckets {
		if now-b.updatedAt > max(minBucketIdleTime, b.fillTime) {
			delete(s.buckets, key)
		}
	}
}
