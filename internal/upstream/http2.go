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

// quietMost is for a connection with open streams, before it is asked for a sign of life.
const quietMost = 5 * time.Second

// HTTP2Options is how HTTP/2 is spoken.
type HTTP2Options struct {
	MaxStreams       int           // open at once on a connection, whatever the server allows
	MaxConnections   int           // to one server, beside those that end
	MaxConnectionAge time.Duration // from which on a connection is replaced; 0 is never
	FallbackPeriod   time.Duration // until a server that turned out not to speak it is tried again
	StartsAtLastByte bool          // servers begin a request with its last byte (PROTOCOL), not with its head
}

var errNoStream = errors.New("no stream came free")

// shared is the connections of HTTP/2 to one server. A nil one has none.
type shared struct {
	u        *Upstream
	endpoint string
	speaks   Protocol
	bell     chan struct{} // rung when there may be room; each that it wakes rings it again

	mu      sync.Mutex
	conns   []*h2.Conn
	dialing int
	waiting int
	fails   int       // dials that came to nothing
	err     error     // of the last of them
	plain   time.Time // until which HTTP/1.1 is spoken
	gone    bool
}

func (u *Upstream) newShared(endpoint string, speaks Protocol) *shared {
	if speaks == ProtocolHTTP1 {
		return nil
	}
	u.sharing.Store(true)
	return &shared{u: u, endpoint: endpoint, speaks: speaks, bell: make(chan struct{}, 1)}
}

