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

// timeLeftMost is more than any class has.
const timeLeftMost = 24 * time.Hour

// gatherIdle is for how long one window of a merged answer may take to be written.
const gatherIdle = time.Minute

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

// hold keeps all services of a tree from ending.
func (g *ScatterGather) hold() bool {
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

// read holds a client's request to what can scatter.
func (g *ScatterGather) read(r *http.Request, class string) (name string, wait time.Duration, wrong *BadRequest) {
	if c := wireOf(r); c != nil && c.bad() != nil {
		wrong := bad(http.StatusBadRequest, "%v", c.bad())
		wrong.unread = true
		return "", 0, wrong
	}
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.Method == http.MethodOptions,
		class == "" && r.Method != http.MethodGet && r.Method != http.MethodHead:
		return "", 0, bad(http.StatusMethodNotAllowed, "%s is not served here", r.Method)
	case r.ContentLength > g.MaxBodyBytes:
		return "", 0, tooLong(g.MaxBodyBytes)
	case len(r.Header["Expect"]) > 0 && !strings.EqualFold(r.Header.Get("Expect"), "100-continue"):
		return "", 0, bad(http.StatusExpectationFailed, "Expect: %q", r.Header.Get("Expect"))
	}
	if class == "" {
		class = g.DefaultClass
	}
	wait, ok := g.Deadlines[class]
	if !ok {
		return "", 0, bad(http.StatusNotFound, "no class %q in this service", class)
	}
	if g.TimeoutHeader != "" {
		if v := r.Header.Get(g.TimeoutHeader); v != "" {
			d, err := parseWait(v)
			if g.TimeoutHeader == protocol.HeaderTimeLeft { // another node's word, with send_time
				d, err = parseTimeLeft(v, timeLeftMost)
			}
			if err != nil {
				return "", 0, bad(http.StatusBadRequest, "%s: %v", g.TimeoutHeader, err)
			}
			wait = min(wait, d)
		}
	}
	return class, wait, nil
}

