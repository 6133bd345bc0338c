package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// conn is one proxied connection: the accepted client side and the dialed server side.
type conn struct {
	link   *Link
	client net.Conn
	server net.Conn      // valid once dialed is closed; nil if the dial failed
	dialed chan struct{} // closed when the dial has succeeded or failed
	done   chan struct{} // closed when the connection ends

	mu    sync.Mutex // guards ended, and server until dialed is closed
	ended bool
}

// chunk is the result of one read: bytes, the end of a direction, or both.
type chunk struct {
	data []byte
	at   time.Time // when it was read
	end  error     // the read error that ended the direction; io.EOF for a regular close
}

// end closes both sides immediately. If hard is set, both peers see a TCP reset.
func (c *conn) end(hard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	close(c.done)
	for _, side := range []net.Conn{c.client, c.server} {
		if side == nil {
			continue
		}
		if tcp, ok := side.(*net.TCPConn); ok && hard {
			_ = tcp.SetLinger(0)
		}
		side.Close()
	}
}

// reset resets the connection because of a fault and counts it.
func (c *conn) reset() {
	c.link.updateCounts(func(n *Counts) { n.Resets++ })
	c.end(true)
}

// run copies both directions until they have ended.
func (c *conn) run() {
	defer c.end(false)
	var directions sync.WaitGroup
	queues := [2]chan chunk{make(chan chunk, maxQueuedChunks), make(chan chunk, maxQueuedChunks)}
	directions.Go(func() { c.read(c.client, queues[0]) })
	directions.Go(func() {
		if !c.dial() {
			close(c.dialed)
			return
		}
		close(c.dialed)
		directions.Go(func() { c.read(c.server, queues[1]) })
		directions.Go(func() { c.write(0, c.server, queues[0]) })
		c.write(1, c.client, queues[1])
	})
	directions.Wait()
}

