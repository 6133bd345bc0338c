package control

import "time"

// clientWaitEstimator estimates how long a client has waited before its request was handled, either for its
// own earlier attempts or because this gateway was stalled.
type clientWaitEstimator struct {
	retriesAreMarked bool // whether clients mark their retries
	typicalDeadlines map[*Class]*typicalDeadline
	minRetryGap      time.Duration // shortest observed time from a client's first attempt to a retry
}

func newClientWaitEstimator(settings *Settings) clientWaitEstimator {
	estimator := clientWaitEstimator{
		retriesAreMarked: settings.RetriesAreMarked,
		typicalDeadlines: make(map[*Class]*typicalDeadline),
		minRetryGap:      rejectRetryAfter,
	}
	for i := range settings.Classes {
		estimator.typicalDeadlines[&settings.Classes[i]] = &typicalDeadline{}
	}
	return estimator
}

// estimate returns how long the client has waited. A request counts as a client's retry if it is marked, or
// if it has an outlier deadline where clients do not mark retries. After a stall of this gateway the
// deadlines of first attempts are short as well, by at most clockAdvance, the time since the previous event;
// they do not count as outliers.
func (e *clientWaitEstimator) estimate(
	event Request, class *Class, clockAdvance time.Duration,
) time.Duration {
	typical := e.typicalDeadlines[class]
	shortfall := typical.deadline - event.Timeout
	isOutlier := shortfall > max(clockAdvance, tickPeriod) || shortfall < -tickPeriod
	resemblesRetry := isOutlier && typical.support > 0
	isRetry := event.IsRetry || !e.retriesAreMarked && resemblesRetry
	if !event.IsRetry {
		typical.observe(event.Timeout, isOutlier)
	}
	if !isRetry {
		return min(max(shortfall, 0), clockAdvance)
	}
	elapsed := class.Deadline - event.Timeout
	if !isOutlier { // the retry has the deadline of a first attempt
		return min(e.minRetryGap, elapsed)
	}
	e.minRetryGap = min(e.minRetryGap, elapsed)
	return elapsed
}

// typicalDeadline is the deadline of most first attempts of a class, found by majority vote.
type typicalDeadline struct {
	deadline time.Duration
	support  int // number of requests with this deadline minus the number without
}

// observe updates the majority vote with the deadline of a request.
func (d *typicalDeadline) observe(deadline time.Duration, isOutlier bool) {
	switch {
	case !isOutlier:
		d.support++
	case d.support != 0:
		d.support--
	default:
		d.deadline = deadline
		d.support = 1
	}
}
