// Package limits limits the descriptors, requests, bytes, dials and module time that a process, and each of its
// services, may use. It counts what is in use and evicts what is idle. Package bulkhead decides how much a service
// may have.
//
// A process with one service uses a SocketLimiter and a ByteLimiter. Services that share a process have an
// Account at a SharedResource for each kind of resource, and a RequestLimiter that combines some of these. Package
// node creates them; packages upstream, front and service acquire from them. All types are safe for concurrent use.
package limits
