// Package config reads what a process is started with: a file of our own form (lockflow.toml)
// or the platform's JSON file. Everything wrong in a file is told with its line and key.
package config

import (
	"time"

	"lockflow/control"
	"lockflow/internal/certs"
	"lockflow/internal/config/tree"
	"lockflow/internal/discovery"
	"lockflow/internal/quotalease"
	"lockflow/internal/route"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

type (
	// FieldError is one thing that is wrong in a file, and where.
	FieldError = tree.FieldError
	// FieldErrors are all that is wrong in a file, by line.
	FieldErrors = tree.FieldErrors //nolint:errname // a list of errors, which the linter does not see through the alias
)

// Config is what a process is started with. It is not changed once it is read.
type Config struct {
	Process   Process
	Listeners []string // addresses
	Metrics   string   // address on which metrics are told; "" is none
	Routes    []Route  // none: all requests are for the one service, by the protocol's path
	Services  []Service
	Gathers   []Gather // services that ask others; none of their names is a Service's
	Hash      string   // of the text that it was read from, SHA-256 in hex
	Warnings  []error  // of the platform's: what makes no sense and can be served by
}

// Process bounds what the process may use.
type Process struct {
	Cores              float64       `plan:"cores"`
	MemoryMB           int           `plan:"memory_mb"`
	Descriptors        int           `plan:"descriptors"`
	Drain              Drain         `plan:"drain"`
	StateDir           string        `plan:"state"`      // directory of what outlives the process; "" is none
	CheckpointInterval time.Duration `plan:"checkpoint"` // how often what was spent and learned is written there
	ControlSocket      string        `plan:"control"`    // Unix socket by which the owner asks and tells; "" is none
	Upgrade            Upgrade       `plan:"upgrade"`
	EventLog           bool          `plan:"tally"` // whether what each service does is written to standard error, a line for each thing
	// Of a process whose services share; zero where there is one service without parts.
	Shared bool    `plan:"shared"`
	Total  Amounts `plan:",inline"`
	// ClientDescriptors is how many descriptors are guaranteed to connections of clients.
	ClientDescriptors int64 `plan:"clients"`
}

// Drain is when a node that is to end takes its steps, each counted from the signal.
type Drain struct {
	Idle   time.Duration `plan:"idle"`   // closes idle client connections
	Accept time.Duration `plan:"accept"` // takes no new ones
	Max    time.Duration `plan:"most"`   // fails what is still held
}

// Upgrade bounds the steps by which a new process takes a daemon's place.
type Upgrade struct {
	ReadyTimeout time.Duration `plan:"within"`    // the new process has to be ready
	Probation    time.Duration `plan:"probation"` // for which the old one could still go on where the new one ends
}

// Record is where a service's decisions are recorded.
type Record struct {
	Dir      string `plan:"dir"`   // "" is nowhere
	MaxBytes int64  `plan:"bytes"` // of all files, before they are compressed
}

// Amounts are parts of what a process has.
type Amounts struct {
	Descriptors int64   `plan:"descriptors"` // of connections to servers; in a total, of all connections
	Requests    int64   `plan:"held"`        // requests that are taken and not answered
	Bytes       int64   `plan:"bytes"`       // of bodies and answers
	Dials       int64   `plan:"dials"`       // connections coming up
	ModuleTime  float64 `plan:"module_time"`
}

// Route leads requests to a service.
type Route struct {
	route.Rule
	RequestClass string   `plan:"as"`      // the class that its requests have; "" is for the service's protocol to tell
	Upgrade      []string `plan:"upgrade"` // protocols that its requests may change to, in lower case
}

// Servers is how a service's app servers are spoken to.
type Servers struct {
	Protocol           upstream.Protocol `plan:"protocol"`
	MaxStreams         int               `plan:"streams"`     // open at once on a connection of HTTP/2
	MaxConnections     int               `plan:"connections"` // of HTTP/2 to one server
	MaxAge             time.Duration     `plan:"age"`         // from which on one is replaced; 0 is never
	HTTP2RetryInterval time.Duration     `plan:"again"`       // until HTTP/2 is tried again at a server that turned out not to speak it
	TLS                certs.Options     `plan:"t_l_s"`
}

// Counter is how a service's ceilings are shared over the group; its zero value shares none.
type Counter struct {
	Addresses    []string                        `plan:"addresses"` // of Redis servers; customers are spread over them
	Name         string                          `plan:"name"`      // of what is counted there
	Username     string                          `plan:"username"`
	PasswordFile string                          `plan:"password_file"`
	CallTimeout  time.Duration                   `plan:"within"` // a call has its answer
	Rules        quotalease.Rules                `plan:"rules"`
	HardLimits   map[string]quotalease.HardLimit `plan:"ceilings"` // by plan
}

// Service is one service.
type Service struct {
	Name             string                 `plan:"name"`
	Seed             uint64                 `plan:"seed"`
	Settings         control.Settings       `plan:",inline"`
	Source           discovery.Source       `plan:"-"`
	Known            discovery.EndpointList `plan:"-"`
	ConnectTimeout   time.Duration          `plan:"connect_timeout"`
	Keepalive        time.Duration          `plan:"keepalive"`
	MaxBodyBytes     int64                  `plan:"body"`   // most bytes of a request's body; below zero is any number
	MaxResponseBytes int64                  `plan:"answer"` // and of an answer's
	Servers          Servers                `plan:"servers"`
	Counter          Counter                `plan:"counter"`
	OnPanic          service.PanicPolicy    `plan:"on_panic"`
	HTTP             *HTTP                  `plan:"h_t_t_p"` // what generic HTTP needs; nil is the platform's protocol
	Record           Record                 `plan:"record"`
	Required         bool                   `plan:"required"` // the node is ready only once this service is
	Guaranteed       Amounts                `plan:"guaranteed"`
}
