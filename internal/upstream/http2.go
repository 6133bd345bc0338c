package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"lockflow/control"
	"lockflow/internal/certs"
	"lockflow/internal/h2"
	"lockflow/internal/protocol"
)

// Protocol is what is spoken to app servers.
type Protocol int

// What may be spoken to app servers.
const (
	ProtocolHTTP1       Protocol = iota
	ProtocolHTTP2                // with prior knowledge (RFC 9113, 3.3)
	ProtocolPreferHTTP2          // the same; HTTP/1.1 to servers that turn out not to speak it
)

// pingAfterSilence is for a connection with open streams, before it is asked for a sign of life.
const pingAfterSilence = 5 * time.Second

// usualConnections is the number of connections to one server up to which acquire needs no memory from the heap.
const usualConnections = 8

// HTTP2Options is how HTTP/2 is spoken.
type HTTP2Options struct {
	MaxStreams       int           // open at once on a connection, whatever the server allows
	MaxConnections   int           // to one server, beside those that end
	MaxConnectionAge time.Duration // from which on a connection is replaced; 0 is never
	FallbackPeriod   time.Duration // until a server that turned out not to speak it is tried again
	StartsAtLastByte bool          // servers begin a request with its last byte (PROTOCOL), not with its head
}

var errNoStream = errors.New("no stream came free")

// sharedConnections is the connections of HTTP/2 to one server. A nil one has none.
type sharedConnections struct {
	upstream  *Upstream
	endpoint  string
	protocol  Protocol
	available chan struct{} // rung when there may be room; each that it wakes rings it again

	mu          sync.Mutex
	connections []*h2.Conn
	dialing     int
	waiting     int
	failedDials int       // dials that came to nothing
	lastDialErr error     // of the last of them
	http1Until  time.Time // until which HTTP/1.1 is spoken
	isRetired   bool
}

func (u *Upstream) newSharedConnections(endpoint string, speaks Protocol) *sharedConnections {
	if speaks == ProtocolHTTP1 {
		return nil
	}
	u.usesHTTP2.Store(true)
	return &sharedConnections{upstream: u, endpoint: endpoint, protocol: speaks, available: make(chan struct{}, 1)}
}

// sharedConnectionsOf is a pool's connections of HTTP/2; nil where it speaks HTTP/1.1.
func (u *Upstream) sharedConnectionsOf(pool *Pool) *sharedConnections {
	if !u.usesHTTP2.Load() {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return pool.owner().shared
}

func (s *sharedConnections) scheme() string {
	if s.upstream.TLS != nil {
		return "https"
	}
	return "http"
}

func (s *sharedConnections) signal() {
	select {
	case s.available <- struct{}{}:
	default:
	}
}

// attemptBuffered makes an attempt over a connection that others share; false where the server speaks
// HTTP/1.1, and nothing has been sent.
func (s *sharedConnections) attemptBuffered(ctx context.Context, buffered *BufferedRequest) (Outcome, bool) {
	message := buffered.Request
	request := &h2.Request{
		Method: message.Method, Scheme: s.scheme(), Authority: message.Host, Path: message.URL.RequestURI(), Header: message.Header, Body: buffered.Body,
		Begin: func() bool { return Commit(ctx) },
	}
	var event h2.Event
	outcome, isDialed, ok := s.withConnection(ctx, func(conn *h2.Conn) (err error) {
		// Only now, behind the wait for a connection: what is told is what is left to the client.
		if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
			setTimeLeft(message, deadline)
		}
		event, err = conn.Do(ctx, request)
		return err
	})
	if ok && outcome.Err == nil {
		outcome = eventOutcome(ctx, event)
	}
	outcome.IsDialed = isDialed
	return outcome, ok
}

// withConnection has do send a request on a connection with room. Where it was not sent, o tells why; ok is
// false where the server speaks HTTP/1.1.
func (s *sharedConnections) withConnection(ctx context.Context, send func(*h2.Conn) error) (outcome Outcome, isDialed, ok bool) {
	for {
		conn, isNew, err := s.acquire(ctx)
		isDialed = isDialed || isNew
		switch {
		case errors.Is(err, h2.ErrNotSpoken) && s.protocol == ProtocolPreferHTTP2:
			return outcome, isDialed, false
		case errors.Is(err, errNoStream):
			return Outcome{Reason: control.NotSent, Err: err}, isDialed, true // speaks against no app server
		case err != nil:
			return unconnectedOutcome(err), isDialed, true
		}
		if isPastWriteDeadline(ctx) {
			return Outcome{Reason: control.NotSent, Err: errWriteDeadline}, isDialed, true
		}
		switch err := send(conn); {
		case errors.Is(err, h2.ErrNoStream): // others took the room meanwhile
			continue
		case err != nil:
			return Outcome{Reason: control.NotSent, Err: err}, isDialed, true
		}
		return outcome, isDialed, true
	}
}

