// Package manage is how the owner of a daemon asks it what it does and tells it what to do: HTTP
// over a Unix socket that only the owner may open, with JSON both ways.
//
//	GET  /v1/status
//	POST /v1/reload            reads the configuration again; answers once it is in force or refused
//	POST /v1/upgrade           {"program": PATH}; answers once a new process serves, or can't
//	POST /v1/drain             {"keep": true}; answers at once; with keep it is not to serve again until serve
//	POST /v1/serve             undoes a drain that is kept; answers once it is written
//	POST /v1/claim             desiredstate.Claim: which coordinator is obeyed
//	POST /v1/order             desiredstate.Order; answers once it is carried out, or why not
package manage

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/instancestats"
	"lockflow/internal/node"
	"lockflow/internal/scattergather"
)

const (
	maxHeaderSize  = 4 << 10
	headerTimeout  = 2 * time.Second // of a request's head; what it asks for may take longer
	maxConnections = 16

	shutdownTimeout = 5 * time.Second
	closeTimeout    = time.Second // a small answer over a Unix socket, while the daemon waits to end
)

// Status is what a daemon tells of itself.
type Status struct {
	PID             int           `json:"pid"`
	Program         string        `json:"program"`
	ConfigPath      string        `json:"config"`
	State           string        `json:"life"`
	StartedAt       time.Time     `json:"started"`
	Generation      int           `json:"generation"` // of the configuration in force
	Instance        int           `json:"instance"`
	Instances       int           `json:"instances"`
	Listeners       []string      `json:"listeners"`
	OpenDescriptors int           `json:"descriptors"` // open
	MemoryKB        int           `json:"memory_kb"`   // resident
	SuccessorPID    int           `json:"beside"`      // pid of the process that takes this one's place; 0 is none
	Services        []node.Status `json:"services"`
	// ScatterGathers are the services that gather; none where there are none.
	ScatterGathers     []scattergather.Status `json:"gathers,omitempty"`
	RetiredServices    []node.RetiredService  `json:"older"`     // services of earlier generations that still hold requests
	DegradedConditions []string               `json:"distrusts"` // what it does not rely on, and since when

	ConfigHash string `json:"hash"`    // of the configuration's text that is in force, SHA-256 in hex
	Epoch      uint64 `json:"epoch"`   // the newest that was granted; 0 is none
	Owner      string `json:"owner"`   // to whom
	IsVolatile bool   `json:"forgets"` // epoch, orders and what is wanted don't outlive a crash: there is no state directory
	// Lost, where it is not empty, says that the member does not know which epochs it had granted. It obeys
	// nobody until a claim has this in After.
	LostToken      string                `json:"lost,omitempty"`
	LastCommand    desiredstate.Done     `json:"order"`           // the last one that has ended
	RunningCommand string                `json:"doing,omitempty"` // id of the order under way
	DesiredState   desiredstate.Wanted   `json:"wanted"`
	Statistics     instancestats.Figures `json:"figures"`
}

type (
	// Claim is a coordinator's claim to give orders.
	Claim = desiredstate.Claim
	// Order is what a coordinator orders.
	Order = desiredstate.Order
	// Want is what an order wants.
	Want = desiredstate.Want
)

// StateDrained is the life of a daemon that is wanted not to serve.
const StateDrained = "drained"

// IsAsDesired tells whether it serves, or is drained because that is wanted of it.
func (s *Status) IsAsDesired() bool {
	return s.IsReady() || s.State == StateDrained && s.DesiredState.Drained
}

// IsReady tells whether the daemon serves.
func (s *Status) IsReady() bool { return s.State == "ready" || s.State == "reloading" }

// Daemon is what is managed. Its methods are called from many goroutines.
type Daemon interface {
	Status() Status
	// Reload and Upgrade return once it is done, or why it is not.
	Reload(ctx context.Context) error
	Upgrade(ctx context.Context, program string) error
	// Drain has it end; with keep it does not serve again before Serve, also after a restart.
	Drain(keep bool) error
	Serve(ctx context.Context) error
	Claim(ctx context.Context, c Claim) error
	RunCommand(ctx context.Context, o Order) error
}

