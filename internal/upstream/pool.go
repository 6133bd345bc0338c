package upstream

import (
	"context"
	"slices"
	"time"

	"lockflow/control"
)

// SecondAnswerDelay is the time after an answer in which a second one may arrive. A server without TCP_NODELAY
// delays small writes until the first one is acknowledged: 40 ms later, or with the next request.
const SecondAnswerDelay = 50 * time.Millisecond

// maxRestingConnections is how many connections to a server may be in their quiet period before one is used
// early.
const maxConnectionsInQuietPeriod = 4

// Pool holds the connections to one app server at one address, so that those to a server that has gone are not
// used for the next one at its address.
type Pool struct {
	Endpoint   string
	Protocol   Protocol
	idle       []*serverConn      // the most recently used one last; nil for good once the pool is retired
	mergedInto *Pool              // the pool that has taken over all connections; nil is none
	shared     *sharedConnections // nil where only HTTP/1.1 is used
}

// owner returns the pool that has the connections of p. Upstream.mu is locked.
func (p *Pool) owner() *Pool {
	for p.mergedInto != nil {
		p = p.mergedInto
	}
	return p
}

// NewPool makes a pool of connections to one server.
func (u *Upstream) NewPool(endpoint string, protocol Protocol) *Pool {
	pool := &Pool{Endpoint: endpoint, Protocol: protocol, shared: u.newSharedConnections(endpoint, protocol)}
	u.mu.Lock()
	u.pools[pool] = struct{}{}
	u.mu.Unlock()
	return pool
}

// MergePool moves the connections of pool to target, including those in use once they are released. Both belong
// to this Upstream and to one app server at one address. The first may still be used.
func (u *Upstream) MergePool(pool, target *Pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool = pool.owner()
	if pool == target.owner() {
		return
	}
	if _, ok := u.pools[target]; !ok { // a retired pool would never close them
		return
	}
	target.idle = append(target.idle, pool.idle...)
	pool.idle = nil
	pool.mergedInto = target
	delete(u.pools, pool)
	target.shared.mergeFrom(pool.shared)
}

// RetirePool closes a pool's idle connections. Those in use are closed when they are released.
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

// isRetired reports whether a pool is retired. An attempt that starts as its server leaves the endpoint list
// would otherwise be written once its connection is up, after sends to the server have to have stopped.
func (u *Upstream) isRetired(pool *Pool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.pools[pool.owner()]
	return !ok
}

// acquire returns the most recently used idle connection that is still usable, or else a new one.
func (u *Upstream) acquire(ctx context.Context, pool *Pool) (*serverConn, error) {
	return u.acquireAfterQuietPeriod(ctx, pool, 0)
}

// acquireQuiet is acquire among the connections that have had no answer for a quiet period. Where no new one can
// be made it uses one that still rests, unless servers are known to send second answers.
func (u *Upstream) acquireAfterQuietPeriod(ctx context.Context, pool *Pool, quietPeriod time.Duration) (*serverConn, error) {
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
				if !u.hasUnsolicitedResponse.Load() {
					quietPeriod = 0
				}
				continue
			}
		}
		switch {
		case isNew && u.isRetired(pool):
			conn.Close()
			return nil, errServerRemoved
		case !isNew && !u.isUsable(conn):
			conn.Close()
		case isPastWriteDeadline(ctx):
			u.releaseUnused(pool, conn)
			return nil, errWriteDeadline
		default:
			return conn, nil
		}
	}
}

// popIdle takes the most recently used idle connection that has rested for the quiet period. Where all rest and
// there are enough it takes the one that has rested longest, unless servers are known to send second answers.
// Such an answer may arrive some milliseconds late: once the next request is written, nothing on the wire
// distinguishes it from that request's answer.
func (u *Upstream) popIdle(pool *Pool, quietPeriod time.Duration) *serverConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool = pool.owner()
	i := len(pool.idle) - 1
	before := time.Now().Add(-quietPeriod)
	for i >= 0 && quietPeriod > 0 && pool.idle[i].lastResponseEnd.After(before) {
		i--
	}
	if i < 0 && len(pool.idle) >= maxConnectionsInQuietPeriod && !u.hasUnsolicitedResponse.Load() {
		i = 0
	}
	if i < 0 {
		return nil
	}
	conn := pool.idle[i]
	pool.idle = slices.Delete(pool.idle, i, i+1)
	return conn
}

// release returns a connection to its pool after an answer.
func (u *Upstream) release(pool *Pool, conn *serverConn) {
	conn.idleSince = time.Now()
	conn.lastResponseEnd = conn.idleSince
	u.addIdle(pool, conn)
}

// releaseUnused returns a connection to its pool on which nothing was written, and the outcome of its attempt.
// The connection is unchanged: making another one would burden the server, whose idle timeout continues.
func (u *Upstream) releaseUnused(pool *Pool, conn *serverConn) Outcome {
	outcome := Outcome{Reason: control.NotSent, Err: errWithdrawn, IsDialed: conn.idleSince.IsZero()}
	if outcome.IsDialed {
		conn.idleSince = time.Now()
	}
	u.addIdle(pool, conn)
	return outcome
}

// addIdle adds a connection to its pool, and closes it if that is retired.
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
