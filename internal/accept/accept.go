// Package accept retries accept(2) after errors. Such an error is due to one connection or to a temporary shortage of
// resources, so it must not end the accept loop; only closing the listener does.
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

// The bounds of the backoff after a failed call. The minimum is short because the error may concern only one connection
// while others are queued. The maximum is far below a request's deadline.
const (
	minBackoff = time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Purpose is the purpose of a listener. It is used as a metrics label.
type Purpose string

// The purposes of the process's listeners.
const (
	Clients Purpose = "clients"
	Control Purpose = "control"
	Metrics Purpose = "metrics"
)

// Listener is a net.Listener that retries failed accepts until it is closed. It is safe for concurrent use.
type Listener struct {
	net.Listener
	purpose   Purpose
	backlog   Backlog
	closed    chan struct{}
	closeOnce sync.Once
}

// NewRetryingListener wraps a listener so that Accept retries after errors. Accept fails only with net.ErrClosed after the
// listener has been closed, or with a timeout error after a deadline of the listener has passed.
func NewRetryingListener(l net.Listener, purpose Purpose) *Listener {
	return &Listener{Listener: l, purpose: purpose, closed: make(chan struct{})}
}

// Accept returns the next connection. Unless the listener is closed or its deadline has passed, it logs and counts an
// error and retries after an exponential backoff.
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

// Backlog returns the record of the periods during which accepts failed. The caller of Accept must call its Unblock
// method after each accepted connection.
func (l *Listener) Backlog() *Backlog { return &l.backlog }

// Close closes the listener and interrupts the backoff of Accept.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isFinal reports whether the listener is closed or its deadline has passed, so that Accept must not be retried.
// A connection's ETIMEDOUT is not final, although its Timeout method returns true too.
func isFinal(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	var errno syscall.Errno
	netError := net.Error(nil)
	return !errors.As(err, &errno) && errors.As(err, &netError) && netError.Timeout()
}

// errnoName returns the name of a system error, such as ENOBUFS, or "other" for any other error.
func errnoName(err error) string {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		if name := unix.ErrnoName(errno); name != "" {
			return name
		}
	}
	return "other"
}
