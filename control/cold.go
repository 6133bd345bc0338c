package control

import "math"

// Tuned constants of slow start.
const (
	minWarmupFraction       = 0.1  // of a server's capacity
	slowStartBudgetFraction = 0.32 // part of a warming server's budget that is used
)

// learn takes an entry of the list before it replaces what was listed. A server that started
// anew has no record, and starts cold with nothing to spend.
func (c *Controller) learn(s *server, m Endpoint) {
	if m.HasStartedAt && (!s.HasStartedAt || m.StartedAt > s.StartedAt) {
		s.latency, s.failing, s.strikes, s.asideUntil, s.aside, s.samples, s.toldAt = 0, 0, 0, 0, 0, 0, 0
		clear(s.shut)
	}
	if m.HasStartedAt && c.now < m.StartedAt+c.set.WarmupTime {
		s.coldRamp, s.coldFrom = true, max(m.StartedAt, s.coldFrom)
		// Guards against a large group that comes with its first requests all at once, or not at all
		// while the server is cold: what each may send takes it longer to earn than that.
		s.tokens, s.tokensAt = -c.rng.Float64()*c.meanUnits, c.now
	}
}

// work is what a request counts for in what all share, who go by one mean of it. Guards against any number
// of units that a client names where the settings name no most.
func (c *Controller) work(units float64) float64 {
	if c.set.MaxUnits == 0 {
		return 1
	}
	return units
}

// warmth is the part of its capacity that a server has reached at least.
func (c *Controller) warmth(s *server) float64 {
	if c.set.WarmupTime <= 0 {
		return 1
	}
	x := (c.now - s.coldFrom).Seconds() / c.set.WarmupTime.Seconds()
	initial := math.Max(minWarmupFraction, c.set.InitialCapacity)
	return math.Min(1, initial+(1-c.set.InitialCapacity)*math.Max(0, x))
}

// coldRoom holds a cold server under this gateway's part of its budget: what warm
// servers do for this gateway, times the warmth and the multiple; one attempt at a
// time is never more than it can do.
func (c *Controller) coldRoom(s *server) bool {
	if !s.coldRamp {
		return true
	}
	if c.now >= s.coldFrom+c.set.WarmupTime {
		s.coldRamp = false
		return true
	}
	w := c.warmth(s)
	if float64(s.inflight+s.ghosts) >= math.Max(1, math.Floor(w*slotsPerServer)) {
		return false
	}
	// Guards against one attempt a second each by many gateways: a token bucket, not a window.
	// What is sent may go beyond what was earned and is paid back, so a part below one request flows.
	budget := slowStartBudgetFraction * c.set.OverloadMultiple * w * c.warmRate()
	rate := c.portion * math.Max(budget, 1/float64(c.set.GroupSize))
	s.tokens += rate * (c.now - s.tokensAt).Seconds()
	s.tokens, s.tokensAt = math.Min(s.tokens, rate*c.set.OverloadWindow.Seconds()/2), c.now
	return s.tokens >= 0
}

// warmRate is the units a second that a warm server does for this gateway. Guards against servers
// that are listed long after they died, among which what the others do would seem little: as many of
// those listed are taken to be alive as of those lately tried.
func (c *Controller) warmRate() float64 {
	warm, good, dead := 0.0, 0.0, 0.0
	for _, s := range c.order {
		switch {
		case !s.usable() || s.coldRamp:
			continue
		case s.strikes >= ejectionFailures:
			dead++
		case c.known(s):
			good++
		}
		warm++
	}
	if dead > 0 {
		warm *= (1 + good) / (1 + good + dead)
	}
	return c.servedRate / math.Max(1, warm)
}
