// Package upstream makes attempts at app servers: it sends one request over one connection, once, and reports
// how that ended.
//
// Package service creates an Upstream for each service, a Pool for each of its servers, and calls the Attempt
// method of a request for each attempt that its decision module starts. There are two kinds of request.
// BufferedRequest is one of the platform's protocol: request and answer are complete in memory. RelayedRequest
// is one of generic HTTP: bodies of any size pass through in both directions, and an answer that is not
// buffered continues as a Stream.
//
// Over HTTP/1.1 an attempt has a connection of its own (serverConn), taken from its pool or dialed. Over HTTP/2
// it has a stream of a connection that it shares with other attempts (sharedConnections). Both are counted by the
// limiters of Options and closed by WatchIdle, Evict, RetirePool or the attempt itself.
//
// An Outcome tells what is known of the request: whether it was never sent, cannot have been processed, or may
// have been. No request is sent a second time here; that is decided by the module. The ctx of an attempt may be
// an Attempt, which decides at the last moment before the first byte whether it is sent at all.
//
// Exported types are safe for concurrent use unless their documentation says otherwise.
package upstream
