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

// sendRequest writes the request's head, and its body where all of it is here and small; else another
// goroutine goes on with the body.
func (a *http1Attempt) sendRequest(ctx context.Context) Outcome {
	writer := a.conn.writer
	deadline, hasDeadline := ctx.Deadline()
	if a.isUnbounded = !hasDeadline; a.isUnbounded {
		a.conn.writeBy(time.Now().Add(a.IdleTimeout))
	}
	writer.WriteString(a.RequestMethod)
	writer.WriteByte(' ')
	writer.WriteString(a.Target)
	writer.WriteString(" HTTP/1.1\r\nHost: ")
	writer.WriteString(a.Host)
	writer.WriteString("\r\n")
	_ = a.Header.Write(writer) // an error is kept for Flush
	if a.SendTimeLeft {
		left := a.AnswerTimeout
		if hasDeadline {
			left = max(time.Until(deadline), time.Millisecond)
		}
		writer.WriteString(protocol.HeaderTimeLeft + ": " + strconv.FormatInt(left.Milliseconds(), 10) + "m\r\n")
	}
	if a.UpgradeProtocol != "" {
		writer.WriteString("Connection: Upgrade\r\nUpgrade: " + a.UpgradeProtocol + "\r\n")
	}
	var inline []byte
	switch {
	case a.Body == nil:
		if a.ContentLength == 0 { // told by the client, as a POST without a body may
			writer.WriteString("Content-Length: 0\r\n")
		}
		a.isSent.Store(true)
	case a.ContentLength < 0:
		writer.WriteString("Transfer-Encoding: chunked\r\n")
		if len(a.TrailerNames) > 0 {
			writer.WriteString("Trailer: " + strings.Join(a.TrailerNames, ", ") + "\r\n")
		}
	default:
		writer.WriteString("Content-Length: " + strconv.FormatInt(a.ContentLength, 10) + "\r\n")
		if content, ok := a.Body.Complete(); ok && len(content) <= maxInlineBodyBytes && !a.ExpectContinue {
			inline = content
			a.isSent.Store(true)
		}
	}
	if a.ExpectContinue {
		writer.WriteString("Expect: 100-continue\r\n")
	}
	writer.WriteString("\r\n")
	writer.Write(inline)
	before := writer.Buffered()
	if err := writer.Flush(); err != nil {
		outcome := Outcome{Reason: control.ResetByPeer, Err: err}
		// Where the kernel took no byte, the server has seen none.
		if writer.Buffered() == before && before < connBufferBytes {
			outcome.Reason = control.ConnectFailed
		}
		return outcome
	}
	if !a.isSent.Load() {
		a.bodyEnded = make(chan struct{})
		if a.ExpectContinue {
			a.attemptEnded, a.continueReceived = make(chan struct{}), make(chan struct{})
		}
		body := a.Body.NewReader() // before anything else can want one
		go a.sendBody(body)
	}
	return Outcome{}
}

// allowBody lets the body be sent; only the first call does anything. It is called by the reader only.
func (a *http1Attempt) allowBody() {
	if a.continueReceived == nil {
		return
	}
	select {
	case <-a.continueReceived:
	default:
		close(a.continueReceived)
	}
}

// sendBody sends the body as it comes. What breaks on the client's side ends the attempt; what breaks
// on the server's is for the answer to tell: it may have come before.
func (a *http1Attempt) sendBody(body *retrybuffer.Reader) {
	defer close(a.bodyEnded)
	if a.ExpectContinue {
		timer := time.NewTimer(continueTimeout)
		select {
		case <-a.continueReceived:
		case <-timer.C:
		case <-a.attemptEnded:
		}
		timer.Stop()
		select {
		case <-a.attemptEnded:
			return
		default:
		}
	}
	buffer := BodyBuffers.Get().(*[]byte)
	defer BodyBuffers.Put(buffer)
	writer := a.conn.writer
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			a.conn.writeBy(time.Now().Add(a.IdleTimeout))
			if a.ContentLength < 0 {
				writer.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			}
			writer.Write((*buffer)[:n])
			if a.ContentLength < 0 {
				writer.WriteString("\r\n")
			}
			if writer.Flush() != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			if !errors.Is(err, retrybuffer.ErrGone) && !errors.Is(err, retrybuffer.ErrClosed) {
				a.clientErr.Store(&err)
			}
			a.conn.interrupt()
			return
		}
	}
	if a.ContentLength < 0 {
		writer.WriteString("0\r\n")
		if a.Trailer != nil {
			_ = a.Trailer().Write(writer) // an error is kept for Flush
		}
		writer.WriteString("\r\n")
		if writer.Flush() != nil {
			return
		}
	}
	a.isSent.Store(true)
	a.awaitHead()
}
