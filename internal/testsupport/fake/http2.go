package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// defaultStreams is the default of HTTP2Server.Streams.
	defaultStreams = 100
	// defaultMaxCutOffset is the default of HTTP2Faults.MaxCutOffset.
	defaultMaxCutOffset = 3000
	// Random number streams, used as the second seed value: of a server and of its connections.
	http2ServerStream = 9
	http2ConnStream   = 1
)

// HTTP2Faults holds the probability of each fault, from 0 to 1, of a request or of a connection.
type HTTP2Faults struct {
	// Faults of requests.
	Refuse float64 // reset with REFUSED_STREAM, and not executed
	Reset  float64 // executed, and reset with another code
	Error  float64 // executed, and answered 500
	Early  float64 // executed and answered before the body was read
	Lower  float64 // the limit of concurrent streams decreases, down to 0, and is restored later
	GoAway float64 // GOAWAY: gracefully in two steps, immediately, or with a decreasing last stream ID

	// Faults of connections.
	CutRead float64 // closed after a random number of bytes was read
	CutSent float64 // closed after a random number of bytes was sent

	MaxCutOffset int // maximum number of bytes after which a connection is closed; 0 means 3000
}

// HTTP2Server configures an app server that speaks HTTP/2 with prior knowledge.
type HTTP2Server struct {
	UID        string
	Executions *Executions // if nil, the server has its own
	Group      *Group      // servers that drop repeats together with this one; may be nil
	Faults     HTTP2Faults
	Seed       uint64
	Streams    uint32        // maximum concurrent streams of a connection; 0 means 100
	Work       time.Duration // execution time of each request
}

// RunningHTTP2 is a running HTTP/2 app server. Its methods are safe for concurrent use.
type RunningHTTP2 struct {
	HTTP2Server
	listener net.Listener

	mu         sync.Mutex
	rng        *rand.Rand
	conns      map[net.Conn]bool
	dials      int
	maxConns   int
	goroutines sync.WaitGroup
}

// Start starts the server on a free port of the loopback address.
func (s HTTP2Server) Start() (*RunningHTTP2, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", loopbackAddress)
	if err != nil {
		return nil, fmt.Errorf("starting app server %s: %w", s.UID, err)
	}
	if s.Executions == nil {
		s.Executions = &Executions{}
	}
	if s.Streams == 0 {
		s.Streams = defaultStreams
	}
	r := &RunningHTTP2{
		HTTP2Server: s,
		listener:    listener,
		rng:         rand.New(rand.NewPCG(s.Seed, http2ServerStream)),
		conns:       make(map[net.Conn]bool),
	}
	r.goroutines.Go(r.accept)
	return r, nil
}

func (r *RunningHTTP2) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.dials++
		r.maxConns = max(r.maxConns, len(r.conns))
		c := newHTTP2Conn(r, conn, rand.New(rand.NewPCG(r.rng.Uint64(), http2ConnStream)))
		r.mu.Unlock()
		r.goroutines.Go(func() {
			c.serve()
			conn.Close()
			r.mu.Lock()
			delete(r.conns, conn)
			r.mu.Unlock()
		})
	}
}

// Addr returns the address that the server listens on.
func (r *RunningHTTP2) Addr() string { return r.listener.Addr().String() }

// Dials returns the number of accepted connections and the maximum number open at the same time.
func (r *RunningHTTP2) Dials() (total, maxOpen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dials, r.maxConns
}

// Close stops the server and closes all its connections.
func (r *RunningHTTP2) Close() {
	r.listener.Close()
	r.mu.Lock()
	for conn := range r.conns {
		conn.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}
