package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"lockflow/control"
)

// Pool holds the connections to one app server at one address. A server that later gets the same address has a pool
// of its own, so that it is not sent requests over its predecessor's connections.
type Pool struct {
	Endpoint   string
	Protocol   Protocol
	idle       []*serverConn      // in order of use, most recent last; permanently nil once the pool is retired
	mergedInto *Pool              // pool that has taken over all connections; nil if not merged
	shared     *sharedConnections // nil if only HTTP/1.1 is used
	process    *processIdentity
}

// owner returns the pool that holds the connections of p, following merges. Upstream.mu must be locked.
func (p *Pool) owner() *Pool {
	for p.mergedInto != nil {
		p = p.mergedInto
	}
	return p
}

// NewPool creates a pool of connections to one server.
func (u *Upstream) NewPool(endpoint string, protocol Protocol) *Pool {
	process := newProcessIdentity()
	shared := u.newSharedConnections(endpoint, protocol, process)
	pool := &Pool{Endpoint: endpoint, Protocol: protocol, shared: shared, process: process}
	u.mu.Lock()
	u.pools[pool] = struct{}{}
	u.mu.Unlock()
	return pool
}

// MergePool moves the connections of pool to target, including those in use once they are released. Both pools must
// belong to this Upstream and to one app server at one address. The merged pool may still be used.
func (u *Upstream) MergePool(pool, target *Pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool = pool.owner()
	if pool == target.owner() {
		return
	}
	if _, ok := u.pools[target]; !ok { // a retired target would never close them
		return
	}
	target.idle = append(target.idle, pool.idle...)
	pool.idle = nil
	pool.mergedInto = target
	delete(u.pools, pool)
	target.shared.mergeFrom(pool.shared)
	target.process.absorb(pool.process)
}

// RetirePool closes a pool's idle connections. Connections in use are closed when they are released.
func (u *Upstream) RetirePool(pool *Pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.pools, pool)
	for _, conn := range pool.idle {
		conn.Close()
	}
	pool.idle = nil
	pool.shared.retire()
	pool.process.notifyChanged()
}

// isRetired reports whether a pool is retired. Without this check, an attempt that starts while its server leaves
// the endpoint list would be written once its connection is established, although requests to the server must have
// stopped by then.
func (u *Upstream) isRetired(pool *Pool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.pools[pool.owner()]
	return !ok
}

// acquire returns the most recently used idle connection that is still usable and whose last response ended at least a
// quiet period ago, or a new one if there is none. If no new connection can be made, it waits for the idle connection
// whose quiet period ends first.
func (u *Upstream) acquire(ctx context.Context, pool *Pool, quietPeriod time.Duration) (*serverConn, error) {
	var dialErr error
	requirement := newProcessRequirement(ctx)
	for {
		conn := u.popRested(pool, quietPeriod, &requirement)
		isNew := false
		if conn == nil && dialErr == nil {
			if u.isRetired(pool) {
				return nil, errServerRemoved
			}
			conn, dialErr = u.dialServer(ctx, pool)
			isNew = dialErr == nil
		}
		if conn == nil {
			conn = u.awaitRested(ctx, pool, quietPeriod)
		}
		if conn == nil {
			return nil, dialErr
		}
		switch {
		case u.isRetired(pool):
			conn.Close()
			return nil, errServerRemoved
		case !isNew && !u.isUsable(conn):
			u.discard(pool, conn, conn.isClosedByPeer())
		case !requirement.accepts(u.processOf(pool), conn):
			u.releaseUnused(pool, conn)
			if err := requirement.await(ctx, u.processOf(pool)); err != nil {
				return nil, err
			}
			dialErr = nil
		case isPastWriteDeadline(ctx):
			u.releaseUnused(pool, conn)
			return nil, errWriteDeadline
		default:
			return conn, nil
		}
	}
}

// dialServer establishes a connection to the server of a pool.
func (u *Upstream) dialServer(ctx context.Context, pool *Pool) (*serverConn, error) {
	conn, err := u.dial(ctx, pool.Endpoint)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		u.processOf(pool).refused()
	case err == nil:
		u.processOf(pool).established(conn)
	}
	return conn, err
}

// release returns a connection to its pool after a response, for requests that observe a quiet period.
func (u *Upstream) release(pool *Pool, conn *serverConn, quietPeriod time.Duration) {
	conn.idleSince = time.Now()
	conn.lastResponseEnd = conn.idleSince
	if quietPeriod > 0 {
		conn.acknowledge()
	}
	u.addIdle(pool, conn)
}

// releaseUnused returns a connection on which nothing was written to its pool, and returns the outcome of the
// attempt. The connection keeps its idle time, since the server's idle timeout continues. Closing it instead would
// cost the server another connection.
func (u *Upstream) releaseUnused(pool *Pool, conn *serverConn) Outcome {
	outcome := Outcome{Reason: control.NotSent, Err: errWithdrawn, IsDialed: conn.idleSince.IsZero()}
	if outcome.IsDialed {
		conn.idleSince = time.Now()
	}
	u.addIdle(pool, conn)
	return outcome
}

// addIdle adds a connection to its pool, or closes it if the pool is retired.
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
