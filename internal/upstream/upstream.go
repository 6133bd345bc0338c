// Package upstream sends requests to app servers over connections that it keeps and bounds.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/control"
	"lockflow/internal/certs"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
)

const (
	answerHead = 32 << 10               // of an answer's head and framing, and of answers ahead of it
	answerRest = 300 * time.Millisecond // from an answer's first bytes to its last
	idlePart   = 2.0 / 3                // of the servers' keepalive that a connection may idle here
	idleSweep  = time.Second            // how often idle connections are looked at
	connBuffer = 4 << 10
	usedMost   = 10000 // per cent; what a meter may tell
	loadMost   = 1e6   // of any figure in a load report

	// SecondAnswerDelay is the time behind an answer in which a second one comes. A server that holds small writes
	// back (no TCP_NODELAY) sends it once the first is acknowledged: 40 ms later, or with the next request.
	SecondAnswerDelay = 50 * time.Millisecond
	restingMost       = 4 // connections to a server that rest so
)

// Options are what an Upstream is made with.
type Options struct {
	ConnectTimeout   time.Duration            // most time for a connection to come up
	KeepAliveTimeout time.Duration            // of the app servers' idle connections
	SocketLimiter    limits.ConnectionLimiter // books each connection
	DialLimiter      limits.ConnectionLimiter // books each connection until it is up; nil books none
	MaxBodyBytes     int                      // most bytes of an answer's body; 0 is protocol.BodyMost
	QuietPeriod      time.Duration            // of a connection behind an answer, before the next Whole request; 0 is none
	HTTP2            HTTP2Options
	TLS              *certs.Book // nil speaks in the clear
}

// Upstream sends requests to app servers, one at a time on a connection. It never
// sends one again by itself: net/http's Transport would, and doesn't tell whether
// the last byte of a request went out.
type Upstream struct {
	Options
	idleFor time.Duration
	doubled atomic.Bool // a server has sent what it was not asked for

	mu    sync.Mutex
	pools map[*Pool]struct{} // those that are not retired

	sharing atomic.Bool // some pool speaks HTTP/2, or did
}

// conn is a connection to an app server.
type conn struct {
	*limits.Conn
	raw   syscall.RawConn
	cut   atomic.Bool // all that waits on it has to end
	in    answerReader
	r     *bufio.Reader
	w     *bufio.Writer
	since time.Time // idle since
	heard time.Time // its last answer; zero is none

	doubled *atomic.Bool // of its Upstream
}

// answerReader reads one answer: no more than its bound, and all of it soon after its
// first bytes. Guards against answers that don't end or stop half way: an app server
// writes an answer when it has all of it.
type answerReader struct {
	net.Conn
	left    int
	until   time.Time // when the attempt's time is up; zero is never
	begun   bool
	bounded bool // what has begun has a deadline
	set     bool // some deadline is set

	of    *conn
	relay *relay // of an answer that may go on for any time; nil is none
}

var (
	errTooLong      = errors.New("an answer of too many bytes")
	errNoDescriptor = errors.New("no descriptor is left")
	errNoDial       = errors.New("too many connections are coming up")
	errLate         = errors.New("it had to begin sooner")
	errGone         = errors.New("the server has left the list")
)

func (r *answerReader) Read(b []byte) (int, error) {
	if r.relay != nil {
		return r.relay.read(b)
	}
	if r.left == 0 {
		return 0, errTooLong
	}
	if r.begun && !r.bounded {
		rest := time.Now().Add(answerRest)
		if !r.until.IsZero() && r.until.Before(rest) {
			rest = r.until
		}
		r.of.readBy(rest)
		r.bounded, r.set = true, true
	}
	n, err := r.Conn.Read(b[:min(len(b), r.left)])
	r.left -= n
	r.begun = r.begun || n > 0
	return n, err
}

// start makes the reader ready for the answer to an attempt that ends at some time.
func (r *answerReader) start(until time.Time, most int) {
	if r.set {
		r.SetReadDeadline(time.Time{})
	}
	*r = answerReader{Conn: r.Conn, of: r.of, left: most, until: until}
}

// again makes the reader ready for a further answer, after an interim one.
func (r *answerReader) again() {
	if r.bounded {
		r.of.readBy(r.until)
	}
	r.begun, r.bounded = false, false
}

// New makes an Upstream that holds no connection yet.
func New(o Options) *Upstream {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = protocol.MaxBodyBytes
	}
	return &Upstream{
		Options: o, idleFor: time.Duration(idlePart * float64(o.KeepAliveTimeout)),
		pools: make(map[*Pool]struct{}),
	}
}

// BufferedRequest is a request of the platform's protocol: all of it is held, and so is its answer.
type BufferedRequest struct {
	Request *http.Request // without its body
	Body    []byte
}

