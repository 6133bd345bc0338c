package front

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/customer"
	"lockflow/internal/hopheaders"
	"lockflow/internal/protocol"
	"lockflow/internal/responseclass"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

const requestIDHeader = "X-Request-Id"

// GenericHTTPOptions configures generic HTTP for one service. Where the name of a configuration key
// differs from the field's name, the field's comment gives it.
type GenericHTTPOptions struct {
	// Customers identifies the customer of a request. If it is nil, all requests are anonymous.
	Customers *customer.Directory
	// SafeClass is the class of requests with a safe method (RFC 9110, 9.2.1), if the route names no class.
	SafeClass string
	// UnsafeClass is the class of requests with any other method, if the route names no class.
	UnsafeClass string
	// ClassWithoutKey maps a class that needs an idempotency key to the class that requests without a
	// key get instead.
	ClassWithoutKey map[string]string

	// TimeoutHeader is the request header by which a client shortens its deadline; empty for none.
	TimeoutHeader string
	// SendTimeLeft adds a header with the time left until the deadline to forwarded requests.
	SendTimeLeft bool
	// SendRequestID adds a random request ID to forwarded requests whose client sent none.
	SendRequestID bool

	RetryBufferBytes       int           // maximum size of a request body that is buffered for a retry (key replay)
	MaxBufferedAnswerBytes int           // maximum size of a buffered answer, longer ones are streamed (key answer)
	IdleTimeout            time.Duration // limit for one read or write of a body
	MinBytesPerSecond      int64         // minimum average rate of a client over a body, 0 for no limit (key least_rate)

	ResponseRules     responseclass.Rules
	AllowUnderscores  bool                        // forward header fields whose names contain underscores
	ForwardingHeaders hopheaders.ForwardingFormat // describe the client to servers (key forwarded)
	TrustedProxies    []netip.Prefix
}

// GenericHTTP is the Protocol of plain HTTP/1.x (RFC 9110 and 9112), with any client and any app server.
// It is safe for concurrent use.
type GenericHTTP struct {
	GenericHTTPOptions
	lastID atomic.Uint64 // numeric value of the last request ID given to the service
}

// NewGenericHTTP returns the generic HTTP protocol of one service.
func NewGenericHTTP(o GenericHTTPOptions) *GenericHTTP {
	if o.Customers == nil {
		o.Customers = customer.New(customer.Options{})
	}
	return &GenericHTTP{GenericHTTPOptions: o}
}

// ReadRequest checks the head of a request and prepares to forward it.
func (o *GenericHTTP) ReadRequest(
	r *http.Request, target *Target, _ string, arrived time.Time,
) (*service.Exchange, *BadRequest) {
	if badRequest := o.checkHead(r, target); badRequest != nil {
		return nil, badRequest
	}
	class := o.classOf(r, target)
	rules, ok := target.Service.Classes[class]
	if !ok {
		return nil, newBadRequest(http.StatusNotFound, "no class %q in this service", class)
	}
	timeout := rules.Deadline
	if value := o.requestedTimeout(r); value != "" {
		requested, err := parseTimeout(value)
		if err != nil {
			return nil, newBadRequest(http.StatusBadRequest, "%s: %v", o.TimeoutHeader, err)
		}
		timeout = min(timeout, requested)
	}
	request := control.Request{
		ID:      strconv.FormatUint(o.lastID.Add(1), 36),
		Class:   class,
		Units:   1,
		FanOut:  target.Service.GroupSize,
		IsWrite: !protocol.IsSafeMethod(r.Method),
	}
	request.Customer, request.Plan = o.Customers.Identify(r, arrived)
	call := &genericCall{maxBodyBytes: target.MaxBodyBytes, idleTimeout: o.IdleTimeout}
	o.setRelayedRequest(&call.RelayedRequest, r, target, timeout)
	call.Exchange = service.Exchange{Request: request, Forwarder: call, Deadline: arrived.Add(timeout)}
	return &call.Exchange, nil
}

