package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxWorkerConns limits the connections of a worker.
	maxWorkerConns = 4
	dialTimeout    = 5 * time.Second
	// answerGrace is the time that a client waits for an answer after the attempt's deadline, so that an answer delayed by
	// a busy machine is counted as late, not as lost.
	answerGrace = 10 * time.Second
	// maxAbortDelay is the maximum time after which a client abandons an attempt, if it does so.
	maxAbortDelay = 20 * time.Millisecond
)

var (
	errClosedBeforeRead = errors.New("connection closed before the request was read")
	errAborted          = errors.New("attempt abandoned by the client")
	errNoConn           = errors.New("connection not established")
)

// worker is one client, which sends one request at a time.
type worker struct {
	run *Run
	rng *rand.Rand
	*clientConn
	conns map[string]*clientConn // by address
}

// clientConn is a worker's connection to one address.
type clientConn struct {
	addr string
	conn net.Conn // nil if not connected
	in   *bufio.Reader
	used bool // an answer was received on the connection
}

func (r *Run) worker(i int) *worker {
	w := &worker{
		run:   r,
		rng:   rand.New(rand.NewPCG(r.Seed, uint64(i)+firstWorkerStream)),
		conns: make(map[string]*clientConn),
	}
	w.useAddress(r.Addr)
	return w
}

// useAddress selects the address, and its connection, for the next attempt.
func (w *worker) useAddress(addr string) {
	w.clientConn = w.conns[addr]
	if w.clientConn != nil {
		return
	}
	if len(w.conns) >= maxWorkerConns {
		w.evictConn()
	}
	w.clientConn = &clientConn{addr: addr}
	w.conns[addr] = w.clientConn
}

// evictConn closes and removes an arbitrary connection of the worker.
func (w *worker) evictConn() {
	for addr, l := range w.conns {
		l.disconnect()
		delete(w.conns, addr)
		return
	}
}

// close closes all of the worker's connections.
func (w *worker) close() {
	for _, l := range w.conns {
		l.disconnect()
	}
}

func (l *clientConn) disconnect() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// connect establishes the connection if it is not established.
func (l *clientConn) connect() error {
	if l.conn != nil {
		return nil
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", l.addr)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoConn, err)
	}
	l.conn = conn
	l.in = bufio.NewReader(conn)
	l.used = false
	return nil
}

// isRejection reports whether a status means that the request was not executed.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// call makes a call, with retries.
func (w *worker) call(c Call) {
	startedAt := time.Now()
	w.run.count(c.Kind, func(s *Result) { s.Calls++ })
	for number := 0; ; number++ {
		status, retryAfter := w.attempt(c, number)
		if status == http.StatusOK {
			w.run.count(c.Kind, func(s *Result) {
				s.Served++
				s.Durations.Add(time.Since(startedAt))
			})
			return
		}
		if !w.mayRetry(c, number, status) {
			return
		}
		pause := max(w.run.RetryPause, retryAfter)
		if w.run.RetryTimeout > 0 && time.Since(startedAt)+pause > w.run.RetryTimeout {
			return
		}
		time.Sleep(pause)
	}
}

// mayRetry reports whether a call is retried after an attempt that was not served. A client with a single address does
// not retry an attempt that got no answer.
func (w *worker) mayRetry(c Call, number, status int) bool {
	if number >= w.run.Retries || status == 0 && w.run.PickAddress == nil {
		return false
	}
	return !c.RetryOnlyRejected || isRejection(status)
}

