package quotalease

import (
	"math"
	"time"
)

// fractionSteps is the number of steps to which sums of reserved fractions are rounded. Rounding limits the length
// of Store.reservedMinima and makes a sum independent of the order of its terms.
const fractionSteps = 1e5

// A bucket is removed once it has been idle for longer than both minBucketIdleTime and its fillTime.
const (
	bucketCleanupInterval = 1024 // buckets created between two cleanups
	minBucketIdleTime     = 10 * time.Minute
)

// distantPast is earlier than any time of a store's clock.
const distantPast time.Duration = -1 << 62

// bucket is the token bucket of one customer at the store.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
	fillTime  time.Duration // from empty to full with all of the hard limit reserved
}

// reservedMinimum is the smallest fraction that has been reserved at any time since a given time.
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

// recordReserved records that a fraction is reserved from now on. It removes the earlier minima that are not below
// the fraction, as they are no longer minima.
func (s *Store) recordReserved(now time.Duration, fraction float64) {
	since := now
	for i := len(s.reservedMinima) - 1; i >= 0 && s.reservedMinima[i].fraction >= fraction; i-- {
		since = s.reservedMinima[i].since // at least the fraction has been reserved since then
		s.reservedMinima = s.reservedMinima[:i]
	}
	isFirst := len(s.reservedMinima) == 0 && since == now
	if isFirst && fraction > 0 && !s.disabled.emptyStart {
		s.reservedMinima = append(s.reservedMinima, reservedMinimum{since: distantPast, fraction: 0})
	}
	s.reservedMinima = append(s.reservedMinima, reservedMinimum{since: since, fraction: fraction})
}

// minReservedSince returns the smallest fraction that was reserved between a time and the last recordReserved.
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

// newBucket adds the bucket of a new customer. For each reserved minimum it computes the tokens of a bucket that was
// empty when the minimum began and has been refilled at that fraction since; the new bucket gets the largest result.
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

// removeIdleBuckets runs whenever the number of buckets is a multiple of bucketCleanupInterval. It removes the buckets
// that have been idle for so long that new ones would be equal.
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
