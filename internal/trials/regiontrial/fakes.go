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

// Headers of requests and responses between clients and fake servers.
const (
	headerID       = "X-Trial-Id"
	headerCustomer = "X-Customer"
)

// workTime is how long a fake server works on a request.
const workTime = 2 * time.Millisecond

// fakeServer is a fake app server: a region's app, its pool, or one that fails every request.
type fakeServer struct {
	addr    string
	http    *http.Server
	stopped chan struct{}
}

// limitedRequests records when fake servers received requests of customers with a hard limit. It is safe for
// concurrent use.
type limitedRequests struct {
	mu        sync.Mutex
	startedAt time.Time
	times     map[string][]time.Duration // since startedAt, by customer
}

func (l *limitedRequests) record(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.times == nil {
		l.times = make(map[string][]time.Duration)
	}
	if len(l.times[customer]) < history.MaxEntries {
		l.times[customer] = append(l.times[customer], time.Since(l.startedAt))
	}
}

func startServer(exchanges *history.Exchanges, handle http.HandlerFunc) (*fakeServer, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("a fake server: %w", err)
	}
	s := &fakeServer{
		addr:    l.Addr().String(),
		http:    &http.Server{Handler: handle, ReadHeaderTimeout: time.Minute},
		stopped: make(chan struct{}),
	}
	go func() {
		defer close(s.stopped)
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			exchanges.Wrong("a fake server has ended: %v", err)
		}
	}()
	return s, nil
}

func (s *fakeServer) close() {
	s.http.Close()
	<-s.stopped
}

// poolHandler answers queries with one result that names the region.
func (r *run) poolHandler(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		time.Sleep(workTime)
		_ = json.NewEncoder(w).Encode([]partResult{{region, request.Header.Get(headerID)}})
	}
}

// appHandler answers with as many bytes as requested, and records writes as effects.
func (r *run) appHandler(region string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return // the body is incomplete, so the write has no effect
		}
		if customer := request.Header.Get(headerCustomer); customer != "" {
			r.limited.record(customer)
		}
		id := request.Header.Get(headerID)
		if request.Method == http.MethodPost {
			r.exchanges.Effect(id, region)
			r.effects.Store(id, true)
		}
		time.Sleep(workTime)
		bytes, _ := strconv.ParseInt(request.URL.Query().Get("n"), 10, 64)
		w.Header().Set(headerID, id)
		w.Header().Set("Content-Length", strconv.FormatInt(bytes, 10))
		_, _ = io.Copy(w, fake.PatternReader(bytes)) // fails where the client is gone
	}
}

func failAll(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
