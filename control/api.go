package control

import "time"

// This file is the interface of the module: the settings a gateway is started
// with, the events it is told of and the actions it answers with. It holds
// types only; every decision is in the files that deploy/balancer.toml lists under policy.
//
// Times are time.Duration on a clock of the caller's choice that only moves
// forward; spans are time.Duration too. Units, rates and loads are float64.

// Idempotency says what a second run of a request would do.
type Idempotency int

// The kinds of effect a class can have.
const (
	Idempotent       Idempotency = iota // may run any number of times
	IdempotencyKeyed                    // carries a key; a group of servers drops repeats for a while
	NotIdempotent                       // must not run twice
)

// KeyScope says which servers drop repeats of a Guarded request together.
type KeyScope int

// The key scopes.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name               string        `cbor:"Name" plan:"name"`
	LatencyObjective   time.Duration `cbor:"Aim" plan:"aim"`           // an answer within it has its full worth
	Deadline           time.Duration `cbor:"Deadline" plan:"deadline"` // what a client waits at most, over all its tries
	Idempotency        Idempotency   `cbor:"Effect" plan:"repeats"`
	KeyScope           KeyScope      `cbor:"KeyScope" plan:"key_scope"`         // with Guarded
	RepeatWindow       time.Duration `cbor:"RepeatWindow" plan:"repeat_window"` // with Guarded: how long repeats are dropped
	PriorityWeight     float64       `cbor:"Worth" plan:"worth"`
	LateWeightFraction float64       `cbor:"LateShare" plan:"late_share"` // part of the worth left for an answer after Aim
	IsStreaming        bool          `cbor:"Stream" plan:"stream"`        // answers start with a Started event
}

// Plan describes one plan and the quotas it gives each of its customers over
// all gateways together. A figure of zero means "no such quota".
type Plan struct {
	Name           string  `cbor:"Name" plan:"name"`
	Price          float64 `cbor:"Price" plan:"price"`                // factor on the worth of a request
	QuotaRate      float64 `cbor:"Rate" plan:"rate"`                  // units a second
	QuotaBurst     float64 `cbor:"Depth" plan:"depth"`                // units the quota's store can hold
	MaxInFlight    int     `cbor:"Open" plan:"open"`                  // attempts out at once
	OverQuotaCost  float64 `cbor:"OverCost" plan:"over_cost"`         // part of its worth that a try beyond the quota costs
	OverQuotaGain  float64 `cbor:"OverEarns" plan:"over_earns"`       // part of its worth that a try beyond the quota earns
	HardLimitRate  float64 `cbor:"CeilingRate" plan:"ceiling_rate"`   // units a second of the hard ceiling
	HardLimitBurst float64 `cbor:"CeilingBurst" plan:"ceiling_burst"` // units the ceiling's store can hold
	HardLimitSlack float64 `cbor:"CeilingSlack" plan:"ceiling_slack"` // units by which that store may fall below zero
}

// Settings is what a gateway is handed at start.
type Settings struct {
	SelfIndex int     `cbor:"SelfIndex" plan:"instance"`
	GroupSize int     `cbor:"GroupSize" plan:"instances"`
	Zone      string  `cbor:"Zone" plan:"zone"`
	Classes   []Class `cbor:"Classes" plan:"classes"`
	Plans     []Plan  `cbor:"Plans" plan:"plans"`

	ListOnRequest         bool          `cbor:"OnRequest" plan:"on_request"`       // the server list has to be followed or fetched
	MaxPollInterval       time.Duration `cbor:"AskWithin" plan:"ask_within"`       // longest time between two askings without a subscription
	DrainGrace            time.Duration `cbor:"DrainGrace" plan:"drain_grace"`     // how long sends to a draining server are forgiven
	WarmupTime            time.Duration `cbor:"Cold" plan:"cold"`                  // a server is warm this long after its start, at the latest
	InitialCapacity       float64       `cbor:"ColdFrom" plan:"cold_from"`         // part of its capacity that a server starts with, at least
	OverloadWindow        time.Duration `cbor:"Fall" plan:"fall"`                  // span over which a cold server's load is counted
	OverloadMultiple      float64       `cbor:"FallMultiple" plan:"fall_multiple"` // times its present capacity that it bears over that span
	MeterPeriod           time.Duration `cbor:"MeterPeriod" plan:"meter_period"`   // period of the use meter; 0 is no meter
	UnitsInResponse       bool          `cbor:"CostAfter" plan:"cost_after"`       // true units arrive with the answer
	MaxUnits              float64       `cbor:"UnitsTop" plan:"units_top"`         // the most units of one request
	HasCounter            bool          `cbor:"HasCounter" plan:"has_counter"`
	PeerMessagesPerSecond float64       `cbor:"InboxPerS" plan:"inbox_per_s"`
	MaxAttempts           int           `cbor:"SendCap" plan:"attempts"` // most attempts of one request; 0 is no limit
	MaxRequests           int           `cbor:"OpenCap" plan:"open_cap"` // most requests held at once; 0 is no limit
	CanCancel             bool          `cbor:"MayCancel" plan:"may_cancel"`
	RetriesAreMarked      bool          `cbor:"MarksRetry" plan:"marks_retry"` // clients mark their later tries
	HealthChecks          bool          `cbor:"Probes" plan:"probes"`
	PeerMessages          bool          `cbor:"PeerMessages" plan:"peer_messages"`
	HedgedRequests        bool          `cbor:"SecondCopies" plan:"second_copies"`
	SupportsRetryAfter    bool          `cbor:"RetryAfter" plan:"retry_after"`
	MaxRetryAfter         time.Duration `cbor:"MaxRetryAfter" plan:"retry_after"`
	CrossZonePrice        float64       `cbor:"CrossZone" plan:"cross_zone"` // price of an attempt that leaves the gateway's zone
}

