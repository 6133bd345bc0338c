package control

import (
	"math"
	"time"
)

const (
	serverLatencyGain       = 0.2  // gain of a server's latency estimate
	latencyDecaySeconds     = 5.0  // time constant with which the weight of latency samples decays
	latencyPriorSamples     = 6.0  // weight of the fleet's latency, in recent samples
	slowdownDecaySeconds    = 40.0 // time constant with which a reported slowdown decays
	utilizationDecaySeconds = 2.0  // time constant with which a reported utilization decays
	minSlowdown             = 1.5  // slowdowns below it count as none
	minFleetLatency         = 1e-3 // seconds
)

// latencyEstimate is a server's latency as measured by attempts of this gateway.
type latencyEstimate struct {
	seconds   float64 // exponential average; 0 is none
	updatedAt time.Duration
	samples   float64 // decaying number of samples
}

// add adds the latency of an answer, or the time after which an attempt timed out.
func (l *latencyEstimate) add(now time.Duration, seconds float64) {
	if l.seconds == 0 {
		l.seconds = seconds
	}
	l.seconds += serverLatencyGain * (seconds - l.seconds)
	l.samples = 1 + l.samples*decayFactor(now-l.updatedAt, latencyDecaySeconds)
	l.updatedAt = now
}

// expectedSeconds returns the expected latency of the server, which moves from its own estimate to the
// fleet's while there are no new samples.
func (l *latencyEstimate) expectedSeconds(now time.Duration, fleetLatency float64) float64 {
	latency := fleetLatency
	if l.samples > 0 {
		freshSamples := l.samples * decayFactor(now-l.updatedAt, latencyDecaySeconds)
		latency += (l.seconds - fleetLatency) * freshSamples / (freshSamples + latencyPriorSamples)
	}
	return latency
}

// loadEstimate is a server's load according to its latest report.
type loadEstimate struct {
	slowdown    float64       // latency relative to the mean of all servers
	utilization float64       // fraction of its cores that is busy
	reportedAt  time.Duration // 0 is never
}

// isRecent reports whether the latest report still counts.
func (l *loadEstimate) isRecent(now time.Duration) bool {
	return l.reportedAt > 0 && now < l.reportedAt+durationOf(slowdownDecaySeconds)
}

// expected returns the expected load of the server, which moves from its latest report to the given values
// for a server without reports.
func (l *loadEstimate) expected(
	now time.Duration, unknownSlowdown, unknownUtilization float64,
) (slowdown, utilization float64) {
	slowdown = unknownSlowdown
	utilization = unknownUtilization
	if l.reportedAt > 0 {
		since := now - l.reportedAt
		slowdown += (l.slowdown - slowdown) * decayFactor(since, slowdownDecaySeconds)
		utilization += (l.utilization - utilization) * decayFactor(since, utilizationDecaySeconds)
	}
	return slowdown, utilization
}

// recordLoadReport records a report, which covers the requests of all gateways. The reported mean latency
// starts at zero when a server starts and changes slowly, so it can show that a server is slow but not that
// it is fast: otherwise all gateways would consider a server that has just started the fastest.
func (f *serverFleet) recordLoadReport(now time.Duration, srv *server, report *LoadReport) {
	reportedLatency := report.MeanLatencyMS / 1000
	f.utilization.add(math.Min(1, report.Utilization), fleetEstimateGain)
	f.reportedLatency.add(reportedLatency, fleetEstimateGain)
	own := f.positiveLatency() / 2
	srv.load.slowdown = (reportedLatency + own) / (f.reportedLatency.mean + own)
	if srv.load.slowdown < minSlowdown {
		srv.load.slowdown = 1
	}
	srv.load.utilization = math.Min(1, report.Utilization)
	srv.load.reportedAt = now
}

// positiveLatency returns the fleet's latency in seconds, but at least minFleetLatency.
func (f *fleetEstimate) positiveLatency() float64 { return math.Max(f.latency.mean, minFleetLatency) }
