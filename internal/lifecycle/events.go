package lifecycle

// Event is something that happened to the daemon, or that was requested of it.
type Event interface{ isEvent() }

// Listening reports that clients can connect.
type Listening struct{}

// ServicesReady reports that every required service has been able to serve.
type ServicesReady struct{}

// ReloadRequested requests a reload of the configuration.
type ReloadRequested struct{ Cause string }

// ReloadFinished reports the end of a reload; Err is nil where the new configuration is in force.
type ReloadFinished struct{ Err error }

// UpgradeRequested requests that a new process takes this one's place.
type UpgradeRequested struct{ Cause string }

// SuccessorPrepared reports that the successor could serve and waits for its checkpoint.
type SuccessorPrepared struct{}

// SuccessorTookOver reports that the successor accepts connections.
type SuccessorTookOver struct{}

// SuccessorConfirmed reports that the successor has served to the end of its probation.
type SuccessorConfirmed struct{}

// SuccessorLost reports that the successor has ended, or was killed for exceeding its time.
type SuccessorLost struct{ Err error }

// PredecessorEnded reports that the process that this one replaces has ended.
type PredecessorEnded struct{}

// StopRequested requests the daemon's end.
type StopRequested struct{ Cause string }

// Finished reports that the drain has ended, or, with Err, that the daemon failed.
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
