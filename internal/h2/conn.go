package h2

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options configure a connection.
type Options struct {
	Limits
	// PingAfterSilence is how long a connection with open streams may receive nothing before a ping is sent. If
	// nothing is received for the same time after that, the connection is ended as broken. 0 disables pings.
	PingAfterSilence time.Duration
	// OnChange, which may be nil, is called when another stream may be available or the connection has ended. It is
	// called with the connection's mutex locked, so it must neither block nor call the connection.
	OnChange func()
}

// ErrNotHTTP2 is returned for a server whose first bytes are not HTTP/2.
var ErrNotHTTP2 = errors.New("the server does not speak HTTP/2")

// Conn is an HTTP/2 connection that multiplexes requests. Its methods are safe for concurrent use.
type Conn struct {
	options Options
	conn    net.Conn
	started time.Time

	mu                      sync.Mutex
	machine                 *Machine
	receivers               map[uint32]eventReceiver
	blockedWriters          map[*Stream]bool // streams whose Write waits for buffer space
	flushed                 *sync.Cond       // signalled when output was written or the connection has ended
	lastRead                time.Time        // time of the last received bytes
	idleSince               time.Time        // time since which no stream has been open
	overheadResetAt         time.Time        // when the count of overhead frames was last reset
	isClosing               bool             // the connection ends once its streams have ended and all output is written
	isSilenceCheckScheduled bool             // checkSilence is scheduled
	isWriting               bool             // some goroutine is writing to the socket
	rawConn                 syscall.RawConn  // the socket; nil if written bytes are transformed first (TLS) or there is no TCP socket
	dropsUndelivered        atomic.Bool      // closing the socket drops what the server's system has not acknowledged

	wake             chan struct{} // wakes the writing goroutine, as there may be output
	settingsReceived chan struct{} // closed once the server's settings have arrived
	done             chan struct{} // closed when the connection has ended
}

// Start starts HTTP/2 with prior knowledge on a connection and waits for the server's settings, so that the protocol
// and the server's limits are known before a request is sent. If it fails, it closes the connection; if the server
// does not speak HTTP/2, the error wraps ErrNotHTTP2. Start starts two goroutines, which run until the connection ends.
func Start(ctx context.Context, conn net.Conn, options Options) (*Conn, error) {
	now := time.Now()
	created := &Conn{
		options:          options,
		conn:             conn,
		started:          now,
		machine:          New(options.Limits),
		receivers:        make(map[uint32]eventReceiver),
		blockedWriters:   make(map[*Stream]bool),
		lastRead:         now,
		idleSince:        now,
		wake:             make(chan struct{}, 1),
		settingsReceived: make(chan struct{}),
		done:             make(chan struct{}),
	}
	created.flushed = sync.NewCond(&created.mu)
	if tcpConn, ok := socket(conn); ok {
		created.rawConn, _ = tcpConn.SyscallConn()
	}
	created.wakeWriter()
	go created.write()
	go created.read()
	select {
	case <-created.settingsReceived:
		return created, nil
	case <-created.done:
		created.mu.Lock()
		defer created.mu.Unlock()
		if created.lastRead.Equal(now) { // the server closed the connection without sending anything
			return nil, fmt.Errorf("%w: %w", ErrNotHTTP2, created.machine.Err())
		}
		return nil, created.machine.Err()
	case <-ctx.Done():
		created.Close()
		return nil, fmt.Errorf("waiting for the server's settings: %w", context.Cause(ctx))
	}
}

