package front

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lockflow/internal/retrybuffer"
)

// errInputRefused reports that no more of a client's input is read, because its requests take too much memory.
var errInputRefused = errors.New("the requests of the connection take too much memory")

// overloadRetryAfter is the time after which a client may retry a request for which there was no memory.
const overloadRetryAfter = time.Second

// BadRequest describes why a request is invalid and how it is answered.
type BadRequest struct {
	status          int
	text            string // explains the error to the client
	closeConnection bool   // the end of the request is unknown, so the connection cannot be reused
	retryAfter      time.Duration
}

func newBadRequest(status int, format string, args ...any) *BadRequest {
	return &BadRequest{status: status, text: fmt.Sprintf(format, args...)}
}

// withConnectionClose marks the connection as not reusable after the answer.
func (b *BadRequest) withConnectionClose() *BadRequest {
	b.closeConnection = true
	return b
}

// newOverloaded returns the BadRequest for a request for which there is no memory. It is safe to retry.
func newOverloaded() *BadRequest {
	badRequest := newBadRequest(http.StatusServiceUnavailable, "the request was not run for want of memory; trying again is harmless")
	badRequest.retryAfter = overloadRetryAfter
	return badRequest.withConnectionClose()
}

// isOverloaded reports whether a body could not be read for want of memory.
func isOverloaded(err error) bool {
	return errors.Is(err, retrybuffer.ErrNoMemory) || errors.Is(err, errInputRefused)
}

// message returns the error answer as it is written to a connection whose request net/http has not read completely.
func (b *BadRequest) message() []byte {
	body := b.text + "\n"
	status := strconv.Itoa(b.status) + " " + http.StatusText(b.status)
	head := "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n"
	if b.retryAfter > 0 {
		head += "Retry-After: " + strconv.FormatFloat(b.retryAfter.Seconds(), 'f', -1, 64) + "\r\n"
	}
	return []byte(head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

func newBodyTooLong(maxBytes int64) *BadRequest {
	return newBadRequest(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", maxBytes)
}

// newBodyReadError returns the BadRequest for a body that could not be read completely.
func newBodyReadError(err error) *BadRequest {
	if isOverloaded(err) {
		return newOverloaded()
	}
	status := http.StatusBadRequest
	if isTimeout(err) || errors.Is(err, errBelowMinRate) {
		status = http.StatusRequestTimeout
	}
	return newBadRequest(status, "reading the body: %v", err).withConnectionClose()
}

// checkSize rejects a request on a connection whose requests have too many fields or take too much memory.
func checkSize(r *http.Request) *BadRequest {
	if conn := validatingConnOf(r); conn != nil {
		return conn.refusal.Load()
	}
	return nil
}

// checkMessage rejects a request on a connection whose bytes were not valid HTTP/1.1.
func checkMessage(r *http.Request) *BadRequest {
	conn := validatingConnOf(r)
	if conn == nil {
		return nil
	}
	if err := conn.validationError(); err != nil {
		return newBadRequest(http.StatusBadRequest, "%v", err).withConnectionClose()
	}
	return nil
}

// checkExpect rejects any expectation other than 100-continue (RFC 9110, 10.1.1).
func checkExpect(r *http.Request) *BadRequest {
	if len(r.Header["Expect"]) > 0 && !strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return newBadRequest(http.StatusExpectationFailed, "Expect: %q", r.Header.Get("Expect"))
	}
	return nil
}

// isTimeout reports whether err is the timeout of a read or write on a connection.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
