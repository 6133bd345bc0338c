// Package fleet is the operator's side of a fleet of daemons, on one machine or behind a list of control sockets: it
// starts the daemons, polls them, and runs staged changes of their settings or program.
//
// Package rollout decides how a change goes on; a coordinator here does what it decides, over package manage's control
// sockets, has package canary compare members, and stores each decision in package rolloutlog's log before it acts on it.
// Nothing of this package runs in the background, except for Run, which supervises the daemons that it starts.
// Package command is its caller, and trials use it too.
package fleet
