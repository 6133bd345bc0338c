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
	writeTimeout      = 5 * time.Second        // one piece of what is to be written
	cancelTimeout     = 250 * time.Millisecond // the reset of a stream that is given up
	maxReadFrameBytes = 1 << 20                // of a frame that is read; more is an error of the server's
)

// Options configure a connection.
type Options struct {
	Limits
	// PingAfterSilence is how long nothing may be received while streams are open before a ping is sent; the
	// connection counts as broken after the same time without an answer. 0 never pings.
	PingAfterSilence time.Duration
	// OnChange, which may be nil, is called when another stream may be free or the connection has ended. It must
	// neither block nor call the connection.
	OnChange func()
}

// ErrNotHTTP2 is the error of a server whose first bytes are not HTTP/2.
var ErrNotHTTP2 = errors.New("the server does not speak HTTP/2")

// Conn is a connection that requests share. Its methods are safe for concurrent use.
type Conn struct {
	options Options
	conn    net.Conn
	started time.Time

	mu             sync.Mutex
	machine        *Machine
	receivers      map[uint32]eventReceiver
	blockedWriters map[*Stream]bool // those whose writer waits for space
	flushed        *sync.Cond       // more was written, or the connection has ended
	lastRead       time.Time        // something came
	idleSince      time.Time        // no stream is open since then
	noiseReset     time.Time        // floods are counted from then on
	isClosing      bool             // no further byte is written once what is pending is
	isWatched      bool             // checkSilence is scheduled
	isWriting      bool             // a goroutine is writing to the socket
	rawConn        syscall.RawConn  // of a socket; nil where there is none

	wake        chan struct{} // there may be something to write
	hasSettings chan struct{} // closed with the server's settings
	done        chan struct{} // closed when the connection has ended
}

// Start starts HTTP/2 with prior knowledge on a connection and waits for the server's settings: before a request
// is sent it is known that the server speaks HTTP/2, and what its limits are. A connection that fails is closed.
func Start(ctx context.Context, conn net.Conn, options Options) (*Conn, error) {
	now := time.Now()
	created := &Conn{
		options: options, conn: conn, started: now, machine: New(options.Limits), receivers: make(map[uint32]eventReceiver), blockedWriters: make(map[*Stream]bool), lastRead: now, idleSince: now,
		wake: make(chan struct{}, 1), hasSettings: make(chan struct{}), done: make(chan struct{}),
	}
	created.flushed = sync.NewCond(&created.mu)
	if under, ok := socket(conn); ok {
		created.rawConn, _ = under.SyscallConn()
	}
	created.wakeWriter()
	go created.write()
	go created.read()
	select {
	case <-created.hasSettings:
		return created, nil
	case <-created.done:
		created.mu.Lock()
		defer created.mu.Unlock()
		if created.lastRead.Equal(now) { // it said nothing before it closed
			return nil, fmt.Errorf("%w: %w", ErrNotHTTP2, created.machine.Err())
		}
		return nil, created.machine.Err()
	case <-ctx.Done():
		created.Close()
		return nil, fmt.Errorf("waiting for the server's settings: %w", context.Cause(ctx))
	}
}

// socket is the one below a connection whose bytes go to it as they are.
func socket(conn net.Conn) (syscall.Conn, bool) {
	for {
		if _, ok := conn.(*tls.Conn); ok {
			return nil, false
		}
		if s, ok := conn.(*net.TCPConn); ok {
			return s, true
		}
		under, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		conn = under.NetConn()
	}
}