// socket returns the TCP socket under a connection, unless TLS lies between: then bytes must not be written to it directly.
func socket(conn net.Conn) (syscall.Conn, bool) {
	for {
		if _, ok := conn.(*tls.Conn); ok {
			return nil, false
		}
		if s, ok := conn.(*net.TCPConn); ok {
			return s, true
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		conn = wrapper.NetConn()
	}
}

// abort ends the connection and all its streams with cause as the error.
func (c *Conn) abort(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver(c.machine.Abort(cause))
	c.wakeWriter()
}

// open opens a stream and sends the part of its request that is available and can be written without blocking. The
// caller has to call stopDeadline once the stream has ended.
func (c *Conn) open(request *Request, receiver eventReceiver) (id uint32, stopDeadline func() bool, err error) {
	stopDeadline = func() bool { return false }
	if deadline := request.WriteDeadline; !deadline.IsZero() {
		request.mayWrite = func() bool { return time.Now().Before(deadline) }
	}
	c.mu.Lock()
	id, err = c.machine.OpenStream(request)
	if err != nil {
		c.mu.Unlock()
		return 0, stopDeadline, err
	}
	if c.machine.OpenStreams() == 1 {
		c.lastRead = time.Now() // the silence period starts with the first stream
		c.scheduleSilenceCheck()
	}
	c.receivers[id] = receiver
	c.mu.Unlock()
	c.writeNow()
	if !request.WriteDeadline.IsZero() {
		stopDeadline = time.AfterFunc(time.Until(request.WriteDeadline), func() { c.endUnwritten(id) }).Stop
	}
	return id, stopDeadline, nil
}

// endUnwritten ends a stream whose request has not been written completely by its WriteDeadline. The connection is
// closed if only that keeps the last bytes of the request from the server.
func (c *Conn) endUnwritten(id uint32) {
	c.mu.Lock()
	endOffset, isQueued, isOpen := c.machine.requestEnd(id)
	isWritten := c.machine.written >= endOffset
	c.mu.Unlock()
	switch {
	case !isOpen:
	case !isQueued:
		c.cancelStream(id)
	case !isWritten:
		c.closeUndelivered()
	default:
		c.checkSent(endOffset)
	}
}

// cancelStream resets a stream, and returns once the reset is written or the connection has ended. It does nothing
// if the stream has already ended.
func (c *Conn) cancelStream(id uint32) {
	c.mu.Lock()
	event, ok := c.machine.Cancel(id)
	if !ok {
		c.mu.Unlock()
		return
	}
	c.deliver([]Event{event})
	offset := c.machine.OutputOffset()
	c.mu.Unlock()
	c.wakeWriter()
	c.awaitFlush(offset)
	c.scheduleDeliveryCheck(offset)
}

// Do sends a request and returns the event that ended its stream. If ctx ends first, Do cancels the stream and returns
// once the reset is written or the connection has ended. If it returns an error, such as ErrNoStream, nothing was sent.
func (c *Conn) Do(ctx context.Context, request *Request) (Event, error) {
	receiver := make(endReceiver, 1)
	id, stopDeadline, err := c.open(request, receiver)
	if err != nil {
		return Event{}, err
	}
	defer stopDeadline()
	select {
	case event := <-receiver:
		return event, nil
	case <-ctx.Done():
	}
	c.cancelStream(id)
	return <-receiver, nil
}

// View returns the connection's state for Choose.
func (c *Conn) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return View{
		OpenStreams: c.machine.OpenStreams(),
		FreeStreams: c.machine.FreeStreams(),
		MaxStreams:  c.machine.StreamLimit(),
		IsEnding:    c.machine.IsEnding(),
		Age:         time.Since(c.started),
	}
}

// Idle returns the time since which no stream has been open, or false if a stream is open.
func (c *Conn) Idle() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.machine.OpenStreams() == 0
}

// Retire makes the connection accept no more requests and end once its last stream has ended.
func (c *Conn) Retire() {
	c.mu.Lock()
	c.machine.Retire()
	c.isClosing = true
	c.mu.Unlock()
	c.wakeWriter()
}

// IsRetired reports whether Retire has been called.
func (c *Conn) IsRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosing
}

// Close ends the connection and all streams on it.
func (c *Conn) Close() {
	c.abort(net.ErrClosed)
	c.closeSocket()
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }
