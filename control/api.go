package control

import "time"

// This file is the interface of the module: the settings a gateway is started
// with, the events it is told of and the actions it answers with. It holds
// types only; every decision is in the files that deploy/balancer.toml lists under policy.
//
// Times are time.Duration on a clock of the caller's choice that only moves
// forward; spans are time.Duration too. Units, rates and loads are float64.

// Effect says what a second run of a request would do.
type Effect int

// The kinds of effect a class can have.
const (
	Free       Effect = iota // may run any number of times
	Guarded                  // carries a key; a group of servers drops repeats for a while
	SingleShot               // must not run twice
)

// Scope says which servers drop repeats of a Guarded request together.
type Scope int

// The key scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name         string        `cbor:"Name" plan:"name"`
	Aim          time.Duration `cbor:"Aim" plan:"aim"`           // an answer within it has its full worth
	Deadline     time.Duration `cbor:"Deadline" plan:"deadline"` // what a client waits at most, over all its tries
	Effect       Effect        `cbor:"Effect" plan:"repeats"`
	KeyScope     Scope         `cbor:"KeyScope" plan:"key_scope"`         // with Guarded
	RepeatWindow time.Duration `cbor:"RepeatWindow" plan:"repeat_window"` // with Guarded: how long repeats are dropped
	Worth        float64       `cbor:"Worth" plan:"worth"`
	LateShare    float64       `cbor:"LateShare" plan:"late_share"` // part of the worth left for an answer after Aim
	Stream       bool          `cbor:"Stream" plan:"stream"`        // answers start with a Started event
}

// Plan describes one plan and the quotas it gives each of its customers over
// all gateways together. A figure of zero means "no such quota".
type Plan struct {
	Name         string  `cbor:"Name" plan:"name"`
	Price        float64 `cbor:"Price" plan:"price"`                // factor on the worth of a request
	Rate         float64 `cbor:"Rate" plan:"rate"`                  // units a second
	Depth        float64 `cbor:"Depth" plan:"depth"`                // units the quota's store can hold
	Open         int     `cbor:"Open" plan:"open"`                  // attempts out at once
	OverCost     float64 `cbor:"OverCost" plan:"over_cost"`         // part of its worth that a try beyond the quota costs
	OverEarns    float64 `cbor:"OverEarns" plan:"over_earns"`       // part of its worth that a try beyond the quota earns
	CeilingRate  float64 `cbor:"CeilingRate" plan:"ceiling_rate"`   // units a second of the hard ceiling
	CeilingBurst float64 `cbor:"CeilingBurst" plan:"ceiling_burst"` // units the ceiling's store can hold
	CeilingSlack float64 `cbor:"CeilingSlack" plan:"ceiling_slack"` // units by which that store may fall below zero
}

// Settings is what a gateway is handed at start.
type Settings struct {
	SelfIndex int     `cbor:"SelfIndex" plan:"instance"`
	GroupSize int     `cbor:"GroupSize" plan:"instances"`
	Zone      string  `cbor:"Zone" plan:"zone"`
	Classes   []Class `cbor:"Classes" plan:"classes"`
	Plans     []Plan  `cbor:"Plans" plan:"plans"`

	OnRequest     bool          `cbor:"OnRequest" plan:"on_request"`       // the server list has to be followed or fetched
	AskWithin     time.Duration `cbor:"AskWithin" plan:"ask_within"`       // longest time between two askings without a subscription
	DrainGrace    time.Duration `cbor:"DrainGrace" plan:"drain_grace"`     // how long sends to a draining server are forgiven
	Cold          time.Duration `cbor:"Cold" plan:"cold"`                  // a server is warm this long after its start, at the latest
	ColdFrom      float64       `cbor:"ColdFrom" plan:"cold_from"`         // part of its capacity that a server starts with, at least
	Fall          time.Duration `cbor:"Fall" plan:"fall"`                  // span over which a cold server's load is counted
	FallMultiple  float64       `cbor:"FallMultiple" plan:"fall_multiple"` // times its present capacity that it bears over that span
	MeterPeriod   time.Duration `cbor:"MeterPeriod" plan:"meter_period"`   // period of the use meter; 0 is no meter
	CostAfter     bool          `cbor:"CostAfter" plan:"cost_after"`       // true units arrive with the answer
	UnitsTop      float64       `cbor:"UnitsTop" plan:"units_top"`         // the most units of one request
	HasCounter    bool          `cbor:"HasCounter" plan:"has_counter"`
	InboxPerS     float64       `cbor:"InboxPerS" plan:"inbox_per_s"`
	SendCap       int           `cbor:"SendCap" plan:"attempts"` // most attempts of one request; 0 is no limit
	OpenCap       int           `cbor:"OpenCap" plan:"open_cap"` // most requests held at once; 0 is no limit
	MayCancel     bool          `cbor:"MayCancel" plan:"may_cancel"`
	MarksRetry    bool          `cbor:"MarksRetry" plan:"marks_retry"` // clients mark their later tries
	Probes        bool          `cbor:"Probes" plan:"probes"`
	PeerMessages  bool          `cbor:"PeerMessages" plan:"peer_messages"`
	SecondCopies  bool          `cbor:"SecondCopies" plan:"second_copies"`
	RetryAfter    bool          `cbor:"RetryAfter" plan:"retry_after"`
	MaxRetryAfter time.Duration `cbor:"MaxRetryAfter" plan:"retry_after"`
	CrossZone     float64       `cbor:"CrossZone" plan:"cross_zone"` // price of an attempt that leaves the gateway's zone
}

// Condition is a server's state in the list.
type Condition int

// The conditions of a listed server.
const (
	On Condition = iota
	Fading
	Off
)

// Member is one entry of the server list.
type Member struct {
	Server    uint32        `cbor:"Server"`
	Condition Condition     `cbor:"Condition"`
	Zone      string        `cbor:"Zone"`
	Cell      int           `cbor:"Cell"`
	Flavor    string        `cbor:"Flavor"`
	Size      float64       `cbor:"Size"`
	CameUp    time.Duration `cbor:"CameUp"`    // clock time of the latest start
	HasCameUp bool          `cbor:"HasCameUp"` // false: long ago
}

// ListKind tells what a List event brings.
type ListKind int

// The kinds of list event.
const (
	Patch  ListKind = iota // the entries that changed
	Whole                  // the complete list
	Stale                  // the complete list as it was held last, maybe out of date
	Broken                 // an asking failed or a subscription ended; no entries
)

// Reason tells how an attempt, a probe or a count ended.
type Reason int

// The reasons.
const (
	OK            Reason = 100
	Errored       Reason = 301 // may have run
	Full          Reason = 302 // never ran
	TimedOut      Reason = 303 // may have run, may be running
	ConnectFailed Reason = 304 // never ran
	ResetByPeer   Reason = 305 // may have run
	Cancelled     Reason = 306 // may have run
	Moot          Reason = 307 // never ran: was not sent
)

// Load is a server's load report; a negative figure was not reported.
type Load struct {
	Active  float64 `cbor:"Active"`
	Waiting float64 `cbor:"Waiting"`
	CPU     float64 `cbor:"CPU"`
	AvgMS   float64 `cbor:"AvgMS"`
	RPS     float64 `cbor:"RPS"`
	ErrRPS  float64 `cbor:"ErrRPS"`
}

// Event is something that a gateway is told.
type Event interface{ isEvent() }

// List is news of the servers.
type List struct {
	Kind    ListKind `cbor:"Kind"`
	Members []Member `cbor:"Members"`
}

// Request is a client's request. It is owed exactly one final answer.
type Request struct {
	ID       string        `cbor:"ID"`
	Class    string        `cbor:"Class"`
	Plan     string        `cbor:"Plan"`
	Customer string        `cbor:"Customer"`
	TTL      time.Duration `cbor:"TTL"` // what is left until the client gives up
	Units    float64       `cbor:"Units"`
	Spread   int           `cbor:"Spread"`   // number of gateways that this customer may come through
	SetStart int           `cbor:"SetStart"` // index of the first of them
	Repeat   bool          `cbor:"Repeat"`
	Write    bool          `cbor:"Write"`
	NoRoom   bool          `cbor:"NoRoom"` // the gateway can't hold it: it has to be turned away
	Over     bool          `cbor:"Over"`   // a ceiling that it shares with other gateways lacks its units: the same
	// Open tells that its body is still to come: attempts for it last as long as the client sends,
	// which says nothing of the server. They are no part of the bound, as answers that stream.
	Open bool `cbor:"Open"`
}

// Started tells that a streamed answer has begun.
type Started struct {
	ID     string        `cbor:"ID"`
	N      int           `cbor:"N"`
	Server uint32        `cbor:"Server"`
	Delay  time.Duration `cbor:"Delay"`
}

// Response tells how an attempt ended.
type Response struct {
	ID     string        `cbor:"ID"`
	N      int           `cbor:"N"`
	Server uint32        `cbor:"Server"`
	Reason Reason        `cbor:"Reason"`
	Done   bool          `cbor:"Done"` // the request has its final answer
	Delay  time.Duration `cbor:"Delay"`
	Cost   float64       `cbor:"Cost"` // true units; 0 is not told
	Used   int           `cbor:"Used"` // 1 + percent of the quota used in the last metered period; 0 is not told
	Load   *Load         `cbor:"Load"`
}

// Hangup tells that the client has left.
type Hangup struct {
	ID string `cbor:"ID"`
}

// Timer tells that a timer is due.
type Timer struct {
	Label uint64 `cbor:"Label"`
}

// ProbeResult tells how a probe ended.
type ProbeResult struct {
	Server uint32        `cbor:"Server"`
	Reason Reason        `cbor:"Reason"`
	Delay  time.Duration `cbor:"Delay"`
	Load   *Load         `cbor:"Load"`
}

// PeerMessage is a message of another gateway.
type PeerMessage struct {
	From int    `cbor:"From"`
	Raw  []byte `cbor:"Raw"`
}

// Counted is the answer to a Count.
type Counted struct {
	Name   uint64        `cbor:"Name"`
	Total  float64       `cbor:"Total"`
	Delay  time.Duration `cbor:"Delay"`
	Reason Reason        `cbor:"Reason"`
}

func (List) isEvent()        {}
func (Request) isEvent()     {}
func (Started) isEvent()     {}
func (Response) isEvent()    {}
func (Hangup) isEvent()      {}
func (Timer) isEvent()       {}
func (ProbeResult) isEvent() {}
func (PeerMessage) isEvent() {}
func (Counted) isEvent()     {}

// Action is something that a gateway has to do.
type Action interface{ isAction() }

// Send starts an attempt. Attempts of a request count 0, 1, 2 in order.
type Send struct {
	ID     string
	Server uint32
	Within time.Duration // time-out; 0 is until the client gives up
	Begin  time.Duration // what has not been written whole by then is not sent; 0 is any time
}

// Withdraw stops waiting for an attempt.
type Withdraw struct {
	ID string
	N  int
}

// Cause is the rule by which a request was not served.
type Cause uint8

// The causes.
const (
	Unsaid      Cause = iota
	Unknown           // class, plan, units or time can't be used
	NoRoom            // the gateway can't hold it
	TooLate           // its aim is past, or will be before an answer
	Yields            // of low worth or late, where others need the turn or the units
	OverCeiling       // the ceiling's store lacks its units
	OverStore         // the quota's store lacks them
	ByChance          // the metered chance fell on it
	NoTurn            // it waited in the queue for as long as it may
	NoFurther         // an attempt failed and there is to be no other
)

var causes = [...]string{
	"unsaid", "unknown", "no_room", "too_late", "yields", "over_ceiling", "over_store", "by_chance",
	"no_turn", "no_further",
}

func (c Cause) String() string {
	if int(c) < len(causes) {
		return causes[c]
	}
	return causes[Unsaid]
}

// Refuse is the final answer "not run, safe to try again".
type Refuse struct {
	ID         string
	RetryAfter time.Duration // 0 is no advice
	Why        Cause
}

// Fail is the final answer that promises nothing.
type Fail struct {
	ID  string
	Why Cause
}

// Arm asks for a Timer event.
type Arm struct {
	After time.Duration
	Label uint64
}

// Probe checks a server.
type Probe struct{ Server uint32 }

// Disconnect closes idle connections to a server.
type Disconnect struct{ Server uint32 }

// Follow asks for the list's changes, or stops asking.
type Follow struct{ Active bool }

// Snapshot asks for the whole list once.
type Snapshot struct{}

// Say sends a message to a peer; To below zero is everyone.
type Say struct {
	To  int
	Raw []byte
}

// Count adds to a number kept by the counter service.
type Count struct {
	Name  uint64
	Add   float64
	Lives time.Duration
}

// Remark is a line for the operators' log.
type Remark struct{ Text string }

func (Send) isAction()       {}
func (Withdraw) isAction()   {}
func (Refuse) isAction()     {}
func (Fail) isAction()       {}
func (Arm) isAction()        {}
func (Probe) isAction()      {}
func (Disconnect) isAction() {}
func (Follow) isAction()     {}
func (Snapshot) isAction()   {}
func (Say) isAction()        {}
func (Count) isAction()      {}
func (Remark) isAction()     {}
