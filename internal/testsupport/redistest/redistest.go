// Package redistest is a stand-in for a Redis server, for tests: as much of RESP 2 and of the commands
// as a counter's script takes, with the script run by a Lua of its own. It can be slow, cut off,
// replaced by an empty one, set back to an older state, refuse all, or show another time.
package redistest

import (
	"context"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	lua "github.com/yuin/gopher-lua"
)

// Server is a stand-in. Its methods are safe for concurrent use.
type Server struct {
	l   net.Listener
	all sync.WaitGroup

	mu      sync.Mutex
	db      map[string]entry
	runID   string
	starts  int
	scripts map[string]*lua.FunctionProto
	clock   func() time.Time
	late    time.Duration
	refuse  string
	dark    bool // what comes is taken and not answered
	auth    string
	conns   map[net.Conn]bool
	calls   int
	closed  bool
}

type entry struct {
	text string
	hash map[string]string
	ends time.Time // zero is never
}

// Start starts a server on a loopback address of its own.
func Start() (*Server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting a counter's stand-in: %w", err)
	}
	s := New()
	s.l = l
	s.all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.closed {
				c.Close()
			}
			s.conns[c] = true
			s.mu.Unlock()
			s.all.Go(func() { s.serve(c) })
		}
	})
	return s, nil
}

// New makes a server that does not listen: Do has it run commands.
func New() *Server {
	s := &Server{clock: time.Now, conns: make(map[net.Conn]bool), scripts: make(map[string]*lua.FunctionProto)}
	s.Replace()
	return s
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.l.Addr().String() }

// Close ends it.
func (s *Server) Close() {
	s.l.Close()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.CloseConns()
	s.all.Wait()
}

// CloseConns ends all connections.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Replace puts an empty server in its place, with another run id, and ends the connections.
func (s *Server) Replace() {
	s.mu.Lock()
	s.starts++
	s.runID = fmt.Sprintf("%040d", s.starts)
	s.db = make(map[string]entry)
	clear(s.scripts)
	s.mu.Unlock()
	s.CloseConns()
}

// SetFaults changes how it behaves: answers come so late, all commands are refused with a text (such as
// "LOADING Redis is loading"), or none is answered.
func (s *Server) SetFaults(late time.Duration, refuse string, dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late, s.refuse, s.dark = late, refuse, dark
}

// SetPassword has it take commands only after AUTH with a password.
func (s *Server) SetPassword(password string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.auth = password
}

// SetClock has it show another time.
func (s *Server) SetClock(now func() time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = now
}

// ScriptRuns is how many scripts it has run.
func (s *Server) ScriptRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Size is how many keys it holds.
func (s *Server) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.db {
		s.get(k)
	}
	return len(s.db)
}

// Snapshot gives a call that sets all data back to what it is now.
func (s *Server) Snapshot() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := copied(s.db)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.db = copied(old)
	}
}

func copied(db map[string]entry) map[string]entry {
	all := make(map[string]entry, len(db))
	for k, e := range db {
		e.hash = maps.Clone(e.hash)
		all[k] = e
	}
	return all
}
