package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"lockflow/internal/certs"
	"lockflow/internal/h2"
)

const (
	// pingAfterSilence is how long a connection with open streams may receive nothing before it is pinged.
	pingAfterSilence = 5 * time.Second
	// stackViewCapacity is the number of connections to one server up to which acquire allocates no heap memory.
	stackViewCapacity = 8
)

// sharedConnections holds the HTTP/2 connections to one server, which attempts share. A nil *sharedConnections holds
// none.
type sharedConnections struct {
	upstream  *Upstream
	endpoint  string
	protocol  Protocol
	process   *processIdentity
	available chan struct{} // signalled when a stream may be available; each attempt that it wakes signals the next one

	mu          sync.Mutex // guards the fields below
	connections []*h2.Conn // at most HTTP2Options.MaxConnections, plus those that are ending
	dialing     int        // connections that are being established
	waiting     int        // attempts that wait for a stream or a connection
	failedDials int
	lastDialErr error
	http1Until  time.Time // HTTP/1.1 is used until then; afterwards HTTP/2 is retried
	isRetired   bool
}

// newSharedConnections creates the HTTP/2 connections of a pool; nil if only HTTP/1.1 is used.
func (u *Upstream) newSharedConnections(endpoint string, protocol Protocol, process *processIdentity) *sharedConnections {
	if protocol == ProtocolHTTP1 {
		return nil
	}
	u.usesHTTP2.Store(true)
	return &sharedConnections{
		upstream:  u,
		endpoint:  endpoint,
		protocol:  protocol,
		process:   process,
		available: make(chan struct{}, 1),
	}
}

// sharedConnectionsOf returns the HTTP/2 connections of a pool; nil if only HTTP/1.1 is used.
func (u *Upstream) sharedConnectionsOf(pool *Pool) *sharedConnections {
	if !u.usesHTTP2.Load() {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return pool.owner().shared
}

// eachShared calls visit with the HTTP/2 connections of every server.
func (u *Upstream) eachShared(visit func(*sharedConnections)) {
	if !u.usesHTTP2.Load() {
		return
	}
	u.mu.Lock()
	var shared []*sharedConnections
	for pool := range u.pools {
		if pool.shared != nil {
			shared = append(shared, pool.shared)
		}
	}
	u.mu.Unlock()
	for _, s := range shared {
		visit(s)
	}
}

// signal wakes one waiting attempt.
func (s *sharedConnections) signal() {
	select {
	case s.available <- struct{}{}:
	default:
	}
}

// signalNext wakes the next attempt, if any is waiting. s.mu must be locked.
func (s *sharedConnections) signalNext() {
	if s.waiting > 0 {
		s.signal()
	}
}

// acquire returns a connection with a free stream. If there is none, it waits at most the connect timeout for one.
// isDialed reports whether a connection was dialed for this attempt. The error is h2.ErrNotHTTP2 if the server
// supports HTTP/1.1 only, and errNoStream if no stream becomes available in time.
func (s *sharedConnections) acquire(ctx context.Context) (conn *h2.Conn, isDialed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failedBefore := s.failedDials
	var waitContext context.Context // created at the first wait
	for {
		switch {
		case s.isRetired: // the attempt started while its server left the endpoint list
			return nil, isDialed, errServerRemoved
		case time.Now().Before(s.http1Until):
			s.signal()
			return nil, isDialed, h2.ErrNotHTTP2
		case s.failedDials > failedBefore && s.dialing == 0 && len(s.connections) == 0:
			s.signal()
			return nil, true, s.lastDialErr
		}
		choice := s.choose()
		isDialed = isDialed || choice.Dial && choice.Use < 0
		switch {
		case choice.Use >= 0:
			s.signalNext()
			return s.connections[choice.Use], isDialed, nil
		case !choice.Wait:
			return nil, isDialed, errNoStream
		}
		if waitContext == nil {
			var cancel context.CancelFunc
			waitContext, cancel = context.WithTimeout(ctx, s.upstream.ConnectTimeout)
			defer cancel()
		}
		if err := s.wait(waitContext); err != nil {
			return nil, isDialed, err
		}
	}
}

// choose decides which connection an attempt takes, and retires or dials one if that is due. s.mu must be locked.
func (s *sharedConnections) choose() h2.Choice {
	s.removeEnded()
	views := make([]h2.View, 0, stackViewCapacity)
	for _, conn := range s.connections {
		views = append(views, conn.View())
	}
	options := &s.upstream.HTTP2
	choice := h2.Choose(views, s.dialing, s.waiting, h2.Bounds{
		MaxConnections: max(1, options.MaxConnections),
		MaxWaiting:     max(1, options.MaxStreams),
		MaxAge:         options.MaxConnectionAge,
	})
	if choice.Retire >= 0 {
		s.connections[choice.Retire].Retire()
	}
	if choice.Dial {
		s.dialing++
		go s.dial()
	}
	return choice
}

// wait blocks until a stream may be available. s.mu must be locked; it is unlocked while wait blocks.
func (s *sharedConnections) wait(ctx context.Context) error {
	s.waiting++
	s.mu.Unlock()
	hasEnded := false
	select {
	case <-s.available:
	case <-ctx.Done():
		hasEnded = true
	}
	s.mu.Lock()
	s.waiting--
	if !hasEnded {
		return nil
	}
	s.signalNext()
	if s.dialing > 0 && len(s.connections) == 0 { // counts as a failed connection
		return context.Cause(ctx)
	}
	return errNoStream
}

// dial establishes a connection for the waiting attempts. Its goroutine ends within the connect timeout.
func (s *sharedConnections) dial() {
	conn, err := s.connect()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	switch {
	case err == nil && s.isRetired:
		conn.Retire()
	case err == nil:
		s.process.established(http2PeerConn{conn})
		s.connections = append(s.connections, conn)
	default:
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.process.refused()
		}
		s.failedDials++
		s.lastDialErr = err
		if errors.Is(err, h2.ErrNotHTTP2) && s.protocol == ProtocolPreferHTTP2 {
			s.http1Until = time.Now().Add(s.upstream.HTTP2.FallbackPeriod)
		}
	}
	s.signal()
}

