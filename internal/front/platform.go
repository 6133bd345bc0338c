package front

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/hopheaders"
	"lockflow/internal/protocol"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

const (
	maxIDBytes          = 128                   // maximum length of a request ID
	timeLeftTolerance   = 50 * time.Millisecond // how much a client's time left may exceed the deadline of its class
	customerNumberLimit = 1 << 33               // customer numbers are less than this
)

// platformProtocol is the Protocol of the platform (PROTOCOL): the query and headers name the customer,
// plan and deadline, the path names the class, and bodies are buffered.
type platformProtocol struct{}

// ReadRequest checks the head of a request and prepares to forward it.
func (platformProtocol) ReadRequest(
	r *http.Request, target *Target, firstSegment string, arrived time.Time,
) (*service.Exchange, *BadRequest) {
	rules := &target.Service.RequestRules
	if badRequest := checkFraming(r, target.MaxBodyBytes); badRequest != nil {
		return nil, badRequest.withConnectionClose()
	}
	if badRequest := checkSingleValues(r.Header); badRequest != nil {
		return nil, badRequest
	}
	request := control.Request{
		ID:      r.Header.Get(protocol.HeaderID),
		Plan:    r.Header.Get(protocol.HeaderPlan),
		Units:   1,
		FanOut:  1,
		IsRetry: r.Header.Get(protocol.HeaderRetry) == "1",
		IsWrite: r.Method != http.MethodGet,
	}
	if request.ID == "" || len(request.ID) > maxIDBytes {
		return nil, newBadRequest(http.StatusBadRequest, "%s: none, or too long", protocol.HeaderID)
	}
	request.Class = cmp.Or(target.Class, firstSegment)
	class, ok := rules.Classes[request.Class]
	if !ok {
		return nil, newBadRequest(http.StatusNotFound, "unknown class %q", request.Class)
	}
	if badRequest := checkClass(r, rules, class); badRequest != nil {
		return nil, badRequest
	}
	if rules.MaxUnitsByPlan[request.Plan] == 0 {
		return nil, newBadRequest(http.StatusBadRequest, "%s: unknown plan %q", protocol.HeaderPlan, request.Plan)
	}
	request.Customer = customerOf(r.URL)
	if !isCustomerNumber(request.Customer) {
		return nil, newBadRequest(http.StatusBadRequest, "account: %q is none", request.Customer)
	}
	timeLeft, err := parseTimeLeft(r.Header.Get(protocol.HeaderTimeLeft), class.Deadline)
	if err != nil {
		return nil, newBadRequest(http.StatusBadRequest, "%s: %v", protocol.HeaderTimeLeft, err)
	}
	if err := parseWeight(rules, &request, r.Header.Get(protocol.HeaderWeight)); err != nil {
		return nil, newBadRequest(http.StatusBadRequest, "%s: %v", protocol.HeaderWeight, err)
	}
	call := &platformCall{
		Exchange:        service.Exchange{Request: request, Deadline: arrived.Add(timeLeft - service.DeadlineMargin), HasClientID: true},
		BufferedRequest: upstream.BufferedRequest{Request: forwardedRequest(r)},
	}
	call.Forwarder = &call.BufferedRequest
	return &call.Exchange, nil
}

// platformCall is one request of the platform's protocol: its exchange with the service and the request that is forwarded,
// in one allocation.
type platformCall struct {
	service.Exchange
	upstream.BufferedRequest
}

// checkClass rejects a request whose method, body or lack of an idempotency key its class does not allow.
func checkClass(r *http.Request, rules *service.RequestRules, class control.Class) *BadRequest {
	switch {
	case !rules.AllowsMethod(class, r.Method):
		return newBadRequest(http.StatusMethodNotAllowed, "%s: not a method of class %s", r.Method, class.Name)
	case class.Idempotency == control.Idempotent && r.ContentLength != 0:
		return newBadRequest(http.StatusBadRequest, "a body with %s", r.Method)
	case class.Idempotency == control.IdempotentWithKey && r.Header.Get(protocol.HeaderIdempotencyKey) == "":
		return newBadRequest(http.StatusBadRequest, "%s: none", protocol.HeaderIdempotencyKey)
	}
	return nil
}