// checkHead rejects requests that the protocol does not forward.
func (o *GenericHTTP) checkHead(r *http.Request, target *Target) *BadRequest {
	if badRequest := checkMessage(r); badRequest != nil {
		return badRequest
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return newBadRequest(http.StatusMethodNotAllowed, "%s is not served here", r.Method)
	}
	if target.MaxBodyBytes >= 0 && r.ContentLength > target.MaxBodyBytes {
		return newBodyTooLong(target.MaxBodyBytes).withConnectionClose()
	}
	return checkExpect(r)
}

// classOf returns the class of a request. The service need not have that class.
func (o *GenericHTTP) classOf(r *http.Request, target *Target) string {
	class := target.Class
	switch {
	case class != "":
	case protocol.IsSafeMethod(r.Method):
		class = o.SafeClass
	default:
		class = o.UnsafeClass
	}
	if withoutKey, ok := o.ClassWithoutKey[class]; ok && r.Header.Get(protocol.HeaderIdempotencyKey) == "" {
		class = withoutKey
	}
	return class
}

// requestedTimeout returns the value of the client's timeout header; empty if there is none.
func (o *GenericHTTP) requestedTimeout(r *http.Request) string {
	if o.TimeoutHeader == "" {
		return ""
	}
	return r.Header.Get(o.TimeoutHeader)
}

// setRelayedRequest fills in the request that is forwarded to servers.
func (o *GenericHTTP) setRelayedRequest(relay *upstream.RelayedRequest, r *http.Request, target *Target, timeout time.Duration) {
	peer := hopheaders.Peer{Host: r.Host, Proto: "http"}
	if address, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		peer.Addr = address.Addr()
		peer.IsTrusted = hopheaders.IsTrusted(peer.Addr, o.TrustedProxies)
	}
	*relay = upstream.RelayedRequest{
		RequestMethod:    r.Method,
		Host:             r.Host,
		Target:           originForm(r.RequestURI),
		Header:           hopheaders.ForwardRequest(r.Header, peer, o.ForwardingHeaders, o.AllowUnderscores),
		ContentLength:    r.ContentLength,
		ResponseRules:    &o.ResponseRules,
		MaxBufferedBytes: o.MaxBufferedAnswerBytes,
		IdleTimeout:      o.IdleTimeout,
		ResponseTimeout:  timeout,
		SendTimeLeft:     o.SendTimeLeft,
	}
	if o.SendRequestID && len(relay.Header[requestIDHeader]) == 0 {
		relay.Header[requestIDHeader] = []string{newRequestID()}
	}
	isChunked := len(r.TransferEncoding) > 0
	hasBody := isChunked || r.ContentLength != 0
	switch {
	case isChunked:
		relay.ContentLength = -1
		relay.Trailer = func() http.Header { return r.Trailer }
		for name := range r.Trailer {
			relay.TrailerNames = append(relay.TrailerNames, name)
		}
		slices.Sort(relay.TrailerNames)
	case !hasBody && r.Header.Get("Content-Length") == "":
		relay.ContentLength = -1 // the request has no Content-Length, so none is forwarded
	}
	if len(target.UpgradeProtocols) > 0 && r.ProtoAtLeast(1, 1) && !hasBody {
		relay.UpgradeProtocol = requestedUpgrade(r.Header, target.UpgradeProtocols)
	}
}

// requestedUpgrade returns the protocol that a request offers to upgrade to (RFC 9110, 7.8). It returns an
// empty string if the request offers none, several, or one that is not allowed.
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

// originForm returns a request target in the origin form in which servers get it (RFC 9112, 3.2.1):
// without scheme and authority, and otherwise unchanged.
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

// parseTimeout parses the timeout that a client requests: a duration such as "1.5s" or "800ms", or a number of seconds.
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

// newRequestID returns a random ID for a request whose client sent none.
func newRequestID() string {
	return strconv.FormatUint(rand.Uint64(), 16) + strconv.FormatUint(rand.Uint64(), 16)
}
