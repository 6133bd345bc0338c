package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/hopheaders"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// relayBufferBytes is the memory for the buffers of a body that is streamed, in both directions.
const relayBufferBytes = 2 * upstream.BodyWindowBytes

// maxDiscardTime is how long the rest of a body is read and discarded after the answer.
const maxDiscardTime = time.Second

// expired is a deadline that has already passed.
var expired = time.Unix(1, 0) //nolint:forbidigo // in the past by any clock

var errBodyTooLong = errors.New("a body of too many bytes")

// genericCall is one request of generic HTTP: its exchange with the service, the request that is
// forwarded, and the state of its body and its interim responses.
type genericCall struct {
	service.Exchange
	upstream.RelayedRequest
	maxBodyBytes int64 // negative for no limit
	idleTimeout  time.Duration

	bodyRate rateGuard
	// discardDeadline is the time until which the rest of the body is read and discarded; nil before Finish sets it.
	discardDeadline atomic.Pointer[time.Time]
	controller      *http.ResponseController
	writer          http.ResponseWriter
	hasAnswer       bool // the node has started to write the final answer

	mu            sync.Mutex // serializes interim responses, and orders them before the final answer
	interimClosed bool       // no more interim responses may be written
}

var _ upstream.InterimWriter = (*genericCall)(nil)

// ReservedBytes returns the memory for a request's body: the length of a body that fits in the retry
// buffer, or the size of the retry buffer and of the buffers for streaming.
func (o *GenericHTTP) ReservedBytes(r *http.Request) int64 {
	switch n := r.ContentLength; {
	case n == 0:
		return 0
	case n > 0 && n <= int64(o.RetryBufferBytes):
		return n
	}
	return int64(o.RetryBufferBytes) + relayBufferBytes
}

// ReadBody buffers a body that fits in the retry buffer, so that a slow client does not occupy a
// server, and prepares any other body for streaming.
func (o *GenericHTTP) ReadBody(w http.ResponseWriter, r *http.Request, exchange *service.Exchange) *BadRequest {
	call := exchange.Forwarder.(*genericCall)
	call.writer = w
	call.controller = http.NewResponseController(w)
	if r.ProtoAtLeast(1, 1) {
		call.InterimWriter = call
	}
	if r.ContentLength == 0 {
		_ = call.controller.SetReadDeadline(time.Time{}) // net/http keeps reading, to detect that the client disconnects
		return nil
	}
	call.ExpectContinue = len(r.Header["Expect"]) > 0 && r.ProtoAtLeast(1, 1)
	call.bodyRate = rateGuard{gracePeriod: o.IdleTimeout, minBytesPerSecond: o.MinBytesPerSecond}
	call.Body = retrybuffer.New(&limitedBody{r.Body, call}, o.RetryBufferBytes, call.setReadDeadline)
	fitsRetryBuffer := call.ContentLength >= 0 && call.ContentLength <= int64(o.RetryBufferBytes)
	if call.ExpectContinue || !fitsRetryBuffer {
		_ = call.controller.EnableFullDuplex() // the answer may start before the body has been read
		exchange.Request.HasPendingBody = true
		return nil
	}
	if err := call.Body.FillReserving(call.ContentLength, inputOf(r).setBody); err != nil {
		return newBodyReadError(err)
	}
	return nil
}

// setReadDeadline sets the deadline for the next read of the body.
func (c *genericCall) setReadDeadline() {
	deadline := time.Now().Add(c.idleTimeout)
	if discardDeadline := c.discardDeadline.Load(); discardDeadline != nil {
		deadline = *discardDeadline
	}
	_ = c.controller.SetReadDeadline(deadline)
}

// limitedBody reads a request's body and enforces its maximum length and minimum rate.
type limitedBody struct {
	io.Reader
	call *genericCall
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if rateErr := b.call.bodyRate.record(time.Now(), n); rateErr != nil && err == nil {
		err = rateErr
	}
	if b.call.maxBodyBytes >= 0 && b.call.bodyRate.totalBytes > b.call.maxBodyBytes {
		return 0, errBodyTooLong
	}
	if errors.Is(err, io.EOF) {
		// net/http keeps reading, to detect that the client disconnects; the body's deadline must not stop it.
		_ = b.call.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// WriteInterim writes a 1xx response, unless closeInterim has been called.
func (c *genericCall) WriteInterim(status int, interim http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interimClosed {
		return
	}
	header := c.writer.Header()
	hopheaders.ForwardResponse(header, interim)
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.idleTimeout))
	c.writer.WriteHeader(status)
	clear(header)
}

// Finish stops reading the request. If an answer was written before the body was read completely, it reads
// and discards the rest of the body for up to maxDiscardTime: closing the connection at once would reset it
// and could drop the answer before the client has read it.
func (o *GenericHTTP) Finish(exchange *service.Exchange) {
	call := exchange.Forwarder.(*genericCall)
	call.closeInterim()
	body := call.Body
	if body == nil {
		return
	}
	// If no answer has been written, Flush must not be called: net/http would write the head of a 200.
	if call.hasAnswer && !body.HasEnded() && body.Err() == nil {
		_ = call.controller.Flush()
		deadline := time.Now().Add(maxDiscardTime)
		call.discardDeadline.Store(&deadline)
		_ = call.controller.SetReadDeadline(deadline)
		body.Discard()
	}
	body.Close(func() { _ = call.controller.SetReadDeadline(expired) })
}

// closeInterim makes WriteInterim discard all further interim responses.
func (c *genericCall) closeInterim() {
	c.mu.Lock()
	c.interimClosed = true
	c.mu.Unlock()
}
