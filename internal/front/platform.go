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
	idMost        = 128
	timeLeftSlack = 50 * time.Millisecond // over a class's deadline
	customersMost = 1 << 33
)

// platform is the protocol of the platform (PROTOCOL): headers that name customer, plan and time,
// a class by the path, bodies that are held.
type platform struct{}

// BadRequest is a client's mistake and the status that tells it.
type BadRequest struct {
	status int
	text   string
	unread bool // what follows on the connection can't be told from this request
}

func bad(status int, format string, args ...any) *BadRequest {
	return &BadRequest{status: status, text: fmt.Sprintf(format, args...)}
}

// ReadRequest reads a client's request but for its body.
func (platform) ReadRequest(r *http.Request, to *Target, first string, arrived time.Time) (*service.Exchange, *BadRequest) {
	terms := &to.Service.RequestRules
	if wrong := framing(r, to.MaxBodyBytes); wrong != nil {
		wrong.unread = true
		return nil, wrong
	}
	// Guards against app servers that read another one of two values than this node.
	for _, name := range onceOnly {
		if len(r.Header[name]) > 1 {
			return nil, bad(http.StatusBadRequest, "%s: given twice", name)
		}
	}
	e := control.Request{
		ID: r.Header.Get(protocol.HeaderID), Plan: r.Header.Get(protocol.HeaderPlan), Units: 1, FanOut: 1,
		IsRetry: r.Header.Get(protocol.HeaderRepeat) == "1", IsWrite: r.Method != http.MethodGet,
	}
	if e.ID == "" || len(e.ID) > idMost {
		return nil, bad(http.StatusBadRequest, "%s: none, or too long", protocol.HeaderID)
	}
	if e.Class = to.Class; e.Class == "" {
		e.Class = first
	}
	class, ok := terms.Classes[e.Class]
	if !ok {
		return nil, bad(http.StatusNotFound, "unknown class %q", e.Class)
	}
	if !terms.AllowsMethod(class, r.Method) {
		return nil, bad(http.StatusMethodNotAllowed, "%s: not a method of class %s", r.Method, e.Class)
	}
	if class.Idempotency == control.Idempotent && r.ContentLength != 0 {
		return nil, bad(http.StatusBadRequest, "a body with %s", r.Method)
	}
	if class.Idempotency == control.IdempotencyKeyed && r.Header.Get(protocol.HeaderKey) == "" {
		return nil, bad(http.StatusBadRequest, "%s: none", protocol.HeaderKey)
	}
	if terms.MaxUnitsByPlan[e.Plan] == 0 {
		return nil, bad(http.StatusBadRequest, "%s: unknown plan %q", protocol.HeaderPlan, e.Plan)
	}
	e.Customer = account(r.URL)
	if n, err := strconv.ParseUint(e.Customer, 16, 64); err != nil || len(e.Customer) != 16 || n >= customersMost {
		return nil, bad(http.StatusBadRequest, "account: %q is none", e.Customer)
	}
	left, err := parseTimeLeft(r.Header.Get(protocol.HeaderTimeLeft), class.Deadline)
	if err != nil {
		return nil, bad(http.StatusBadRequest, "%s: %v", protocol.HeaderTimeLeft, err)
	}
	if err := weight(terms, &e, r.Header.Get(protocol.HeaderWeight)); err != nil {
		return nil, bad(http.StatusBadRequest, "%s: %v", protocol.HeaderWeight, err)
	}
	held := &struct {
		service.Exchange
		upstream.Whole
	}{service.Exchange{Request: e, Deadline: arrived.Add(left - service.DeadlineMargin)}, upstream.Whole{Request: forward(r)}}
	held.Forwarder = &held.Whole
	return &held.Exchange, nil
}

// ReservedBytes is the bytes of a request's body, the length of which is told.
func (platform) ReservedBytes(r *http.Request) int64 { return r.ContentLength }

