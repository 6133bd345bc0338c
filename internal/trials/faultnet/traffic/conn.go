// Package traffic contains what the fault trials share: the connections of their clients, their fake servers, and
// the record of the faults that may have affected a connection.
package traffic

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"lockflow/internal/testsupport/fake"
)

// IDField is the header field with a request's id; servers copy it into their answers.
const IDField = "X-Trial-Id"

// Request is one request of a client.
type Request struct {
	ID     string
	Method string
	Path   string
	Header [2]string // name and value of another header field; none if the value is empty
	Body   int64     // body size of a POST in bytes
	Answer int64     // body size in bytes that the request asks the server for
}

// Conn sends requests over a persistent connection, one at a time, without retries. It dials anew after Close.
// It is for one goroutine.
type Conn struct {
	Addr func() string // returns the address to dial
	// FaultTimeout is the read timeout of a connection that a fault may have affected, MaxTimeout that of all others;
	// the latter is the timeout of dialing and writing too.
	FaultTimeout time.Duration
	MaxTimeout   time.Duration
	// IsFaultPossible reports whether a fault may have affected a connection that was dialed at a time.
	IsFaultPossible func(dialedAt time.Time) bool

	conn     net.Conn
	in       *bufio.Reader
	dialedAt time.Time
}

// DialedAt returns the time at which dialing of the current or latest connection started.
func (c *Conn) DialedAt() time.Time { return c.dialedAt }

// Unread returns the number of bytes that were received after the latest answer.
func (c *Conn) Unread() int {
	if c.conn == nil {
		return 0
	}
	return c.in.Buffered()
}

// Close closes the connection, if there is one.
func (c *Conn) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Send sends a request and returns the head of its answer. The caller reads the body to its end before the next
// call, and closes the connection after an error.
func (c *Conn) Send(request Request) (*http.Response, error) {
	if c.conn == nil {
		c.dialedAt = time.Now()
		conn, err := (&net.Dialer{Timeout: c.MaxTimeout}).DialContext(context.Background(), "tcp", c.Addr())
		if err != nil {
			return nil, err
		}
		c.conn = conn
	}
	c.in = bufio.NewReader(&timeoutReader{c, time.Now().Add(c.MaxTimeout)})
	c.conn.SetWriteDeadline(time.Now().Add(c.MaxTimeout))
	if err := writeRequest(c.conn, request); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.in, &http.Request{Method: request.Method})
}

func writeRequest(w io.Writer, request Request) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "%s %s?n=%d HTTP/1.1\r\nHost: trial.example\r\n%s: %s\r\n", request.Method, request.Path, request.Answer, IDField, request.ID)
	if name, value := request.Header[0], request.Header[1]; value != "" {
		fmt.Fprintf(out, "%s: %s\r\n", name, value)
	}
	if request.Method == http.MethodPost {
		fmt.Fprintf(out, "Content-Length: %d\r\n", request.Body)
	}
	out.WriteString("\r\n")
	_, _ = io.Copy(out, fake.PatternReader(request.Body)) // Flush returns the error
	return out.Flush()
}

// timeoutReader reads from a connection. A read times out at the deadline, or after FaultTimeout if a fault may have
// affected the connection.
type timeoutReader struct {
	*Conn
	deadline time.Time
}

func (r *timeoutReader) Read(b []byte) (int, error) {
	for {
		r.conn.SetReadDeadline(time.Now().Add(r.FaultTimeout))
		n, err := r.conn.Read(b)
		isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
		if n > 0 || !isTimeout || r.IsFaultPossible(r.dialedAt) || time.Now().After(r.deadline) {
			return n, err
		}
	}
}