// dial connects to the link's target once the forward direction is neither cut nor held. It reports
// whether the connection is established; on failure the client's connection is reset.
func (c *conn) dial() bool {
	for {
		r := c.link.currentRules()
		if forth := &r.directions[0]; !forth.cut && !forth.hold {
			break
		}
		select {
		case <-r.changed:
		case <-c.done:
			return false
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	go func() {
		select {
		case <-c.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	network, addr := c.link.target()
	dialedConn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		c.link.updateCounts(func(n *Counts) { n.Failed++ })
		c.end(true)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		dialedConn.Close()
		return false
	}
	c.server = dialedConn
	return true
}

// read queues what it reads from one side. The channel's capacity bounds the bytes in flight.
func (c *conn) read(from net.Conn, to chan<- chunk) {
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		p := chunk{data: data[:n], at: time.Now(), end: err}
		select {
		case to <- p:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// writer delivers one direction of a connection.
type writer struct {
	*conn
	direction  int // 0 is from client to server, 1 from server to client
	to         net.Conn
	applied    *rules // the rules last applied
	delivered  int    // bytes delivered since the current reset rule took effect
	hasDropped bool   // bytes were dropped, so that later bytes can't be delivered any more
}

// write delivers the queued bytes of one direction according to the rules in force, then closes
// that direction.
func (c *conn) write(direction int, to net.Conn, from <-chan chunk) {
	w := &writer{conn: c, direction: direction, to: to}
	for {
		var p chunk
		select {
		case p = <-from:
		case <-c.done:
			return
		}
		if !w.deliver(&p) {
			return
		}
		if p.end != nil {
			w.finish(p.end)
			return
		}
	}
}

// deliver delivers or drops a chunk. It returns false once the connection has ended.
func (w *writer) deliver(p *chunk) bool {
	for first := true; first || len(p.data) > 0; first = false {
		r, ok := w.awaitDelivery(w.direction, p.at, len(p.data) > 0)
		if !ok {
			return false
		}
		w.applyRules(r)
		rule := &r.directions[w.direction]
		if w.direction == 1 && len(p.data) > 0 && (r.lost || r.blackhole) && !w.hasDropped {
			w.countLost(len(p.data))
			if r.lost {
				w.reset()
				return false
			}
			w.hasDropped = true
			return true
		}
		if rule.cut || w.hasDropped {
			// A cut drops the end of a direction as it drops its bytes.
			w.hasDropped = true
			w.countLost(len(p.data))
			return true
		}
		if len(p.data) == 0 {
			return true
		}
		if !w.writeSome(p, r, rule) {
			return false
		}
	}
	return true
}

// applyRules adopts the current rules. The byte count of a reset continues if that rule is unchanged.
func (w *writer) applyRules(r *rules) {
	if r == w.applied {
		return
	}
	if w.applied == nil || !r.directions[w.direction].sameReset(&w.applied.directions[w.direction]) {
		w.delivered = 0
	}
	w.applied = r
}

// sameReset reports whether both rules reset a connection after the same number of bytes.
func (w *directionRules) sameReset(other *directionRules) bool {
	return w.reset && other.reset && w.resetAfter == other.resetAfter
}

// writeSome writes as much of a chunk as the rule allows at once. It returns false once the
// connection has ended.
func (w *writer) writeSome(p *chunk, r *rules, rule *directionRules) bool {
	n := len(p.data)
	if rule.limit != nil {
		n = min(n, burstBytes)
	}
	if rule.reset {
		n = min(n, rule.resetAfter-w.delivered)
	}
	if rule.limit != nil && n > 0 && !w.awaitRate(r, rule, n) {
		return true // the rules have changed
	}
	if n > 0 {
		if _, err := w.to.Write(p.data[:n]); err != nil {
			w.end(true)
			return false
		}
		p.data = p.data[n:]
		w.delivered += n
		w.count(n)
	}
	if rule.reset && w.delivered >= rule.resetAfter {
		w.reset()
		return false
	}
	return true
}

// count adds n delivered bytes to the link's counts.
func (w *writer) count(n int) {
	w.link.updateCounts(func(s *Counts) {
		if w.direction == 0 {
			s.Forth += int64(n)
		} else {
			s.Back += int64(n)
		}
	})
}

// finish forwards the end of a direction: a half-close for io.EOF, a reset for any other error.
func (w *writer) finish(end error) {
	if w.hasDropped {
		// A TCP stack would retransmit the lost bytes while the fault lasts, so the connection stays open
		// until then.
		w.awaitNoDropRules()
		w.end(true)
		return
	}
	if half, ok := w.to.(interface{ CloseWrite() error }); ok && errors.Is(end, io.EOF) {
		_ = half.CloseWrite()
		return
	}
	w.end(true)
}

// awaitNoDropRules waits until no rule drops bytes any more, or the connection has ended.
func (c *conn) awaitNoDropRules() {
	for {
		r := c.link.currentRules()
		if !r.directions[0].cut && !r.directions[1].cut && !r.lost && !r.blackhole {
			return
		}
		select {
		case <-r.changed:
		case <-c.done:
			return
		}
	}
}

func (c *conn) countLost(n int) { c.link.updateCounts(func(s *Counts) { s.Lost += int64(n) }) }

// awaitDelivery waits until bytes read at the given time may be delivered: while the direction is held,
// and for its delay. It returns the rules in force at that time, or false once the connection has ended.
func (c *conn) awaitDelivery(direction int, at time.Time, data bool) (*rules, bool) {
	for {
		r := c.link.currentRules()
		w := &r.directions[direction]
		if w.cut || direction == 1 && data && (r.lost || r.blackhole) {
			return r, true // dropped bytes need no delay
		}
		var after <-chan time.Time
		if !w.hold {
			left := time.Until(at.Add(w.delay))
			if w.delay == 0 || left <= 0 {
				return r, true
			}
			after = time.After(left)
		}
		select {
		case <-after:
		case <-r.changed:
		case <-c.done:
			return nil, false
		}
	}
}

// awaitRate reserves n bytes of the rate limit and waits until they may be sent. It cancels the
// reservation and returns false if the rules have changed or the connection has ended meanwhile.
func (c *conn) awaitRate(r *rules, w *directionRules, n int) bool {
	reservation := w.limit.ReserveN(time.Now(), n)
	timer := time.NewTimer(reservation.Delay())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.changed:
	case <-c.done:
	}
	reservation.Cancel()
	return false
}
