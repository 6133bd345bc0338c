package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"lockflow/internal/socketpoll"
)

// finalAcceptWait is the time that a draining listener waits in Accept for a connection that is already in the socket's
// accept queue. Tests raise it.
var finalAcceptWait = 20 * time.Millisecond

// listener accepts clients at one address. It can be paused, so that another process with the same socket accepts new
// connections, and drained, so that connections in the socket's accept queue are accepted before it closes.
type listener struct {
	net.Listener                         // a limits.Listener over an accept.Listener over a socketQueue
	configuredAddress string             // as written in the configuration
	tcp               *net.TCPListener   // nil if not a TCP listener, which can't be paused, drained or handed over
	cancel            context.CancelFunc // closes done
	done              <-chan struct{}
	serveEnded        chan struct{} // closed when Serve has returned: the front has received all accepted connections
	gate              acceptGate
}

// socketQueue is the socket that a listener accepts from, with its queue of connections that are not accepted yet.
type socketQueue struct {
	net.Listener
	listener *listener
}

// Accept returns the next connection. While the listener drains, it returns net.ErrClosed once the queue is empty.
func (q socketQueue) Accept() (net.Conn, error) {
	for {
		isDraining := q.listener.beginFinalAccept()
		c, err := q.Listener.Accept()
		if !isDraining || !isTimeout(err) {
			return c, err
		}
		// An Accept that starts after its deadline fails without checking the queue, so check it here.
		if !q.listener.hasPendingConnection() {
			return nil, net.ErrClosed
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// hasPendingConnection reports whether a connection is in the socket's accept queue.
func (l *listener) hasPendingConnection() bool {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return false
	}
	return socketpoll.Poll(raw).IsReadable
}

// acceptGate stops a listener from accepting connections while it is closed. The zero value is open.
type acceptGate struct {
	mu       sync.Mutex
	reopened chan struct{} // closed when the gate reopens; nil while it is open
	isFinal  bool          // the listener drains: only connections already in the queue are accepted
}

// reopening returns a channel that is closed when the gate reopens; nil while it is open.
func (g *acceptGate) reopening() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reopened
}

// pause stops accepting. Connections stay in the queue, where other processes with the socket may accept them.
func (l *listener) pause() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.reopened == nil && l.tcp != nil {
		l.gate.reopened = make(chan struct{})
		l.tcp.SetDeadline(time.Now()) // unblocks a pending Accept
	}
}

// resume accepts connections again after pause.
func (l *listener) resume() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.reopened != nil {
		l.tcp.SetDeadline(time.Time{})
		close(l.gate.reopened)
		l.gate.reopened = nil
	}
}

// Accept waits until the gate is open and returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if reopening := l.gate.reopening(); reopening != nil {
			select {
			case <-reopening:
			case <-l.done:
				return nil, net.ErrClosed
			}
		}
		c, err := l.Listener.Accept()
		if isTimeout(err) {
			continue
		}
		return c, err
	}
}

// drain closes the listener once all connections in the queue have been accepted. A paused listener is closed at once,
// since its queue is left to another process. Closing the socket without draining would reset the connections in the
// queue, which are established from the clients' point of view.
func (l *listener) drain() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.reopened != nil || l.tcp == nil {
		l.close()
		return
	}
	l.gate.isFinal = true
	l.tcp.SetDeadline(time.Now()) // unblocks a pending Accept
}

// beginFinalAccept reports whether the listener drains. If so, it sets a deadline for the Accept that follows.
func (l *listener) beginFinalAccept() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.isFinal {
		l.tcp.SetDeadline(time.Now().Add(finalAcceptWait))
	}
	return l.gate.isFinal
}

// close stops listening. Accepted connections stay open.
func (l *listener) close() {
	l.cancel()
	l.Close()
}
