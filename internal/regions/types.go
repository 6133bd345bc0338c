// Package regions compares the configurations of several regions. It finds requests that two regions
// handle differently, each with a request that shows it, and limits that the regions exceed only together.
// It is pure: no I/O, and no clock.
package regions

import (
	"net/http"
	"time"

	"lockflow/control"
	"lockflow/internal/route"
)

// Region is what the instances of one region run.
type Region struct {
	Name      string
	Listeners []string // host:port on which other regions reach its instances
	Routes    []Route
	Services  []Service
	Instances int  // group size that its instances are told
	Members   int  // instances in the fleet file; 0 is unknown
	Shared    bool // its hard limits are lent by counters, which all regions that name the same counter share
}

// Route is one rule with what package route does not know of it.
type Route struct {
	route.Rule
	RequestClass string // of its requests; "" is decided by the service's protocol
	Base         bool   // part of the base, unchanged
	Line         int    // in the region's file, from 1; 0 is unknown
}

// Service is what other regions depend on of a service.
type Service struct {
	Name string
	// GenericHTTP services take the class read or write by method where a route names none; those of the
	// platform's protocol the path's first segment.
	GenericHTTP  bool
	Classes      []control.Class
	Plans        []control.Plan
	Counter      string   // identity of the shared counters of its hard limits; "" is none
	Servers      []string // UIDs of app servers, listed in the configuration or named by Source
	Source       string   // identity of the server discovery: services with the same source have the same servers
	Destinations []string // host:port of servers listed in the configuration, to which it forwards
	SlowStart    SlowStart
	// Gather identifies what a scatter-gather service requests of which services, how it merges the results
	// and how many it needs; "" is any other service. Its Destinations are those of all services that it
	// reaches. It is generic HTTP, accepts only idempotent requests, and requests parts by GET also for HEAD.
	Gather string
}

// SlowStart is the load that a service sends to a warming server, over the complete group of its instances.
type SlowStart struct {
	WarmupTime       time.Duration // 0 is no slow start
	InitialCapacity  float64       // fraction of a warm server's load, at the start
	OverloadMultiple float64       // of its current capacity, beyond which a server is overloaded; 0 is none
}

// Kind is what a conflict is about.
type Kind string

// The kinds of conflicts. docs/regions.md has what to do about each.
const (
	ServiceKind   Kind = "service"  // one request, two services
	CoverageKind  Kind = "coverage" // one region accepts a request, the other does not
	TermsKind     Kind = "terms"    // one class, two sets of retry terms
	HardLimitKind Kind = "ceiling"  // the regions admit more together than a plan's hard limit and slack
	SlowStartKind Kind = "cold"     // the regions send a warming server more together than it can serve
	LoopKind      Kind = "loop"     // a request is forwarded in a cycle of regions
	DeadKind      Kind = "dead"     // a rule that no request reaches
)

// Severity tells whether a conflict prevents a change.
type Severity string

// The severities of conflicts.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Witness is a request that shows a conflict. Host and path are in canonical form.
type Witness struct {
	Method  string      `json:"method"`
	Host    string      `json:"host"`
	Path    string      `json:"path"`
	Headers http.Header `json:"headers"`
}

// Conflict is one difference between regions.
type Conflict struct {
	Kind     Kind     `json:"kind"`
	Severity Severity `json:"severity"`
	Regions  []string `json:"regions"` // sorted
	Rules    []string `json:"rules"`   // names of routes, plans, classes or servers; one for each region where that fits
	Why      string   `json:"why"`
	Witness  *Witness `json:"witness,omitempty"` // for conflicts about requests
}
