package control

import (
	"fmt"
	"time"
)

// Limits on the restored state of a server.
const (
	maxRestoredAbandoned = 10000     // maximum number of restored attempts, in flight and abandoned each
	maxAbandonedTime     = time.Hour // maximum time for which an attempt is presumed to run

	// maxStartDifference is the maximum difference between the times at which two processes place the same start of a
	// server. Each computes the time from the server's age by its own reading of the clocks.
	maxStartDifference = time.Second
)

// isSameIncarnation reports whether two start times belong to one incarnation of a server; 0 is long ago.
func isSameIncarnation(a, b time.Duration) bool {
	return a == b || a != 0 && b != 0 && (a-b).Abs() <= maxStartDifference
}

// checkpointServer returns the stored form of a server for another controller.
func (c *Controller) checkpointServer(srv *server) ServerCheckpoint {
	saved := ServerCheckpoint{
		Server:              srv.Server,
		StartedAt:           srv.bootTime(),
		InFlight:            srv.inFlight,
		Latency:             srv.latency.seconds,
		LatencyAt:           srv.latency.updatedAt,
		ConsecutiveFailures: srv.outlier.consecutiveFailures,
		FailureRate:         srv.outlier.failureRate,
		FailureRateAt:       srv.outlier.failureRateAt,
		EjectedUntil:        srv.outlier.ejectedUntil,
		EjectionTime:        srv.outlier.ejectionTime,
		PlanRejectedUntil:   make(map[string]time.Duration),
		SlowStartTokens:     srv.slowStart.tokens,
	}
	for _, abandoned := range c.requests.slots.abandoned {
		if abandoned.server == srv {
			saved.AbandonedUntil = append(saved.AbandonedUntil, abandoned.until)
		}
	}
	for plan, until := range srv.outlier.planRejectedUntil {
		if until > c.now {
			saved.PlanRejectedUntil[plan.Name] = until
		}
	}
	return saved
}

// restoreServer restores the state of a server if it is still the same incarnation.
func (c *Controller) restoreServer(saved *ServerCheckpoint, trust Trust) {
	srv := c.fleet.servers[saved.Server]
	if srv == nil || !isSameIncarnation(srv.bootTime(), saved.StartedAt) {
		return
	}
	// The number of samples is not stored; the estimate is most likely based on several.
	srv.latency = latencyEstimate{
		seconds:   saved.Latency,
		updatedAt: saved.LatencyAt,
		samples:   latencyPriorSamples,
	}
	c.restoreOutlier(&srv.outlier, saved)
	if trust != TrustAll {
		return
	}
	if srv.slowStart.isActive {
		srv.slowStart.tokens = saved.SlowStartTokens
	}
	c.restoreAbandoned(srv, saved)
}

// restoreOutlier restores a server's failures and ejection. Times in the future are limited to those that an ejection or
// a rejection now would set.
func (c *Controller) restoreOutlier(outlier *outlierDetector, saved *ServerCheckpoint) {
	outlier.failureRate = saved.FailureRate
	outlier.failureRateAt = saved.FailureRateAt
	outlier.consecutiveFailures = saved.ConsecutiveFailures
	outlier.ejectedUntil = min(saved.EjectedUntil, c.now+maxEjectionTime)
	outlier.ejectionTime = min(saved.EjectionTime, maxEjectionTime)
	for name, until := range saved.PlanRejectedUntil {
		if plan := c.scheduler.plansByName[name]; plan != nil {
			outlier.planRejectedUntil[plan] = min(until, c.now+planRejectionTime)
		}
	}
}

// restoreAbandoned restores the predecessor's attempts as abandoned ones. They count against the concurrency limit and a
// slow start until they are presumed to have ended.
func (c *Controller) restoreAbandoned(srv *server, saved *ServerCheckpoint) {
	until := c.now + durationOf(c.fleet.latency.mean)
	for range min(saved.InFlight, maxRestoredAbandoned) {
		c.requests.slots.abandon(srv, until)
	}
	for i := range min(len(saved.AbandonedUntil), maxRestoredAbandoned) {
		if until := saved.AbandonedUntil[i]; until > c.now {
			c.requests.slots.abandon(srv, min(until, c.now+maxAbandonedTime))
		}
	}
}