func tooLong(most int64) *BadRequest {
	wrong := bad(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", most)
	wrong.unread = true
	return wrong
}

// notAsked are fields that ask for something other than the whole answer as it is now. What a part
// says to them can't be merged.
var notAsked = []string{"If-None-Match", "If-Modified-Since", "If-Match", "If-Unmodified-Since", "If-Range", "Range", "Expect"}

// forParts is a request as the parts are asked: whole, as it is, and without a body, which is theirs
// in common.
func forParts(r *http.Request) *http.Request {
	out := new(http.Request)
	*out = *r
	if out.Method == http.MethodHead {
		out.Method = http.MethodGet // what a merged answer holds shows by its bodies only
	}
	out.Header = r.Header.Clone()
	for _, name := range notAsked {
		delete(out.Header, name)
	}
	delete(out.Header, "Content-Length")
	delete(out.Header, protocol.HeaderTimeLeft) // a part's is another
	out.Header["Accept-Encoding"] = []string{"identity"}
	out.ContentLength, out.TransferEncoding, out.Body, out.Trailer = 0, nil, http.NoBody, nil
	return out
}

// handle answers one query. Its services are held.
func (g *ScatterGather) handle(f *Front, w http.ResponseWriter, r *http.Request, class string, arrived time.Time) {
	begun := false
	defer func() {
		if !begun {
			g.release()
		}
	}()
	reject := func(wrong *BadRequest) {
		if wrong.unread {
			w.Header().Set("Connection", "close")
		}
		say(f, w, r, wrong.status, wrong.text, 0)
	}
	class, wait, wrong := g.read(r, class)
	if wrong != nil {
		reject(wrong)
		return
	}
	calls, wrong := g.calls(r, class, arrived, wait)
	if wrong != nil {
		reject(wrong)
		return
	}
	if body, wrong := g.body(w, r); wrong != nil {
		for i := range calls {
			calls[i].Exchange.Release()
		}
		reject(wrong)
		return
	} else if len(body) > 0 {
		for i := range calls {
			q := &calls[i].Exchange.Forwarder.(*call).Relay
			q.Body, q.Length = retrybuffer.Of(body), int64(len(body))
		}
	}
	run := &scattergather.Run{Tree: g.Tree, Leaves: g.Leaves, By: g.Gatherers, Calls: calls, Class: class, Arrived: arrived, Wait: wait, Release: g.release}
	if g.Load != nil {
		run.Load = g.Load()
	}
	begun = true
	defer run.Done()
	f.give(w, r, g, run.Do(r.Context()))
}

// calls makes each part's request, and books room for it. One without room is turned away by its
// service, and is a part that is missing.
func (g *ScatterGather) calls(r *http.Request, class string, arrived time.Time, wait time.Duration) ([]scattergather.Call, *BadRequest) {
	calls := make([]scattergather.Call, 0, len(g.Targets))
	booked := int64(0) // for the body, which all parts share: by the first that has room
	if r.ContentLength != 0 {
		booked = g.MaxBodyBytes
		if r.ContentLength > 0 {
			booked = r.ContentLength
		}
	}
	asked := forParts(r)
	for i := range g.Targets {
		to := g.Targets[i]
		to.Class = class
		o := to.Protocol.(*Ordinary)
		x, wrong := o.ReadRequest(asked, &to, "", arrived)
		if wrong != nil {
			for _, c := range calls {
				c.Exchange.Release()
			}
			return nil, wrong
		}
		if end := arrived.Add(wait - scattergather.Ahead(wait)); x.Deadline.After(end) {
			x.Deadline = end
		}
		x.Client = waiter(r)
		if to.Service.Admit(x, booked) {
			booked = 0
		}
		calls = append(calls, scattergather.Call{Service: to.Service, Exchange: x, Most: o.MaxBufferedAnswerBytes})
	}
	return calls, nil
}

// body reads a request's body, whole.
func (g *ScatterGather) body(w http.ResponseWriter, r *http.Request) ([]byte, *BadRequest) {
	ctl := http.NewResponseController(w)
	if r.ContentLength == 0 {
		_ = ctl.SetReadDeadline(time.Time{}) // net/http goes on reading, to notice a hang-up
		return nil, nil
	}
	_ = ctl.SetReadDeadline(time.Now().Add(requestWithin))
	body, err := io.ReadAll(io.LimitReader(r.Body, g.MaxBodyBytes+1))
	var late net.Error
	switch {
	case err == nil && int64(len(body)) > g.MaxBodyBytes:
		return nil, tooLong(g.MaxBodyBytes)
	case err == nil:
		_ = ctl.SetReadDeadline(time.Time{})
		return body, nil
	}
	wrong := bad(http.StatusBadRequest, "reading the body: %v", err)
	if errors.As(err, &late) && late.Timeout() {
		wrong.status = http.StatusRequestTimeout
	}
	wrong.unread = true
	return nil, wrong
}

// give gives the client its one answer.
func (f *Front) give(w http.ResponseWriter, r *http.Request, g *ScatterGather, final scattergather.Final) {
	switch final.Outcome {
	case scattergather.EndedLeft:
		panic(http.ErrAbortHandler) // nobody is there
	case scattergather.EndedTooFew:
		say(f, w, r, http.StatusServiceUnavailable, "Too few parts answered in time; trying again is harmless.", min(time.Second, g.Gatherers[0].RetryAfter))
		return
	case scattergather.EndedQuota:
		say(f, w, r, http.StatusServiceUnavailable, "The request was not run: the quota of a part, "+final.Part+", has no more; trying again is harmless.",
			min(final.RetryAfter, g.Gatherers[0].RetryAfter))
		return
	}
	pieces, size := g.Tree.Merge.Join(final.Whole.Contents)
	h := w.Header()
	h["Content-Type"] = []string{g.Tree.Merge.ContentType()}
	h["Content-Length"] = []string{strconv.Itoa(size)}
	h["Via"] = []string{"1.1 " + hopheaders.Alias}
	h["Cache-Control"] = []string{"no-store"} // a partial answer must not be somebody's later
	h[scattergather.HeaderParts] = []string{strconv.Itoa(final.Whole.Held) + "/" + strconv.Itoa(final.Whole.Of)}
	if len(final.Whole.Missing) > 0 {
		h[scattergather.HeaderMissing] = []string{strings.Join(final.Whole.Missing, ", ")}
	}
	if f.draining.Load() {
		h["Connection"] = []string{"close"}
	}
	ctl := http.NewResponseController(w)
	_ = ctl.SetWriteDeadline(time.Now().Add(gatherIdle))
	w.WriteHeader(http.StatusOK)
	if r.Method == http.MethodHead {
		return
	}
	for _, p := range pieces {
		for window := range slices.Chunk(p, upstream.Window) {
			_ = ctl.SetWriteDeadline(time.Now().Add(gatherIdle)) // guards against a client that takes nothing
			if _, err := w.Write(window); err != nil {
				return // the client has left
			}
		}
	}
}
