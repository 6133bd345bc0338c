package lifecycle

// Action is something that the caller of Machine.Handle has to do.
type Action interface{ isAction() }

// LogTransition logs a transition and its cause, or, where both states are the same, that a request was ignored.
type LogTransition struct {
	From, To State
	Cause    string
}

// StartReload starts a reload. Its end has to be reported as ReloadFinished; no other reload starts before.
type StartReload struct{}

// SpawnSuccessor starts a successor. What it does has to be reported as SuccessorPrepared, SuccessorTookOver and
// SuccessorConfirmed, in this order, or as SuccessorLost at any point.
type SpawnSuccessor struct{}

// SendCheckpoint sends the successor its part of what is left to spend.
type SendCheckpoint struct{}

// YieldToSuccessor stops accepting connections: the successor accepts them.
type YieldToSuccessor struct{}

// ResumeAlone continues without the successor: it reclaims the part that was sent and, after YieldToSuccessor,
// resumes accepting connections.
type ResumeAlone struct{}

// KillSuccessor kills the successor; no event of it has to be reported after that.
type KillSuccessor struct{}

// ForwardReload has the successor reload: a request to this process is meant for the one that remains.
type ForwardReload struct{}

// StartDrain starts the drain. Its end has to be reported as Finished.
type StartDrain struct{}

// NotifySupervisor notifies the service manager.
type NotifySupervisor struct{ Notification Notification }

// Notification is what a service manager is notified of.
type Notification int

// The notifications.
const (
	NotifyReady     Notification = iota // the daemon serves; also at the end of a reload
	NotifyReloading                     // a reload has started
	NotifyStopping                      // the daemon drains
)

func (LogTransition) isAction()    {}
func (StartReload) isAction()      {}
func (SpawnSuccessor) isAction()   {}
func (SendCheckpoint) isAction()   {}
func (YieldToSuccessor) isAction() {}
func (ResumeAlone) isAction()      {}
func (KillSuccessor) isAction()    {}
func (ForwardReload) isAction()    {}
func (StartDrain) isAction()       {}
func (NotifySupervisor) isAction() {}
