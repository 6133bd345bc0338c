package node

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"martennotch/control"
)

const (
	idMost        = 128
	timeLeftSlack = 50 * time.Millisecond // over a class's deadline
	headMost      = 16 << 10
	clientIdle    = 10 * time.Second
	requestWithin = 2 * time.Second        // of a request's head and body
	silentMost    = 250 * time.Millisecond // of a new connection where others want its place
	answerWithin  = 2 * time.Second        // of the writing of an answer
	customersMost = 1 << 33
)

// front is the side to the clients.
type front struct {
	loop     *loop
	classes  map[string]control.Class
	plans    map[string]bool
	group    int
	unitsTop float64 // 0 is not told
	ready    atomic.Bool
	draining atomic.Bool

	mu    sync.Mutex
	idle  map[net.Conn]time.Time // client connections between two requests
	fresh map[net.Conn]time.Time // those that have not sent a whole head yet
}

func newFront(s control.Settings, l *loop, socks *sockets) *front {
	f := &front{loop: l, classes: make(map[string]control.Class), plans: make(map[string]bool),
		group: s.GroupSize, unitsTop: s.UnitsTop, idle: make(map[net.Conn]time.Time),
		fresh: make(map[net.Conn]time.Time)}
	for _, k := range s.Classes {
		f.classes[k.Name] = k
	}
	for _, p := range s.Plans {
		f.plans[p.Name] = true
	}
	socks.evictClient = f.evict
	return f
}

// server is the HTTP server of the clients. An answer or a close is owed to each soon after
// it has connected, so a request has to come whole in time; ServeHTTP then lifts the limit.
func (f *front) server() *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: headMost, IdleTimeout: clientIdle, ConnState: f.state,
		ReadHeaderTimeout: requestWithin, ReadTimeout: requestWithin}
}

// state keeps track of the client connections on which no request is open.
func (f *front) state(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.idle, c)
	delete(f.fresh, c)
	switch s {
	case http.StateIdle:
		f.idle[c] = time.Now()
	case http.StateNew:
		f.fresh[c] = time.Now()
	}
}

// evict closes a client connection that has said nothing for too long, else the one that
// has been idle for the longest time.
func (f *front) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, since := oldest(f.fresh)
	if c == nil || time.Since(since) < silentMost {
		if c, _ = oldest(f.idle); c == nil {
			return false
		}
	}
	delete(f.idle, c)
	delete(f.fresh, c)
	c.Close()
	return true
}

func oldest(conns map[net.Conn]time.Time) (first net.Conn, since time.Time) {
	for c, t := range conns {
		if first == nil || t.Before(since) {
			first, since = c, t
		}
	}
	return first, since
}

// ServeHTTP holds a client's request until its final answer.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path == "/healthz" {
		status := http.StatusOK
		if !f.ready.Load() || f.draining.Load() {
			status = http.StatusServiceUnavailable
		}
		f.write(w, answer{status: status})
		return
	}
	x, wrong := f.exchange(r, arrived)
	if wrong != nil {
		if wrong.unread {
			w.Header().Set("Connection", "close")
		}
		f.write(w, answer{status: wrong.status, body: []byte(wrong.text + "\n")})
		return
	}
	// net/http goes on reading while a request is held, to notice a hang-up; the limit on
	// the request's own time must not end that.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	f.loop.post(func() { f.loop.begin(x) })
	select {
	case a := <-x.answer:
		f.write(w, a)
	case <-r.Context().Done():
		f.loop.post(func() { f.loop.hangup(x) })
	case <-f.loop.ended:
		a := answer{status: http.StatusBadGateway} // of one that came too late to be seen
		select {
		case a = <-x.answer:
		default:
		}
		f.write(w, a)
	}
}

// write sends an answer, whatever it is.
func (f *front) write(w http.ResponseWriter, a answer) {
	// Guards against a client that takes nothing.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWithin))
	h := w.Header()
	// Guards against requests that come on a held one's connection after the drain: what
	// counts is whether the node drains now, not when the request came.
	if f.draining.Load() {
		h.Set("Connection", "close")
	}
	for k, v := range a.header {
		if !ownHeader(k) {
			h[k] = v
		}
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // not to be guessed from the body
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // a client that has left is noticed by its context
}

// ownHeader tells whether a header speaks of one connection or hop only.
func ownHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", headerUsed, headerCost, headerLoad, headerUnseen:
		return true
	}
	return false
}

// badRequest is a client's mistake and the status that tells it.
type badRequest struct {
	status int
	text   string
	unread bool // what follows on the connection can't be told from this request
}

func bad(status int, format string, args ...any) *badRequest {
	return &badRequest{status: status, text: fmt.Sprintf(format, args...)}
}

