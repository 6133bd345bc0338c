package scattergather

import (
	"sync/atomic"
	"time"

	"lockflow/internal/waitpolicy"
)

// processStart is the origin of the default clock of models. A model that is restored from another process is
// aged by the time since it was encoded.
var processStart = time.Now()

// Gatherer is one scatter-gather service for as long as its settings do not change: its wait policy, what that
// has learned, and its counts, which continue over all gatherers of the same name. It is safe for concurrent use.
type Gatherer struct {
	Name       string
	Settings   *waitpolicy.Settings
	Model      *waitpolicy.Model
	Counts     *Counts
	RetryAfter time.Duration // maximum Retry-After of a rejected query; 0 sends none
	// Clock is the clock by which the model forgets, the same for all queries and monotonic. If nil, it is the
	// time since the process started.
	Clock func() time.Duration

	lastRejecting atomic.Int64 // leaf + 1; 0 is none
}

// observe has the model learn from an outcome that is known now.
func (g *Gatherer) observe(class string, part int, load float64, outcome waitpolicy.Outcome) {
	if g.Clock != nil {
		outcome.At = g.Clock()
	} else {
		outcome.At = time.Since(processStart)
	}
	g.Model.Observe(class, part, load, outcome)
}

// LastRejecting returns the leaf that rejected the last query for its customer's quota; false where none did.
// It is called first, so that another rejection costs the other leaves nothing.
func (g *Gatherer) LastRejecting() (leaf int, ok bool) {
	n := g.lastRejecting.Load()
	return int(n - 1), n > 0
}

// SetLastRejecting records the leaf that has rejected a query; below zero is none.
func (g *Gatherer) SetLastRejecting(leaf int) { g.lastRejecting.Store(int64(leaf) + 1) }

// maxDeadlineSteps limits the steps of the query that Deadline simulates.
const maxDeadlineSteps = 1000

// medianQuantile is the quantile of a typical result.
const medianQuantile = 0.5

// Deadline returns how long a query waits at most for one part that does not answer, if all others answer in
// their median time.
func Deadline(settings *waitpolicy.Settings, forecast *waitpolicy.Forecast) (longest time.Duration) {
	for part := range settings.Parts {
		longest = max(longest, deadlineWithout(settings, forecast, part))
	}
	return longest
}

// deadlineWithout returns how long a query waits for one part that does not answer.
func deadlineWithout(settings *waitpolicy.Settings, forecast *waitpolicy.Forecast, missing int) time.Duration {
	query := waitpolicy.Begin(settings, forecast, 0, 0)
	now := time.Duration(0)
	for i := range settings.Parts {
		if i != missing && forecast.IsKnown() {
			now = max(now, forecast.Quantile(i, medianQuantile))
		}
	}
	for i := range settings.Parts {
		if i != missing {
			query.PartCompleted(now, i, true)
		}
	}
	for range maxDeadlineSteps {
		step := query.Next(now)
		if step.Kind != waitpolicy.Wait {
			break
		}
		now = max(step.Until, now+1)
	}
	return now
}
