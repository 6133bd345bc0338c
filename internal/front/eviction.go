package front

import "time"

const (
	// newConnGracePeriod is how long a new connection may send nothing, or a request or its body may stay incomplete,
	// before the connection can be evicted.
	newConnGracePeriod = 250 * time.Millisecond

	// shutdownGracePeriod replaces newConnGracePeriod during shutdown, when the clients in the listener's queue have only
	// finalAnswerTime of package node left.
	shutdownGracePeriod = 25 * time.Millisecond
)

// beginShutdown makes connections evictable sooner, because the process is about to close all of them.
func (r *clientRegistry) beginShutdown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isShuttingDown = true
}

// evict closes one connection, so that another client can use its file descriptor: a lingering connection whose answer
// has been delivered or, if there is none, an idle connection or else one whose client has stopped in the middle of a
// request's body. It returns false if no connection can be closed.
func (r *clientRegistry) evict() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closeLingering() || r.closeOldestIdle() || r.closeIncompleteBody()
}

// closeLingering closes one lingering connection whose answer has been delivered. It returns false if there is none. The
// caller holds r.mu.
func (r *clientRegistry) closeLingering() bool {
	for _, c := range r.connections {
		if c.lingering == nil || !c.lingering.canStopLingering(r.isShuttingDown) {
			continue
		}
		if !c.closedByNode.Swap(true) {
			c.lingering.stopLingering()
			return true
		}
	}
	return false
}

// closeOldestIdle closes one connection: the oldest new connection whose grace period is over or, if
// there is none, the connection that has been idle for longest. It spares connections with unread input,
// because the input may be a request. It returns false if it closes none. The caller holds r.mu.
func (r *clientRegistry) closeOldestIdle() bool {
	var oldest *clientConn
	for _, c := range r.connections {
		if !r.isEvictable(c) || oldest != nil && !c.isEvictedBefore(oldest) {
			continue
		}
		if !c.input.hasUnservedRequest() && r.canEvict(c, c.input.pendingInputSince()) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closeIf(func(firstReadAt time.Time) bool { return r.canEvict(oldest, firstReadAt) })
	return oldest.isClosed()
}

// closeIncompleteBody closes the connection that has waited longest for the rest of a request's body, if it has done so for
// the grace period. The request is not forwarded. It returns false if it closes none. The caller holds r.mu.
func (r *clientRegistry) closeIncompleteBody() bool {
	var oldest *clientConn
	oldestSince := time.Now().Add(-r.gracePeriod())
	for _, c := range r.connections {
		if c.isClosed() {
			continue
		}
		since := c.input.incompleteBodySince()
		if since.IsZero() || since.After(oldestSince) {
			continue
		}
		if readable, peerClosed := c.pollSocket(); readable && !peerClosed {
			continue
		}
		oldest = c
		oldestSince = since
	}
	if oldest == nil {
		return false
	}
	oldest.input.closeIncompleteBody(oldestSince, oldest.close)
	return oldest.isClosed()
}

// gracePeriod returns how long a new connection may send nothing, or a request may stay incomplete. The caller holds r.mu.
func (r *clientRegistry) gracePeriod() time.Duration {
	if r.isShuttingDown {
		return shutdownGracePeriod
	}
	return newConnGracePeriod
}

// isEvictable reports whether a connection is idle and, if it is new, has sent nothing for the grace period. The caller
// holds r.mu.
func (r *clientRegistry) isEvictable(c *clientConn) bool {
	if c.idleSince.IsZero() || c.isClosed() {
		return false
	}
	return !c.isNew || time.Since(c.idleSince) >= r.gracePeriod()
}

// canEvict reports whether an idle connection may be closed, which must not lose a request or an answer. There are two
// exceptions: a request that is still incomplete after the grace period, and an answer that the client has not received
// within maxLingerTime, the time for which a closed connection would linger. The caller holds r.mu.
func (r *clientRegistry) canEvict(c *clientConn, firstReadAt time.Time) bool {
	readable, peerClosed := c.pollSocket()
	if readable && !peerClosed {
		return false
	}
	if !peerClosed && c.hasUndeliveredOutput(r.isShuttingDown) && time.Since(c.idleSince) < maxLingerTime {
		return false
	}
	return firstReadAt.IsZero() || time.Since(firstReadAt) >= r.gracePeriod()
}

// isEvictedBefore orders connections for eviction: new connections first, then by the time since which they are idle.
func (c *clientConn) isEvictedBefore(other *clientConn) bool {
	if c.isNew != other.isNew {
		return c.isNew
	}
	return c.idleSince.Before(other.idleSince)
}
