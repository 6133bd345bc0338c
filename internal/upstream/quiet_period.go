package upstream

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// SecondResponseDelay is how long after a response a second one may arrive. Servers send one some milliseconds late, and
// the system of a server that does not set TCP_NODELAY delays small writes until the previous one is acknowledged,
// which takes up to 40 ms where the node does not acknowledge at once.
const SecondResponseDelay = 50 * time.Millisecond

// unsolicitedResponseMemory is how long after an unsolicited response relayed requests avoid connections in their quiet
// period.
const unsolicitedResponseMemory = 10 * time.Minute

// noteUnsolicitedResponse records that a server has sent bytes behind a response.
func (u *Upstream) noteUnsolicitedResponse() {
	now := time.Now()
	u.lastUnsolicitedResponse.Store(&now)
}

// relayedQuietPeriod returns the quiet period of connections that a RelayedRequest takes. Servers of generic HTTP are
// expected to answer each request once, and a connection that rests takes one of the connections that a server can
// hold. So there is a quiet period only where a server has answered twice.
func (u *Upstream) relayedQuietPeriod() time.Duration {
	last := u.lastUnsolicitedResponse.Load()
	if last == nil || time.Since(*last) > unsolicitedResponseMemory {
		return 0
	}
	return u.QuietPeriod
}

// acknowledge acknowledges at once what was read. Any write that the server's system delays until then arrives within
// the quiet period instead of with the next request.
func (c *serverConn) acknowledge() {
	_ = c.rawConn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_QUICKACK, 1)
	})
}

// popRested removes and returns the most recently used idle connection whose quiet period is over and that an attempt
// accepts, or nil if there is none. Until then a second response may arrive: once the next request is written, nothing on the wire distinguishes it
// from the response to that request.
func (u *Upstream) popRested(pool *Pool, quietPeriod time.Duration, requirement *processRequirement) *serverConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool = pool.owner()
	before := time.Now().Add(-quietPeriod)
	for i, conn := range slices.Backward(pool.idle) {
		isRested := quietPeriod == 0 || !conn.lastResponseEnd.After(before)
		if isRested && requirement.accepts(pool.process, conn) {
			pool.idle = slices.Delete(pool.idle, i, i+1)
			return conn
		}
	}
	return nil
}

// popEarliest removes and returns the idle connection whose last response ended first, or nil if there is none.
func (u *Upstream) popEarliest(pool *Pool) *serverConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool = pool.owner()
	if len(pool.idle) == 0 {
		return nil
	}
	earliest := 0
	for i, conn := range pool.idle {
		if conn.lastResponseEnd.Before(pool.idle[earliest].lastResponseEnd) {
			earliest = i
		}
	}
	conn := pool.idle[earliest]
	pool.idle = slices.Delete(pool.idle, earliest, earliest+1)
	return conn
}

// awaitRested reserves the idle connection whose quiet period ends first and returns it when that is over. It returns nil
// if there is no idle connection, or if ctx ends before.
func (u *Upstream) awaitRested(ctx context.Context, pool *Pool, quietPeriod time.Duration) *serverConn {
	conn := u.popEarliest(pool)
	if conn == nil {
		return nil
	}
	timer := time.NewTimer(time.Until(conn.lastResponseEnd.Add(quietPeriod)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return conn
	case <-ctx.Done():
		u.addIdle(pool, conn)
		return nil
	}
}