// connect establishes an HTTP/2 connection.
func (s *sharedConnections) connect() (*h2.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.upstream.ConnectTimeout)
	defer cancel()
	offered := []string{alpnHTTP2, alpnHTTP1}
	if s.protocol == ProtocolHTTP2 {
		offered = offered[:1]
	}
	conn, _, negotiated, err := s.upstream.connect(ctx, s.endpoint, offered...)
	if err != nil {
		return nil, err
	}
	if s.upstream.TLS != nil && negotiated != alpnHTTP2 { // no need to wait for the server's first frame
		conn.Close()
		return nil, fmt.Errorf("%w: %w", h2.ErrNotHTTP2, certs.ErrProtocol)
	}
	options := &s.upstream.HTTP2
	return h2.Start(ctx, conn, h2.Options{
		Limits: h2.Limits{
			MaxStreams:       options.MaxStreams,
			MaxBodyBytes:     s.upstream.MaxBodyBytes,
			StartsAtLastByte: options.StartsAtLastByte,
		},
		PingAfterSilence: pingAfterSilence,
		OnChange:         s.signal,
	})
}

// removeEnded removes connections that have ended, and ends those that take no more requests and have no open
// stream. s.mu must be locked.
func (s *sharedConnections) removeEnded() {
	active := s.connections[:0]
	for _, conn := range s.connections {
		if view := conn.View(); view.IsEnding && view.OpenStreams == 0 {
			peer := http2PeerConn{conn}
			s.process.closed(peer, peer.isClosedByPeer())
			conn.Retire()
			continue
		}
		active = append(active, conn)
	}
	clear(s.connections[len(active):])
	s.connections = active
}

// countIdle counts the connections without an open stream.
func (s *sharedConnections) countIdle() (n int) {
	s.each(func(conn *h2.Conn) {
		if _, ok := conn.Idle(); ok {
			n++
		}
	})
	return n
}

// closeIdle ends the connections that have been idle for at least minIdleTime, and removes those that have ended.
func (s *sharedConnections) closeIdle(minIdleTime time.Duration) {
	s.each(func(conn *h2.Conn) {
		if idleSince, ok := conn.Idle(); ok && time.Since(idleSince) >= minIdleTime {
			conn.Retire()
		}
	})
	if s != nil {
		s.mu.Lock()
		s.removeEnded()
		s.mu.Unlock()
	}
}

// each calls visit with every connection.
func (s *sharedConnections) each(visit func(*h2.Conn)) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.connections {
		visit(conn)
	}
}

// retire ends all connections, each once its last stream has ended.
func (s *sharedConnections) retire() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isRetired = true
	for _, conn := range s.connections {
		conn.Retire()
	}
	s.connections = nil
}

// mergeFrom takes over the connections of source, which lead to the same server.
func (s *sharedConnections) mergeFrom(source *sharedConnections) {
	if s == nil || source == nil {
		return
	}
	source.mu.Lock()
	connections := source.connections
	source.connections = nil
	source.isRetired = true
	source.mu.Unlock()
	s.mu.Lock()
	s.connections = append(s.connections, connections...)
	s.mu.Unlock()
}

// HTTP2Status holds the counts of HTTP/2 connections of an Upstream. Two JSON keys predate the current terms: room
// is the number of free streams, fellback the number of servers in their fallback period.
type HTTP2Status struct {
	Connections     int `json:"connections"`
	Streams         int `json:"streams"`  // open streams
	FreeStreams     int `json:"room"`     // on connections that accept requests
	Waiting         int `json:"waiting"`  // attempts that wait for a stream or a connection
	FallbackServers int `json:"fellback"` // servers for which HTTP/1.1 is used temporarily
}

// HTTP2Status returns the counts of HTTP/2 connections; nil if HTTP/2 is used for no server.
func (u *Upstream) HTTP2Status() *HTTP2Status {
	if !u.usesHTTP2.Load() {
		return nil
	}
	status := &HTTP2Status{}
	u.eachShared(func(s *sharedConnections) { s.addTo(status) })
	return status
}

func (s *sharedConnections) addTo(status *HTTP2Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status.Waiting += s.waiting
	if time.Now().Before(s.http1Until) {
		status.FallbackServers++
	}
	for _, conn := range s.connections {
		view := conn.View()
		status.Connections++
		status.Streams += view.OpenStreams
		if !view.IsEnding {
			status.FreeStreams += max(0, view.FreeStreams)
		}
	}
}
