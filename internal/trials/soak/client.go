package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	maxPause                 = 30 * time.Millisecond   // longest usual pause between two requests of a client
	maxLongPause             = 600 * time.Millisecond  // longest of the pauses that are taken occasionally instead
	incompleteRequestTimeout = 3 * time.Second         // time in which a node has to end an incomplete request
	answerWait               = lateSlack + time.Second // time after the deadline for which a client waits for an answer
)

// client sends requests to one node, one at a time, over a persistent connection. It is not safe for concurrent use.
type client struct {
	play         *play
	node         *node
	number       int
	rng          *rand.Rand
	requestCount int // number of requests drawn so far

	conn       net.Conn      // nil if there is no connection
	reader     *bufio.Reader // of conn
	openedAt   time.Time     // of conn
	sentOnConn int           // number of requests sent on conn
}

func newClient(p *play, n *node, number int) *client {
	return &client{play: p, node: n, number: number, rng: rand.New(rand.NewPCG(p.Seed, uint64(1000+n.index*100+number)))}
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		switch n := c.rng.IntN(100); {
		case n < 2:
			c.sendIncomplete()
		case n < 8:
			c.closeEarly()
		default:
			c.request()
		}
		pause := time.Duration(c.rng.Int64N(int64(maxPause)))
		if c.rng.IntN(20) == 0 {
			pause = time.Duration(c.rng.Int64N(int64(maxLongPause)))
		}
		sleep(ctx, pause)
	}
}

// disconnect closes the connection if there is one.
func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// draw generates a random request and returns it with its bytes on the wire.
func (c *client) draw() (*request, []byte) {
	c.requestCount++
	r := &request{
		id:       fmt.Sprintf("%s-c%d-%d", c.node.name, c.number, c.requestCount),
		node:     c.node.name,
		class:    classes[c.rng.IntN(len(classes))],
		isCapped: c.rng.IntN(8) == 0,
	}
	plan := "open"
	account := fmt.Sprintf("%016x", c.number+1)
	if r.isCapped {
		plan = "capped"
		account = fmt.Sprintf("%016x", cappedAccount)
	}
	method := http.MethodGet
	length := 0
	if r.class.effect != "free" {
		method = http.MethodPost
		length = c.rng.IntN(maxSmallBody)
		if c.rng.IntN(20) == 0 {
			length = c.rng.IntN(maxLargeBody)
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s /%s?account=%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Tariff: %s\r\nX-Time-Left: %dm\r\n",
		method, r.class.name, account, r.id, plan, r.class.deadline.Milliseconds())
	fmt.Fprintf(&text, "X-Weight: units=1,spread=%d,first=0\r\n", c.play.Nodes)
	if r.class.effect == "guarded" {
		fmt.Fprintf(&text, "Idempotency-Key: k-%s\r\n", r.id)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", length)
	}
	text.WriteString("\r\n" + strings.Repeat("b", length))
	return r, []byte(text.String())
}

// Parameters of the generated requests.
const (
	cappedAccount = 999 // the account that all requests of the capped plan share
	maxSmallBody  = 300 // bytes
	maxLargeBody  = 60 << 10
)

// connect opens a connection if there is none, and reports whether there is one. It returns false while the node is
// down, and once the node has been shutting down for longer than clients open new connections to it.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	if !c.node.allowsConnections() {
		return false
	}
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", c.node.address)
	if err != nil {
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	c.openedAt = time.Now()
	c.sentOnConn = 0
	return true
}

// request sends a request and waits for its answer. If a reused connection is closed without an answer, the request is
// sent a second time on a new connection.
func (c *client) request() {
	r, text := c.draw()
	for range 2 {
		if !c.connect() {
			return
		}
		if c.exchange(r, text) {
			return
		}
		c.play.journal.countResend()
	}
}

// exchange sends a request on the connection and reads the answer. It returns false if the request has to be sent a
// second time.
func (c *client) exchange(r *request, text []byte) (done bool) {
	started := time.Now()
	isFirst := c.sentOnConn == 0
	c.sentOnConn++
	c.play.journal.recordSending(r)
	if err := c.write(r, text); err != nil {
		c.disconnect()
		return c.judgeUnanswered(r, started, isFirst, err)
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(r.class.deadline + answerWait + c.play.journal.slack))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.disconnect()
		return c.judgeUnanswered(r, started, isFirst, err)
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		c.disconnect()
		c.play.journal.recordUnanswered(r, c.node.excuse(started, time.Now()), fmt.Sprintf("answer with status %d is truncated after %d bytes of the body: %v", response.StatusCode, len(body), err))
		return true
	}
	c.play.journal.recordAnswer(r, response.StatusCode, string(body), c.node.excuse(started, time.Now()), time.Now())
	if response.Close {
		c.disconnect()
	}
	return true
}

// write writes a request. It occasionally pauses at a random position of the request.
func (c *client) write(r *request, text []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if c.rng.IntN(20) == 0 {
		at := c.rng.IntN(len(text))
		if _, err := c.conn.Write(text[:at]); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(100 * time.Millisecond))))
		text = text[at:]
	}
	if _, err := c.conn.Write(text); err != nil {
		return err
	}
	c.play.journal.recordSent(r, time.Now())
	return nil
}

// judgeUnanswered records the outcome of a request whose connection failed or timed out before a complete answer head.
// It returns false if the request has to be sent a second time: the node had closed a reused connection before it read
// the request.
func (c *client) judgeUnanswered(r *request, started time.Time, isFirst bool, err error) (done bool) {
	j := c.play.journal
	now := time.Now()
	excuse := c.node.excuse(started, now)
	isSentOnNewConn := isFirst && !r.sentAt.IsZero()
	if !isTimeout(err) && !j.wasForwarded(r) && !isSentOnNewConn {
		return excuse != "" // the node closed the idle connection while the request was in transit; an excused request is not sent a second time
	}
	j.recordUnanswered(r, excuse, fmt.Sprintf("%v after %v, first request of its connection: %v (opened %v before it)",
		err, now.Sub(started).Round(time.Millisecond), isFirst, started.Sub(c.openedAt).Round(time.Millisecond)))
	return true
}

// isTimeout reports whether an error is a network timeout.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// closeEarly sends a request and closes the connection shortly after, without waiting for the answer.
func (c *client) closeEarly() {
	if !c.connect() {
		return
	}
	r, text := c.draw()
	c.play.journal.recordSending(r)
	if c.write(r, text) == nil {
		time.Sleep(time.Duration(c.rng.Int64N(int64(60 * time.Millisecond))))
	}
	c.play.journal.recordEarlyClose(r)
	c.disconnect()
}

// sendIncomplete sends an incomplete request and waits until the node closes the connection or answers.
func (c *client) sendIncomplete() {
	c.disconnect()
	if !c.connect() {
		return
	}
	defer c.disconnect()
	started := time.Now()
	r, text := c.draw()
	c.play.journal.recordSending(r)
	if _, err := c.conn.Write(text[:c.rng.IntN(len(text)-1)]); err != nil {
		return
	}
	_ = c.conn.SetReadDeadline(started.Add(incompleteRequestTimeout + c.play.journal.slack))
	_, err := c.conn.Read(make([]byte, 1))
	if isTimeout(err) && c.node.excuse(started, time.Now()) == "" {
		c.play.journal.addViolation("%s (%s): incomplete request: neither an answer nor a close of the connection after %v", r.id, r.node, time.Since(started))
	}
}
