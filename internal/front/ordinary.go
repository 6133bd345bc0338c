package front

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/customer"
	"lockflow/internal/hopheaders"
	"lockflow/internal/protocol"
	"lockflow/internal/responseclass"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

const (
	lingerFor     = time.Second
	headerRequest = "X-Request-Id"
)

// OrdinaryOptions are what an Ordinary is made with.
type OrdinaryOptions struct {
	Customers *customer.Book
	// SafeClass and Other are the classes of requests whose route names none: those that may run any
	// number of times by their method (RFC 9110, 9.2.1), and all others.
	SafeClass, UnsafeClass string
	// ClassWithoutKey names, for a class whose requests carry keys, the one of those that carry none.
	ClassWithoutKey map[string]string

	TimeoutHeader          string // by which a client shortens its deadline; "" is none
	SendTimeLeft           bool   // servers are told how long the node will wait
	SendRequestID          bool   // and a request's id, one that the client sent or one that is made
	RetryBufferBytes       int    // most bytes of a request's body that are held for a further attempt
	MaxBufferedAnswerBytes int    // most bytes of an answer that are held
	IdleTimeout            time.Duration
	MinBytesPerSecond      int64 // bytes a second, over a body's whole way, that a client has to read or send; 0 is any
	ResponseRules          responseclass.Rules
	AllowUnderscores       bool // names of fields may have them
	ForwardingHeaders      hopheaders.Tells
	TrustedProxies         []netip.Prefix
}

// Ordinary is HTTP as RFC 9110 and 9112 have it, from any client to any app server. It is safe
// for concurrent use.
type Ordinary struct {
	OrdinaryOptions
	ids atomic.Uint64
}

// NewOrdinary makes the protocol of one service.
func NewOrdinary(o OrdinaryOptions) *Ordinary {
	if o.Customers == nil {
		o.Customers = customer.New(customer.Options{})
	}
	return &Ordinary{OrdinaryOptions: o}
}

// ReadRequest reads a request but for its body.
func (o *Ordinary) ReadRequest(r *http.Request, to *Target, _ string, arrived time.Time) (*service.Exchange, *BadRequest) {
	if c := wireOf(r); c != nil && c.bad() != nil {
		wrong := bad(http.StatusBadRequest, "%v", c.bad())
		wrong.unread = true
		return nil, wrong
	}
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return nil, bad(http.StatusMethodNotAllowed, "%s is not served here", r.Method)
	case to.MaxBodyBytes >= 0 && r.ContentLength > to.MaxBodyBytes:
		wrong := bad(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", to.MaxBodyBytes)
		wrong.unread = true
		return nil, wrong
	case len(r.Header["Expect"]) > 0 && !strings.EqualFold(r.Header.Get("Expect"), "100-continue"):
		return nil, bad(http.StatusExpectationFailed, "Expect: %q", r.Header.Get("Expect"))
	}
	class := to.Class
	if class == "" {
		if class = o.UnsafeClass; protocol.Safe(r.Method) {
			class = o.SafeClass
		}
	}
	if once, keyed := o.ClassWithoutKey[class]; keyed && r.Header.Get(protocol.HeaderKey) == "" {
		class = once
	}
	k, ok := to.Service.Classes[class]
	if !ok {
		return nil, bad(http.StatusNotFound, "no class %q in this service", class)
	}
	wait := k.Deadline
	if o.TimeoutHeader != "" {
		if v := r.Header.Get(o.TimeoutHeader); v != "" {
			d, err := parseWait(v)
			if err != nil {
				return nil, bad(http.StatusBadRequest, "%s: %v", o.TimeoutHeader, err)
			}
			wait = min(wait, d)
		}
	}
	e := control.Request{ID: strconv.FormatUint(o.ids.Add(1), 36), Class: class, Units: 1, FanOut: to.Service.GroupSize, IsWrite: !protocol.Safe(r.Method)}
	e.Customer, e.Plan = o.Customers.Of(r, arrived)
	c := &call{most: to.MaxBodyBytes, idle: o.IdleTimeout}
	o.relay(&c.Relay, r, to, wait)
	c.Exchange = service.Exchange{Request: e, Forwarder: c, Deadline: arrived.Add(wait)}
	return &c.Exchange, nil
}

