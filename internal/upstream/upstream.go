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
	maxHeadBytes            = 32 << 10               // of an answer's head and framing, and of answers ahead of it
	answerCompletionTimeout = 300 * time.Millisecond // from an answer's first bytes to its last
	idleFraction            = 2.0 / 3                // of the servers' keepalive that a connection may idle here
	sweepInterval           = time.Second            // how often idle connections are looked at
	connBufferBytes         = 4 << 10
	maxUsagePercent         = 10000 // per cent; what a meter may tell
	maxLoadValue            = 1e6   // of any figure in a load report

	// SecondAnswerDelay is the time behind an answer in which a second one comes. A server that holds small writes
	// back (no TCP_NODELAY) sends it once the first is acknowledged: 40 ms later, or with the next request.
	SecondAnswerDelay     = 50 * time.Millisecond
	maxRestingConnections = 4 // connections to a server that rest so
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
	maxIdleTime     time.Duration
	sawSecondAnswer atomic.Bool // a server has sent what it was not asked for

	mu    sync.Mutex
	pools map[*Pool]struct{} // those that are not retired

	usesHTTP2 atomic.Bool // some pool speaks HTTP/2, or did
}

// serverConn is a connection to an app server.
type serverConn struct {
	*limits.Conn
	rawConn       syscall.RawConn
	isInterrupted atomic.Bool // all that waits on it has to end
	answers       answerReader
	reader        *bufio.Reader
	writer        *bufio.Writer
	idleSince     time.Time // idle since
	lastAnswer    time.Time // its last answer; zero is none

	sawSecondAnswer *atomic.Bool // of its Upstream
}

// answerReader reads one answer: no more than its bound, and all of it soon after its
// first bytes. Guards against answers that don't end or stop half way: an app server
// writes an answer when it has all of it.
type answerReader struct {
	net.Conn
	bytesLeft   int
	deadline    time.Time // when the attempt's time is up; zero is never
	hasBegun    bool
	isBounded   bool // what has begun has a deadline
	hasDeadline bool // some deadline is set

	owner   *serverConn
	attempt *http1Attempt // of an answer that may go on for any time; nil is none
}

var (
	errTooLong       = errors.New("an answer of too many bytes")
	errNoDescriptor  = errors.New("no descriptor is left")
	errDialLimit     = errors.New("too many connections are coming up")
	errWriteDeadline = errors.New("it had to begin sooner")
	errServerRemoved = errors.New("the server has left the list")
)

func (r *answerReader) Read(b []byte) (int, error) {
	if r.attempt != nil {
		return r.attempt.readAnswer(b)
	}
	if r.bytesLeft == 0 {
		return 0, errTooLong
	}
	if r.hasBegun && !r.isBounded {
		rest := time.Now().Add(answerCompletionTimeout)
		if !r.deadline.IsZero() && r.deadline.Before(rest) {
			rest = r.deadline
		}
		r.owner.readBy(rest)
		r.isBounded, r.hasDeadline = true, true
	}
	n, err := r.Conn.Read(b[:min(len(b), r.bytesLeft)])
	r.bytesLeft -= n
	r.hasBegun = r.hasBegun || n > 0
	return n, err
}

// start makes the reader ready for the answer to an attempt that ends at some time.
func (r *answerReader) start(deadline time.Time, limit int) {
	if r.hasDeadline {
		r.SetReadDeadline(time.Time{})
	}
	*r = answerReader{Conn: r.Conn, owner: r.owner, bytesLeft: limit, deadline: deadline}
}

// awaitNext makes the reader ready for a further answer, after an interim one.
func (r *answerReader) awaitNext() {
	if r.isBounded {
		r.owner.readBy(r.deadline)
	}
	r.hasBegun, r.isBounded = false, false
}

// New makes an Upstream that holds no connection yet.
func New(options Options) *Upstream {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = protocol.MaxBodyBytes
	}
	return &Upstream{
		Options: options, maxIdleTime: time.Duration(idleFraction * float64(options.KeepAliveTimeout)),
		pools: make(map[*Pool]struct{}),
	}
}

// BufferedRequest is a request of the platform's protocol: all of it is held, and so is its answer.
type BufferedRequest struct {
	Request *http.Request // without its body
	Body    []byte
}

// Method is the request's.
func (r *BufferedRequest) Method() string { return r.Request.Method }

// IsBodyPending is false: nothing of it is still to come.
func (r *BufferedRequest) IsBodyPending() bool { return false }

// CanRetry is true: all of it is held.
func (r *BufferedRequest) CanRetry() bool { return true }

