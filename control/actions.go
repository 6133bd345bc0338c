package control

import "time"

// Action is an operation that the gateway has to perform.
type Action interface{ isAction() }

// Send starts an attempt. The attempts of a request are numbered 0, 1, 2 and so on in order.
type Send struct {
	ID           string
	Server       uint32
	Timeout      time.Duration // 0 is the client's timeout
	WriteTimeout time.Duration // time in which the request must be completely written, or it is not sent; 0 is no limit
}

// CancelAttempt cancels an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// Cause is the reason for which a request was not served. Its strings are stored in event logs and must not change.
type Cause uint8

// The causes of rejections and failures.
const (
	CauseNone         Cause = iota
	CauseInvalid            // invalid class, plan, units or timeout
	CauseOverCapacity       // the gateway has no capacity for it
	CauseTooLate            // its latency objective cannot be met
	CauseShed               // sheddable, and other requests need the slot or the tokens
	CauseHardLimit          // the bucket of the hard limit has too few tokens
	CauseQuota              // the bucket of the quota has too few tokens
	CauseProbability        // rejected by probabilistic admission
	CauseQueueTimeout       // it reached its maximum queue time
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

// Reject is the final answer to a request that was not served and is safe to retry.
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0 is no Retry-After
	Cause      Cause
}

// Fail is the final answer to a request that failed and may have run.
type Fail struct {
	ID    string
	Cause Cause
}

// StartTimer requests a TimerFired event with the label after a time.
type StartTimer struct {
	After time.Duration
	Label uint64
}

// CheckHealth starts a health check of a server.
type CheckHealth struct{ Server uint32 }

// Disconnect closes idle connections to a server.
type Disconnect struct{ Server uint32 }

// WatchEndpoints starts or stops the watch of the endpoint list.
type WatchEndpoints struct{ Active bool }

// FetchEndpoints polls the complete endpoint list once.
type FetchEndpoints struct{}

// SendPeerMessage sends a message to the gateway with index To, or to all if To is negative.
type SendPeerMessage struct {
	To  int
	Raw []byte
}

// AddToCounter adds an amount to a counter of the counter service.
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
