package regiontrial

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"lockflow/internal/trials/faultnet/history"
	"lockflow/internal/trials/faultnet/traffic"
)

// fieldCustomer is the header field with the customer of a request.
const fieldCustomer = "X-Customer"

// serverWork is the time that a fake server takes to process a request.
const serverWork = 2 * time.Millisecond

// forwardedRequests records when fake servers received requests of customers with a hard limit. It is safe for
// concurrent use.
type forwardedRequests struct {
	mu      sync.Mutex
	started time.Time
	times   map[string][]time.Duration
}

func (s *forwardedRequests) record(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = make(map[string][]time.Duration)
	}
	if len(s.times[customer]) < history.MaxEntries {
		s.times[customer] = append(s.times[customer], time.Since(s.started))
	}
}

// startServer starts a fake server. If the server ends unexpectedly, that is recorded as a violation.
func startServer(exchanges *history.Exchanges, handle http.HandlerFunc) (*traffic.Server, error) {
	return traffic.StartServer(handle, func(err error) { exchanges.Wrong("fake server exited: %v", err) })
}

// pool returns the handler of a region's pool, which responds to a query with one element.
func (r *run) pool(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(serverWork)
		_ = json.NewEncoder(w).Encode([]element{{region, q.Header.Get(traffic.IDField)}})
	}
}

// app returns the handler of a region's app servers, which responds with the requested number of bytes and records writes
// as effects.
func (r *run) app(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return // an incomplete request has no effect
		}
		if c := q.Header.Get(fieldCustomer); c != "" {
			r.forwarded.record(c)
		}
		id := q.Header.Get(traffic.IDField)
		if q.Method == http.MethodPost {
			r.exchanges.Effect(id, region)
			r.effects.Store(id, true)
		}
		time.Sleep(serverWork)
		traffic.WriteAnswer(w, q)
	}
}

func respondError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}
