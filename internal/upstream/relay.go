package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lockflow/control"
	"lockflow/internal/responseclass"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/validation"
)

const (
	inlineMost   = 4 << 10         // of a body that is written with the head
	interimsMost = 32              // answers of 1xx to one request
	continueWait = time.Second     // for a 100 before the body is sent without (RFC 9110, 10.1.1)
	headWithin   = 5 * time.Second // from the first byte of an answer's head to its last
)

// InterimWriter is told of answers of 1xx that go on to the client, by an attempt's goroutine.
type InterimWriter interface {
	WriteInterim(status int, h http.Header)
}

// RelayedRequest is a request of ordinary HTTP (RFC 9110, 9112) as attempts send it. Its fields are not
// changed once the first attempt is made; one is out at a time.
type RelayedRequest struct {
	// Name, Target and Host go on as they are.
	RequestMethod, Target, Host string
	Header                      http.Header
	Trailer                     func() http.Header // known once all of the body was read; nil is none
	TrailerNames                []string           // that are announced
	Body                        *retrybuffer.Body  // nil is none
	ContentLength               int64              // of the body; below zero it goes in chunks
	ExpectContinue              bool               // the body waits for an answer of 100
	UpgradeProtocol             string             // protocol that may be changed to; "" is none

	ResponseRules    *responseclass.Rules
	MaxBufferedBytes int           // most bytes of an answer's body that are held
	IdleTimeout      time.Duration // for which one window of a body may take to move
	AnswerTimeout    time.Duration // from a body's last byte to the answer's first
	SendTimeLeft     bool          // how long the node will wait

	InterimWriter InterimWriter // nil is nobody asks
}

// Method is the request's.
func (q *RelayedRequest) Method() string { return q.RequestMethod }

// IsBodyPending tells whether some of the body is still to come.
func (q *RelayedRequest) IsBodyPending() bool { return q.Body != nil && !q.Body.HasEnded() }

// CanRetry tells whether a further attempt could send all of it.
func (q *RelayedRequest) CanRetry() bool { return q.Body == nil || q.Body.CanRetry() }

// relay is one attempt.
type relay struct {
	*RelayedRequest
	u      *Upstream
	p      *Pool
	c      *conn
	unhook func() bool // from what ends the attempt
	req    http.Request
	resp   *http.Response // whose body is read; nil for a tunnel
	scan   validation.Scanner
	heads  int  // bytes that heads may still have
	body   bool // what is read now is no head
	open   bool // no ctx bounds the wait for the answer: it counts from the last of the body
	timed  bool // some deadline is set

	pumped  chan struct{} // closed when nothing more of the body is sent; nil where it went with the head
	proceed chan struct{} // closed once a body that waits for 100 may be sent; nil where none does
	ended   chan struct{} // closed with the attempt, where a body waits
	sent    atomic.Bool   // all of the request is
	broken  atomic.Pointer[error]
	once    sync.Once

	mu    sync.Mutex // of what reader and pump both set
	begun bool       // the answer's head has
}

// BodyWindowBytes is what of a body is under way at once, each way, in bytes.
const BodyWindowBytes = 32 << 10

// BodyBuffers holds *[]byte of a Window, for bodies that go on as they come.
var BodyBuffers = sync.Pool{New: func() any { b := make([]byte, BodyWindowBytes); return &b }}

