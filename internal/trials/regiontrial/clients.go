package regiontrial

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"lockflow/internal/testsupport/fake"
)

const (
	readTimeout = 4 * time.Second  // of a client that a fault explains; beyond each class's deadline
	maxReadTime = 30 * time.Second // of one that none does
	maxPause    = 16 * time.Millisecond
)

// client sends requests to one node over connections that it keeps, one at a time, and repeats none.
type client struct {
	*run
	node, number int
	rng          *rand.Rand
	requestCount int
	conn         net.Conn
	reader       *bufio.Reader
	connectedAt  time.Time // when the connection was asked for
}

func (r *run) client(node, n int) *client {
	return &client{run: r, node: node, number: n, rng: rand.New(rand.NewPCG(r.options.Script.Seed, uint64(node*1000+n)))}
}

// request is one thing that a client wants.
type request struct {
	id, method, path, customer string
	bodyBytes, responseBytes   int64
}

// customers have ceilings over all regions; every client asks for each of them, beyond what they may.
var customers = []string{"gold-1", "silver-1"}

func (c *client) drawRequest() request {
	c.requestCount++
	q := request{id: fmt.Sprintf("n%d-c%d-%d", c.node, c.number, c.requestCount), method: http.MethodGet, path: "/visits", responseBytes: int64(c.rng.IntN(3000))}
	switch n := c.rng.IntN(10); {
	case n < 3:
		q.method, q.path, q.bodyBytes = http.MethodPost, "/write", int64(c.rng.IntN(2000))
	case n < 5:
		q.method, q.path, q.customer = http.MethodPost, "/write", customers[n-3]
	case n < 7:
		q.path = "/list"
	}
	return q
}

// sendUntilDone sends until ctx ends.
func (c *client) sendUntilDone(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		c.send(c.drawRequest())
		select {
		case <-time.After(time.Duration(c.rng.Int64N(int64(maxPause)))):
		case <-ctx.Done():
		}
	}
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// patientReader reads from the node as long as a client waits.
type patientReader struct {
	*client
	deadline time.Time
}

func (w *patientReader) Read(b []byte) (int, error) {
	for {
		w.conn.SetReadDeadline(time.Now().Add(readTimeout))
		n, err := w.conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || w.fixture.isExcused(w.node, w.connectedAt) || time.Now().After(w.deadline) {
			return n, err
		}
	}
}

// send sends a request, notes what came of it, and gives the status; 0 is none.
func (c *client) send(q request) int {
	c.exchanges.Requested(q.id)
	begun := time.Now()
	resp, body, err := c.exchange(q) //nolint:bodyclose // exchange reads it to its end
	if err != nil {
		c.disconnect()
		why := "unexplained: "
		if c.fixture.isExcused(c.node, c.connectedAt) {
			why = ""
		}
		c.exchanges.Broken(q.id, fmt.Sprintf("%s%s %s after %v, on a connection of %v: %v", why, q.method, q.path, time.Since(begun).Round(time.Millisecond),
			time.Since(c.connectedAt).Round(time.Millisecond), err))
		return 0
	}
	c.exchanges.Answered(q.id, strconv.Itoa(resp.StatusCode))
	c.checkResponse(c.node, q, resp, body, c.fixture.isExcused(c.node, c.connectedAt))
	if resp.Close {
		c.disconnect()
	}
	return resp.StatusCode
}

func (c *client) exchange(q request) (resp *http.Response, body string, err error) {
	if c.conn != nil && c.reader.Buffered() > 0 {
		c.exchanges.Wrong("%s: %d bytes came behind an answer, before request %s", memberName(c.node), c.reader.Buffered(), q.id)
		c.disconnect()
	}
	if c.conn == nil {
		c.connectedAt = time.Now()
		if c.conn, err = (&net.Dialer{Timeout: maxReadTime}).DialContext(context.Background(), "tcp", c.fixture.clientLink(c.node).Addr()); err != nil {
			return nil, "", err
		}
	}
	c.reader = bufio.NewReader(&patientReader{c, time.Now().Add(maxReadTime)})
	c.conn.SetWriteDeadline(time.Now().Add(maxReadTime))
	out := bufio.NewWriter(c.conn)
	fmt.Fprintf(out, "%s %s?n=%d HTTP/1.1\r\nHost: trial.example\r\n%s: %s\r\n", q.method, q.path, q.responseBytes, fieldID, q.id)
	if q.customer != "" {
		fmt.Fprintf(out, "%s: %s\r\n", fieldCustomer, q.customer)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(out, "Content-Length: %d\r\n", q.bodyBytes)
	}
	out.WriteString("\r\n")
	_, _ = io.Copy(out, fake.PatternReader(q.bodyBytes)) // Flush tells
	if err := out.Flush(); err != nil {
		return nil, "", err
	}
	if resp, err = http.ReadResponse(c.reader, &http.Request{Method: q.method}); err != nil {
		return nil, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp, string(raw), err
}

// checkResponse holds a final answer to what may be answered. excused tells that a fault on the client's side may
// have broken the request off.
func (r *run) checkResponse(node int, q request, resp *http.Response, body string, excused bool) {
	r.mu.Lock()
	r.statusCounts[resp.StatusCode]++
	r.mu.Unlock()
	region := regionNames[node/r.options.NodesPerRegion]
	parts, missing := resp.Header.Get("Lockflow-Parts"), resp.Header.Get("Lockflow-Missing")
	switch resp.StatusCode {
	case http.StatusOK:
		if parts != "" {
			r.mu.Lock()
			if r.gatherResults++; missing != "" {
				r.partialResults++
			}
			r.mu.Unlock()
			if err := CheckGatherResult(region, q.id, parts, missing, body); err != nil || q.path == "/write" {
				r.exchanges.Wrong("request %s for %s: %v", q.id, q.path, err)
			}
			return
		}
		if q.path == "/visits" {
			r.exchanges.Wrong("request %s: a gathered answer that claims nothing: %.80q", q.id, body)
			return
		}
		if _, ran := r.effects.Load(q.id); q.path == "/write" && !ran {
			r.exchanges.Wrong("request %s: answered 200, and no server has had it", q.id)
		}
		var want strings.Builder
		_, _ = io.Copy(&want, fake.PatternReader(q.responseBytes))
		if got := resp.Header.Get(fieldID); got != q.id || body != want.String() {
			r.exchanges.Wrong("request %s: an answer to %q of %d bytes instead of %d, or with others in it", q.id, got, len(body), q.responseBytes)
		}
	case 502, 503, 504, 429:
	case 400, 408:
		if !excused {
			r.exchanges.Wrong("request %s: answered %d, and it came whole", q.id, resp.StatusCode)
		}
	case http.StatusInternalServerError:
		if !r.isHarmRunning.Load() || q.path != "/write" {
			r.exchanges.Wrong("request %s: answered 500, which no server has said", q.id)
		}
		r.mu.Lock()
		r.failedByHarm++
		r.mu.Unlock()
	default:
		r.exchanges.Wrong("request %s: answered %d by %s", q.id, resp.StatusCode, memberName(node))
	}
}
