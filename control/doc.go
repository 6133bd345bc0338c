// Package control decides for one gateway what becomes of each request: whether it is admitted, when its plan has
// a turn, which server it is sent to, and what follows a failure.
//
// A Controller is fed events, such as a request, the end of an attempt or a change of the endpoint list, and returns
// the actions that they lead to, such as to send an attempt, to reject a request or to start a timer. It is pure:
// it does no I/O, and takes time with each event and its randomness from a seed, so that the same events lead to the
// same actions. It is not safe for concurrent use. All of its state is bounded and expires.
//
// The Controller keeps the clock and hands events on to one type for each concern, which take time and randomness as
// arguments. In the order of a request's path:
//
//   - clientWaitEstimator (client_wait.go): how long the client has waited already.
//   - admission (admission.go) with accountTable (accounts.go): token buckets of quotas and hard limits, and the
//     metered rejection probability, by usageEstimator (usage.go, demand.go, meter_clock.go, in_flight_quota.go).
//   - scheduler (scheduler.go) with planQueue: weighted round robin; shares are set by package sharecontrol.
//   - concurrencyLimiter (concurrency_limit.go): cut on overload and raised without, by a controlWindow.
//   - endpointSelector (endpoint_choice.go, load_estimate.go) with serverFleet (endpoints.go): the server of the
//     least expected wait, limited by outlierDetector (outlier.go) and slowStart (slow_start.go, throughput.go).
//   - retryPolicy (retries.go): whether a failed attempt is followed by another one.
//
// A Checkpoint is what another controller can go on from, after a reload, an upgrade or a restart; an Image is the
// complete state, for recordings. The files that decide are those that deploy/balancer.toml lists under policy; the
// others hold types, state and its storage.
package control