// sharedOf is a pool's connections of HTTP/2; nil where it speaks HTTP/1.1.
func (u *Upstream) sharedOf(p *Pool) *shared {
	if !u.sharing.Load() {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return p.last().shared
}

func (s *shared) scheme() string {
	if s.u.TLS != nil {
		return "https"
	}
	return "http"
}

func (s *shared) ring() {
	select {
	case s.bell <- struct{}{}:
	default:
	}
}

// whole makes an attempt over a connection that others share; false where the server speaks
// HTTP/1.1, and nothing has been sent.
func (s *shared) whole(ctx context.Context, w *BufferedRequest) (Outcome, bool) {
	req := w.Request
	r := &h2.Request{
		Method: req.Method, Scheme: s.scheme(), Authority: req.Host, Path: req.URL.RequestURI(), Header: req.Header, Body: w.Body,
		Begin: func() bool { return Commit(ctx) },
	}
	var e h2.Event
	o, dialed, ok := s.over(ctx, func(c *h2.Conn) (err error) {
		// Only now, behind the wait for a connection: what is told is what is left to the client.
		if until, ends := ctx.Deadline(); ends {
			tellTime(req, until)
		}
		e, err = c.Do(ctx, r)
		return err
	})
	if ok && o.Err == nil {
		o = ended(ctx, e)
	}
	o.IsDialed = dialed
	return o, ok
}

// over has do send a request on a connection with room. Where it was not sent, o tells why; ok is
// false where the server speaks HTTP/1.1.
func (s *shared) over(ctx context.Context, do func(*h2.Conn) error) (o Outcome, dialed, ok bool) {
	for {
		c, made, err := s.take(ctx)
		dialed = dialed || made
		switch {
		case errors.Is(err, h2.ErrNotSpoken) && s.speaks == ProtocolPreferHTTP2:
			return o, dialed, false
		case errors.Is(err, errNoStream):
			return Outcome{Reason: control.NotSent, Err: err}, dialed, true // speaks against no app server
		case err != nil:
			return unconnected(err), dialed, true
		}
		if tooLate(ctx) {
			return Outcome{Reason: control.NotSent, Err: errLate}, dialed, true
		}
		switch err := do(c); {
		case errors.Is(err, h2.ErrNoStream): // others took the room meanwhile
			continue
		case err != nil:
			return Outcome{Reason: control.NotSent, Err: err}, dialed, true
		}
		return o, dialed, true
	}
}

// ended is the outcome of an attempt by how its stream ended.
func ended(ctx context.Context, e h2.Event) (o Outcome) {
	if e.Err == nil {
		h := e.Answer.Header
		for _, name := range []string{protocol.HeaderBackendLoad, protocol.HeaderQuotaUsed, protocol.HeaderTrueCost} { // known behind the body only
			if v := e.Answer.Trailer[name]; len(v) > 0 && len(h[name]) == 0 {
				h[name] = v
			}
		}
		o.means(e.Answer.Status, h)
		if o.Body = e.Answer.Body; o.Body == nil {
			o.Body = []byte{}
		}
		return o
	}
	o = Outcome{Reason: control.ResetByPeer, Err: e.Err}
	switch never := neverRan(e); {
	case never != 0:
		o.Reason = never
	case e.Err.End == h2.Cancelled && errors.Is(ctx.Err(), context.Canceled):
		o.Reason = control.Cancelled
	case e.Err.End == h2.Cancelled:
		o.Reason = control.TimedOut
	}
	return o
}

// neverRan is the reason of an attempt whose request is known not to have run; 0 is of any other.
func neverRan(e h2.Event) control.Reason {
	switch {
	case e.Err == nil:
	case e.Fate == h2.TurnedAway:
		return control.RejectedByServer
	case e.Fate == h2.NeverRan:
		return control.ConnectFailed
	}
	return 0
}

// take gives a connection with room, or waits for one for as long as a connection may take to come
// up; made tells that it was made for this request.
func (s *shared) take(ctx context.Context) (c *h2.Conn, made bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fails := s.fails
	var wait context.Context // made once it has to
	for {
		if s.gone { // for an attempt that was begun as its server left the list
			return nil, made, errGone
		}
		if time.Now().Before(s.plain) {
			s.ring()
			return nil, made, h2.ErrNotSpoken
		}
		if s.fails > fails && s.dialing == 0 && len(s.conns) == 0 {
			s.ring()
			return nil, true, s.err
		}
		s.tidy()
		views := make([]h2.View, len(s.conns), 8)
		for i, c := range s.conns {
			views[i] = c.View()
		}
		o := &s.u.HTTP2
		next := h2.Choose(views, s.dialing, s.waiting, h2.Bounds{Conns: max(1, o.MaxConnections), Waiting: max(1, o.MaxStreams), Age: o.MaxConnectionAge})
		if next.Retire >= 0 {
			s.conns[next.Retire].Retire()
		}
		if next.Dial {
			made = made || next.Use < 0
			s.dialing++
			go s.dial()
		}
		switch {
		case next.Use >= 0:
			if s.waiting > 0 {
				s.ring()
			}
			return s.conns[next.Use], made, nil
		case !next.Wait:
			return nil, made, errNoStream
		}
		if wait == nil {
			var cancel context.CancelFunc
			wait, cancel = context.WithTimeout(ctx, s.u.ConnectTimeout)
			defer cancel()
		}
		s.waiting++
		s.mu.Unlock()
		select {
		case <-s.bell:
		case <-wait.Done():
			err = errNoStream
		}
		s.mu.Lock()
		s.waiting--
		if err != nil {
			if s.waiting > 0 {
				s.ring()
			}
			if s.dialing > 0 && len(s.conns) == 0 { // as a connection that never comes up
				err = context.Cause(wait)
			}
			return nil, made, err
		}
	}
}

// dial makes a connection, for whoever waits.
func (s *shared) dial() {
	c, err := s.connect()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	switch {
	case err == nil && s.gone:
		c.Retire()
	case err == nil:
		s.conns = append(s.conns, c)
	default:
		s.fails++
		s.err = err
		if errors.Is(err, h2.ErrNotSpoken) && s.speaks == ProtocolPreferHTTP2 {
			s.plain = time.Now().Add(s.u.HTTP2.FallbackPeriod)
		}
	}
	s.ring()
}

func (s *shared) connect() (*h2.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.u.ConnectTimeout)
	defer cancel()
	offered := []string{protocolHTTP2, protocolHTTP1}
	if s.speaks == ProtocolHTTP2 {
		offered = offered[:1]
	}
	nc, _, protocol, err := s.u.connect(ctx, s.endpoint, offered...)
	if err != nil {
		return nil, err
	}
	if s.u.TLS != nil && protocol != protocolHTTP2 { // its bytes need not be waited for
		nc.Close()
		return nil, fmt.Errorf("%w: %w", h2.ErrNotSpoken, certs.ErrProtocol)
	}
	return h2.Start(ctx, nc, h2.Options{Limits: h2.Limits{Streams: s.u.HTTP2.MaxStreams, Body: s.u.MaxBodyBytes, Whole: s.u.HTTP2.StartsAtLastByte}, Quiet: quietMost, Changed: s.ring})
}

