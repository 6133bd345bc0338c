package fake

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// HeaderScript is the header by which a request tells an Origin how to answer, as a query:
//
//	status=200        of the final answer
//	body=N            bytes of Pattern
//	frame=length      or chunked, close (the body ends with the connection), none (no body and no length)
//	trailer=1         announced and sent; announced, sent: only that
//	interim=103       a 1xx answer before the final one; may be repeated
//	early=1           the answer is sent before the body is read
//	unread=1          the body is not read, and the connection is closed after the answer
//	cut=N             the connection is closed, or reset if N is odd, after N bytes of the answer
//	reset=N           the connection is reset after N bytes of the request's body
//	silent=1          no answer
//	twice=1           the answer is sent twice
//	raw=TEXT          TEXT is sent, and nothing else
//	wait=TIME         before the answer
//	every=TIME        between parts of the body, each of 1 KiB and flushed
//	old=1             HTTP/1.0
//	type=TEXT         Content-Type
//	upgrade=1         switch to the protocol that was requested, and echo all that is received
//	never100=1        no 100 for Expect
const HeaderScript = "X-Script"

const (
	// originStream is the stream of an origin's random numbers, in addition to its seed.
	originStream = 11
	// lingerTime is how long an origin reads after an answer to an unread request, so that the answer is not lost.
	lingerTime        = 500 * time.Millisecond
	originBufferBytes = 16 << 10
)

// errScripted ends a connection because the script says so.
var errScripted = errors.New("the script ends the connection")

// Origin is an app server of generic HTTP on raw connections, which can answer correctly or not. It is safe for
// concurrent use.
type Origin struct {
	// Fault may modify the script of each request; nil modifies none.
	Fault func(rng *rand.Rand, script url.Values)
	// Work is how long each request takes, in addition to its script.
	Work time.Duration
	// OnRequest is called with each request that was read or has failed; may be nil.
	OnRequest func(Request)
	Seed      uint64

	listener   net.Listener
	mu         sync.Mutex
	rng        *rand.Rand
	conns      map[net.Conn]bool
	isClosed   bool
	goroutines sync.WaitGroup
	connCount  int
}

// Request is what an Origin has received.
type Request struct {
	Method     string
	Target     string
	Host       string
	Header     http.Header
	Trailer    http.Header
	Framing    string // none, length or chunked
	Bytes      int64  // of the body
	Hash       string // of the body
	IsComplete bool
	Conn       int // number of its connection
}

// Start has the origin listen on a free port of the loopback address.
func (o *Origin) Start() error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", loopbackAddress)
	if err != nil {
		return fmt.Errorf("starting an origin: %w", err)
	}
	o.listener = listener
	o.conns = make(map[net.Conn]bool)
	o.rng = rand.New(rand.NewPCG(o.Seed, originStream))
	o.goroutines.Go(o.accept)
	return nil
}

func (o *Origin) accept() {
	for number := 0; ; number++ {
		conn, err := o.listener.Accept()
		if err != nil {
			return
		}
		o.mu.Lock()
		if o.isClosed {
			conn.Close()
		} else {
			o.conns[conn] = true
		}
		o.connCount++
		o.mu.Unlock()
		o.goroutines.Go(func() {
			o.serve(conn, number)
			conn.Close()
			o.mu.Lock()
			delete(o.conns, conn)
			o.mu.Unlock()
		})
	}
}

// Addr returns the address that the origin listens on.
func (o *Origin) Addr() string { return o.listener.Addr().String() }

// ConnCount returns the number of connections that were accepted.
func (o *Origin) ConnCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.connCount
}

// Close ends the origin with all its connections.
func (o *Origin) Close() {
	o.listener.Close()
	o.mu.Lock()
	o.isClosed = true
	for conn := range o.conns {
		conn.Close()
	}
	o.mu.Unlock()
	o.goroutines.Wait()
}

// serve answers the requests of one connection.
func (o *Origin) serve(conn net.Conn, number int) {
	in := bufio.NewReaderSize(conn, originBufferBytes)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		script, err := url.ParseQuery(request.Header.Get(HeaderScript))
		if err != nil {
			return
		}
		if o.Fault != nil {
			o.mu.Lock()
			o.Fault(o.rng, script)
			o.mu.Unlock()
		}
		a := &originAnswer{origin: o, conn: conn, in: in, request: request, script: script}
		if o.serveRequest(a, number) != nil {
			return
		}
	}
}

// serveRequest answers one request; an error ends the connection.
func (o *Origin) serveRequest(a *originAnswer, connNumber int) error {
	received := newRequest(a.request, connNumber)
	report := sync.OnceFunc(func() {
		if o.OnRequest != nil {
			o.OnRequest(received)
		}
	})
	defer report()
	isAnswered := false
	if a.script.Has("early") || a.script.Has("unread") {
		isAnswered = true
		if err := a.send(); err != nil || a.script.Has("unread") {
			if err == nil {
				closeLingering(a.conn, a.in)
			}
			return errScripted
		}
	}
	if a.request.Header.Get("Expect") != "" && !a.script.Has("never100") && !isAnswered {
		if _, err := io.WriteString(a.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	err := received.readBody(a.request, a.script)
	if a.script.Has("reset") {
		received.IsComplete = false
		report()
		resetConn(a.conn)
		return errScripted
	}
	report()
	if err != nil || isAnswered {
		return err
	}
	return a.send()
}

// newRequest returns a request whose body was not read yet.
func newRequest(request *http.Request, connNumber int) Request {
	received := Request{
		Method:  request.Method,
		Target:  request.RequestURI,
		Host:    request.Host,
		Header:  request.Header,
		Framing: "none",
		Conn:    connNumber,
	}
	switch {
	case len(request.TransferEncoding) > 0:
		received.Framing = "chunked"
	case request.Header.Get("Content-Length") != "":
		received.Framing = "length"
	}
	return received
}

// readBody reads the body, up to where the script resets the connection.
func (r *Request) readBody(request *http.Request, script url.Values) (err error) {
	h := sha256.New()
	body := io.Reader(request.Body)
	if limit, err := strconv.ParseInt(script.Get("reset"), 10, 64); err == nil {
		body = io.LimitReader(body, limit)
	}
	r.Bytes, err = io.Copy(h, body)
	r.Hash = shortHash(h)
	r.IsComplete = err == nil
	r.Trailer = request.Trailer
	return err
}

// closeLingering ends the output of a connection and reads for a while, so that the client receives the answer before
// it is reset.
func closeLingering(conn net.Conn, in io.Reader) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, in)
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// Fields returns header fields as sorted lines, without some of them, for comparisons.
func Fields(header http.Header, without ...string) string {
	var lines []string
	for name, values := range header {
		if slices.Contains(without, name) {
			continue
		}
		for _, value := range values {
			lines = append(lines, name+": "+value)
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