// ReadBody reads a request's body. Its client waits from the body's last byte on (PROTOCOL, "Figures").
func (platform) ReadBody(w http.ResponseWriter, r *http.Request, x *service.Exchange) *BadRequest {
	begun := time.Now()
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		wrong := bad(http.StatusBadRequest, "reading the body: %v", err)
		wrong.unread = true
		return wrong
	}
	x.Forwarder.(*upstream.Whole).Body = body
	x.Deadline = x.Deadline.Add(time.Since(begun)) // guards against a slow writer's time that is over before it begins
	if c := clientOf(r); c != nil {
		x.Client = alone{c}
	}
	// net/http goes on reading while a request is held, to notice a hang-up; the limit on
	// the request's own time must not end that.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return nil
}

// Finish has nothing to end.
func (platform) Finish(*service.Exchange) {}

// WriteAnswer sends an answer, whatever it is.
func (platform) WriteAnswer(f *Front, w http.ResponseWriter, _ *http.Request, _ *service.Exchange, a service.Answer) {
	f.write(w, a)
}

// WriteBadRequest tells a client its mistake.
func (platform) WriteBadRequest(f *Front, w http.ResponseWriter, _ *http.Request, wrong *BadRequest) {
	f.reject(w, wrong)
}

// account is the customer that a query names; "" where it names none, or more than one.
func account(u *url.URL) string {
	// What nearly all clients send needs no map of values.
	if v, ok := strings.CutPrefix(u.RawQuery, "account="); ok && !strings.ContainsAny(v, "&;%+") {
		return strings.ToLower(v)
	}
	if accounts := u.Query()["account"]; len(accounts) == 1 {
		return strings.ToLower(accounts[0])
	}
	return ""
}

// onceOnly are the headers by which a request is told from others.
var onceOnly = []string{protocol.HeaderID, protocol.HeaderPlan, protocol.HeaderTimeLeft, protocol.HeaderWeight, protocol.HeaderRepeat, protocol.HeaderKey}

// framing holds a request to what clients of the protocol send: a length. Guards against a
// second request in the body of one that also has a Transfer-Encoding, for which net/http
// drops the length, and against reading what is too long to be passed on.
func framing(r *http.Request, most int64) *BadRequest {
	switch {
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return bad(http.StatusLengthRequired, "a body needs a Content-Length and no Transfer-Encoding")
	case r.ContentLength > most:
		return bad(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", most)
	}
	return nil
}

// forward is what goes on of a request.
func forward(r *http.Request) *http.Request {
	target := url.URL{RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	// Guards against bytes of a path that package url would write encoded: app servers know a request
	// by what its client sent.
	if target.Opaque, _, _ = strings.Cut(originForm(r.RequestURI), "?"); strings.HasPrefix(target.Opaque, "//") {
		target.Opaque, target.Path, target.RawPath = "", r.URL.Path, r.URL.RawPath // it would be taken for an authority
	}
	out := &http.Request{
		Method: r.Method, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, URL: &target,
		Header: make(http.Header, len(r.Header)+2),
	}
	for k, v := range r.Header {
		if !protocol.OwnHeader(k) {
			out.Header[k] = v
		}
	}
	hopheaders.DropNamed(out.Header, r.Header)
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
	v, err := protocol.ParseNumber(number)
	if d := v * float64(unit); !ok || err != nil || d <= 0 || d > float64(most+timeLeftSlack) {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(v * float64(unit)), nil
}

// weight reads the units and the customer's set of edge nodes. Guards against figures that
// would spoil what the module knows of a customer.
func weight(terms *service.RequestRules, e *control.Request, s string) error {
	if s == "" {
		return nil
	}
	seen := make(map[string]bool, 3)
	for pair := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := protocol.ParseNumber(value)
		whole := err == nil && v == math.Trunc(v)
		ok := !seen[name]
		seen[name] = true
		switch name {
		case "units":
			ok = ok && err == nil && v > 0 && v <= terms.MaxUnitsByPlan[e.Plan]
			e.Units = v
		case "spread":
			ok = ok && whole && v >= 1 && v <= float64(terms.GroupSize)
			e.FanOut = int(v)
		case "first":
			ok = ok && whole && v >= 0 && v < float64(terms.GroupSize)
			e.FirstGateway = int(v)
		}
		if !ok {
			return fmt.Errorf("%s: %q", name, value)
		}
	}
	return nil
}
