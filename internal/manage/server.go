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
	headerTimeout   = 2 * time.Second // to receive a request's header; its answer may take longer
	maxConnections  = 16
	dialTimeout     = time.Second // to find out whether a socket is served
	shutdownTimeout = 5 * time.Second
	closeTimeout    = time.Second // of Close, for which the daemon's end waits
)

// Daemon is what a Server serves. Its methods are called concurrently.
type Daemon interface {
	Status() Status
	// Reload returns once the configuration that it has read is in force, or why it is not.
	Reload(ctx context.Context) error
	// Upgrade returns once a new process of program (empty for the one that runs) serves, or why none does.
	Upgrade(ctx context.Context, program string) error
	// Drain has the daemon drain and end, and doesn't wait for that; with keep it doesn't serve before Serve,
	// also after a restart.
	Drain(keep bool) error
	// Serve undoes Drain with keep.
	Serve(ctx context.Context) error
	// Claim grants a coordinator an epoch, or returns why not.
	Claim(ctx context.Context, claim Claim) error
	// RunCommand returns once the command has ended, with its outcome.
	RunCommand(ctx context.Context, command Command) error
}

// Server serves one control socket. A nil Server stands for a daemon without one: OwnsSocket and Close take it.
type Server struct {
	httpServer *http.Server
	daemon     atomic.Pointer[Daemon]
	path       string
	socketInfo os.FileInfo   // of the socket that this server has made
	done       chan struct{} // closed when http.Serve has returned
}

// ServedError is the error of Listen where another daemon serves the socket.
type ServedError struct{ Path string }

// Error names the socket.
func (e *ServedError) Error() string { return e.Path + ": another daemon serves it" }

// Listen makes the control socket at path and serves d on it. It replaces a socket that no process serves, and with
// takeOver one that the predecessor serves. Otherwise the error for a served socket is a *ServedError.
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
		_ = s.httpServer.Serve(newOwnerListener(l)) // Close ends it
	}()
	return s, nil
}

// SetDaemon has the server serve another daemon of this process from now on.
func (s *Server) SetDaemon(d Daemon) { s.daemon.Store(&d) }

// Close answers the requests in flight, ends the server and removes the socket, where that is still its own. Requests
// are first: a drain may have ended the daemon before its own request was answered.
func (s *Server) Close() {
	if s == nil {
		return
	}
	s.shutdown(closeTimeout)
	s.httpServer.Close()
	<-s.done
	if s.OwnsSocket() {
		_ = os.Remove(s.path) // the next daemon replaces one that remains: no process serves it
	}
}

// OwnsSocket returns whether the socket at the path is the one that this server has made; true for a nil Server.
func (s *Server) OwnsSocket() bool {
	if s == nil {
		return true
	}
	info, err := os.Lstat(s.path)
	return err == nil && os.SameFile(info, s.socketInfo)
}

// Shutdown answers the requests in flight and accepts no connections any more. It leaves the path alone.
func (s *Server) Shutdown() { s.shutdown(shutdownTimeout) }

func (s *Server) shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = s.httpServer.Shutdown(ctx) // what is not answered in time is ended by Close
}

// listen makes the socket at path.
func listen(path string, takeOver bool) (*net.UnixListener, os.FileInfo, error) {
	if err := removeStaleSocket(path, takeOver); err != nil {
		return nil, nil, err
	}
	// The umask gives the socket its mode as it is made: the owner alone may ever connect.
	oldMask := syscall.Umask(0o177)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	syscall.Umask(oldMask)
	if err != nil {
		return nil, nil, err
	}
	l.SetUnlinkOnClose(false) // the path may be a successor's by then
	info, err := os.Lstat(path)
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return l, info, nil
}

// removeStaleSocket removes a socket that no process serves, or with takeOver any socket.
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

// ownerListener accepts connections of the process's own user and of root, as many at a time as it has slots.
type ownerListener struct {
	net.Listener
	slots chan struct{}
}

func newOwnerListener(l *net.UnixListener) *ownerListener {
	return &ownerListener{
		Listener: accept.Persistently(l, accept.Control),
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

// peerUserID returns the user of the process that has connected (unix(7), SO_PEERCRED).
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
