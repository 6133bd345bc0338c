// Package desiredstate implements a fleet member's side of a rollout: which coordinator's commands the member accepts,
// which commands it has run, and its desired state.
//
// State decides without I/O: its methods return the next state, or why a claim or a command is rejected. File stores a
// state. Package daemon, the only caller of both at run time, saves the next state before acting on it; packages
// manage, fleet and regiontrial transport the messages (Claim, Command, Outcome) over the control socket.
//
// A State is a value and may be copied. A File must be used by one goroutine of one process at a time.
package desiredstate
