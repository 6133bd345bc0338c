package fake

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the parts of a server's requests that go wrong, from 0 to 1.
type Faults struct {
	Error   float64 // answered 500 after they ran
	Reset   float64 // ran; the connection closes with no answer
	Corrupt float64 // ran; the answer can't be read, and the connection stays open
	Reject  float64 // turned away unprocessed, though there is room
}

// Server is what an app server is like. What is not set is harmless: no work, any number of
// cores, no cold start.
type Server struct {
	UID        string
	Zone       string
	Place      int    // number of its group
	Group      *Group // that drops repeats together with it
	Executions *Executions
	Meter      *Meter
	// HardLimit holds what customers send to a ceiling, over all servers that share it.
	HardLimit *HardLimitMonitor

	Work   time.Duration // that one unit takes on one core
	Cores  int           // that work at once; 0 is any number
	Queue  int           // that may wait for a core; more are turned away; 0 is any number
	Faults Faults
	Seed   uint64
	HTTP2  bool   // speaks HTTP/2 too, to whoever begins with it
	Listen string // address that it listens on; "" is a loopback one of its own

	// A server that starts cold begins with a part of its speed and is warm after a while.
	// Sent more than Multiple times what it can do at that moment, over Fall, it falls over.
	WarmUp         time.Duration
	InitialSpeed   float64
	OverloadWindow time.Duration
	OverloadFactor float64
}

// Running is an app server that serves. Its methods are safe for concurrent use.
type Running struct {
	Server
	listener net.Listener
	http     *http.Server
	cores    chan struct{}
	started  time.Time

	mu                sync.Mutex
	rng               *rand.Rand
	stalled           chan struct{} // closed when it goes on; nil is not stalled
	draining          time.Time     // from which on what comes is late; zero is never
	hasCollapsed      bool
	queue             int
	working           int
	arrived           []arrival      // of the last Fall
	maxOverload       float64        // most of what was sent over what it could bear
	lateRequests      int            // requests that came while it drained
	latency           float64        // ms, smoothed, without waiting
	endRequests       map[int]func() // of requests that are out
	requestCount      int
	isClosed          bool
	requestsByVersion [3]int // requests by the protocol's major version
	conns             int
	dials             int
	maxConns          int // connections open at once
}

type arrival struct {
	at    time.Time
	units float64
}

// Start starts the server.
func (s Server) Start() (*Running, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", cmp.Or(s.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("starting app server %s: %w", s.UID, err)
	}
	r := &Running{Server: s, listener: l, started: time.Now(), rng: rand.New(rand.NewPCG(s.Seed, 3))}
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
	go r.http.Serve(l) //nolint:errcheck // ends with its listener
	return r, nil
}

func (r *Running) connState(_ net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case http.StateNew:
		r.conns++
		r.dials++
		r.maxConns = max(r.maxConns, r.conns)
	case http.StateClosed, http.StateHijacked:
		r.conns--
	}
}

// Dials is how many connections came, and the most that were open at once.
func (r *Running) Dials() (n, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dials, r.maxConns
}

// RequestsByVersion is how many requests came by HTTP/1 and by HTTP/2.
func (r *Running) RequestsByVersion() (one, two int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requestsByVersion[1], r.requestsByVersion[2]
}

// Addr is where it listens.
func (r *Running) Addr() string { return r.listener.Addr().String() }

// Close ends it with all its connections, and with what it works on.
func (r *Running) Close() {
	r.mu.Lock()
	r.isClosed = true
	for _, left := range r.endRequests { // before their clients can see it
		left()
	}
	r.mu.Unlock()
	r.Resume()
	r.http.Close()
}

// Stall has it hold every request, those that come too, until Go.
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

// Drain has it count what still comes, for Late to tell, after some time.
func (r *Running) Drain(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = time.Now().Add(after)
}

// LateRequests is how many requests came since it drains.
func (r *Running) LateRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateRequests
}

// Collapsed tells whether it fell over, and the most that it was sent over what it could bear.
func (r *Running) Collapsed() (fallen bool, worst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasCollapsed, r.maxOverload
}

// warmth is the part of its speed that it has reached; mu is held.
func (r *Running) warmth(now time.Time) float64 {
	if r.WarmUp <= 0 {
		return 1
	}
	return min(1, r.InitialSpeed+(1-r.InitialSpeed)*now.Sub(r.started).Seconds()/r.WarmUp.Seconds())
}

// recordLoad takes a request's units in and tells whether the server still stands; mu is held.
func (r *Running) recordLoad(now time.Time, units float64) bool {
	if r.OverloadWindow <= 0 || r.OverloadFactor <= 0 || r.Cores == 0 || r.warmth(now) >= 1 {
		return !r.hasCollapsed
	}
	r.arrived = append(r.arrived, arrival{now, units})
	for len(r.arrived) > 0 && now.Sub(r.arrived[0].at) > r.OverloadWindow {
		r.arrived = r.arrived[1:]
	}
	sum := 0.0
	for _, a := range r.arrived {
		sum += a.units
	}
	can := r.OverloadWindow.Seconds() * r.warmth(now) * float64(r.Cores) / r.Work.Seconds()
	r.maxOverload = max(r.maxOverload, sum/(r.OverloadFactor*can))
	// One request is never too much.
	if sum > r.OverloadFactor*can && len(r.arrived) > 1 {
		r.hasCollapsed = true
	}
	return !r.hasCollapsed
}

