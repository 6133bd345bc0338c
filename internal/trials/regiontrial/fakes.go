package regiontrial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/trials/faultnet/history"
)

// Fields of requests and answers between clients and stand-ins.
const (
	fieldID       = "X-Trial-Id"
	fieldCustomer = "X-Customer"
)

// workTime is what a stand-in takes for a request.
const workTime = 2 * time.Millisecond

// fakeServer is a stand-in: a region's app, its pool, or one that fails everything.
type fakeServer struct {
	addr    string
	http    *http.Server
	stopped chan struct{}
}

// limitedRequests notes what stand-ins were sent of customers with a ceiling. It is safe for concurrent use.
type limitedRequests struct {
	mu        sync.Mutex
	startedAt time.Time
	times     map[string][]time.Duration
}

func (s *limitedRequests) record(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = make(map[string][]time.Duration)
	}
	if len(s.times[customer]) < history.MaxEntries {
		s.times[customer] = append(s.times[customer], time.Since(s.startedAt))
	}
}

func startServer(notes *history.Exchanges, handle http.HandlerFunc) (*fakeServer, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("a stand-in: %w", err)
	}
	s := &fakeServer{addr: l.Addr().String(), http: &http.Server{Handler: handle, ReadHeaderTimeout: time.Minute}, stopped: make(chan struct{})}
	go func() {
		defer close(s.stopped)
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			notes.Wrong("a stand-in has ended: %v", err)
		}
	}()
	return s, nil
}

func (s *fakeServer) close() {
	s.http.Close()
	<-s.stopped
}

// poolHandler answers queries with one element.
func (r *run) poolHandler(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(workTime)
		_ = json.NewEncoder(w).Encode([]partResult{{region, q.Header.Get(fieldID)}})
	}
}

// appHandler answers with bytes, and notes writes as effects.
func (r *run) appHandler(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return // it did not come whole: nothing has happened
		}
		if c := q.Header.Get(fieldCustomer); c != "" {
			r.limited.record(c)
		}
		id := q.Header.Get(fieldID)
		if q.Method == http.MethodPost {
			r.exchanges.Effect(id, region)
			r.effects.Store(id, true)
		}
		time.Sleep(workTime)
		n, _ := strconv.ParseInt(q.URL.Query().Get("n"), 10, 64)
		w.Header().Set(fieldID, id)
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		_, _ = io.Copy(w, fake.PatternReader(n)) // a client that left is its own doing
	}
}

func failAll(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