// eventOutcome is the outcome of an attempt by how its stream ended.
func eventOutcome(ctx context.Context, event h2.Event) (outcome Outcome) {
	if event.Err == nil {
		header := event.Answer.Header
		for _, name := range []string{protocol.HeaderBackendLoad, protocol.HeaderQuotaUsed, protocol.HeaderTrueCost} { // known behind the body only
			if values := event.Answer.Trailer[name]; len(values) > 0 && len(header[name]) == 0 {
				header[name] = values
			}
		}
		outcome.classify(event.Answer.Status, header)
		if outcome.Body = event.Answer.Body; outcome.Body == nil {
			outcome.Body = []byte{}
		}
		return outcome
	}
	outcome = Outcome{Reason: control.ResetByPeer, Err: event.Err}
	switch unprocessed := unprocessedReason(event); {
	case unprocessed != 0:
		outcome.Reason = unprocessed
	case event.Err.End == h2.Cancelled && errors.Is(ctx.Err(), context.Canceled):
		outcome.Reason = control.Cancelled
	case event.Err.End == h2.Cancelled:
		outcome.Reason = control.TimedOut
	}
	return outcome
}

// unprocessedReason is the reason of an attempt whose request is known not to have run; 0 is of any other.
func unprocessedReason(event h2.Event) control.Reason {
	switch {
	case event.Err == nil:
	case event.Fate == h2.TurnedAway:
		return control.RejectedByServer
	case event.Fate == h2.NeverRan:
		return control.ConnectFailed
	}
	return 0
}

// acquire gives a connection with room, or waits for one for as long as a connection may take to come
// up; made tells that it was made for this request.
func (s *sharedConnections) acquire(ctx context.Context) (conn *h2.Conn, isDialed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failedBefore := s.failedDials
	var waitContext context.Context // made once it has to
	for {
		if s.isRetired { // for an attempt that was begun as its server left the list
			return nil, isDialed, errServerRemoved
		}
		if time.Now().Before(s.http1Until) {
			s.signal()
			return nil, isDialed, h2.ErrNotSpoken
		}
		if s.failedDials > failedBefore && s.dialing == 0 && len(s.connections) == 0 {
			s.signal()
			return nil, true, s.lastDialErr
		}
		s.removeEnded()
		views := make([]h2.View, 0, usualConnections)
		for _, conn := range s.connections {
			views = append(views, conn.View())
		}
		options := &s.upstream.HTTP2
		next := h2.Choose(views, s.dialing, s.waiting, h2.Bounds{Conns: max(1, options.MaxConnections), Waiting: max(1, options.MaxStreams), Age: options.MaxConnectionAge})
		if next.Retire >= 0 {
			s.connections[next.Retire].Retire()
		}
		if next.Dial {
			isDialed = isDialed || next.Use < 0
			s.dialing++
			go s.dial()
		}
		switch {
		case next.Use >= 0:
			if s.waiting > 0 {
				s.signal()
			}
			return s.connections[next.Use], isDialed, nil
		case !next.Wait:
			return nil, isDialed, errNoStream
		}
		if waitContext == nil {
			var cancel context.CancelFunc
			waitContext, cancel = context.WithTimeout(ctx, s.upstream.ConnectTimeout)
			defer cancel()
		}
		s.waiting++
		s.mu.Unlock()
		select {
		case <-s.available:
		case <-waitContext.Done():
			err = errNoStream
		}
		s.mu.Lock()
		s.waiting--
		if err != nil {
			if s.waiting > 0 {
				s.signal()
			}
			if s.dialing > 0 && len(s.connections) == 0 { // as a connection that never comes up
				err = context.Cause(waitContext)
			}
			return nil, isDialed, err
		}
	}
}

// dial makes a connection, for whoever waits.
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
		if errors.Is(err, h2.ErrNotSpoken) && s.protocol == ProtocolPreferHTTP2 {
			s.http1Until = time.Now().Add(s.upstream.HTTP2.FallbackPeriod)
		}
	}
	s.signal()
}

