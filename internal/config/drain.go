package config

import (
	"time"

	"lockflow/control"
)

// The platform's schedule of planned restarts, from SIGTERM.
const (
	lateConnectionPeriod = 400 * time.Millisecond // new connections may still arrive
	minKillDelay         = 700 * time.Millisecond // SIGKILL comes this long after the longest deadline, or later
	maxDrainDeadline     = 3 * time.Second        // longer deadlines count as this
)

const (
	exitMargin     = 400 * time.Millisecond // before SIGKILL, to write the last responses and exit
	maxAcceptDelay = 100 * time.Millisecond // by which a node short of CPU may accept a connection late
	maxAccept      = time.Second
)

// PlatformDrain fits the platform's schedule for any deadlines.
var PlatformDrain = platformDrain(maxDrainDeadline)

// platformDrain returns the drain that fits the platform's schedule for a longest deadline. Connections
// that may still arrive are accepted, and requests in flight have until the last moment from which the
// process is sure to exit before SIGKILL.
func platformDrain(longest time.Duration) Drain {
	d := Drain{Idle: lateConnectionPeriod + maxAcceptDelay}
	d.Max = max(min(longest, maxDrainDeadline)+minKillDelay-exitMargin, d.Idle)
	d.Accept = min(maxAccept, (d.Idle+d.Max)/2) // the second half is for the requests accepted last
	return d
}

// longestDeadline returns the longest deadline of the classes.
func longestDeadline(settings control.Settings) time.Duration {
	var longest time.Duration
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
