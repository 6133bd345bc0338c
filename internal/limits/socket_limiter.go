package limits

import "sync"

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
	mu                 sync.Mutex
	limit              int
	reservedForServers int // connections that clients leave to app servers: ReservedForServers, or half of a low limit
	clients            int // open connections of clients
	servers            int // open connections to app servers
	availability       Signal

	evictClient func() bool         // closes one idle connection of a client, if there is one
	evictServer func(keep int) bool // closes one idle connection to an app server, if there are more than keep
}

// NewSocketLimiter creates a limiter for a process's limit on descriptors; 0 is one that is not known.
func NewSocketLimiter(descriptors int) *SocketLimiter {
	limit := MaxConnections(descriptors)
	return &SocketLimiter{
		limit:              limit,
		reservedForServers: min(ReservedForServers, limit/2),
		evictClient:        func() bool { return false },
		evictServer:        func(int) bool { return false },
	}
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
	s.mu.Lock()
	s.limit = n
	s.mu.Unlock()
	s.availability.Notify()
}

// ReserveForClients leaves all descriptors to clients, for a process that forwards nothing any more.
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

// TryAcquire acquires a descriptor for a connection to an app server.
func (s *SocketLimiter) TryAcquire() bool {
	for !s.addServer() {
		if !s.evictClient() && !s.evictServer(0) {
			return false
		}
	}
	return true
}

// addServer counts one more connection to an app server, if there is a descriptor for it.
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

// ForClients returns the limiter of client connections, which leaves some to app servers.
func (s *SocketLimiter) ForClients() ConnectionLimiter { return clientLimiter{s} }

// clientLimiter is the AwaitedLimiter of client connections.
type clientLimiter struct{ *SocketLimiter }

// TryAcquire acquires a descriptor for a connection of a client. Idle clients are evicted first; of the connections to
// app servers only those beyond the reserved ones, as silent clients would cost app servers handshakes.
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

// addClient counts one more connection of a client, if there is a descriptor for it beside the reserved ones.
func (s clientLimiter) addClient() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients >= s.limit-s.reservedForServers || s.clients+s.servers >= s.limit {
		return false
	}
	s.clients++
	return true
}

// hasUnreservedServers reports whether clients lack descriptors that app servers have beyond the reserved ones.
func (s clientLimiter) hasUnreservedServers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers > s.reservedForServers && s.clients < s.limit-s.reservedForServers
}

// Release releases the descriptor of a client's connection.
func (s clientLimiter) Release() {
	s.mu.Lock()
	s.clients--
	s.mu.Unlock()
	s.availability.Notify()
}
