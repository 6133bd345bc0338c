package config

import (
	"time"

	"lockflow/control"
)

// What PROTOCOL says of planned restarts.
const (
	lateConnectionTime = 400 * time.Millisecond // for which new connections go on coming
	killAfter          = 700 * time.Millisecond // SIGKILL comes no sooner than this after the longest deadline
	maxCountedDeadline = 3 * time.Second        // of which no more than this is counted
)

const (
	exitMargin  = 400 * time.Millisecond // of SIGKILL: the last answers are written and the process ends
	acceptDelay = 100 * time.Millisecond // by which a node that gets little CPU may take a connection late
	maxAccept   = time.Second
)

// PlatformDrain fits what PROTOCOL says of planned restarts to any deadlines.
var PlatformDrain = platformDrain(maxCountedDeadline)

// platformDrain fits it to a longest deadline. What could still come anew is let in, and what is held
// has its time until the last moment from which the process is sure to be gone before SIGKILL.
func platformDrain(longest time.Duration) Drain {
	d := Drain{Idle: lateConnectionTime + acceptDelay}
	d.Max = max(min(longest, maxCountedDeadline)+killAfter-exitMargin, d.Idle)
	// Half of what is left is for requests that came last.
	d.Accept = min(maxAccept, (d.Idle+d.Max)/2)
	return d
}

// longestDeadline is the longest deadline that a class has.
func longestDeadline(s control.Settings) time.Duration {
	var d time.Duration
	for _, k := range s.Classes {
		d = max(d, k.Deadline)
	}
	return d
}
