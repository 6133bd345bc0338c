package front

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
)

// BadRequest describes why a request is invalid and how it is answered.
type BadRequest struct {
	status          int
	text            string // explains the error to the client
	closeConnection bool   // the end of the request is unknown, so the connection cannot be reused
}

func newBadRequest(status int, format string, args ...any) *BadRequest {
	return &BadRequest{status: status, text: fmt.Sprintf(format, args...)}
}

// withConnectionClose marks the connection as not reusable after the answer.
func (b *BadRequest) withConnectionClose() *BadRequest {
	b.closeConnection = true
	return b
}

func newBodyTooLong(maxBytes int64) *BadRequest {
	return newBadRequest(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", maxBytes)
}

// newBodyReadError returns the BadRequest for a body that could not be read completely.
func newBodyReadError(err error) *BadRequest {
	status := http.StatusBadRequest
	if isTimeout(err) || errors.Is(err, errBelowMinRate) {
		status = http.StatusRequestTimeout
	}
	return newBadRequest(status, "reading the body: %v", err).withConnectionClose()
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
