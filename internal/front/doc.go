// Package front is the client-facing side of the node. It accepts HTTP requests, finds the service
// that each is for, has the service process it, and writes the final answer to the client.
//
// The flow of a request:
//
//	Front.ServeHTTP -> RoutingTable (host, path, method, headers) -> Target
//	    Protocol.ReadRequest  checks the head and makes a service.Exchange
//	    Service.Admit         reserves memory for the request
//	    Protocol.ReadBody     reads the body, or prepares to stream it
//	    Service.Do            queues, forwards and retries; returns the final answer
//	    Protocol.WriteAnswer  writes that answer
//
// There are two protocols: platformProtocol, whose headers name customer, plan and deadline, and
// GenericHTTP, which is plain HTTP/1.x. A ScatterGather target sends one request to several services
// and merges their answers.
//
// The package makes no scheduling decisions: it only rejects requests that cannot be read. Package
// node creates the Front, runs its http.Server and replaces its RoutingTable on reload. All exported
// types are safe for concurrent use unless their documentation says otherwise; every request is
// handled by its own net/http goroutine.
package front
