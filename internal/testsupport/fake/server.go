package fake

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// loopbackAddress has the system choose a port.
const loopbackAddress = "127.0.0.1:0"

// serverStream is the stream of a server's random numbers, in addition to its seed.
const serverStream = 3

// Faults are the fractions of a server's requests with each fault, from 0 to 1.
type Faults struct {
	Error   float64 // executed, and answered 500
	Reset   float64 // executed; the connection closes without an answer
	Corrupt float64 // executed; the answer cannot be parsed, and the connection remains open
	Reject  float64 // rejected unprocessed, although there is capacity
}

// Server configures an app server. The zero value has no work, unlimited cores and no warm-up.
type Server struct {
	UID        string
	Zone       string
	Place      int         // number of its group
	Group      *Group      // that drops repeats together with it; may be nil
	Executions *Executions // nil is one of its own
	Meter      *Meter      // may be nil
	HardLimit  *HardLimitMonitor

	Work   time.Duration // of one unit on one core
	Cores  int           // 0 is unlimited
	Queue  int           // requests that may wait for a core, beyond which they are rejected; 0 is unlimited
	Faults Faults
	Seed   uint64
	HTTP2  bool   // also speaks HTTP/2 with prior knowledge
	Listen string // address to listen on; empty is a free port of the loopback address

	// A server that warms up begins with InitialSpeed of its speed, 0 to 1, which increases linearly. It collapses
	// if it receives more than OverloadFactor times what it can work off, over OverloadWindow.
	WarmUp         time.Duration
	InitialSpeed   float64
	OverloadWindow time.Duration
	OverloadFactor float64
}

// Running is an app server that serves. Its methods are safe for concurrent use.
type Running struct {
	Server
	listener  net.Listener
	http      *http.Server
	cores     chan struct{} // nil is unlimited
	startedAt time.Time

	mu             sync.Mutex
	rng            *rand.Rand
	stalled        chan struct{} // closed when the stall ends; nil is not stalled
	drainDeadline  time.Time     // from when on requests are late; zero is never
	hasCollapsed   bool
	queueLength    int
	executing      int
	recentArrivals []arrival      // in the last OverloadWindow
	maxOverload    float64        // maximum of received units over what it can bear
	lateRequests   int            // received while draining
	latencyMS      float64        // ms, exponential average, without waiting
	endRequests    map[int]func() // by request number: ends one in flight
	requestCount   int
	isClosed       bool

	requestsByVersion [maxHTTPVersion + 1]int // by the major version of HTTP
	conns             int
	dials             int
	maxConns          int
}

const maxHTTPVersion = 2

// Start starts the server.
func (s Server) Start() (*Running, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", cmp.Or(s.Listen, loopbackAddress))
	if err != nil {
		return nil, fmt.Errorf("starting app server %s: %w", s.UID, err)
	}
	r := &Running{Server: s, listener: listener, startedAt: time.Now(), rng: rand.New(rand.NewPCG(s.Seed, serverStream))}
	if s.Executions == nil {
		r.Executions = &Executions{}
	}
	if s.Cores > 0 {
		r.cores = make(chan struct{}, s.Cores)
	}
	r.http = &http.Server{Handler: r, ConnState: r.connState}
	if s.HTTP2 {
		r.http.Protocols = new(http.Protocols)
		r.http.Protocols.SetHTTP1(true)
		r.http.Protocols.SetUnencryptedHTTP2(true)
	}
	go r.http.Serve(listener) //nolint:errcheck // ends with its listener
	return r, nil
}

func (r *Running) connState(_ net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns++
		r.dials++
		r.maxConns = max(r.maxConns, r.conns)
	case http.StateClosed, http.StateHijacked:
		r.conns--
	}
}

// Dials returns the number of connections that were accepted, and the maximum open at once.
func (r *Running) Dials() (total, maxOpen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dials, r.maxConns
}

// RequestsByVersion returns the number of requests with HTTP/1 and with HTTP/2.
func (r *Running) RequestsByVersion() (http1, http2 int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requestsByVersion[1], r.requestsByVersion[2]
}

// Addr returns the address that the server listens on.
func (r *Running) Addr() string { return r.listener.Addr().String() }

// Close ends the server with all its connections and requests.
func (r *Running) Close() {
	r.mu.Lock()
	r.isClosed = true
	for _, end := range r.endRequests { // before their clients notice
		end()
	}
	r.mu.Unlock()
	r.Resume()
	r.http.Close()
}

// Stall delays all requests, also later ones, until Resume.
func (r *Running) Stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalled == nil {
		r.stalled = make(chan struct{})
	}
}

// Resume ends a stall.
func (r *Running) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalled != nil {
		close(r.stalled)
		r.stalled = nil
	}
}

// Drain counts the requests that arrive later than after from now, for LateRequests.
func (r *Running) Drain(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainDeadline = time.Now().Add(after)
}

// LateRequests returns the number of requests that were received while draining.
func (r *Running) LateRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateRequests
}
