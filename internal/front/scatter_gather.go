package front

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"lockflow/internal/hopheaders"
	"lockflow/internal/protocol"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/scattergather"
	"lockflow/internal/upstream"
)

// maxTimeLeft is the limit for a time left sent by another node. It is longer than the deadline of any class.
const maxTimeLeft = 24 * time.Hour

// mergedIdleTimeout is the time limit for writing one window of a merged answer.
const mergedIdleTimeout = time.Minute

// ScatterGather is a service that sends each request to several services, its parts, and merges their
// answers into one. It must not be modified once it is in a RoutingTable.
type ScatterGather struct {
	Tree      *scattergather.Tree
	Leaves    []scattergather.Leaf
	Gatherers []*scattergather.Gatherer // indexed by the IDs of trees
	Targets   []Target                  // indexed like Leaves; all use generic HTTP
	Deadlines map[string]time.Duration  // by class
	// DefaultClass is the class of requests whose route names no class. Such requests must be GET or HEAD.
	DefaultClass string
	MaxBodyBytes int64
	// TimeoutHeader is the request header by which a client shortens its deadline; empty for none.
	TimeoutHeader string
	// Load returns the fraction of the parts' capacity that is in use. It is nil if the fraction is unknown.
	Load func() float64
}

// tryAcquire keeps all services of the tree from shutting down until release is called. If one of them
// has already shut down, it returns false and acquires none.
func (g *ScatterGather) tryAcquire() bool {
	for i := range g.Targets {
		if !g.Targets[i].Service.TryAcquire() {
			for j := range i {
				g.Targets[j].Service.Release()
			}
			return false
		}
	}
	return true
}

// release undoes tryAcquire.
func (g *ScatterGather) release() {
	for i := range g.Targets {
		g.Targets[i].Service.Release()
	}
}

// readRequest checks the head of a request. routeClass is the class that its route names, which may be
// empty. It returns the class of the request and its timeout.
func (g *ScatterGather) readRequest(
	r *http.Request, routeClass string,
) (class string, timeout time.Duration, badRequest *BadRequest) {
	if badRequest := g.checkHead(r, routeClass); badRequest != nil {
		return "", 0, badRequest
	}
	class = cmp.Or(routeClass, g.DefaultClass)
	deadline, ok := g.Deadlines[class]
	if !ok {
		return "", 0, newBadRequest(http.StatusNotFound, "no class %q in this service", class)
	}
	timeout, err := g.limitTimeout(r, deadline)
	if err != nil {
		return "", 0, newBadRequest(http.StatusBadRequest, "%s: %v", g.TimeoutHeader, err)
	}
	return class, timeout, nil
}

// checkHead rejects requests that cannot be sent to several services.
func (g *ScatterGather) checkHead(r *http.Request, routeClass string) *BadRequest {
	if badRequest := checkMessage(r); badRequest != nil {
		return badRequest
	}
	switch {
	case !isScatterAllowed(r.Method, routeClass):
		return newBadRequest(http.StatusMethodNotAllowed, "%s is not served here", r.Method)
	case r.ContentLength > g.MaxBodyBytes:
		return newBodyTooLong(g.MaxBodyBytes).withConnectionClose()
	}
	return checkExpect(r)
}

// isScatterAllowed reports whether a request with the given method can be sent to several services. If its route names no
// class, the method must be GET or HEAD.
func isScatterAllowed(method, routeClass string) bool {
	switch method {
	case http.MethodGet, http.MethodHead:
		return true
	case http.MethodConnect, http.MethodTrace, http.MethodOptions:
		return false
	default:
		return routeClass != ""
	}
}

// limitTimeout returns the shorter of the deadline of a class and the timeout that the client requests.
func (g *ScatterGather) limitTimeout(r *http.Request, deadline time.Duration) (time.Duration, error) {
	if g.TimeoutHeader == "" {
		return deadline, nil
	}
	value := r.Header.Get(g.TimeoutHeader)
	if value == "" {
		return deadline, nil
	}
	parse := parseTimeout
	if g.TimeoutHeader == protocol.HeaderTimeLeft { // sent by another node, see GenericHTTPOptions.SendTimeLeft
		parse = func(text string) (time.Duration, error) { return parseTimeLeft(text, maxTimeLeft) }
	}
	requested, err := parse(value)
	return min(deadline, requested), err
}

