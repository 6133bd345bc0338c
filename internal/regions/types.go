// Package regions compares the configurations of several regions. It finds requests that two regions
// handle differently, each with an example, and limits that the regions exceed in sum. It does no I/O and
// reads no clock.
package regions

import (
	"net/http"
	"time"

	"lockflow/control"
	"lockflow/internal/route"
)

// Region is the configuration that the instances of one region run.
type Region struct {
	Name      string
	Listeners []string // host:port on which other regions reach its instances
	Routes    []Route
	Services  []Service
	Instances int  // group size in the configuration of its instances
	Members   int  // number of instances in the fleet file; 0 if unknown
	Shared    bool // its hard limits are leased from counters, which all regions that name the same counter share
}

// Route is a routing rule with the attributes that package route does not have.
type Route struct {
	route.Rule
	RequestClass string // class of its requests; "" if the service's protocol determines it
	Base         bool   // inherited unchanged from the base configuration
	Line         int    // line in the region's file, from 1; 0 if unknown
}

// Service is the part of a service's configuration that is compared between regions.
type Service struct {
	Name string
	// GenericHTTP marks a generic HTTP service. Where a route names no class, its requests get the class read
	// or write by their method. Requests of the platform's protocol get the path's first segment as class.
	GenericHTTP  bool
	Classes      []control.Class
	Plans        []control.Plan
	Counter      string   // identifies the shared counters of its hard limits; "" if there are none
	Servers      []string // UIDs of app servers, listed in the configuration or named by Source
	Source       string   // identifies the server discovery: services with the same source have the same servers
	Destinations []string // host:port of servers listed in the configuration, to which it forwards
	SlowStart    SlowStart
	// Gather describes a scatter-gather service: what it requests of which services, how it merges the results
	// and how many it needs. It is "" for any other service. The Destinations of a scatter-gather service are
	// those of all services that it calls. The service is generic HTTP, accepts only idempotent requests, and
	// requests its parts by GET, even for a HEAD request.
	Gather string
}

// SlowStart limits the load that the complete group of a service's instances sends to a warming server.
type SlowStart struct {
	WarmupTime       time.Duration // 0 disables slow start
	InitialCapacity  float64       // fraction of a warm server's load that is sent at the start
	OverloadMultiple float64       // multiple of its current capacity above which a server is overloaded; 0 if there is no such limit
}

// Kind is the category of a conflict.
type Kind string

// The kinds of conflicts. docs/regions.md describes how to resolve each.
const (
	ServiceKind   Kind = "service"  // the regions forward one request to different services
	CoverageKind  Kind = "coverage" // one region accepts a request, the other does not
	TermsKind     Kind = "terms"    // the regions have different retry terms for one request
	HardLimitKind Kind = "ceiling"  // the regions together admit more than a plan's hard limit and slack
	SlowStartKind Kind = "cold"     // the regions together send a warming server more than it can serve
	LoopKind      Kind = "loop"     // a request is forwarded in a cycle of regions
	DeadKind      Kind = "dead"     // a rule that no request reaches
)

// Severity states whether a conflict prevents a change.
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

// Conflict is one finding of a comparison of regions.
type Conflict struct {
	Kind     Kind     `json:"kind"`
	Severity Severity `json:"severity"`
	Regions  []string `json:"regions"` // sorted
	Rules    []string `json:"rules"`   // names of routes, plans, classes or servers; one per region where the kind allows it
	Why      string   `json:"why"`
	Witness  *Witness `json:"witness,omitempty"` // only for conflicts about requests
}
