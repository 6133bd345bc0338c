package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"lockflow/internal/certs"
	"lockflow/internal/h2"
)

const (
	// pingAfterSilence is how long a connection with open streams may be silent before it is pinged.
	pingAfterSilence = 5 * time.Second
	// usualConnections is the number of connections to one server up to which acquire needs no memory from
	// the heap.
	stackViewCapacity = 8
)

// sharedConnections are the connections of HTTP/2 to one server, on which attempts share. A nil one has none.
type sharedConnections struct {
	upstream  *Upstream
	endpoint  string
	protocol  Protocol
	available chan struct{} // signalled when a stream may be available; each attempt that it wakes signals the next one

	mu          sync.Mutex // guards what follows
	connections []*h2.Conn // at most HTTP2Options.MaxConnections, and those that are ending
	dialing     int        // connections that are being made
	waiting     int        // attempts that wait for a stream or a connection
	failedDials int
	lastDialErr error
	http1Until  time.Time // until then HTTP/1.1 is used; afterwards HTTP/2 is retried
	isRetired   bool
}

// newSharedConnections makes those of a pool; nil where only HTTP/1.1 is used.
func (u *Upstream) newSharedConnections(endpoint string, protocol Protocol) *sharedConnections {
	if protocol == ProtocolHTTP1 {
		return nil
	}
	u.usesHTTP2.Store(true)
	return &sharedConnections{upstream: u, endpoint: endpoint, protocol: protocol, available: make(chan struct{}, 1)}
}

// sharedConnectionsOf returns those of a pool; nil where only HTTP/1.1 is used.
func (u *Upstream) sharedConnectionsOf(pool *Pool) *sharedConnections {
	if !u.usesHTTP2.Load() {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return pool.owner().shared
}

// eachShared visits the connections of HTTP/2 to every server.
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

// signal wakes one attempt that waits.
func (s *sharedConnections) signal() {
	select {
	case s.available <- struct{}{}:
	default:
	}
}

// signalNext wakes the next attempt, if any waits. s.mu is locked.
func (s *sharedConnections) signalNext() {
	if s.waiting > 0 {
		s.signal()
	}
}

// acquire returns a connection with a free stream, or waits for one as long as a connection may take to come
// up. isDialed reports whether a connection was made for this attempt. The error is h2.ErrNotHTTP2 where the
// server supports HTTP/1.1 only, and errNoStream where no stream is available in time.
func (s *sharedConnections) acquire(ctx context.Context) (conn *h2.Conn, isDialed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failedBefore := s.failedDials
	var waitContext context.Context // made for the first wait
	for {
		switch {
		case s.isRetired: // the attempt started as its server left the endpoint list
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

// choose decides which connection an attempt takes, and retires or dials one where that is due. s.mu is locked.
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

// wait waits until a stream may be available. s.mu is locked, and unlocked meanwhile.
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
	if s.dialing > 0 && len(s.connections) == 0 { // counts as a connection that could not be made
		return context.Cause(ctx)
	}
	return errNoStream
}

// dial makes a connection for whichever attempts wait. Its goroutine ends within the connect timeout.
func (s *sharedConnections) dial() {
	conn, err := s.connect()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	switch {
	case err == nil && s.isRetired:
		conn.Retire()
	case err == nil:
		s.connections = append(s.connections, conn)
	default:
		s.failedDials++
		s.lastDialErr = err
		if errors.Is(err, h2.ErrNotHTTP2) && s.protocol == ProtocolPreferHTTP2 {
			s.http1Until = time.Now().Add(s.upstream.HTTP2.FallbackPeriod)
		}
	}
	s.signal()
}

// connect makes a connection for HTTP/2.
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
	if s.upstream.TLS != nil && negotiated != alpnHTTP2 { // without waiting for the server's first frame
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

// removeEnded removes connections that have ended, and ends those that take no more requests and have none.
// s.mu is locked.
func (s *sharedConnections) removeEnded() {
	active := s.connections[:0]
	for _, conn := range s.connections {
		if view := conn.View(); view.IsEnding && view.OpenStreams == 0 {
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

// closeIdle ends the connections that have been idle for some time, and removes those that have ended.
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

// each visits every connection.
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

// retire ends all connections, each with its last stream.
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

// adopt takes over the connections of source, which lead to the same server.
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

// HTTP2Status counts the connections of HTTP/2 of an Upstream. Two JSON keys are older than the terms: room is
// the free streams, fellback the servers of the fallback.
type HTTP2Status struct {
	Connections     int `json:"connections"`
	Streams         int `json:"streams"`  // open on them
	FreeStreams     int `json:"room"`     // on connections that take requests
	Waiting         int `json:"waiting"`  // attempts that wait for a stream or a connection
	FallbackServers int `json:"fellback"` // servers for which HTTP/1.1 is used for a time
}

// HTTP2Status counts the connections of HTTP/2; nil where HTTP/2 is used for no server.
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
