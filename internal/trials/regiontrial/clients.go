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
	patience     = 4 * time.Second  // of a client that a fault explains; beyond each class's deadline
	patienceMost = 30 * time.Second // of one that none does
	pauseMost    = 16 * time.Millisecond
)

// client sends requests to one node over connections that it keeps, one at a time, and repeats none.
type client struct {
	*run
	node, number int
	rng          *rand.Rand
	made         int
	conn         net.Conn
	in           *bufio.Reader
	since        time.Time // when the connection was asked for
}

func (r *run) client(node, n int) *client {
	return &client{run: r, node: node, number: n, rng: rand.New(rand.NewPCG(r.o.Script.Seed, uint64(node*1000+n)))}
}

// request is one thing that a client wants.
type request struct {
	id, method, path, customer string
	body, answer               int64
}

// customers have ceilings over all regions; every client asks for each of them, beyond what they may.
var customers = []string{"gold-1", "silver-1"}

func (c *client) draw() request {
	c.made++
	q := request{id: fmt.Sprintf("n%d-c%d-%d", c.node, c.number, c.made), method: http.MethodGet, path: "/visits", answer: int64(c.rng.IntN(3000))}
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

// waiting reads from the node as long as a client waits.
type waiting struct {
	*client
	until time.Time
}

func (w *waiting) Read(b []byte) (int, error) {
	for {
		w.conn.SetReadDeadline(time.Now().Add(patience))
		n, err := w.conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || w.ground.excused(w.node, w.since) || time.Now().After(w.until) {
			return n, err
		}
	}
}

// once sends a request, notes what came of it, and gives the status; 0 is none.
func (c *client) once(q request) int {
	c.notes.Requested(q.id)
	begun := time.Now()
	resp, body, err := c.exchange(q) //nolint:bodyclose // exchange reads it to its end
	if err != nil {
		c.leave()
		why := "unexplained: "
		if c.ground.excused(c.node, c.since) {
			why = ""
		}
		c.notes.Broken(q.id, fmt.Sprintf("%s%s %s after %v, on a connection of %v: %v", why, q.method, q.path, time.Since(begun).Round(time.Millisecond),
			time.Since(c.since).Round(time.Millisecond), err))
		return 0
	}
	c.notes.Answered(q.id, strconv.Itoa(resp.StatusCode))
	c.answered(c.node, q, resp, body, c.ground.excused(c.node, c.since))
	if resp.Close {
		c.leave()
	}
	return resp.StatusCode
}

func (c *client) exchange(q request) (resp *http.Response, body string, err error) {
	if c.conn != nil && c.in.Buffered() > 0 {
		c.notes.Wrong("%s: %d bytes came behind an answer, before request %s", member(c.node), c.in.Buffered(), q.id)
		c.leave()
	}
	if c.conn == nil {
		c.since = time.Now()
		if c.conn, err = (&net.Dialer{Timeout: patienceMost}).DialContext(context.Background(), "tcp", c.ground.client(c.node).Addr()); err != nil {
			return nil, "", err
		}
	}
	c.in = bufio.NewReader(&waiting{c, time.Now().Add(patienceMost)})
	c.conn.SetWriteDeadline(time.Now().Add(patienceMost))
	out := bufio.NewWriter(c.conn)
	fmt.Fprintf(out, "%s %s?n=%d HTTP/1.1\r\nHost: trial.example\r\n%s: %s\r\n", q.method, q.path, q.answer, fieldID, q.id)
	if q.customer != "" {
		fmt.Fprintf(out, "%s: %s\r\n", fieldCustomer, q.customer)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(out, "Content-Length: %d\r\n", q.body)
	}
	out.WriteString("\r\n")
	_, _ = io.Copy(out, fake.PatternReader(q.body)) // Flush tells
	if err := out.Flush(); err != nil {
		return nil, "", err
	}
	if resp, err = http.ReadResponse(c.in, &http.Request{Method: q.method}); err != nil {
		return nil, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp, string(raw), err
}

// answered holds a final answer to what may be answered. excused tells that a fault on the client's side may
// have broken the request off.
func (r *run) answered(node int, q request, resp *http.Response, body string, excused bool) {
	r.mu.Lock()
	r.status[resp.StatusCode]++
	r.mu.Unlock()
	region := regionNames[node/r.o.Each]
	parts, missing := resp.Header.Get("Lockflow-Parts"), resp.Header.Get("Lockflow-Missing")
	switch resp.StatusCode {
	case http.StatusOK:
		if parts != "" {
			r.mu.Lock()
			if r.gathered++; missing != "" {
				r.partial++
			}
			r.mu.Unlock()
			if err := Holds(region, q.id, parts, missing, body); err != nil || q.path == "/write" {
				r.notes.Wrong("request %s for %s: %v", q.id, q.path, err)
			}
			return
		}
		if q.path == "/visits" {
			r.notes.Wrong("request %s: a gathered answer that claims nothing: %.80q", q.id, body)
			return
		}
		if _, ran := r.ran.Load(q.id); q.path == "/write" && !ran {
			r.notes.Wrong("request %s: answered 200, and no server has had it", q.id)
		}
		var want strings.Builder
		_, _ = io.Copy(&want, fake.PatternReader(q.answer))
		if got := resp.Header.Get(fieldID); got != q.id || body != want.String() {
			r.notes.Wrong("request %s: an answer to %q of %d bytes instead of %d, or with others in it", q.id, got, len(body), q.answer)
		}
	case 502, 503, 504, 429:
	case 400, 408:
		if !excused {
			r.notes.Wrong("request %s: answered %d, and it came whole", q.id, resp.StatusCode)
		}
	case http.StatusInternalServerError:
		if !r.failsNow.Load() || q.path != "/write" {
			r.notes.Wrong("request %s: answered 500, which no server has said", q.id)
		}
		r.mu.Lock()
		r.harmed++
		r.mu.Unlock()
	default:
		r.notes.Wrong("request %s: answered %d by %s", q.id, resp.StatusCode, member(node))
	}
}
