package lifecycle

// Event reports a change in the daemon or a request to it.
type Event interface{ isEvent() }

// Listening reports that the listeners are open and clients can connect.
type Listening struct{}

// ServicesReady reports that every required service is able to serve.
type ServicesReady struct{}

// ReloadRequested requests a reload of the configuration.
type ReloadRequested struct{ Cause string }

// ReloadFinished reports the end of a reload. If Err is nil, the new configuration is in force.
type ReloadFinished struct{ Err error }

// UpgradeRequested requests that a new process replaces this one.
type UpgradeRequested struct{ Cause string }

// SuccessorPrepared reports that the successor is able to serve and waits for its checkpoint.
type SuccessorPrepared struct{}

// SuccessorTookOver reports that the successor accepts connections.
type SuccessorTookOver struct{}

// SuccessorConfirmed reports that the successor has served to the end of its probation.
type SuccessorConfirmed struct{}

// SuccessorLost reports that the successor has ended, could not be started, or was killed because it timed out.
type SuccessorLost struct{ Err error }

// PredecessorEnded reports the end of the process that this one has replaced.
type PredecessorEnded struct{}

// StopRequested requests that the daemon drains and ends.
type StopRequested struct{ Cause string }

// Finished reports that the daemon has ended: after a drain, or with Err because it failed.
type Finished struct{ Err error }

func (Listening) isEvent()          {}
func (ServicesReady) isEvent()      {}
func (ReloadRequested) isEvent()    {}
func (ReloadFinished) isEvent()     {}
func (UpgradeRequested) isEvent()   {}
func (SuccessorPrepared) isEvent()  {}
func (SuccessorTookOver) isEvent()  {}
func (SuccessorConfirmed) isEvent() {}
func (SuccessorLost) isEvent()      {}
func (PredecessorEnded) isEvent()   {}
func (StopRequested) isEvent()      {}
func (Finished) isEvent()           {}
