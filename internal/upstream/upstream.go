package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/certs"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
)

// idleFraction is the fraction of the servers' keep-alive timeout for which an idle connection is kept. Closing it
// before the server does avoids writing a request on a connection that the server is closing.
const idleFraction = 2.0 / 3

// Options configure an Upstream.
type Options struct {
	ConnectTimeout   time.Duration            // limit for establishing a connection, including the TLS handshake
	KeepAliveTimeout time.Duration            // after which the app servers close idle connections
	SocketLimiter    limits.ConnectionLimiter // counts open connections
	DialLimiter      limits.ConnectionLimiter // counts connections that are being established; nil counts none
	MaxBodyBytes     int                      // limit of a response body; 0 is protocol.MaxBodyBytes
	QuietPeriod      time.Duration            // wait after a response before its connection takes the next request; 0 is none
	HTTP2            HTTP2Options
	TLS              *certs.Store // nil connects without TLS
}

// Protocol is the protocol spoken to an app server. The values follow the order of
// discovery.Protocols.
type Protocol int

// Protocols spoken to app servers.
const (
	ProtocolHTTP1       Protocol = iota
	ProtocolHTTP2                // with prior knowledge (RFC 9113, 3.3)
	ProtocolPreferHTTP2          // HTTP/2 with prior knowledge, and HTTP/1.1 to servers that do not support HTTP/2
)

// HTTP2Options configure HTTP/2 connections.
type HTTP2Options struct {
	MaxStreams       int           // limit of open streams per connection, even if the server allows more
	MaxConnections   int           // limit of connections to one server, not counting those that are ending
	MaxConnectionAge time.Duration // age at which a connection is replaced; 0 is never
	FallbackPeriod   time.Duration // how long HTTP/1.1 is used for a server that turned out not to support HTTP/2
	StartsAtLastByte bool          // servers start processing a request at its last byte, not at its head
}

// Upstream makes attempts at the app servers of a service. Unlike net/http's Transport, it never retries a request
// by itself, and it records whether the last byte of a request was written.
type Upstream struct {
	Options
	maxIdleTime time.Duration
	usesHTTP2   atomic.Bool // some pool uses HTTP/2 or has used it

	lastUnsolicitedResponse atomic.Pointer[time.Time] // when a server last sent a response without a request; nil is never

	mu    sync.Mutex // guards pools, and the idle list and mergedInto of every Pool
	pools map[*Pool]struct{}
}

// New creates an Upstream without connections.
func New(options Options) *Upstream {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = protocol.MaxBodyBytes
	}
	return &Upstream{
		Options:     options,
		maxIdleTime: time.Duration(idleFraction * float64(options.KeepAliveTimeout)),
		pools:       make(map[*Pool]struct{}),
	}
}
