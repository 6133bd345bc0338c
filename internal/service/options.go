package service

import (
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/eventlog"
	"lockflow/internal/upstream"
)

// PanicPolicy determines what happens after a service's module has panicked. In either case the requests that
// the service had accepted are answered as failed.
type PanicPolicy int

// The panic policies.
const (
	EndProcess     PanicPolicy = iota // Run returns an error, which ends the node
	RestartService                    // the service restarts with empty state; other services are not affected
)

// RequestLimiter limits the resources of the process that a service's requests use: one request slot and
// some bytes each. It is safe for concurrent use.
type RequestLimiter interface {
	// Admit reserves a slot and some bytes for a request. It returns false if the limit is reached, and
	// otherwise a function that releases the reservation, to be called exactly once.
	Admit(bytes int64) (release func(), ok bool)
}

// Options configure a Service.
type Options struct {
	Name     string // of the service; empty if there is only one
	Settings control.Settings
	Seed     uint64 // for the module's random numbers

	Upstream        upstream.Options
	Protocol        upstream.Protocol      // for servers whose endpoint list entry has none
	SharedUpstream  *upstream.Upstream     // connections of the service that this one replaces; nil creates new ones from Upstream
	Source          discovery.Source       // of the endpoint list
	CachedEndpoints discovery.EndpointList // the endpoint list as last received, perhaps outdated
	Predecessor     *Service               // the service that this one replaces, whose clock and server start times it uses; may be nil

	OnPanic   PanicPolicy
	AnyMethod bool // requests of a class may have any method, as in generic HTTP

	Limiter           RequestLimiter         // nil for no limit
	Streams           *Streams               // where open response streams are registered; may be nil
	RequestCounts     *RequestCounts         // counts outcomes for metrics; may be nil
	Statistics        *StatisticsCollector   // collects instance statistics; may be nil
	EventLog          *eventlog.Writer       // may be nil
	EstimateGroupSize bool                   // estimate the group size from load reports
	OnReady           func()                 // called once, when the first server is available; may be nil
	ObserveModuleTime func(time.Duration)    // called with the duration of each event in the module; may be nil
	SharedHardLimits  *SharedHardLimits      // hard limits leased from lease stores; nil leaves them to the module
	NewModule         func() (Module, error) // nil creates a control.Controller of Settings
}
