// Package groupsize estimates how many instances share a service's servers from the servers' load reports: if all
// instances send the same load, the number of requests that a server has in flight is the number that one
// instance has in flight there times the number of instances. The estimate only serves to detect a wrong group
// size in the settings; no decision depends on it. The package does no I/O and takes the time as an argument.
package groupsize

import (
	"math"
	"time"
)

const (
	decayTime             = 2 * time.Minute // a report loses 63% of its weight in this time
	minLocalAttempts      = 40.0            // decayed number of concurrent own attempts that an estimate requires
	contradictionMinRatio = 1.6             // a ratio above this, or below its inverse, contradicts the configured size
)

// Estimator estimates the group size of one service. It is not safe for concurrent use.
type Estimator struct {
	configured float64
	reported   float64 // decayed sum over reports of the attempts that the server had in flight
	local      float64 // decayed sum over reports of this instance's attempts in flight there, without the answered one
	reports    float64 // decayed number of reports
	updatedAt  time.Duration
}

// New returns an estimator for a group whose configured size is the given number of instances.
func New(configured int) *Estimator {
	return &Estimator{configured: math.Max(1, float64(configured))}
}

// AddReport adds a load report: the server had inFlight attempts in flight, of which local were this instance's,
// not counting the attempt whose response has the report. A report with a negative, infinite or NaN inFlight or
// a negative or NaN local is ignored.
func (e *Estimator) AddReport(now time.Duration, inFlight, local float64) {
	if !(inFlight >= 0) || !(local >= 0) || math.IsInf(inFlight, 0) {
		return
	}
	e.decay(now)
	e.reported += math.Max(inFlight, local)
	e.local += local
	e.reports++
}

func (e *Estimator) decay(now time.Duration) {
	if now <= e.updatedAt {
		return
	}
	factor := math.Exp(-(now - e.updatedAt).Seconds() / decayTime.Seconds())
	e.reported *= factor
	e.local *= factor
	e.reports *= factor
	e.updatedAt = now
}

// Range returns the lower and the upper bound of the estimated group size. They differ because the reports don't
// tell whether a server counts the request that it is answering. ok is false while there are too few reports.
func (e *Estimator) Range(now time.Duration) (low, high float64, ok bool) {
	e.decay(now)
	if e.local < minLocalAttempts {
		return 0, 0, false
	}
	low = math.Max(1, (e.reported-e.reports)/e.local)
	high = math.Max(1, e.reported/e.local)
	return low, high, true
}

// ContradictsConfiguration reports whether the estimated range contradicts the configured size.
func (e *Estimator) ContradictsConfiguration(now time.Duration) bool {
	low, high, ok := e.Range(now)
	if !ok {
		return false
	}
	isLarger := low > contradictionMinRatio*e.configured
	isSmaller := high < e.configured/contradictionMinRatio
	return isLarger || isSmaller
}