func (s *sharedConnections) connect() (*h2.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.upstream.ConnectTimeout)
	defer cancel()
	offered := []string{alpnHTTP2, alpnHTTP1}
	if s.protocol == ProtocolHTTP2 {
		offered = offered[:1]
	}
	conn, _, agreed, err := s.upstream.connect(ctx, s.endpoint, offered...)
	if err != nil {
		return nil, err
	}
	if s.upstream.TLS != nil && agreed != alpnHTTP2 { // its bytes need not be waited for
		conn.Close()
		return nil, fmt.Errorf("%w: %w", h2.ErrNotSpoken, certs.ErrProtocol)
	}
	return h2.Start(ctx, conn, h2.Options{Limits: h2.Limits{Streams: s.upstream.HTTP2.MaxStreams, Body: s.upstream.MaxBodyBytes, Whole: s.upstream.HTTP2.StartsAtLastByte}, Quiet: pingAfterSilence, Changed: s.signal})
}

// removeEnded forgets connections that have ended, and ends those that take no more requests and hold
// none; s.mu is held.
func (s *sharedConnections) removeEnded() {
	active := s.connections[:0]
	for _, conn := range s.connections {
		if view := conn.View(); view.Ending && view.Open == 0 {
			conn.Retire()
			continue
		}
		active = append(active, conn)
	}
	clear(s.connections[len(active):])
	s.connections = active
}

// countIdle counts the connections on which no stream is open.
func (s *sharedConnections) countIdle() (n int) {
	s.each(func(conn *h2.Conn) {
		if _, ok := conn.Idle(); ok {
			n++
		}
	})
	return n
}

// HTTP2Status is what an Upstream has of connections of HTTP/2.
type HTTP2Status struct {
	Connections     int `json:"connections"`
	Streams         int `json:"streams"`  // open on them
	FreeStreams     int `json:"room"`     // for further ones, on those that take any
	Waiting         int `json:"waiting"`  // requests that wait for a stream or a connection
	FallbackServers int `json:"fellback"` // servers that are spoken to by HTTP/1.1 for a time
}

// HTTP2Status counts what requests share; nil where no server is spoken to by HTTP/2.
func (u *Upstream) HTTP2Status() *HTTP2Status {
	if !u.usesHTTP2.Load() {
		return nil
	}
	all := &HTTP2Status{}
	u.eachShared(func(s *sharedConnections) {
		s.mu.Lock()
		defer s.mu.Unlock()
		all.Waiting += s.waiting
		if time.Now().Before(s.http1Until) {
			all.FallbackServers++
		}
		for _, conn := range s.connections {
			view := conn.View()
			all.Connections++
			all.Streams += view.Open
			if !view.Ending {
				all.FreeStreams += max(0, view.Room)
			}
		}
	})
	return all
}

// closeIdle ends what has been idle for so long, and what is of no more use.
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

// adopt takes another one's connections over, which lead to the same server.
func (s *sharedConnections) adopt(from *sharedConnections) {
	if s == nil || from == nil {
		return
	}
	from.mu.Lock()
	conns := from.connections
	from.connections, from.isRetired = nil, true
	from.mu.Unlock()
	s.mu.Lock()
	s.connections = append(s.connections, conns...)
	s.mu.Unlock()
}

// eachShared calls for the connections of every server.
func (u *Upstream) eachShared(visit func(*sharedConnections)) {
	if !u.usesHTTP2.Load() {
		return
	}
	u.mu.Lock()
	var all []*sharedConnections
	for pool := range u.pools {
		if pool.shared != nil {
			all = append(all, pool.shared)
		}
	}
	u.mu.Unlock()
	for _, s := range all {
		visit(s)
	}
}

// evictHTTP2 ends the connection of HTTP/2 that has been idle for the longest time, where more than
// some are.
func (u *Upstream) evictHTTP2(minIdle int) bool {
	var oldest *h2.Conn
	var oldestSince time.Time
	n := 0
	u.eachShared(func(s *sharedConnections) {
		s.each(func(conn *h2.Conn) {
			if idleSince, ok := conn.Idle(); ok {
				if n++; oldest == nil || idleSince.Before(oldestSince) {
					oldest, oldestSince = conn, idleSince
				}
			}
		})
	})
	if oldest == nil || n <= minIdle {
		return false
	}
	// Guards against ending one that a request has just been given: that one goes on.
	oldest.Retire()
	return true
}
