package limits

import "sync"

const (
	processDescriptors = 24 // reserved for the process itself: listener, discovery, log, poller and the runtime

	// ReservedForServers is the number of connections reserved for app servers, which clients cannot use.
	ReservedForServers = 64

	// MinDescriptors is the lowest limit on descriptors that allows one connection each to a client and an app server.
	MinDescriptors = processDescriptors + 2
)

// ConnectionLimiter limits the connections of one user: a service, or the clients.
type ConnectionLimiter interface {
	// TryAcquire acquires a descriptor for one connection. It returns false if none is available.
	TryAcquire() bool
	// Release releases a descriptor, once its connection is closed.
	Release()
}

// AwaitedLimiter is a ConnectionLimiter that notifies a waiting Listener when a descriptor may be available.
type AwaitedLimiter interface {
	ConnectionLimiter
	// Availability returns the signal that is notified when a descriptor has been released or may be evicted.
	Availability() *Signal
}

// SocketLimiter keeps the total of client connections and app server connections within the process's limit on
// descriptors. When the limit is reached, idle connections are closed to make room for new ones. It is for a process
// with a single service; several services have accounts at a SharedResource instead. Its own methods are the
// ConnectionLimiter for app servers; ForClients returns that for clients.
type SocketLimiter struct {
	mu                 sync.Mutex
	limit              int
	reservedForServers int // connections that clients cannot use: ReservedForServers, or half of a low limit
	clients            int // open connections of clients
	servers            int // open connections to app servers
	availability       Signal

	evictClient func() bool         // closes one idle connection of a client, if there is one
	evictServer func(keep int) bool // closes one idle connection to an app server, if there are more than keep
}

// NewSocketLimiter returns a limiter for a process with a limit on descriptors; 0 means that the limit is unknown.
func NewSocketLimiter(descriptors int) *SocketLimiter {
	limit := MaxConnections(descriptors)
	return &SocketLimiter{
		limit:              limit,
		reservedForServers: min(ReservedForServers, limit/2),
		evictClient:        func() bool { return false },
		evictServer:        func(int) bool { return false },
	}
}

// MaxConnections returns the number of connections that a limit on descriptors allows; 0 means that the limit is unknown.
func MaxConnections(descriptors int) int {
	if descriptors == 0 {
		return 2 * ReservedForServers
	}
	return max(descriptors, MinDescriptors) - processDescriptors
}

// SetLimit sets the maximum number of open connections. Connections already open beyond it remain open.
func (s *SocketLimiter) SetLimit(n int) {
	s.mu.Lock()
	s.limit = n
	s.mu.Unlock()
	s.availability.Notify()
}

// ReserveForClients removes the reservation for app servers, so that clients can use all descriptors. It is for a process
// that no longer forwards requests.
func (s *SocketLimiter) ReserveForClients() {
	s.mu.Lock()
	s.reservedForServers = 0
	s.mu.Unlock()
	s.availability.Notify()
}

// InUse returns how many descriptors are acquired.
func (s *SocketLimiter) InUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients + s.servers
}

// SetEvictFuncs sets the functions that close one idle connection of a client or to an app server and report whether there was
// one. The server function closes a connection only if there are more than keep. Nil leaves a function unchanged.
// SetEvictFuncs must be called before the first connection is acquired.
func (s *SocketLimiter) SetEvictFuncs(client func() bool, server func(keep int) bool) {
	if client != nil {
		s.evictClient = client
	}
	if server != nil {
		s.evictServer = server
	}
}

// TryAcquire acquires a descriptor for a connection to an app server.
func (s *SocketLimiter) TryAcquire() bool {
	for !s.addServer() {
		if !s.evictClient() && !s.evictServer(0) {
			return false
		}
	}
	return true
}

// addServer counts one more connection to an app server, if a descriptor is available.
func (s *SocketLimiter) addServer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients+s.servers >= s.limit {
		return false
	}
	s.servers++
	return true
}

// Release releases the descriptor of a connection to an app server.
func (s *SocketLimiter) Release() {
	s.mu.Lock()
	s.servers--
	s.mu.Unlock()
	s.availability.Notify()
}

// Availability implements AwaitedLimiter.
func (s *SocketLimiter) Availability() *Signal { return &s.availability }

// ForClients returns the limiter of client connections, which does not use the descriptors reserved for app servers.
func (s *SocketLimiter) ForClients() ConnectionLimiter { return clientLimiter{s} }

// clientLimiter is the AwaitedLimiter of client connections.
type clientLimiter struct{ *SocketLimiter }

// TryAcquire acquires a descriptor for a client connection. It evicts idle client connections first, and then idle
// connections to app servers, but only those beyond the reserved number: otherwise idle clients could displace them and
// cause repeated handshakes with app servers.
func (s clientLimiter) TryAcquire() bool {
	for !s.addClient() {
		if s.evictClient() {
			continue
		}
		if !s.hasUnreservedServers() || !s.evictServer(0) {
			return false
		}
	}
	return true
}

// addClient counts one more client connection, if a descriptor is available besides those reserved for app servers.
func (s clientLimiter) addClient() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients >= s.limit-s.reservedForServers || s.clients+s.servers >= s.limit {
		return false
	}
	s.clients++
	return true
}

// hasUnreservedServers reports whether clients are below their limit while app servers use more than the reserved
// descriptors.
func (s clientLimiter) hasUnreservedServers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers > s.reservedForServers && s.clients < s.limit-s.reservedForServers
}

// Release releases the descriptor of a client connection.
func (s clientLimiter) Release() {
	s.mu.Lock()
	s.clients--
	s.mu.Unlock()
	s.availability.Notify()
}