// tidy forgets connections that have ended, and ends those that take no more requests and hold
// none; s.mu is held.
func (s *shared) tidy() {
	kept := s.conns[:0]
	for _, c := range s.conns {
		if v := c.View(); v.Ending && v.Open == 0 {
			c.Retire()
			continue
		}
		kept = append(kept, c)
	}
	clear(s.conns[len(kept):])
	s.conns = kept
}

// idle counts the connections on which no stream is open.
func (s *shared) idle() (n int) {
	s.each(func(c *h2.Conn) {
		if _, ok := c.Idle(); ok {
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
	if !u.sharing.Load() {
		return nil
	}
	all := &HTTP2Status{}
	u.eachShared(func(s *shared) {
		s.mu.Lock()
		defer s.mu.Unlock()
		all.Waiting += s.waiting
		if time.Now().Before(s.plain) {
			all.FallbackServers++
		}
		for _, c := range s.conns {
			v := c.View()
			all.Connections++
			all.Streams += v.Open
			if !v.Ending {
				all.FreeStreams += max(0, v.Room)
			}
		}
	})
	return all
}

// close ends what has been idle for so long, and what is of no more use.
func (s *shared) close(since time.Duration) {
	s.each(func(c *h2.Conn) {
		if t, ok := c.Idle(); ok && time.Since(t) >= since {
			c.Retire()
		}
	})
	if s != nil {
		s.mu.Lock()
		s.tidy()
		s.mu.Unlock()
	}
}

func (s *shared) each(do func(*h2.Conn)) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		do(c)
	}
}

// retire ends all connections, each with its last stream.
func (s *shared) retire() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
	for _, c := range s.conns {
		c.Retire()
	}
	s.conns = nil
}

// adopt takes another one's connections over, which lead to the same server.
func (s *shared) adopt(from *shared) {
	if s == nil || from == nil {
		return
	}
	from.mu.Lock()
	conns := from.conns
	from.conns, from.gone = nil, true
	from.mu.Unlock()
	s.mu.Lock()
	s.conns = append(s.conns, conns...)
	s.mu.Unlock()
}

// eachShared calls for the connections of every server.
func (u *Upstream) eachShared(do func(*shared)) {
	if !u.sharing.Load() {
		return
	}
	u.mu.Lock()
	var all []*shared
	for p := range u.pools {
		if p.shared != nil {
			all = append(all, p.shared)
		}
	}
	u.mu.Unlock()
	for _, s := range all {
		do(s)
	}
}

// evictShared ends the connection of HTTP/2 that has been idle for the longest time, where more than
// some are.
func (u *Upstream) evictShared(keep int) bool {
	var oldest *h2.Conn
	var since time.Time
	n := 0
	u.eachShared(func(s *shared) {
		s.each(func(c *h2.Conn) {
			if t, ok := c.Idle(); ok {
				if n++; oldest == nil || t.Before(since) {
					oldest, since = c, t
				}
			}
		})
	})
	if oldest == nil || n <= keep {
		return false
	}
	// Guards against ending one that a request has just been given: that one goes on.
	oldest.Retire()
	return true
}