// Attempt makes one attempt: it waits until ctx ends at the most. It sets headers of its own in the
// request, of which no two attempts are out at once.
func (r *BufferedRequest) Attempt(ctx, _ context.Context, upstream *Upstream, pool *Pool) Outcome {
	if shared := upstream.sharedConnectionsOf(pool); shared != nil {
		if outcome, ok := shared.attemptBuffered(ctx, r); ok {
			return outcome
		}
	}
	message := *r.Request
	message.ContentLength = int64(len(r.Body))
	message.Body = http.NoBody
	if len(r.Body) > 0 {
		message.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return upstream.AttemptHTTP1(ctx, pool, &message)
}

// AttemptHTTP1 makes one attempt: it waits until ctx ends at the most.
func (u *Upstream) AttemptHTTP1(ctx context.Context, pool *Pool, req *http.Request) Outcome {
	conn, err := u.acquireQuiet(ctx, pool, u.QuietPeriod)
	if err != nil {
		return unconnectedOutcome(err)
	}
	isDialed := conn.idleSince.IsZero()
	if !Commit(ctx) {
		return u.releaseUnused(pool, conn)
	}
	outcome := u.attemptOn(ctx, pool, conn, req)
	outcome.IsDialed = isDialed
	return outcome
}

// attemptOn makes an attempt on a connection.
func (u *Upstream) attemptOn(ctx context.Context, pool *Pool, conn *serverConn, req *http.Request) Outcome {
	deadline, hasDeadline := ctx.Deadline()
	conn.answers.start(deadline, u.MaxBodyBytes+maxHeadBytes)
	// Guards against a peer that takes or gives nothing: both directions end with ctx.
	unhook := context.AfterFunc(ctx, conn.interrupt)
	reusable := false
	defer func() {
		if unhook() && reusable {
			u.release(pool, conn)
		} else {
			conn.Close()
		}
	}()
	if hasDeadline {
		setTimeLeft(req, deadline)
	}
	writeBy := writeDeadline(ctx)
	if !writeBy.IsZero() {
		conn.writeBy(writeBy)
	}
	// An app server begins a request with its last byte: what breaks before has not run.
	err := req.Write(conn.writer)
	if err == nil {
		err = conn.writer.Flush()
	}
	if err != nil {
		conn.interrupt()
		return Outcome{Reason: control.ConnectFailed, Err: err}
	}
	if !writeBy.IsZero() {
		conn.writeBy(time.Time{})
	}
	var outcome Outcome
	outcome, reusable = conn.readAnswer(req, u.MaxBodyBytes)
	if outcome.Err != nil && ctx.Err() != nil {
		outcome.Reason = control.TimedOut
		if errors.Is(ctx.Err(), context.Canceled) {
			outcome.Reason = control.Cancelled
		}
	}
	return outcome
}

type writeDeadlineKey struct{}

// WithWriteDeadline has what is sent with a ctx be written whole by some time, else not at all. An attempt
// whose connection comes up later is moot.
func WithWriteDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, writeDeadlineKey{}, deadline)
}

// writeDeadline is the time that WithWriteDeadline has set; zero is none.
func writeDeadline(ctx context.Context) time.Time {
	deadline, _ := ctx.Value(writeDeadlineKey{}).(time.Time)
	return deadline
}

