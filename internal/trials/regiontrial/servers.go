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

// fieldCustomer is the header field that names the customer.
const fieldCustomer = "X-Customer"

// serverWork is the time that a fake server takes for a request.
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

// startServer starts a fake server. Its unexpected end is a violation.
func startServer(exchanges *history.Exchanges, handle http.HandlerFunc) (*traffic.Server, error) {
	return traffic.StartServer(handle, func(err error) { exchanges.Wrong("a fake server has ended: %v", err) })
}

// pool answers queries with one element.
func (r *run) pool(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(serverWork)
		_ = json.NewEncoder(w).Encode([]element{{region, q.Header.Get(traffic.IDField)}})
	}
}

// app answers with bytes, and records writes as effects.
func (r *run) app(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return // the request is incomplete: no effect
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
