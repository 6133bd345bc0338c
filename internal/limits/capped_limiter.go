package limits

import "sync"

// CappedLimiter limits the connections of one user of another limiter by the memory that they take, which a connection
// does until the goroutine that serves it has ended. Beyond the cap it evicts the user's idle connections.
type CappedLimiter struct {
	limiter      ConnectionLimiter
	cap          int64
	evict        func() bool
	availability *Signal

	mu     sync.Mutex
	open   int64 // connections with a descriptor
	served int64 // connections that take memory: the open ones, and closed ones whose goroutines have not ended
}

// servedLimiter is a ConnectionLimiter whose connections take resources beyond their descriptors until they are no longer
// served.
type servedLimiter interface {
	// ReleaseServed releases what a connection takes beyond its descriptor.
	ReleaseServed()
}

// NewCappedLimiter returns a limiter that allows a number of connections, if limiter allows them too. evict closes one idle
// connection of the user and reports whether there was one.
func NewCappedLimiter(limiter ConnectionLimiter, maxConnections int64, evict func() bool) *CappedLimiter {
	availability := &Signal{}
	if awaited, ok := limiter.(AwaitedLimiter); ok {
		availability = awaited.Availability()
	}
	return &CappedLimiter{limiter: limiter, cap: maxConnections, evict: evict, availability: availability}
}

// TryAcquire implements ConnectionLimiter. Memory becomes available some time after an eviction.
func (c *CappedLimiter) TryAcquire() bool {
	if !c.add() {
		if c.mustEvict() {
			c.evict()
		}
		return false
	}
	if !c.limiter.TryAcquire() {
		c.remove(1, 1)
		return false
	}
	return true
}

// add counts a connection unless the cap is reached.
func (c *CappedLimiter) add() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.served >= c.cap {
		return false
	}
	c.open++
	c.served++
	return true
}

// mustEvict reports whether no connection has been closed whose memory is about to become available.
func (c *CappedLimiter) mustEvict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open >= c.cap
}

func (c *CappedLimiter) remove(open, served int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open -= open
	c.served -= served
}

// Release implements ConnectionLimiter.
func (c *CappedLimiter) Release() {
	c.remove(1, 0)
	c.limiter.Release()
}

// ReleaseServed releases the memory of a connection, which is no longer served.
func (c *CappedLimiter) ReleaseServed() {
	c.remove(0, 1)
	c.availability.Notify()
}

// Availability implements AwaitedLimiter.
func (c *CappedLimiter) Availability() *Signal { return c.availability }
