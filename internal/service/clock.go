package service

import "time"

// moduleClock is the clock of a service's module: Unix time at its start, and monotonic time since. So a step of
// the wall clock does not show, and times of an earlier process on the same clock compare with it.
type moduleClock struct{ startedAt time.Time }

// at returns a moment, which has a monotonic reading, on the module's clock.
func (c moduleClock) at(t time.Time) time.Duration {
	return unixTime(c.startedAt) + t.Sub(c.startedAt)
}

// now is the module's time.
func (c moduleClock) now() time.Duration { return c.at(time.Now()) }

// timeOf is the inverse of at.
func (c moduleClock) timeOf(moduleTime time.Duration) time.Time {
	return c.startedAt.Add(moduleTime - unixTime(c.startedAt))
}

// unixTime is the wall time of a moment, for values in wall time: a clock's origin, and boot times of servers.
func unixTime(t time.Time) time.Duration {
	return time.Duration(t.UnixNano()) //nolint:forbidigo // callers keep the time.Time for spans
}
