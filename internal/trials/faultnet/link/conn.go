package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// conn is one connection with what it leads to.
type conn struct {
	link *Link
	from net.Conn
	to   net.Conn      // once up is closed
	up   chan struct{} // closed when to is there, or never will be
	over chan struct{} // closed when all ends

	mu    sync.Mutex
	ended bool
}

// piece is what came at once, or the end of a direction.
type piece struct {
	data []byte
	at   time.Time
	end  error
}

// end ends the connection at once; hard has both sides see a reset.
func (c *conn) end(hard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	close(c.over)
	for _, x := range []net.Conn{c.from, c.to} {
		if x == nil {
			continue
		}
		if tcp, ok := x.(*net.TCPConn); ok && hard {
			_ = tcp.SetLinger(0)
		}
		x.Close()
	}
}

// reset is end(hard) by a fault.
func (c *conn) reset() {
	c.link.add(func(n *Counts) { n.Resets++ })
	c.end(true)
}

// run carries both directions until they have ended.
func (c *conn) run() {
	defer c.end(false)
	var both sync.WaitGroup
	queues := [2]chan piece{make(chan piece, buffered), make(chan piece, buffered)}
	both.Go(func() { c.read(c.from, queues[0]) })
	both.Go(func() {
		if !c.dial() {
			close(c.up)
			return
		}
		close(c.up)
		both.Go(func() { c.read(c.to, queues[1]) })
		both.Go(func() { c.write(0, c.to, queues[0]) })
		c.write(1, c.from, queues[1])
	})
	both.Wait()
}

// dial reaches what the link leads to, once the way there isn't cut or held.
func (c *conn) dial() bool {
	for {
		r := c.link.now()
		if w := &r.directions[0]; !w.cut && !w.hold {
			break
		}
		select {
		case <-r.changed:
		case <-c.over:
			return false
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTime)
	defer cancel()
	go func() {
		select {
		case <-c.over:
			cancel()
		case <-ctx.Done():
		}
	}()
	network, addr := c.link.target()
	to, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		c.link.add(func(n *Counts) { n.Failed++ })
		c.end(true)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		to.Close()
		return false
	}
	c.to = to
	return true
}

// read takes bytes as they come; what isn't written yet is bounded by the channel.
func (c *conn) read(from net.Conn, to chan<- piece) {
	for {
		p := piece{data: make([]byte, chunk)}
		n, err := from.Read(p.data)
		p.data, p.at, p.end = p.data[:n], time.Now(), err
		select {
		case to <- p:
		case <-c.over:
			return
		}
		if err != nil {
			return
		}
	}
}

// writer is one way of a connection, to its end.
type writer struct {
	*conn
	direction int
	to        net.Conn
	of        *rules // in force
	passed    int    // bytes since those are
	lost      bool   // bytes are: what follows them can't be delivered any more
}

// write brings one way's bytes to their end as the rules have it, and tells it of the way's end.
func (c *conn) write(direction int, to net.Conn, from <-chan piece) {
	w := &writer{conn: c, direction: direction, to: to}
	for {
		var p piece
		select {
		case p = <-from:
		case <-c.over:
			return
		}
		if !w.pass(&p) {
			return
		}
		if p.end != nil {
			w.finish(p.end)
			return
		}
	}
}

// pass writes a piece, or loses it; false once the connection has ended.
func (w *writer) pass(p *piece) bool {
	for first := true; first || len(p.data) > 0; first = false {
		r, ok := w.due(w.direction, p.at, len(p.data) > 0)
		if !ok {
			return false
		}
		w.follow(r)
		rule := &r.directions[w.direction]
		if w.direction == 1 && len(p.data) > 0 && (r.lost || r.blackhole) && !w.lost {
			w.lose(len(p.data))
			if r.lost {
				w.reset()
				return false
			}
			w.lost = true
			return true
		}
		if rule.cut || w.lost {
			// The end of a direction vanishes as its bytes do.
			w.lost = true
			w.lose(len(p.data))
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

// follow takes the rules that are in force now.
func (w *writer) follow(r *rules) {
	if r == w.of {
		return
	}
	if w.of == nil || !r.directions[w.direction].reset || !w.of.directions[w.direction].reset || r.directions[w.direction].after != w.of.directions[w.direction].after {
		w.passed = 0
	}
	w.of = r
}

// writeSome writes as much of a piece as a way lets through at once; false once the connection has ended.
func (w *writer) writeSome(p *piece, r *rules, rule *directionRules) bool {
	n := len(p.data)
	if rule.limit != nil {
		n = min(n, burst)
	}
	if rule.reset {
		n = min(n, rule.after-w.passed)
	}
	if rule.limit != nil && n > 0 && !w.wait(r, rule, n) {
		return true // the rules have changed
	}
	if n > 0 {
		if _, err := w.to.Write(p.data[:n]); err != nil {
			w.end(true)
			return false
		}
		p.data = p.data[n:]
		w.passed += n
		w.count(n)
	}
	if rule.reset && w.passed >= rule.after {
		w.reset()
		return false
	}
	return true
}

// count counts bytes that passed.
func (w *writer) count(n int) {
	w.link.add(func(s *Counts) {
		if w.direction == 0 {
			s.Forth += int64(n)
		} else {
			s.Back += int64(n)
		}
	})
}

// finish ends the way with what its begin ended with.
func (w *writer) finish(end error) {
	if w.lost { // what a stack would tell again and again arrives once the fault is over
		w.healed()
		w.end(true)
		return
	}
	if half, ok := w.to.(interface{ CloseWrite() error }); ok && errors.Is(end, io.EOF) {
		_ = half.CloseWrite()
		return
	}
	w.end(true)
}

// healed waits until nothing vanishes any more, or the connection has ended.
func (c *conn) healed() {
	for {
		r := c.link.now()
		if !r.directions[0].cut && !r.directions[1].cut && !r.lost && !r.blackhole {
			return
		}
		select {
		case <-r.changed:
		case <-c.over:
			return
		}
	}
}

func (c *conn) lose(n int) { c.link.add(func(s *Counts) { s.Lost += int64(n) }) }

// due waits until what came at a time is to go on: while the way is held, and as long as it is
// late. It gives the rules in force then; false is the connection's end.
func (c *conn) due(direction int, at time.Time, data bool) (*rules, bool) {
	for {
		r := c.link.now()
		w := &r.directions[direction]
		if w.cut || direction == 1 && data && (r.lost || r.blackhole) {
			return r, true // what vanishes need not wait
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
		case <-c.over:
			return nil, false
		}
	}
}

// wait takes n bytes of a slow way's rate; false where the rules have changed meanwhile, or the
// connection has ended.
func (c *conn) wait(r *rules, w *directionRules, n int) bool {
	turn := w.limit.ReserveN(time.Now(), n)
	t := time.NewTimer(turn.Delay())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.changed:
	case <-c.over:
	}
	turn.Cancel()
	return false
}
