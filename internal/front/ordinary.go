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
	discardTime     = time.Second
	requestIDHeader = "X-Request-Id"
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
func (o *Ordinary) ReadRequest(r *http.Request, target *Target, _ string, arrived time.Time) (*service.Exchange, *BadRequest) {
	if connection := validatingConnOf(r); connection != nil && connection.validationError() != nil {
		badRequest := newBadRequest(http.StatusBadRequest, "%v", connection.validationError())
		badRequest.closeConnection = true
		return nil, badRequest
	}
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return nil, newBadRequest(http.StatusMethodNotAllowed, "%s is not served here", r.Method)
	case target.MaxBodyBytes >= 0 && r.ContentLength > target.MaxBodyBytes:
		badRequest := newBadRequest(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", target.MaxBodyBytes)
		badRequest.closeConnection = true
		return nil, badRequest
	case len(r.Header["Expect"]) > 0 && !strings.EqualFold(r.Header.Get("Expect"), "100-continue"):
		return nil, newBadRequest(http.StatusExpectationFailed, "Expect: %q", r.Header.Get("Expect"))
	}
	class := target.Class
	if class == "" {
		if class = o.UnsafeClass; protocol.Safe(r.Method) {
			class = o.SafeClass
		}
	}
	if nonIdempotent, ok := o.ClassWithoutKey[class]; ok && r.Header.Get(protocol.HeaderKey) == "" {
		class = nonIdempotent
	}
	classRule, ok := target.Service.Classes[class]
	if !ok {
		return nil, newBadRequest(http.StatusNotFound, "no class %q in this service", class)
	}
	deadline := classRule.Deadline
	if o.TimeoutHeader != "" {
		if value := r.Header.Get(o.TimeoutHeader); value != "" {
			timeout, err := parseTimeout(value)
			if err != nil {
				return nil, newBadRequest(http.StatusBadRequest, "%s: %v", o.TimeoutHeader, err)
			}
			deadline = min(deadline, timeout)
		}
	}
	request := control.Request{ID: strconv.FormatUint(o.ids.Add(1), 36), Class: class, Units: 1, FanOut: target.Service.GroupSize, IsWrite: !protocol.Safe(r.Method)}
	request.Customer, request.Plan = o.Customers.Of(r, arrived)
	connection := &ordinaryCall{maxBodyBytes: target.MaxBodyBytes, idleTimeout: o.IdleTimeout}
	o.setRelay(&connection.Relay, r, target, deadline)
	connection.Exchange = service.Exchange{Request: request, Forwarder: connection, Deadline: arrived.Add(deadline)}
	return &connection.Exchange, nil
}

// ordinaryCall is one request on its way, with what its body and its early answers need.
type ordinaryCall struct {
	service.Exchange
	upstream.Relay
	maxBodyBytes int64 // bytes of its body; below zero is any number
	idleTimeout  time.Duration

	bodyRate        rateGuard    // of the body
	discardDeadline atomic.Int64 // Unix time in ns after which the body is not read any more; 0 is never
	controller      *http.ResponseController
	writer          http.ResponseWriter
	hasAnswer       bool // the final answer has begun, or been given

	mu      sync.Mutex // of writing to the client before the final answer
	isFinal bool       // the final answer's turn has come, or the client has left
}

// setRelay is what goes on of a request.
func (o *Ordinary) setRelay(relay *upstream.Relay, r *http.Request, target *Target, deadline time.Duration) {
	peer := hopheaders.Peer{Host: r.Host, Proto: "http"}
	if address, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		peer.Addr = address.Addr()
		peer.Trusted = hopheaders.Trusted(peer.Addr, o.TrustedProxies)
	}
	*relay = upstream.Relay{
		Name: r.Method, Host: r.Host, Target: originForm(r.RequestURI), Header: hopheaders.Request(r.Header, peer, o.ForwardingHeaders, o.AllowUnderscores),
		Length: r.ContentLength, Rules: &o.ResponseRules, Hold: o.MaxBufferedAnswerBytes, Idle: o.IdleTimeout, Wait: deadline, Tell: o.SendTimeLeft,
	}
	if o.SendRequestID && len(relay.Header[requestIDHeader]) == 0 {
		relay.Header[requestIDHeader] = []string{newRequestID()}
	}
	if len(r.TransferEncoding) > 0 {
		relay.Length = -1
		relay.Trailer = func() http.Header { return r.Trailer }
		for name := range r.Trailer {
			relay.TrailerNames = append(relay.TrailerNames, name)
		}
		slices.Sort(relay.TrailerNames)
	} else if r.ContentLength == 0 && r.Header.Get("Content-Length") == "" {
		relay.Length = -1 // none is told either
	}
	if len(target.UpgradeProtocols) > 0 && r.ProtoAtLeast(1, 1) && r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		relay.Upgrade = requestedUpgrade(r.Header, target.UpgradeProtocols)
	}
}

