package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/certs"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
)

// idleFraction is the part of the servers' keep-alive timeout for which a connection may be idle here.
const idleFraction = 2.0 / 3

// Options configure an Upstream.
type Options struct {
	ConnectTimeout   time.Duration            // for a connection to be made, its TLS handshake included
	KeepAliveTimeout time.Duration            // after which the app servers close idle connections
	SocketLimiter    limits.ConnectionLimiter // counts each connection
	DialLimiter      limits.ConnectionLimiter // counts each connection until it is up; nil counts none
	MaxBodyBytes     int                      // of an answer's body; 0 is protocol.MaxBodyBytes
	QuietPeriod      time.Duration            // of a connection after an answer, before the next BufferedRequest; 0 is none
	HTTP2            HTTP2Options
	TLS              *certs.Store // nil connects without TLS
}

// Protocol is the protocol for an app server. The values follow the order of
// discovery.Protocols.
type Protocol int

// The protocols for app servers.
const (
	ProtocolHTTP1       Protocol = iota
	ProtocolHTTP2                // with prior knowledge (RFC 9113, 3.3)
	ProtocolPreferHTTP2          // the same, and HTTP/1.1 to servers that turn out not to speak HTTP/2
)

// HTTP2Options configure the connections of HTTP/2.
type HTTP2Options struct {
	MaxStreams       int           // open at once on a connection, even if the server allows more
	MaxConnections   int           // to one server, without those that are ending
	MaxConnectionAge time.Duration // after which a connection is replaced; 0 is never
	FallbackPeriod   time.Duration // for which HTTP/1.1 is used for a server that turned out not to support HTTP/2
	StartsAtLastByte bool          // servers begin a request with its last byte, not with its head
}

// Upstream makes attempts at the app servers of a service. It never retries a request by itself, as
// net/http's Transport would, and it records whether the last byte of a request was written.
type Upstream struct {
	Options
	maxIdleTime            time.Duration
	hasUnsolicitedResponse atomic.Bool // a server has sent an answer without a request
	usesHTTP2              atomic.Bool // some pool may speak HTTP/2, or did

	mu    sync.Mutex // guards pools, and the idle list and mergedInto of every Pool
	pools map[*Pool]struct{}
}

// New makes an Upstream without connections.
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
