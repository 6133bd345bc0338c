package waitpolicy

const (
	// correlationRetention is the factor by which the moments decay with each query.
	correlationRetention = 1 - 1.0/256
	// minSquareMoment is the square moment below which there are too few observations to estimate a correlation.
	minSquareMoment = 20
	// maxCorrelation limits the correlation, as plans divide by 1 - correlation.
	maxCorrelation = 0.95
)

// correlation returns the estimated correlation of the parts' normal scores.
func (c *class) correlation() float64 {
	if c.squareMoment < minSquareMoment {
		return 0
	}
	return max(0, min(maxCorrelation, c.pairMoment/c.squareMoment))
}

// observeCorrelation adds the scores of a query's parts to the moments, if the forecast knows all of the parts.
func (c *class) observeCorrelation(q *Query) {
	if q.forecast == nil || len(q.forecast.parts) != len(q.parts) || len(q.parts) < 2 {
		return
	}
	var sum, squares float64
	for i := range q.parts {
		if !q.forecast.parts[i].isKnown {
			return
		}
		outcome := Outcome{Duration: q.endedAt - q.startedAt, Censored: true}
		if q.parts[i].status != partOutstanding {
			outcome = Outcome{Duration: q.parts[i].duration}
		}
		score := q.forecast.parts[i].scoreOf(outcome)
		sum += score
		squares += score * score
	}
	n := float64(len(q.parts))
	c.pairMoment = correlationRetention*c.pairMoment + (sum*sum-squares)/(n*(n-1))
	c.squareMoment = correlationRetention*c.squareMoment + squares/n
}
