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
	Endpoint   string
	Protocol   Protocol
	idle       []*serverConn      // the most recently used last; nil for good once the pool is retired
	mergedInto *Pool              // that has all connections of this one, also those in use; nil is none
	shared     *sharedConnections // connections of HTTP/2; nil where none is spoken
}

// owner is the pool that has the connections of p; the Upstream's lock is held.
func (p *Pool) owner() *Pool {
	for p.mergedInto != nil {
		p = p.mergedInto
	}
	return p
}

// NewPool makes a pool of connections to an address, of a server that may be spoken to in its own way.
func (u *Upstream) NewPool(endpoint string, speaks Protocol) *Pool {
	pool := &Pool{Endpoint: endpoint, Protocol: speaks, shared: u.newSharedConnections(endpoint, speaks)}
	u.mu.Lock()
	u.pools[pool] = struct{}{}
	u.mu.Unlock()
	return pool
}

// MergePool has a pool's connections, those in use too, be another one's from now on. Both are of this
// Upstream and lead to one app server at one address. The first may go on being used.
func (u *Upstream) MergePool(pool, target *Pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if pool = pool.owner(); pool == target.owner() {
		return
	}
	if _, ok := u.pools[target]; !ok { // it would keep them for good
		return
	}
	target.idle = append(target.idle, pool.idle...)
	pool.idle, pool.mergedInto = nil, target
	delete(u.pools, pool)
	target.shared.adopt(pool.shared)
}

// RetirePool closes a pool's idle connections; those in use are closed when they come back.
func (u *Upstream) RetirePool(pool *Pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.pools, pool)
	for _, conn := range pool.idle {
		conn.Close()
	}
	pool.idle = nil
	pool.shared.retire()
}

// CloseIdleBefore closes a pool's idle connections that were used last before some time.
func (u *Upstream) CloseIdleBefore(pool *Pool, before time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool = pool.owner()
	pool.idle = slices.DeleteFunc(pool.idle, func(conn *serverConn) bool {
		old := conn.idleSince.Before(before)
		if old {
			conn.Close()
		}
		return old
	})
}

// acquire gives the most recently used idle connection that is still good, else a new one.
func (u *Upstream) acquire(ctx context.Context, pool *Pool) (*serverConn, error) {
	return u.acquireQuiet(ctx, pool, 0)
}

// acquireQuiet is get of those that nothing has been asked on for some time, where there may be.
// Where no new one is to be had, one that still rests does, unless servers are known to send second answers.
func (u *Upstream) acquireQuiet(ctx context.Context, pool *Pool, quietPeriod time.Duration) (*serverConn, error) {
	var dialErr error
	for {
		conn := u.popIdle(pool, quietPeriod)
		isNew := conn == nil
		if isNew {
			if dialErr != nil {
				return nil, dialErr
			}
			if u.isRetired(pool) {
				return nil, errServerRemoved
			}
			if conn, dialErr = u.dial(ctx, pool.Endpoint); dialErr != nil {
				if !u.sawSecondAnswer.Load() {
					quietPeriod = 0
				}
				continue
			}
		}
		switch {
		case isNew && u.isRetired(pool):
			conn.Close()
			return nil, errServerRemoved
		case !isNew && (!conn.isQuiet() || time.Since(conn.idleSince) >= u.maxIdleTime):
			conn.Close()
		case isPastWriteDeadline(ctx):
			u.releaseUnused(pool, conn)
			return nil, errWriteDeadline
		default:
			return conn, nil
		}
	}
}

// isQuiet tells whether an idle connection is open and has nothing to read (a server's tickets of TLS
// come before its first answer, and are read with it). Guards
// against writing to one that the app server has closed, which would be a reset, and
// against taking what came behind the last answer for the next one.
func (c *serverConn) isQuiet() bool {
	quiet := false
	err := c.rawConn.Control(func(fd uintptr) {
		var probe [1]byte
		n, err := syscall.Read(int(fd), probe[:])
		quiet = err == syscall.EAGAIN
		if _, isTLS := c.Conn.Conn.(*tls.Conn); n > 0 && !isTLS { // there it may be TLS's own word
			c.sawSecondAnswer.Store(true)
		}
	})
	return err == nil && quiet
}

