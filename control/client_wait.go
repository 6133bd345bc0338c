package control

import "time"

// clientWaitEstimator estimates how long a client has waited before its request came, for earlier attempts of
// its own or for this gateway.
type clientWaitEstimator struct {
	retriesAreMarked bool // clients mark their retries
	typicalDeadlines map[*Class]*typicalDeadline
	minRetryGap      time.Duration // shortest observed time from a client's first attempt to its retry
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

// estimate is how long the client has waited. A client's retry is marked, or has an outlier deadline.
// Guards against first attempts that seem late to a gateway that was stalled: they lack no more than its
// clock has advanced since the event before.
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
	if !isOutlier { // its deadline is that of a first attempt
		return min(e.minRetryGap, elapsed)
	}
	e.minRetryGap = min(e.minRetryGap, elapsed)
	return elapsed
}

// typicalDeadline is the deadline that most first attempts of a class come with.
type typicalDeadline struct {
	deadline time.Duration
	support  int // requests with it, less those without
}

// observe follows the majority of the deadlines.
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
