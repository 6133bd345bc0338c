package control

import "time"

// EndpointState is the state of a server in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Active   EndpointState = iota
	Draining               // takes no new requests
	Gone
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server       uint32        `cbor:"Server"`
	State        EndpointState `cbor:"Condition"`
	Zone         string        `cbor:"Zone"`
	Cell         int           `cbor:"Cell"`
	Flavor       string        `cbor:"Flavor"`
	Size         float64       `cbor:"Size"`
	StartedAt    time.Duration `cbor:"CameUp"`    // time of the latest start
	HasStartedAt bool          `cbor:"HasCameUp"` // false: started long ago
}

// ListKind is the kind of an EndpointList.
type ListKind int

// The kinds of endpoint list.
const (
	ListPatch    ListKind = iota // the entries that changed
	ListComplete                 // the complete list
	ListCached                   // the complete list from a cache, possibly out of date
	ListFailed                   // a poll failed or a watch ended; no entries
)

// Reason is the outcome of an attempt, a health check or a call of the counter. The numbers are used on the wire.
type Reason int

// The reasons, with what is known of the execution of the attempt.
const (
	OK               Reason = 100
	Errored          Reason = 301 // may have run
	RejectedByServer Reason = 302 // never ran
	TimedOut         Reason = 303 // may have run, may still be running
	ConnectFailed    Reason = 304 // never ran
	ResetByPeer      Reason = 305 // may have run
	Cancelled        Reason = 306 // may have run
	NotSent          Reason = 307 // never ran
)

// mayStillRun reports whether the attempt may still be running at its server.
func (r Reason) mayStillRun() bool { return r == TimedOut || r == Cancelled }

// mayHaveRun reports whether the attempt may have had an effect.
func (r Reason) mayHaveRun() bool { return r == Errored || r == ResetByPeer || r.mayStillRun() }

// LoadReport is a server's report of its load. Values that were not reported are negative.
type LoadReport struct {
	InFlight          float64 `cbor:"Active"`
	Queued            float64 `cbor:"Waiting"`
	Utilization       float64 `cbor:"CPU"`
	MeanLatencyMS     float64 `cbor:"AvgMS"`
	RequestsPerSecond float64 `cbor:"RPS"`
	ErrorsPerSecond   float64 `cbor:"ErrRPS"`
}

// isPartial reports whether the report lacks a value on which decisions depend.
func (l *LoadReport) isPartial() bool { return l.Utilization < 0 || l.MeanLatencyMS < 0 }

// Event is an input of Controller.Handle.
type Event interface{ isEvent() }

// EndpointList is a change of the endpoint list, or the complete list.
type EndpointList struct {
	Kind      ListKind   `cbor:"Kind"`
	Endpoints []Endpoint `cbor:"Members"`
}

// Request is a client's request. It gets exactly one final answer.
type Request struct {
	ID              string        `cbor:"ID"`
	Class           string        `cbor:"Class"`
	Plan            string        `cbor:"Plan"`
	Customer        string        `cbor:"Customer"`
	Timeout         time.Duration `cbor:"TTL"` // time left until the client gives up
	Units           float64       `cbor:"Units"`
	FanOut          int           `cbor:"Spread"`   // number of gateways through which this customer may come
	FirstGateway    int           `cbor:"SetStart"` // index of the first of them
	IsRetry         bool          `cbor:"Repeat"`
	IsWrite         bool          `cbor:"Write"`
	IsOverCapacity  bool          `cbor:"NoRoom"` // rejected because the gateway has no capacity for it
	IsOverHardLimit bool          `cbor:"Over"`   // rejected because a hard limit shared with other gateways lacks its units
	// HasPendingBody is set if the body has not been received completely. The attempts last as long as the client
	// sends, which says nothing about the server. Like streamed responses, they do not count against the concurrency
	// limit.
	HasPendingBody bool `cbor:"Open"`
}

// ResponseStarted is the start of a streamed response.
type ResponseStarted struct {
	ID      string        `cbor:"ID"`
	Attempt int           `cbor:"N"`
	Server  uint32        `cbor:"Server"`
	Delay   time.Duration `cbor:"Delay"`
}

// AttemptResult is the end of an attempt.
type AttemptResult struct {
	ID          string        `cbor:"ID"`
	Attempt     int           `cbor:"N"`
	Server      uint32        `cbor:"Server"`
	Reason      Reason        `cbor:"Reason"`
	IsFinal     bool          `cbor:"Done"` // whether it was the final answer of the request
	Delay       time.Duration `cbor:"Delay"`
	ActualUnits float64       `cbor:"Cost"` // units that the request actually used; 0 is not reported
	QuotaUsage  int           `cbor:"Used"` // 1 + percent of the quota used in the latest metered period; 0 is not reported
	Load        *LoadReport   `cbor:"Load"`
}

// ClientGone means that the client of a request has disconnected and needs no answer.
type ClientGone struct {
	ID string `cbor:"ID"`
}

// TimerFired is the expiry of a timer that was started by StartTimer.
type TimerFired struct {
	Label uint64 `cbor:"Label"`
}

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	Server uint32        `cbor:"Server"`
	Reason Reason        `cbor:"Reason"`
	Delay  time.Duration `cbor:"Delay"`
	Load   *LoadReport   `cbor:"Load"`
}

// PeerMessage is a message from another gateway.
type PeerMessage struct {
	From int    `cbor:"From"`
	Raw  []byte `cbor:"Raw"`
}

// CounterResult is the answer to AddToCounter.
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
