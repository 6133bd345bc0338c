// Package config reads the configuration of a process: a TOML file (lockflow.toml) or the platform's JSON
// file. All errors of a TOML file are reported at once, each with its line and key. It also plans what a
// change of the configuration takes to come into force (Compare).
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
	// FieldError is one error in a file, with its place.
	FieldError = tree.FieldError
	// FieldErrors are all errors in a file, by line.
	FieldErrors = tree.FieldErrors //nolint:errname // a list of errors, which the linter does not see through the alias
)

// Config is the configuration of a process. It must not be changed once it is read.
type Config struct {
	Process   Process
	Listeners []string // host:port, or Inherited and the name of a socket
	Metrics   string   // host:port that serves metrics; "" is none
	Routes    []Route  // without any, all requests go to the one service, by the platform's protocol
	Services  []Service
	Gathers   []Gather // scatter-gather services; their names differ from those of Services
	Hash      string   // SHA-256 of the text that it was read from, in hex
	Warnings  []error  // settings of the platform's file that are ignored as invalid
}

// Process bounds the resources of a process. The tags of this type and of those below are the keys by which
// plans report a field; they keep older words.
type Process struct {
	Cores              float64       `plan:"cores"` // CPU cores; 0 is all that there are
	MemoryMB           int           `plan:"memory_mb"`
	Descriptors        int           `plan:"descriptors"`
	Drain              Drain         `plan:"drain"`
	StateDir           string        `plan:"state"`      // directory of checkpoints; "" is none
	CheckpointInterval time.Duration `plan:"checkpoint"` // between two checkpoints of what was spent and learned
	ControlSocket      string        `plan:"control"`    // path of the Unix socket for the operator's commands; "" is none
	Upgrade            Upgrade       `plan:"upgrade"`
	EventLog           bool          `plan:"tally"` // the events of each service are written to standard error, one a line

	// Shared tells that services share the process; the rest is zero without it, as in the platform's file.
	Shared            bool    `plan:"shared"`
	Total             Amounts `plan:",inline"`
	ClientDescriptors int64   `plan:"clients"` // guaranteed to connections of clients
}

// Drain is when the steps of a graceful shutdown are taken, each counted from the signal.
type Drain struct {
	Idle   time.Duration `plan:"idle"`   // idle client connections are closed
	Accept time.Duration `plan:"accept"` // no new connections are accepted
	Max    time.Duration `plan:"most"`   // requests still in flight are failed
}

// Upgrade bounds the steps by which a new process takes a daemon's place.
type Upgrade struct {
	ReadyTimeout time.Duration `plan:"within"`    // for the new process to become ready
	Probation    time.Duration `plan:"probation"` // during which the old process resumes where the new one ends
}

// Record is where a service's decisions are recorded.
type Record struct {
	Dir      string `plan:"dir"`   // "" is no recording
	MaxBytes int64  `plan:"bytes"` // of all files together, before compression
}

// Amounts are parts of a process's resources.
type Amounts struct {
	Descriptors int64   `plan:"descriptors"` // of connections to servers; in a total, of all connections
	Requests    int64   `plan:"held"`        // requests in flight
	Bytes       int64   `plan:"bytes"`       // of request and response bodies in memory
	Dials       int64   `plan:"dials"`       // connections that are being established
	ModuleTime  float64 `plan:"module_time"` // of the deciding modules, in CPU seconds a second
}

// Route leads requests to a service.
type Route struct {
	route.Rule
	RequestClass string   `plan:"as"`      // of its requests; "" is decided by the service's protocol
	Upgrade      []string `plan:"upgrade"` // protocols that its requests may switch to, in lower case
}

// Servers is how a service's app servers are connected to.
type Servers struct {
	Protocol           upstream.Protocol `plan:"protocol"`
	MaxStreams         int               `plan:"streams"`     // open at once on one connection of HTTP/2
	MaxConnections     int               `plan:"connections"` // of HTTP/2 to one server
	MaxAge             time.Duration     `plan:"age"`         // after which a connection is replaced; 0 is never
	HTTP2RetryInterval time.Duration     `plan:"again"`       // after which HTTP/2 is tried again at a server that did not support it
	TLS                certs.Options     `plan:"t_l_s"`
}

// Counter is how a service's hard limits are shared over the replica group, by leases from quota lease
// stores; the zero value shares none.
type Counter struct {
	Addresses    []string                        `plan:"addresses"` // host:port of Redis servers; customers are spread over them
	Name         string                          `plan:"name"`      // prefix of the keys
	Username     string                          `plan:"username"`
	PasswordFile string                          `plan:"password_file"`
	CallTimeout  time.Duration                   `plan:"within"`
	Rules        quotalease.Rules                `plan:"rules"`
	HardLimits   map[string]quotalease.HardLimit `plan:"ceilings"` // by plan
}

// Service is a service with app servers.
type Service struct {
	Name             string                 `plan:"name"`
	Seed             uint64                 `plan:"seed"`
	Settings         control.Settings       `plan:",inline"`
	Source           discovery.Source       `plan:"-"`
	Known            discovery.EndpointList `plan:"-"` // endpoints to begin with, until discovery answers
	ConnectTimeout   time.Duration          `plan:"connect_timeout"`
	Keepalive        time.Duration          `plan:"keepalive"` // for which an idle connection to a server is kept
	MaxBodyBytes     int64                  `plan:"body"`      // of a request; negative is unlimited
	MaxResponseBytes int64                  `plan:"answer"`    // of a response's body
	Servers          Servers                `plan:"servers"`
	Counter          Counter                `plan:"counter"`
	OnPanic          service.PanicPolicy    `plan:"on_panic"`
	HTTP             *HTTP                  `plan:"h_t_t_p"` // settings of generic HTTP; nil is the platform's protocol
	Record           Record                 `plan:"record"`
	Required         bool                   `plan:"required"` // the node is ready only once this service is
	Guaranteed       Amounts                `plan:"guaranteed"`
}
