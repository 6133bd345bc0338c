// Package groupsize estimates how many instances share a service's servers, from what servers report
// of their load: where all instances send alike, a server has as many times what one of them has in
// flight there as there are instances. It is for noticing that the group size in the settings is wrong;
// nothing is decided by it. It does no I/O and takes the time as an argument.
package groupsize

import (
	"math"
	"time"
)

const (
	decayTime             = 2 * time.Minute // after which a report has lost 63% of its weight
	minLocalAttempts      = 40.0            // own attempts beside the answered ones that an estimate needs
	contradictionMinRatio = 1.6             // of estimate and configuration, or its inverse, that contradicts
)

// Estimator estimates the group size of one service. It is not safe for concurrent use.
type Estimator struct {
	configured float64
	reported   float64 // decaying sum over reports of the attempts that the server had in flight
	local      float64 // and of those that this instance had in flight there, without the answered ones
	reports    float64 // decaying number of reports
	updatedAt  time.Duration
}

// New returns an estimator for a group that is configured to have a number of instances.
func New(configured int) *Estimator {
	return &Estimator{configured: math.Max(1, float64(configured))}
}

// AddReport takes a load report: the server had inFlight attempts, of which local are this instance's;
// the answered one does not count. A report that is no number of attempts is ignored.
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

// Range returns the bounds of the group size by the reports, which leave open whether a server counts
// the request that it answers. It returns false while there are too few reports.
func (e *Estimator) Range(now time.Duration) (low, high float64, ok bool) {
	e.decay(now)
	if e.local < minLocalAttempts {
		return 0, 0, false
	}
	low = math.Max(1, (e.reported-e.reports)/e.local)
	high = math.Max(1, e.reported/e.local)
	return low, high, true
}

// ContradictsConfiguration tells whether the reports contradict the configured size.
func (e *Estimator) ContradictsConfiguration(now time.Duration) bool {
	low, high, ok := e.Range(now)
	if !ok {
		return false
	}
	isLarger := low > contradictionMinRatio*e.configured
	isSmaller := high < e.configured/contradictionMinRatio
	return isLarger || isSmaller
}
