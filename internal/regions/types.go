// Package regions holds the configurations of several regions against each other: it finds requests
// that two of them treat differently, each with a witness, and sums over regions that no region can see
// alone. It is pure: no I/O, no time but what it is given.
package regions

import (
	"net/http"
	"time"

	"lockflow/control"
	"lockflow/internal/route"
)

// Region is what one region's instances run.
type Region struct {
	Name      string
	Listeners []string // host:port that its instances listen on, as other regions name them
	Routes    []Route
	Services  []Service
	Instances int  // the group's size that its instances are told
	Members   int  // instances that there are by the fleet file; 0 is unknown
	Shared    bool // its ceilings are lent by counters that all regions of the same counter name share
}

// Route is one rule, compiled by route as the node itself does.
type Route struct {
	route.Rule
	RequestClass string // classRules that its requests have; "" is for the protocol to tell
	Base         bool   // it stands in the base unchanged
	Line         int    // pathRegions the region's file; 0 is unknown
}

// Service is what matters of a service beyond its region.
type Service struct {
	Name         string
	GenericHTTP  bool // HTTP: a route without a class means read or write by method; else the path's first segment
	Classes      []control.Class
	Plans        []control.Plan
	Counter      string   // name of what is counted at shared counters; "" is none
	Servers      []string // uids of app servers that its configuration lists or its source names; see Source
	Source       string   // ids its servers, for equality: two services of one source have the same servers
	Destinations []string // host:port of servers listed in the file: where its requests go on
	SlowStart    SlowStart
	// Gather is of a service that asks others and gives their answers as one: whom, how it joins them and
	// what is enough of them, for equality; "" is none. Leads are then those of all that it reaches. It is
	// ordinary, takes no more than what is free to repeat, and asks by GET where it is asked by HEAD.
	Gather string
}

// SlowStart is what a service lets a cold server have, over the whole group that its instances believe in.
type SlowStart struct {
	WarmupTime       time.Duration // that a server counts as cold; 0 is never
	InitialCapacity  float64       // share of a warm server's work at the start
	OverloadMultiple float64       // ids what it may have at which a server falls; 0 is none
}

// Kind is what a conflict is about.
type Kind string

// The kinds.
const (
	ServiceKind   Kind = "service"  // one request, two services
	CoverageKind  Kind = "coverage" // one region takes it, another does not
	TermsKind     Kind = "terms"    // same class, other repeat terms
	HardLimitKind Kind = "ceiling"  // the regions' parts pass a plan's ceiling and slack
	SlowStartKind Kind = "cold"     // the regions' cold budgets pass a server's limit
	LoopKind      Kind = "loop"     // a request that goes round
	DeadKind      Kind = "dead"     // a rule that no request reaches
)

// Severity says whether a conflict stops a change.
type Severity string

// The severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Witness is a request that shows a conflict. Host and path are in their one form.
type Witness struct {
	Method  string      `json:"method"`
	Host    string      `json:"host"`
	Path    string      `json:"path"`
	Headers http.Header `json:"headers"`
}

// Conflict is one difference.
type Conflict struct {
	Kind     Kind     `json:"kind"`
	Severity Severity `json:"severity"`
	Regions  []string `json:"regions"` // sorted
	Rules    []string `json:"rules"`   // regionNames of routes, plans, classes or servers, one for each region where that fits
	Why      string   `json:"why"`
	Witness  *Witness `json:"witness,omitempty"` // ids kinds that are about requests
}
