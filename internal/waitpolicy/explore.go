package waitpolicy

const (
	// exploreHalfLives is how long an exploring query waits after it would have answered, in half-lives of an
	// answer's value.
	exploreHalfLives = 2
	// exploreInterval is the mean number of queries per exploring query, if the budget allows it.
	exploreInterval = 32
	// maxExploreCredit limits the unspent budget that accumulates, in values of complete answers.
	maxExploreCredit = 2
)

// drawExploring decides at random, within the budget, whether a query explores.
func (m *Model) drawExploring() bool {
	m.exploreCredit = min(maxExploreCredit, m.exploreCredit+m.options.Explore)
	if m.exploreCredit > 0 && m.rng.IntN(exploreInterval) == 0 {
		m.exploreCredit-- // charges the maximum cost until accountExploring
		return true
	}
	return false
}

// accountExploring replaces the maximum cost that was charged for an exploring query by its actual cost: the value that
// its answer has lost by the longer wait.
func (m *Model) accountExploring(q *Query) {
	cost := 0.0
	if q.baselineAnswerAt > 0 {
		m.stats.Explored++
		cost = q.settings.decay(q.baselineAnswerAt-q.startedAt) - q.settings.decay(q.endedAt-q.startedAt)
	}
	m.stats.ExploreCost += cost
	m.exploreCredit += 1 - cost
}
