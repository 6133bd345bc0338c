package h2

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	writeWithin  = 5 * time.Second        // one piece of what is to be written
	cancelWithin = 250 * time.Millisecond // the reset of a stream that is given up
	frameRead    = 1 << 20                // of a frame that is read; more is an error of the server's
)

// Options are what a connection is made with.
type Options struct {
	Limits
	// Quiet is for how long nothing may come while streams are open, before the server is asked for
	// a sign of life; after as long again with none the connection is broken. 0 never asks.
	Quiet time.Duration
	// Changed, which may be nil, is called when there may be room for another stream or the
	// connection has ended. It must neither wait nor call the connection.
	Changed func()
}

// ErrNotSpoken says that a server's first bytes were not HTTP/2's.
var ErrNotSpoken = errors.New("the server does not speak HTTP/2")

// Conn is a connection over which requests share. Its methods are safe for concurrent use.
type Conn struct {
	o     Options
	c     net.Conn
	begun time.Time

	mu      sync.Mutex
	m       *Machine
	waits   map[uint32]waiter
	blocked map[*Stream]bool // those whose writer waits for room
	flushed *sync.Cond       // more was written, or the connection has ended
	heard   time.Time        // something came
	idle    time.Time        // no stream is open since then
	calm    time.Time        // floods are counted from then on
	closing bool             // no further byte is written once what is pending is
	watched bool             // a look at how quiet it is will come
	writing bool             // somebody writes
	raw     syscall.RawConn  // of a socket; nil where there is none

	wake    chan struct{} // there may be something to write
	greeted chan struct{} // closed with the server's settings
	done    chan struct{} // closed when the connection has ended
}

// Start speaks HTTP/2 on a connection with prior knowledge and waits for the server's settings, so
// that its limits are known, and that it speaks HTTP/2 at all, before a request is sent. A
// connection that fails is closed.
func Start(ctx context.Context, nc net.Conn, o Options) (*Conn, error) {
	now := time.Now()
	c := &Conn{
		o: o, c: nc, begun: now, m: New(o.Limits), waits: make(map[uint32]waiter), blocked: make(map[*Stream]bool), heard: now, idle: now,
		wake: make(chan struct{}, 1), greeted: make(chan struct{}), done: make(chan struct{}),
	}
	c.flushed = sync.NewCond(&c.mu)
	if under, ok := socket(nc); ok {
		c.raw, _ = under.SyscallConn()
	}
	c.poke()
	go c.write()
	go c.read()
	select {
	case <-c.greeted:
		return c, nil
	case <-c.done:
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.heard.Equal(now) { // it said nothing before it closed
			return nil, fmt.Errorf("%w: %w", ErrNotSpoken, c.m.Err())
		}
		return nil, c.m.Err()
	case <-ctx.Done():
		c.Close()
		return nil, fmt.Errorf("waiting for the server's settings: %w", context.Cause(ctx))
	}
}

// socket is the one below a connection whose bytes go to it as they are.
func socket(c net.Conn) (syscall.Conn, bool) {
	for {
		if _, ok := c.(*tls.Conn); ok {
			return nil, false
		}
		if s, ok := c.(*net.TCPConn); ok {
			return s, true
		}
		under, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		c = under.NetConn()
	}
}

