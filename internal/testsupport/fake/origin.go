package fake

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
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

// HeaderScript is the field by which a request tells an Origin what to answer, as a query:
//
//	status=200        of the final answer
//	body=N            bytes, made by Pattern
//	frame=length      or chunked, close (the body ends with the connection), none (nothing told)
//	trailer=1         one that is announced and sent; announced, sent: only the one
//	interim=103       an answer of 1xx ahead; may be repeated
//	early=1           the answer goes out before the body is read, which is read then
//	unread=1          the body is not read at all, and the connection closed behind the answer
//	cut=N             the connection is closed, or reset, after N bytes of the answer
//	reset=N           it is reset once N bytes of the request's body have come
//	silent=1          there is no answer
//	twice=1           the answer goes out twice
//	raw=TEXT          this goes out, and nothing else
//	wait=TIME         before the answer
//	every=TIME        pause between parts of a body, each of 1 KiB; flushed
//	old=1             the answer is of HTTP/1.0
//	type=TEXT         Content-Type
//	upgrade=1         a change to the protocol asked for; then all that comes is sent back
//	never100=1        Expect is not answered by 100
const HeaderScript = "X-Script"

// Origin is an app server of generic HTTP on raw connections, so that it can answer well or in
// any other way. It tells what it was sent. It is safe for concurrent use.
type Origin struct {
	// Fault may change the script of each request, by chance; nil changes none.
	Fault func(rng *rand.Rand, script url.Values)
	// Work is how long each request takes, beside what its script says.
	Work time.Duration
	// OnRequest is told of each request once it has been read, or has broken off; may be nil.
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

// Request is what came to an Origin.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Trailer              http.Header
	Framing              string // none, length or chunked
	Bytes                int64
	Hash                 string // of the body
	IsComplete           bool   // to its last byte
	Conn                 int    // number of its connection
}

// Start has it listen on a loopback address of its own.
func (o *Origin) Start() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("starting an origin: %w", err)
	}
	o.listener, o.conns, o.rng = l, make(map[net.Conn]bool), rand.New(rand.NewPCG(o.Seed, 11))
	o.goroutines.Go(func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			o.mu.Lock()
			if o.isClosed {
				c.Close()
			} else {
				o.conns[c] = true
			}
			o.connCount++
			o.mu.Unlock()
			o.goroutines.Go(func() {
				o.serve(c, n)
				c.Close()
				o.mu.Lock()
				delete(o.conns, c)
				o.mu.Unlock()
			})
		}
	})
	return nil
}

// Addr is where it listens.
func (o *Origin) Addr() string { return o.listener.Addr().String() }

// ConnCount is how many connections it has taken.
func (o *Origin) ConnCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.connCount
}

// Close ends it with all its connections.
func (o *Origin) Close() {
	o.listener.Close()
	o.mu.Lock()
	o.isClosed = true
	for c := range o.conns {
		c.Close()
	}
	o.mu.Unlock()
	o.goroutines.Wait()
}

// Pattern is a body's byte at a place: no part of it looks like another.
func Pattern(at int64) byte { return byte(at*131 + at>>8*31 + at>>16*17) }

// PatternReader reads n bytes of Pattern.
func PatternReader(n int64) io.Reader { return &patternReader{n: n} }

type patternReader struct{ at, n int64 }

func (p *patternReader) Read(b []byte) (int, error) {
	if p.at >= p.n {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.n-p.at))
	for i := range n {
		b[i] = Pattern(p.at + int64(i))
	}
	p.at += int64(n)
	return n, nil
}

// HashOf is the hash of a body of n bytes of Pattern, as Request has it.
func HashOf(n int64) string {
	h := sha256.New()
	_, _ = io.Copy(h, PatternReader(n)) // neither side of it fails
	return shortHash(h)
}

func shortHash(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)[:8]) }

var errScripted = errors.New("so the script has it")

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// serve answers requests of one connection.
func (o *Origin) serve(c net.Conn, n int) {
	in := bufio.NewReaderSize(c, 16<<10)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s, err := url.ParseQuery(r.Header.Get(HeaderScript))
		if err != nil {
			return
		}
		if o.Fault != nil {
			o.mu.Lock()
			o.Fault(o.rng, s)
			o.mu.Unlock()
		}
		if o.serveRequest(c, in, r, s, n) != nil {
			return
		}
	}
}

// serveRequest answers one request; an error ends the connection.
func (o *Origin) serveRequest(c net.Conn, in *bufio.Reader, r *http.Request, s url.Values, n int) error {
	got := Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Framing: "none", Conn: n}
	switch {
	case len(r.TransferEncoding) > 0:
		got.Framing = "chunked"
	case r.Header.Get("Content-Length") != "":
		got.Framing = "length"
	}
	seen := sync.OnceFunc(func() {
		if o.OnRequest != nil {
			o.OnRequest(got)
		}
	})
	defer seen()
	answered := false
	answer := func() error {
		answered = true
		return o.answer(c, in, r, s)
	}
	if s.Has("early") || s.Has("unread") {
		if err := answer(); err != nil || s.Has("unread") {
			if tcp, ok := c.(*net.TCPConn); ok && err == nil { // as servers do that mean to be heard
				_ = tcp.CloseWrite()
				_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
				_, _ = io.Copy(io.Discard, in)
			}
			return errScripted
		}
	}
	if r.Header.Get("Expect") != "" && !s.Has("never100") && !answered {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	h := sha256.New()
	body := io.Reader(r.Body)
	if at, err := strconv.ParseInt(s.Get("reset"), 10, 64); err == nil {
		body = io.LimitReader(body, at)
	}
	var err error
	got.Bytes, err = io.Copy(h, body)
	got.Hash, got.IsComplete, got.Trailer = shortHash(h), err == nil, r.Trailer
	if s.Has("reset") {
		got.IsComplete = false
		seen()
		reset(c)
		return errScripted
	}
	seen()
	if err != nil || answered {
		return err
	}
	return answer()
}

