package trial

import (
	"context"
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
	fieldID     = "X-Trial-Id"
	fieldServer = "X-Trial-Server"
	fieldKey    = "Idempotency-Key"
)

// servers are the stand-ins of a trial. They drop repeats of a key together, and note each effect.
type servers struct {
	notes *history.Exchanges
	work  time.Duration
	all   []*http.Server
	addrs []string
	wg    sync.WaitGroup

	mu      sync.Mutex
	keys    map[string]bool
	effects map[string]bool // writes whose effect happened
}

func startServers(n int, work time.Duration, notes *history.Exchanges) (*servers, error) {
	s := &servers{notes: notes, work: work, keys: make(map[string]bool), effects: make(map[string]bool)}
	for i := range n {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, fmt.Errorf("a stand-in server: %w", err)
		}
		name := "server-" + strconv.Itoa(i)
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(name, w, r) }), ReadHeaderTimeout: time.Minute}
		s.all, s.addrs = append(s.all, srv), append(s.addrs, l.Addr().String())
		s.wg.Go(func() {
			if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				notes.Wrong("%s has ended: %v", name, err)
			}
		})
	}
	return s, nil
}

func (s *servers) close() {
	for _, srv := range s.all {
		srv.Close()
	}
	s.wg.Wait()
}

func (s *servers) serve(name string, w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it did not come whole: nothing has happened
	}
	id, key := r.Header.Get(fieldID), r.Header.Get(fieldKey)
	if r.Method == http.MethodPost {
		s.mu.Lock()
		isRepeat := key != "" && s.keys[key]
		if key != "" {
			s.keys[key] = true
		}
		s.effects[id] = true
		s.mu.Unlock()
		if !isRepeat {
			s.notes.Effect(id, name)
		}
	}
	time.Sleep(s.work)
	n, _ := strconv.ParseInt(r.URL.Query().Get("n"), 10, 64)
	h := w.Header()
	h.Set(fieldID, id)
	h.Set(fieldServer, name)
	h.Set("Content-Length", strconv.FormatInt(n, 10))
	_, _ = io.Copy(w, fake.PatternReader(n)) // a client that left is its own doing
}

// hasEffect tells whether a write's effect happened.
func (s *servers) hasEffect(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effects[id]
}
