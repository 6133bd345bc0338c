package upstream

import (
	"context"
	"crypto/tls"
	"slices"
	"syscall"
	"time"

	"lockflow/control"
)

// Pool holds the idle connections to one app server at one address. Guards against those
// of an app server that has gone being used for one that is now at its address.
type Pool struct {
	Endpoint string
	Protocol Protocol
	idle     []*conn // the most recently used last; nil for good once the pool is retired
	next     *Pool   // that has all connections of this one, also those in use; nil is none
	shared   *shared // connections of HTTP/2; nil where none is spoken
}

// last is the pool that has the connections of p; the Upstream's lock is held.
func (p *Pool) last() *Pool {
	for p.next != nil {
		p = p.next
	}
	return p
}

// NewPool makes a pool of connections to an address, of a server that may be spoken to in its own way.
func (u *Upstream) NewPool(endpoint string, speaks Protocol) *Pool {
	p := &Pool{Endpoint: endpoint, Protocol: speaks, shared: u.newShared(endpoint, speaks)}
	u.mu.Lock()
	u.pools[p] = struct{}{}
	u.mu.Unlock()
	return p
}

// MergePool has a pool's connections, those in use too, be another one's from now on. Both are of this
// Upstream and lead to one app server at one address. The first may go on being used.
func (u *Upstream) MergePool(p, to *Pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p = p.last(); p == to.last() {
		return
	}
	if _, ok := u.pools[to]; !ok { // it would keep them for good
		return
	}
	to.idle = append(to.idle, p.idle...)
	p.idle, p.next = nil, to
	delete(u.pools, p)
	to.shared.adopt(p.shared)
}

// RetirePool closes a pool's idle connections; those in use are closed when they come back.
func (u *Upstream) RetirePool(p *Pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.pools, p)
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
	p.shared.retire()
}

// CloseIdleBefore closes a pool's idle connections that were used last before some time.
func (u *Upstream) CloseIdleBefore(p *Pool, before time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p = p.last()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		old := c.since.Before(before)
		if old {
			c.Close()
		}
		return old
	})
}

// get gives the most recently used idle connection that is still good, else a new one.
func (u *Upstream) get(ctx context.Context, p *Pool) (*conn, error) { return u.rested(ctx, p, 0) }

// rested is get of those that nothing has been asked on for some time, where there may be.
// Where no new one is to be had, one that still rests does, unless servers are known to send second answers.
func (u *Upstream) rested(ctx context.Context, p *Pool, rest time.Duration) (*conn, error) {
	var failed error
	for {
		c := u.pop(p, rest)
		fresh := c == nil
		if fresh {
			if failed != nil {
				return nil, failed
			}
			if u.retired(p) {
				return nil, errGone
			}
			if c, failed = u.dial(ctx, p.Endpoint); failed != nil {
				if !u.doubled.Load() {
					rest = 0
				}
				continue
			}
		}
		switch {
		case fresh && u.retired(p):
			c.Close()
			return nil, errGone
		case !fresh && (!c.quiet() || time.Since(c.since) >= u.idleFor):
			c.Close()
		case tooLate(ctx):
			u.unsent(p, c)
			return nil, errLate
		default:
			return c, nil
		}
	}
}

// quiet tells whether an idle connection is open and has nothing to read (a server's tickets of TLS
// come before its first answer, and are read with it). Guards
// against writing to one that the app server has closed, which would be a reset, and
// against taking what came behind the last answer for the next one.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		if _, sealed := c.Conn.Conn.(*tls.Conn); n > 0 && !sealed { // there it may be TLS's own word
			c.doubled.Store(true)
		}
	})
	return err == nil && quiet
}

// pop takes the most recently used idle connection of those that have rested, and where enough rest the
// one that has for longest, unless servers are known to send second answers. Guards against one that comes
// some milliseconds late, once the next request was written: nothing on the wire tells it from that one's.
func (u *Upstream) pop(p *Pool, rest time.Duration) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	p = p.last()
	i, before := len(p.idle)-1, time.Now().Add(-rest)
	for i >= 0 && rest > 0 && p.idle[i].heard.After(before) {
		i--
	}
	if i < 0 && len(p.idle) >= restingMost && !u.doubled.Load() {
		i = 0
	}
	if i < 0 {
		return nil
	}
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

// unsent is the outcome of an attempt that was taken back once it had a connection, which is kept as it was: a
// server bears few that come up, and its own clock of an idle one goes on.
func (u *Upstream) unsent(p *Pool, c *conn) Outcome {
	o := Outcome{Reason: control.NotSent, Err: errUnsent, IsDialed: c.since.IsZero()}
	if o.IsDialed {
		c.since = time.Now()
	}
	u.keep(p, c)
	return o
}

func (u *Upstream) put(p *Pool, c *conn) {
	c.since = time.Now()
	c.heard = c.since
	u.keep(p, c)
}

// retired tells whether a pool is. Guards against an attempt that is begun as its server leaves the list, and
// would be written once its connection is up, when sends to the server have to have stopped.
func (u *Upstream) retired(p *Pool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.pools[p.last()]
	return !ok
}

func (u *Upstream) keep(p *Pool, c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p = p.last()
	if _, ok := u.pools[p]; !ok {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// CountIdle counts the idle connections and the pools that are not retired.
func (u *Upstream) CountIdle() (idle, pools int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range u.pools {
		idle += len(p.idle) + p.shared.idle()
	}
	return idle, len(u.pools)
}

// Sweep closes idle connections that are old or that the app server has closed,
// until ctx ends.
func (u *Upstream) Sweep(ctx context.Context) {
	t := time.NewTicker(idleSweep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			u.drop(func(c *conn) bool { return !c.quiet() || time.Since(c.since) >= u.idleFor })
			u.eachShared(func(s *shared) { s.close(u.idleFor) })
		}
	}
}

// drop closes the idle connections of which is tells so.
func (u *Upstream) drop(is func(*conn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range u.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if is(c) {
				c.Close()
			} else {
				kept = append(kept, c)
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
	}
}

// Evict closes the connection that has been idle for the longest time, where there are more
// than some.
func (u *Upstream) Evict(keep int) bool {
	var oldest *conn
	n := 0
	u.drop(func(c *conn) bool {
		if n++; oldest == nil || c.since.Before(oldest.since) {
			oldest = c
		}
		return false
	})
	if oldest == nil || n <= keep {
		return u.evictShared(keep)
	}
	u.drop(func(c *conn) bool { return c == oldest })
	return true
}
