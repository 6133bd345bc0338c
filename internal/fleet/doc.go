// Package fleet operates a fleet of daemons, on one machine or behind a list of control sockets: it starts the daemons,
// polls them, and runs staged changes of their settings or program.
//
// Package rollout is the state machine that decides the next step of a change. The coordinator in this package executes
// its decisions over package manage's control sockets, compares members by package canary, and stores each decision in
// package rolloutlog's log before acting on it. Nothing in this package runs in the background, except for Run, which
// supervises the daemons that it starts. Package command and the trials call it.
package fleet
