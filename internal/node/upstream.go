package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"martennotch/control"
)

const (
	bodyMost   = 64 << 10               // of any message
	answerMost = bodyMost + 32<<10      // an answer with its head and framing, and those ahead of it
	answerRest = 300 * time.Millisecond // from an answer's first bytes to its last
	idlePart   = 2.0 / 3                // of the servers' keepalive that a connection may idle here
	idleSweep  = time.Second            // how often idle connections are looked at
	connBuffer = 4 << 10
	usedMost   = 10000 // per cent; what a meter may tell
	loadMost   = 1e6   // of any figure in a load report
)

// Headers of the protocol between edge nodes, clients and app servers.
const (
	headerID       = "X-Correlation-Id"
	headerPlan     = "X-Tariff"
	headerTimeLeft = "X-Time-Left"
	headerWeight   = "X-Weight"
	headerRepeat   = "X-Repeat"
	headerKey      = "Idempotency-Key"
	headerUnseen   = "X-Unprocessed"
	headerUsed     = "X-Allowance-Used"
	headerCost     = "X-True-Cost"
	headerLoad     = "X-Backend-Load"
)

// outcome is how an attempt ended.
type outcome struct {
	reason control.Reason
	err    error // why, where there was no answer
	header http.Header
	body   []byte
}

// upstream sends requests to app servers, one at a time on a connection. It never
// sends one again by itself: net/http's Transport would, and doesn't tell whether
// the last byte of a request went out.
type upstream struct {
	connect time.Duration
	idleFor time.Duration
	sockets *sockets

	mu    sync.Mutex
	pools map[*pool]struct{} // those that are not retired
}

// pool holds the idle connections to one app server at one address. Guards against those
// of an app server that has gone being used for one that is now at its address.
type pool struct {
	endpoint string
	idle     []*conn // the most recently used last; nil for good once the pool is retired
}

// conn is a connection to an app server.
type conn struct {
	counted
	raw   syscall.RawConn
	in    answerReader
	r     *bufio.Reader
	w     *bufio.Writer
	since time.Time // idle since
}

// answerReader reads one answer: no more than answerMost, and all of it soon after its
// first bytes. Guards against answers that don't end or stop half way: an app server
// writes an answer when it has all of it.
type answerReader struct {
	net.Conn
	left    int
	until   time.Time // when the attempt's time is up; zero is never
	begun   bool
	bounded bool // what has begun has a deadline
	set     bool // some deadline is set
}

var (
	errTooLong      = fmt.Errorf("an answer of more than %d bytes", answerMost)
	errNoDescriptor = errors.New("no descriptor is left")
)

func (r *answerReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, errTooLong
	}
	if r.begun && !r.bounded {
		rest := time.Now().Add(answerRest)
		if !r.until.IsZero() && r.until.Before(rest) {
			rest = r.until
		}
		r.SetReadDeadline(rest)
		r.bounded, r.set = true, true
	}
	n, err := r.Conn.Read(b[:min(len(b), r.left)])
	r.left -= n
	r.begun = r.begun || n > 0
	return n, err
}

// start makes the reader ready for the answer to an attempt that ends at some time.
func (r *answerReader) start(until time.Time) {
	if r.set {
		r.SetReadDeadline(time.Time{})
	}
	*r = answerReader{Conn: r.Conn, left: answerMost, until: until}
}

// again makes the reader ready for a further answer, after an interim one. Guards, by naming
// the attempt's end, against undoing the deadline of one that ends at this moment.
func (r *answerReader) again() {
	if r.bounded {
		r.SetReadDeadline(r.until)
	}
	r.begun, r.bounded = false, false
}

func newUpstream(connect, keepalive time.Duration, s *sockets) *upstream {
	u := &upstream{connect: connect, idleFor: time.Duration(idlePart * float64(keepalive)), sockets: s,
		pools: make(map[*pool]struct{})}
	s.evictServer = u.evict
	return u
}

// pool makes a pool of connections to an address.
func (u *upstream) pool(endpoint string) *pool {
	p := &pool{endpoint: endpoint}
	u.mu.Lock()
	u.pools[p] = struct{}{}
	u.mu.Unlock()
	return p
}

// retire closes a pool's idle connections; those in use are closed when they come back.
func (u *upstream) retire(p *pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.pools, p)
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// try makes one attempt: it waits until ctx ends at the most.
func (u *upstream) try(ctx context.Context, p *pool, req *http.Request) outcome {
	c, err := u.get(ctx, p)
	if errors.Is(err, errNoDescriptor) { // speaks against no app server
		return outcome{reason: control.Moot, err: err}
	} else if err != nil {
		return outcome{reason: control.ConnectFailed, err: err}
	}
	until, ends := ctx.Deadline()
	c.in.start(until)
	// Guards against a peer that takes or gives nothing: both directions end with ctx.
	unhook := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	keep := false
	defer func() {
		if unhook() && keep {
			u.put(p, c)
		} else {
			c.Close()
		}
	}()
	if ends {
		left := max(time.Until(until).Milliseconds(), 1)
		req.Header.Set(headerTimeLeft, strconv.FormatInt(left, 10)+"m")
	}
	// An app server begins a request with its last byte: what breaks before has not run.
	if err := req.Write(c.w); err != nil {
		return outcome{reason: control.ConnectFailed, err: err}
	}
	if err := c.w.Flush(); err != nil {
		return outcome{reason: control.ConnectFailed, err: err}
	}
	var o outcome
	o, keep = c.read(req)
	if o.err != nil && ctx.Err() != nil {
		o.reason = control.TimedOut
		if errors.Is(ctx.Err(), context.Canceled) {
			o.reason = control.Cancelled
		}
	}
	return o
}