// poke has the writer look for what there is to write.
func (c *Conn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// read takes in frames until the connection ends.
func (c *Conn) read() {
	in := &counted{Conn: c.c}
	frames := http2.NewFramer(nil, in)
	frames.SetMaxReadFrameSize(frameRead)
	frames.SetReuseFrames()
	frames.ReadMetaHeaders = hpack.NewDecoder(tableDefault, nil)
	frames.MaxHeaderListSize = uint32(c.m.Head)
	for first := true; ; first = false {
		f, err := frames.ReadFrame()
		if first && in.n > 0 && (err != nil || f.Header().Type != http2.FrameSettings) {
			err = ErrNotSpoken
		}
		c.mu.Lock()
		if in.n > 0 {
			c.heard = time.Now()
		}
		if c.heard.Sub(c.calm) >= time.Second {
			c.calm = c.heard
			c.m.Calm()
		}
		var events []Event
		if err != nil {
			events = c.m.Unreadable(err)
		} else {
			events = c.m.Handle(f)
		}
		ended := c.settle(events)
		say := ended || c.closing || c.m.Says()
		c.mu.Unlock()
		if say {
			c.poke()
		}
		if ended {
			return
		}
	}
}

// counted tells whether anything was read.
type counted struct {
	net.Conn
	n int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n += int64(n)
	return n, err
}

// waiter is told of a stream's events, in order; Conn.mu is held. It must neither wait nor call back.
type waiter interface{ tell(Event) }

// end takes the one event of a stream whose answer is held.
type end chan Event

func (w end) tell(e Event) { w <- e }

// settle tells those who wait how their streams ended and notes what changed; c.mu is held. ended
// tells that the connection has.
func (c *Conn) settle(events []Event) (ended bool) {
	for _, e := range events {
		if w := c.waits[e.ID]; w != nil {
			if e.ends() {
				delete(c.waits, e.ID)
			}
			w.tell(e)
		}
	}
	c.unblock()
	if c.m.Open() == 0 && len(events) > 0 {
		c.idle = time.Now()
	}
	if c.m.Greeted() {
		select {
		case <-c.greeted:
		default:
			close(c.greeted)
		}
	}
	if c.m.Err() != nil {
		select {
		case <-c.done:
		default:
			close(c.done)
			c.flushed.Broadcast()
		}
	}
	if c.o.Changed != nil {
		c.o.Changed()
	}
	return c.m.Err() != nil
}

// push writes what the socket takes at once, which nearly always is all; the writer does the rest.
// Guards against waking another goroutine for each request, and against one that waits for a
// server that takes nothing beyond its own time.
func (c *Conn) push() {
	if c.raw == nil {
		c.poke()
		return
	}
	c.mu.Lock()
	if c.writing || c.m.Err() != nil {
		c.mu.Unlock()
		c.poke()
		return
	}
	c.writing = true
	out := c.m.Out()
	c.mu.Unlock()
	n := 0
	if len(out) > 0 {
		_ = c.raw.Write(func(fd uintptr) bool {
			n, _ = syscall.Write(int(fd), out)
			return true
		})
	}
	c.wrote(max(n, 0))
	c.mu.Lock()
	more := c.m.Says() || c.closing || c.m.Err() != nil // for all of which the writer did not go on meanwhile
	c.mu.Unlock()
	if more {
		c.poke()
	}
}

// wrote ends a write that took so many bytes.
func (c *Conn) wrote(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.m.Wrote(n)
	c.unblock()
	c.flushed.Broadcast()
}

// unblock has those who wait for room look again; c.mu is held.
func (c *Conn) unblock() {
	for s := range c.blocked {
		delete(c.blocked, s)
		ring(s.sent)
	}
}

// write writes what the machine has to say, until the connection has ended and all is said.
func (c *Conn) write() {
	defer c.c.Close()
	for {
		c.mu.Lock()
		var out []byte
		if !c.writing { // else whoever does pokes
			out = c.m.Out()
		}
		over := !c.writing && (c.m.Err() != nil || c.m.Ending() && c.m.Open() == 0 && c.closing)
		c.writing = c.writing || len(out) > 0
		c.mu.Unlock()
		if len(out) == 0 {
			if over {
				c.broke(net.ErrClosed)
				return
			}
			<-c.wake
			continue
		}
		_ = c.c.SetWriteDeadline(time.Now().Add(writeWithin))
		n, err := c.c.Write(out)
		c.wrote(n)
		if err != nil {
			c.broke(fmt.Errorf("writing: %w", err))
			return
		}
	}
}

// broke ends the connection from this side.
func (c *Conn) broke(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(c.m.Break(why))
	c.poke()
}

// open opens a stream and sends its request, as far as it is here and goes at once.
func (c *Conn) open(r *Request, w waiter) (id uint32, err error) {
	c.mu.Lock()
	if id, err = c.m.OpenStream(r); err != nil {
		c.mu.Unlock()
		return 0, err
	}
	if c.m.Open() == 1 {
		c.heard = time.Now() // the silence that counts begins with the first stream
		c.watch()
	}
	c.waits[id] = w
	c.mu.Unlock()
	c.push()
	return id, nil
}

// giveUp resets a stream, and returns once that has gone out or the connection has ended. A stream that
// has ended meanwhile is left alone.
func (c *Conn) giveUp(id uint32) {
	c.mu.Lock()
	e, ok := c.m.Cancel(id)
	if !ok {
		c.mu.Unlock()
		return
	}
	c.settle([]Event{e})
	until := c.m.Pending()
	c.mu.Unlock()
	c.poke()
	c.await(until)
}

// Do sends a request and waits for how its stream ends, or until ctx does: it is given up then, and
// its reset has gone out, or the connection ended, before Do returns. ErrNoStream says that nothing was sent.
func (c *Conn) Do(ctx context.Context, r *Request) (Event, error) {
	w := make(end, 1)
	id, err := c.open(r, w)
	if err != nil {
		return Event{}, err
	}
	select {
	case e := <-w:
		return e, nil
	case <-ctx.Done():
	}
	c.giveUp(id)
	return <-w, nil
}

// await waits until so much is written. Guards against a request that is still out when another
// server is asked: a connection that takes not even a reset is ended.
func (c *Conn) await(until int64) {
	late := time.AfterFunc(cancelWithin, func() { c.Close() })
	defer late.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.m.written < until && c.m.Err() == nil {
		c.flushed.Wait()
	}
}

// watch asks for signs of life while streams are open; c.mu is held.
func (c *Conn) watch() {
	if c.o.Quiet > 0 && !c.watched {
		c.watched = true
		time.AfterFunc(c.o.Quiet, c.look)
	}
}

// look is what watch does after each time of quiet.
func (c *Conn) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m.Err() != nil || c.m.Open() == 0 {
		c.watched = false
		return
	}
	switch silent := time.Since(c.heard); {
	case silent >= 2*c.o.Quiet && c.m.Awaiting():
		c.settle(c.m.Break(fmt.Errorf("nothing heard for %v", silent)))
		c.poke()
		return
	case silent >= c.o.Quiet:
		c.m.Ping()
		c.poke()
	}
	time.AfterFunc(c.o.Quiet, c.look)
}

// View is what the choice of a connection goes by.
func (c *Conn) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return View{Open: c.m.Open(), Room: c.m.Room(), Limit: c.m.Limit(), Ending: c.m.Ending(), Age: time.Since(c.begun)}
}

// Idle is since when no stream has been open; false where one is.
func (c *Conn) Idle() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, c.m.Open() == 0
}

// Retire has the connection take no more requests, and end with its last stream.
func (c *Conn) Retire() {
	c.mu.Lock()
	c.m.Retire()
	c.closing = true
	c.mu.Unlock()
	c.poke()
}

// Close ends the connection and all streams on it.
func (c *Conn) Close() {
	c.broke(net.ErrClosed)
	c.c.Close()
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }
