package control

import "time"

// server is what a controller knows of one server. The fields of each part are touched by the part's own
// methods only, but for restarts, checkpoints and images.
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

// isWarmingUp tells whether the server is in its slow start.
func (s *server) isWarmingUp() bool { return s.slowStart.isActive }

// currentLoad is the attempts of this gateway that run at the server or are presumed to.
func (s *server) currentLoad() int { return s.inFlight + s.abandoned }

// bootTime is when a server started, 0 for long ago.
func (s *server) bootTime() time.Duration {
	if !s.HasStartedAt {
		return 0
	}
	return s.StartedAt
}

// startAttempt counts an attempt that starts now, and charges its units to a slow start.
func (s *server) startAttempt(now time.Duration, units float64) {
	if s.inFlight == 0 {
		s.lastActivityAt = now
	}
	s.slowStart.charge(units)
	s.outlier.recordAttempt()
	s.inFlight++
}

func (s *server) endAttempt() { s.inFlight-- }

// forgetIncarnation drops what was known of the server before it started anew.
func (s *server) resetIncarnation() {
	s.latency.seconds = 0
	s.latency.samples = 0
	s.load.reportedAt = 0
	s.outlier.reset()
}
