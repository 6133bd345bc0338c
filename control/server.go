package control

import "time"

// server is the state of one server. The fields of each part are accessed only by the part's own methods,
// except for restarts, checkpoints and images.
type server struct {
	Endpoint
	isListed       bool
	inFlight       int           // number of attempts in flight
	abandoned      int           // number of abandoned attempts that are presumed still running
	lastActivityAt time.Duration // latest end of an attempt, or start of one with no other in flight
	latency        latencyEstimate
	load           loadEstimate
	outlier        outlierDetector
	slowStart      slowStart
}

func (s *server) isUsable() bool { return s.isListed && s.State == Active }

// isWarmingUp reports whether the server is in its slow start.
func (s *server) isWarmingUp() bool { return s.slowStart.isActive }

// currentLoad returns the number of this gateway's attempts that run, or are presumed to run, at the server.
func (s *server) currentLoad() int { return s.inFlight + s.abandoned }

// bootTime returns the time at which the server started; 0 is long ago.
func (s *server) bootTime() time.Duration {
	if !s.HasStartedAt {
		return 0
	}
	return s.StartedAt
}

// startAttempt records an attempt that starts now, and charges its units to a slow start.
func (s *server) startAttempt(now time.Duration, units float64) {
	if s.inFlight == 0 {
		s.lastActivityAt = now
	}
	s.slowStart.charge(units)
	s.outlier.recordAttempt()
	s.inFlight++
}

func (s *server) endAttempt() { s.inFlight-- }

// resetIncarnation discards the estimates of the server's earlier incarnation.
func (s *server) resetIncarnation() {
	s.latency.seconds = 0
	s.latency.samples = 0
	s.load.reportedAt = 0
	s.outlier.reset()
}
