// Package link puts a proxy on loopback between whoever dials and what is dialled, over TCP or Unix
// sockets, that obeys faults in either direction.
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

// Link is a listener whose connections lead on to another address. Its methods are safe for
// concurrent use.
type Link struct {
	to   string
	addr string
	dir  string // of a Unix socket's path
	hold int    // a socket that keeps the TCP port while the listener is closed; -1 is none

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	rules    *rules
	conns    map[*conn]bool
	counts   Counts
	closed   bool
	all      sync.WaitGroup
}

// Counts are what a link has seen so far.
type Counts struct {
	Conns  int   // taken
	Failed int   // of them, for which what is dialled could not be reached
	Resets int   // of them, by a fault
	Forth  int64 // bytes that were delivered
	Back   int64
	Lost   int64 // bytes that vanished, either way
}

// rules are the faults in force, summed up: what a connection has to know. They are not changed
// once they are in force.
type rules struct {
	directions [2]directionRules
	lost       bool          // answers are thrown away, and the connection reset
	blackhole  bool          // the same, and then silence
	refuse     bool          //
	changed    chan struct{} // closed once other rules are in force
}

type directionRules struct {
	cut, hold bool
	delay     time.Duration
	limit     *rate.Limiter // over all connections; nil is none
	reset     bool
	after     int // bytes since it is in force
}

// burst is how many bytes a slow link lets through at once, and the size of what is read at once
// from any.
const (
	burst    = 64
	chunk    = 16 << 10
	buffered = 16 // chunks of one direction
	dialTime = 5 * time.Second
)

// Listen starts a link to an address: host:port, or the path of a Unix socket, which has a /. What
// is dialled need not be there yet.
func Listen(to string) (*Link, error) {
	l := &Link{to: to, hold: -1, rules: &rules{changed: make(chan struct{})}, conns: make(map[*conn]bool)}
	var err error
	if l.unix() {
		if l.dir, err = os.MkdirTemp("", "lf"); err == nil {
			l.addr = filepath.Join(l.dir, "s")
		}
	} else {
		l.hold, l.addr, err = holdPort()
	}
	if err == nil {
		err = l.open()
	}
	if err != nil {
		_ = l.Close() // the error that came first counts
		return nil, fmt.Errorf("a link to %s: %w", to, err)
	}
	return l, nil
}

func (l *Link) unix() bool { return strings.Contains(l.to, "/") }

// Addr is what is dialled instead of the link's end; it stays the same.
func (l *Link) Addr() string { return l.addr }

// To leads new connections to another address of the same kind, as where a process starts again
// on a port of its own.
func (l *Link) To(to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.to = to
}

// Counts tells what went through so far.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Link) add(f func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

// Set has exactly these faults in force. Bytes of resets are counted anew, those of other faults go
// on.
func (l *Link) Set(all ...script.Fault) error {
	r := &rules{changed: make(chan struct{})}
	for _, f := range all {
		if !f.Kind.OfLink() {
			return fmt.Errorf("a link has no fault %v", f.Kind)
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
			if w := &r.directions[i]; f.Direction.Has(direction) {
				w.add(f)
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	for i := range r.directions { // so that a slow link's rest isn't forgotten at each change of another fault
		if now, was := r.directions[i].limit, l.rules.directions[i].limit; now != nil && was != nil && now.Limit() == was.Limit() {
			r.directions[i].limit = was
		}
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
	return l.open()
}

// Heal ends all faults. A connection that lost bytes stays dumb.
func (l *Link) Heal() error { return l.Set() }

func (w *directionRules) add(f script.Fault) {
	switch f.Kind {
	case script.Cut:
		w.cut = true
	case script.Hold:
		w.hold = true
	case script.Late:
		w.delay += f.Delay
	case script.Slow:
		if w.limit == nil || rate.Limit(f.Rate) < w.limit.Limit() {
			w.limit = rate.NewLimiter(rate.Limit(f.Rate), burst)
		}
	case script.Reset:
		if !w.reset || f.Bytes < w.after {
			w.reset, w.after = true, f.Bytes
		}
	}
}

// Break resets all connections that are there.
func (l *Link) Break() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		l.counts.Resets++
		c.end(true)
	}
}

// Close ends the link with all its connections and waits for them.
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
	l.all.Wait()
	if l.hold >= 0 {
		err = errors.Join(err, closePort(l.hold))
		l.hold = -1
	}
	if l.dir != "" {
		err = errors.Join(err, os.RemoveAll(l.dir))
	}
	return err
}

// open takes connections, from now on. The caller holds mu, or nobody else knows the link yet.
func (l *Link) open() error {
	var at net.Listener
	var err error
	if l.unix() {
		at, err = (&net.ListenConfig{}).Listen(context.Background(), "unix", l.addr)
	} else {
		at, err = listenOnReservedPort(l.addr)
	}
	if err != nil {
		return err
	}
	l.listener = at
	l.all.Go(func() {
		for {
			c, err := at.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // out of descriptors, or so
				time.Sleep(10 * time.Millisecond)
				continue
			}
			l.take(c)
		}
	})
	return nil
}

func (l *Link) take(from net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		from.Close()
		return
	}
	l.counts.Conns++
	c := &conn{link: l, from: from, over: make(chan struct{}), up: make(chan struct{})}
	l.conns[c] = true
	l.all.Go(func() {
		c.run()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	})
}

// now is the rules in force.
func (l *Link) now() *rules {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rules
}

// target is where new connections lead.
func (l *Link) target() (network, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unix() {
		return "unix", l.to
	}
	return "tcp", l.to
}