// admit books a place for a request, or says why not.
func (r *Running) admit(units float64) (stall chan struct{}, away, dead bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recordLoad(time.Now(), units) {
		return nil, false, true
	}
	if !r.draining.IsZero() && time.Now().After(r.draining) {
		r.lateRequests++
	}
	if r.Queue > 0 && r.queue >= r.Queue || r.rng.Float64() < r.Faults.Reject {
		return nil, true, false
	}
	r.queue++
	return r.stalled, false, false
}

// work does a request's work on a core and draws its fault.
func (r *Running) work(units float64, stall chan struct{}) float64 {
	if stall != nil {
		<-stall
	}
	if r.cores != nil {
		r.cores <- struct{}{}
		defer func() { <-r.cores }()
	}
	r.mu.Lock()
	r.queue--
	r.working++
	took := time.Duration(float64(r.Work) * units / r.warmth(time.Now()))
	draw := r.rng.Float64()
	r.latency += 0.2 * (float64(took)/float64(time.Millisecond) - r.latency)
	r.mu.Unlock()
	if took > 0 {
		time.Sleep(took)
	}
	r.mu.Lock()
	r.working--
	r.mu.Unlock()
	return draw
}

// ServeHTTP takes a request by PROTOCOL. Work goes on though its client has left.
func (r *Running) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id, key := q.Header.Get("X-Correlation-Id"), q.Header.Get("Idempotency-Key")
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	units := unitsOf(q)
	// It is out until its answer is written or its connection ends; whoever sees the end may send
	// it again at once.
	left := sync.OnceFunc(func() { r.Executions.end(id) })
	r.mu.Lock()
	if r.isClosed {
		r.mu.Unlock()
		hangUp(w)
		return
	}
	r.requestsByVersion[min(max(q.ProtoMajor, 0), 2)]++
	r.Executions.begin(id)
	r.requestCount++
	n := r.requestCount
	if r.endRequests == nil {
		r.endRequests = make(map[int]func())
	}
	r.endRequests[n] = left
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.endRequests, n)
		r.mu.Unlock()
		left()
	}()
	r.HardLimit.record(q.URL.Query().Get("account"), units)
	stall, away, dead := r.admit(units)
	if dead {
		left()
		hangUp(w)
		return
	}
	if away {
		r.Executions.reject()
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	effect := r.Group.isFirst(key)
	draw := r.work(units, stall)
	r.Executions.execute(id, key, effect, units)
	if r.Faults.answer(w, draw, left) {
		return
	}
	r.answer(w, q, id, units)
}

// answer answers in place of the server where what was drawn falls on a fault.
func (f *Faults) answer(w http.ResponseWriter, draw float64, left func()) (faulty bool) {
	switch {
	case draw < f.Error:
		w.WriteHeader(http.StatusInternalServerError)
	case draw < f.Error+f.Reset:
		left()
		hangUp(w)
	case draw < f.Error+f.Reset+f.Corrupt:
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\nnoise")
			go func() { // it stays open until the other side closes it
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}()
		}
	default:
		return false
	}
	return true
}

// answer writes the answer to a request that was worked on, with the load report.
func (r *Running) answer(w http.ResponseWriter, q *http.Request, id string, units float64) {
	h := w.Header()
	r.mu.Lock()
	h.Set("X-Backend-Load", fmt.Sprintf("inflight=%d,latency_ms=%.3f,util=%.2f,queue=%d", r.queue+r.working, r.latency,
		float64(r.working)/float64(max(r.Cores, 1)), r.queue))
	r.mu.Unlock()
	if r.Meter != nil {
		if used := r.Meter.Use(q.URL.Query().Get("account"), units); used >= 0 {
			h.Set("X-Allowance-Used", strconv.Itoa(used))
		}
		h.Set("X-True-Cost", strconv.FormatFloat(units, 'f', -1, 64))
	}
	fmt.Fprintf(w, "%s %s", r.UID, id)
}

// hangUp ends a request's connection with no answer.
func hangUp(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok { // of HTTP/2: its stream is reset
		panic(http.ErrAbortHandler)
	}
	if c, _, err := h.Hijack(); err == nil {
		c.Close()
	}
}

func unitsOf(q *http.Request) float64 {
	for pair := range strings.SplitSeq(q.Header.Get("X-Weight"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(pair), "units="); ok {
			if u, err := strconv.ParseFloat(v, 64); err == nil && u > 0 {
				return u
			}
		}
	}
	return 1
}

// Meter counts what each customer uses, and tells it late: the percent of the last finished
// period's allowance. It is safe for concurrent use.
type Meter struct {
	Period time.Duration
	Rate   float64 // units a second that are 100 per cent

	mu          sync.Mutex
	used        map[string][2]float64 // of the present and the last period
	periodStart time.Time
}

// Use takes a customer's units in and tells its percent of the last period.
func (m *Meter) Use(customer string, units float64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.used == nil || now.Sub(m.periodStart) >= 2*m.Period {
		m.used, m.periodStart = make(map[string][2]float64), now
	} else if now.Sub(m.periodStart) >= m.Period {
		m.periodStart = m.periodStart.Add(m.Period)
		for k, u := range m.used {
			if m.used[k] = [2]float64{0, u[0]}; u[0] == 0 {
				delete(m.used, k)
			}
		}
	}
	u := m.used[customer]
	u[0] += units
	m.used[customer] = u
	return int(100 * u[1] / (m.Rate * m.Period.Seconds()))
}
