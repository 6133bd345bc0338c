package upstream

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/h2"
	"lockflow/internal/protocol"
	"lockflow/internal/retrybuffer"
)

// flow is one attempt of ordinary HTTP over a stream of HTTP/2.
type flow struct {
	*RelayedRequest
	s      *h2.Stream
	unhook func() bool // from what ends the attempt
	open   bool        // no ctx bounds the wait for the answer: it counts from the last of the body
	fields http.Header // behind the answer: the names that were announced, then the values

	more    bool          // the body, or some of it, goes behind the head
	proceed chan struct{} // closed once a body that waits for 100 may be sent
	goOn    sync.Once     // of proceed
	once    sync.Once     // of the attempt's end
	broken  atomic.Pointer[error]
	cut     atomic.Bool // from this side
	late    atomic.Bool // the server did not take the body in time
}

// relay makes an attempt over a connection that others share; false where it has to be made over
// HTTP/1.1, and nothing has been sent.
func (s *shared) relay(ctx, life context.Context, q *RelayedRequest) (Outcome, bool) {
	if q.UpgradeProtocol != "" && s.speaks == ProtocolPreferHTTP2 { // there is none in HTTP/2
		return Outcome{}, false
	}
	t := &flow{RelayedRequest: q}
	o, dialed, ok := s.over(ctx, func(c *h2.Conn) (err error) {
		t.s, err = c.Open(t.request(ctx, s.scheme()), BodyWindowBytes, t.early)
		return err
	})
	if t.s == nil {
		o.IsDialed = dialed
		return o, ok
	}
	t.unhook = context.AfterFunc(ctx, t.cutOff)
	o, going := t.exchange()
	switch {
	case going && t.unhook():
		t.unhook = context.AfterFunc(life, t.cutOff)
	case going: // its time was up at this moment
		o = t.failed(ctx, ErrAborted)
		t.over(false)
	case o.Err != nil:
		o = t.failed(ctx, o.Err)
		t.over(false)
	default:
		t.over(true)
	}
	o.IsDialed = dialed
	return o, true
}

// request is what goes on, with as much of the body as is small and here.
func (t *flow) request(ctx context.Context, scheme string) *h2.Request {
	h := t.Header
	set := func(name, value string) {
		if t.Header != nil && len(h) == len(t.Header) {
			h = maps.Clone(t.Header)
		}
		h[name] = []string{value}
	}
	until, ends := ctx.Deadline()
	t.open = !ends
	if t.SendTimeLeft {
		left := t.AnswerTimeout
		if ends {
			left = max(time.Until(until), time.Millisecond)
		}
		set(protocol.HeaderTimeLeft, strconv.FormatInt(left.Milliseconds(), 10)+"m")
	}
	if t.ExpectContinue {
		set("Expect", "100-continue")
	}
	r := &h2.Request{
		Method: t.RequestMethod, Scheme: scheme, Authority: t.Host, Path: t.Target, Header: h, Length: t.ContentLength,
		Begin: func() bool { return Commit(ctx) },
	}
	if t.Body == nil {
		return r
	}
	if held, ok := t.Body.Complete(); ok && len(held) <= inlineMost && !t.ExpectContinue && t.ContentLength >= 0 {
		r.Body = held
		return r
	}
	if len(t.TrailerNames) > 0 {
		set("Trailer", strings.Join(t.TrailerNames, ", "))
	}
	// Decided once: a body that comes whole between here and exchange would be sent by neither.
	t.more, r.More = true, true
	return r
}

func (t *flow) early(status int, h http.Header) {
	switch {
	case status != http.StatusContinue:
		if t.InterimWriter != nil {
			t.InterimWriter.WriteInterim(status, h)
		}
	case t.proceed != nil:
		t.goOn.Do(func() { close(t.proceed) })
	}
}

// exchange sends the body and reads the answer up to where it is held; going tells that there is more.
func (t *flow) exchange() (o Outcome, going bool) {
	if t.more {
		if t.ExpectContinue {
			t.proceed = make(chan struct{})
		}
		go t.pump(t.Body.NewReader())
	} else {
		t.await()
	}
	a, err := t.s.Head()
	if err != nil {
		return Outcome{Err: err}, false
	}
	o.Status, o.Header = a.Status, a.Header
	n := int64(-1)
	if v := a.Header["Content-Length"]; len(v) > 0 {
		n, _ = strconv.ParseInt(v[0], 10, 64) // the connection has read it
	}
	if e := t.s.Ended(); e != nil && e.Err == nil && !t.s.More() { // no body, whatever its head tells of one
		n = 0
	} else {
		t.announced(a.Header)
	}
	t.idle()
	if held, _ := t.hold(&o, reader(t.readOn), n); held {
		return o, false
	}
	o.Stream = &Stream{going: t, ContentLength: n}
	return o, true
}

