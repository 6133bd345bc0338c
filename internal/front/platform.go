package front

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/hopheaders"
	"lockflow/internal/protocol"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

const (
	maxIDBytes    = 128
	timeLeftSlack = 50 * time.Millisecond // over a class's deadline
	customerCount = 1 << 33
)

// platformProtocol is the protocol of the platform (PROTOCOL): headers that name customer, plan and time,
// a class by the path, bodies that are held.
type platformProtocol struct{}

// BadRequest is a client's mistake and the status that tells it.
type BadRequest struct {
	status          int
	text            string
	closeConnection bool // what follows on the connection can't be told from this request
}

func newBadRequest(status int, format string, args ...any) *BadRequest {
	return &BadRequest{status: status, text: fmt.Sprintf(format, args...)}
}

// ReadRequest reads a client's request but for its body.
func (platformProtocol) ReadRequest(r *http.Request, target *Target, firstSegment string, arrived time.Time) (*service.Exchange, *BadRequest) {
	rules := &target.Service.RequestRules
	if badRequest := checkFraming(r, target.MaxBodyBytes); badRequest != nil {
		badRequest.closeConnection = true
		return nil, badRequest
	}
	// Guards against app servers that read another one of two values than this node.
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 {
			return nil, newBadRequest(http.StatusBadRequest, "%s: given twice", name)
		}
	}
	request := control.Request{
		ID: r.Header.Get(protocol.HeaderID), Plan: r.Header.Get(protocol.HeaderPlan), Units: 1, FanOut: 1,
		IsRetry: r.Header.Get(protocol.HeaderRepeat) == "1", IsWrite: r.Method != http.MethodGet,
	}
	if request.ID == "" || len(request.ID) > maxIDBytes {
		return nil, newBadRequest(http.StatusBadRequest, "%s: none, or too long", protocol.HeaderID)
	}
	if request.Class = target.Class; request.Class == "" {
		request.Class = firstSegment
	}
	class, ok := rules.Classes[request.Class]
	if !ok {
		return nil, newBadRequest(http.StatusNotFound, "unknown class %q", request.Class)
	}
	if !rules.AllowsMethod(class, r.Method) {
		return nil, newBadRequest(http.StatusMethodNotAllowed, "%s: not a method of class %s", r.Method, request.Class)
	}
	if class.Idempotency == control.Idempotent && r.ContentLength != 0 {
		return nil, newBadRequest(http.StatusBadRequest, "a body with %s", r.Method)
	}
	if class.Idempotency == control.IdempotencyKeyed && r.Header.Get(protocol.HeaderKey) == "" {
		return nil, newBadRequest(http.StatusBadRequest, "%s: none", protocol.HeaderKey)
	}
	if rules.MaxUnitsByPlan[request.Plan] == 0 {
		return nil, newBadRequest(http.StatusBadRequest, "%s: unknown plan %q", protocol.HeaderPlan, request.Plan)
	}
	request.Customer = customerOf(r.URL)
	if n, err := strconv.ParseUint(request.Customer, 16, 64); err != nil || len(request.Customer) != 16 || n >= customerCount {
		return nil, newBadRequest(http.StatusBadRequest, "account: %q is none", request.Customer)
	}
	timeLeft, err := parseTimeLeft(r.Header.Get(protocol.HeaderTimeLeft), class.Deadline)
	if err != nil {
		return nil, newBadRequest(http.StatusBadRequest, "%s: %v", protocol.HeaderTimeLeft, err)
	}
	if err := parseWeight(rules, &request, r.Header.Get(protocol.HeaderWeight)); err != nil {
		return nil, newBadRequest(http.StatusBadRequest, "%s: %v", protocol.HeaderWeight, err)
	}
	exchange := &struct {
		service.Exchange
		upstream.Whole
	}{service.Exchange{Request: request, Deadline: arrived.Add(timeLeft - service.DeadlineMargin)}, upstream.Whole{Request: forwardedRequest(r)}}
	exchange.Forwarder = &exchange.Whole
	return &exchange.Exchange, nil
}

// ReservedBytes is the bytes of a request's body, the length of which is told.
func (platformProtocol) ReservedBytes(r *http.Request) int64 { return r.ContentLength }

// ReadBody reads a request's body. Its client waits from the body's last byte on (PROTOCOL, "Figures").
func (platformProtocol) ReadBody(w http.ResponseWriter, r *http.Request, exchange *service.Exchange) *BadRequest {
	startedAt := time.Now()
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		badRequest := newBadRequest(http.StatusBadRequest, "reading the body: %v", err)
		badRequest.closeConnection = true
		return badRequest
	}
	exchange.Forwarder.(*upstream.Whole).Body = body
	exchange.Deadline = exchange.Deadline.Add(time.Since(startedAt)) // guards against a slow writer's time that is over before it begins
	if client := clientOf(r); client != nil {
		exchange.Client = sequentialClient{client}
	}
	// net/http goes on reading while a request is held, to notice a hang-up; the limit on
	// the request's own time must not end that.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return nil
}