// attempt sends one request and returns the status, which is 0 if there was no answer, and the Retry-After of the answer.
func (w *worker) attempt(c Call, number int) (status int, retryAfter time.Duration) {
	if w.run.PickAddress != nil {
		w.useAddress(w.run.PickAddress(w.rng, c, w.addr))
	}
	id := fmt.Sprintf("%x-%x", w.run.Seed, w.run.lastRequestNumber.Add(1))
	w.run.count(c.Kind, func(s *Result) { s.Attempts++ })
	sent := time.Now()
	isAborted := w.run.AbortFraction > 0 && w.rng.Float64() < w.run.AbortFraction
	reply, err := w.exchange(c, id, number, isAborted)
	// The node may close a connection between two requests. If it does so while a request is on its way that it has not
	// read, the client sends the request again with the same ID (PROTOCOL).
	if errors.Is(err, errClosedBeforeRead) {
		w.run.count(c.Kind, func(s *Result) { s.Resent++ })
		reply, err = w.exchange(c, id, number, isAborted)
	}
	duration := time.Since(sent)
	if w.run.ConnPerAttempt {
		w.disconnect()
	}
	if w.run.OnAnswer != nil {
		w.run.OnAnswer(Answer{Sent: sent, Duration: duration, Status: reply.status, IsUnconnected: errors.Is(err, errNoConn)})
	}
	w.run.count(c.Kind, func(s *Result) {
		if err != nil {
			w.countError(s, err, sent)
			return
		}
		s.countAnswer(reply.status, strings.HasSuffix(reply.body, " "+id))
		if duration > c.Deadline {
			s.Late++
		}
	})
	return reply.status, reply.retryAfter
}

// countError counts an attempt that got no answer.
func (w *worker) countError(s *Result, err error, sent time.Time) {
	switch {
	case errors.Is(err, errAborted):
		s.Aborted++
	case errors.Is(err, errNoConn) && w.run.PickAddress != nil: // the client retries at another address
		s.Unconnected++
	case w.run.WasKilled != nil && w.run.WasKilled(w.addr, sent):
		s.Killed++
	default:
		s.Lost++
	}
}

// countAnswer counts an answer. isOwn reports whether its body contains the ID of the request.
func (r *Result) countAnswer(status int, isOwn bool) {
	switch {
	case status == http.StatusOK && !isOwn:
		r.Wrong++
	case status == http.StatusOK:
	case isRejection(status):
		r.Rejected++
	default:
		r.Failed++
	}
}

// reply is a complete answer. The zero value means that there was none.
type reply struct {
	status     int
	retryAfter time.Duration
	body       string
}

// exchange writes a request on the worker's connection and reads its answer. The connection is closed after an error.
func (w *worker) exchange(c Call, id string, number int, isAborted bool) (received reply, err error) {
	if err := w.connect(); err != nil {
		return reply{}, err
	}
	defer func() {
		if err != nil {
			w.disconnect()
		}
	}()
	w.conn.SetDeadline(time.Now().Add(c.Deadline + answerGrace))
	_, err = io.WriteString(w.conn, requestText(c, id, number))
	if err == nil && isAborted {
		time.Sleep(time.Duration(w.rng.Int64N(int64(maxAbortDelay))))
		return reply{}, errAborted
	}
	if err == nil {
		_, err = w.in.Peek(1)
	}
	if err != nil {
		return reply{}, w.requestError(err)
	}
	w.used = true
	return w.readReply(c.Method)
}

// readReply reads an answer, and closes the connection if the answer requires it (Connection: close).
func (l *clientConn) readReply(method string) (reply, error) {
	response, err := http.ReadResponse(l.in, &http.Request{Method: method})
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if response.Close {
		l.disconnect()
	}
	if err != nil {
		return reply{}, err
	}
	received := reply{status: response.StatusCode, body: string(raw)}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		received.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return received, nil
}

// requestError classifies an error that occurred before the first byte of an answer. It wraps errClosedBeforeRead if the
// connection was used before and the error is not a timeout: the node probably closed the connection while it was idle.
func (l *clientConn) requestError(err error) error {
	var networkError net.Error
	isTimeout := errors.As(err, &networkError) && networkError.Timeout()
	if l.used && !isTimeout {
		return fmt.Errorf("%w: %w", errClosedBeforeRead, err)
	}
	return err
}

// requestText returns the bytes of a request on the wire (PROTOCOL).
func requestText(c Call, id string, attempt int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s?account=%016x HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Tariff: %s\r\nX-Time-Left: %dm\r\n",
		c.Method, c.Path, c.Customer, c.Host, id, c.Plan, c.Deadline.Milliseconds())
	fmt.Fprintf(&b, "X-Weight: units=%d,spread=%d,first=%d\r\n", max(c.Units, 1), max(c.Spread, 1), c.First)
	if attempt > 0 {
		b.WriteString("X-Repeat: 1\r\n")
	}
	if c.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", c.Key)
	}
	for _, line := range c.Headers {
		b.WriteString(line + "\r\n")
	}
	if c.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n" + c.Body)
	return b.String()
}
