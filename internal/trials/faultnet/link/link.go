// Package link is a loopback proxy between a client and a server, over TCP or Unix sockets, that
// injects network faults in either direction.
package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lockflow/internal/trials/faultnet/script"
)

// Link is a proxy that forwards its connections to another address. Its methods are safe for
// concurrent use.
type Link struct {
	targetAddr   string // target address
	addr         string // listening address
	socketDir    string // directory of a Unix socket; "" for TCP
	reservedPort int    // descriptor of the socket that reserves the TCP port; -1 is none

	mu         sync.Mutex
	listener   net.Listener // nil while connections are refused
	rules      *rules
	conns      map[*conn]bool
	counts     Counts
	closed     bool
	goroutines sync.WaitGroup
}

// Counts are the totals of a link since it was started.
type Counts struct {
	Conns  int   // accepted connections
	Failed int   // accepted connections whose target could not be dialed
	Resets int   // connections reset by a fault
	Forth  int64 // bytes delivered from client to server
	Back   int64 // bytes delivered from server to client
	Lost   int64 // bytes dropped in either direction
}

// rules combine the faults in force. They are immutable once they are in force.
type rules struct {
	directions [2]directionRules // client to server, server to client
	lost       bool              // drop responses and reset the connection
	blackhole  bool              // drop responses and keep the connection open
	refuse     bool              // refuse new connections
	changed    chan struct{}     // closed once other rules are in force
}

// directionRules are the rules of one direction.
type directionRules struct {
	cut        bool
	hold       bool
	delay      time.Duration
	limit      *rate.Limiter // bytes a second, shared by all connections; nil is unlimited
	reset      bool
	resetAfter int // bytes delivered before a reset
}

const (
	burstBytes       = 64       // bytes a rate-limited direction delivers at once
	chunkBytes       = 16 << 10 // bytes read at once
	maxQueuedChunks  = 16       // chunks queued in one direction
	dialTimeout      = 5 * time.Second
	acceptRetryDelay = 10 * time.Millisecond
)

// Listen starts a link to an address: host:port, or the path of a Unix socket, which contains a
// slash. The target may start later than the link.
func Listen(to string) (*Link, error) {
	l := &Link{targetAddr: to, reservedPort: -1, rules: &rules{changed: make(chan struct{})}, conns: make(map[*conn]bool)}
	var err error
	if l.isUnix() {
		if l.socketDir, err = os.MkdirTemp("", "lf"); err == nil {
			l.addr = filepath.Join(l.socketDir, "s")
		}
	} else {
		l.reservedPort, l.addr, err = reservePort()
	}
	if err == nil {
		err = l.startListening()
	}
	if err != nil {
		_ = l.Close() // the first error is the one reported
		return nil, fmt.Errorf("starting a link to %s: %w", to, err)
	}
	return l, nil
}

func (l *Link) isUnix() bool { return strings.Contains(l.targetAddr, "/") }

// Addr returns the address at which the link listens; it never changes.
func (l *Link) Addr() string { return l.addr }

// To changes the target of new connections to another address of the same network, for example
// when a process restarts on a new port.
func (l *Link) To(to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targetAddr = to
}

// Counts returns the link's totals.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Link) updateCounts(update func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(&l.counts)
}

// Set replaces the faults in force. The byte count of a reset starts again unless that fault is
// unchanged; rate limits that are unchanged keep their tokens.
func (l *Link) Set(faults ...script.Fault) error {
	r := &rules{changed: make(chan struct{})}
	for _, f := range faults {
		if !f.Kind.OfLink() {
			return fmt.Errorf("fault %v does not apply to links", f.Kind)
		}
		switch f.Kind {
		case script.Lost:
			r.lost = true
		case script.Blackhole:
			r.blackhole = true
		case script.Refuse:
			r.refuse = true
		}
		for i, direction := range []script.Direction{script.Forth, script.Back} {
			if f.Direction.Has(direction) {
				r.directions[i].addFault(f)
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	for i := range r.directions {
		r.directions[i].keepLimiter(&l.rules.directions[i])
	}
	close(l.rules.changed)
	l.rules = r
	if r.refuse == (l.listener == nil) {
		return nil
	}
	if r.refuse {
		err := l.listener.Close()
		l.listener = nil
		return err
	}
	return l.startListening()
}

// Heal ends all faults. A connection that lost bytes never delivers any again.
func (l *Link) Heal() error { return l.Set() }

// keepLimiter reuses the limiter of the previous rules if the rate is unchanged, so that a change of
// another fault doesn't refill it.
func (w *directionRules) keepLimiter(previous *directionRules) {
	if w.limit == nil || previous.limit == nil {
		return
	}
	if w.limit.Limit() == previous.limit.Limit() {
		w.limit = previous.limit
	}
}

// addFault merges a fault into the rules of one direction.
func (w *directionRules) addFault(f script.Fault) {
	switch f.Kind {
	case script.Cut:
		w.cut = true
	case script.Hold:
		w.hold = true
	case script.Late:
		w.delay += f.Delay
	case script.Slow:
		if w.limit == nil || rate.Limit(f.Rate) < w.limit.Limit() {
			w.limit = rate.NewLimiter(rate.Limit(f.Rate), burstBytes)
		}
	case script.Reset:
		if !w.reset || f.Bytes < w.resetAfter {
			w.reset = true
			w.resetAfter = f.Bytes
		}
	}
}

// Break resets all open connections.
func (l *Link) Break() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		l.counts.Resets++
		c.end(true)
	}
}

// Close closes the listener and all connections and waits for their goroutines.
func (l *Link) Close() error {
	l.mu.Lock()
	l.closed = true
	var err error
	if l.listener != nil {
		err = l.listener.Close()
		l.listener = nil
	}
	for c := range l.conns {
		c.end(false)
	}
	l.mu.Unlock()
	l.goroutines.Wait()
	if l.reservedPort >= 0 {
		err = errors.Join(err, releasePort(l.reservedPort))
		l.reservedPort = -1
	}
	if l.socketDir != "" {
		err = errors.Join(err, os.RemoveAll(l.socketDir))
	}
	return err
}

// startListening starts accepting connections. The caller holds mu or has the only reference to the link.
func (l *Link) startListening() error {
	var newListener net.Listener
	var err error
	if l.isUnix() {
		newListener, err = (&net.ListenConfig{}).Listen(context.Background(), "unix", l.addr)
	} else {
		newListener, err = listenOnReservedPort(l.addr)
	}
	if err != nil {
		return err
	}
	l.listener = newListener
	l.goroutines.Go(func() {
		for {
			c, err := newListener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // for example, no file descriptor is available
				time.Sleep(acceptRetryDelay)
				continue
			}
			l.startProxying(c)
		}
	})
	return nil
}

// startProxying starts forwarding an accepted connection.
func (l *Link) startProxying(from net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		from.Close()
		return
	}
	l.counts.Conns++
	c := &conn{link: l, client: from, done: make(chan struct{}), dialed: make(chan struct{})}
	l.conns[c] = true
	l.goroutines.Go(func() {
		c.run()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	})
}

// currentRules returns the rules in force.
func (l *Link) currentRules() *rules {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rules
}

// target returns the network and address that new connections are forwarded to.
func (l *Link) target() (network, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isUnix() {
		return "unix", l.targetAddr
	}
	return "tcp", l.targetAddr
}
