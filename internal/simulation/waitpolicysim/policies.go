package waitpolicysim

import (
	"math"
	"slices"
	"time"

	"lockflow/internal/waitpolicy"
)

// className is the class of all queries.
const className = "list"

// lateHashFactor is the multiplier of a hash of outcome numbers that selects the outcomes that are observed late.
const lateHashFactor = 0x9e3779b97f4a7c15

// queryEnd describes the end of a query.
type queryEnd struct {
	at             time.Duration
	arrivedShare   float64 // share of the parts' weight that has arrived
	abandonedShare float64 // share of the parts' weight that was abandoned
}

// policy decides when queries end.
type policy interface {
	// end simulates a query whose parts take the given durations. progress is the completed fraction of the simulation,
	// from 0 to 1. Only an oracle may use factor, the common factor of the parts' scores.
	end(progress float64, durations *[partCount]time.Duration, factor float64) queryEnd
}

// endAfter returns how a query ends that has a fixed timeout. It ends when all parts have answered, or after the timeout
// as soon as minShare has arrived, or at the client's deadline.
func endAfter(weights *[partCount]float64, durations *[partCount]time.Duration, timeout time.Duration) queryEnd {
	order := [partCount]int{0, 1, 2, 3, 4}
	slices.SortFunc(order[:], func(a, b int) int { return int(min(1, max(-1, durations[a]-durations[b]))) })
	end := queryEnd{abandonedShare: 1}
	for _, part := range order {
		isTimedOut := durations[part] > timeout && end.arrivedShare >= minShare-shareTolerance
		if isTimedOut || durations[part] > clientDeadline {
			break
		}
		end.arrivedShare += weights[part]
		end.abandonedShare -= weights[part]
		end.at = durations[part]
	}
	if end.abandonedShare <= shareTolerance {
		end.abandonedShare = 0
		return end
	}
	end.at = max(end.at, min(timeout, clientDeadline))
	if end.arrivedShare < minShare-shareTolerance {
		end.at = clientDeadline
	}
	return end
}

// Sizes of percentilePolicy.
const (
	percentileQueries       = 500 // last queries whose parts' percentile is taken
	percentileUpdateQueries = 50  // queries between two updates
	percentilePercent       = 95
)

// percentilePolicy uses the 95th percentile of the parts' last durations as the timeout.
type percentilePolicy struct {
	weights   [partCount]float64
	durations [percentileQueries * partCount]time.Duration // ring buffer
	count     int                                          // number of durations since the start
	deadline  time.Duration
}

func (p *percentilePolicy) end(_ float64, durations *[partCount]time.Duration, _ float64) queryEnd {
	if p.count%(percentileUpdateQueries*partCount) == 0 {
		p.updateDeadline()
	}
	for _, duration := range durations {
		p.durations[p.count%len(p.durations)] = duration
		p.count++
	}
	return endAfter(&p.weights, durations, p.deadline)
}

func (p *percentilePolicy) updateDeadline() {
	sorted := slices.Clone(p.durations[:min(p.count, len(p.durations))])
	slices.Sort(sorted)
	p.deadline = clientDeadline
	if len(sorted) > 0 {
		p.deadline = min(clientDeadline, sorted[len(sorted)*percentilePercent/100])
	}
}

// queryPolicy has internal/waitpolicy decide when queries end.
type queryPolicy struct {
	settings  *waitpolicy.Settings
	query     waitpolicy.Query
	begin     func(query *waitpolicy.Query, progress float64, now time.Duration)
	startedAt time.Duration // start of the last query
	steps     int           // decision steps of all queries
	onEnd     func(end queryEnd, durations *[partCount]time.Duration, startedAt time.Duration)
}

// queryInterval is the time between the starts of two queries.
const queryInterval = 100 * time.Millisecond

func (p *queryPolicy) end(progress float64, durations *[partCount]time.Duration, _ float64) queryEnd {
	p.startedAt += queryInterval
	p.begin(&p.query, progress, p.startedAt)
	end, hasEnded := p.run(durations)
	for part := range hasEnded {
		if !hasEnded[part] {
			end.abandonedShare += p.settings.Parts[part].Weight
		}
	}
	if p.onEnd != nil {
		p.onEnd(end, durations, p.startedAt)
	}
	return end
}

// run runs a query to its end, and reports which parts had answered by then.
func (p *queryPolicy) run(durations *[partCount]time.Duration) (end queryEnd, hasEnded [partCount]bool) {
	for {
		p.steps++
		step := p.query.Next(p.startedAt + end.at)
		if step.Kind != waitpolicy.Wait {
			if step.Kind != waitpolicy.Refuse {
				end.arrivedShare = step.Share
			}
			return end, hasEnded
		}
		end.at = step.Until - p.startedAt
		first := -1
		for part := range durations {
			isFirst := first < 0 || durations[part] < durations[first]
			if !hasEnded[part] && durations[part] <= end.at && isFirst {
				first = part
			}
		}
		if first >= 0 {
			end.at = durations[first]
			hasEnded[first] = true
			p.query.PartCompleted(p.startedAt+end.at, first, true)
		}
	}
}

// newPlanner returns a policy that decides as the learned one does, from the known distributions of a world.
func newPlanner(w *world) *queryPolicy {
	settings := normalizedSettings(w)
	planner := &queryPolicy{settings: settings}
	var forecast *waitpolicy.Forecast
	madeAt := 0.0
	planner.begin = func(query *waitpolicy.Query, progress float64, now time.Duration) {
		isOutdated := w.isChanging && math.Floor(progress*rebuildsPerRun) != math.Floor(madeAt*rebuildsPerRun)
		if forecast == nil || isOutdated {
			madeAt = progress
			forecast = waitpolicy.KnownForecast(partCount, load, w.correlation, func(part int, duration time.Duration) float64 {
				return w.answeredBy(part, progress, duration)
			})
		}
		query.Begin(settings, forecast, now, now+clientDeadline+settings.Margin)
	}
	return planner
}

// learner is a policy whose model learns from its queries.
type learner struct {
	queryPolicy
	model        *waitpolicy.Model
	lateFraction float64 // fraction of late outcomes that are observed; the others are censored
	usesCensored bool    // whether the model observes censored outcomes
	outcomes     uint64
}

func newLearner(w *world, options waitpolicy.Options) *learner {
	settings := normalizedSettings(w)
	l := &learner{usesCensored: true, model: waitpolicy.NewModel(settings, options)}
	l.settings = settings
	l.begin = func(query *waitpolicy.Query, _ float64, now time.Duration) {
		l.model.Begin(query, className, load, now, now+clientDeadline+settings.Margin)
	}
	l.onEnd = l.learn
	return l
}

// learn has the model observe the outcomes of a query's parts.
func (l *learner) learn(end queryEnd, durations *[partCount]time.Duration, startedAt time.Duration) {
	l.model.Done(&l.query, className, startedAt+end.at)
	for part, duration := range durations {
		l.outcomes++
		isObservedLate := float64(l.outcomes*lateHashFactor>>40)/(1<<24) < l.lateFraction
		switch {
		case duration <= end.at || isObservedLate && duration < clientDeadline:
			l.model.Observe(className, part, load, waitpolicy.Outcome{At: startedAt + duration, Duration: duration})
		case l.usesCensored:
			l.model.Observe(className, part, load, waitpolicy.Outcome{At: startedAt + end.at, Duration: end.at, Censored: true})
		}
	}
}
