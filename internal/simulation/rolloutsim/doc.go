// Package rolloutsim simulates staged rollouts over fleets in virtual time. Instances draw their statistics from a model
// of traffic, warm-up and faults of the environment. A judge (that of internal/canary, or a simpler one as a baseline)
// decides when a stage has passed and when the rollout stops. The seed determines the whole simulation.
//
// Package command runs it for lockflow simulate --rollout; docs/rollout-figures.md lists results.
package rolloutsim
