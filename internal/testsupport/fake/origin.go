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

// HeaderScript is the request header that specifies how an Origin answers, in the form of a URL query:
//
//	status=200        status of the final answer
//	body=N            length of the body in bytes, filled from Pattern
//	frame=length      or chunked, close (the body ends with the connection), none (no body and no length)
//	trailer=1         a trailer is announced and sent; announced or sent: only that
//	interim=103       an interim response (1xx) before the final answer; may be repeated
//	early=1           the answer is sent before the body is read
//	unread=1          the body is not read, and the connection is closed after the answer
//	cut=N             the connection is closed, or reset if N is odd, after N bytes of the answer
//	reset=N           the connection is reset after N bytes of the request's body
//	silent=1          no answer
//	twice=1           the answer is sent twice
//	raw=TEXT          TEXT is sent, and nothing else
//	wait=TIME         pause before the answer
//	every=TIME        pause after each part of the body; parts have 1 KiB and are flushed
//	old=1             HTTP/1.0
//	type=TEXT         Content-Type of the answer
//	upgrade=1         switch to the requested protocol and echo everything received
//	never100=1        no 100 (Continue) for a request with Expect
const HeaderScript = "X-Script"

const (
	// originStream is the random number stream of an origin, used as the second seed value.
	originStream = 11
	// lingerTime is how long an origin keeps reading after answering an unread request. Closing with unread data would
	// reset the connection, and the client could lose the answer.
	lingerTime        = 500 * time.Millisecond
	originBufferBytes = 16 << 10
)

// errScripted is returned to end a connection as the script requires.
var errScripted = errors.New("connection ended by the script")

// Origin is an app server for generic HTTP. It works on raw connections, so that it can also send malformed or incomplete
// answers. It is safe for concurrent use.
type Origin struct {
	// Fault may modify the script of each request to inject faults. May be nil.
	Fault func(rng *rand.Rand, script url.Values)
	// Work is the execution time of each request, in addition to the pauses of its script.
	Work time.Duration
	// OnRequest is called with each request that was read or whose reading failed. May be nil.
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

// Request is a request as an Origin received it.
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
	Conn       int // number of the connection
}

// Start starts the origin on a free port of the loopback address.
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

// ConnCount returns the number of accepted connections.
func (o *Origin) ConnCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.connCount
}

// Close stops the origin and closes all its connections.
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

// serve serves the requests of one connection.
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

// serveRequest serves one request. An error ends the connection.
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

// newRequest returns the record of a request whose body has not been read yet.
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

// readBody reads the body, or only the part before the reset that the script specifies.
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

// closeLingering closes the write side of a connection and discards input for lingerTime, so that the client receives the
// answer before the connection is reset.
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

// Fields returns the header fields, except the excluded ones, as sorted lines for comparisons.
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
