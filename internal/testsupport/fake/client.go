package fake

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Streams of random numbers, in addition to Clients.Seed: of the open loop, and of the first worker.
const (
	openLoopStream    = 5
	firstWorkerStream = 100
)

// Call is what a client wants, over all its attempts.
type Call struct {
	Kind              string // under which it is counted
	Host              string
	Method            string
	Path              string
	Customer          uint64
	Plan              string
	Key               string // idempotency key
	Body              string
	Units             int
	Spread            int           // fan-out of the customer; 0 is one
	First             int           // number of the first instance of its fan-out
	RetryOnlyRejected bool          // no retry after an answer that leaves open whether it was executed
	Deadline          time.Duration // of an attempt
	Headers           []string      // more lines, "K: V"
}

// Clients configure clients that send calls on persistent connections, without pipelining.
type Clients struct {
	Addr           string
	PickAddress    func(rng *rand.Rand, c Call, last string) string // address of each attempt; nil is Addr
	WasKilled      func(addr string, since time.Time) bool          // whether a node was killed since then; nil is never
	Seed           uint64
	Call           func(rng *rand.Rand) Call // returns the next call
	Retries        int                       // maximum, after rejections and failures
	RetryTimeout   time.Duration             // of a call, after which it is not retried; 0 is none
	RetryPause     time.Duration             // before each retry
	AbortFraction  float64                   // of the attempts, which the client abandons
	Interval       time.Duration             // open loop: between two calls; 0 is a closed loop
	Workers        int                       // concurrent calls; of an open loop at most
	ConnPerAttempt bool                      // a new connection for each attempt
	OnAnswer       func(Answer)              // called concurrently at the end of each attempt; may be nil
}

// Answer is how an attempt ended.
type Answer struct {
	Sent          time.Time
	Duration      time.Duration
	Status        int  // 0 is no answer
	IsUnconnected bool // no connection was established
}

// Result are the counts of the calls of one kind.
type Result struct {
	Calls       int `json:"calls"`
	Attempts    int `json:"tries"`
	Served      int `json:"served"`  // calls
	Rejected    int `json:"refused"` // attempts answered 429 or 503
	Failed      int `json:"failed"`  // attempts with another status than 200
	Aborted     int `json:"left"`    // attempts that the client abandoned
	Lost        int `json:"lost"`    // attempts without a complete answer
	Killed      int `json:"killed"`  // the same, of a node that was killed meanwhile
	Unconnected int `json:"closed"`  // attempts for which no connection was established
	Wrong       int `json:"wrong"`   // answers to another request
	Late        int `json:"late"`    // answers after the attempt's deadline
	Resent      int `json:"resent"`  // requests that crossed the close of their connection
	Unsent      int `json:"unsent"`  // calls of an open loop without a free worker

	Durations Times `json:"-"` // of calls that were served, from the first attempt on
}

// Quantile returns the duration that a fraction of the served calls, from 0 to 1, did not exceed.
func (r *Result) Quantile(fraction float64) time.Duration { return r.Durations.Quantile(fraction) }

// ServedFraction returns the fraction of the calls that were served.
func (r *Result) ServedFraction() float64 { return float64(r.Served) / float64(max(r.Calls, 1)) }

// Run is a run of clients. Its methods are safe for concurrent use.
type Run struct {
	Clients
	done              chan struct{}
	lastRequestNumber atomic.Int64 // request number

	mu      sync.Mutex
	results map[string]*Result // by kind
}

// Start has the clients send until ctx ends.
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

// closedLoop has each worker send a call after another.
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

// openLoop sends a call in each interval, by a free worker.
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

// Snapshot returns the results so far by kind, without durations.
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

// count modifies the result of a kind.
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