// read reads one answer and tells whether the connection can be used again. What
// isn't whole, well formed and small enough is a reset: the request may have run.
func (c *conn) read(req *http.Request) (o outcome, keep bool) {
	resp, err := http.ReadResponse(c.r, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols { // an interim answer
		if c.r.Buffered() == 0 {
			c.in.again()
		}
		resp, err = http.ReadResponse(c.r, req)
	}
	if err == nil {
		o.body, err = body(resp)
	}
	if err != nil {
		return outcome{reason: control.ResetByPeer, err: err}, false
	}
	o.header = resp.Header
	switch {
	case resp.StatusCode == http.StatusOK:
		o.reason = control.OK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(headerUnseen) == "1":
		o.reason = control.Full
	default:
		o.reason = control.Errored
	}
	return o, !resp.Close && c.r.Buffered() == 0
}

// body reads the body of an answer, which must say how long it is: one that ends with its
// connection can't be told from one that was cut off.
func body(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	switch n := resp.ContentLength; {
	case resp.StatusCode < 200:
		return nil, fmt.Errorf("unasked for: %s", resp.Status)
	case n > bodyMost:
		return nil, fmt.Errorf("a body of %d bytes", n)
	case n >= 0:
		b := make([]byte, n)
		_, err := io.ReadFull(resp.Body, b)
		return b, err
	case len(resp.TransferEncoding) == 0:
		return nil, errors.New("a body of no stated length")
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, bodyMost+1))
	if err == nil && len(b) > bodyMost {
		err = fmt.Errorf("a body of more than %d bytes", bodyMost)
	}
	return b, err
}

// get gives the most recently used idle connection that is still good, else a new one.
func (u *upstream) get(ctx context.Context, p *pool) (*conn, error) {
	for {
		c := u.pop(p)
		if c == nil {
			return u.dial(ctx, p.endpoint)
		}
		if c.quiet() && time.Since(c.since) < u.idleFor {
			return c, nil
		}
		c.Close()
	}
}

func (u *upstream) dial(ctx context.Context, endpoint string) (*conn, error) {
	if !u.sockets.take(0) {
		return nil, errNoDescriptor
	}
	d := net.Dialer{Timeout: u.connect, KeepAlive: -1}
	tcp, err := d.DialContext(ctx, "tcp", endpoint)
	if err != nil {
		u.sockets.open.Add(-1)
		return nil, err
	}
	c := &conn{counted: counted{Conn: tcp, sockets: u.sockets}, in: answerReader{Conn: tcp}}
	if c.raw, err = tcp.(*net.TCPConn).SyscallConn(); err != nil {
		c.Close()
		return nil, err
	}
	c.r, c.w = bufio.NewReaderSize(&c.in, connBuffer), bufio.NewWriterSize(tcp, connBuffer)
	return c, nil
}

// quiet tells whether an idle connection is open and has nothing to read. Guards
// against writing to one that the app server has closed, which would be a reset, and
// against taking what came behind the last answer for the next one.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

func (u *upstream) pop(p *pool) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle[len(p.idle)-1] = nil
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (u *upstream) put(p *pool, c *conn) {
	c.since = time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.pools[p]; !ok {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// sweep closes idle connections that are old or that the app server has closed,
// until ctx ends.
func (u *upstream) sweep(ctx context.Context) {
	t := time.NewTicker(idleSweep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			u.drop(func(c *conn) bool { return !c.quiet() || time.Since(c.since) >= u.idleFor })
		}
	}
}

// drop closes the idle connections of which is tells so.
func (u *upstream) drop(is func(*conn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range u.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if is(c) {
				c.Close()
			} else {
				kept = append(kept, c)
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
	}
}

// evict closes the connection that has been idle for the longest time, where there are more
// than some.
func (u *upstream) evict(keep int) bool {
	var oldest *conn
	n := 0
	u.drop(func(c *conn) bool {
		if n++; oldest == nil || c.since.Before(oldest.since) {
			oldest = c
		}
		return false
	})
	if oldest == nil || n <= keep {
		return false
	}
	u.drop(func(c *conn) bool { return c == oldest })
	return true
}

// used reads the customer's use; the module counts from 1, as 0 is not told.
func (o *outcome) used() int {
	v, err := strconv.Atoi(o.header.Get(headerUsed))
	if err != nil || v < 0 || v > usedMost {
		return 0
	}
	return v + 1
}

// cost reads the true units, of which a request can have so many at the most.
func (o *outcome) cost(most float64) float64 {
	v, err := parseNumber(o.header.Get(headerCost))
	if err != nil || v < 0 || most > 0 && v > most {
		return 0
	}
	return v
}

// load reads the app server's report. The header's words for the figures are not
// those of the settings; what is not known, or can't be, is skipped.
func (o *outcome) load() *control.Load {
	none := control.Load{Active: -1, Waiting: -1, CPU: -1, AvgMS: -1, RPS: -1, ErrRPS: -1}
	l := none
	for pair := range strings.SplitSeq(o.header.Get(headerLoad), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := parseNumber(value)
		if err != nil || v < 0 || v > loadMost {
			continue
		}
		switch name {
		case "inflight", "active":
			l.Active = v
		case "queue", "waiting":
			l.Waiting = v
		case "util", "cpu":
			l.CPU = v
		case "latency_ms", "avg_ms":
			l.AvgMS = v
		case "qps", "rps":
			l.RPS = v
		case "eps", "err_rps":
			l.ErrRPS = v
		}
	}
	if l == none {
		return nil
	}
	return &l
}

// parseNumber reads a finite number.
func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = fmt.Errorf("%q is not finite", s)
	}
	return v, err
}
