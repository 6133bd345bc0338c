package trial

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/crc32"
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
	excusedReadTimeout     = 3 * time.Second  // explainedSide a client that a fault explains; beyond each class's deadline
	maxReadTimeout         = 20 * time.Second // explainedSide one that none does
	maxPause               = 10 * time.Millisecond
	maxBufferedAnswerBytes = 64 << 10 // an answer up to this size the node holds; it is a whole one or none
)

// client sends requests to one node over connections that it keeps, one at a time, and repeats
// none.
type client struct {
	*run
	node, number int
	rng          *rand.Rand
	requestCount int
	conn         net.Conn
	in           *bufio.Reader
	dialedAt     time.Time // when the connection was asked for
	lastOutcome  string    // how the last request ended
}

// patientReader reads from the node as long as a client waits.
type patientReader struct {
	*client
	until time.Time
}

func (w *patientReader) Read(b []byte) (int, error) {
	for {
		w.conn.SetReadDeadline(time.Now().Add(excusedReadTimeout))
		n, err := w.conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || w.isClientFaultPossible(w.node, w.dialedAt) || time.Now().After(w.until) {
			return n, err
		}
	}
}

// request is one thing that a client wants.
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

// work sends until ctx ends.
func (c *client) work(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.send(c.drawRequest())
		select {
		case <-time.After(time.Duration(c.rng.Int64N(int64(maxPause)))):
		case <-ctx.Done():
		}
	}
}

func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and notes what came of it; it gives the server that answered well, or "".
func (c *client) send(q request) string {
	c.notes.Requested(q.id)
	sent := time.Now()
	status, server, err := c.exchange(q)
	c.lastOutcome = fmt.Sprintf("%s %s: %d in %v, %v", q.id, q.path, status, time.Since(sent).Round(time.Millisecond), err)
	if err == nil {
		c.notes.Answered(q.id, strconv.Itoa(status))
		c.answered(c.node, q, status, c.isClientFaultPossible(c.node, c.dialedAt))
		return server
	}
	c.closeConn()
	why := "unexplained: "
	switch {
	case c.isClientFaultPossible(c.node, c.dialedAt):
		why = ""
	case errors.Is(err, errShort) && q.answer > maxBufferedAnswerBytes && c.isUpstreamFaultPossible(c.node, c.dialedAt):
		why = ""
	}
	c.notes.Broken(q.id, fmt.Sprintf("%s%s of %d bytes, answer of %d, after %v on a connection of %v: %v", why, q.method, q.body, q.answer,
		time.Since(sent).Round(time.Millisecond), time.Since(c.dialedAt).Round(time.Millisecond), err))
	return ""
}

// errShort is of an answer whose head came and whose body did not come whole.
var errShort = errors.New("the answer is short")

func (c *client) exchange(q request) (status int, server string, err error) {
	if c.conn != nil && c.in.Buffered() > 0 {
		c.notes.Wrong("node %d: %d bytes came behind an answer, before request %s", c.node, c.in.Buffered(), q.id)
		c.closeConn()
	}
	if c.conn == nil {
		c.dialedAt = time.Now()
		if c.conn, err = (&net.Dialer{Timeout: maxReadTimeout}).DialContext(context.Background(), "tcp", c.front(c.node)); err != nil {
			return 0, "", err
		}
	}
	c.in = bufio.NewReader(&patientReader{c, time.Now().Add(maxReadTimeout)})
	c.conn.SetWriteDeadline(time.Now().Add(maxReadTimeout))
	out := bufio.NewWriter(c.conn)
	fmt.Fprintf(out, "%s %s?n=%d HTTP/1.1\r\nHost: trial.example\r\n%s: %s\r\n", q.method, q.path, q.answer, fieldID, q.id)
	if q.key != "" {
		fmt.Fprintf(out, "%s: %s\r\n", fieldKey, q.key)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(out, "Content-Length: %d\r\n", q.body)
	}
	out.WriteString("\r\n")
	_, _ = io.Copy(out, fake.PatternReader(q.body)) // Flush tells
	if err := out.Flush(); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method}) //nolint:bodyclose // it is read to its end from a connection of our own
	if err != nil {
		return 0, "", err
	}
	sum := crc32.NewIEEE()
	n, err := io.Copy(sum, resp.Body)
	if err != nil {
		return 0, "", fmt.Errorf("%w: %d bytes: %w", errShort, n, err)
	}
	if resp.StatusCode == http.StatusOK {
		want := crc32.NewIEEE()
		_, _ = io.Copy(want, fake.PatternReader(q.answer))
		if got := resp.Header.Get(fieldID); got != q.id || n != q.answer || sum.Sum32() != want.Sum32() {
			c.notes.Wrong("request %s: an answer to %q of %d bytes instead of %d, or with others in it", q.id, got, n, q.answer)
		}
	}
	if resp.Close {
		c.closeConn()
	}
	return resp.StatusCode, resp.Header.Get(fieldServer), nil
}
