// Package service runs one service of a node: its decision module, the requests that it has accepted, the
// endpoint list of its servers and the connections to them. It reports events to the module and executes
// the actions that the module returns; it makes no decision about a request itself.
//
// Package node creates a Service for each configured service, and package front passes client requests to
// Service.Do. Each Service has one event loop: a goroutine that alone touches the module, the accepted
// exchanges and the connection pools. Everything else reaches them by posting a function to that goroutine.
// Attempts run on workers of their own and post how they ended. A service that is replaced by a reload
// transfers its state to its replacement and serves what it has accepted until nothing is left.
//
// Unless documented otherwise, exported types are safe for concurrent use.
package service
