// Package manage is the control socket, by which a daemon's owner gets its status and sends it requests: HTTP over a
// Unix socket that the owner alone may open, with JSON in both directions.
//
//	GET  /v1/status
//	POST /v1/reload            reloads the configuration; answers once it is in force or rejected
//	POST /v1/upgrade           {"program": PATH}; answers once a new process serves, or can't
//	POST /v1/drain             {"keep": true}; answers at once; with keep it doesn't serve until serve
//	POST /v1/serve             undoes a drain with keep; answers once that is stored
//	POST /v1/claim             desiredstate.Claim: which coordinator's commands are accepted
//	POST /v1/order             desiredstate.Command; answers with its outcome
//
// Package daemon serves it (Server) for its Daemon; commands, fleet coordinators and trials call it (Client). Both
// are safe for concurrent use.
package manage

import (
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/instancestats"
	"lockflow/internal/node"
	"lockflow/internal/scattergather"
)

// Status is what a daemon reports of itself. The keys are older than the names of the fields.
type Status struct {
	PID             int       `json:"pid"`
	Program         string    `json:"program"` // path of its executable
	ConfigPath      string    `json:"config"`
	State           string    `json:"life"` // a lifecycle.State, or StateDrained
	StartedAt       time.Time `json:"started"`
	Generation      int       `json:"generation"` // of the configuration in force
	Instance        int       `json:"instance"`
	Instances       int       `json:"instances"`   // configured group size
	Listeners       []string  `json:"listeners"`   // addresses
	OpenDescriptors int       `json:"descriptors"` // of files
	MemoryKB        int       `json:"memory_kb"`   // resident
	SuccessorPID    int       `json:"beside"`      // of the process that is taking this one's place; 0 for none

	Services []node.Status `json:"services"`
	// ScatterGathers are the scatter-gather services; omitted where there are none.
	ScatterGathers     []scattergather.Status `json:"gathers,omitempty"`
	RetiredServices    []node.RetiredService  `json:"older"`     // services of earlier generations with requests in flight
	DegradedConditions []string               `json:"distrusts"` // what can't be relied on at present, since when and why

	ConfigHash string `json:"hash"`    // SHA-256, in hex, of the text of the configuration in force
	Epoch      uint64 `json:"epoch"`   // the newest that was granted; 0 for none
	Owner      string `json:"owner"`   // the coordinator to whom it was granted
	IsVolatile bool   `json:"forgets"` // without a state directory: epoch, commands and desired state don't outlive a crash
	// LostToken, where it is not empty, means that the member doesn't know which epochs it had granted. It rejects
	// every coordinator until a claim has this token in After.
	LostToken      string                   `json:"lost,omitempty"`
	LastCommand    desiredstate.Outcome     `json:"order"`           // outcome of the command that ended last
	RunningCommand string                   `json:"doing,omitempty"` // id of the command that runs
	DesiredState   desiredstate.Target      `json:"wanted"`
	Statistics     instancestats.Statistics `json:"figures"`
}

// StateDrained is the State of a daemon whose desired state is drained: it has a control socket and no listeners.
const StateDrained = "drained"

// IsReady returns whether the daemon serves.
func (s *Status) IsReady() bool { return s.State == "ready" || s.State == "reloading" }

// IsAsDesired returns whether the daemon serves, or is drained because that is its desired state.
func (s *Status) IsAsDesired() bool {
	return s.IsReady() || s.State == StateDrained && s.DesiredState.Drained
}

// What a coordinator sends.
type (
	// Claim is a coordinator's claim of an epoch.
	Claim = desiredstate.Claim
	// Command is a command of an epoch's owner.
	Command = desiredstate.Command
	// Operation is what a command is to reach.
	Operation = desiredstate.Operation
)

// upgradeRequest is the body of /v1/upgrade.
type upgradeRequest struct {
	Program string `json:"program"` // empty for the one that runs
}

// drainRequest is the body of /v1/drain.
type drainRequest struct {
	Keep bool `json:"keep"` // it doesn't serve before /v1/serve
}

// errorAnswer is the body of an answer with a status of 400 or above.
type errorAnswer struct {
	Error string            `json:"error"`
	Code  desiredstate.Code `json:"code,omitempty"` // of desiredstate, for a claim or a command
}
