package service

import (
	"time"

	"lockflow/control"
)

// Module makes the decisions of one service. It is used by one goroutine at a time. A module that implements
// io.Closer is closed when its loop ends, even if the loop ended because the module panicked.
type Module interface {
	// Handle reports an event to the module. It returns the actions to be executed; the slice is valid
	// until the next call.
	Handle(now time.Duration, e control.Event) []control.Action
}

// StatefulModule is a Module whose state (spent quotas and learned values) can be transferred; see the methods
// of control.Controller. A service whose module does not implement it starts with empty state.
type StatefulModule interface {
	Module
	Checkpoint(now time.Duration) control.Checkpoint
	HandOver(now time.Duration, fraction float64) control.Checkpoint
	Restore(now time.Duration, c control.Checkpoint, trust control.Trust)
	ReclaimRates(now time.Duration, returned *control.Checkpoint)
	PredecessorEnded()
}

// serverRestorer is a StatefulModule that can restore the state of servers later than Restore, once they are listed.
type serverRestorer interface {
	RestoreServers(now time.Duration, c control.Checkpoint, trust control.Trust)
}

// concurrencyLimiter is a Module that reports how many attempts it allows in flight at once.
type concurrencyLimiter interface {
	ConcurrencyLimit() float64
}

// The loop checks at run time whether a module has these methods; control.Controller must have them.
var (
	_ StatefulModule     = (*control.Controller)(nil)
	_ serverRestorer     = (*control.Controller)(nil)
	_ concurrencyLimiter = (*control.Controller)(nil)
)
