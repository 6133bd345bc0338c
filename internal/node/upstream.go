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
	bodyMost   = 64 << 10          // of any message
	answerMost = bodyMost + 32<<10 // an answer with its head and framing
	idlePart   = 2.0 / 3           // of the servers' keepalive that a connection may idle here
	idleSweep  = time.Second       // how often idle connections are looked at
	connBuffer = 4 << 10
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

	mu   sync.Mutex
	idle map[string][]*conn // by endpoint, the most recently used last
}

// conn is a connection to an app server.
type conn struct {
	counted
	raw      syscall.RawConn
	limit    io.LimitedReader // holds one answer under answerMost
	r        *bufio.Reader
	w        *bufio.Writer
	endpoint string
	since    time.Time // idle since
}

func newUpstream(connect, keepalive time.Duration, s *sockets) *upstream {
	u := &upstream{connect: connect, idleFor: time.Duration(idlePart * float64(keepalive)), sockets: s,
		idle: make(map[string][]*conn)}
	s.evictServer = u.evict
	return u
}

// try makes one attempt: it waits until ctx ends at the most.
func (u *upstream) try(ctx context.Context, endpoint string, req *http.Request) outcome {
	c, err := u.get(ctx, endpoint)
	if err != nil {
		return outcome{reason: control.ConnectFailed, err: err}
	}
	// Guards against a peer that takes or gives nothing: both directions end with ctx.
	unhook := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	keep := false
	defer func() {
		if unhook() && keep {
			u.put(c)
		} else {
			c.Close()
		}
	}()
	if until, ok := ctx.Deadline(); ok {
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
	c.limit.N = answerMost
	resp, err := http.ReadResponse(c.r, req)
	for err == nil && resp.StatusCode < 200 { // an interim answer
		resp, err = http.ReadResponse(c.r, req)
	}
	if err != nil {
		return outcome{reason: control.ResetByPeer, err: err}, false
	}
	defer resp.Body.Close()
	o.body, err = io.ReadAll(io.LimitReader(resp.Body, bodyMost+1))
	if err == nil && len(o.body) > bodyMost {
		err = fmt.Errorf("an answer of more than %d bytes", bodyMost)
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

// get gives the most recently used idle connection that is still good, else a new one.
func (u *upstream) get(ctx context.Context, endpoint string) (*conn, error) {
	for {
		c := u.pop(endpoint)
		if c == nil {
			return u.dial(ctx, endpoint)
		}
		if c.quiet() && time.Since(c.since) < u.idleFor {
			return c, nil
		}
		c.Close()
	}
}

func (u *upstream) dial(ctx context.Context, endpoint string) (*conn, error) {
	if !u.sockets.take(0) {
		return nil, errors.New("no descriptor is left")
	}
	d := net.Dialer{Timeout: u.connect, KeepAlive: -1}
	tcp, err := d.DialContext(ctx, "tcp", endpoint)
	if err != nil {
		u.sockets.open.Add(-1)
		return nil, err
	}
	c := &conn{counted: counted{Conn: tcp, sockets: u.sockets}, endpoint: endpoint}
	if c.raw, err = tcp.(*net.TCPConn).SyscallConn(); err != nil {
		c.Close()
		return nil, err
	}
	c.limit.R = tcp
	c.r, c.w = bufio.NewReaderSize(&c.limit, connBuffer), bufio.NewWriterSize(tcp, connBuffer)
	return c, nil
}

// quiet tells whether an idle connection is open and has nothing to read. Guards
// against writing to one that the app server has closed: that would be a reset.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

func (u *upstream) pop(endpoint string) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := u.idle[endpoint]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	u.idle[endpoint] = list[:len(list)-1]
	return c
}

func (u *upstream) put(c *conn) {
	c.since = time.Now()
	u.mu.Lock()
	u.idle[c.endpoint] = append(u.idle[c.endpoint], c)
	u.mu.Unlock()
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
	for endpoint, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if is(c) {
				c.Close()
			} else {
				kept = append(kept, c)
			}
		}
		clear(list[len(kept):])
		if u.idle[endpoint] = kept; len(kept) == 0 {
			delete(u.idle, endpoint)
		}
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
	if err != nil || v < 0 || v > math.MaxInt32 {
		return 0
	}
	return v + 1
}

func (o *outcome) cost() float64 {
	v, err := parseNumber(o.header.Get(headerCost))
	if err != nil || v < 0 {
		return 0
	}
	return v
}

// load reads the app server's report. The header's words for the figures are not
// those of the settings; what is not known is skipped.
func (o *outcome) load() *control.Load {
	text := o.header.Get(headerLoad)
	if text == "" {
		return nil
	}
	l := &control.Load{Active: -1, Waiting: -1, CPU: -1, AvgMS: -1, RPS: -1, ErrRPS: -1}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := parseNumber(value)
		if err != nil {
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
	return l
}

// parseNumber reads a finite number.
func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = fmt.Errorf("%q is not finite", s)
	}
	return v, err
}
