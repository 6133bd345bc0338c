package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"lockflow/internal/socketpoll"
)

// finalAcceptWait is how long a draining listener waits for a connection that is already in its socket's queue.
// Tests raise it.
var finalAcceptWait = 20 * time.Millisecond

// listener accepts clients at one address. It may be paused, so that another process with the same socket
// accepts them, and drained, so that clients in the socket's queue are accepted before it closes.
type listener struct {
	net.Listener                         // a limits.Listener over an accept.Listener over a socketQueue
	configuredAddress string             // as in the configuration
	tcp               *net.TCPListener   // nil where it is of another kind: it can't be paused, drained or handed over
	cancel            context.CancelFunc // closes done
	done              <-chan struct{}
	serveEnded        chan struct{} // closed when the front has received all connections that were accepted
	gate              acceptGate
}

// socketQueue is the socket below a listener, with the queue of connections that wait to be accepted.
type socketQueue struct {
	net.Listener
	listener *listener
}

// Accept returns the next connection. Once the listener drains, it does so only while one is in the queue.
func (q socketQueue) Accept() (net.Conn, error) {
	for {
		isDraining := q.listener.beginFinalAccept()
		c, err := q.Listener.Accept()
		if !isDraining || !isTimeout(err) {
			return c, err
		}
		// An Accept that starts after its deadline doesn't check the queue at all.
		if !q.listener.hasPendingConnection() {
			return nil, net.ErrClosed
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// hasPendingConnection reports whether a connection is in the queue.
func (l *listener) hasPendingConnection() bool {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return false
	}
	return socketpoll.Poll(raw).IsReadable
}

// acceptGate holds back the accepting of connections while it is shut. Its zero value is open.
type acceptGate struct {
	mu       sync.Mutex
	reopened chan struct{} // closed when the gate reopens; nil while it is open
	isFinal  bool          // after the connections in the queue, no more is accepted
}

// reopening returns a channel that is closed when the gate reopens; nil while it is open.
func (g *acceptGate) reopening() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reopened
}

// pause leaves connections in the queue, where other processes with the socket may accept them.
func (l *listener) pause() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.reopened == nil && l.tcp != nil {
		l.gate.reopened = make(chan struct{})
		l.tcp.SetDeadline(time.Now()) // wakes an Accept
	}
}

// resume ends pause.
func (l *listener) resume() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.reopened != nil {
		l.tcp.SetDeadline(time.Time{})
		close(l.gate.reopened)
		l.gate.reopened = nil
	}
}

// Accept returns the next connection once the gate is open.
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

// drain closes the listener once the queue is accepted, or at once where it is paused and the queue is left to
// another process. Closing the socket alone would reset connections that clients have established.
func (l *listener) drain() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.reopened != nil || l.tcp == nil {
		l.close()
		return
	}
	l.gate.isFinal = true
	l.tcp.SetDeadline(time.Now()) // wakes an Accept
}

// beginFinalAccept reports whether the listener drains, and bounds the Accept that then follows.
func (l *listener) beginFinalAccept() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.isFinal {
		l.tcp.SetDeadline(time.Now().Add(finalAcceptWait))
	}
	return l.gate.isFinal
}

// close stops listening. Connections that were accepted go on.
func (l *listener) close() {
	l.cancel()
	l.Close()
}
