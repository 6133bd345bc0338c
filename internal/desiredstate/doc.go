// Package desiredstate is a fleet member's side of a rollout: which coordinator the member obeys, which commands it
// has run, and what it is wanted to run.
//
// State decides and does no I/O: its methods return the next state, or why a claim or a command is rejected. File
// stores a state. Package daemon, the only caller of both at run time, saves the next state before it acts on it;
// packages manage, fleet and regiontrial carry the messages (Claim, Command, Outcome) over the control socket.
//
// A State is a value and may be copied. A File belongs to one goroutine of one process at a time.
package desiredstate
