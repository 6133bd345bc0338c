package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Call is one thing that a client wants, over all its tries.
type Call struct {
	Kind              string // what it counts under
	Host              string
	Method            string
	Path              string
	Customer          uint64
	Plan              string
	Key               string
	Body              string
	Units             int
	Spread            int           // instances that the customer comes through; 0 is one
	First             int           // number of the first of them
	RetryOnlyRejected bool          // it is not tried again once an answer leaves open whether it ran
	Deadline          time.Duration // of one try
	Headers           []string      // further ones, "K: V"
}

// Clients send calls over connections that they keep, one request at a time on each.
type Clients struct {
	Addr           string
	PickAddress    func(rng *rand.Rand, c Call, last string) string // chooses the address of each try; nil is Addr
	WasKilled      func(addr string, since time.Time) bool          // tells whether a node was killed since then; nil is never
	Seed           uint64
	Call           func(rng *rand.Rand) Call // makes the next one
	Retries        int                       // further tries after a refusal or failure
	RetryTimeout   time.Duration             // after which there is no further one; 0 is never
	RetryPause     time.Duration             // before each
	AbortFraction  float64                   // part of the tries that the client leaves
	Interval       time.Duration             // open loop: from one call to the next; 0 is a closed loop
	Workers        int                       // closed loop: calls at once; open loop: most at once
	ConnPerAttempt bool                      // each try has a connection of its own
	OnAnswer       func(Answer)              // told of each try's end, by many goroutines; may be nil
}

// Answer is how one try ended.
type Answer struct {
	Sent          time.Time
	Duration      time.Duration
	Status        int  // 0 is none
	IsUnconnected bool // no connection came up
}

// Result is what became of the calls of one kind.
type Result struct {
	Calls       int `json:"calls"`
	Attempts    int `json:"tries"`
	Served      int `json:"served"`  // calls
	Rejected    int `json:"refused"` // tries answered 429 or 503
	Failed      int `json:"failed"`  // tries answered otherwise
	Aborted     int `json:"left"`    // tries that the client left
	Lost        int `json:"lost"`    // tries with no whole answer
	Killed      int `json:"killed"`  // the same, of a node that was killed meanwhile
	Unconnected int `json:"closed"`  // tries for which no connection came up
	Wrong       int `json:"wrong"`   // answers made for another request
	Late        int `json:"late"`    // answers after the try's deadline
	Resent      int `json:"resent"`  // requests that crossed the close of their connection
	Unsent      int `json:"unsent"`  // calls of an open loop with no worker free

	Durations Times `json:"-"` // of calls that were served, from the first try on
}

// Quantile is the time that the given part of the served calls, from 0 to 1, didn't exceed.
func (r *Result) Quantile(part float64) time.Duration { return r.Durations.Quantile(part) }

// ServedFraction is the part of the calls that were served.
func (r *Result) ServedFraction() float64 { return float64(r.Served) / float64(max(r.Calls, 1)) }

// Run is a run of clients that goes on. Its methods are safe for concurrent use.
type Run struct {
	Clients
	done chan struct{}
	next atomic.Int64

	mu      sync.Mutex
	results map[string]*Result
}

// Start has the clients send until ctx ends; Wait tells what came of it.
func (c Clients) Start(ctx context.Context) *Run {
	r := &Run{Clients: c, done: make(chan struct{}), results: make(map[string]*Result)}
	go func() {
		defer close(r.done)
		if c.Interval > 0 {
			r.openLoop(ctx)
			return
		}
		var all sync.WaitGroup
		for i := range max(c.Workers, 1) {
			all.Go(func() {
				w := r.worker(i)
				defer w.close()
				for ctx.Err() == nil {
					w.call(r.Call(w.rng))
				}
			})
		}
		all.Wait()
	}()
	return r
}

// openLoop sends a call at each tick by a worker that is free.
func (r *Run) openLoop(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	rng := rand.New(rand.NewPCG(r.Seed, 5))
	free := make(chan *worker, max(r.Workers, 1))
	for i := range cap(free) {
		free <- r.worker(i)
	}
	defer func() {
		for range cap(free) {
			w := <-free
			w.close()
		}
	}()
	tick := time.NewTicker(r.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		call := r.Call(rng)
		select {
		case w := <-free:
			all.Go(func() {
				w.call(call)
				free <- w
			})
		default:
			r.count(call.Kind, func(s *Result) { s.Calls++; s.Unsent++ })
		}
	}
}

// Wait waits until all calls have ended and gives the results by kind.
func (r *Run) Wait() map[string]*Result {
	<-r.done
	return r.results
}

// Snapshot gives a copy of the results up to now, without times.
func (r *Run) Snapshot() map[string]Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]Result)
	for k, v := range r.results {
		c := *v
		c.Durations = Times{}
		all[k] = c
	}
	return all
}

func (r *Run) count(kind string, add func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.results[kind]
	if s == nil {
		s = &Result{}
		r.results[kind] = s
	}
	add(s)
}

// worker is one client with one connection.
type worker struct {
	run *Run
	rng *rand.Rand
	*link
	links map[string]*link // by address
}

// link is a worker's connection to one address.
type link struct {
	addr string
	conn net.Conn
	in   *bufio.Reader
	used bool // the connection has had an answer
}

func (r *Run) worker(i int) *worker {
	w := &worker{run: r, rng: rand.New(rand.NewPCG(r.Seed, uint64(i)+100)), links: make(map[string]*link)}
	w.useLink(r.Addr)
	return w
}

// useLink has the worker's next try go to an address.
func (w *worker) useLink(addr string) {
	if w.link = w.links[addr]; w.link == nil {
		if len(w.links) >= maxLinks {
			for a, l := range w.links {
				l.hangUp()
				delete(w.links, a)
				break
			}
		}
		w.link = &link{addr: addr}
		w.links[addr] = w.link
	}
}