// Attempt makes one attempt: it waits for an answer's head until ctx ends at the most. An answer
// that is not held goes on as a Stream, until life ends.
func (q *RelayedRequest) Attempt(ctx, life context.Context, u *Upstream, p *Pool) Outcome {
	if s := u.sharedOf(p); s != nil {
		if o, ok := s.relay(ctx, life, q); ok {
			return o
		}
	}
	c, err := u.get(ctx, p)
	if err != nil {
		return unconnected(err)
	}
	if !Commit(ctx) {
		return u.unsent(p, c)
	}
	t := &relay{RelayedRequest: q, u: u, p: p, c: c, heads: answerHead}
	t.req.Method = q.RequestMethod
	t.scan.ReadsAnswers = true
	c.in.start(time.Time{}, answerHead)
	c.in.relay = t
	t.unhook = context.AfterFunc(ctx, c.interrupt)
	o, going := t.exchange(ctx)
	switch {
	case going:
		if !t.unhook() { // its time was up at this moment
			o = Outcome{Err: context.Cause(ctx)}
			break
		}
		t.unhook = context.AfterFunc(life, c.interrupt)
		return o
	case o.Err == nil:
		t.end(!t.req.Close && t.whole())
		return o
	}
	// What ends an attempt from outside shows as an error of its own kind on the connection.
	var timeout net.Error
	switch {
	case t.broken.Load() != nil: // the client's side
		o = Outcome{Reason: control.Cancelled, Err: *t.broken.Load(), Status: http.StatusBadRequest, IsFinal: true}
		if errors.As(o.Err, &timeout) && timeout.Timeout() {
			o.Status = http.StatusRequestTimeout
		}
	case errors.Is(ctx.Err(), context.Canceled):
		o.Reason = control.Cancelled
	case ctx.Err() != nil || errors.As(o.Err, &timeout) && timeout.Timeout():
		o.Reason = control.TimedOut
	}
	t.end(false)
	return o
}

// whole tells whether the request has gone out and nothing else is on the connection.
func (t *relay) whole() bool {
	if t.pumped != nil {
		select {
		case <-t.pumped:
		default:
			return false
		}
	}
	return t.sent.Load() && t.c.r.Buffered() == 0
}

// end lets go of the connection, once.
func (t *relay) end(keep bool) {
	t.once.Do(func() {
		if t.ended != nil {
			close(t.ended)
		}
		ours := t.unhook()
		t.c.in.relay = nil
		if !ours || !keep {
			t.c.Close()
			return
		}
		if t.timed || t.pumped != nil {
			t.c.SetDeadline(time.Time{})
		}
		t.u.put(t.p, t.c)
	})
}

// read is the reading of an answer's bytes.
func (t *relay) read(b []byte) (int, error) {
	if t.heads <= 0 {
		return 0, errTooLong
	}
	if t.body {
		t.timed = true
		t.c.readBy(time.Now().Add(t.IdleTimeout))
		n, err := t.c.Read(b)
		if errors.Is(err, io.EOF) && t.resp != nil && t.c.wasReset() {
			err = syscall.ECONNRESET
		}
		return n, err
	}
	n, err := t.c.Read(b[:min(len(b), t.heads)])
	if t.heads -= n; n > 0 {
		t.begins()
	}
	if bad := t.scan.Feed(b[:n]); bad != nil {
		return 0, fmt.Errorf("the answer's head: %w", bad)
	}
	return n, err
}

// begins bounds the time of a head that has begun.
func (t *relay) begins() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open && !t.begun {
		t.timed = true
		t.c.readBy(time.Now().Add(headWithin))
	}
	t.begun = true
}

// await waits for a head to begin: for so long from now where the whole request is out.
func (t *relay) await() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begun || !t.open {
		return
	}
	if t.sent.Load() {
		t.c.readBy(time.Now().Add(t.AnswerTimeout))
	} else {
		t.c.readBy(time.Time{}) // the pump has bounds of its own
	}
}

