// Package redistest provides a fake Redis server for tests. It implements the part of RESP 2 and the commands that the
// scripts of the lease and model stores use, and runs scripts in an embedded Lua interpreter. The server can be slow or
// unresponsive, be replaced by an empty one, be restored to an older state, reject all commands, or have another clock.
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

// Faults holds the faults that a server injects. The zero value injects none.
type Faults struct {
	Delay    time.Duration // delay of each reply
	Error    string        // error reply to all commands, such as "LOADING Redis is loading"; empty means none
	IsSilent bool          // commands are read but not answered
}

// Server is a fake Redis server. Its methods are safe for concurrent use.
type Server struct {
	listener   net.Listener
	goroutines sync.WaitGroup

	mu         sync.Mutex
	data       map[string]entry // by key
	runID      string
	startCount int                           // number of run IDs assigned, from which the next one is made
	scripts    map[string]*lua.FunctionProto // by SHA-1
	now        func() time.Time
	faults     Faults
	password   string // empty if none is required
	conns      map[net.Conn]bool
	scriptRuns int
	isClosed   bool
}

// entry is the value of a key: a hash if hash is not nil, otherwise a string.
type entry struct {
	text      string
	hash      map[string]string
	expiresAt time.Time // zero means never
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

// New returns a server that does not listen. Commands are run with Do.
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

// Close stops the server and closes all its connections.
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

// Replace simulates the replacement of the server by an empty one: it assigns another run ID, removes all data and scripts
// and closes the connections.
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

// SetPassword makes the server require AUTH with the password.
func (s *Server) SetPassword(password string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.password = password
}

// SetClock sets the server's clock. now is called with the server's mutex locked.
func (s *Server) SetClock(now func() time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
}

// ScriptRuns returns the number of script executions.
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

// Snapshot takes a copy of all data and returns a function that restores it.
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
