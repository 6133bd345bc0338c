package control

import "time"

// Action is something that the gateway has to do.
type Action interface{ isAction() }

// Send starts an attempt. The attempts of a request are numbered 0, 1, 2 in order.
type Send struct {
	ID           string
	Server       uint32
	Timeout      time.Duration // 0 is until the client gives up
	WriteTimeout time.Duration // a request that is not completely written by then is not sent; 0 is any time
}

// CancelAttempt cancels an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// Cause is the rule by which a request was not served. Its strings are stored in event logs and stay.
type Cause uint8

// The causes.
const (
	CauseNone         Cause = iota
	CauseInvalid            // unusable class, plan, units or timeout
	CauseOverCapacity       // the gateway has no capacity for it
	CauseTooLate            // its latency objective can not be met
	CauseShed               // sheddable, where others need the turn or the tokens
	CauseHardLimit          // the bucket of the hard limit lacks its units
	CauseQuota              // the bucket of the quota lacks its units
	CauseProbability        // by the metered rejection probability
	CauseQueueTimeout       // it was queued for as long as it may
	CauseNoRetry            // an attempt failed and no retry is allowed
)

var causeNames = [...]string{
	"unsaid", "unknown", "no_room", "too_late", "yields", "over_ceiling", "over_store", "by_chance",
	"no_turn", "no_further",
}

func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return causeNames[CauseNone]
}

// Reject is the final answer that the request was not run and is safe to retry.
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0 is none
	Cause      Cause
}

// Fail is the final answer that the request failed; it may have run.
type Fail struct {
	ID    string
	Cause Cause
}

// StartTimer asks for a TimerFired event.
type StartTimer struct {
	After time.Duration
	Label uint64
}

// CheckHealth starts a health check of a server.
type CheckHealth struct{ Server uint32 }

// Disconnect closes idle connections to a server.
type Disconnect struct{ Server uint32 }

// WatchEndpoints starts or ends the watch of the endpoint list.
type WatchEndpoints struct{ Active bool }

// FetchEndpoints polls the complete endpoint list once.
type FetchEndpoints struct{}

// SendPeerMessage sends a message to a gateway by its index; below zero is all.
type SendPeerMessage struct {
	To  int
	Raw []byte
}

// AddToCounter adds to a number of the counter service.
type AddToCounter struct {
	Name     uint64
	Add      float64
	Lifetime time.Duration
}

// LogLine writes a line to the log.
type LogLine struct{ Text string }

func (Send) isAction()            {}
func (CancelAttempt) isAction()   {}
func (Reject) isAction()          {}
func (Fail) isAction()            {}
func (StartTimer) isAction()      {}
func (CheckHealth) isAction()     {}
func (Disconnect) isAction()      {}
func (WatchEndpoints) isAction()  {}
func (FetchEndpoints) isAction()  {}
func (SendPeerMessage) isAction() {}
func (AddToCounter) isAction()    {}
func (LogLine) isAction()         {}
