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
	// floodDescriptors is a node's descriptor limit under a flood. It leaves six descriptors for client connections and six
	// for connections to app servers.
	floodDescriptors = limits.MinDescriptors + 10

	maxConnTime      = 1500 * time.Millisecond // longest time for which a flood client keeps a connection
	slowReadInterval = 20 * time.Millisecond   // pause before each read of a slow reader
	slowReadBytes    = 64                      // most bytes of one read of a slow reader
	pipelineLength   = 4                       // requests that a pipelining client sends in one write
	smallSegment     = 536                     // maximum TCP segment size of a slow reader, in bytes
)

// floodBehaviour is what a flood client does with a connection.
type floodBehaviour int

// The behaviours of flood clients. A node can't free the descriptors of clients that send incomplete requests or read
// slowly, so a flood has fewer of these clients than a node has descriptors for clients.
const (
	keepingOpen       floodBehaviour = iota // sends one request and the beginning of another, and keeps the connection open
	silent                                  // sends nothing, and keeps the connection open
	closingEarly                            // sends a request and closes the connection early
	pipelining                              // sends several requests in one write
	sendingIncomplete                       // sends an incomplete request
	readingSlowly                           // reads its answer slowly
	floodBehaviourCount
)

// floodClient is one client of a flood, which opens one connection after another. It is not safe for concurrent use.
type floodClient struct {
	*client
	behaviour floodBehaviour
}

// newFloodClient creates a flood client, whose number in the flood determines its behaviour.
func newFloodClient(p *play, n *node, number int) *floodClient {
	c := newClient(p, n, p.Clients+number)
	c.rng = rand.New(rand.NewPCG(p.Seed, uint64(500_000+n.index*1000+number)))
	return &floodClient{c, floodBehaviour(number % int(floodBehaviourCount))}
}

// run opens connections and uses them until ctx ends.
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

// useConn uses a new connection according to the client's behaviour.
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

// drawConnTime returns the random time for which a connection is kept open.
func (c *floodClient) drawConnTime() time.Duration {
	return time.Duration(c.rng.Int64N(int64(maxConnTime)))
}

// keepOpen sends a request and the beginning of another one, and keeps the connection open after the answer to the first.
func (c *floodClient) keepOpen(ctx context.Context) {
	r, text := c.draw()
	conn := c.conn
	c.conn = unclosedConn{conn}
	c.exchange(r, append(text, "GET /read?account"...))
	sleep(ctx, c.drawConnTime())
	conn.Close()
}

// unclosedConn is a connection whose Close does nothing; its owner closes the embedded one.
type unclosedConn struct{ net.Conn }

// Close does nothing.
func (unclosedConn) Close() error { return nil }

// pipeline sends several requests in one write and reads the answers. Only the first request must get an answer, because
// clients are required to send one request at a time.
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
		_, _ = io.Copy(io.Discard, c.reader) // answers to the further requests are optional
	}
}

// readSlowly sends a request over a connection with the smallest receive buffer and reads the answer in small pieces, so
// that the node's writes may block.
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
	_, _ = io.Copy(io.Discard, response.Body) // the node need not wait for a slow reader, so an incomplete answer is no violation
}

// slowReader is a connection whose Read pauses and then returns a few bytes.
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