// exchange sends the request and reads the answer up to where it is held; going tells that there
// is more.
func (t *relay) exchange(ctx context.Context) (o Outcome, going bool) {
	if o := t.send(ctx); o.Err != nil {
		return o, false
	}
	resp, err := t.head()
	if err != nil {
		return Outcome{Reason: control.ResetByPeer, Err: err}, false
	}
	t.body = true
	t.req.Close = resp.Close
	o.Status, o.Header = resp.StatusCode, resp.Header
	if resp.StatusCode == http.StatusSwitchingProtocols {
		o.Reason, o.IsFinal = control.OK, true
		o.Stream = &Stream{going: t, t: t, IsTunnel: true, ContentLength: -1}
		return o, true
	}
	t.resp = resp
	n := resp.ContentLength
	if resp.Body == http.NoBody {
		resp.Body.Close()
		n = 0
	}
	if held, cut := t.hold(&o, resp.Body, n); held {
		t.req.Close = t.req.Close || cut
		return o, false
	}
	o.Stream = &Stream{going: t, t: t, ContentLength: n}
	return o, true
}

func (t *relay) readOn(p []byte) (int, error) {
	if t.resp == nil {
		return t.c.r.Read(p)
	}
	return t.resp.Body.Read(p)
}

func (t *relay) isReady() bool        { return t.c.r.Buffered() > 0 }
func (t *relay) trailer() http.Header { return t.resp.Trailer }
func (t *relay) isCut() bool          { return t.c.cut.Load() }
func (t *relay) cutOff()              { t.c.interrupt() }
func (t *relay) clientBroke() bool    { return t.broken.Load() != nil }
func (t *relay) over(whole bool)      { t.end(whole && !t.req.Close && t.whole()) }

// hold says what an answer's head means and holds its body, of n bytes (below zero is not known),
// where it is to be held; cut says that some of it was left unread.
func (q *RelayedRequest) hold(o *Outcome, body io.Reader, n int64) (held, cut bool) {
	m := q.ResponseRules.Classify(o.Status, o.Header)
	o.Reason, o.IsFinal = m.Reason, m.IsFinal
	switch {
	case n == 0:
	case n > 0 && n <= int64(q.MaxBufferedBytes) && !isEvents(o.Header):
		o.Body = make([]byte, n)
		if _, err := io.ReadFull(body, o.Body); err != nil {
			*o = Outcome{Reason: control.ResetByPeer, Err: err}
		}
	case !m.IsFinal:
		// What might be tried elsewhere is held for the case that nothing better comes; where it is
		// too long, the node's own answer has to do.
		b, err := io.ReadAll(io.LimitReader(body, int64(q.MaxBufferedBytes)+1))
		if o.Body = b; err != nil || len(b) > q.MaxBufferedBytes {
			o.Status, o.Body, cut = 0, nil, true
		}
	default:
		return false, false
	}
	return true, cut
}

func isEvents(h http.Header) bool {
	v := h["Content-Type"]
	return len(v) > 0 && strings.HasPrefix(strings.ToLower(v[0]), "text/event-stream")
}

// head reads heads up to that of the final answer, or of a change of protocol.
func (t *relay) head() (*http.Response, error) {
	for n := 0; ; n++ {
		resp, err := readHead(t.c.r, &t.req)
		if err != nil {
			if !t.sent.Load() && t.pumped != nil && t.broken.Load() == nil {
				err = fmt.Errorf("while the body was sent: %w", err)
			}
			return nil, err
		}
		switch s := resp.StatusCode; {
		case s == http.StatusSwitchingProtocols && t.UpgradeProtocol != "" && t.sent.Load() && strings.EqualFold(resp.Header.Get("Upgrade"), t.UpgradeProtocol):
			return resp, nil
		case s < 200 && s != http.StatusSwitchingProtocols && n < interimsMost:
			if s == http.StatusContinue {
				t.goOn()
			} else if t.InterimWriter != nil {
				t.InterimWriter.WriteInterim(s, resp.Header)
			}
			if t.c.r.Buffered() == 0 { // the next head comes when it comes
				t.mu.Lock()
				t.begun, t.heads = false, answerHead
				t.mu.Unlock()
				t.await()
			}
			continue
		case s < 200:
			return nil, fmt.Errorf("unasked for: %s", resp.Status)
		}
		return resp, nil
	}
}