// announced takes the names of the fields to come behind the body out of a head.
func (t *flow) announced(h http.Header) {
	for _, v := range h["Trailer"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != "" {
				if t.fields == nil {
					t.fields = make(http.Header)
				}
				t.fields[name] = nil
			}
		}
	}
	delete(h, "Trailer")
}

type reader func([]byte) (int, error)

func (f reader) Read(p []byte) (int, error) { return f(p) }

// failed says what an attempt's end means that brought no answer.
func (t *flow) failed(ctx context.Context, err error) Outcome {
	o := Outcome{Reason: control.ResetByPeer, Err: err}
	if wrong := t.broken.Load(); wrong != nil { // the client's side
		o = Outcome{Reason: control.Cancelled, Err: *wrong, Status: http.StatusBadRequest, IsFinal: true}
		if errors.Is(*wrong, os.ErrDeadlineExceeded) {
			o.Status = http.StatusRequestTimeout
		}
		return o
	}
	never := control.Reason(0)
	if e := t.s.Ended(); e != nil {
		never = neverRan(*e)
	}
	switch {
	case never != 0:
		o.Reason = never
	case errors.Is(ctx.Err(), context.Canceled):
		o.Reason = control.Cancelled
	case ctx.Err() != nil || t.late.Load() || errors.Is(err, os.ErrDeadlineExceeded):
		o.Reason = control.TimedOut
	}
	return o
}

// await bounds the wait for the answer from now on, where nothing else does.
func (t *flow) await() {
	if t.open {
		t.s.ReadBy(time.Now().Add(t.AnswerTimeout))
	}
}

// idle bounds each further wait for the answer's body.
func (t *flow) idle() { t.s.ReadBy(time.Now().Add(t.IdleTimeout)) }

// pump sends the body as it comes. What breaks on the client's side ends the attempt.
func (t *flow) pump(body *retrybuffer.Reader) {
	if t.ExpectContinue {
		wait := time.NewTimer(continueWait)
		select {
		case <-t.proceed:
		case <-wait.C:
		case <-t.s.Over():
		}
		wait.Stop()
		if t.s.Ended() != nil {
			return
		}
	}
	room := BodyBuffers.Get().(*[]byte)
	defer BodyBuffers.Put(room)
	for {
		n, err := body.Read(*room)
		if n > 0 {
			t.s.WriteBy(time.Now().Add(t.IdleTimeout))
			if _, err := t.s.Write((*room)[:n]); err != nil {
				if errors.Is(err, os.ErrDeadlineExceeded) {
					t.late.Store(true)
					t.cutOff()
				}
				return // how the stream ended is for the answer to tell
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			if !errors.Is(err, retrybuffer.ErrGone) && !errors.Is(err, retrybuffer.ErrClosed) {
				t.broken.Store(&err)
			}
			t.cutOff()
			return
		}
	}
	var trailer http.Header
	if t.Trailer != nil {
		trailer = t.Trailer()
	}
	t.s.CloseWrite(trailer)
	t.await()
}

func (t *flow) readOn(p []byte) (int, error) {
	t.idle()
	return t.s.Read(p)
}

func (t *flow) isReady() bool { return t.s.Ready() }

func (t *flow) trailer() http.Header {
	for name, v := range t.s.Trailer() {
		if t.fields == nil {
			t.fields = make(http.Header)
		}
		t.fields[name] = slices.Clone(v)
	}
	return t.fields
}

func (t *flow) isCut() bool       { return t.cut.Load() }
func (t *flow) cutOff()           { t.cut.Store(true); t.s.Cut() }
func (t *flow) clientBroke() bool { return t.broken.Load() != nil }

// over lets go of the stream: one that has not ended is reset.
func (t *flow) over(bool) {
	t.once.Do(func() {
		t.unhook()
		t.s.Cut()
		t.s.Close()
	})
}
