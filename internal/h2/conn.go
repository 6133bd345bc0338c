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

	mu                      sync.Mutex
	machine                 *Machine
	receivers               map[uint32]eventReceiver
	blockedWriters          map[*Stream]bool // streams whose writer waits for space
	flushed                 *sync.Cond       // signals that more was written, or that the connection has ended
	lastRead                time.Time        // when something was received last
	idleSince               time.Time        // since when no stream is open
	overheadResetAt         time.Time        // when the count of noise frames was reset
	isClosing               bool             // the connection ends once its streams have ended and the output is written
	isSilenceCheckScheduled bool             // checkSilence is scheduled
	isWriting               bool             // a goroutine is writing to the socket
	rawConn                 syscall.RawConn  // the socket; nil where bytes don't go to it as they are

	wake             chan struct{} // signals the writing goroutine that there may be output
	settingsReceived chan struct{} // closed once the server's settings have arrived
	done             chan struct{} // closed when the connection has ended
}

// Start starts HTTP/2 with prior knowledge on a connection and waits for the server's settings, so that the protocol
// and the server's limits are known before a request is sent. A connection that fails is closed; where the server
// does not speak HTTP/2, the error wraps ErrNotHTTP2. Two goroutines run until the connection has ended.
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
		if created.lastRead.Equal(now) { // the server has sent nothing before it closed the connection
			return nil, fmt.Errorf("%w: %w", ErrNotHTTP2, created.machine.Err())
		}
		return nil, created.machine.Err()
	case <-ctx.Done():
		created.Close()
		return nil, fmt.Errorf("waiting for the server's settings: %w", context.Cause(ctx))
	}
}

// socket returns the socket of a connection whose bytes go to it as they are, so not of one with TLS.
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

// breakOff ends the connection from this side.
func (c *Conn) abort(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver(c.machine.Abort(cause))
	c.wakeWriter()
}

// open opens a stream and sends as much of its request as is available and can be written without blocking.
func (c *Conn) open(request *Request, receiver eventReceiver) (id uint32, err error) {
	c.mu.Lock()
	id, err = c.machine.OpenStream(request)
	if err != nil {
		c.mu.Unlock()
		return 0, err
	}
	if c.machine.OpenStreams() == 1 {
		c.lastRead = time.Now() // silence counts from the first stream on
		c.scheduleSilenceCheck()
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
	offset := c.machine.OutputOffset()
	c.mu.Unlock()
	c.wakeWriter()
	c.awaitFlush(offset)
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

// View returns what Choose needs to know of the connection.
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

// Idle returns since when no stream has been open; false where one is.
func (c *Conn) Idle() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.machine.OpenStreams() == 0
}

// Retire has the connection take no more requests, and end with its last stream.
func (c *Conn) Retire() {
	c.mu.Lock()
	c.machine.Retire()
	c.isClosing = true
	c.mu.Unlock()
	c.wakeWriter()
}

// Close ends the connection and all streams on it.
func (c *Conn) Close() {
	c.abort(net.ErrClosed)
	c.conn.Close()
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }
