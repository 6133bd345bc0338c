package fake

import "time"

// arrival is a request received while the server was warming up.
type arrival struct {
	at    time.Time
	units float64
}

// Collapsed reports whether the server has collapsed, and the maximum ratio of the units received within OverloadWindow
// to the number at which it collapses.
func (r *Running) Collapsed() (hasCollapsed bool, maxOverload float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasCollapsed, r.maxOverload
}

// speed returns the current speed of the server as a fraction of its full speed. r.mu must be locked.
func (r *Running) speed(now time.Time) float64 {
	if r.WarmUp <= 0 {
		return 1
	}
	return min(1, r.InitialSpeed+(1-r.InitialSpeed)*now.Sub(r.startedAt).Seconds()/r.WarmUp.Seconds())
}

// canCollapse reports whether overload is measured, which is so while a server with an overload limit warms up. r.mu must
// be locked.
func (r *Running) canCollapse(now time.Time) bool {
	isConfigured := r.OverloadWindow > 0 && r.OverloadFactor > 0 && r.Cores > 0
	return isConfigured && r.speed(now) < 1
}

// recordLoad records a request's units and reports whether the server is still working, that is, has not collapsed. r.mu
// must be locked.
func (r *Running) recordLoad(now time.Time, units float64) bool {
	if !r.canCollapse(now) {
		return !r.hasCollapsed
	}
	r.recentArrivals = append(r.recentArrivals, arrival{at: now, units: units})
	for len(r.recentArrivals) > 0 && now.Sub(r.recentArrivals[0].at) > r.OverloadWindow {
		r.recentArrivals = r.recentArrivals[1:]
	}
	received := 0.0
	for _, a := range r.recentArrivals {
		received += a.units
	}
	capacity := r.OverloadWindow.Seconds() * r.speed(now) * float64(r.Cores) / r.Work.Seconds()
	r.maxOverload = max(r.maxOverload, received/(r.OverloadFactor*capacity))
	if received > r.OverloadFactor*capacity && len(r.recentArrivals) > 1 { // a single request never causes a collapse
		r.hasCollapsed = true
	}
	return !r.hasCollapsed
}