// conditionalHeaders lists the headers that request something other than the complete current answer.
// They are removed, because the parts' answers to such requests could not be merged.
var conditionalHeaders = []string{
	"If-None-Match", "If-Modified-Since", "If-Match", "If-Unmodified-Since", "If-Range", "Range", "Expect",
}

// partRequest returns the request that is sent to every part, without the body, which the parts share.
func partRequest(r *http.Request) *http.Request {
	part := new(http.Request)
	*part = *r
	if part.Method == http.MethodHead {
		part.Method = http.MethodGet // the length of the merged answer depends on the bodies
	}
	part.Header = r.Header.Clone()
	for _, name := range conditionalHeaders {
		delete(part.Header, name)
	}
	delete(part.Header, "Content-Length")
	delete(part.Header, protocol.HeaderTimeLeft) // each part gets its own time left
	part.Header["Accept-Encoding"] = []string{"identity"}
	part.ContentLength = 0
	part.TransferEncoding = nil
	part.Body = http.NoBody
	part.Trailer = nil
	return part
}

// handle serves one request. The caller has acquired the services.
func (g *ScatterGather) handle(f *Front, w http.ResponseWriter, r *http.Request, routeClass string, arrived time.Time) {
	isStarted := false // once the run has started, it releases the services
	defer func() {
		if !isStarted {
			g.release()
		}
	}()
	class, timeout, badRequest := g.readRequest(r, routeClass)
	if badRequest != nil {
		writeBadRequestAnswer(f, w, r, badRequest)
		return
	}
	body, badRequest := g.readBody(w, r)
	if badRequest != nil {
		writeBadRequestAnswer(f, w, r, badRequest)
		return
	}
	clientOf(r).endBody()
	calls, badRequest := g.newCalls(r, class, arrived, timeout, int64(len(body)))
	if badRequest != nil {
		writeBadRequestAnswer(f, w, r, badRequest)
		return
	}
	setBody(calls, body)
	run := &scattergather.Run{
		Tree:      g.Tree,
		Leaves:    g.Leaves,
		Gatherers: g.Gatherers,
		Calls:     calls,
		Class:     class,
		Arrived:   arrived,
		Timeout:   timeout,
		Release:   g.release,
	}
	if g.Load != nil {
		run.Load = g.Load()
	}
	isStarted = true
	defer run.Done()
	f.writeMergedAnswer(w, r, g, run.Do(r.Context()))
}

// newCalls creates the call to each part and reserves memory for it. A part without capacity rejects its
// request, so its answer will be missing from the merged answer. The first part that has capacity reserves the memory of
// the shared body and of the head; each part reserves that of its copy of the head.
func (g *ScatterGather) newCalls(
	r *http.Request, class string, arrived time.Time, timeout time.Duration, bodyBytes int64,
) ([]scattergather.Call, *BadRequest) {
	calls := make([]scattergather.Call, 0, len(g.Targets))
	request := partRequest(r)
	input := inputOf(r)
	copyBytes := int64(len(request.Header)) * copiedFieldBytes
	isInputReserved := false
	for i := range g.Targets {
		target := g.Targets[i]
		target.Class = class
		genericHTTP := target.Protocol.(*GenericHTTP)
		exchange, badRequest := genericHTTP.ReadRequest(request, &target, "", arrived)
		if badRequest != nil {
			releaseCalls(calls)
			return nil, badRequest
		}
		if end := arrived.Add(timeout - scattergather.AttemptStopMargin(timeout)); exchange.Deadline.After(end) {
			exchange.Deadline = end
		}
		exchange.Client = waitingClient(r)
		if isInputReserved {
			target.Service.Admit(exchange, copyBytes)
		} else {
			isInputReserved = target.admit(exchange, bodyBytes+copyBytes, input)
		}
		calls = append(calls, scattergather.Call{
			Service:  target.Service,
			Exchange: exchange,
			MaxBytes: genericHTTP.MaxBufferedAnswerBytes,
		})
	}
	return calls, nil
}