// limited ends what goes through it after so many bytes.
type limited struct {
	w    io.Writer
	left int64
}

func (l *limited) Write(p []byte) (int, error) {
	n, err := l.w.Write(p[:min(int64(len(p)), l.left)])
	if l.left -= int64(n); err == nil && n < len(p) {
		err = errScripted
	}
	return n, err
}

func (o *Origin) answer(c net.Conn, in *bufio.Reader, r *http.Request, s url.Values) error {
	if d, err := time.ParseDuration(s.Get("wait")); err == nil {
		time.Sleep(d)
	}
	if o.Work > 0 {
		time.Sleep(o.Work)
	}
	if s.Has("silent") {
		_, _ = io.Copy(io.Discard, in)
		return errScripted
	}
	var to io.Writer = c
	cut, err := strconv.ParseInt(s.Get("cut"), 10, 64)
	if err == nil {
		to = &limited{c, cut}
	}
	if s.Has("raw") {
		_, _ = io.WriteString(to, s.Get("raw"))
		return errScripted
	}
	w := bufio.NewWriterSize(to, 8<<10)
	for range 1 + len(s["twice"]) {
		if err = o.write(w, r, s); err != nil {
			break
		}
	}
	if err == nil {
		err = w.Flush()
	}
	switch {
	case err != nil && cut%2 == 1:
		reset(c)
	case err == nil && s.Has("upgrade"):
		_, _ = io.Copy(c, in)
		return errScripted
	case err == nil && (s.Get("frame") == "close" || s.Get("frame") == "none" || s.Has("old") || r.Close):
		return errScripted
	}
	return err
}

func (o *Origin) write(w *bufio.Writer, r *http.Request, s url.Values) error {
	for _, i := range s["interim"] {
		fmt.Fprintf(w, "HTTP/1.1 %s Early\r\nLink: </style.css>\r\n\r\n", i)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if s.Has("upgrade") {
		fmt.Fprintf(w, "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: %s\r\n\r\n", r.Header.Get("Upgrade"))
		return w.Flush()
	}
	status, err := strconv.Atoi(s.Get("status"))
	if err != nil {
		status = http.StatusOK
	}
	version := "1.1"
	if s.Has("old") {
		version = "1.0"
	}
	fmt.Fprintf(w, "HTTP/%s %d %s\r\nX-Origin: it\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nDate: Tue, 01 Dec 2026 12:00:00 GMT\r\n", version, status, http.StatusText(status))
	if t := s.Get("type"); t != "" {
		fmt.Fprintf(w, "Content-Type: %s\r\n", t)
	}
	n, _ := strconv.ParseInt(s.Get("body"), 10, 64)
	frame := s.Get("frame")
	if frame == "" {
		frame = "length"
	}
	trailer := s.Get("trailer")
	switch {
	case status == http.StatusNoContent || frame == "none":
		n = 0
	case frame == "length":
		fmt.Fprintf(w, "Content-Length: %d\r\n", n)
	case frame == "chunked":
		if trailer == "1" || trailer == "announced" {
			w.WriteString("Trailer: X-Sum\r\n")
		}
		w.WriteString("Transfer-Encoding: chunked\r\n")
	case frame == "close":
		w.WriteString("Connection: close\r\n")
	}
	w.WriteString("\r\n")
	if r.Method == http.MethodHead || status == http.StatusNotModified {
		return w.Flush()
	}
	if err := o.body(w, s, n, frame); err != nil {
		return err
	}
	if frame == "chunked" {
		w.WriteString("0\r\n")
		if trailer == "1" || trailer == "sent" {
			w.WriteString("X-Sum: 42\r\n")
		}
		w.WriteString("\r\n")
	}
	return nil
}

func (o *Origin) body(w *bufio.Writer, s url.Values, n int64, frame string) error {
	every, err := time.ParseDuration(s.Get("every"))
	part := int64(16 << 10)
	if err == nil {
		part = 1 << 10
	}
	p := make([]byte, part)
	for src := PatternReader(n); n > 0; {
		m, _ := io.ReadFull(src, p[:min(n, part)])
		if frame == "chunked" {
			fmt.Fprintf(w, "%x\r\n", m)
		}
		w.Write(p[:m])
		if frame == "chunked" {
			w.WriteString("\r\n")
		}
		n -= int64(m)
		if every > 0 {
			if err := w.Flush(); err != nil {
				return err
			}
			time.Sleep(every)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// Fields lists fields as lines, sorted, without some: for comparing what two sides saw.
func Fields(h http.Header, without ...string) string {
	var lines []string
	for k, values := range h {
		if slices.Contains(without, k) {
			continue
		}
		for _, v := range values {
			lines = append(lines, k+": "+v)
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
