// Package front is the client-facing side of the node. It accepts HTTP requests, routes each to a
// service, has the service process it, and writes the final answer to the client.
//
// A request passes through these calls:
//
//	Front.ServeHTTP -> RoutingTable (host, path, method, headers) -> Target
//	    Protocol.ReadRequest  checks the head and makes a service.Exchange
//	    Protocol.ReadBody     reads the body, or prepares to stream it
//	    Service.Admit         reserves memory for the request and its answer
//	    Service.Do            queues, forwards and retries; returns the final answer
//	    Protocol.WriteAnswer  writes that answer
//
// There are two protocols: platformProtocol, in which the query and headers name the customer, plan
// and deadline, and GenericHTTP, which is plain HTTP/1.x. A ScatterGather target sends one request to
// several services and merges their answers.
//
// Until Service.Admit, a request takes memory of the InputMemory, which all connections share: validatingConn reserves it as
// the head arrives, ReadBody as the body does.
//
// The package makes no scheduling decisions; it rejects only invalid requests. Package node creates
// the Front, runs its http.Server and replaces its RoutingTable on reload. All exported types are safe
// for concurrent use unless their documentation says otherwise; net/http handles every request in its
// own goroutine.
package front