// call is one request on its way, with what its body and its early answers need.
type call struct {
	service.Exchange
	upstream.Relay
	most int64 // bytes of its body; below zero is any number
	idle time.Duration

	pace  pace         // of the body
	until atomic.Int64 // Unix time in ns after which the body is not read any more; 0 is never
	ctl   *http.ResponseController
	w     http.ResponseWriter
	given bool // the final answer has begun, or been given

	mu   sync.Mutex // of writing to the client before the final answer
	over bool       // the final answer's turn has come, or the client has left
}

// relay is what goes on of a request.
func (o *Ordinary) relay(q *upstream.Relay, r *http.Request, to *Target, wait time.Duration) {
	peer := hopheaders.Peer{Host: r.Host, Proto: "http"}
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		peer.Addr = a.Addr()
		peer.Trusted = hopheaders.Trusted(peer.Addr, o.TrustedProxies)
	}
	*q = upstream.Relay{
		Name: r.Method, Host: r.Host, Target: originForm(r.RequestURI), Header: hopheaders.Request(r.Header, peer, o.ForwardingHeaders, o.AllowUnderscores),
		Length: r.ContentLength, Rules: &o.ResponseRules, Hold: o.MaxBufferedAnswerBytes, Idle: o.IdleTimeout, Wait: wait, Tell: o.SendTimeLeft,
	}
	if o.SendRequestID && len(q.Header[headerRequest]) == 0 {
		q.Header[headerRequest] = []string{newID()}
	}
	if len(r.TransferEncoding) > 0 {
		q.Length = -1
		q.Trailer = func() http.Header { return r.Trailer }
		for name := range r.Trailer {
			q.TrailerNames = append(q.TrailerNames, name)
		}
		slices.Sort(q.TrailerNames)
	} else if r.ContentLength == 0 && r.Header.Get("Content-Length") == "" {
		q.Length = -1 // none is told either
	}
	if len(to.UpgradeProtocols) > 0 && r.ProtoAtLeast(1, 1) && r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		q.Upgrade = upgrade(r.Header, to.UpgradeProtocols)
	}
}

// upgrade is the protocol that a request wants to change to, where that is allowed (RFC 9110, 7.8).
func upgrade(h http.Header, allowed []string) string {
	v := h["Upgrade"]
	if len(v) != 1 || !slices.Contains(allowed, strings.ToLower(v[0])) {
		return ""
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(textproto.TrimString(name), "upgrade") {
				return v[0]
			}
		}
	}
	return ""
}

// originForm is a target as a server is sent it (RFC 9112, 3.2.1): without scheme and authority, else
// byte for byte as it came.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") || target == "*" {
		return target
	}
	_, rest, _ := strings.Cut(target, "://")
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

// parseWait reads how long a client waits: a time such as "1.5s" or "800ms", or a number of seconds.
func parseWait(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		var v float64
		if v, err = protocol.ParseNumber(s); err == nil && v < math.MaxInt32 {
			d = time.Duration(v * float64(time.Second))
		}
	}
	if err != nil || d <= 0 {
		return 0, fmt.Errorf("%q is no time such as \"1.5s\"", s)
	}
	return d, nil
}

// ReservedBytes is the most bytes that are held of a request.
func (o *Ordinary) ReservedBytes(r *http.Request) int64 {
	switch n := r.ContentLength; {
	case n == 0:
		return 0
	case n > 0 && n <= int64(o.RetryBufferBytes):
		return n
	}
	return int64(o.RetryBufferBytes) + windows
}

