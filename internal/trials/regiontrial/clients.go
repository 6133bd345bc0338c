package regiontrial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/trials/faultnet/traffic"
)

const (
	excusedReadTimeout = 4 * time.Second  // read timeout of a client that a fault may have affected; longer than the deadline of each class
	maxReadTimeout     = 30 * time.Second // read timeout of other clients
	maxPause           = 16 * time.Millisecond
)

// client sends requests to one node, one at a time over persistent connections, and does not retry them.
type client struct {
	*run
	node, number int
	rng          *rand.Rand
	requestCount int
	conn         traffic.Conn
}

func (r *run) client(node, n int) *client {
	c := &client{run: r, node: node, number: n, rng: rand.New(rand.NewPCG(r.options.Script.Seed, uint64(node*1000+n)))}
	c.conn = traffic.Conn{
		Addr:            func() string { return r.fixture.client(node).Addr() },
		FaultTimeout:    excusedReadTimeout,
		MaxTimeout:      maxReadTimeout,
		IsFaultPossible: func(dialedAt time.Time) bool { return r.fixture.isClientFaultPossible(node, dialedAt) },
	}
	return c
}

// request is one request of a client.
type request struct {
	id, method, path, customer string
	body, answer               int64
}

// customers are the customers with hard limits, which hold over all regions. Every client sends requests for each of them,
// so that together they exceed the limits.
var customers = []string{"gold-1", "silver-1"}

func (c *client) drawRequest() request {
	c.requestCount++
	q := request{id: fmt.Sprintf("n%d-c%d-%d", c.node, c.number, c.requestCount), method: http.MethodGet, path: "/visits", answer: int64(c.rng.IntN(3000))}
	switch n := c.rng.IntN(10); {
	case n < 3:
		q.method, q.path, q.body = http.MethodPost, "/write", int64(c.rng.IntN(2000))
	case n < 5:
		q.method, q.path, q.customer = http.MethodPost, "/write", customers[n-3]
	case n < 7:
		q.path = "/list"
	}
	return q
}

// sendUntilDone sends random requests until ctx ends.
func (c *client) sendUntilDone(ctx context.Context) {
	defer c.conn.Close()
	for ctx.Err() == nil {
		c.send(c.drawRequest())
		select {
		case <-time.After(time.Duration(c.rng.Int64N(int64(maxPause)))):
		case <-ctx.Done():
		}
	}
}

// send sends a request, records its outcome, and returns the status of the answer, or 0 if there was none.
func (c *client) send(q request) int {
	c.exchanges.Requested(q.id)
	started := time.Now()
	resp, body, err := c.exchange(q) //nolint:bodyclose // exchange reads the body to its end
	if err != nil {
		c.conn.Close()
		prefix := "unexplained: "
		if c.fixture.isClientFaultPossible(c.node, c.conn.DialedAt()) {
			prefix = ""
		}
		c.exchanges.Broken(q.id, fmt.Sprintf("%s%s %s failed after %v, on a connection dialed %v before: %v", prefix, q.method, q.path, time.Since(started).Round(time.Millisecond),
			time.Since(c.conn.DialedAt()).Round(time.Millisecond), err))
		return 0
	}
	c.exchanges.Answered(q.id, strconv.Itoa(resp.StatusCode))
	c.checkAnswer(c.node, q, resp, body, c.fixture.isClientFaultPossible(c.node, c.conn.DialedAt()))
	if resp.Close {
		c.conn.Close()
	}
	return resp.StatusCode
}

// exchange sends a request and reads its answer.
func (c *client) exchange(q request) (resp *http.Response, body string, err error) {
	if unread := c.conn.Unread(); unread > 0 {
		c.exchanges.Wrong("%s: %d unexpected bytes after an answer, before request %s", memberName(c.node), unread, q.id)
		c.conn.Close()
	}
	resp, err = c.conn.Send(traffic.Request{
		ID: q.id, Method: q.method, Path: q.path, Header: [2]string{fieldCustomer, q.customer}, Body: q.body, Answer: q.answer,
	})
	if err != nil {
		return nil, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp, string(raw), err
}

// checkAnswer checks a final answer. isFaultPossible reports whether a fault of the client's link or of the node may have
// interrupted the request.
func (r *run) checkAnswer(node int, q request, resp *http.Response, body string, isFaultPossible bool) {
	r.mu.Lock()
	r.status[resp.StatusCode]++
	r.mu.Unlock()
	region := regionNames[node/r.options.NodesPerRegion]
	parts, missing := resp.Header.Get("Lockflow-Parts"), resp.Header.Get("Lockflow-Missing")
	switch resp.StatusCode {
	case http.StatusOK:
		if parts != "" {
			r.mu.Lock()
			if r.gathered++; missing != "" {
				r.partial++
			}
			r.mu.Unlock()
			if err := CheckParts(region, q.id, parts, missing, body); err != nil || q.path == "/write" {
				r.exchanges.Wrong("request %s for %s: %v", q.id, q.path, err)
			}
			return
		}
		if q.path == "/visits" {
			r.exchanges.Wrong("request %s: gathered answer without the header of its parts: %.80q", q.id, body)
			return
		}
		if _, ran := r.effects.Load(q.id); q.path == "/write" && !ran {
			r.exchanges.Wrong("request %s: answered with status 200, but no app server ran it", q.id)
		}
		var want strings.Builder
		_, _ = io.Copy(&want, fake.PatternReader(q.answer))
		if got := resp.Header.Get(traffic.IDField); got != q.id || body != want.String() {
			r.exchanges.Wrong("request %s: answer is for request %q and has %d bytes, want %d, or its bytes are wrong", q.id, got, len(body), q.answer)
		}
	case 502, 503, 504, 429:
	case 400, 408:
		if !isFaultPossible {
			r.exchanges.Wrong("request %s: answered with status %d, although it was sent completely", q.id, resp.StatusCode)
		}
	case http.StatusInternalServerError:
		if !r.isHarmfulChangeActive.Load() || q.path != "/write" {
			r.exchanges.Wrong("request %s: answered with status 500, which no server sent", q.id)
		}
		r.mu.Lock()
		r.harmed++
		r.mu.Unlock()
	default:
		r.exchanges.Wrong("request %s: unexpected status %d from %s", q.id, resp.StatusCode, memberName(node))
	}
}
