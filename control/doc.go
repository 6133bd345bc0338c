// Package control makes the decisions of one gateway on each request: whether to admit it, when to schedule it
// among the plans, which server to send it to, and whether to retry it after a failure.
//
// A Controller handles events, such as a request, the end of an attempt or a change of the endpoint list, and returns
// the resulting actions, such as sending an attempt, rejecting a request or starting a timer. It is deterministic:
// it does no I/O, each event carries the current time, and random numbers come from a seed, so the same events yield
// the same actions. It is not safe for concurrent use. All of its state is bounded and expires.
//
// The Controller keeps the clock and delegates each concern to one type, which takes the time and the random number
// generator as arguments. In the order in which a request passes them:
//
//   - clientWaitEstimator (client_wait.go): estimates how long the client has already waited.
//   - admission (admission.go) with accountTable (accounts.go): token buckets of quotas and hard limits, and the
//     metered rejection probability, by usageEstimator (usage.go, demand.go, meter_clock.go, in_flight_quota.go).
//   - scheduler (scheduler.go) with planQueue: weighted round robin; package sharecontrol sets the shares.
//   - concurrencyLimiter (concurrency_limit.go): cuts the limit on overload and raises it otherwise, at the end of
//     each controlWindow.
//   - endpointSelector (endpoint_choice.go, load_estimate.go) with serverFleet (endpoints.go): selects the server of
//     lowest expected cost, limited by outlierDetector (outlier.go) and slowStart (slow_start.go, throughput.go).
//   - retryPolicy (retries.go): decides whether a failed attempt is retried.
//
// A Checkpoint is the state that another controller can continue from after a reload, an upgrade or a restart; an
// Image is the complete state, for recordings. The files that make decisions are listed under policy in
// deploy/balancer.toml; the others hold types, state and its storage.
package control
