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
	patience     = 3 * time.Second  // of a client that a fault explains; beyond each class's deadline
	patienceMost = 20 * time.Second // of one that none does
	pauseMost    = 10 * time.Millisecond
	heldWhole    = 64 << 10 // an answer up to this size the node holds; it is a whole one or none
)

// client sends requests to one node over connections that it keeps, one at a time, and repeats
// none.
type client struct {
	*run
	node, number int
	rng          *rand.Rand
	made         int
	conn         net.Conn
	in           *bufio.Reader
	since        time.Time // when the connection was asked for
	last         string    // how the last request ended
}

// waiting reads from the node as long as a client waits.
type waiting struct {
	*client
	until time.Time
}

func (w *waiting) Read(b []byte) (int, error) {
	for {
		w.conn.SetReadDeadline(time.Now().Add(patience))
		n, err := w.conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || w.excused(w.node, w.since) || time.Now().After(w.until) {
			return n, err
		}
	}
}

// request is one thing that a client wants.
type request struct {
	id, method, path, key string
	body, answer          int64
}

func (c *client) draw() request {
	c.made++
	q := request{id: fmt.Sprintf("n%d-c%d-%d", c.node, c.number, c.made), method: http.MethodGet, path: "/read", answer: int64(c.rng.IntN(2000))}
	switch c.rng.IntN(10) {
	case 0, 1, 2, 3:
		q.method, q.path, q.body = http.MethodPost, "/write", int64(c.rng.IntN(2000))
	case 4, 5:
		q.method, q.path, q.key, q.body = http.MethodPost, "/keyed", q.id, int64(c.rng.IntN(2000))
	case 6:
		q.answer = int64(c.rng.IntN(heldWhole / 2))
	case 7:
		q.answer = 2*heldWhole + int64(c.rng.IntN(heldWhole))
	}
	return q
}

// work sends until ctx ends.
func (c *client) work(ctx context.Context) {
	defer c.leave()
	for ctx.Err() == nil {
		c.once(c.draw())
		select {
		case <-time.After(time.Duration(c.rng.Int64N(int64(pauseMost)))):
		case <-ctx.Done():
		}
	}
}

func (c *client) leave() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// once sends a request and notes what came of it; it gives the server that answered well, or "".
func (c *client) once(q request) string {
	c.notes.Requested(q.id)
	sent := time.Now()
	status, server, err := c.exchange(q)
	c.last = fmt.Sprintf("%s %s: %d in %v, %v", q.id, q.path, status, time.Since(sent).Round(time.Millisecond), err)
	if err == nil {
		c.notes.Answered(q.id, strconv.Itoa(status))
		c.answered(c.node, q, status, c.excused(c.node, c.since))
		return server
	}
	c.leave()
	why := "unexplained: "
	switch {
	case c.excused(c.node, c.since):
		why = ""
	case errors.Is(err, errShort) && q.answer > heldWhole && c.beyond(c.node, c.since):
		why = ""
	}
	c.notes.Broken(q.id, fmt.Sprintf("%s%s of %d bytes, answer of %d, after %v on a connection of %v: %v", why, q.method, q.body, q.answer,
		time.Since(sent).Round(time.Millisecond), time.Since(c.since).Round(time.Millisecond), err))
	return ""
}

// errShort is of an answer whose head came and whose body did not come whole.
var errShort = errors.New("the answer is short")

func (c *client) exchange(q request) (status int, server string, err error) {
	if c.conn != nil && c.in.Buffered() > 0 {
		c.notes.Wrong("node %d: %d bytes came behind an answer, before request %s", c.node, c.in.Buffered(), q.id)
		c.leave()
	}
	if c.conn == nil {
		c.since = time.Now()
		if c.conn, err = (&net.Dialer{Timeout: patienceMost}).DialContext(context.Background(), "tcp", c.front(c.node)); err != nil {
			return 0, "", err
		}
	}
	c.in = bufio.NewReader(&waiting{c, time.Now().Add(patienceMost)})
	c.conn.SetWriteDeadline(time.Now().Add(patienceMost))
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
		c.leave()
	}
	return resp.StatusCode, resp.Header.Get(fieldServer), nil
}
