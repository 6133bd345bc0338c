package control

import (
	"math"
	"time"
)

// Tuned constants of the choice of server.
const (
	triedServerPenalty      = 4.0         // factor on the cost of a server that this request has tried
	ejectedServerPenalty    = 1e6         // factor on the cost of an ejected server, the last choice
	failureRateGain         = 0.15        // gain of a server's failure rate
	failureRatePenalty      = 5.0         // weight of the square of the failure rate above one failure's
	tieBreakNoise           = 0.02        // random part of a cost, so that gateways choose differently
	latencyDecaySeconds     = 5.0         // time constant of the trust in an estimate without new samples
	latencyPriorSamples     = 6.0         // recent samples that weigh as much as the fleet's latency
	slowdownDecaySeconds    = 40.0        // time constant of a reported slowdown
	minSlowdown             = 1.5         // below it, a server counts as fast as the fleet
	utilizationDecaySeconds = 2.0         // time constant of a reported utilization
	utilizationPenalty      = 3.0         // weight of the fourth power of the utilization
	unknownServerPenalty    = 3.0         // factor on the cost of a server without a recent report
	minReportingServers     = 4           // with fewer, servers without a report are preferred
	initialEjectionTime     = time.Second // doubles at each ejection without a success between
	maxEjectionTime         = 8 * time.Second
)

func (s *server) usable() bool { return s.listed && s.State == Active }

func (c *Controller) aside(s *server) bool {
	return s.strikes >= ejectionFailures && c.now < s.asideUntil
}

// pick is the server of least expected wait that the rules allow; nil is to wait.
func (c *Controller) pick(r *request) *server {
	var best *server
	bestCost := math.Inf(1)
	unknown := unknownServerPenalty
	if c.count(c.known) < minReportingServers {
		unknown = 1 / unknownServerPenalty
	}
	for _, s := range c.order {
		if !s.usable() || !c.sameGroup(r, s) || !c.coldRoom(s) {
			continue
		}
		cost := c.cost(s, unknown)
		for _, t := range r.tried {
			if t == s.Server {
				cost *= triedServerPenalty
			}
		}
		if c.aside(s) || s.probing || c.now < s.shut[r.plan] {
			cost *= ejectedServerPenalty
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

func (c *Controller) sameGroup(r *request, s *server) bool {
	if r.group == nil || r.class.Idempotency != IdempotencyKeyed {
		return true
	}
	if c.now >= r.firstRun+r.class.RepeatWindow { // it waited in the queue for too long
		return false
	}
	if r.class.KeyScope == ScopeAll {
		return true
	}
	return r.class.KeyScope == ScopeZone && r.group.Zone == s.Zone ||
		r.class.KeyScope == ScopeCell && r.group.Cell == s.Cell
}

// cost is the expected wait at a server: its latency times what it holds of ours, and more the
// busier it says its cores are. Own answers count by their number, as the work of each is a draw.
// What is not known is taken to be as with the fleet; a server not seen of late costs unknown times
// as much. Guards against each of many gateways that tries all servers in turn, and so the slow
// ones, and opens connections to all.
func (c *Controller) cost(s *server, unknown float64) float64 {
	base := math.Max(c.latency, 1e-3)
	lat, slow, busy := base, unknown, c.util
	if s.samples > 0 {
		fresh := s.samples * math.Exp(-(c.now-s.latencyAt).Seconds()/latencyDecaySeconds)
		lat += (s.latency - base) * fresh / (fresh + latencyPriorSamples)
	}
	if s.coldRamp { // none has told for long of one, and its budget is below what it can do
		slow = 1
	}
	if s.toldAt > 0 {
		since := (c.now - s.toldAt).Seconds()
		slow += (s.slow - slow) * math.Exp(-since/slowdownDecaySeconds)
		busy += (s.util - busy) * math.Exp(-since/utilizationDecaySeconds)
	}
	lat = math.Max(lat, base*slow)
	if s.inflight > 0 { // a server that is silent is at least as slow as its silence
		lat = math.Max(lat, (c.now - s.heard).Seconds())
	}
	lat *= 1 + utilizationPenalty*busy*busy*busy*busy
	n := float64(s.inflight + s.ghosts)
	cost := lat * (n + 1)
	f := math.Max(0, c.failing(s)-failureRateGain) // one failure says nothing
	return cost * (1 + failureRatePenalty*f*f) * (1 + tieBreakNoise*c.rng.Float64())
}

// known tells whether a server has told of its load of late.
func (c *Controller) known(s *server) bool {
	return s.toldAt > 0 && c.now < s.toldAt+seconds(slowdownDecaySeconds)
}

// failing is the part of a server's attempts that is taken to fail. It is forgotten with time,
// as a server that is not chosen has no chance to do better.
func (c *Controller) failing(s *server) float64 {
	return s.failing * math.Exp(-(c.now-s.failingAt).Seconds()/latencyDecaySeconds)
}

// fared takes whether an attempt at a server failed: 1 or 0. Guards against a server that fails
// part of its requests at once: never so often in a row as to be put aside, it looks idle and
// draws the rest.
func (c *Controller) fared(s *server, failed float64) {
	f := c.failing(s)
	s.failing, s.failingAt = f+failureRateGain*(failed-f), c.now
}

// strike counts a failure that speaks against the server.
func (c *Controller) strike(s *server, n int) {
	s.strikes += n
	s.probing = false
	if s.strikes >= ejectionFailures && c.now >= s.asideUntil {
		s.aside = min(max(initialEjectionTime, 2*s.aside), maxEjectionTime)
		s.asideUntil = c.now + s.aside
	}
}

func (c *Controller) sawLatency(s *server, t float64) {
	if s.latency == 0 {
		s.latency = t
	}
	s.latency += serverLatencyGain * (t - s.latency)
	s.samples = 1 + s.samples*math.Exp(-(c.now-s.latencyAt).Seconds()/latencyDecaySeconds)
	s.latencyAt = c.now
}

// reported takes what a server tells of its load, which is of all gateways' requests and so the most
// that one of many gateways can know. Its mean time follows slowly and begins at nothing: it tells
// a slow server from others, beside the time that work takes here, but not one that is faster.
// Guards against a server just started that all find the fastest.
func (c *Controller) reported(s *server, l *LoadReport) {
	if l.Utilization < 0 || l.MeanLatencyMS < 0 {
		return
	}
	c.reports++
	gain := math.Max(fleetEstimateGain, 1/c.reports)
	c.util += gain * (math.Min(1, l.Utilization) - c.util)
	c.meanTold += gain * (l.MeanLatencyMS/1000 - c.meanTold)
	own := math.Max(c.latency, 1e-3) / 2
	if s.slow = (l.MeanLatencyMS/1000 + own) / (c.meanTold + own); s.slow < minSlowdown {
		s.slow = 1
	}
	s.util, s.toldAt = math.Min(1, l.Utilization), c.now
	c.utilSum += s.util
	c.utilN++
}