// wakeWriter wakes the goroutine that writes.
func (c *Conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// read handles frames until the connection ends.
func (c *Conn) read() {
	counted := &countingConn{Conn: c.conn}
	frames := http2.NewFramer(nil, counted)
	frames.SetMaxReadFrameSize(maxReadFrameBytes)
	frames.SetReuseFrames()
	frames.ReadMetaHeaders = hpack.NewDecoder(defaultTableBytes, nil)
	frames.MaxHeaderListSize = uint32(c.machine.MaxHeadBytes)
	for first := true; ; first = false {
		frame, err := frames.ReadFrame()
		if first && counted.bytesRead > 0 && (err != nil || frame.Header().Type != http2.FrameSettings) {
			err = ErrNotHTTP2
		}
		c.mu.Lock()
		if counted.bytesRead > 0 {
			c.lastRead = time.Now()
		}
		if c.lastRead.Sub(c.noiseReset) >= time.Second {
			c.noiseReset = c.lastRead
			c.machine.ResetNoise()
		}
		var events []Event
		if err != nil {
			events = c.machine.Unreadable(err)
		} else {
			events = c.machine.Handle(frame)
		}
		ended := c.deliver(events)
		needsWrite := ended || c.isClosing || c.machine.HasOutput()
		c.mu.Unlock()
		if needsWrite {
			c.wakeWriter()
		}
		if ended {
			return
		}
	}
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	bytesRead int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead += int64(n)
	return n, err
}

// eventReceiver receives the events of a stream in order, with Conn.mu locked. It must neither block nor call back.
type eventReceiver interface{ receive(Event) }

// endReceiver receives the one event of a stream whose answer is buffered.
type endReceiver chan Event

func (w endReceiver) receive(event Event) { w <- event }

// deliver passes events to their receivers and records what has changed. c.mu is locked. It reports whether the
// connection has ended.
func (c *Conn) deliver(events []Event) (ended bool) {
	for _, event := range events {
		if receiver := c.receivers[event.ID]; receiver != nil {
			if event.ends() {
				delete(c.receivers, event.ID)
			}
			receiver.receive(event)
		}
	}
	c.wakeBlockedWriters()
	if c.machine.OpenStreams() == 0 && len(events) > 0 {
		c.idleSince = time.Now()
	}
	if c.machine.HasSettings() {
		select {
		case <-c.hasSettings:
		default:
			close(c.hasSettings)
		}
	}
	if c.machine.Err() != nil {
		select {
		case <-c.done:
		default:
			close(c.done)
			c.flushed.Broadcast()
		}
	}
	if c.options.OnChange != nil {
		c.options.OnChange()
	}
	return c.machine.Err() != nil
}

// writeNow writes what the socket takes without blocking, which nearly always is everything; the writing goroutine
// does the rest. So no goroutine is woken for each request, and none blocks past its own deadline on a server that
// reads nothing.
func (c *Conn) writeNow() {
	if c.rawConn == nil {
		c.wakeWriter()
		return
	}
	c.mu.Lock()
	if c.isWriting || c.machine.Err() != nil {
		c.mu.Unlock()
		c.wakeWriter()
		return
	}
	c.isWriting = true
	out := c.machine.PendingBytes()
	c.mu.Unlock()
	n := 0
	if len(out) > 0 {
		_ = c.rawConn.Write(func(fd uintptr) bool {
			n, _ = syscall.Write(int(fd), out)
			return true
		})
	}
	c.wrote(max(n, 0))
	c.mu.Lock()
	more := c.machine.HasOutput() || c.isClosing || c.machine.Err() != nil // for all of which the writer did not go on meanwhile
	c.mu.Unlock()
	if more {
		c.wakeWriter()
	}
}

// wrote records that n bytes were written.
func (c *Conn) wrote(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = false
	c.machine.Wrote(n)
	c.wakeBlockedWriters()
	c.flushed.Broadcast()
}

// wakeBlockedWriters wakes the streams whose writers wait for space. c.mu is locked.
func (c *Conn) wakeBlockedWriters() {
	for s := range c.blockedWriters {
		delete(c.blockedWriters, s)
		signal(s.writable)
	}
}

// write writes the machine's output, until the connection has ended and all of it is written.
func (c *Conn) write() {
	defer c.conn.Close()
	for {
		c.mu.Lock()
		var out []byte
		if !c.isWriting { // otherwise whoever writes wakes this goroutine
			out = c.machine.PendingBytes()
		}
		over := !c.isWriting && (c.machine.Err() != nil || c.machine.IsEnding() && c.machine.OpenStreams() == 0 && c.isClosing)
		c.isWriting = c.isWriting || len(out) > 0
		c.mu.Unlock()
		if len(out) == 0 {
			if over {
				c.breakOff(net.ErrClosed)
				return
			}
			<-c.wake
			continue
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.conn.Write(out)
		c.wrote(n)
		if err != nil {
			c.breakOff(fmt.Errorf("writing: %w", err))
			return
		}
	}
}

// breakOff ends the connection from this side.
func (c *Conn) breakOff(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver(c.machine.Break(why))
	c.wakeWriter()
}

// open opens a stream and sends as much of its request as is available and can be written without blocking.
func (c *Conn) open(request *Request, receiver eventReceiver) (id uint32, err error) {
	c.mu.Lock()
	if id, err = c.machine.OpenStream(request); err != nil {
		c.mu.Unlock()
		return 0, err
	}
	if c.machine.OpenStreams() == 1 {
		c.lastRead = time.Now() // the silence that counts begins with the first stream
		c.startWatch()
	}
	c.receivers[id] = receiver
	c.mu.Unlock()
	c.writeNow()
	return id, nil
}

// cancelStream resets a stream, and returns once that has gone out or the connection has ended. A stream that
// has ended meanwhile is left alone.
func (c *Conn) cancelStream(id uint32) {
	c.mu.Lock()
	event, ok := c.machine.Cancel(id)
	if !ok {
		c.mu.Unlock()
		return
	}
	c.deliver([]Event{event})
	until := c.machine.OutputOffset()
	c.mu.Unlock()
	c.wakeWriter()
	c.awaitFlush(until)
}

// Do sends a request and returns how its stream ended. When ctx ends first the stream is cancelled, and its reset
// is written, or the connection ended, before Do returns. With ErrNoStream nothing was sent.
func (c *Conn) Do(ctx context.Context, request *Request) (Event, error) {
	receiver := make(endReceiver, 1)
	id, err := c.open(request, receiver)
	if err != nil {
		return Event{}, err
	}
	select {
	case event := <-receiver:
		return event, nil
	case <-ctx.Done():
	}
	c.cancelStream(id)
	return <-receiver, nil
}

// awaitFlush waits until everything before an offset is written. A connection that doesn't even take a reset is
// ended: the request must not still be running when another server gets it.
func (c *Conn) awaitFlush(until int64) {
	late := time.AfterFunc(cancelTimeout, func() { c.Close() })
	defer late.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.machine.written < until && c.machine.Err() == nil {
		c.flushed.Wait()
	}
}

// startWatch schedules checkSilence while streams are open. c.mu is locked.
func (c *Conn) startWatch() {
	if c.options.PingAfterSilence > 0 && !c.isWatched {
		c.isWatched = true
		time.AfterFunc(c.options.PingAfterSilence, c.checkSilence)
	}
}

// checkSilence pings a server that has been silent, and ends the connection if it does not answer.
func (c *Conn) checkSilence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine.Err() != nil || c.machine.OpenStreams() == 0 {
		c.isWatched = false
		return
	}
	switch silent := time.Since(c.lastRead); {
	case silent >= 2*c.options.PingAfterSilence && c.machine.IsAwaitingPing():
		c.deliver(c.machine.Break(fmt.Errorf("nothing heard for %v", silent)))
		c.wakeWriter()
		return
	case silent >= c.options.PingAfterSilence:
		c.machine.Ping()
		c.wakeWriter()
	}
	time.AfterFunc(c.options.PingAfterSilence, c.checkSilence)
}

// View returns what Choose needs to know of the connection.
func (c *Conn) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return View{OpenStreams: c.machine.OpenStreams(), FreeStreams: c.machine.FreeStreams(), MaxStreams: c.machine.StreamLimit(), IsEnding: c.machine.IsEnding(), Age: time.Since(c.started)}
}

// Idle returns since when no stream has been open; false where one is.
func (c *Conn) Idle() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.machine.OpenStreams() == 0
}

// Retire lets the connection take no more requests, and end with its last stream.
func (c *Conn) Retire() {
	c.mu.Lock()
	c.machine.Retire()
	c.isClosing = true
	c.mu.Unlock()
	c.wakeWriter()
}

// Close ends the connection and all streams on it.
func (c *Conn) Close() {
	c.breakOff(net.ErrClosed)
	c.conn.Close()
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }
