// Package redistest is a fake Redis server for tests: as much of RESP 2 and of the commands as the scripts of lease
// and model stores use, with scripts run by an embedded Lua interpreter. It can be slow, unresponsive, replaced by an
// empty server, restored to an older state, reject all commands, or show another time.
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

// Faults are the faults of a server. The zero value is none.
type Faults struct {
	Delay    time.Duration // before each reply
	Error    string        // reply to all commands, such as "LOADING Redis is loading"; empty is none
	IsSilent bool          // commands are read and not answered
}

// Server is a fake Redis server. Its methods are safe for concurrent use.
type Server struct {
	listener   net.Listener
	goroutines sync.WaitGroup

	mu         sync.Mutex
	data       map[string]entry // by key
	runID      string
	startCount int                           // number of run IDs so far
	scripts    map[string]*lua.FunctionProto // by SHA-1
	now        func() time.Time
	faults     Faults
	password   string // empty is none
	conns      map[net.Conn]bool
	scriptRuns int
	isClosed   bool
}

// entry is the value of a key: a string, or a hash if that is not nil.
type entry struct {
	text      string
	hash      map[string]string
	expiresAt time.Time // zero is never
}

// Start starts a server on a free port of the loopback address.
func Start() (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting a fake Redis server: %w", err)
	}
	s := New()
	s.listener = listener
	s.goroutines.Go(s.accept)
	return s, nil
}

// New returns a server that does not listen. Do runs commands on it.
func New() *Server {
	s := &Server{now: time.Now, conns: make(map[net.Conn]bool), scripts: make(map[string]*lua.FunctionProto)}
	s.Replace()
	return s
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.isClosed {
			conn.Close()
		}
		s.conns[conn] = true
		s.mu.Unlock()
		s.goroutines.Go(func() { s.serve(conn) })
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the server with all its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	s.CloseConns()
	s.goroutines.Wait()
}

// CloseConns closes all connections.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// Replace replaces the server by an empty one with another run ID, and closes the connections.
func (s *Server) Replace() {
	s.mu.Lock()
	s.startCount++
	s.runID = fmt.Sprintf("%040d", s.startCount)
	s.data = make(map[string]entry)
	clear(s.scripts)
	s.mu.Unlock()
	s.CloseConns()
}

// SetFaults replaces the server's faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetPassword has the server require AUTH with a password.
func (s *Server) SetPassword(password string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.password = password
}

// SetClock sets the server's clock. now is called with the server locked.
func (s *Server) SetClock(now func() time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
}

// ScriptRuns returns the number of scripts that were run.
func (s *Server) ScriptRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scriptRuns
}

// Size returns the number of keys.
func (s *Server) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.data {
		s.get(key) // removes it if it has expired
	}
	return len(s.data)
}

// Snapshot returns a function that restores all data to what it is now.
func (s *Server) Snapshot() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := clone(s.data)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.data = clone(snapshot)
	}
}

func clone(data map[string]entry) map[string]entry {
	cloned := make(map[string]entry, len(data))
	for key, e := range data {
		e.hash = maps.Clone(e.hash)
		cloned[key] = e
	}
	return cloned
}
