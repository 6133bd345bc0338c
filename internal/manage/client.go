package manage

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"lockflow/internal/desiredstate"
)

// maxAnswerSize is the maximum number of bytes that are read of a daemon's answer.
const maxAnswerSize = 16 << 20

// Client sends requests to the daemon on one control socket. It is safe for concurrent use. Its methods wait until the
// daemon answers or ctx is done. An error of type RejectedError is the daemon's answer; after any other error it is
// unknown whether the daemon carried out the request.
type Client struct {
	Path string // path of the socket
}

// Status returns the daemon's status.
func (c Client) Status(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodGet, "status", nil)
}

// Reload makes the daemon reload its configuration, and waits until that is in force. After a RejectedError the daemon
// continues with the old configuration.
func (c Client) Reload(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "reload", nil)
}

// Upgrade replaces the daemon's process by a new one that runs program (the current program if empty), and waits until
// the new process serves. The returned status is that of the old process.
func (c Client) Upgrade(ctx context.Context, program string) (Status, error) {
	return c.call(ctx, http.MethodPost, "upgrade", upgradeRequest{program})
}

// Drain makes the daemon drain and exit. It returns without waiting for that.
func (c Client) Drain(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "drain", nil)
}

// DrainAndStay is like Drain, but the daemon stays drained, also after a restart, until Serve is called.
func (c Client) DrainAndStay(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "drain", drainRequest{Keep: true})
}

// Serve reverts DrainAndStay.
func (c Client) Serve(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "serve", nil)
}

// Claim claims an epoch. After that the daemon accepts only commands of the epoch's owner.
func (c Client) Claim(ctx context.Context, claim Claim) (Status, error) {
	return c.call(ctx, http.MethodPost, "claim", claim)
}

// RunCommand makes the daemon run a command once, and waits for its outcome. A caller that gets no answer may retry
// with the same command id. After a command that replaces the process, the status is that of the old process.
func (c Client) RunCommand(ctx context.Context, command Command) (Status, error) {
	return c.call(ctx, http.MethodPost, "order", command)
}

// RejectedError is a daemon's answer that it rejected a request, or that the request failed. For a claim or a command,
// errors.Is with ErrStale and the other errors below determines the kind.
type RejectedError struct {
	Message string
	Code    desiredstate.Code // set for claims and commands; empty for other requests
}

// Error returns the daemon's message.
func (r RejectedError) Error() string { return r.Message }

// Is makes the errors below match every RejectedError with the same code.
func (r RejectedError) Is(target error) bool {
	other, ok := target.(RejectedError)
	return ok && other.Message == "" && other.Code == r.Code
}

// Kinds of RejectedError, for errors.Is.
var (
	ErrStale    error = RejectedError{Code: desiredstate.CodeStale}    // the member has granted a newer epoch, or this epoch to another owner
	ErrLost     error = RejectedError{Code: desiredstate.CodeLost}     // the member has lost its state; a new claim with a higher epoch is needed
	ErrBusy     error = RejectedError{Code: desiredstate.CodeBusy}     // the caller may retry
	ErrInvalid  error = RejectedError{Code: desiredstate.CodeInvalid}  // a retry gets the same answer
	ErrNotSaved error = RejectedError{Code: desiredstate.CodeNotSaved} // the member could not save its next state; nothing was done
	// ErrFailed is the outcome of a command that ran and failed. A retry with the same id gets the same outcome.
	ErrFailed error = RejectedError{Code: desiredstate.CodeFailed}
)

// call sends a request, with body as JSON unless body is nil, and returns the status in the answer.
func (c Client) call(ctx context.Context, method, name string, body any) (Status, error) {
	status, err := c.roundTrip(ctx, method, name, body)
	if err != nil && !errors.As(err, new(RejectedError)) {
		err = fmt.Errorf("calling the daemon at %s: %w", c.Path, err)
	}
	return status, err
}

func (c Client) roundTrip(ctx context.Context, method, name string, body any) (Status, error) {
	encoded, err := encodeBody(body)
	if err != nil {
		return Status{}, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://daemon/v1/"+name, bytes.NewReader(encoded))
	if err != nil {
		return Status{}, err
	}
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", c.Path)
		},
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Status{}, err
	}
	defer response.Body.Close()
	return decodeAnswer(response)
}

// encodeBody returns body as JSON, or nil if body is nil. It doesn't escape HTML, because the escapes could make settings
// exceed maxCommandSize.
func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		return nil, err
	}
	return encoded.Bytes(), nil
}

// decodeAnswer returns the status in an answer. For an answer with an error it returns a RejectedError.
func decodeAnswer(response *http.Response) (Status, error) {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil {
		return Status{}, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		var answer errorAnswer
		if json.Unmarshal(raw, &answer) != nil || answer.Error == "" {
			return Status{}, fmt.Errorf("it answered %s", response.Status)
		}
		return Status{}, RejectedError{Message: answer.Error, Code: answer.Code}
	}
	var status Status
	if err := json.Unmarshal(raw, &status); err != nil {
		return Status{}, fmt.Errorf("decoding the answer: %w", err)
	}
	return status, nil
}
