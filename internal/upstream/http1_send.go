package upstream

import (
	"bufio"
	"context"
	"strconv"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/protocol"
	"lockflow/internal/retrybuffer"
)

// sendRequest writes the request's head, together with the body if that is complete and small. It starts a goroutine
// that sends any other body.
func (a *http1Attempt) sendRequest(ctx context.Context) Outcome {
	_, hasDeadline := ctx.Deadline()
	a.lacksContextDeadline = !hasDeadline
	if a.writeDeadline = writeDeadline(ctx); !a.writeDeadline.IsZero() {
		a.hasConnDeadline = true
		a.deliveryGuard = a.conn.guardDelivery(a.writeDeadline, a.isRequestWritten.Load)
	}
	switch {
	case a.lacksContextDeadline:
		a.setWriteTimeout()
	case !a.writeDeadline.IsZero():
		a.conn.writeBy(a.writeDeadline)
	}
	writer := a.conn.writer
	a.writeRequestLine(writer)
	_ = a.Header.Write(writer) // Flush returns the error
	a.writeAddedFields(ctx, writer)
	inline := a.writeBodyFields(writer)
	if a.ExpectContinue {
		writer.WriteString("Expect: 100-continue\r\n")
	}
	writer.WriteString("\r\n")
	writer.Write(inline)
	bytesBuffered := writer.Buffered()
	if err := writer.Flush(); err != nil {
		outcome := Outcome{Reason: control.ResetByPeer, Err: err}
		// If the system has accepted no byte, the server has received none.
		if writer.Buffered() == bytesBuffered && bytesBuffered < connBufferBytes {
			outcome.Reason = control.ConnectFailed
		}
		return outcome
	}
	if !a.isRequestWritten.Load() {
		a.startBody()
	} else if !a.writeDeadline.IsZero() {
		a.conn.writeBy(time.Time{}) // a tunnel may follow
	}
	return Outcome{}
}

// setWriteTimeout limits the time of the next write to IdleTimeout, and to the write deadline if that is earlier.
func (a *http1Attempt) setWriteTimeout() {
	deadline := time.Now().Add(a.IdleTimeout)
	if !a.writeDeadline.IsZero() && a.writeDeadline.Before(deadline) {
		deadline = a.writeDeadline
	}
	a.conn.writeBy(deadline)
}

// writeRequestLine writes the request line and the Host field.
func (a *http1Attempt) writeRequestLine(writer *bufio.Writer) {
	writer.WriteString(a.RequestMethod)
	writer.WriteByte(' ')
	writer.WriteString(a.Target)
	writer.WriteString(" HTTP/1.1\r\nHost: ")
	writer.WriteString(a.Host)
	writer.WriteString("\r\n")
}

// writeAddedFields writes the header fields that this node adds to the client's.
func (a *http1Attempt) writeAddedFields(ctx context.Context, writer *bufio.Writer) {
	if a.SendTimeLeft {
		writer.WriteString(protocol.HeaderTimeLeft + ": ")
		writer.WriteString(formatTimeLeft(a.timeLeft(ctx)))
		writer.WriteString("\r\n")
	}
	if a.UpgradeProtocol != "" {
		writer.WriteString("Connection: Upgrade\r\nUpgrade: ")
		writer.WriteString(a.UpgradeProtocol)
		writer.WriteString("\r\n")
	}
}

// writeBodyFields writes the header fields that frame the body. If it returns a body, that is to be written with the
// head and completes the request.
func (a *http1Attempt) writeBodyFields(writer *bufio.Writer) (inline []byte) {
	switch {
	case a.Body == nil:
		if a.ContentLength == 0 { // sent by the client, for example in a POST without a body
			writer.WriteString("Content-Length: 0\r\n")
		}
		a.isRequestWritten.Store(true)
	case a.ContentLength < 0:
		writer.WriteString("Transfer-Encoding: chunked\r\n")
		if len(a.TrailerNames) > 0 {
			writer.WriteString("Trailer: " + strings.Join(a.TrailerNames, ", ") + "\r\n")
		}
	default:
		writer.WriteString("Content-Length: " + strconv.FormatInt(a.ContentLength, 10) + "\r\n")
		if body, ok := a.inlineBody(); ok {
			a.isRequestWritten.Store(true)
			return body
		}
	}
	return nil
}

// startBody starts the goroutine that sends the body.
func (a *http1Attempt) startBody() {
	a.bodySendEnded = make(chan struct{})
	if a.ExpectContinue {
		a.attemptEnded = make(chan struct{})
		a.continueReceived = make(chan struct{})
	}
	body := a.Body.NewReader() // created here so that it precedes the reader of any later attempt
	go a.sendBody(body)
}

// allowBody lets sendBody send a body that waits for a 100. It must be called only from the goroutine that reads the
// response. Calls after the first have no effect.
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

// sendBody sends the body as it arrives. A client error ends the attempt. A server error is reported by the goroutine
// that reads the response, since the response may have arrived already.
func (a *http1Attempt) sendBody(body *retrybuffer.Reader) {
	defer close(a.bodySendEnded)
	if a.ExpectContinue && !awaitContinue(a.continueReceived, a.attemptEnded) {
		return
	}
	readErr, writeErr := copyBody(body, a.writePiece)
	switch {
	case writeErr != nil:
		return
	case readErr != nil:
		if isClientError(readErr) {
			a.clientErr.Store(&readErr)
		}
		a.conn.interrupt()
		return
	}
	if a.ContentLength < 0 && a.writeLastChunk() != nil {
		return
	}
	a.isRequestWritten.Store(true)
	a.setHeadDeadline()
}

// writePiece writes one piece of the body, as a chunk if the length is unknown.
func (a *http1Attempt) writePiece(piece []byte) error {
	writer := a.conn.writer
	a.setWriteTimeout()
	if a.ContentLength < 0 {
		writer.WriteString(strconv.FormatInt(int64(len(piece)), 16) + "\r\n")
	}
	writer.Write(piece)
	if a.ContentLength < 0 {
		writer.WriteString("\r\n")
	}
	return writer.Flush()
}

// writeLastChunk ends a chunked body, including its trailer.
func (a *http1Attempt) writeLastChunk() error {
	writer := a.conn.writer
	writer.WriteString("0\r\n")
	if a.Trailer != nil {
		_ = a.Trailer().Write(writer) // Flush returns the error
	}
	writer.WriteString("\r\n")
	return writer.Flush()
}
