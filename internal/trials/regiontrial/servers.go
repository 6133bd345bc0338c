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

// Header fields between clients and fake servers.
const (
	fieldID       = "X-Trial-Id"
	fieldCustomer = "X-Customer"
)

// serverWork is the time that a fake server takes for a request.
const serverWork = 2 * time.Millisecond

// server is a fake server: a region's app, its pool, or one that fails every request.
type server struct {
	addr string
	http *http.Server
	over chan struct{}
}

// forwardedRequests records when fake servers received requests of customers with a hard limit. It is safe for
// concurrent use.
type forwardedRequests struct {
	mu      sync.Mutex
	started time.Time
	times   map[string][]time.Duration
}

func (s *forwardedRequests) note(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = make(map[string][]time.Duration)
	}
	if len(s.times[customer]) < history.MaxEntries {
		s.times[customer] = append(s.times[customer], time.Since(s.started))
	}
}

func listen(notes *history.Exchanges, handle http.HandlerFunc) (*server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("a fake server: %w", err)
	}
	s := &server{addr: l.Addr().String(), http: &http.Server{Handler: handle, ReadHeaderTimeout: time.Minute}, over: make(chan struct{})}
	go func() {
		defer close(s.over)
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			notes.Wrong("a fake server has ended: %v", err)
		}
	}()
	return s, nil
}

func (s *server) close() {
	s.http.Close()
	<-s.over
}

// pool answers queries with one element.
func (r *run) pool(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(serverWork)
		_ = json.NewEncoder(w).Encode([]element{{region, q.Header.Get(fieldID)}})
	}
}

// app answers with bytes, and records writes as effects.
func (r *run) app(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return // the request is incomplete: no effect
		}
		if c := q.Header.Get(fieldCustomer); c != "" {
			r.sent.note(c)
		}
		id := q.Header.Get(fieldID)
		if q.Method == http.MethodPost {
			r.notes.Effect(id, region)
			r.effects.Store(id, true)
		}
		time.Sleep(serverWork)
		n, _ := strconv.ParseInt(q.URL.Query().Get("n"), 10, 64)
		w.Header().Set(fieldID, id)
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		_, _ = io.Copy(w, fake.PatternReader(n)) // the client may have disconnected
	}
}

func fails(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
