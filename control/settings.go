package control

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Idempotency is the effect of running a request a second time. Its key in settings is "repeats", in stored data
// "Effect".
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // carries an idempotency key; a group of servers drops repeats within the repeat window
	NotIdempotent                        // must not run twice
)

// KeyScope is the group of servers that drop repeats of each other's idempotency keys.
type KeyScope int

// The scopes of an idempotency key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests. Some keys, such as worth, late share and effect, are older than the fields'
// names.
type Class struct {
	Name               string        `cbor:"Name" plan:"name"`
	LatencyObjective   time.Duration `cbor:"Aim" plan:"aim"`           // an answer within it counts with its full weight
	Deadline           time.Duration `cbor:"Deadline" plan:"deadline"` // maximum time that a client waits, over all of its own attempts
	Idempotency        Idempotency   `cbor:"Effect" plan:"repeats"`
	KeyScope           KeyScope      `cbor:"KeyScope" plan:"key_scope"`         // with IdempotentWithKey
	RepeatWindow       time.Duration `cbor:"RepeatWindow" plan:"repeat_window"` // with IdempotentWithKey: how long repeats are dropped
	PriorityWeight     float64       `cbor:"Worth" plan:"worth"`
	LateWeightFraction float64       `cbor:"LateShare" plan:"late_share"` // fraction of the weight for an answer after the objective
	IsStreaming        bool          `cbor:"Stream" plan:"stream"`        // answers start with a ResponseStarted event
}

// Plan describes one plan and the quotas and limits of each of its customers over all gateways together. Zero means
// that there is no such quota or limit. Some keys, such as depth and ceiling, are older than the fields' names.
type Plan struct {
	Name           string  `cbor:"Name" plan:"name"`
	Price          float64 `cbor:"Price" plan:"price"`                // factor on the priority weight of a request
	QuotaRate      float64 `cbor:"Rate" plan:"rate"`                  // units per second
	QuotaBurst     float64 `cbor:"Depth" plan:"depth"`                // capacity in units of the quota's token bucket
	MaxInFlight    int     `cbor:"Open" plan:"open"`                  // maximum number of attempts in flight at once
	OverQuotaCost  float64 `cbor:"OverCost" plan:"over_cost"`         // fraction of its weight that a request beyond the quota costs
	OverQuotaGain  float64 `cbor:"OverEarns" plan:"over_earns"`       // fraction of its weight that a request beyond the quota earns
	HardLimitRate  float64 `cbor:"CeilingRate" plan:"ceiling_rate"`   // units per second of the hard limit
	HardLimitBurst float64 `cbor:"CeilingBurst" plan:"ceiling_burst"` // capacity in units of the hard limit's token bucket
	HardLimitSlack float64 `cbor:"CeilingSlack" plan:"ceiling_slack"` // units by which that bucket may fall below zero
}

// Settings configures a controller. Units, rates and loads are float64.
type Settings struct {
	SelfIndex int     `cbor:"SelfIndex" plan:"instance"`
	GroupSize int     `cbor:"GroupSize" plan:"instances"`
	Zone      string  `cbor:"Zone" plan:"zone"`
	Classes   []Class `cbor:"Classes" plan:"classes"`
	Plans     []Plan  `cbor:"Plans" plan:"plans"`

	ListOnRequest         bool          `cbor:"OnRequest" plan:"on_request"`       // the endpoint list must be watched or fetched
	MaxPollInterval       time.Duration `cbor:"AskWithin" plan:"ask_within"`       // maximum time between two polls without a watch
	DrainGrace            time.Duration `cbor:"DrainGrace" plan:"drain_grace"`     // time for which attempts at a draining server are tolerated
	WarmupTime            time.Duration `cbor:"Cold" plan:"cold"`                  // time from its start to a server's full capacity
	InitialCapacity       float64       `cbor:"ColdFrom" plan:"cold_from"`         // minimum fraction of its capacity that a server has at its start
	OverloadWindow        time.Duration `cbor:"Fall" plan:"fall"`                  // window over which the load of a warming server is counted
	OverloadMultiple      float64       `cbor:"FallMultiple" plan:"fall_multiple"` // tolerated load over it, as a multiple of the current capacity
	MeterPeriod           time.Duration `cbor:"MeterPeriod" plan:"meter_period"`   // period of the usage meter; 0 is no meter
	UnitsInResponse       bool          `cbor:"CostAfter" plan:"cost_after"`       // responses report the actual units
	MaxUnits              float64       `cbor:"UnitsTop" plan:"units_top"`         // maximum units of one request; 0 is no limit
	HasCounter            bool          `cbor:"HasCounter" plan:"has_counter"`
	PeerMessagesPerSecond float64       `cbor:"InboxPerS" plan:"inbox_per_s"`
	MaxAttempts           int           `cbor:"SendCap" plan:"attempts"` // maximum attempts of one request; 0 is no limit
	MaxRequests           int           `cbor:"OpenCap" plan:"open_cap"` // maximum requests queued and in flight; 0 is no limit
	CanCancel             bool          `cbor:"MayCancel" plan:"may_cancel"`
	RetriesAreMarked      bool          `cbor:"MarksRetry" plan:"marks_retry"` // clients mark their retries
	HealthChecks          bool          `cbor:"Probes" plan:"probes"`
	PeerMessages          bool          `cbor:"PeerMessages" plan:"peer_messages"`
	HedgedRequests        bool          `cbor:"SecondCopies" plan:"second_copies"`
	SupportsRetryAfter    bool          `cbor:"RetryAfter" plan:"retry_after"`
	MaxRetryAfter         time.Duration `cbor:"MaxRetryAfter" plan:"retry_after"`
	CrossZonePrice        float64       `cbor:"CrossZone" plan:"cross_zone"` // price of an attempt that leaves the gateway's zone
	MaxAccounts           int           `cbor:"-" plan:"-"`                  // maximum accounts of customers; 0 is the default
}

