package trial

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lockflow/internal/trials/faultnet/history"
	"lockflow/internal/trials/faultnet/traffic"
)

// Header fields between clients and fake servers.
const (
	fieldServer = "X-Trial-Server"
	fieldKey    = "Idempotency-Key"
)

// servers are the fake servers of a trial. They share the idempotency keys, so that a repeat has no effect on any of
// them, and record each effect.
type servers struct {
	exchanges *history.Exchanges
	workTime  time.Duration
	all       []*traffic.Server
	addrs     []string

	mu      sync.Mutex
	keys    map[string]bool
	effects map[string]bool // IDs of the writes that were received completely
}

func startServers(n int, workTime time.Duration, exchanges *history.Exchanges) (*servers, error) {
	s := &servers{exchanges: exchanges, workTime: workTime, keys: make(map[string]bool), effects: make(map[string]bool)}
	for i := range n {
		name := "server-" + strconv.Itoa(i)
		server, err := traffic.StartServer(
			func(w http.ResponseWriter, r *http.Request) { s.serve(name, w, r) },
			func(err error) { exchanges.Wrong("%s has ended: %v", name, err) },
		)
		if err != nil {
			s.close()
			return nil, err
		}
		s.all = append(s.all, server)
		s.addrs = append(s.addrs, server.Addr)
	}
	return s, nil
}

func (s *servers) close() {
	for _, server := range s.all {
		server.Close()
	}
}

func (s *servers) serve(name string, w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request is incomplete: no effect
	}
	id, key := r.Header.Get(traffic.IDField), r.Header.Get(fieldKey)
	if r.Method == http.MethodPost {
		s.mu.Lock()
		isRepeat := key != "" && s.keys[key]
		if key != "" {
			s.keys[key] = true
		}
		s.effects[id] = true
		s.mu.Unlock()
		if !isRepeat {
			s.exchanges.Effect(id, name)
		}
	}
	time.Sleep(s.workTime)
	w.Header().Set(fieldServer, name)
	traffic.WriteAnswer(w, r)
}

// hasEffect reports whether a write's effect happened.
func (s *servers) hasEffect(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effects[id]
}