// Finish has nothing to end.
func (platformProtocol) Finish(*service.Exchange) {}

// WriteAnswer sends an answer, whatever it is.
func (platformProtocol) WriteAnswer(front *Front, w http.ResponseWriter, _ *http.Request, _ *service.Exchange, answer service.Answer) {
	front.writeAnswer(w, answer)
}

// WriteBadRequest tells a client its mistake.
func (platformProtocol) WriteBadRequest(front *Front, w http.ResponseWriter, _ *http.Request, badRequest *BadRequest) {
	front.writeBadRequest(w, badRequest)
}

// customerOf is the customer that a query names; "" where it names none, or more than one.
func customerOf(u *url.URL) string {
	// What nearly all clients send needs no map of values.
	if account, ok := strings.CutPrefix(u.RawQuery, "account="); ok && !strings.ContainsAny(account, "&;%+") {
		return strings.ToLower(account)
	}
	if accounts := u.Query()["account"]; len(accounts) == 1 {
		return strings.ToLower(accounts[0])
	}
	return ""
}

// singleValueHeaders are the headers by which a request is told from others.
var singleValueHeaders = []string{protocol.HeaderID, protocol.HeaderPlan, protocol.HeaderTimeLeft, protocol.HeaderWeight, protocol.HeaderRepeat, protocol.HeaderKey}

// checkFraming holds a request to what clients of the protocol send: a length. Guards against a
// second request in the body of one that also has a Transfer-Encoding, for which net/http
// drops the length, and against reading what is too long to be passed on.
func checkFraming(r *http.Request, maxBodyBytes int64) *BadRequest {
	switch {
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return newBadRequest(http.StatusLengthRequired, "a body needs a Content-Length and no Transfer-Encoding")
	case r.ContentLength > maxBodyBytes:
		return newBadRequest(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", maxBodyBytes)
	}
	return nil
}

// forwardedRequest is what goes on of a request.
func forwardedRequest(r *http.Request) *http.Request {
	target := url.URL{RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	// Guards against bytes of a path that package url would write encoded: app servers know a request
	// by what its client sent.
	if target.Opaque, _, _ = strings.Cut(originForm(r.RequestURI), "?"); strings.HasPrefix(target.Opaque, "//") {
		target.Opaque, target.Path, target.RawPath = "", r.URL.Path, r.URL.RawPath // it would be taken for an authority
	}
	forwarded := &http.Request{
		Method: r.Method, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, URL: &target,
		Header: make(http.Header, len(r.Header)+2),
	}
	for k, v := range r.Header {
		if !protocol.OwnHeader(k) {
			forwarded.Header[k] = v
		}
	}
	hopheaders.DropNamed(forwarded.Header, r.Header)
	if forwarded.Header.Get("User-Agent") == "" {
		forwarded.Header["User-Agent"] = []string{""} // none of the library's own
	}
	return forwarded
}

// parseTimeLeft reads a number with the unit m (milliseconds) or u (microseconds). No client
// waits for longer than its class has it.
func parseTimeLeft(text string, maxTimeLeft time.Duration) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	value, err := protocol.ParseNumber(number)
	if timeLeft := value * float64(unit); !ok || err != nil || timeLeft <= 0 || timeLeft > float64(maxTimeLeft+timeLeftSlack) {
		return 0, fmt.Errorf("%q is no time", text)
	}
	return time.Duration(value * float64(unit)), nil
}

// parseWeight reads the units and the customer's set of edge nodes. Guards against figures that
// would spoil what the module knows of a customer.
func parseWeight(rules *service.RequestRules, request *control.Request, text string) error {
	if text == "" {
		return nil
	}
	seen := make(map[string]bool, 3)
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := protocol.ParseNumber(value)
		isInteger := err == nil && number == math.Trunc(number)
		ok := !seen[name]
		seen[name] = true
		switch name {
		case "units":
			ok = ok && err == nil && number > 0 && number <= rules.MaxUnitsByPlan[request.Plan]
			request.Units = number
		case "spread":
			ok = ok && isInteger && number >= 1 && number <= float64(rules.GroupSize)
			request.FanOut = int(number)
		case "first":
			ok = ok && isInteger && number >= 0 && number < float64(rules.GroupSize)
			request.FirstGateway = int(number)
		}
		if !ok {
			return fmt.Errorf("%s: %q", name, value)
		}
	}
	return nil
}
