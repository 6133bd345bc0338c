package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/limits"
)

const (
	// floodDescriptors is a node's limit on descriptors under a flood: it leaves six to clients and six to app servers.
	floodDescriptors = limits.MinDescriptors + 10

	maxConnTime      = 1500 * time.Millisecond // for which a client of a flood keeps its connection at the longest
	slowReadInterval = 20 * time.Millisecond   // between two reads of a slow reader
	slowReadBytes    = 64                      // of one read of a slow reader
	pipelineLength   = 4                       // requests that are sent at once
	smallSegment     = 536                     // bytes of a slow reader's segments
)

// floodBehaviour is what a client of a flood does with a connection.
type floodBehaviour int

// The behaviours. Clients that keep a descriptor in spite of the node, half requests and slow readers, are fewer in a flood
// than a node has descriptors for clients.
const (
	keepingOpen       floodBehaviour = iota // begins another request behind its first one, and stays
	silent                                  // sends nothing, and stays
	closingEarly                            // sends a request and closes
	pipelining                              // sends several requests at once
	sendingIncomplete                       // stops in the middle of a request
	readingSlowly                           // reads its answer slowly
	floodBehaviourCount
)

// floodClient is one client of a flood: it connects again and again. Like client it is used by one goroutine.
type floodClient struct {
	*client
	behaviour floodBehaviour
}

// newFloodClient creates a client of a flood by its number in it.
func newFloodClient(p *play, n *node, number int) *floodClient {
	c := newClient(p, n, p.Clients+number)
	c.rng = rand.New(rand.NewPCG(p.Seed, uint64(500_000+n.index*1000+number)))
	return &floodClient{c, floodBehaviour(number % int(floodBehaviourCount))}
}

// run opens connections until ctx ends.
func (c *floodClient) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.connect() {
			c.play.journal.countFloodConnection()
			c.useConn(ctx)
			c.disconnect()
		}
		sleep(ctx, time.Duration(c.rng.Int64N(int64(maxPause))))
	}
}

// use behaves on a new connection.
func (c *floodClient) useConn(ctx context.Context) {
	switch c.behaviour {
	case keepingOpen:
		c.keepOpen(ctx)
	case silent:
		sleep(ctx, c.drawConnTime())
	case closingEarly:
		c.closeEarly()
	case pipelining:
		c.pipeline()
	case sendingIncomplete:
		c.sendIncomplete()
	case readingSlowly:
		c.readSlowly()
	}
}

// stay draws how long a connection is kept.
func (c *floodClient) drawConnTime() time.Duration {
	return time.Duration(c.rng.Int64N(int64(maxConnTime)))
}

// linger sends a request and the beginning of another one, and stays behind the answer.
func (c *floodClient) keepOpen(ctx context.Context) {
	r, text := c.draw()
	conn := c.conn
	c.conn = unclosedConn{conn}
	c.exchange(r, append(text, "GET /read?account"...))
	sleep(ctx, c.drawConnTime())
	conn.Close()
}

// unclosedConn is a connection that stays open until its owner closes the inner one.
type unclosedConn struct{ net.Conn }

// Close does nothing.
func (unclosedConn) Close() error { return nil }

// pipeline sends requests at once and reads what comes. Only the first one is owed an answer, as clients send one request
// at a time.
func (c *floodClient) pipeline() {
	first, text := c.draw()
	for range pipelineLength - 1 {
		next, nextText := c.draw()
		c.play.journal.recordSending(next)
		text = append(text, nextText...)
	}
	c.exchange(first, text)
	if c.conn != nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.drawConnTime()))
		_, _ = io.Copy(io.Discard, c.reader) // what follows is not owed
	}
}

// readSlowly asks for an answer that its socket can't hold, and reads it in small pieces.
func (c *floodClient) readSlowly() {
	c.disconnect()
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1) // as small as the system allows
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, smallSegment)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", c.node.address)
	if err != nil {
		return
	}
	defer conn.Close()
	r, text := c.draw()
	c.play.journal.recordSending(r)
	_ = conn.SetDeadline(time.Now().Add(maxConnTime))
	if _, err := conn.Write(text); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(slowReader{conn}, slowReadBytes), nil)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // whether it gets all of it in time is its own fault
}

// slowReader reads a few bytes at a time, with pauses.
type slowReader struct{ net.Conn }

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowReadInterval)
	return r.Conn.Read(p[:min(len(p), slowReadBytes)])
}

// String returns the behaviour's name.
func (b floodBehaviour) String() string {
	names := [floodBehaviourCount]string{"lingering", "silent", "leaving", "pipelining", "halting", "slow"}
	if b < 0 || b >= floodBehaviourCount {
		return fmt.Sprint(int(b))
	}
	return names[b]
}