// validate returns an error that names the first invalid setting, by the words of its key.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: classes: at least one is required")
	}
	if len(s.Plans) == 0 {
		return errors.New("settings: plans: at least one is required")
	}
	if s.GroupSize < 1 {
		return fmt.Errorf("settings: group size: %d is not positive", s.GroupSize)
	}
	if s.SelfIndex < 0 || s.SelfIndex >= s.GroupSize {
		return fmt.Errorf("settings: self index: %d is outside a group of %d", s.SelfIndex, s.GroupSize)
	}
	numbers := s.numbers()
	for i := range s.Classes {
		class := &s.Classes[i]
		if class.LatencyObjective <= 0 || class.Deadline <= 0 {
			return fmt.Errorf("settings: class %s: aim and deadline: %v and %v must both be positive",
				class.Name, class.LatencyObjective, class.Deadline)
		}
		numbers = append(numbers, class.numbers()...)
	}
	for i := range s.Plans {
		numbers = append(numbers, s.Plans[i].numbers()...)
	}
	for _, n := range numbers {
		if math.IsNaN(n.value) || math.IsInf(n.value, 0) || n.value < 0 {
			return fmt.Errorf("settings: %s: %g is negative or not finite", n.name, n.value)
		}
	}
	return nil
}

// namedNumber is a setting that must be finite and not negative.
type namedNumber struct {
	name  string
	value float64
}

func (s *Settings) numbers() []namedNumber {
	return []namedNumber{
		{"cold from", s.InitialCapacity},
		{"fall multiple", s.OverloadMultiple},
		{"units top", s.MaxUnits},
		{"inbox per second", s.PeerMessagesPerSecond},
		{"cross-zone price", s.CrossZonePrice},
		{"cold", s.WarmupTime.Seconds()},
		{"ask within", s.MaxPollInterval.Seconds()},
		{"drain grace", s.DrainGrace.Seconds()},
		{"fall", s.OverloadWindow.Seconds()},
		{"meter period", s.MeterPeriod.Seconds()},
		{"send cap", float64(s.MaxAttempts)},
		{"open cap", float64(s.MaxRequests)},
		{"max retry after", s.MaxRetryAfter.Seconds()},
	}
}

func (c *Class) numbers() []namedNumber {
	name := "class " + c.Name + ": "
	return []namedNumber{
		{name + "worth", c.PriorityWeight},
		{name + "late share", c.LateWeightFraction},
		{name + "repeat window", c.RepeatWindow.Seconds()},
	}
}

func (p *Plan) numbers() []namedNumber {
	name := "plan " + p.Name + ": "
	return []namedNumber{
		{name + "price", p.Price},
		{name + "rate", p.QuotaRate},
		{name + "depth", p.QuotaBurst},
		{name + "open", float64(p.MaxInFlight)},
		{name + "over cost", p.OverQuotaCost},
		{name + "over earns", p.OverQuotaGain},
		{name + "ceiling rate", p.HardLimitRate},
		{name + "ceiling burst", p.HardLimitBurst},
		{name + "ceiling slack", p.HardLimitSlack},
	}
}