// EndpointState is a server's state in the list.
type EndpointState int

// The conditions of a listed server.
const (
	Active EndpointState = iota
	Draining
	Gone
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	Server       uint32        `cbor:"Server"`
	State        EndpointState `cbor:"Condition"`
	Zone         string        `cbor:"Zone"`
	Cell         int           `cbor:"Cell"`
	Flavor       string        `cbor:"Flavor"`
	Size         float64       `cbor:"Size"`
	StartedAt    time.Duration `cbor:"CameUp"`    // clock time of the latest start
	HasStartedAt bool          `cbor:"HasCameUp"` // false: long ago
}

// ListKind tells what a List event brings.
type ListKind int

// The kinds of list event.
const (
	ListPatch    ListKind = iota // the entries that changed
	ListComplete                 // the complete list
	ListCached                   // the complete list as it was held last, maybe out of date
	ListFailed                   // an asking failed or a subscription ended; no entries
)

// Reason tells how an attempt, a probe or a count ended.
type Reason int

// The reasons.
const (
	OK               Reason = 100
	Errored          Reason = 301 // may have run
	RejectedByServer Reason = 302 // never ran
	TimedOut         Reason = 303 // may have run, may be running
	ConnectFailed    Reason = 304 // never ran
	ResetByPeer      Reason = 305 // may have run
	Cancelled        Reason = 306 // may have run
	NotSent          Reason = 307 // never ran: was not sent
)

// LoadReport is a server's load report; a negative figure was not reported.
type LoadReport struct {
	InFlight          float64 `cbor:"Active"`
	Queued            float64 `cbor:"Waiting"`
	Utilization       float64 `cbor:"CPU"`
	MeanLatencyMS     float64 `cbor:"AvgMS"`
	RequestsPerSecond float64 `cbor:"RPS"`
	ErrorsPerSecond   float64 `cbor:"ErrRPS"`
}

// Event is something that a gateway is told.
type Event interface{ isEvent() }

// EndpointList is news of the servers.
type EndpointList struct {
	Kind      ListKind   `cbor:"Kind"`
	Endpoints []Endpoint `cbor:"Members"`
}

// Request is a client's request. It is owed exactly one final answer.
type Request struct {
	ID              string        `cbor:"ID"`
	Class           string        `cbor:"Class"`
	Plan            string        `cbor:"Plan"`
	Customer        string        `cbor:"Customer"`
	Timeout         time.Duration `cbor:"TTL"` // what is left until the client gives up
	Units           float64       `cbor:"Units"`
	FanOut          int           `cbor:"Spread"`   // number of gateways that this customer may come through
	FirstGateway    int           `cbor:"SetStart"` // index of the first of them
	IsRetry         bool          `cbor:"Repeat"`
	IsWrite         bool          `cbor:"Write"`
	IsOverCapacity  bool          `cbor:"NoRoom"` // the gateway can't hold it: it has to be turned away
	IsOverHardLimit bool          `cbor:"Over"`   // a ceiling that it shares with other gateways lacks its units: the same
	// HasPendingBody tells that its body is still to come: attempts for it last as long as the client sends,
	// which says nothing of the server. They are no part of the bound, as answers that stream.
	HasPendingBody bool `cbor:"Open"`
}