// Method is the request's.
func (w *BufferedRequest) Method() string { return w.Request.Method }

// IsBodyPending is false: nothing of it is still to come.
func (w *BufferedRequest) IsBodyPending() bool { return false }

// CanRetry is true: all of it is held.
func (w *BufferedRequest) CanRetry() bool { return true }

// Attempt makes one attempt: it waits until ctx ends at the most. It sets headers of its own in the
// request, of which no two attempts are out at once.
func (w *BufferedRequest) Attempt(ctx, _ context.Context, u *Upstream, p *Pool) Outcome {
	if s := u.sharedOf(p); s != nil {
		if o, ok := s.whole(ctx, w); ok {
			return o
		}
	}
	m := *w.Request
	m.ContentLength = int64(len(w.Body))
	m.Body = http.NoBody
	if len(w.Body) > 0 {
		m.Body = io.NopCloser(bytes.NewReader(w.Body))
	}
	return u.AttemptHTTP1(ctx, p, &m)
}

// AttemptHTTP1 makes one attempt: it waits until ctx ends at the most.
func (u *Upstream) AttemptHTTP1(ctx context.Context, p *Pool, req *http.Request) Outcome {
	c, err := u.rested(ctx, p, u.QuietPeriod)
	if err != nil {
		return unconnected(err)
	}
	dialed := c.since.IsZero()
	if !Commit(ctx) {
		return u.unsent(p, c)
	}
	o := u.try(ctx, p, c, req)
	o.IsDialed = dialed
	return o
}

// try makes an attempt on a connection.
func (u *Upstream) try(ctx context.Context, p *Pool, c *conn, req *http.Request) Outcome {
	until, ends := ctx.Deadline()
	c.in.start(until, u.MaxBodyBytes+answerHead)
	// Guards against a peer that takes or gives nothing: both directions end with ctx.
	unhook := context.AfterFunc(ctx, c.interrupt)
	keep := false
	defer func() {
		if unhook() && keep {
			u.put(p, c)
		} else {
			c.Close()
		}
	}()
	if ends {
		tellTime(req, until)
	}
	by := beginBy(ctx)
	if !by.IsZero() {
		c.writeBy(by)
	}
	// An app server begins a request with its last byte: what breaks before has not run.
	err := req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		c.interrupt()
		return Outcome{Reason: control.ConnectFailed, Err: err}
	}
	if !by.IsZero() {
		c.writeBy(time.Time{})
	}
	var o Outcome
	o, keep = c.read(req, u.MaxBodyBytes)
	if o.Err != nil && ctx.Err() != nil {
		o.Reason = control.TimedOut
		if errors.Is(ctx.Err(), context.Canceled) {
			o.Reason = control.Cancelled
		}
	}
	return o
}

type beginKey struct{}

// WithWriteDeadline has what is sent with a ctx be written whole by some time, else not at all. An attempt
// whose connection comes up later is moot.
func WithWriteDeadline(ctx context.Context, t time.Time) context.Context {
	return context.WithValue(ctx, beginKey{}, t)
}

// beginBy is the time that WithWriteDeadline has set; zero is none.
func beginBy(ctx context.Context) time.Time {
	t, _ := ctx.Value(beginKey{}).(time.Time)
	return t
}

// tooLate tells whether it is past the time that WithWriteDeadline has set.
func tooLate(ctx context.Context) bool {
	by := beginBy(ctx)
	return !by.IsZero() && !time.Now().Before(by)
}

// tellTime has a request say until when it is waited for.
func tellTime(req *http.Request, until time.Time) {
	left := max(time.Until(until).Milliseconds(), 1)
	req.Header.Set(protocol.HeaderTimeLeft, strconv.FormatInt(left, 10)+"m")
}

// read reads one answer and tells whether the connection can be used again. What
// isn't whole, well formed and small enough is a reset: the request may have run.
func (c *conn) read(req *http.Request, most int) (o Outcome, keep bool) {
	resp, err := readHead(c.r, req)                                                               //nolint:bodyclose // body closes it
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols { // an interim answer
		if c.r.Buffered() == 0 {
			c.in.again()
		}
		resp, err = readHead(c.r, req) //nolint:bodyclose // body closes it, and an interim answer has none
	}
	if err == nil {
		o.Body, err = body(resp, most)
	}
	if err != nil {
		return Outcome{Reason: control.ResetByPeer, Err: err}, false
	}
	o.means(resp.StatusCode, resp.Header)
	more := c.r.Buffered() > 0
	if more {
		c.doubled.Store(true)
	}
	return o, !resp.Close && !more
}