// image returns the stored form of a server for this controller, without IsTracked.
func (s *server) image() ServerImage {
	image := ServerImage{
		Endpoint:            s.Endpoint,
		IsListed:            s.isListed,
		InFlight:            s.inFlight,
		Abandoned:           s.abandoned,
		LastActivityAt:      s.lastActivityAt,
		Latency:             s.latency.seconds,
		LatencyAt:           s.latency.updatedAt,
		LatencySamples:      s.latency.samples,
		Slowdown:            s.load.slowdown,
		Utilization:         s.load.utilization,
		ReportedAt:          s.load.reportedAt,
		ConsecutiveFailures: s.outlier.consecutiveFailures,
		FailureRate:         s.outlier.failureRate,
		FailureRateAt:       s.outlier.failureRateAt,
		EjectedUntil:        s.outlier.ejectedUntil,
		EjectionTime:        s.outlier.ejectionTime,
		IsProbing:           s.outlier.isProbing,
		PlanRejectedUntil:   make(map[int]time.Duration, len(s.outlier.planRejectedUntil)),
		IsWarmingUp:         s.slowStart.isActive,
		WarmupStart:         s.slowStart.startedAt,
		SlowStartTokens:     s.slowStart.tokens,
		SlowStartTokensAt:   s.slowStart.updatedAt,
	}
	for plan, until := range s.outlier.planRejectedUntil {
		image.PlanRejectedUntil[plan.index] = until
	}
	return image
}

// resumeServers restores the servers of an image, which it returns in the image's order, and the abandoned attempts.
func (c *Controller) resumeServers(image *Image) ([]*server, error) {
	var servers []*server
	for i := range image.Servers {
		saved := &image.Servers[i]
		srv, err := saved.server(c.scheduler.plans)
		if err != nil {
			return nil, fmt.Errorf("server %d: %w", saved.Server, err)
		}
		servers = append(servers, srv)
		if saved.IsTracked {
			c.fleet.servers[srv.Server] = srv
			c.fleet.sortedServers = append(c.fleet.sortedServers, srv)
		}
	}
	for _, saved := range image.Abandoned {
		if !isIndex(saved.Server, len(servers)) {
			return nil, fmt.Errorf("abandoned attempt: server index %d is out of range", saved.Server)
		}
		c.requests.slots.abandoned = append(c.requests.slots.abandoned, abandonedAttempt{servers[saved.Server], saved.Until})
	}
	return servers, nil
}

func (saved *ServerImage) server(plans []*planQueue) (*server, error) {
	srv := &server{
		Endpoint:       saved.Endpoint,
		isListed:       saved.IsListed,
		inFlight:       saved.InFlight,
		abandoned:      saved.Abandoned,
		lastActivityAt: saved.LastActivityAt,
		latency: latencyEstimate{
			seconds:   saved.Latency,
			updatedAt: saved.LatencyAt,
			samples:   saved.LatencySamples,
		},
		load: loadEstimate{
			slowdown:    saved.Slowdown,
			utilization: saved.Utilization,
			reportedAt:  saved.ReportedAt,
		},
		outlier: outlierDetector{
			consecutiveFailures: saved.ConsecutiveFailures,
			failureRate:         saved.FailureRate,
			failureRateAt:       saved.FailureRateAt,
			ejectedUntil:        saved.EjectedUntil,
			ejectionTime:        saved.EjectionTime,
			isProbing:           saved.IsProbing,
			planRejectedUntil:   make(map[*planQueue]time.Duration, len(saved.PlanRejectedUntil)),
		},
		slowStart: slowStart{
			isActive:  saved.IsWarmingUp,
			startedAt: saved.WarmupStart,
			tokens:    saved.SlowStartTokens,
			updatedAt: saved.SlowStartTokensAt,
		},
	}
	for i, until := range saved.PlanRejectedUntil {
		if !isIndex(i, len(plans)) {
			return nil, fmt.Errorf("plan index %d is out of range", i)
		}
		srv.outlier.planRejectedUntil[plans[i]] = until
	}
	return srv, nil
}