// isPastWriteDeadline tells whether it is past the time that WithWriteDeadline has set.
func isPastWriteDeadline(ctx context.Context) bool {
	deadline := writeDeadline(ctx)
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// setTimeLeft has a request say until when it is waited for.
func setTimeLeft(req *http.Request, deadline time.Time) {
	left := max(time.Until(deadline).Milliseconds(), 1)
	req.Header.Set(protocol.HeaderTimeLeft, strconv.FormatInt(left, 10)+"m")
}

// readAnswer reads one answer and tells whether the connection can be used again. What
// isn't whole, well formed and small enough is a reset: the request may have run.
func (c *serverConn) readAnswer(req *http.Request, limit int) (outcome Outcome, reusable bool) {
	response, err := readHead(c.reader, req)                                                              //nolint:bodyclose // body closes it
	for err == nil && response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols { // an interim answer
		if c.reader.Buffered() == 0 {
			c.answers.awaitNext()
		}
		response, err = readHead(c.reader, req) //nolint:bodyclose // body closes it, and an interim answer has none
	}
	if err == nil {
		outcome.Body, err = readBody(response, limit)
	}
	if err != nil {
		return Outcome{Reason: control.ResetByPeer, Err: err}, false
	}
	outcome.classify(response.StatusCode, response.Header)
	hasMore := c.reader.Buffered() > 0
	if hasMore {
		c.sawSecondAnswer.Store(true)
	}
	return outcome, !response.Close && !hasMore
}

// readHead reads an answer's head. Guards against one behind most of another's first line: the status would be
// the first one's, and all else the second's.
func readHead(reader *bufio.Reader, req *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(reader, req)
	if err == nil && strings.Contains(response.Status, "HTTP/") {
		return nil, fmt.Errorf("half a line ahead: %s", response.Status)
	}
	return response, err
}

// readBody reads the body of an answer. One that doesn't say how long it is ends with its connection, if
// that isn't reset.
func readBody(response *http.Response, limit int) ([]byte, error) {
	defer response.Body.Close()
	switch length := response.ContentLength; {
	case response.StatusCode < 200:
		return nil, fmt.Errorf("unasked for: %s", response.Status)
	case length > int64(limit):
		return nil, fmt.Errorf("a body of %d bytes", length)
	case length >= 0:
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = fmt.Errorf("a body of more than %d bytes", limit)
	}
	return body, err
}

// interrupt ends all that waits on the connection, for good.
func (c *serverConn) interrupt() {
	c.isInterrupted.Store(true)
	c.SetDeadline(time.Unix(1, 0))
}

// Close closes the connection. Guards against TLS's farewell, which waits for seconds on a peer that
// takes nothing: one that was interrupted says none.
func (c *serverConn) Close() error {
	if tlsConn, ok := c.Conn.Conn.(*tls.Conn); ok && c.isInterrupted.Load() {
		tlsConn.NetConn().Close()
	}
	return c.Conn.Close()
}

// readBy and writeBy set when reading or writing has to have come on. Guards against undoing an
// interrupt.
func (c *serverConn) readBy(deadline time.Time) {
	c.SetReadDeadline(deadline)
	if c.isInterrupted.Load() {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *serverConn) writeBy(deadline time.Time) {
	c.SetWriteDeadline(deadline)
	if c.isInterrupted.Load() {
		c.SetWriteDeadline(time.Unix(1, 0))
	}
}

// wasReset tells whether the connection is gone from both sides, of which this one has not ended. Guards
// against a reset that looks like an end: the system tells of it once, to who reads or who writes.
func (c *serverConn) wasReset() (isClosed bool) {
	_ = c.rawConn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return isClosed
}

// unconnectedOutcome is the outcome of an attempt that got no connection.
func unconnectedOutcome(err error) Outcome {
	if errors.Is(err, errNoDescriptor) || errors.Is(err, errDialLimit) || errors.Is(err, errWriteDeadline) { // speaks against no app server
		return Outcome{Reason: control.NotSent, Err: err}
	}
	return Outcome{Reason: control.ConnectFailed, Err: err, IsDialed: true}
}

func (u *Upstream) dial(ctx context.Context, endpoint string) (*serverConn, error) {
	conn, rawConn, agreed, err := u.connect(ctx, endpoint, alpnHTTP1)
	if err != nil {
		return nil, err
	}
	if agreed != "" && agreed != alpnHTTP1 {
		conn.Close()
		return nil, certs.ErrProtocol
	}
	return u.newConn(conn, rawConn), nil
}

func (u *Upstream) newConn(conn *limits.Conn, rawConn syscall.RawConn) *serverConn {
	created := &serverConn{Conn: conn, rawConn: rawConn, answers: answerReader{Conn: conn.Conn}, sawSecondAnswer: &u.sawSecondAnswer}
	created.answers.owner = created
	created.reader, created.writer = bufio.NewReaderSize(&created.answers, connBufferBytes), bufio.NewWriterSize(conn.Conn, connBufferBytes)
	return created
}

// Protocols by their names in TLS (RFC 7301).
const (
	alpnHTTP1 = "http/1.1"
	alpnHTTP2 = "h2"
)

// connect makes a connection that is booked; raw is its socket, below TLS too. protocol is the one
// that was agreed on of those offered, where there is TLS and the server knows of that.
func (u *Upstream) connect(ctx context.Context, endpoint string, offered ...string) (conn *limits.Conn, rawConn syscall.RawConn, agreed string, err error) {
	if u.DialLimiter != nil {
		if !u.DialLimiter.TryAcquire() {
			return nil, nil, "", errDialLimit
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
	dialer := net.Dialer{Timeout: u.ConnectTimeout, KeepAlive: -1}
	dialed, err := dialer.DialContext(ctx, "tcp", endpoint)
	if err != nil {
		u.SocketLimiter.Release()
		return nil, nil, "", err
	}
	rawConn, err = dialed.(*net.TCPConn).SyscallConn()
	if u.TLS != nil && err == nil {
		var secured *tls.Conn
		if secured, agreed, err = u.TLS.Client(ctx, dialed, endpoint, offered); err == nil {
			dialed = secured
		}
	}
	if conn = limits.Track(dialed, u.SocketLimiter); err != nil {
		conn.Close()
		return nil, nil, "", err
	}
	return conn, rawConn, agreed, nil
}
