package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/limits"
)

// listener is one address on which clients come.
type listener struct {
	net.Listener
	configuredAddress string // as the configuration has it
	tcp               *net.TCPListener
	cancel            context.CancelFunc
	done              <-chan struct{} // closed by stop
	serveEnded        chan struct{}   // closed when all that it has taken is known to the front
	gate              acceptGate
}

// finalAcceptWait is how long a listener that is to end waits for a connection that is there already.
var finalAcceptWait = 20 * time.Millisecond

// socketQueue is the socket below a listener, with the connections that wait in it.
type socketQueue struct {
	net.Listener
	listener *listener
}

// Accept takes a connection; once the listener is to end, only while one is there.
func (q socketQueue) Accept() (net.Conn, error) {
	for {
		last := q.listener.beginFinalAccept()
		c, err := q.Listener.Accept()
		if ne := net.Error(nil); !last || !errors.As(err, &ne) || !ne.Timeout() {
			return c, err
		}
		// Guards against an Accept that comes so late that it doesn't look any more.
		if !q.listener.hasPendingConnection() {
			return nil, net.ErrClosed
		}
	}
}

// hasPendingConnection tells whether a connection is there.
func (l *listener) hasPendingConnection() bool {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return false
	}
	is := false
	_ = raw.Control(func(fd uintptr) {
		look := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(look[:], 0)
		is = err == nil && n > 0 && look[0].Revents&unix.POLLIN != 0
	})
	return is
}

// acceptGate keeps connections from being taken while it is closed. Its zero value is open.
type acceptGate struct {
	mu       sync.Mutex
	reopened chan struct{} // closed when the gate opens again; nil while it is open
	isFinal  bool          // what waits is still taken, and then nothing more
}

func (g *acceptGate) reopening() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reopened
}

// pause has connections wait in the socket, whose other holders may take them.
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

// Accept takes a connection, once the gate is open.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if shut := l.gate.reopening(); shut != nil {
			select {
			case <-shut:
			case <-l.done:
				return nil, net.ErrClosed
			}
		}
		c, err := l.Listener.Accept()
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			continue
		}
		return c, err
	}
}

// drain ends it once it has taken what waits in the socket, unless that is left to others. Guards
// against clients whose connection is up and is reset by the socket's close.
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

// beginFinalAccept tells whether leave has been called, and bounds the wait that is then about to begin.
func (l *listener) beginFinalAccept() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.isFinal {
		l.tcp.SetDeadline(time.Now().Add(finalAcceptWait))
	}
	return l.gate.isFinal
}

// close ends it; connections that it took go on.
func (l *listener) close() {
	l.cancel()
	l.Close()
}

// openListeners listens on those addresses that are not listened on yet. It gives the new ones, or, with
// an error, leaves everything as it was. n.mu is held, or nobody knows of n yet.
func (n *Node) openListeners(addresses []string) ([]*listener, error) {
	var opened []*listener
	for _, addr := range addresses {
		if n.findListener(addr) != nil {
			continue
		}
		tcp, err := listen(addr, n.inherited)
		if err != nil {
			for _, l := range opened {
				l.close()
			}
			return nil, fmt.Errorf("listening for clients: %w", err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		under, _ := tcp.(*net.TCPListener)
		l := &listener{configuredAddress: addr, tcp: under, cancel: cancel, done: ctx.Done(), serveEnded: make(chan struct{})}
		l.Listener = limits.Listen(ctx, socketQueue{tcp, l}, n.limiter.clientSockets())
		opened = append(opened, l)
	}
	return opened, nil
}

// findListener is the one of an address, nil where there is none.
func (n *Node) findListener(addr string) *listener {
	for _, l := range n.listeners {
		if l.configuredAddress == addr {
			return l
		}
	}
	return nil
}

// setListeners puts the addresses of a configuration in force, for which those that are new have
// been opened; n.mu is held.
func (n *Node) setListeners(opened []*listener, addresses []string) {
	old := n.listeners
	n.listeners = append(append([]*listener(nil), old...), opened...)
	var all []*listener
	for _, addr := range addresses {
		all = append(all, n.findListener(addr))
	}
	n.listeners = all
	for _, l := range opened {
		n.serveListener(l)
	}
	for _, l := range old {
		if n.findListener(l.configuredAddress) == nil {
			slog.Info("no longer serving", "listen", l.Addr().String())
			if n.server == nil {
				l.close()
				continue
			}
			l.drain()
			n.removed = append(n.removed, l)
		}
	}
}

// closeRemovedListeners ends the listeners of addresses that are gone, behind those who wait there.
func (n *Node) closeRemovedListeners() {
	n.mu.Lock()
	removed, within := n.removed, max(n.cfg.Process.Drain.Most, finalAnswerTime)
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	awaitListeners(ctx, removed)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range removed {
		l.close()
	}
	n.removed = nil
}

// awaitListeners waits until listeners that leave are over, or ctx is.
func awaitListeners(ctx context.Context, listeners []*listener) {
	for _, l := range listeners {
		select {
		case <-l.serveEnded:
		case <-ctx.Done():
		}
	}
}

// serveListener takes clients of a listener, once the node runs; n.mu is held.
func (n *Node) serveListener(l *listener) {
	if n.server == nil {
		return
	}
	slog.Info("serving", "listen", l.Addr().String())
	srv, from := n.server, net.Listener(l)
	if n.cfg.Process.Shared { // services of ordinary HTTP may come with a reload
		from = front.ValidatingListener(l)
	}
	n.tasks.Go(func() {
		defer close(l.serveEnded)
		err := srv.Serve(front.LingeringListener(from))
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return
		}
		select {
		case n.listenerFailures <- err:
		default:
		}
	})
}

// listen listens on an address, or takes the listener that was passed on for it.
func listen(addr string, inherited map[string]net.Listener) (net.Listener, error) {
	if l := inherited[addr]; l != nil { // from a process whose place this one takes
		return l, nil
	}
	name, ok := strings.CutPrefix(addr, config.Inherited)
	if !ok {
		return (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	}
	l := inherited[name]
	if l == nil {
		return nil, fmt.Errorf("the supervisor passed no socket %q on", name)
	}
	return l, nil
}

// Addr is where clients connect, at the first listener.
func (n *Node) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[0].Addr().String()
}

// Addresses are where clients connect, in the order of the configuration.
func (n *Node) Addresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []string
	for _, l := range n.listeners {
		all = append(all, l.Addr().String())
	}
	return all
}
