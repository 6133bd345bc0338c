package front

import (
	"errors"
	"io"
	"net"
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

// maxTimeLeft is more than any class has.
const maxTimeLeft = 24 * time.Hour

// mergedIdleTimeout is for how long one window of a merged answer may take to be written.
const mergedIdleTimeout = time.Minute

// ScatterGather is a service that asks others and gives their answers as one. It is not changed once it is
// made.
type ScatterGather struct {
	Tree          *scattergather.Tree
	Leaves        []scattergather.Leaf
	Gatherers     []*scattergather.Gatherer // by the trees' IDs
	Targets       []Target                  // by the leaves' places; all speak ordinary HTTP
	Deadlines     map[string]time.Duration  // by class
	DefaultClass  string                    // of requests whose route names none: by GET and HEAD only
	MaxBodyBytes  int64                     // most bytes of a request's body
	TimeoutHeader string
	Load          func() float64 // share of what the parts bear that is in use; nil is not known
}

// tryAcquire keeps all services of a tree from ending.
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

func (g *ScatterGather) release() {
	for i := range g.Targets {
		g.Targets[i].Service.Release()
	}
}

// readRequest holds a client's request to what can scatter.
func (g *ScatterGather) readRequest(r *http.Request, class string) (name string, timeout time.Duration, badRequest *BadRequest) {
	if conn := validatingConnOf(r); conn != nil && conn.validationError() != nil {
		badRequest := newBadRequest(http.StatusBadRequest, "%v", conn.validationError())
		badRequest.closeConnection = true
		return "", 0, badRequest
	}
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.Method == http.MethodOptions,
		class == "" && r.Method != http.MethodGet && r.Method != http.MethodHead:
		return "", 0, newBadRequest(http.StatusMethodNotAllowed, "%s is not served here", r.Method)
	case r.ContentLength > g.MaxBodyBytes:
		return "", 0, bodyTooLong(g.MaxBodyBytes)
	case len(r.Header["Expect"]) > 0 && !strings.EqualFold(r.Header.Get("Expect"), "100-continue"):
		return "", 0, newBadRequest(http.StatusExpectationFailed, "Expect: %q", r.Header.Get("Expect"))
	}
	if class == "" {
		class = g.DefaultClass
	}
	timeout, ok := g.Deadlines[class]
	if !ok {
		return "", 0, newBadRequest(http.StatusNotFound, "no class %q in this service", class)
	}
	if g.TimeoutHeader != "" {
		if value := r.Header.Get(g.TimeoutHeader); value != "" {
			requested, err := parseTimeout(value)
			if g.TimeoutHeader == protocol.HeaderTimeLeft { // another node's word, with send_time
				requested, err = parseTimeLeft(value, maxTimeLeft)
			}
			if err != nil {
				return "", 0, newBadRequest(http.StatusBadRequest, "%s: %v", g.TimeoutHeader, err)
			}
			timeout = min(timeout, requested)
		}
	}
	return class, timeout, nil
}