// ReservedBytes returns the length of a request's body, which is buffered, and the memory of its attempts.
func (platformProtocol) ReservedBytes(r *http.Request) int64 { return r.ContentLength + requestBytes }

// ReadBody reads a request's body. The client's deadline counts from the last byte of the request
// (PROTOCOL, "Figures"), so the deadline is extended by the time that reading the body takes.
func (platformProtocol) ReadBody(w http.ResponseWriter, r *http.Request, exchange *service.Exchange) *BadRequest {
	startedAt := time.Now()
	body, err := retrybuffer.ReadAll(r.Body, r.ContentLength, inputOf(r).setBody)
	switch {
	case isOverloaded(err):
		return newOverloaded()
	case err != nil:
		return newBadRequest(http.StatusBadRequest, "reading the body: %v", err).withConnectionClose()
	}
	exchange.Forwarder.(*upstream.BufferedRequest).Body = body
	exchange.Deadline = exchange.Deadline.Add(time.Since(startedAt))
	if client := clientOf(r); client != nil {
		exchange.Client = sequentialClient{client}
	}
	// net/http keeps reading while the request is in the node, to detect that the client disconnects;
	// the read timeout of the request must not stop it.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return nil
}

// Finish does nothing, because ReadBody has read the body completely.
func (platformProtocol) Finish(*service.Exchange) {}

// WriteAnswer writes the final answer to the client.
func (platformProtocol) WriteAnswer(
	front *Front, w http.ResponseWriter, _ *http.Request, _ *service.Exchange, answer service.Answer,
) {
	front.writeAnswer(w, answer)
}

// WriteBadRequest writes the error answer for an invalid request to the client.
func (platformProtocol) WriteBadRequest(front *Front, w http.ResponseWriter, r *http.Request, badRequest *BadRequest) {
	front.writeBadRequest(w, r, badRequest)
}

// customerOf returns the customer that a URL's query names; empty if it names none or several.
func customerOf(u *url.URL) string {
	// Nearly all clients send only this parameter; this fast path avoids building a map of values.
	if account, ok := strings.CutPrefix(u.RawQuery, "account="); ok && !strings.ContainsAny(account, "&;%+") {
		return strings.ToLower(account)
	}
	customer := ""
	isFound := false
	// The parameters are not collected as in url.ParseQuery, whose map takes many times the memory of the query.
	for parameter := range strings.SplitSeq(u.RawQuery, "&") {
		name, value, ok := parseParameter(parameter)
		if !ok || name != "account" {
			continue
		}
		if isFound {
			return ""
		}
		isFound = true
		customer = strings.ToLower(value)
	}
	return customer
}

// parseParameter decodes a parameter of a query. It returns false for the parameters that url.ParseQuery leaves out.
func parseParameter(parameter string) (name, value string, ok bool) {
	if strings.Contains(parameter, ";") {
		return "", "", false
	}
	name, value, _ = strings.Cut(parameter, "=")
	name, err := url.QueryUnescape(name)
	if err != nil {
		return "", "", false
	}
	value, err = url.QueryUnescape(value)
	return name, value, err == nil
}

// isCustomerNumber reports whether s is a customer number: 16 hexadecimal digits with a value below customerNumberLimit.
func isCustomerNumber(s string) bool {
	n, err := strconv.ParseUint(s, 16, 64)
	return err == nil && len(s) == 16 && n < customerNumberLimit
}

// singleValueHeaders lists the protocol's headers that a request may contain only once.
var singleValueHeaders = []string{
	protocol.HeaderID, protocol.HeaderPlan, protocol.HeaderTimeLeft,
	protocol.HeaderWeight, protocol.HeaderRetry, protocol.HeaderIdempotencyKey,
}

