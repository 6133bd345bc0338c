// Package accept keeps listeners accepting through the errors of accept(2). Such an error is that of one
// connection, or of a shortage that passes: only a closed listener has ended.
package accept

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of the backoff between two calls that fail. The first is next to nothing, as the error may be that of
// one connection, behind which others wait; the last is far below a request's deadline.
const (
	minBackoff = time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Purpose is what a listener is for, as metrics name it.
type Purpose string

// The purposes of the process's listeners.
const (
	Clients Purpose = "clients"
	Control Purpose = "control"
	Metrics Purpose = "metrics"
)

// Listener accepts connections until it is closed. Accept and Close may be called concurrently.
type Listener struct {
	net.Listener
	purpose   Purpose
	backlog   Backlog
	closed    chan struct{}
	closeOnce sync.Once
}

// Persistently wraps a listener so that Accept fails only once the listener is closed (net.ErrClosed), or with a
// timeout where a deadline was set.
func Persistently(l net.Listener, purpose Purpose) *Listener {
	return &Listener{Listener: l, purpose: purpose, closed: make(chan struct{})}
}

// Accept returns the next connection. After any error but the end of the listener and a timeout it logs and
// counts the error and calls accept again, after a backoff that doubles.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := minBackoff
	for {
		conn, err := l.Listener.Accept()
		if err == nil || isFinal(err) {
			return conn, err
		}
		l.backlog.Block()
		failures.add(failure{l.purpose, errnoName(err)})
		slog.Warn("accepting a connection failed", "listen", l.Addr().String(), "err", err)
		select {
		case <-time.After(backoff):
		case <-l.closed:
			return nil, net.ErrClosed
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Backlog tells for how long connections may have waited. Whoever takes the connections unblocks it.
func (l *Listener) Backlog() *Backlog { return &l.backlog }

// Close closes the listener and ends an Accept that waits.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isFinal reports whether an error is not one of accept(2): the listener is closed, or its deadline has passed.
// A connection's own ETIMEDOUT, which calls itself a timeout too, is none.
func isFinal(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	var errno syscall.Errno
	netError := net.Error(nil)
	return !errors.As(err, &errno) && errors.As(err, &netError) && netError.Timeout()
}

// errnoName is the name of an error of the system, such as ENOBUFS; "other" for any other error.
func errnoName(err error) string {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		if name := unix.ErrnoName(errno); name != "" {
			return name
		}
	}
	return "other"
}