func bodyTooLong(maxBytes int64) *BadRequest {
	badRequest := newBadRequest(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", maxBytes)
	badRequest.closeConnection = true
	return badRequest
}

// conditionalHeaders are fields that ask for something other than the whole answer as it is now. What a part
// says to them can't be merged.
var conditionalHeaders = []string{"If-None-Match", "If-Modified-Since", "If-Match", "If-Unmodified-Since", "If-Range", "Range", "Expect"}

// partRequest is a request as the parts are asked: whole, as it is, and without a body, which is theirs
// in common.
func partRequest(r *http.Request) *http.Request {
	part := new(http.Request)
	*part = *r
	if part.Method == http.MethodHead {
		part.Method = http.MethodGet // what a merged answer holds shows by its bodies only
	}
	part.Header = r.Header.Clone()
	for _, name := range conditionalHeaders {
		delete(part.Header, name)
	}
	delete(part.Header, "Content-Length")
	delete(part.Header, protocol.HeaderTimeLeft) // a part's is another
	part.Header["Accept-Encoding"] = []string{"identity"}
	part.ContentLength, part.TransferEncoding, part.Body, part.Trailer = 0, nil, http.NoBody, nil
	return part
}

// handle answers one query. Its services are held.
func (g *ScatterGather) handle(f *Front, w http.ResponseWriter, r *http.Request, class string, arrived time.Time) {
	started := false
	defer func() {
		if !started {
			g.release()
		}
	}()
	reject := func(badRequest *BadRequest) {
		if badRequest.closeConnection {
			w.Header().Set("Connection", "close")
		}
		writeNodeAnswer(f, w, r, badRequest.status, badRequest.text, 0)
	}
	class, timeout, badRequest := g.readRequest(r, class)
	if badRequest != nil {
		reject(badRequest)
		return
	}
	calls, badRequest := g.newCalls(r, class, arrived, timeout)
	if badRequest != nil {
		reject(badRequest)
		return
	}
	if body, badRequest := g.readBody(w, r); badRequest != nil {
		for i := range calls {
			calls[i].Exchange.Release()
		}
		reject(badRequest)
		return
	} else if len(body) > 0 {
		for i := range calls {
			relay := &calls[i].Exchange.Forwarder.(*ordinaryCall).Relay
			relay.Body, relay.Length = retrybuffer.Of(body), int64(len(body))
		}
	}
	run := &scattergather.Run{Tree: g.Tree, Leaves: g.Leaves, By: g.Gatherers, Calls: calls, Class: class, Arrived: arrived, Wait: timeout, Release: g.release}
	if g.Load != nil {
		run.Load = g.Load()
	}
	started = true
	defer run.Done()
	f.writeMergedAnswer(w, r, g, run.Do(r.Context()))
}

// newCalls makes each part's request, and books room for it. One without room is turned away by its
// service, and is a part that is missing.
func (g *ScatterGather) newCalls(r *http.Request, class string, arrived time.Time, timeout time.Duration) ([]scattergather.Call, *BadRequest) {
	calls := make([]scattergather.Call, 0, len(g.Targets))
	bodyBytes := int64(0) // for the body, which all parts share: by the first that has room
	if r.ContentLength != 0 {
		bodyBytes = g.MaxBodyBytes
		if r.ContentLength > 0 {
			bodyBytes = r.ContentLength
		}
	}
	request := partRequest(r)
	for i := range g.Targets {
		target := g.Targets[i]
		target.Class = class
		ordinary := target.Protocol.(*Ordinary)
		exchange, badRequest := ordinary.ReadRequest(request, &target, "", arrived)
		if badRequest != nil {
			for _, call := range calls {
				call.Exchange.Release()
			}
			return nil, badRequest
		}
		if end := arrived.Add(timeout - scattergather.Ahead(timeout)); exchange.Deadline.After(end) {
			exchange.Deadline = end
		}
		exchange.Client = waitingClient(r)
		if target.Service.Admit(exchange, bodyBytes) {
			bodyBytes = 0
		}
		calls = append(calls, scattergather.Call{Service: target.Service, Exchange: exchange, Most: ordinary.MaxBufferedAnswerBytes})
	}
	return calls, nil
}

// readBody reads a request's body, whole.
func (g *ScatterGather) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *BadRequest) {
	controller := http.NewResponseController(w)
	if r.ContentLength == 0 {
		_ = controller.SetReadDeadline(time.Time{}) // net/http goes on reading, to notice a hang-up
		return nil, nil
	}
	_ = controller.SetReadDeadline(time.Now().Add(requestReadTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, g.MaxBodyBytes+1))
	var timeout net.Error
	switch {
	case err == nil && int64(len(body)) > g.MaxBodyBytes:
		return nil, bodyTooLong(g.MaxBodyBytes)
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	badRequest := newBadRequest(http.StatusBadRequest, "reading the body: %v", err)
	if errors.As(err, &timeout) && timeout.Timeout() {
		badRequest.status = http.StatusRequestTimeout
	}
	badRequest.closeConnection = true
	return nil, badRequest
}

// writeMergedAnswer gives the client its one answer.
func (f *Front) writeMergedAnswer(w http.ResponseWriter, r *http.Request, gather *ScatterGather, final scattergather.Final) {
	switch final.Outcome {
	case scattergather.EndedLeft:
		panic(http.ErrAbortHandler) // nobody is there
	case scattergather.EndedTooFew:
		writeNodeAnswer(f, w, r, http.StatusServiceUnavailable, "Too few parts answered in time; trying again is harmless.", min(time.Second, gather.Gatherers[0].RetryAfter))
		return
	case scattergather.EndedQuota:
		writeNodeAnswer(f, w, r, http.StatusServiceUnavailable, "The request was not run: the quota of a part, "+final.Part+", has no more; trying again is harmless.",
			min(final.RetryAfter, gather.Gatherers[0].RetryAfter))
		return
	}
	pieces, size := gather.Tree.Merge.Join(final.Whole.Contents)
	header := w.Header()
	header["Content-Type"] = []string{gather.Tree.Merge.ContentType()}
	header["Content-Length"] = []string{strconv.Itoa(size)}
	header["Via"] = []string{"1.1 " + hopheaders.Alias}
	header["Cache-Control"] = []string{"no-store"} // a partial answer must not be somebody's later
	header[scattergather.HeaderParts] = []string{strconv.Itoa(final.Whole.Held) + "/" + strconv.Itoa(final.Whole.Of)}
	if len(final.Whole.Missing) > 0 {
		header[scattergather.HeaderMissing] = []string{strings.Join(final.Whole.Missing, ", ")}
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
		for window := range slices.Chunk(piece, upstream.Window) {
			_ = controller.SetWriteDeadline(time.Now().Add(mergedIdleTimeout)) // guards against a client that takes nothing
			if _, err := w.Write(window); err != nil {
				return // the client has left
			}
		}
	}
}