// ReadBody reads a body that is held whole, and makes a way for one that is not. Guards against a
// server that is taken up by a client which sends a small body slowly.
func (o *Ordinary) ReadBody(w http.ResponseWriter, r *http.Request, x *service.Exchange) *BadRequest {
	c := x.Forwarder.(*call)
	c.w, c.ctl = w, http.NewResponseController(w)
	if r.ProtoAtLeast(1, 1) {
		c.Early = c
	}
	if r.ContentLength == 0 {
		_ = c.ctl.SetReadDeadline(time.Time{}) // net/http goes on reading, to notice a hang-up
		return nil
	}
	c.Expect = len(r.Header["Expect"]) > 0 && r.ProtoAtLeast(1, 1)
	c.pace = pace{idle: o.IdleTimeout, least: o.MinBytesPerSecond}
	c.Body = retrybuffer.New(&incoming{r.Body, c}, o.RetryBufferBytes, c.beforeRead)
	if c.Expect || c.Length < 0 || c.Length > int64(o.RetryBufferBytes) {
		_ = c.ctl.EnableFullDuplex() // an answer may come before all of the body has
		x.Request.HasPendingBody = true
		return nil
	}
	if err := c.Body.Fill(c.Length); err != nil {
		wrong := bad(http.StatusBadRequest, "reading the body: %v", err)
		var late net.Error
		if errors.As(err, &late) && late.Timeout() || errors.Is(err, errSlow) {
			wrong.status = http.StatusRequestTimeout
		}
		wrong.unread = true
		return wrong
	}
	return nil
}

// beforeRead bounds the wait for the next part of a body.
func (c *call) beforeRead() {
	by := time.Now().Add(c.idle)
	if u := c.until.Load(); u != 0 {
		by = time.Unix(0, u)
	}
	_ = c.ctl.SetReadDeadline(by)
}

var errBodyMost = errors.New("a body of too many bytes")

// incoming is a request's body as it comes, held to what it may have.
type incoming struct {
	io.Reader
	c *call
}

func (in *incoming) Read(p []byte) (int, error) {
	n, err := in.Reader.Read(p)
	if slow := in.c.pace.moved(time.Now(), n); slow != nil && err == nil {
		err = slow
	}
	if in.c.most >= 0 && in.c.pace.bytes > in.c.most {
		return 0, errBodyMost
	}
	if errors.Is(err, io.EOF) {
		// The library goes on reading, to notice a hang-up: no bound on the body must end that.
		_ = in.c.ctl.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Interim sends an answer of 1xx, unless the final one's turn has come.
func (c *call) Interim(status int, from http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	h := c.w.Header()
	hopheaders.Answer(h, from)
	_ = c.ctl.SetWriteDeadline(time.Now().Add(c.idle))
	c.w.WriteHeader(status)
	clear(h)
}

// Finish reads no more of a request. Guards against an answer that the client never reads because its
// connection was reset while it still sent: what comes for a moment is thrown away.
func (o *Ordinary) Finish(x *service.Exchange) {
	c := x.Forwarder.(*call)
	c.last()
	body := c.Body
	if body == nil {
		return
	}
	// Guards, with the connection's end, against an answer that nobody made: what is flushed before
	// there is a head is one of 200.
	if c.given && !body.Ended() && body.Err() == nil {
		_ = c.ctl.Flush()
		until := time.Now().Add(lingerFor)
		c.until.Store(until.UnixNano())
		_ = c.ctl.SetReadDeadline(until)
		body.Discard()
	}
	body.Close(func() { _ = c.ctl.SetReadDeadline(time.Unix(1, 0)) })
}

// last keeps early answers from the client from now on.
func (c *call) last() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
}

// newID is a request's id where the client brings none.
func newID() string {
	return strconv.FormatUint(rand.Uint64(), 16) + strconv.FormatUint(rand.Uint64(), 16)
}
