// Package manage implements the control socket, through which a daemon's owner reads its status and sends it requests:
// HTTP with JSON bodies over a Unix socket that only the owner may open.
//
//	GET  /v1/status
//	POST /v1/reload            reloads the configuration; answers once it is in force or rejected
//	POST /v1/upgrade           {"program": PATH}; answers once a new process serves or has failed to
//	POST /v1/drain             {"keep": true}; answers immediately; with keep the daemon stays drained until /v1/serve
//	POST /v1/serve             reverts a drain with keep; answers once that is stored
//	POST /v1/claim             desiredstate.Claim: selects the coordinator whose commands are accepted
//	POST /v1/order             desiredstate.Command; answers when it has ended, with its outcome
//
// Package daemon serves the socket by Server; commands, fleet coordinators and trials use Client. Both types are safe
// for concurrent use.
package manage

import (
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/instancestats"
	"lockflow/internal/node"
	"lockflow/internal/scattergather"
)

// Status is a daemon's status. The JSON keys predate the names of the fields and differ from them for compatibility.
type Status struct {
	PID             int       `json:"pid"`
	Program         string    `json:"program"` // path of the executable
	ConfigPath      string    `json:"config"`
	State           string    `json:"life"` // a lifecycle.State, or StateDrained
	StartedAt       time.Time `json:"started"`
	Generation      int       `json:"generation"` // of the configuration in force
	Instance        int       `json:"instance"`
	Instances       int       `json:"instances"`   // configured group size
	Listeners       []string  `json:"listeners"`   // addresses
	OpenDescriptors int       `json:"descriptors"` // number of open file descriptors
	MemoryKB        int       `json:"memory_kb"`   // resident set size
	SuccessorPID    int       `json:"beside"`      // id of the process that is taking over from this one; 0 if there is none

	Services []node.Status `json:"services"`
	// ScatterGathers are the statuses of the scatter-gather services; omitted if there are none.
	ScatterGathers     []scattergather.Status `json:"gathers,omitempty"`
	RetiredServices    []node.RetiredService  `json:"older"`     // services of earlier generations with requests in flight
	DegradedConditions []string               `json:"distrusts"` // what is currently unreliable, since when, and why

	ConfigHash string `json:"hash"`    // SHA-256, in hex, of the text of the configuration in force
	Epoch      uint64 `json:"epoch"`   // newest epoch that was granted; 0 if there is none
	Owner      string `json:"owner"`   // coordinator to which Epoch was granted
	IsVolatile bool   `json:"forgets"` // there is no state directory, so a crash loses epoch, commands and desired state
	// LostToken, if not empty, means that the member has lost the record of granted epochs. It rejects every coordinator
	// until it receives a claim with this token as LossToken.
	LostToken      string                   `json:"lost,omitempty"`
	LastCommand    desiredstate.Outcome     `json:"order"`           // outcome of the command that ended last
	RunningCommand string                   `json:"doing,omitempty"` // id of the running command
	DesiredState   desiredstate.Target      `json:"wanted"`
	Statistics     instancestats.Statistics `json:"figures"`
}

// StateDrained is the State of a daemon whose desired state is drained: it has a control socket but no listeners.
const StateDrained = "drained"

// IsReady reports whether the daemon serves.
func (s *Status) IsReady() bool { return s.State == "ready" || s.State == "reloading" }

// IsAsDesired reports whether the daemon serves, or is drained because that is its desired state.
func (s *Status) IsAsDesired() bool {
	return s.IsReady() || s.State == StateDrained && s.DesiredState.Drained
}

// Messages of a coordinator.
type (
	// Claim is a coordinator's claim of an epoch.
	Claim = desiredstate.Claim
	// Command is a command of an epoch's owner.
	Command = desiredstate.Command
	// Operation is the operation of a command.
	Operation = desiredstate.Operation
)

// upgradeRequest is the body of /v1/upgrade.
type upgradeRequest struct {
	Program string `json:"program"` // path; empty for the current program
}

// drainRequest is the body of /v1/drain.
type drainRequest struct {
	Keep bool `json:"keep"` // the daemon stays drained until /v1/serve
}

// errorAnswer is the body of an answer with a status of 400 or above.
type errorAnswer struct {
	Error string            `json:"error"`
	Code  desiredstate.Code `json:"code,omitempty"` // set for claims and commands
}
