package upstream

import (
	"context"
	"sync"
	"time"

	"lockflow/internal/h2"
	"lockflow/internal/socketpoll"
)

// IdentityDelay is how long the endpoint list may go on naming a process that has ended: discovery's changes count as
// notified after that time at the latest.
const IdentityDelay = 6 * time.Second

// processIdentity tracks whether the process at a server's address is still the one that the endpoint list names.
//
// An open connection leads to the process that accepted it. A new connection leads to the named process as long as an
// older one to it is still open, or as long as none has ended on the server's side. When the server's side has ended the
// last one, or has refused a connection, another process may have taken over the address; the list names it IdentityDelay
// later at the latest, which removes the pool. A server that resets its only connection is a weaker sign than one that ends
// several or refuses one. It is safe for concurrent use.
type processIdentity struct {
	mu           sync.Mutex
	suspectUntil time.Time
	lost         int // connections that the server's side has ended since the process was last proved, and refusals
	lastLossAt   time.Time
	isReplaced   bool          // the endpoint list has named another server at this address
	changed      chan struct{} // closed when the pool is retired or merged
	// connections are the open connections. The value is the time until which it is in doubt which process a
	// connection leads to; zero is none.
	connections map[peerConn]time.Time
}

// peerConn is a connection to a server.
type peerConn interface {
	// isClosedByPeer reports whether the server's side has ended the connection.
	isClosedByPeer() bool
}

func newProcessIdentity() *processIdentity {
	return &processIdentity{connections: make(map[peerConn]time.Time), changed: make(chan struct{})}
}

// suspect records that another process may be at the address until a time.
func (p *processIdentity) suspect(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isReplaced = true
	p.suspectUntil = until
}

// established records a new connection.
func (p *processIdentity) established(conn peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	hasProof, ended := p.examine(now)
	switch {
	case hasProof:
		p.lost = 0
	case ended > 0:
		p.extendSuspicion(now)
	}
	p.connections[conn] = time.Time{}
	if !hasProof && now.Before(p.suspectUntil) {
		p.connections[conn] = p.suspectUntil
	}
}

// closed records that a connection is closed, by the server's side or by this one.
func (p *processIdentity) closed(conn peerConn, byPeer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, conn)
	if byPeer {
		p.recordLoss(1)
	}
}

// refused records that the server has refused a connection.
func (p *processIdentity) refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLoss(strongLoss)
}

// strongLoss is the number of lost connections from which on the process has most probably ended.
const strongLoss = 2

// recordLoss records signs that the process has ended. The suspicion begins once no connection proves that it has not: the
// connections of a process that ends are closed one after the other.
func (p *processIdentity) recordLoss(connections int) {
	now := time.Now()
	if now.Sub(p.lastLossAt) >= IdentityDelay {
		p.lost = 0
	}
	p.lost += connections
	p.lastLossAt = now
	if hasProof, _ := p.examine(now); !hasProof {
		p.extendSuspicion(now)
	}
}

// extendSuspicion lets the suspicion last for IdentityDelay from now on.
func (p *processIdentity) extendSuspicion(now time.Time) {
	if !now.Before(p.suspectUntil) {
		p.isReplaced = false
	}
	p.suspectUntil = now.Add(IdentityDelay)
}

// examine reports whether some open connection is known to lead to the named process, and how many of the others the
// server's side has ended.
func (p *processIdentity) examine(now time.Time) (hasProof bool, ended int) {
	for conn, suspectUntil := range p.connections {
		switch {
		case conn.isClosedByPeer():
			ended++
		case !now.Before(suspectUntil):
			return true, ended
		}
	}
	return false, ended
}

// hasStrongSign reports whether more than the loss of one connection tells that the process has ended. The caller holds mu.
func (p *processIdentity) hasStrongSign(now time.Time) bool {
	_, ended := p.examine(now)
	return p.isReplaced || p.lost+ended >= strongLoss
}

// notifyChanged wakes the attempts that wait for the process to be known.
func (p *processIdentity) notifyChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// suspectUntilOf returns the time until which it is in doubt which process a connection leads to; zero is none.
func (p *processIdentity) suspectUntilOf(conn peerConn) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections[conn]
}