// Server serves one control socket.
type Server struct {
	http       *http.Server
	daemon     atomic.Pointer[Daemon]
	path       string
	socketInfo os.FileInfo // of the socket that is this server's
	done       chan struct{}
}

// Listen makes the control socket at path, in the place of one that nobody serves any more, or
// with takeOver, of the process whose place this one takes.
func Listen(path string, d Daemon, takeOver bool) (*Server, error) {
	if err := removeStaleSocket(path, takeOver); err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	// The mode is right from the first moment on: only the owner may connect.
	old := syscall.Umask(0o177)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	l.SetUnlinkOnClose(false) // it may be a successor's by then
	info, err := os.Lstat(path)
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("control socket: %w", err)
	}
	s := &Server{path: path, socketInfo: info, done: make(chan struct{})}
	s.SetDaemon(d)
	s.http = &http.Server{Handler: handler(func() Daemon { return *s.daemon.Load() }), MaxHeaderBytes: maxHeaderSize, ReadHeaderTimeout: headerTimeout, IdleTimeout: headerTimeout}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(&ownerListener{l, make(chan struct{}, maxConnections)}) // finish ends it
	}()
	return s, nil
}

// SetDaemon has another daemon of this process be asked from now on.
func (s *Server) SetDaemon(d Daemon) { s.daemon.Store(&d) }

// removeStaleSocket removes a socket that nobody serves.
func removeStaleSocket(path string, takeOver bool) error {
	info, err := os.Lstat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("%s is there, and is no socket", path)
	}
	if c, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "unix", path); err == nil {
		if c.Close(); !takeOver {
			return fmt.Errorf("%s: another daemon serves it", path)
		}
	}
	return os.Remove(path)
}

// Close ends the server and removes the socket, where that is still its own. Who has asked
// something is answered first: a drain may have ended the daemon before it was told of it.
func (s *Server) Close() {
	if s == nil {
		return
	}
	s.shutdown(closeTimeout)
	s.http.Close()
	<-s.done
	if s.OwnsSocket() {
		_ = os.Remove(s.path) // one that stays is taken over: nobody answers on it
	}
}

// OwnsSocket tells whether the socket at the path is still this server's; also where there is none to be.
func (s *Server) OwnsSocket() bool {
	if s == nil {
		return true
	}
	info, err := os.Lstat(s.path)
	return err == nil && os.SameFile(info, s.socketInfo)
}

// Shutdown answers what was asked, takes nothing new, and leaves the path alone.
func (s *Server) Shutdown() { s.shutdown(shutdownTimeout) }

func (s *Server) shutdown(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_ = s.http.Shutdown(ctx) // what is not answered in time is ended by Close
}

// ownerListener takes connections of the socket's owner, a few at a time.
type ownerListener struct {
	*net.UnixListener
	slots chan struct{}
}

func (o *ownerListener) Accept() (net.Conn, error) {
	for {
		o.slots <- struct{}{}
		c, err := o.AcceptUnix()
		if err != nil {
			<-o.slots
			return nil, err
		}
		if uid, err := peerUserID(c); err == nil && (uid == os.Geteuid() || uid == 0) {
			return &slotConn{Conn: c, slots: o.slots}, nil
		}
		c.Close()
		<-o.slots
	}
}

// peerUserID is the user at the other end (unix(7), SO_PEERCRED).
func peerUserID(c *net.UnixConn) (uid int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var cred *syscall.Ucred
	if e := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); e != nil {
		return 0, e
	}
	if err != nil {
		return 0, err
	}
	return int(cred.Uid), nil
}

// slotConn gives its place back when it is closed.
type slotConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

func (p *slotConn) Close() error {
	p.once.Do(func() { <-p.slots })
	return p.Conn.Close()
}
