package trial

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/trials/faultnet/traffic"
)

const (
	faultReadTimeout       = 3 * time.Second  // of connections that a fault may have affected; above each class's deadline
	maxReadTimeout         = 20 * time.Second // of all other connections
	maxThinkTime           = 10 * time.Millisecond
	maxBufferedAnswerBytes = 64 << 10 // the node buffers answers up to this size, so that a client gets them complete or not at all
)

// client sends requests to one node over persistent connections, one at a time, without retries.
type client struct {
	*run
	node, number int
	rng          *rand.Rand
	requestCount int
	conn         traffic.Conn
	lastOutcome  string // of the latest request, for error messages
}

func (r *run) client(node, n int) *client {
	c := &client{run: r, node: node, number: n, rng: rand.New(rand.NewPCG(r.options.Script.Seed, uint64(node*1000+n)))}
	c.conn = traffic.Conn{
		Addr:            func() string { return r.clientAddr(node) },
		FaultTimeout:    faultReadTimeout,
		MaxTimeout:      maxReadTimeout,
		IsFaultPossible: func(dialedAt time.Time) bool { return r.isClientFaultPossible(node, dialedAt) },
	}
	return c
}

// request is one request of a client.
type request struct {
	id, method, path, key string
	body, answer          int64
}

func (c *client) drawRequest() request {
	c.requestCount++
	q := request{id: fmt.Sprintf("n%d-c%d-%d", c.node, c.number, c.requestCount), method: http.MethodGet, path: "/read", answer: int64(c.rng.IntN(2000))}
	switch c.rng.IntN(10) {
	case 0, 1, 2, 3:
		q.method, q.path, q.body = http.MethodPost, "/write", int64(c.rng.IntN(2000))
	case 4, 5:
		q.method, q.path, q.key, q.body = http.MethodPost, "/keyed", q.id, int64(c.rng.IntN(2000))
	case 6:
		q.answer = int64(c.rng.IntN(maxBufferedAnswerBytes / 2))
	case 7:
		q.answer = 2*maxBufferedAnswerBytes + int64(c.rng.IntN(maxBufferedAnswerBytes))
	}
	return q
}

// sendRequests sends requests until ctx ends.
func (c *client) sendRequests(ctx context.Context) {
	defer c.conn.Close()
	for ctx.Err() == nil {
		c.send(c.drawRequest())
		select {
		case <-time.After(time.Duration(c.rng.Int64N(int64(maxThinkTime)))):
		case <-ctx.Done():
		}
	}
}

// send sends a request and records its outcome. It returns the server that served it, or "".
func (c *client) send(q request) string {
	c.exchanges.Requested(q.id)
	sent := time.Now()
	status, server, err := c.exchange(q)
	c.lastOutcome = fmt.Sprintf("%s %s: %d in %v, %v", q.id, q.path, status, time.Since(sent).Round(time.Millisecond), err)
	if err == nil {
		c.exchanges.Answered(q.id, strconv.Itoa(status))
		c.checkAnswer(c.node, q, status, c.isClientFaultPossible(c.node, c.conn.DialedAt()))
		return server
	}
	c.conn.Close()
	reason := "unexplained: "
	switch {
	case c.isClientFaultPossible(c.node, c.conn.DialedAt()):
		reason = ""
	case errors.Is(err, errShort) && q.answer > maxBufferedAnswerBytes && c.isUpstreamFaultPossible(c.node, c.conn.DialedAt()):
		reason = ""
	}
	c.exchanges.Broken(q.id, fmt.Sprintf("%s%s of %d bytes, answer of %d, after %v on a connection of %v: %v", reason, q.method, q.body, q.answer,
		time.Since(sent).Round(time.Millisecond), time.Since(c.conn.DialedAt()).Round(time.Millisecond), err))
	return ""
}

// errShort is returned for an answer with an incomplete body.
var errShort = errors.New("incomplete answer")

// exchange sends a request and checks the content of its answer.
func (c *client) exchange(q request) (status int, server string, err error) {
	if unread := c.conn.Unread(); unread > 0 {
		c.exchanges.Wrong("node %d: %d bytes came behind an answer, before request %s", c.node, unread, q.id)
		c.conn.Close()
	}
	resp, err := c.conn.Send(traffic.Request{ //nolint:bodyclose // it is read to its end from a connection of our own
		ID: q.id, Method: q.method, Path: q.path, Header: [2]string{fieldKey, q.key}, Body: q.body, Answer: q.answer,
	})
	if err != nil {
		return 0, "", err
	}
	sum := crc32.NewIEEE()
	n, err := io.Copy(sum, resp.Body)
	if err != nil {
		return 0, "", fmt.Errorf("%w: %d bytes: %w", errShort, n, err)
	}
	if resp.StatusCode == http.StatusOK {
		expected := crc32.NewIEEE()
		_, _ = io.Copy(expected, fake.PatternReader(q.answer))
		if got := resp.Header.Get(traffic.IDField); got != q.id || n != q.answer || sum.Sum32() != expected.Sum32() {
			c.exchanges.Wrong("request %s: an answer to %q of %d bytes instead of %d, or with others in it", q.id, got, n, q.answer)
		}
	}
	if resp.Close {
		c.conn.Close()
	}
	return resp.StatusCode, resp.Header.Get(fieldServer), nil
}