// absorb takes over what is known of the same process.
func (p *processIdentity) absorb(source *processIdentity) {
	source.mu.Lock()
	suspectUntil, connections := source.suspectUntil, source.connections
	source.connections = make(map[peerConn]time.Time)
	lost, lastLossAt, isReplaced := source.lost, source.lastLossAt, source.isReplaced
	source.mu.Unlock()
	source.notifyChanged()
	p.mu.Lock()
	defer p.mu.Unlock()
	if suspectUntil.After(p.suspectUntil) { // never earlier than that of a connection, for which await waits
		p.suspectUntil = suspectUntil
	}
	if lastLossAt.After(p.lastLossAt) {
		p.lastLossAt = lastLossAt
	}
	p.lost = max(p.lost, lost)
	p.isReplaced = p.isReplaced || isReplaced
	for conn, until := range connections {
		p.connections[conn] = until
	}
}

// SuspectProcess records that until a time, a process other than the one that the endpoint list names for a pool may be at
// its address.
func (u *Upstream) SuspectProcess(pool *Pool, until time.Time) { u.processOf(pool).suspect(until) }

func (u *Upstream) processOf(pool *Pool) *processIdentity {
	u.mu.Lock()
	defer u.mu.Unlock()
	return pool.owner().process
}

type knownProcessKey struct{}

// WithKnownProcess returns a ctx whose attempt is only sent to a process that is known to be the one that the endpoint list
// names: a repeat that another process would not recognize.
func WithKnownProcess(ctx context.Context) context.Context {
	return context.WithValue(ctx, knownProcessKey{}, true)
}

// processRequirement is what an attempt requires of the process that a connection leads to.
type processRequirement struct {
	needsKnown      bool
	acceptsLoneLoss bool // the attempt has waited long enough where the only sign is one lost connection
}

func newProcessRequirement(ctx context.Context) processRequirement {
	needsKnown, _ := ctx.Value(knownProcessKey{}).(bool)
	return processRequirement{needsKnown: needsKnown}
}

// accepts reports whether the attempt may use a connection.
func (r *processRequirement) accepts(process *processIdentity, conn peerConn) bool {
	if !r.needsKnown {
		return true
	}
	process.mu.Lock()
	defer process.mu.Unlock()
	now := time.Now()
	if !now.Before(process.connections[conn]) {
		return true
	}
	return r.acceptsLoneLoss && !process.hasStrongSign(now)
}

// await waits for the process to be known: until the suspicion is over or, where only one connection was lost, for half of the time
// in which the attempt can be made. The endpoint list can retire the pool meanwhile. await returns nil if it is worth trying
// again.
func (r *processRequirement) await(ctx context.Context, process *processIdentity) error {
	now := time.Now()
	limit := writeDeadline(ctx)
	if deadline, ok := ctx.Deadline(); ok && (limit.IsZero() || deadline.Before(limit)) {
		limit = deadline
	}
	process.mu.Lock()
	until, changed, isStrong := process.suspectUntil, process.changed, process.hasStrongSign(now)
	process.mu.Unlock()
	if middle := now.Add(limit.Sub(now) / 2); !isStrong && middle.Before(until) {
		until = middle
	}
	isBeforeLimit := limit.IsZero() || until.Before(limit)
	if !isBeforeLimit {
		until = limit
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return errUnknownProcess
	case <-timer.C:
	}
	if !isBeforeLimit {
		return errUnknownProcess
	}
	r.acceptsLoneLoss = !isStrong
	return nil
}

// isClosedByPeer implements peerConn.
func (c *serverConn) isClosedByPeer() bool {
	if c.rawConn == nil {
		return false
	}
	state := socketpoll.Poll(c.rawConn)
	return state.IsHalfClosed || state.IsBroken
}

// discard closes a connection of a pool. byPeer tells that the server's side has ended it unexpectedly.
func (u *Upstream) discard(pool *Pool, conn *serverConn, byPeer bool) {
	conn.abandon()
	u.processOf(pool).closed(conn, byPeer)
}

// http2PeerConn is an HTTP/2 connection as a peerConn.
type http2PeerConn struct{ *h2.Conn }

// isClosedByPeer implements peerConn. A connection that this side has retired may end without a sign of the server.
func (c http2PeerConn) isClosedByPeer() bool {
	select {
	case <-c.Done():
		return !c.IsRetired()
	default:
		return false
	}
}