// popIdle takes the most recently used idle connection of those that have rested, and where enough rest the
// one that has for longest, unless servers are known to send second answers. Guards against one that comes
// some milliseconds late, once the next request was written: nothing on the wire tells it from that one's.
func (u *Upstream) popIdle(pool *Pool, quietPeriod time.Duration) *serverConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool = pool.owner()
	i, before := len(pool.idle)-1, time.Now().Add(-quietPeriod)
	for i >= 0 && quietPeriod > 0 && pool.idle[i].lastAnswer.After(before) {
		i--
	}
	if i < 0 && len(pool.idle) >= maxRestingConnections && !u.sawSecondAnswer.Load() {
		i = 0
	}
	if i < 0 {
		return nil
	}
	conn := pool.idle[i]
	pool.idle = slices.Delete(pool.idle, i, i+1)
	return conn
}

// releaseUnused is the outcome of an attempt that was taken back once it had a connection, which is kept as it was: a
// server bears few that come up, and its own clock of an idle one goes on.
func (u *Upstream) releaseUnused(pool *Pool, conn *serverConn) Outcome {
	outcome := Outcome{Reason: control.NotSent, Err: errWithdrawn, IsDialed: conn.idleSince.IsZero()}
	if outcome.IsDialed {
		conn.idleSince = time.Now()
	}
	u.addIdle(pool, conn)
	return outcome
}

func (u *Upstream) release(pool *Pool, conn *serverConn) {
	conn.idleSince = time.Now()
	conn.lastAnswer = conn.idleSince
	u.addIdle(pool, conn)
}

// isRetired tells whether a pool is. Guards against an attempt that is begun as its server leaves the list, and
// would be written once its connection is up, when sends to the server have to have stopped.
func (u *Upstream) isRetired(pool *Pool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.pools[pool.owner()]
	return !ok
}

func (u *Upstream) addIdle(pool *Pool, conn *serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool = pool.owner()
	if _, ok := u.pools[pool]; !ok {
		conn.Close()
		return
	}
	pool.idle = append(pool.idle, conn)
}

// CountIdle counts the idle connections and the pools that are not retired.
func (u *Upstream) CountIdle() (idle, pools int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for pool := range u.pools {
		idle += len(pool.idle) + pool.shared.countIdle()
	}
	return idle, len(u.pools)
}

// Sweep closes idle connections that are old or that the app server has closed,
// until ctx ends.
func (u *Upstream) Sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			u.closeIdleIf(func(conn *serverConn) bool { return !conn.isQuiet() || time.Since(conn.idleSince) >= u.maxIdleTime })
			u.eachShared(func(s *sharedConnections) { s.closeIdle(u.maxIdleTime) })
		}
	}
}

// closeIdleIf closes the idle connections of which is tells so.
func (u *Upstream) closeIdleIf(matches func(*serverConn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for pool := range u.pools {
		idle := pool.idle[:0]
		for _, conn := range pool.idle {
			if matches(conn) {
				conn.Close()
			} else {
				idle = append(idle, conn)
			}
		}
		clear(pool.idle[len(idle):])
		pool.idle = idle
	}
}

// Evict closes the connection that has been idle for the longest time, where there are more
// than some.
func (u *Upstream) Evict(minIdle int) bool {
	var oldest *serverConn
	n := 0
	u.closeIdleIf(func(conn *serverConn) bool {
		if n++; oldest == nil || conn.idleSince.Before(oldest.idleSince) {
			oldest = conn
		}
		return false
	})
	if oldest == nil || n <= minIdle {
		return u.evictHTTP2(minIdle)
	}
	u.closeIdleIf(func(conn *serverConn) bool { return conn == oldest })
	return true
}