// releaseCalls releases the memory reserved for calls that will not run.
func releaseCalls(calls []scattergather.Call) {
	for _, call := range calls {
		call.Exchange.Release()
	}
}

// setBody sets the body that all calls send, unless it is empty.
func setBody(calls []scattergather.Call, body []byte) {
	if len(body) == 0 {
		return
	}
	for _, call := range calls {
		relay := &call.Exchange.Forwarder.(*genericCall).RelayedRequest
		relay.Body = retrybuffer.FromBytes(body)
		relay.ContentLength = int64(len(body))
	}
}

// readBody reads all of a request's body.
func (g *ScatterGather) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *BadRequest) {
	controller := http.NewResponseController(w)
	if r.ContentLength == 0 {
		_ = controller.SetReadDeadline(time.Time{}) // net/http keeps reading, to detect that the client disconnects
		return nil, nil
	}
	_ = controller.SetReadDeadline(time.Now().Add(requestReadTimeout))
	maxBytes := r.ContentLength
	if maxBytes < 0 {
		maxBytes = g.MaxBodyBytes + 1
	}
	body, err := retrybuffer.ReadAll(r.Body, maxBytes, inputOf(r).setBody)
	switch {
	case r.ContentLength < 0 && errors.Is(err, io.EOF): // the body is complete
	case err != nil:
		return nil, newBodyReadError(err)
	case r.ContentLength < 0:
		return nil, newBodyTooLong(g.MaxBodyBytes).withConnectionClose()
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// writeMergedAnswer writes the outcome of a scatter-gather run to the client.
func (f *Front) writeMergedAnswer(w http.ResponseWriter, r *http.Request, gather *ScatterGather, final scattergather.Final) {
	switch final.Outcome {
	case scattergather.EndedClientGone:
		panic(http.ErrAbortHandler) // the client has disconnected
	case scattergather.EndedTooFew:
		writeNodeAnswer(f, w, r, http.StatusServiceUnavailable, "Too few parts answered in time; trying again is harmless.",
			min(time.Second, gather.Gatherers[0].RetryAfter))
		return
	case scattergather.EndedQuota:
		writeNodeAnswer(f, w, r, http.StatusServiceUnavailable,
			"The request was not run: the quota of a part, "+final.RejectedBy+", has no more; trying again is harmless.",
			min(final.RetryAfter, gather.Gatherers[0].RetryAfter))
		return
	}
	pieces, size := gather.Tree.Merge.Join(final.Response.Contents)
	header := w.Header()
	header["Content-Type"] = []string{gather.Tree.Merge.ContentType()}
	header["Content-Length"] = []string{strconv.Itoa(size)}
	header["Via"] = []string{"1.1 " + hopheaders.Alias}
	header["Cache-Control"] = []string{"no-store"} // a partial answer must not be reused
	partCounts := strconv.Itoa(final.Response.Present) + "/" + strconv.Itoa(final.Response.Total)
	header[scattergather.HeaderParts] = []string{partCounts}
	if len(final.Response.Missing) > 0 {
		header[scattergather.HeaderMissing] = []string{strings.Join(final.Response.Missing, ", ")}
	}
	if f.isDraining.Load() {
		header["Connection"] = []string{"close"}
	}
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(mergedIdleTimeout))
	w.WriteHeader(http.StatusOK)
	if r.Method == http.MethodHead {
		return
	}
	for _, piece := range pieces {
		// Each window has its own deadline, so that a client that reads nothing does not block the handler.
		for window := range slices.Chunk(piece, upstream.BodyWindowBytes) {
			_ = controller.SetWriteDeadline(time.Now().Add(mergedIdleTimeout))
			if _, err := w.Write(window); err != nil {
				return // the client has disconnected
			}
		}
	}
}
