package limits

import "sync/atomic"

const (
	processDescriptors = 24 // of the process itself: listener, discovery, log, poller and the runtime's

	// ReservedForServers is how many connections are left to app servers where clients use all other ones.
	ReservedForServers = 64

	// MinDescriptors is the lowest limit on descriptors that allows one client and one app server.
	MinDescriptors = processDescriptors + 2
)

// ConnectionLimiter limits the connections of one user: a service, or the clients.
type ConnectionLimiter interface {
	// TryAcquire acquires a descriptor for one connection; false where there is none.
	TryAcquire() bool
	// Release releases a descriptor, once its connection is closed.
	Release()
}

// AwaitedLimiter is a ConnectionLimiter that tells a waiting Listener when a descriptor may be had.
type AwaitedLimiter interface {
	ConnectionLimiter
	// Availability returns the signal that is given once a descriptor has been released or may be evicted.
	Availability() *Signal
}

// SocketLimiter keeps the connections of clients and to app servers together below the process's limit on
// descriptors. Where it is reached, idle connections are closed for new ones. It serves a process of one
// service; several services have accounts at a SharedResource. It is the ConnectionLimiter of app servers.
type SocketLimiter struct {
	inUse              atomic.Int64
	limit              atomic.Int64
	reservedForServers int64 // ReservedForServers, or half of a low limit
	availability       Signal

	evictClient func() bool         // closes one idle connection of a client, if there is one
	evictServer func(keep int) bool // closes one idle connection to an app server, if there are more than keep
}

// NewSocketLimiter creates a limiter for a process's limit on descriptors; 0 is one that is not known.
func NewSocketLimiter(descriptors int) *SocketLimiter {
	limit := MaxConnections(descriptors)
	s := &SocketLimiter{
		reservedForServers: int64(min(ReservedForServers, limit/2)),
		evictClient:        func() bool { return false },
		evictServer:        func(int) bool { return false },
	}
	s.limit.Store(int64(limit))
	return s
}

// MaxConnections is how many connections a limit on descriptors allows; 0 is a limit that is not known.
func MaxConnections(descriptors int) int {
	if descriptors == 0 {
		return 2 * ReservedForServers
	}
	return max(descriptors, MinDescriptors) - processDescriptors
}

// SetLimit sets how many connections may be open; connections above it remain open.
func (s *SocketLimiter) SetLimit(n int) {
	s.limit.Store(int64(n))
	s.availability.Notify()
}

// InUse returns how many descriptors are acquired.
func (s *SocketLimiter) InUse() int { return int(s.inUse.Load()) }

// OnEvict sets the functions that close an idle connection, if there is one, of the clients, and of the app
// servers but for some that are to be kept. Nil leaves a function as it is. It is called before the first
// connection is acquired.
func (s *SocketLimiter) OnEvict(client func() bool, server func(keep int) bool) {
	if client != nil {
		s.evictClient = client
	}
	if server != nil {
		s.evictServer = server
	}
}

// acquire acquires a descriptor and leaves some that are reserved.
func (s *SocketLimiter) acquire(reserved int64) bool {
	for !s.increment(s.limit.Load() - reserved) {
		// Idle clients are evicted first, and the reserved idle connections to app servers stay for a client:
		// silent clients would cost app servers handshakes.
		if !s.evictClient() && !s.evictServer(int(reserved)) {
			return false
		}
	}
	return true
}

// increment counts one more descriptor unless there are limit of them.
func (s *SocketLimiter) increment(limit int64) bool {
	for {
		inUse := s.inUse.Load()
		if inUse >= limit {
			return false
		}
		if s.inUse.CompareAndSwap(inUse, inUse+1) {
			return true
		}
	}
}

// TryAcquire acquires a descriptor for a connection to an app server.
func (s *SocketLimiter) TryAcquire() bool { return s.acquire(0) }

// Release releases a descriptor of either side.
func (s *SocketLimiter) Release() {
	s.inUse.Add(-1)
	s.availability.Notify()
}

// Availability implements AwaitedLimiter.
func (s *SocketLimiter) Availability() *Signal { return &s.availability }

// ForClients returns the limiter of client connections, which leaves some to app servers.
func (s *SocketLimiter) ForClients() ConnectionLimiter { return clientLimiter{s} }

// clientLimiter is the AwaitedLimiter of client connections.
type clientLimiter struct{ *SocketLimiter }

// TryAcquire acquires a descriptor for a connection of a client.
func (s clientLimiter) TryAcquire() bool { return s.acquire(s.reservedForServers) }