// maxLinks is how many connections a worker keeps.
const maxLinks = 4

// close closes all of the worker's connections.
func (w *worker) close() {
	for _, l := range w.links {
		l.hangUp()
	}
}

func (l *link) hangUp() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// call makes a call with all its tries.
func (w *worker) call(c Call) {
	begun := time.Now()
	w.run.count(c.Kind, func(s *Result) { s.Calls++ })
	for try := 0; ; try++ {
		status, retryAfter := w.attempt(c, try)
		if status == http.StatusOK {
			w.run.count(c.Kind, func(s *Result) {
				s.Served++
				s.Durations.Add(time.Since(begun))
			})
			return
		}
		refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if status == 0 && w.run.PickAddress == nil || try >= w.run.Retries || c.RetryOnlyRejected && !refused {
			return
		}
		pause := max(w.run.RetryPause, retryAfter)
		if w.run.RetryTimeout > 0 && time.Since(begun)+pause > w.run.RetryTimeout {
			return
		}
		time.Sleep(pause)
	}
}

// attempt sends one request and tells its status; 0 where there is none.
func (w *worker) attempt(c Call, try int) (status int, retryAfter time.Duration) {
	if w.run.PickAddress != nil {
		w.useLink(w.run.PickAddress(w.rng, c, w.addr))
	}
	id := fmt.Sprintf("%x-%x", w.run.Seed, w.run.next.Add(1))
	w.run.count(c.Kind, func(s *Result) { s.Attempts++ })
	sent := time.Now()
	leaves := w.run.AbortFraction > 0 && w.rng.Float64() < w.run.AbortFraction
	resp, body, err := w.exchange(c, id, try, leaves)
	// The node may close a connection between two requests; if that crosses one that it has
	// not read, the client sends it once more (PROTOCOL). The same id then tells what was read.
	if errors.Is(err, errUnread) {
		w.run.count(c.Kind, func(s *Result) { s.Resent++ })
		resp, body, err = w.exchange(c, id, try, leaves)
	}
	took := time.Since(sent)
	if w.run.ConnPerAttempt {
		w.hangUp()
	}
	if w.run.OnAnswer != nil {
		a := Answer{Sent: sent, Duration: took, IsUnconnected: errors.Is(err, errNoConn)}
		if err == nil {
			a.Status = resp.StatusCode
		}
		w.run.OnAnswer(a)
	}
	w.run.count(c.Kind, func(s *Result) {
		switch {
		case errors.Is(err, errAborted):
			s.Aborted++
		case errors.Is(err, errNoConn) && w.run.PickAddress != nil: // it asks another one
			s.Unconnected++
		case err != nil && w.run.WasKilled != nil && w.run.WasKilled(w.addr, sent):
			s.Killed++
		case err != nil:
			s.Lost++
		case resp.StatusCode == http.StatusOK && !strings.HasSuffix(body, " "+id):
			s.Wrong++
		case resp.StatusCode == http.StatusOK:
		case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
			s.Rejected++
		default:
			s.Failed++
		}
		if err == nil && took > c.Deadline {
			s.Late++
		}
	})
	if err != nil {
		return 0, 0
	}
	if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(v * float64(time.Second))
	}
	return resp.StatusCode, retryAfter
}

var (
	errUnread  = errors.New("the connection was closed before the request was read")
	errAborted = errors.New("the client left")
	errNoConn  = errors.New("no connection came up")
)

// exchange writes a request on the worker's connection and reads its answer.
func (w *worker) exchange(c Call, id string, try int, leaves bool) (resp *http.Response, body string, err error) {
	if w.conn == nil {
		if w.conn, err = (&net.Dialer{Timeout: 5 * time.Second}).DialContext(context.Background(), "tcp", w.addr); err != nil {
			w.conn = nil
			return nil, "", fmt.Errorf("%w: %w", errNoConn, err)
		}
		w.in, w.used = bufio.NewReader(w.conn), false
	}
	defer func() {
		if err != nil || resp.Close {
			w.hangUp()
		}
	}()
	// Nothing that is owed comes later than the deadline and some time for a busy machine.
	w.conn.SetDeadline(time.Now().Add(c.Deadline + 10*time.Second))
	_, err = io.WriteString(w.conn, requestText(c, id, try))
	if err == nil && leaves {
		time.Sleep(time.Duration(w.rng.Int64N(int64(20 * time.Millisecond))))
		return nil, "", errAborted
	}
	if err == nil {
		if _, err = w.in.Peek(1); err == nil {
			w.used = true
		}
	}
	if err != nil {
		if ne := net.Error(nil); w.used && !(errors.As(err, &ne) && ne.Timeout()) {
			err = fmt.Errorf("%w: %w", errUnread, err)
		}
		return nil, "", err
	}
	resp, err = http.ReadResponse(w.in, &http.Request{Method: c.Method})
	if err != nil {
		return nil, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp, string(raw), err
}

// requestText is a request as it is written (PROTOCOL).
func requestText(c Call, id string, try int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s?account=%016x HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Tariff: %s\r\nX-Time-Left: %dm\r\n",
		c.Method, c.Path, c.Customer, c.Host, id, c.Plan, c.Deadline.Milliseconds())
	fmt.Fprintf(&b, "X-Weight: units=%d,spread=%d,first=%d\r\n", max(c.Units, 1), max(c.Spread, 1), c.First)
	if try > 0 {
		b.WriteString("X-Repeat: 1\r\n")
	}
	if c.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", c.Key)
	}
	for _, h := range c.Headers {
		b.WriteString(h + "\r\n")
	}
	if c.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n" + c.Body)
	return b.String()
}
