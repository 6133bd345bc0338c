package service

import (
	"time"

	"lockflow/control"
)

// Module decides for one service. It is used by one goroutine at a time. A module that is an io.Closer is
// closed when its loop ends, also after a panic of its own.
type Module interface {
	// Handle reports an event to the module. It returns the actions to be executed; the slice is valid
	// until the next call.
	Handle(now time.Duration, e control.Event) []control.Action
}

// StatefulModule is a Module that can transfer what it has spent and learned; see the methods of
// control.Controller. A service whose module is not one starts without that.
type StatefulModule interface {
	Module
	Checkpoint(now time.Duration) control.Checkpoint
	HandOver(now time.Duration, give float64) control.Checkpoint
	Restore(now time.Duration, c control.Checkpoint, trust control.Trust)
	ReclaimRates(now time.Duration, given *control.Checkpoint)
	PredecessorEnded()
}

// serverRestorer is a StatefulModule that can take over servers after Restore, once it knows them.
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
