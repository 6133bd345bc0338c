package eventlog

import (
	"cmp"
	"slices"
)

// startingServerMS is the age of a server's process, in milliseconds, below which the server counts as recently
// started.
const startingServerMS = 15000

const millisecondsPerSecond = 1000

// Second aggregates the events of a complete fleet in one second.
type Second struct {
	Second            int            `json:"at"`       // seconds since the first event
	Requests          map[string]int `json:"requests"` // by outcome; those that were not served also by cause
	InTime            int            `json:"in_time"`  // served within the latency objective
	Attempts          map[string]int `json:"attempts"` // by reason
	NewConnections    int            `json:"dialed"`
	AtStartingServers int            `json:"young"`   // attempts at recently started servers
	MeanAttemptMS     float64        `json:"took_ms"` // mean duration of the attempts

	// Means over the states that instances wrote in this second.
	ConcurrencyLimit float64 `json:"bound"`
	AttemptsInFlight float64 `json:"out"`
	AcceptedRequests float64 `json:"held"`
	IdleConnections  float64 `json:"conns"`
	AvailableServers float64 `json:"up"`
}

// ServerSum aggregates the attempts of a complete fleet at one server.
type ServerSum struct {
	Server          string         `json:"server"`
	Attempts        int            `json:"attempts"`
	Reasons         map[string]int `json:"reasons"`
	Instances       int            `json:"from"`       // number of instances that sent attempts to it
	MeanAttemptMS   float64        `json:"took_ms"`    // mean duration of successful attempts
	MeanReportedMS  float64        `json:"told_ms"`    // mean service time in load reports; -1 without any
	MeanUtilization float64        `json:"util"`       // mean in load reports; -1 without any
	PeakInFlight    int            `json:"most"`       // attempts of all instances together
	FirstSecond     int            `json:"first_at_s"` // second of the first attempt
}

// PlanSum compares the usage of one plan's customers with their quotas as if a single node had received all
// requests. Units are the estimates in the requests.
type PlanSum struct {
	Plan               string  `json:"plan"`
	Customers          int     `json:"customers"`
	Requests           int     `json:"tries"`
	SentUnderQuota     float64 `json:"sent_inside"`  // units
	SentOverQuota      float64 `json:"sent_beyond"`  // units
	RejectedUnderQuota float64 `json:"refused_room"` // units
	RejectedOverQuota  float64 `json:"refused_over"` // units
}

// Sum aggregates the logs of a fleet.
type Sum struct {
	Instances int         `json:"instances"`
	Skipped   int         `json:"skipped"` // lines with the prefix that could not be parsed
	Seconds   []Second    `json:"seconds"`
	Servers   []ServerSum `json:"servers"` // by mean duration, longest first
	Plans     []PlanSum   `json:"plans"`   // by name
}