// requestedUpgrade is the protocol that a request wants to change to, where that is allowed (RFC 9110, 7.8).
func requestedUpgrade(header http.Header, allowed []string) string {
	values := header["Upgrade"]
	if len(values) != 1 || !slices.Contains(allowed, strings.ToLower(values[0])) {
		return ""
	}
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(textproto.TrimString(name), "upgrade") {
				return values[0]
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
	end := strings.IndexAny(rest, "/?")
	switch {
	case end < 0:
		return "/"
	case rest[end] == '?':
		return "/" + rest[end:]
	}
	return rest[end:]
}

// parseTimeout reads how long a client waits: a time such as "1.5s" or "800ms", or a number of seconds.
func parseTimeout(text string) (time.Duration, error) {
	timeout, err := time.ParseDuration(text)
	if err != nil {
		var seconds float64
		if seconds, err = protocol.ParseNumber(text); err == nil && seconds < math.MaxInt32 {
			timeout = time.Duration(seconds * float64(time.Second))
		}
	}
	if err != nil || timeout <= 0 {
		return 0, fmt.Errorf("%q is no time such as \"1.5s\"", text)
	}
	return timeout, nil
}

// ReservedBytes is the most bytes that are held of a request.
func (o *Ordinary) ReservedBytes(r *http.Request) int64 {
	switch n := r.ContentLength; {
	case n == 0:
		return 0
	case n > 0 && n <= int64(o.RetryBufferBytes):
		return n
	}
	return int64(o.RetryBufferBytes) + relayBufferBytes
}

// ReadBody reads a body that is held whole, and makes a way for one that is not. Guards against a
// server that is taken up by a client which sends a small body slowly.
func (o *Ordinary) ReadBody(w http.ResponseWriter, r *http.Request, exchange *service.Exchange) *BadRequest {
	call := exchange.Forwarder.(*ordinaryCall)
	call.writer, call.controller = w, http.NewResponseController(w)
	if r.ProtoAtLeast(1, 1) {
		call.Early = call
	}
	if r.ContentLength == 0 {
		_ = call.controller.SetReadDeadline(time.Time{}) // net/http goes on reading, to notice a hang-up
		return nil
	}
	call.Expect = len(r.Header["Expect"]) > 0 && r.ProtoAtLeast(1, 1)
	call.bodyRate = rateGuard{gracePeriod: o.IdleTimeout, minBytesPerSecond: o.MinBytesPerSecond}
	call.Body = retrybuffer.New(&limitedBody{r.Body, call}, o.RetryBufferBytes, call.setReadDeadline)
	if call.Expect || call.Length < 0 || call.Length > int64(o.RetryBufferBytes) {
		_ = call.controller.EnableFullDuplex() // an answer may come before all of the body has
		exchange.Request.HasPendingBody = true
		return nil
	}
	if err := call.Body.Fill(call.Length); err != nil {
		badRequest := newBadRequest(http.StatusBadRequest, "reading the body: %v", err)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, errBelowMinRate) {
			badRequest.status = http.StatusRequestTimeout
		}
		badRequest.closeConnection = true
		return badRequest
	}
	return nil
}

// setReadDeadline bounds the wait for the next part of a body.
func (c *ordinaryCall) setReadDeadline() {
	deadline := time.Now().Add(c.idleTimeout)
	if discardDeadline := c.discardDeadline.Load(); discardDeadline != 0 {
		deadline = time.Unix(0, discardDeadline)
	}
	_ = c.controller.SetReadDeadline(deadline)
}

var errBodyTooLong = errors.New("a body of too many bytes")

// limitedBody is a request's body as it comes, held to what it may have.
type limitedBody struct {
	io.Reader
	call *ordinaryCall
}

func (in *limitedBody) Read(p []byte) (int, error) {
	n, err := in.Reader.Read(p)
	if rateErr := in.call.bodyRate.record(time.Now(), n); rateErr != nil && err == nil {
		err = rateErr
	}
	if in.call.maxBodyBytes >= 0 && in.call.bodyRate.totalBytes > in.call.maxBodyBytes {
		return 0, errBodyTooLong
	}
	if errors.Is(err, io.EOF) {
		// The library goes on reading, to notice a hang-up: no bound on the body must end that.
		_ = in.call.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Interim sends an answer of 1xx, unless the final one's turn has come.
func (c *ordinaryCall) Interim(status int, interim http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFinal {
		return
	}
	header := c.writer.Header()
	hopheaders.Answer(header, interim)
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.idleTimeout))
	c.writer.WriteHeader(status)
	clear(header)
}

// Finish reads no more of a request. Guards against an answer that the client never reads because its
// connection was reset while it still sent: what comes for a moment is thrown away.
func (o *Ordinary) Finish(exchange *service.Exchange) {
	call := exchange.Forwarder.(*ordinaryCall)
	call.endInterim()
	body := call.Body
	if body == nil {
		return
	}
	// Guards, with the connection's end, against an answer that nobody made: what is flushed before
	// there is a head is one of 200.
	if call.hasAnswer && !body.Ended() && body.Err() == nil {
		_ = call.controller.Flush()
		deadline := time.Now().Add(discardTime)
		call.discardDeadline.Store(deadline.UnixNano())
		_ = call.controller.SetReadDeadline(deadline)
		body.Discard()
	}
	body.Close(func() { _ = call.controller.SetReadDeadline(time.Unix(1, 0)) })
}

// endInterim keeps early answers from the client from now on.
func (c *ordinaryCall) endInterim() {
	c.mu.Lock()
	c.isFinal = true
	c.mu.Unlock()
}

// newRequestID is a request's id where the client brings none.
func newRequestID() string {
	return strconv.FormatUint(rand.Uint64(), 16) + strconv.FormatUint(rand.Uint64(), 16)
}
