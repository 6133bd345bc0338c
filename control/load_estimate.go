package control

import (
	"math"
	"time"
)

const (
	serverLatencyGain       = 0.2  // gain of a server's latency estimate
	latencyDecaySeconds     = 5.0  // time constant of the trust in an estimate without new samples
	latencyPriorSamples     = 6.0  // recent samples that weigh as much as the fleet's latency
	slowdownDecaySeconds    = 40.0 // time constant of a reported slowdown
	utilizationDecaySeconds = 2.0  // time constant of a reported utilization
	minSlowdown             = 1.5  // below it, a server counts as fast as the fleet
	minFleetLatency         = 1e-3 // seconds
)

// latencyEstimate is a server's latency by attempts of this gateway.
type latencyEstimate struct {
	seconds   float64 // smoothed; 0 is none
	updatedAt time.Duration
	samples   float64 // decaying number of them
}

// add takes the latency of an answer, or the time after which there was none.
func (l *latencyEstimate) add(now time.Duration, seconds float64) {
	if l.seconds == 0 {
		l.seconds = seconds
	}
	l.seconds += serverLatencyGain * (seconds - l.seconds)
	l.samples = 1 + l.samples*decayFactor(now-l.updatedAt, latencyDecaySeconds)
	l.updatedAt = now
}

// expectedSeconds is the latency to expect of the server, which goes from its own to the fleet's where
// there are no new samples.
func (l *latencyEstimate) expectedSeconds(now time.Duration, fleetLatency float64) float64 {
	latency := fleetLatency
	if l.samples > 0 {
		freshSamples := l.samples * decayFactor(now-l.updatedAt, latencyDecaySeconds)
		latency += (l.seconds - fleetLatency) * freshSamples / (freshSamples + latencyPriorSamples)
	}
	return latency
}

// loadEstimate is a server's load by its latest report.
type loadEstimate struct {
	slowdown    float64       // times the mean latency of all servers
	utilization float64       // part of its cores that is busy
	reportedAt  time.Duration // 0 is never
}

// isRecent tells whether the latest report still counts.
func (l *loadEstimate) isRecent(now time.Duration) bool {
	return l.reportedAt > 0 && now < l.reportedAt+durationOf(slowdownDecaySeconds)
}

// expected returns what to expect of the server, which goes from its latest report to the values of one of
// which nothing is known.
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

// recordLoadReport takes a report, which covers the requests of all gateways. Its mean latency starts at
// zero and follows slowly: it can show that a server is slow, but not that it is fast. Guards against a
// server just started that all gateways find the fastest.
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

// positiveLatency is the fleet's latency in seconds, or a small one where none is known.
func (f *fleetEstimate) positiveLatency() float64 { return math.Max(f.latency.mean, minFleetLatency) }