// Sum returns the aggregate of the logs that were read.
func (s *Aggregator) Sum() Sum {
	sum := Sum{Instances: len(s.instances), Skipped: s.skipped}
	if len(s.requests) == 0 && len(s.attempts) == 0 {
		return sum
	}
	slices.SortStableFunc(s.requests, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	slices.SortStableFunc(s.attempts, func(a, b attempt) int { return cmp.Compare(a.at, b.at) })
	start := s.start()
	sum.Seconds = s.sumSeconds(start)
	sum.Servers = s.sumServers(start)
	sum.Plans = s.sumPlans()
	return sum
}

// start returns the time of the first request or attempt.
func (s *Aggregator) start() float64 {
	switch {
	case len(s.requests) == 0:
		return s.attempts[0].at
	case len(s.attempts) == 0:
		return s.requests[0].at
	}
	return min(s.requests[0].at, s.attempts[0].at)
}

// secondSums accumulates sums per second, from which the means are computed.
type secondSums struct {
	start   float64 // in milliseconds
	seconds map[int]*Second
	states  map[int]float64 // number of states written, by second
}

func (c *secondSums) at(ms float64) *Second {
	i := int((ms - c.start) / millisecondsPerSecond)
	if c.seconds[i] == nil {
		c.seconds[i] = &Second{Second: i, Requests: make(map[string]int), Attempts: make(map[string]int)}
	}
	return c.seconds[i]
}

func (s *Aggregator) sumSeconds(start float64) []Second {
	sums := &secondSums{start: start, seconds: make(map[int]*Second), states: make(map[int]float64)}
	for _, r := range s.requests {
		second := sums.at(r.at)
		second.Requests[r.outcome]++
		if r.cause != "-" {
			second.Requests[r.cause]++
		}
		if r.outcome == "served" && (s.LatencyObjectiveMS == 0 || r.durationMS <= s.LatencyObjectiveMS) {
			second.InTime++
		}
	}
	for _, a := range s.attempts {
		second := sums.at(a.at)
		second.Attempts[a.reason]++
		if a.isOnNewConnection {
			second.NewConnections++
		}
		if a.serverAgeMS >= 0 && a.serverAgeMS < startingServerMS {
			second.AtStartingServers++
		}
		second.MeanAttemptMS += a.durationMS
	}
	for _, state := range s.states {
		if state.at >= start {
			sums.addState(state)
		}
	}
	return sums.means()
}

func (c *secondSums) addState(s state) {
	second := c.at(s.at)
	c.states[second.Second]++
	second.ConcurrencyLimit += s.concurrencyLimit
	second.AttemptsInFlight += s.attemptsInFlight
	second.AcceptedRequests += s.acceptedRequests
	second.IdleConnections += s.idleConnections
	second.AvailableServers += s.availableServers
}

// means replaces the sums by means and returns the seconds in order.
func (c *secondSums) means() []Second {
	var all []Second
	for i, second := range c.seconds {
		attempts := 0
		for _, count := range second.Attempts {
			attempts += count
		}
		second.MeanAttemptMS /= float64(max(1, attempts))
		if states := c.states[i]; states > 0 {
			second.ConcurrencyLimit /= states
			second.AttemptsInFlight /= states
			second.AcceptedRequests /= states
			second.IdleConnections /= states
			second.AvailableServers /= states
		}
		all = append(all, *second)
	}
	slices.SortFunc(all, func(a, b Second) int { return cmp.Compare(a.Second, b.Second) })
	return all
}

func (s *Aggregator) sumServers(start float64) []ServerSum {
	attempts := make(map[string][]attempt)
	for _, a := range s.attempts {
		attempts[a.server] = append(attempts[a.server], a)
	}
	var all []ServerSum
	for server, serverAttempts := range attempts {
		all = append(all, sumServer(server, serverAttempts, start))
	}
	slices.SortFunc(all, func(a, b ServerSum) int {
		return cmp.Or(cmp.Compare(b.MeanAttemptMS, a.MeanAttemptMS), cmp.Compare(a.Server, b.Server))
	})
	return all
}

// sumServer aggregates the attempts at one server, which must be sorted by start time.
func sumServer(server string, attempts []attempt, start float64) ServerSum {
	sum := ServerSum{
		Server: server, Attempts: len(attempts), Reasons: make(map[string]int), MeanReportedMS: -1, MeanUtilization: -1,
		FirstSecond: int((attempts[0].at - start) / millisecondsPerSecond), PeakInFlight: peakInFlight(attempts),
	}
	instances := make(map[string]bool)
	successes, reports, reportedMS, utilization := 0.0, 0.0, 0.0, 0.0
	for _, a := range attempts {
		sum.Reasons[a.reason]++
		instances[a.instance] = true
		if a.reason == "ok" {
			successes++
			sum.MeanAttemptMS += a.durationMS
		}
		if a.reportedMS >= 0 {
			reports++
			reportedMS += a.reportedMS
			utilization += a.utilization
		}
	}
	sum.Instances = len(instances)
	sum.MeanAttemptMS /= max(1, successes)
	if reports > 0 {
		sum.MeanReportedMS = reportedMS / reports
		sum.MeanUtilization = utilization / reports
	}
	return sum
}

// peakInFlight returns the largest number of attempts that were in flight at the same time.
func peakInFlight(attempts []attempt) int {
	type step struct {
		at    float64
		delta int
	}
	var steps []step
	for _, a := range attempts {
		steps = append(steps, step{a.at, 1}, step{a.end(), -1})
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) })
	inFlight, peak := 0, 0
	for _, s := range steps {
		inFlight += s.delta
		peak = max(peak, inFlight)
	}
	return peak
}
