// Package control decides for one gateway what becomes of each request: whether it is admitted, when its plan has
// a turn, which server it is sent to, and what follows a failure.
//
// A Controller is fed events, such as a request, the end of an attempt or a change of the endpoint list, and returns
// the actions that they lead to, such as to send an attempt, to reject a request or to start a timer. It is pure:
// it does no I/O, and takes time with each event and its randomness from a seed, so that the same events lead to the
// same actions. It is not safe for concurrent use. All of its state is bounded and expires.
//
// The path of a request:
//
//   - Admission: hard limit, quota and the metered rejection probability (admission.go, usage.go).
//   - The queue of its plan, served by weighted round robin; shares are set by package sharecontrol.
//   - The concurrency limit, cut on overload and raised without.
//   - The choice of server: expected wait, outlier ejection and slow start.
//   - The end of the attempt: an answer, a retry within the retry budget, or a rejection.
//
// A Checkpoint is what another controller can go on from, after a reload, an upgrade or a restart; an Image is the
// complete state, for recordings. The files that decide are those that deploy/balancer.toml lists under policy; the
// others hold types, state and its storage.
package control
