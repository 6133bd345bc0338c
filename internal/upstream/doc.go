// Package upstream makes attempts at app servers: an attempt sends one request over one connection, once, and
// reports the outcome.
//
// Package service creates an Upstream for each service and a Pool for each of its servers. It calls the Attempt
// method of a request for each attempt that the decision module starts. There are two kinds of request.
// BufferedRequest belongs to the platform's protocol: request and response are complete in memory. RelayedRequest
// belongs to generic HTTP: bodies of any size are relayed in both directions, and a response that is not buffered
// continues as a Stream.
//
// Over HTTP/1.1 an attempt has a connection of its own (serverConn), taken from its pool or dialed. Over HTTP/2
// it has a stream of a connection that it shares with other attempts (sharedConnections). Both kinds of connection
// are counted by the limiters of Options and closed by WatchIdle, Evict, RetirePool or the attempt itself.
//
// An Outcome states what is known about the request: that it was never sent, that it cannot have been processed,
// or that it may have been. This package never resends a request; the module decides on retries. The ctx of an
// attempt may be an Attempt, which decides immediately before the first byte whether the request is sent at all.
//
// Exported types are safe for concurrent use unless their documentation says otherwise.
package upstream
