package service

import "time"

// moduleClock is the clock of a service's module: the Unix time at startedAt plus the monotonic time since. Steps of
// the wall clock do not affect it, and its times are comparable with those of an earlier process on the same machine.
type moduleClock struct{ startedAt time.Time }

// at converts t, which has a monotonic reading, to the module's clock.
func (c moduleClock) at(t time.Time) time.Duration {
	return unixTime(c.startedAt) + t.Sub(c.startedAt)
}

// now returns the current time on the module's clock.
func (c moduleClock) now() time.Duration { return c.at(time.Now()) }

// timeOf is the inverse of at.
func (c moduleClock) timeOf(moduleTime time.Duration) time.Time {
	return c.startedAt.Add(moduleTime - unixTime(c.startedAt))
}

// unixTime returns t as Unix time. It is only for values in wall time: a clock's origin and the boot times of servers.
func unixTime(t time.Time) time.Duration {
	return time.Duration(t.UnixNano()) //nolint:forbidigo // callers keep the time.Time for spans
}
