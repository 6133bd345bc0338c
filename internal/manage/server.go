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

	"lockflow/internal/accept"
)

// Limits of a control socket.
const (
	maxHeaderSize   = 4 << 10         // of a request, in bytes
	headerTimeout   = 2 * time.Second // to receive a request's header; the answer may take longer
	maxConnections  = 16
	dialTimeout     = time.Second // of the connection that checks whether a process serves a socket
	shutdownTimeout = 5 * time.Second
	closeTimeout    = time.Second // of Close; shorter because the daemon's exit waits for it
)

// Daemon is the daemon that a Server controls. Its methods are called concurrently.
type Daemon interface {
	Status() Status
	// Reload reloads the configuration. It returns once that is in force, or an error if it can't be used.
	Reload(ctx context.Context) error
	// Upgrade starts a new process that runs program (the current program if empty). It returns once that process serves,
	// or an error if it fails to.
	Upgrade(ctx context.Context, program string) error
	// Drain makes the daemon drain and exit, and returns without waiting for that. With keep the daemon stays drained,
	// also after a restart, until Serve is called.
	Drain(keep bool) error
	// Serve reverts Drain with keep.
	Serve(ctx context.Context) error
	// Claim grants a coordinator an epoch, or returns the reason why it doesn't.
	Claim(ctx context.Context, claim Claim) error
	// RunCommand runs a command. It returns once the command has ended, with an error if it failed or was rejected.
	RunCommand(ctx context.Context, command Command) error
}

// Server serves one control socket. A nil Server stands for a daemon without a control socket; OwnsSocket and Close
// accept it.
type Server struct {
	httpServer *http.Server
	daemon     atomic.Pointer[Daemon]
	path       string
	socketInfo os.FileInfo   // identifies the socket that this server has created
	done       chan struct{} // closed when http.Serve has returned
}

// ServedError is the error of Listen for a socket that another daemon serves.
type ServedError struct{ Path string }

// Error names the socket.
func (e *ServedError) Error() string { return e.Path + ": another daemon serves it" }

// Listen creates the control socket at path and serves d on it. It replaces a socket that no process serves, and with
// takeOver also one that the predecessor serves. Without takeOver it returns a *ServedError for a served socket.
func Listen(path string, d Daemon, takeOver bool) (*Server, error) {
	l, info, err := listen(path, takeOver)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	s := &Server{path: path, socketInfo: info, done: make(chan struct{})}
	s.SetDaemon(d)
	s.httpServer = &http.Server{
		Handler:           newHandler(func() Daemon { return *s.daemon.Load() }),
		MaxHeaderBytes:    maxHeaderSize,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       headerTimeout,
	}
	go func() {
		defer close(s.done)
		_ = s.httpServer.Serve(newOwnerListener(l)) // returns when Shutdown or Close is called
	}()
	return s, nil
}

// SetDaemon makes the server control another daemon of this process from now on.
func (s *Server) SetDaemon(d Daemon) { s.daemon.Store(&d) }

// Close answers the requests in flight, ends the server, and removes the socket if it is still the server's own. It
// answers requests first because a drain may end the daemon before the drain request itself is answered.
func (s *Server) Close() {
	if s == nil {
		return
	}
	s.shutdown(closeTimeout)
	s.httpServer.Close()
	<-s.done
	if s.OwnsSocket() {
		_ = os.Remove(s.path) // if it fails, the next daemon replaces the socket, which no process serves
	}
}

// OwnsSocket reports whether the socket at the path is the one that this server has created. It returns true for a nil
// Server.
func (s *Server) OwnsSocket() bool {
	if s == nil {
		return true
	}
	info, err := os.Lstat(s.path)
	return err == nil && os.SameFile(info, s.socketInfo)
}

// Shutdown stops accepting connections and answers the requests in flight. It leaves the socket in place.
func (s *Server) Shutdown() { s.shutdown(shutdownTimeout) }

func (s *Server) shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = s.httpServer.Shutdown(ctx) // Close ends requests that are not answered in time
}

// listen creates the socket at path.
func listen(path string, takeOver bool) (*net.UnixListener, os.FileInfo, error) {
	if err := removeStaleSocket(path, takeOver); err != nil {
		return nil, nil, err
	}
	// The umask sets the socket's mode at creation, so that at no time a user other than the owner can connect.
	oldMask := syscall.Umask(0o177)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	syscall.Umask(oldMask)
	if err != nil {
		return nil, nil, err
	}
	l.SetUnlinkOnClose(false) // a successor may have replaced the socket by then
	info, err := os.Lstat(path)
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return l, info, nil
}

// removeStaleSocket removes a socket that no process serves, and with takeOver any socket.
func removeStaleSocket(path string, takeOver bool) error {
	info, err := os.Lstat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("%s exists and is not a socket", path)
	}
	if isServed(path) && !takeOver {
		return &ServedError{Path: path}
	}
	return os.Remove(path)
}

func isServed(path string) bool {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "unix", path)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// ownerListener accepts connections of the process's own user and of root. The number of connections at a time is
// limited to its number of slots.
type ownerListener struct {
	net.Listener
	slots chan struct{}
}

func newOwnerListener(l *net.UnixListener) *ownerListener {
	return &ownerListener{
		Listener: accept.NewRetryingListener(l, accept.Control),
		slots:    make(chan struct{}, maxConnections),
	}
}

// Accept waits for a slot and then for a connection.
func (o *ownerListener) Accept() (net.Conn, error) {
	for {
		o.slots <- struct{}{}
		conn, err := o.Listener.Accept()
		if err != nil {
			<-o.slots
			return nil, err
		}
		if isFromOwnerOrRoot(conn.(*net.UnixConn)) {
			return &slotConn{Conn: conn, slots: o.slots}, nil
		}
		conn.Close()
		<-o.slots
	}
}

func isFromOwnerOrRoot(conn *net.UnixConn) bool {
	userID, err := peerUserID(conn)
	return err == nil && (userID == os.Geteuid() || userID == rootUserID)
}

const rootUserID = 0

// peerUserID returns the user id of the process at the other end of a connection (unix(7), SO_PEERCRED).
func peerUserID(conn *net.UnixConn) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var credentials *syscall.Ucred
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		credentials, optionErr = syscall.GetsockoptUcred(int(descriptor), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(err, optionErr); err != nil {
		return 0, err
	}
	return int(credentials.Uid), nil
}

// slotConn frees its slot when it is closed.
type slotConn struct {
	net.Conn
	slots       chan struct{}
	releaseOnce sync.Once
}

// Close closes the connection.
func (c *slotConn) Close() error {
	c.releaseOnce.Do(func() { <-c.slots })
	return c.Conn.Close()
}
