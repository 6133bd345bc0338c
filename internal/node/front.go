package node

import (
	"errors"
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
	timeLeftMost  = time.Hour
	headMost      = 16 << 10
	clientIdle    = 2 * time.Minute
	headWithin    = 10 * time.Second // of a request's head and body
	answerWithin  = 2 * time.Second  // of the writing of an answer
	customersMost = 1 << 33
)

// front is the side to the clients.
type front struct {
	loop     *loop
	classes  map[string]control.Class
	plans    map[string]bool
	group    int
	ready    atomic.Bool
	draining atomic.Bool

	mu   sync.Mutex
	idle map[net.Conn]time.Time // client connections between two requests
}

func newFront(s control.Settings, l *loop, socks *sockets) *front {
	f := &front{loop: l, classes: make(map[string]control.Class), plans: make(map[string]bool),
		group: s.GroupSize, idle: make(map[net.Conn]time.Time)}
	for _, k := range s.Classes {
		f.classes[k.Name] = k
	}
	for _, p := range s.Plans {
		f.plans[p.Name] = true
	}
	socks.evict = append(socks.evict, f.evict)
	return f
}

// server is the HTTP server of the clients.
func (f *front) server() *http.Server {
	longest := time.Duration(0)
	for _, k := range f.classes {
		longest = max(longest, k.Deadline)
	}
	return &http.Server{Handler: f, MaxHeaderBytes: headMost, IdleTimeout: clientIdle, ConnState: f.state,
		// net/http goes on reading while a request is held, to notice a hang-up; the
		// limit on reading must not end that before the longest deadline.
		ReadHeaderTimeout: headWithin, ReadTimeout: headWithin + 2*longest}
}

// state keeps track of the idle client connections.
func (f *front) state(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == http.StateIdle {
		f.idle[c] = time.Now()
	} else {
		delete(f.idle, c)
	}
}

// evict closes the client connection that has been idle for the longest time.
func (f *front) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var oldest net.Conn
	for c, since := range f.idle {
		if oldest == nil || since.Before(f.idle[oldest]) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(f.idle, oldest)
	oldest.Close()
	return true
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
		f.write(w, answer{status: wrong.status, body: []byte(wrong.text + "\n")})
		return
	}
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
}

func bad(status int, format string, args ...any) *badRequest {
	return &badRequest{status, fmt.Sprintf(format, args...)}
}

// exchange reads a client's request.
func (f *front) exchange(r *http.Request, arrived time.Time) (*exchange, *badRequest) {
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
	if class.Effect == control.Guarded && r.Header.Get(headerKey) == "" {
		return nil, bad(http.StatusBadRequest, "%s: none", headerKey)
	}
	if !f.plans[e.Plan] {
		return nil, bad(http.StatusBadRequest, "%s: unknown plan %q", headerPlan, e.Plan)
	}
	e.Customer = strings.ToLower(r.URL.Query().Get("account"))
	if n, err := strconv.ParseUint(e.Customer, 16, 64); err != nil || len(e.Customer) != 16 || n >= customersMost {
		return nil, bad(http.StatusBadRequest, "account: %q is none", e.Customer)
	}
	left, err := parseTimeLeft(r.Header.Get(headerTimeLeft))
	if err != nil {
		return nil, bad(http.StatusBadRequest, "%s: %v", headerTimeLeft, err)
	}
	if err := f.weight(&e, r.Header.Get(headerWeight)); err != nil {
		return nil, bad(http.StatusBadRequest, "%s: %v", headerWeight, err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, bodyMost))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, bad(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", bodyMost)
	} else if err != nil {
		return nil, bad(http.StatusBadRequest, "reading the body: %v", err)
	}
	return &exchange{req: e, body: body, forward: forward(r), deadline: arrived.Add(left - answerAhead),
		answer: make(chan answer, 1)}, nil
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

// parseTimeLeft reads a number with the unit m (milliseconds) or u (microseconds).
func parseTimeLeft(s string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(s, "u")
	}
	v, err := parseNumber(number)
	if d := v * float64(unit); !ok || err != nil || d <= 0 || d > float64(timeLeftMost) {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(v * float64(unit)), nil
}

// weight reads the units and the customer's set of edge nodes.
func (f *front) weight(e *control.Request, s string) error {
	if s == "" {
		return nil
	}
	for pair := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := parseNumber(value)
		whole := err == nil && v == math.Trunc(v)
		switch name {
		case "units":
			e.Units = v
			if err != nil || v <= 0 {
				return fmt.Errorf("units: %q", value)
			}
		case "spread":
			if !whole || v < 1 || v > float64(f.group) {
				return fmt.Errorf("spread: %q", value)
			}
			e.Spread = int(v)
		case "first":
			if !whole || v < 0 || v >= float64(f.group) {
				return fmt.Errorf("first: %q", value)
			}
			e.SetStart = int(v)
		}
	}
	return nil
}
