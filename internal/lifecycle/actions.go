package lifecycle

// Action is an action that the caller of Machine.Handle has to perform.
type Action interface{ isAction() }

// LogTransition logs a transition and its cause. If both states are the same, it logs that a request was ignored.
type LogTransition struct {
	From, To State
	Cause    string
}

// StartReload starts a reload. Its end has to be reported as ReloadFinished. No other reload starts before that.
type StartReload struct{}

// SpawnSuccessor starts a successor. Its progress has to be reported as SuccessorPrepared, SuccessorTookOver and
// SuccessorConfirmed, in this order, and its failure at any point as SuccessorLost.
type SpawnSuccessor struct{}

// SendCheckpoint sends the successor a checkpoint with its fraction of the remaining quota.
type SendCheckpoint struct{}

// YieldToSuccessor stops accepting connections, since the successor accepts them.
type YieldToSuccessor struct{}

// ResumeAlone continues without the successor. It reclaims the quota that was sent and, after YieldToSuccessor, resumes
// accepting connections.
type ResumeAlone struct{}

// KillSuccessor kills the successor. None of its events has to be reported after that.
type KillSuccessor struct{}

// ForwardReload forwards a reload request to the successor, the process that will remain.
type ForwardReload struct{}

// StartDrain starts the drain, whose end has to be reported as Finished.
type StartDrain struct{}

// NotifySupervisor notifies the service manager.
type NotifySupervisor struct{ Notification Notification }

// Notification is a change of state of which the service manager is notified.
type Notification int

// The notifications.
const (
	NotifyReady     Notification = iota // the daemon serves; also sent at the end of a reload
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
