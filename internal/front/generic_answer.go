package front

import (
	"net/http"
	"strconv"
	"time"

	"lockflow/internal/hopheaders"
	"lockflow/internal/service"
)

// WriteAnswer writes the final answer to the client. If a streamed answer is truncated, the connection is
// aborted, so that the client does not take the part for the complete answer.
func (o *GenericHTTP) WriteAnswer(
	front *Front, w http.ResponseWriter, r *http.Request, exchange *service.Exchange, answer service.Answer,
) {
	call := exchange.Forwarder.(*genericCall)
	call.closeInterim()
	call.hasAnswer = true
	if answer.Stream != nil {
		defer answer.Stream.Close()
	}
	if answer.Header == nil {
		status, text := nodeAnswer(answer)
		writeNodeAnswer(front, w, r, status, text, answer.RetryAfter)
		return
	}
	header := w.Header()
	hopheaders.ForwardResponse(header, answer.Header)
	if len(header["Content-Type"]) == 0 {
		header["Content-Type"] = nil // keeps net/http from guessing the type from the body
	}
	if front.isDraining.Load() || call.Body != nil && !call.Body.HasEnded() {
		header.Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(o.IdleTimeout))
	switch {
	case answer.Stream == nil:
		writeBufferedAnswer(w, r, answer)
	case answer.Stream.IsTunnel:
		o.serveTunnel(w, answer)
	default:
		o.streamAnswer(front, w, r, answer)
	}
}

// writeBufferedAnswer writes an answer whose body has been read completely.
func writeBufferedAnswer(w http.ResponseWriter, r *http.Request, answer service.Answer) {
	header := w.Header()
	if r.Method == http.MethodHead || answer.Status == http.StatusNotModified {
		if length := answer.Header["Content-Length"]; len(length) > 0 { // the length that a GET would get
			header["Content-Length"] = length
		}
	} else if answer.Status != http.StatusNoContent {
		header["Content-Length"] = []string{strconv.Itoa(len(answer.Body))}
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // the request's context reports a disconnected client
}

// WriteBadRequest writes the error answer for an invalid request to the client.
func (*GenericHTTP) WriteBadRequest(front *Front, w http.ResponseWriter, r *http.Request, badRequest *BadRequest) {
	writeBadRequestAnswer(front, w, r, badRequest)
}