// ResponseStarted tells that a streamed answer has begun.
type ResponseStarted struct {
	ID      string        `cbor:"ID"`
	Attempt int           `cbor:"N"`
	Server  uint32        `cbor:"Server"`
	Delay   time.Duration `cbor:"Delay"`
}

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	ID          string        `cbor:"ID"`
	Attempt     int           `cbor:"N"`
	Server      uint32        `cbor:"Server"`
	Reason      Reason        `cbor:"Reason"`
	IsFinal     bool          `cbor:"Done"` // the request has its final answer
	Delay       time.Duration `cbor:"Delay"`
	ActualUnits float64       `cbor:"Cost"` // true units; 0 is not told
	QuotaUsage  int           `cbor:"Used"` // 1 + percent of the quota used in the last metered period; 0 is not told
	Load        *LoadReport   `cbor:"Load"`
}

// ClientGone tells that the client has left.
type ClientGone struct {
	ID string `cbor:"ID"`
}

// TimerFired tells that a timer is due.
type TimerFired struct {
	Label uint64 `cbor:"Label"`
}

// HealthCheckResult tells how a probe ended.
type HealthCheckResult struct {
	Server uint32        `cbor:"Server"`
	Reason Reason        `cbor:"Reason"`
	Delay  time.Duration `cbor:"Delay"`
	Load   *LoadReport   `cbor:"Load"`
}

// PeerMessage is a message of another gateway.
type PeerMessage struct {
	From int    `cbor:"From"`
	Raw  []byte `cbor:"Raw"`
}

// CounterResult is the answer to a Count.
type CounterResult struct {
	Name   uint64        `cbor:"Name"`
	Total  float64       `cbor:"Total"`
	Delay  time.Duration `cbor:"Delay"`
	Reason Reason        `cbor:"Reason"`
}

func (EndpointList) isEvent()      {}
func (Request) isEvent()           {}
func (ResponseStarted) isEvent()   {}
func (AttemptResult) isEvent()     {}
func (ClientGone) isEvent()        {}
func (TimerFired) isEvent()        {}
func (HealthCheckResult) isEvent() {}
func (PeerMessage) isEvent()       {}
func (CounterResult) isEvent()     {}

// Action is something that a gateway has to do.
type Action interface{ isAction() }

// Send starts an attempt. Attempts of a request count 0, 1, 2 in order.
type Send struct {
	ID          string
	Server      uint32
	Timeout     time.Duration // time-out; 0 is until the client gives up
	WriteWithin time.Duration // what has not been written whole by then is not sent; 0 is any time
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// Cause is the rule by which a request was not served.
type Cause uint8

// The causes.
const (
	CauseNone         Cause = iota
	CauseInvalid            // class, plan, units or time can't be used
	CauseOverCapacity       // the gateway can't hold it
	CauseTooLate            // its aim is past, or will be before an answer
	CauseShed               // of low worth or late, where others need the turn or the units
	CauseHardLimit          // the ceiling's store lacks its units
	CauseQuota              // the quota's store lacks them
	CauseProbability        // the metered chance fell on it
	CauseQueueTimeout       // it waited in the queue for as long as it may
	CauseNoRetry            // an attempt failed and there is to be no other
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

// Reject is the final answer "not run, safe to try again".
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0 is no advice
	Cause      Cause
}

// Fail is the final answer that promises nothing.
type Fail struct {
	ID    string
	Cause Cause
}

// StartTimer asks for a Timer event.
type StartTimer struct {
	After time.Duration
	Label uint64
}

// CheckHealth checks a server.
type CheckHealth struct{ Server uint32 }

// Disconnect closes idle connections to a server.
type Disconnect struct{ Server uint32 }

// WatchEndpoints asks for the list's changes, or stops asking.
type WatchEndpoints struct{ Active bool }

// FetchEndpoints asks for the whole list once.
type FetchEndpoints struct{}

// SendPeerMessage sends a message to a peer; To below zero is everyone.
type SendPeerMessage struct {
	To  int
	Raw []byte
}

// AddToCounter adds to a number kept by the counter service.
type AddToCounter struct {
	Name     uint64
	Add      float64
	Lifetime time.Duration
}

// LogLine is a line for the operators' log.
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
