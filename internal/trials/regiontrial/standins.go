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

// serverWork is what a stand-in takes for a request.
const serverWork = 2 * time.Millisecond

// server is a stand-in: a region's app, its pool, or one that fails everything.
type server struct {
	addr string
	http *http.Server
	over chan struct{}
}

// sent notes what stand-ins were sent of customers with a ceiling. It is safe for concurrent use.
type sent struct {
	mu    sync.Mutex
	begun time.Time
	at    map[string][]time.Duration
}

func (s *sent) note(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = make(map[string][]time.Duration)
	}
	if len(s.at[customer]) < history.MaxEntries {
		s.at[customer] = append(s.at[customer], time.Since(s.begun))
	}
}

func listen(notes *history.Exchanges, handle http.HandlerFunc) (*server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("a stand-in: %w", err)
	}
	s := &server{addr: l.Addr().String(), http: &http.Server{Handler: handle, ReadHeaderTimeout: time.Minute}, over: make(chan struct{})}
	go func() {
		defer close(s.over)
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			notes.Wrong("a stand-in has ended: %v", err)
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

// app answers with bytes, and notes writes as effects.
func (r *run) app(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return // it did not come whole: nothing has happened
		}
		if c := q.Header.Get(fieldCustomer); c != "" {
			r.sent.note(c)
		}
		id := q.Header.Get(fieldID)
		if q.Method == http.MethodPost {
			r.notes.Effect(id, region)
			r.ran.Store(id, true)
		}
		time.Sleep(serverWork)
		n, _ := strconv.ParseInt(q.URL.Query().Get("n"), 10, 64)
		w.Header().Set(fieldID, id)
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		_, _ = io.Copy(w, fake.PatternReader(n)) // a client that left is its own doing
	}
}

func fails(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
