package upstream

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/protocol"
	"lockflow/internal/retrybuffer"
)

// send writes the request's head, and its body where all of it is here and small; else another
// goroutine goes on with the body.
func (t *relay) send(ctx context.Context) Outcome {
	w := t.c.w
	until, ends := ctx.Deadline()
	if t.open = !ends; t.open {
		t.c.writeBy(time.Now().Add(t.IdleTimeout))
	}
	w.WriteString(t.RequestMethod)
	w.WriteByte(' ')
	w.WriteString(t.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(t.Host)
	w.WriteString("\r\n")
	_ = t.Header.Write(w) // an error is kept for Flush
	if t.SendTimeLeft {
		left := t.AnswerTimeout
		if ends {
			left = max(time.Until(until), time.Millisecond)
		}
		w.WriteString(protocol.HeaderTimeLeft + ": " + strconv.FormatInt(left.Milliseconds(), 10) + "m\r\n")
	}
	if t.UpgradeProtocol != "" {
		w.WriteString("Connection: Upgrade\r\nUpgrade: " + t.UpgradeProtocol + "\r\n")
	}
	var inline []byte
	switch {
	case t.Body == nil:
		if t.ContentLength == 0 { // told by the client, as a POST without a body may
			w.WriteString("Content-Length: 0\r\n")
		}
		t.sent.Store(true)
	case t.ContentLength < 0:
		w.WriteString("Transfer-Encoding: chunked\r\n")
		if len(t.TrailerNames) > 0 {
			w.WriteString("Trailer: " + strings.Join(t.TrailerNames, ", ") + "\r\n")
		}
	default:
		w.WriteString("Content-Length: " + strconv.FormatInt(t.ContentLength, 10) + "\r\n")
		if held, ok := t.Body.Complete(); ok && len(held) <= inlineMost && !t.ExpectContinue {
			inline = held
			t.sent.Store(true)
		}
	}
	if t.ExpectContinue {
		w.WriteString("Expect: 100-continue\r\n")
	}
	w.WriteString("\r\n")
	w.Write(inline)
	before := w.Buffered()
	if err := w.Flush(); err != nil {
		o := Outcome{Reason: control.ResetByPeer, Err: err}
		// Where the kernel took no byte, the server has seen none.
		if w.Buffered() == before && before < connBuffer {
			o.Reason = control.ConnectFailed
		}
		return o
	}
	if !t.sent.Load() {
		t.pumped = make(chan struct{})
		if t.ExpectContinue {
			t.ended, t.proceed = make(chan struct{}), make(chan struct{})
		}
		body := t.Body.NewReader() // before anything else can want one
		go t.pump(body)
	}
	return Outcome{}
}

// goOn lets the body be sent; only the first call does anything. It is called by the reader only.
func (t *relay) goOn() {
	if t.proceed == nil {
		return
	}
	select {
	case <-t.proceed:
	default:
		close(t.proceed)
	}
}

// pump sends the body as it comes. What breaks on the client's side ends the attempt; what breaks
// on the server's is for the answer to tell: it may have come before.
func (t *relay) pump(body *retrybuffer.Reader) {
	defer close(t.pumped)
	if t.ExpectContinue {
		wait := time.NewTimer(continueWait)
		select {
		case <-t.proceed:
		case <-wait.C:
		case <-t.ended:
		}
		wait.Stop()
		select {
		case <-t.ended:
			return
		default:
		}
	}
	room := BodyBuffers.Get().(*[]byte)
	defer BodyBuffers.Put(room)
	w := t.c.w
	for {
		n, err := body.Read(*room)
		if n > 0 {
			t.c.writeBy(time.Now().Add(t.IdleTimeout))
			if t.ContentLength < 0 {
				w.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			}
			w.Write((*room)[:n])
			if t.ContentLength < 0 {
				w.WriteString("\r\n")
			}
			if w.Flush() != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			if !errors.Is(err, retrybuffer.ErrGone) && !errors.Is(err, retrybuffer.ErrClosed) {
				t.broken.Store(&err)
			}
			t.c.interrupt()
			return
		}
	}
	if t.ContentLength < 0 {
		w.WriteString("0\r\n")
		if t.Trailer != nil {
			_ = t.Trailer().Write(w) // an error is kept for Flush
		}
		w.WriteString("\r\n")
		if w.Flush() != nil {
			return
		}
	}
	t.sent.Store(true)
	t.await()
}