// readHead reads an answer's head. Guards against one behind most of another's first line: the status would be
// the first one's, and all else the second's.
func readHead(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(r, req)
	if err == nil && strings.Contains(resp.Status, "HTTP/") {
		return nil, fmt.Errorf("half a line ahead: %s", resp.Status)
	}
	return resp, err
}

// body reads the body of an answer. One that doesn't say how long it is ends with its connection, if
// that isn't reset.
func body(resp *http.Response, most int) ([]byte, error) {
	defer resp.Body.Close()
	switch n := resp.ContentLength; {
	case resp.StatusCode < 200:
		return nil, fmt.Errorf("unasked for: %s", resp.Status)
	case n > int64(most):
		return nil, fmt.Errorf("a body of %d bytes", n)
	case n >= 0:
		b := make([]byte, n)
		_, err := io.ReadFull(resp.Body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	if err == nil && len(b) > most {
		err = fmt.Errorf("a body of more than %d bytes", most)
	}
	return b, err
}

// interrupt ends all that waits on the connection, for good.
func (c *conn) interrupt() {
	c.cut.Store(true)
	c.SetDeadline(time.Unix(1, 0))
}

// Close closes the connection. Guards against TLS's farewell, which waits for seconds on a peer that
// takes nothing: one that was interrupted says none.
func (c *conn) Close() error {
	if s, ok := c.Conn.Conn.(*tls.Conn); ok && c.cut.Load() {
		s.NetConn().Close()
	}
	return c.Conn.Close()
}

// readBy and writeBy set when reading or writing has to have come on. Guards against undoing an
// interrupt.
func (c *conn) readBy(t time.Time) {
	c.SetReadDeadline(t)
	if c.cut.Load() {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) writeBy(t time.Time) {
	c.SetWriteDeadline(t)
	if c.cut.Load() {
		c.SetWriteDeadline(time.Unix(1, 0))
	}
}

// wasReset tells whether the connection is gone from both sides, of which this one has not ended. Guards
// against a reset that looks like an end: the system tells of it once, to who reads or who writes.
func (c *conn) wasReset() (gone bool) {
	_ = c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gone = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return gone
}

// unconnected is the outcome of an attempt that got no connection.
func unconnected(err error) Outcome {
	if errors.Is(err, errNoDescriptor) || errors.Is(err, errNoDial) || errors.Is(err, errLate) { // speaks against no app server
		return Outcome{Reason: control.NotSent, Err: err}
	}
	return Outcome{Reason: control.ConnectFailed, Err: err, IsDialed: true}
}

func (u *Upstream) dial(ctx context.Context, endpoint string) (*conn, error) {
	nc, raw, protocol, err := u.connect(ctx, endpoint, protocolHTTP1)
	if err != nil {
		return nil, err
	}
	if protocol != "" && protocol != protocolHTTP1 {
		nc.Close()
		return nil, certs.ErrProtocol
	}
	return u.newConn(nc, raw), nil
}

func (u *Upstream) newConn(nc *limits.Conn, raw syscall.RawConn) *conn {
	c := &conn{Conn: nc, raw: raw, in: answerReader{Conn: nc.Conn}, doubled: &u.doubled}
	c.in.of = c
	c.r, c.w = bufio.NewReaderSize(&c.in, connBuffer), bufio.NewWriterSize(nc.Conn, connBuffer)
	return c
}

// Protocols by their names in TLS (RFC 7301).
const (
	protocolHTTP1 = "http/1.1"
	protocolHTTP2 = "h2"
)

// connect makes a connection that is booked; raw is its socket, below TLS too. protocol is the one
// that was agreed on of those offered, where there is TLS and the server knows of that.
func (u *Upstream) connect(ctx context.Context, endpoint string, offered ...string) (c *limits.Conn, raw syscall.RawConn, protocol string, err error) {
	if u.DialLimiter != nil {
		if !u.DialLimiter.TryAcquire() {
			return nil, nil, "", errNoDial
		}
		defer u.DialLimiter.Release()
	}
	if !u.SocketLimiter.TryAcquire() {
		return nil, nil, "", errNoDescriptor
	}
	if u.TLS != nil { // its handshake counts too
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, u.ConnectTimeout)
		defer cancel()
	}
	d := net.Dialer{Timeout: u.ConnectTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", endpoint)
	if err != nil {
		u.SocketLimiter.Release()
		return nil, nil, "", err
	}
	raw, err = nc.(*net.TCPConn).SyscallConn()
	if u.TLS != nil && err == nil {
		var s *tls.Conn
		if s, protocol, err = u.TLS.Client(ctx, nc, endpoint, offered); err == nil {
			nc = s
		}
	}
	if c = limits.Track(nc, u.SocketLimiter); err != nil {
		c.Close()
		return nil, nil, "", err
	}
	return c, raw, protocol, nil
}
