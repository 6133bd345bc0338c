// Package rolloutsim simulates staged changes over fleets in virtual time. Instances draw their statistics from a model
// of traffic, warm-up and faults of the environment, and a judge (internal/canary's, or a simpler one to compare it
// with) decides when a stage has passed and when the change stops. All of it follows from the seed.
//
// Package command is its caller (lockflow simulate --rollout); docs/rollout-figures.md has results.
package rolloutsim
