// Package rollout decides how a fleet changes in stages: which member changes when, beside which controls,
// when a stage has passed, when the change is rolled back, and which coordinator may decide that.
//
// A Rollout is a state machine. Handle takes an event and the time, and returns the actions to be done, in order. It
// does no I/O: package fleet, the caller, polls the members, sends them commands and writes the rollout log. A
// decision is a Write before it is any other action, so that another coordinator can resume from the log.
//
// A change has generations: 0 is what runs before it, the last is what is wanted, and those between are settings that
// make a mixture of versions safe. A phase leads from one generation to the next, and begins only when every member
// runs the one before: two neighbouring generations at most are in force at any time.
//
// A Rollout is not safe for concurrent use.
package rollout
