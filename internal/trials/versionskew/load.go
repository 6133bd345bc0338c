package versionskew

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
)

// Parameters of the load. Rates and bursts are those of config.toml.
const (
	requestTimeout = 10 * time.Second
	serverCount    = 4
	serverCores    = 4
	serverWork     = 5 * time.Millisecond // of a request
	serverQueue    = 256                  // requests
	keyWindow      = 60 * time.Second

	standardCustomers = 500
	limitedFrom       = 1 << 20 // first customer of the limited plan
	limitedCustomers  = 2
	limitedRate       = 10
	limitedBurst      = 40
	limitedSlack      = 8
	limitedInterval   = 10 * time.Millisecond // between requests: five times the rate that the plan allows both customers
	reservedCustomer  = 1 << 19
)

// Kinds of requests, as the report names them.
const (
	kindUpdate  = "updates"
	kindRead    = "reads"
	kindLimited = "limited"
)

// backends are the app servers and the monitor of the hard limit that they share.
type backends struct {
	*testbench.Pool
	limit *fake.HardLimitMonitor
}

// startBackends starts the app servers, which Close stops.
func startBackends() (*backends, error) {
	limit := &fake.HardLimitMonitor{Rate: limitedRate, Burst: limitedBurst, FirstCustomer: limitedFrom}
	group := &fake.Group{Window: keyWindow}
	servers := make([]fake.Server, serverCount)
	for i := range servers {
		servers[i] = fake.Server{
			UID:       fmt.Sprint("backend-", i+1),
			Group:     group,
			HardLimit: limit,
			Work:      serverWork,
			Cores:     serverCores,
			Queue:     serverQueue,
		}
	}
	pool, err := testbench.StartPool(servers)
	if err != nil {
		return nil, err
	}
	return &backends{Pool: pool, limit: limit}, nil
}

// source returns the servers as the entries of a configuration's list.
func (b *backends) source() string {
	entries := make([]string, len(b.Servers))
	for i, server := range b.Servers {
		entries[i] = fmt.Sprintf("{ uid = %q, endpoint = %q }", server.UID, server.Addr())
	}
	return strings.Join(entries, ", ")
}

// load is the traffic that clients send during upgrades.
type load struct {
	stop    context.CancelFunc
	started time.Time
	clients []*fake.Run // of the standard plan: one with persistent connections, one with a connection for each request
	limited *fake.Run   // of the limited plan

	mu       sync.Mutex
	answered int
	changed  chan struct{} // closed at the next answer
}

// limitedWorkers is the number of clients of the limited plan.
const limitedWorkers = 50

// startLoad starts 2n clients within their limits, and clients that exceed theirs.
func startLoad(ctx context.Context, addr string, n int) *load {
	ctx, stop := context.WithCancel(ctx)
	l := &load{stop: stop, started: time.Now(), changed: make(chan struct{})}
	standard := fake.Clients{Addr: addr, Workers: n, Seed: 1, Call: standardCall, OnAnswer: func(fake.Answer) { l.count() }}
	perRequest := standard
	perRequest.ConnPerAttempt = true
	perRequest.Seed = 2
	l.clients = []*fake.Run{standard.Start(ctx), perRequest.Start(ctx)}
	limited := fake.Clients{Addr: addr, Workers: limitedWorkers, Seed: 3, Interval: limitedInterval, Call: limitedCall}
	l.limited = limited.Start(ctx)
	return l
}

// standardCall returns an update, or a read of a class that is shed first.
func standardCall(rng *rand.Rand) fake.Call {
	call := fake.Call{
		Kind: kindRead, Host: "care.example", Method: http.MethodGet, Path: "/roster-read/week", Plan: "standard",
		Customer: rng.Uint64N(standardCustomers), Deadline: requestTimeout,
	}
	if rng.IntN(2) == 0 {
		call.Kind = kindUpdate
		call.Method = http.MethodPost
		call.Path = "/visit-update"
		call.Body = "swap"
		call.Key = strconv.FormatUint(rng.Uint64(), 16)
	}
	return call
}

// limitedCall returns a read of a customer of the limited plan.
func limitedCall(rng *rand.Rand) fake.Call {
	return fake.Call{
		Kind: kindLimited, Host: "care.example", Method: http.MethodGet, Path: "/roster-read/week", Plan: "limited",
		Customer: limitedFrom + rng.Uint64N(limitedCustomers), Deadline: requestTimeout,
	}
}

// count counts an answer and wakes the callers that wait for it.
func (l *load) count() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered++
	close(l.changed)
	l.changed = make(chan struct{})
}

// progress returns the number of answers so far, and a channel that is closed at the next one.
func (l *load) progress() (int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered, l.changed
}

// awaitAnswers waits for n more answers.
func (l *load) awaitAnswers(ctx context.Context, n int) error {
	target, _ := l.progress()
	target += n
	for {
		answered, changed := l.progress()
		if answered >= target {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("waiting for answers: %w", ctx.Err())
		}
	}
}

// finish stops the load and adds its results to a report.
func (l *load) finish(r *Report, b *backends) {
	l.stop()
	for _, run := range l.clients {
		results := run.Wait()
		r.Updates.add(results[kindUpdate])
		r.Reads.add(results[kindRead])
	}
	r.Limited.add(l.limited.Wait()[kindLimited])
	r.Limit.Allowed = time.Since(l.started).Seconds() * limitedRate * limitedCustomers
	r.Limit.Excess, r.Limit.Units = b.limit.MaxExcess()
	counts := b.Executions.Counts()
	r.Servers = ServerReport{DuplicateEffects: counts.DuplicateEffects, ConcurrentAttempts: counts.MaxInFlight}
}

// add adds the results of a run; nil adds nothing.
func (r *Requests) add(result *fake.Result) {
	if result == nil {
		return
	}
	r.Sent += result.Attempts
	r.Served += result.Served
	r.Rejected += result.Rejected
	r.Failed += result.Failed
	r.Unanswered += result.Lost
	r.Mismatched += result.Wrong
	r.Disconnected += result.Unconnected
	r.P99 = max(r.P99, result.Quantile(0.99))
}

// spendUnits sends one request of the reserved customer, which draws units from its token bucket. It returns an error unless
// the request is served.
func spendUnits(ctx context.Context, addr string, units int) error {
	url := fmt.Sprintf("http://%s/roster-read/week?account=%016x", addr, reservedCustomer)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("sending a request of the reserved customer: %w", err)
	}
	request.Host = "care.example"
	id := "reserved-" + strconv.FormatInt(time.Now().UnixNano(), 16)
	for name, value := range map[string]string{
		"X-Correlation-Id": id, "X-Tariff": "reserved", "X-Time-Left": "10000m",
		"X-Weight": fmt.Sprintf("units=%d,spread=1,first=0", units),
	} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return fmt.Errorf("sending a request of the reserved customer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("sending a request of the reserved customer: %w", err)
	}
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), " "+id) {
		return fmt.Errorf("request of the reserved customer was not served: %s: %s", response.Status, body)
	}
	return nil
}
