package front

import "time"

const (
	// newConnGracePeriod is how long a new connection may stay silent, and a request incomplete, before the
	// connection can be evicted.
	newConnGracePeriod = 250 * time.Millisecond

	// endGracePeriod is the same while the process ends. Other clients then have finalAnswerTime of package node left.
	shutdownGracePeriod = 25 * time.Millisecond
)

// beginShutdown makes connections evictable sooner, as the process is about to end all of them.
func (s *clientRegistry) beginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isShuttingDown = true
}

// evict closes one connection, so that another client gets its descriptor: one that lingers and is not needed any more,
// else an idle one. It returns false if there is none.
func (s *clientRegistry) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeLingering() || s.closeOldestIdle()
}

// closeLingering closes one lingering connection that can be closed without loss. The caller holds s.mu.
func (s *clientRegistry) closeLingering() bool {
	for _, c := range s.connections {
		if c.lingering == nil || !c.lingering.canStopLingering(s.isShuttingDown) {
			continue
		}
		if !c.closedByNode.Swap(true) {
			c.lingering.stopLingering()
			return true
		}
	}
	return false
}

// closeOldestIdle closes one connection: the oldest new one whose grace period is over, else the one
// that has been idle for longest. Connections with unread input are spared, because that may be a
// request. It returns false if there is nothing to close. The caller holds s.mu.
func (s *clientRegistry) closeOldestIdle() bool {
	var oldest *clientConn
	for _, c := range s.connections {
		if !s.isEvictable(c) || oldest != nil && !c.isEvictedBefore(oldest) {
			continue
		}
		if s.canEvict(c, c.input.pendingInputSince()) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closeIf(func(firstReadAt time.Time) bool { return s.canEvict(oldest, firstReadAt) })
	return oldest.isClosed()
}

// gracePeriod is how long a connection may be silent or a request incomplete. The caller holds s.mu.
func (s *clientRegistry) gracePeriod() time.Duration {
	if s.isShuttingDown {
		return shutdownGracePeriod
	}
	return newConnGracePeriod
}

// isEvictable reports whether a connection is idle, and silent for longer than the grace period if it is new. The caller
// holds s.mu.
func (s *clientRegistry) isEvictable(c *clientConn) bool {
	if c.idleSince.IsZero() || c.isClosed() {
		return false
	}
	return !c.isNew || time.Since(c.idleSince) >= s.gracePeriod()
}

// canEvict reports whether closing an idle connection loses no request and no answer. A request that is still incomplete
// after the grace period may be lost, and so may an answer that its client has not received for as long as a closed
// connection would linger. The caller holds s.mu.
func (s *clientRegistry) canEvict(c *clientConn, firstReadAt time.Time) bool {
	readable, peerClosed := c.pollSocket()
	if readable && !peerClosed {
		return false
	}
	if !peerClosed && c.hasUndeliveredOutput(s.isShuttingDown) && time.Since(c.idleSince) < maxLingerTime {
		return false
	}
	return firstReadAt.IsZero() || time.Since(firstReadAt) >= s.gracePeriod()
}

// isEvictedBefore orders connections for eviction: new ones first, then by the time they became idle.
func (c *clientConn) isEvictedBefore(other *clientConn) bool {
	if c.isNew != other.isNew {
		return c.isNew
	}
	return c.idleSince.Before(other.idleSince)
}
