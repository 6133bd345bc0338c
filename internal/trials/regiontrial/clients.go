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
	"time"

	"lockflow/internal/testsupport/fake"
)

const (
	readTimeout = 4 * time.Second  // of a client whose wait a fault explains; longer than each class's deadline
	maxReadTime = 30 * time.Second // of any other client
	maxPause    = 16 * time.Millisecond
)

// Paths of requests.
const (
	pathVisits = "/visits" // gathered
	pathList   = "/list"   // gathered with the new settings
	pathWrite  = "/write"
)

// client sends requests to one node, one at a time over persistent connections, and retries none. It belongs
// to one goroutine.
type client struct {
	*run
	node, number int
	rng          *rand.Rand
	requestCount int
	conn         net.Conn // nil if it is not connected
	reader       *bufio.Reader
	connectedAt  time.Time // when the connection was requested
}

func (r *run) client(node, number int) *client {
	seed := rand.NewPCG(r.options.Script.Seed, uint64(node*1000+number))
	return &client{run: r, node: node, number: number, rng: rand.New(seed)}
}

// request is one request of a client.
type request struct {
	id, method, path string
	customer         string // "" has no hard limit
	bodyBytes        int64
	responseBytes    int64
}

// customers have hard limits over all regions. The clients' requests for each of them exceed these.
var customers = []string{"gold-1", "silver-1"}

func (c *client) drawRequest() request {
	c.requestCount++
	q := request{
		id:            fmt.Sprintf("n%d-c%d-%d", c.node, c.number, c.requestCount),
		method:        http.MethodGet,
		path:          pathVisits,
		responseBytes: int64(c.rng.IntN(3000)),
	}
	switch n := c.rng.IntN(10); {
	case n < 3:
		q.method = http.MethodPost
		q.path = pathWrite
		q.bodyBytes = int64(c.rng.IntN(2000))
	case n < 5:
		q.method = http.MethodPost
		q.path = pathWrite
		q.customer = customers[n-3]
	case n < 7:
		q.path = pathList
	}
	return q
}

// sendUntilDone sends requests until ctx ends.
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

// patientReader reads from the node until a deadline, or until a fault explains that nothing arrives.
type patientReader struct {
	*client
	deadline time.Time
}

func (p *patientReader) Read(b []byte) (int, error) {
	for {
		p.conn.SetReadDeadline(time.Now().Add(readTimeout))
		n, err := p.conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if p.fixture.isExcused(p.node, p.connectedAt) || time.Now().After(p.deadline) {
			return n, err
		}
	}
}

// send sends a request, checks and records its outcome, and returns the status; 0 is none.
func (c *client) send(q request) int {
	c.exchanges.Requested(q.id)
	startedAt := time.Now()
	response, body, err := c.exchange(q) //nolint:bodyclose // exchange reads it to its end
	if err != nil {
		c.disconnect()
		prefix := unexplainedPrefix + ": "
		if c.fixture.isExcused(c.node, c.connectedAt) {
			prefix = ""
		}
		c.exchanges.Broken(q.id, fmt.Sprintf("%s%s %s after %v, on a connection of %v: %v", prefix, q.method, q.path,
			time.Since(startedAt).Round(time.Millisecond), time.Since(c.connectedAt).Round(time.Millisecond), err))
		return 0
	}
	c.exchanges.Answered(q.id, strconv.Itoa(response.StatusCode))
	c.checkResponse(q, response, body)
	if response.Close {
		c.disconnect()
	}
	return response.StatusCode
}

// exchange sends a request and reads its complete response.
func (c *client) exchange(q request) (response *http.Response, body string, err error) {
	if c.conn != nil && c.reader.Buffered() > 0 {
		c.exchanges.Wrong("%s: %d bytes came behind an answer, before request %s", memberName(c.node), c.reader.Buffered(), q.id)
		c.disconnect()
	}
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return nil, "", err
		}
	}
	deadline := time.Now().Add(maxReadTime)
	c.reader = bufio.NewReader(&patientReader{c, deadline})
	c.conn.SetWriteDeadline(deadline)
	if err := q.write(c.conn); err != nil {
		return nil, "", err
	}
	if response, err = http.ReadResponse(c.reader, &http.Request{Method: q.method}); err != nil {
		return nil, "", err
	}
	raw, err := io.ReadAll(response.Body)
	return response, string(raw), err
}

func (c *client) connect() (err error) {
	c.connectedAt = time.Now()
	dialer := net.Dialer{Timeout: maxReadTime}
	c.conn, err = dialer.DialContext(context.Background(), "tcp", c.fixture.clientLink(c.node).Addr())
	return err
}

// write writes a request in HTTP/1.1.
func (q *request) write(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "%s %s?n=%d HTTP/1.1\r\nHost: trial.example\r\n%s: %s\r\n", q.method, q.path, q.responseBytes, headerID, q.id)
	if q.customer != "" {
		fmt.Fprintf(out, "%s: %s\r\n", headerCustomer, q.customer)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(out, "Content-Length: %d\r\n", q.bodyBytes)
	}
	out.WriteString("\r\n")
	_, _ = io.Copy(out, fake.PatternReader(q.bodyBytes)) // Flush returns its error
	return out.Flush()
}
