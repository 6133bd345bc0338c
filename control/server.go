package control

import "time"

// server is what a controller knows of one server. The fields of each part are touched by the part's own methods
// only, but for restarts, checkpoints and images.
type server struct {
	Endpoint
	isListed       bool
	inFlight       int           // attempts
	abandoned      int           // attempts presumed still running
	lastActivityAt time.Duration // last end of an attempt, or start of one with no other in flight
	latency        latencyEstimate
	load           loadEstimate
	outlier        outlierDetector
	slowStart      slowStart
}

func (s *server) isUsable() bool { return s.isListed && s.State == Active }

// bootTime is when a server started, 0 for long ago.
func (s *server) bootTime() time.Duration {
	if !s.HasStartedAt {
		return 0
	}
	return s.StartedAt
}

// latencyEstimate is a server's latency by attempts of this gateway.
type latencyEstimate struct {
	seconds   float64 // smoothed; 0 is none
	updatedAt time.Duration
	samples   float64 // decaying number of them
}

// loadEstimate is a server's load by its latest report.
type loadEstimate struct {
	slowdown    float64       // times the mean latency of all servers
	utilization float64       // part of its cores that is busy
	reportedAt  time.Duration // 0 is never
}

// outlierDetector ejects a server that fails.
type outlierDetector struct {
	consecutiveFailures int
	failureRate         float64 // decaying part of the attempts that failed
	failureRateAt       time.Duration
	ejectedUntil        time.Duration
	ejectionTime        time.Duration // of the latest ejection
	isProbing           bool          // an attempt tries whether the ejected server is well again
	planRejectedUntil   map[*planQueue]time.Duration
}

// reset drops what was known of an earlier incarnation of the server.
func (o *outlierDetector) reset() {
	o.failureRate = 0
	o.consecutiveFailures = 0
	o.ejectedUntil = 0
	o.ejectionTime = 0
	clear(o.planRejectedUntil)
}

// slowStart limits the attempts at a server that is warming up by a token bucket of units.
type slowStart struct {
	isActive  bool
	startedAt time.Duration
	tokens    float64
	updatedAt time.Duration
}
