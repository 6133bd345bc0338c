package fake

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Random number streams, used as the second seed value next to Clients.Seed: of the open loop and of the first worker.
const (
	openLoopStream    = 5
	firstWorkerStream = 100
)

// Call is a request of a client, which may take several attempts.
type Call struct {
	Kind              string // key of the Result in which the call is counted
	Host              string
	Method            string
	Path              string
	Customer          uint64
	Plan              string
	Key               string // idempotency key
	Body              string
	Units             int
	Spread            int           // fan-out of the customer; 0 means 1
	First             int           // number of the first instance of its fan-out
	RetryOnlyRejected bool          // no retry after an answer from which it is unknown whether the request was executed
	Deadline          time.Duration // of an attempt
	Headers           []string      // additional header lines, "K: V"
}

// Clients configures clients that send calls over persistent connections without pipelining.
type Clients struct {
	Addr           string
	PickAddress    func(rng *rand.Rand, c Call, last string) string // returns the address for an attempt; if nil, Addr is used
	WasKilled      func(addr string, since time.Time) bool          // reports whether the node was killed since then; nil means never
	Seed           uint64
	Call           func(rng *rand.Rand) Call // returns the next call
	Retries        int                       // maximum number of retries after rejections and failures
	RetryTimeout   time.Duration             // time after which a call is no longer retried; 0 means no limit
	RetryPause     time.Duration             // before each retry
	AbortFraction  float64                   // fraction of the attempts that the client abandons
	Interval       time.Duration             // time between two calls of an open loop; 0 means a closed loop
	Workers        int                       // number of concurrent calls; in an open loop their maximum
	ConnPerAttempt bool                      // open a new connection for each attempt
	OnAnswer       func(Answer)              // called concurrently at the end of each attempt; may be nil
}

// Answer is the outcome of an attempt.
type Answer struct {
	Sent          time.Time
	Duration      time.Duration
	Status        int  // 0 if there was no answer
	IsUnconnected bool // no connection was established
}

// Result holds the counts of the calls of one kind.
type Result struct {
	Calls       int `json:"calls"`
	Attempts    int `json:"tries"`
	Served      int `json:"served"`  // calls that were served
	Rejected    int `json:"refused"` // attempts answered 429 or 503
	Failed      int `json:"failed"`  // attempts with another status than 200
	Aborted     int `json:"left"`    // attempts that the client abandoned
	Lost        int `json:"lost"`    // attempts without a complete answer that are not counted as Aborted, Killed or Unconnected
	Killed      int `json:"killed"`  // attempts without a complete answer whose node was killed in the meantime
	Unconnected int `json:"closed"`  // attempts for which no connection was established
	Wrong       int `json:"wrong"`   // answers whose body has another request's ID
	Late        int `json:"late"`    // answers after the attempt's deadline
	Resent      int `json:"resent"`  // requests sent again because the connection was closed before they were read
	Unsent      int `json:"unsent"`  // calls of an open loop that were not sent, as no worker was free

	Durations Times `json:"-"` // of served calls, measured from the first attempt
}

// Quantile returns the duration that the given fraction (0 to 1) of the served calls did not exceed.
func (r *Result) Quantile(fraction float64) time.Duration { return r.Durations.Quantile(fraction) }

// ServedFraction returns the fraction of the calls that were served.
func (r *Result) ServedFraction() float64 { return float64(r.Served) / float64(max(r.Calls, 1)) }

// Run is a run of clients. Its methods are safe for concurrent use.
type Run struct {
	Clients
	done              chan struct{}
	lastRequestNumber atomic.Int64 // number of the last request, for request IDs

	mu      sync.Mutex
	results map[string]*Result // by kind
}

// Start starts the clients, which send calls until ctx is done.
func (c Clients) Start(ctx context.Context) *Run {
	r := &Run{Clients: c, done: make(chan struct{}), results: make(map[string]*Result)}
	go func() {
		defer close(r.done)
		if c.Interval > 0 {
			r.openLoop(ctx)
		} else {
			r.closedLoop(ctx)
		}
	}()
	return r
}

// closedLoop has each worker send calls one after another.
func (r *Run) closedLoop(ctx context.Context) {
	var workers sync.WaitGroup
	for i := range max(r.Workers, 1) {
		workers.Go(func() {
			w := r.worker(i)
			defer w.close()
			for ctx.Err() == nil {
				w.call(r.Call(w.rng))
			}
		})
	}
	workers.Wait()
}

// openLoop sends one call per interval through a free worker. If none is free, the call is counted as unsent.
func (r *Run) openLoop(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	rng := rand.New(rand.NewPCG(r.Seed, openLoopStream))
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
			calls.Go(func() {
				w.call(call)
				free <- w
			})
		default:
			r.count(call.Kind, func(s *Result) {
				s.Calls++
				s.Unsent++
			})
		}
	}
}

// Wait waits until all calls have ended and returns the results by kind.
func (r *Run) Wait() map[string]*Result {
	<-r.done
	return r.results
}

// Snapshot returns the current results by kind, without durations.
func (r *Run) Snapshot() map[string]Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := make(map[string]Result)
	for kind, result := range r.results {
		copied := *result
		copied.Durations = Times{}
		snapshot[kind] = copied
	}
	return snapshot
}

// count applies modify to the result of a kind, which is created if necessary.
func (r *Run) count(kind string, modify func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.results[kind]
	if result == nil {
		result = &Result{}
		r.results[kind] = result
	}
	modify(result)
}
