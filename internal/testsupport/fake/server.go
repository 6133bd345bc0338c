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

// serverStream is the random number stream of a server, used as the second seed value.
const serverStream = 3

// Faults holds the probability of each fault of a server's requests, from 0 to 1.
type Faults struct {
	Error   float64 // executed, and answered 500
	Reset   float64 // executed; the connection is closed without an answer
	Corrupt float64 // executed; the answer cannot be parsed, and the connection remains open
	Reject  float64 // rejected unprocessed, although there is capacity
}

// Server configures an app server. With the zero value requests take no time, cores are unlimited and there is no warm-up.
type Server struct {
	UID         string
	Zone        string
	GroupNumber int         // number of the server's group
	Group       *Group      // servers that drop repeats together with this one; may be nil
	Executions  *Executions // if nil, the server has its own
	Meter       *Meter      // may be nil
	HardLimit   *HardLimitMonitor

	Work   time.Duration // time that one unit takes on one core
	Cores  int           // 0 means unlimited
	Queue  int           // maximum number of requests that wait for a core, above which requests are rejected; 0 means unlimited
	Faults Faults
	Seed   uint64
	HTTP2  bool   // also speaks HTTP/2 with prior knowledge
	Listen string // address to listen on; if empty, a free port of the loopback address

	// A server that warms up starts with the fraction InitialSpeed (0 to 1) of its full speed. The speed increases linearly
	// over WarmUp. While it warms up, the server collapses if it receives, within OverloadWindow, more than OverloadFactor
	// times the units that it can execute in that time.
	WarmUp         time.Duration
	InitialSpeed   float64
	OverloadWindow time.Duration
	OverloadFactor float64
}

// Running is a running app server. Its methods are safe for concurrent use.
type Running struct {
	Server
	listener  net.Listener
	http      *http.Server
	cores     chan struct{} // semaphore; nil if the number is unlimited
	startedAt time.Time

	mu             sync.Mutex
	rng            *rand.Rand
	stalled        chan struct{} // closed when the stall ends; nil if the server is not stalled
	drainDeadline  time.Time     // requests received after this time are late; zero means never
	hasCollapsed   bool
	queueLength    int
	executing      int
	recentArrivals []arrival      // arrivals within the last OverloadWindow
	maxOverload    float64        // maximum ratio of the received units to the number at which the server collapses
	lateRequests   int            // requests received after drainDeadline
	latencyMS      float64        // exponential moving average of the execution time, without the wait for a core
	endRequests    map[int]func() // by request number: records that the request is no longer in flight
	requestCount   int
	isClosed       bool

	requestsByVersion [maxHTTPVersion + 1]int // indexed by the major version of HTTP
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

// Dials returns the number of accepted connections and the maximum number open at the same time.
func (r *Running) Dials() (total, maxOpen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dials, r.maxConns
}

// RequestsByVersion returns the numbers of requests received over HTTP/1 and over HTTP/2.
func (r *Running) RequestsByVersion() (http1, http2 int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requestsByVersion[1], r.requestsByVersion[2]
}

// Addr returns the address that the server listens on.
func (r *Running) Addr() string { return r.listener.Addr().String() }

// Close stops the server, closes its connections and ends its requests.
func (r *Running) Close() {
	r.mu.Lock()
	r.isClosed = true
	for _, end := range r.endRequests { // before clients see their connections close and retry
		end()
	}
	r.mu.Unlock()
	r.Resume()
	r.http.Close()
}

// Stall blocks all requests that are received from now on until Resume is called.
func (r *Running) Stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalled == nil {
		r.stalled = make(chan struct{})
	}
}

// Resume ends a stall and releases the blocked requests.
func (r *Running) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalled != nil {
		close(r.stalled)
		r.stalled = nil
	}
}

// Drain marks the server as draining: requests received later than the duration after from now are counted as late.
func (r *Running) Drain(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainDeadline = time.Now().Add(after)
}

// LateRequests returns the number of requests received after the time set by Drain.
func (r *Running) LateRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateRequests
}