// exchange reads a client's request. The module must not hear of one that is wrong.
func (f *front) exchange(r *http.Request, arrived time.Time) (*exchange, *badRequest) {
	if wrong := framing(r); wrong != nil {
		wrong.unread = true
		return nil, wrong
	}
	// Guards against app servers that read another one of two values than this node.
	for _, name := range onceOnly {
		if len(r.Header[name]) > 1 {
			return nil, bad(http.StatusBadRequest, "%s: given twice", name)
		}
	}
	e := control.Request{ID: r.Header.Get(headerID), Plan: r.Header.Get(headerPlan), Units: 1, Spread: 1,
		Repeat: r.Header.Get(headerRepeat) == "1", Write: r.Method != http.MethodGet}
	if e.ID == "" || len(e.ID) > idMost {
		return nil, bad(http.StatusBadRequest, "%s: none, or too long", headerID)
	}
	e.Class, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := f.classes[e.Class]
	if !ok {
		return nil, bad(http.StatusNotFound, "unknown class %q", e.Class)
	}
	if (class.Effect == control.Free) != (r.Method == http.MethodGet) ||
		class.Effect != control.Free && r.Method != http.MethodPost {
		return nil, bad(http.StatusMethodNotAllowed, "%s: not a method of class %s", r.Method, e.Class)
	}
	if class.Effect == control.Free && r.ContentLength != 0 {
		return nil, bad(http.StatusBadRequest, "a body with %s", r.Method)
	}
	if class.Effect == control.Guarded && r.Header.Get(headerKey) == "" {
		return nil, bad(http.StatusBadRequest, "%s: none", headerKey)
	}
	if !f.plans[e.Plan] {
		return nil, bad(http.StatusBadRequest, "%s: unknown plan %q", headerPlan, e.Plan)
	}
	if accounts := r.URL.Query()["account"]; len(accounts) == 1 {
		e.Customer = strings.ToLower(accounts[0])
	}
	if n, err := strconv.ParseUint(e.Customer, 16, 64); err != nil || len(e.Customer) != 16 || n >= customersMost {
		return nil, bad(http.StatusBadRequest, "account: %q is none", e.Customer)
	}
	left, err := parseTimeLeft(r.Header.Get(headerTimeLeft), class.Deadline)
	if err != nil {
		return nil, bad(http.StatusBadRequest, "%s: %v", headerTimeLeft, err)
	}
	if err := f.weight(&e, r.Header.Get(headerWeight)); err != nil {
		return nil, bad(http.StatusBadRequest, "%s: %v", headerWeight, err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		wrong := bad(http.StatusBadRequest, "reading the body: %v", err)
		wrong.unread = true
		return nil, wrong
	}
	return &exchange{req: e, body: body, forward: forward(r), deadline: arrived.Add(left - answerAhead),
		answer: make(chan answer, 1)}, nil
}

// onceOnly are the headers by which a request is told from others.
var onceOnly = []string{headerID, headerPlan, headerTimeLeft, headerWeight, headerRepeat, headerKey}

// framing holds a request to what clients of the protocol send: a length. Guards against a
// second request in the body of one that also has a Transfer-Encoding, for which net/http
// drops the length, and against reading what is too long to be passed on.
func framing(r *http.Request) *badRequest {
	switch {
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return bad(http.StatusLengthRequired, "a body needs a Content-Length and no Transfer-Encoding")
	case r.ContentLength > bodyMost:
		return bad(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", bodyMost)
	}
	return nil
}

// forward is what goes on of a request.
func forward(r *http.Request) *http.Request {
	out := &http.Request{Method: r.Method, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Header: make(http.Header, len(r.Header)+2)}
	hop := r.Header.Values("Connection") // names further headers of this hop
	for k, v := range r.Header {
		if !ownHeader(k) && !slices.ContainsFunc(hop, func(list string) bool {
			return slices.ContainsFunc(strings.Split(list, ","), func(name string) bool {
				return textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) == k
			})
		}) {
			out.Header[k] = v
		}
	}
	if out.Header.Get("User-Agent") == "" {
		out.Header["User-Agent"] = []string{""} // none of the library's own
	}
	return out
}

// parseTimeLeft reads a number with the unit m (milliseconds) or u (microseconds). No client
// waits for longer than its class has it.
func parseTimeLeft(s string, most time.Duration) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(s, "u")
	}
	v, err := parseNumber(number)
	if d := v * float64(unit); !ok || err != nil || d <= 0 || d > float64(most+timeLeftSlack) {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(v * float64(unit)), nil
}

// weight reads the units and the customer's set of edge nodes. Guards against figures that
// would spoil what the module knows of a customer.
func (f *front) weight(e *control.Request, s string) error {
	if s == "" {
		return nil
	}
	seen := make(map[string]bool, 3)
	for pair := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := parseNumber(value)
		whole := err == nil && v == math.Trunc(v)
		ok := !seen[name]
		seen[name] = true
		switch name {
		case "units":
			ok = ok && err == nil && v > 0 && (f.unitsTop == 0 || v <= f.unitsTop)
			e.Units = v
		case "spread":
			ok = ok && whole && v >= 1 && v <= float64(f.group)
			e.Spread = int(v)
		case "first":
			ok = ok && whole && v >= 0 && v < float64(f.group)
			e.SetStart = int(v)
		}
		if !ok {
			return fmt.Errorf("%s: %q", name, value)
		}
	}
	return nil
}