// checkSingleValues rejects a request that repeats one of the protocol's headers, because the node and an app server
// could use different values.
func checkSingleValues(header http.Header) *BadRequest {
	for _, name := range singleValueHeaders {
		if len(header[name]) > 1 {
			return newBadRequest(http.StatusBadRequest, "%s: given twice", name)
		}
	}
	return nil
}

// checkFraming rejects a body that has no Content-Length or is too long. net/http drops the
// Content-Length of a request that also has a Transfer-Encoding, so accepting such a request would allow
// a second request to be smuggled in the body.
func checkFraming(r *http.Request, maxBodyBytes int64) *BadRequest {
	switch {
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return newBadRequest(http.StatusLengthRequired, "a body needs a Content-Length and no Transfer-Encoding")
	case r.ContentLength > maxBodyBytes:
		return newBodyTooLong(maxBodyBytes)
	}
	return nil
}

// addedHeaders is the number of header fields that the node adds to a forwarded request.
const addedHeaders = 2

// forwardedRequest returns the request that is sent to app servers.
func forwardedRequest(r *http.Request) *http.Request {
	target := url.URL{RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	// The path is forwarded byte for byte, because app servers identify a request by the bytes that its
	// client sent. Package url would encode some of them.
	target.Opaque, _, _ = strings.Cut(originForm(r.RequestURI), "?")
	if strings.HasPrefix(target.Opaque, "//") { // package url would take an opaque path that begins with "//" for an authority
		target.Opaque = ""
		target.Path = r.URL.Path
		target.RawPath = r.URL.RawPath
	}
	forwarded := &http.Request{
		Method:     r.Method,
		Host:       r.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		URL:        &target,
		Header:     make(http.Header, len(r.Header)+addedHeaders),
	}
	for name, values := range r.Header {
		if !protocol.IsInternalHeader(name) {
			forwarded.Header[name] = values
		}
	}
	hopheaders.DropNamed(forwarded.Header, r.Header)
	if forwarded.Header.Get("User-Agent") == "" {
		forwarded.Header["User-Agent"] = []string{""} // keeps net/http from adding its own User-Agent
	}
	return forwarded
}

// parseTimeLeft parses a number with the unit m (milliseconds) or u (microseconds). It returns an error if
// the time exceeds maxTimeLeft by more than timeLeftTolerance.
func parseTimeLeft(text string, maxTimeLeft time.Duration) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	value, err := protocol.ParseNumber(number)
	timeLeft := value * float64(unit)
	isInRange := timeLeft > 0 && timeLeft <= float64(maxTimeLeft+timeLeftTolerance)
	if !ok || err != nil || !isInRange {
		return 0, fmt.Errorf("%q is no time", text)
	}
	return time.Duration(timeLeft), nil
}

// maxWeightNames is the number of names that parseWeight interprets.
const maxWeightNames = 3

// parseWeight parses a list of name=number pairs and sets a request's units, fan-out and first gateway.
// Values out of range are rejected, because they would distort the quota accounting of the customer.
func parseWeight(rules *service.RequestRules, request *control.Request, text string) error {
	if text == "" {
		return nil
	}
	isPresent := make(map[string]bool, maxWeightNames)
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := protocol.ParseNumber(value)
		isInteger := err == nil && number == math.Trunc(number)
		isValid := true // any value of an unknown name is valid
		switch name {
		case "units":
			isValid = err == nil && number > 0 && number <= rules.MaxUnitsByPlan[request.Plan]
			request.Units = number
		case "spread":
			isValid = isInteger && number >= 1 && number <= float64(rules.GroupSize)
			request.FanOut = int(number)
		case "first":
			isValid = isInteger && number >= 0 && number < float64(rules.GroupSize)
			request.FirstGateway = int(number)
		}
		if isPresent[name] || !isValid {
			return fmt.Errorf("%s: %q", name, value)
		}
		isPresent[name] = true
	}
	return nil
}
