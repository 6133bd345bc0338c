// Package limits limits what a process, and each of its services, may have of descriptors, requests, bytes,
// dials and module time. It counts what is in use and evicts what is idle; how much a service may have is
// decided by package bulkhead.
//
// A process with one service uses a SocketLimiter and a ByteLimiter. Services that share a process have an
// Account at a SharedResource for each kind, and a RequestLimiter over some of these. Package node creates
// them; packages upstream, front and service acquire from them. All types are safe for concurrent use.
package limits
