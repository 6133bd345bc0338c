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

// maxAnswerSize is how much of a daemon's answer is read, in bytes.
const maxAnswerSize = 16 << 20

// Client sends requests to the daemon of one control socket. It is safe for concurrent use. Its methods wait for the
// daemon's answer or the end of ctx. An error of type RejectedError is the daemon's answer; any other one leaves open
// whether the daemon did what was requested.
type Client struct {
	Path string // of the socket
}

// Status returns the daemon's status.
func (c Client) Status(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodGet, "status", nil)
}

// Reload has the daemon reload its configuration, and waits until it is in force. After a RejectedError the
// daemon continues with the old one.
func (c Client) Reload(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "reload", nil)
}

// Upgrade has a new process of a program (empty for the one that runs) take the daemon's place, and waits until that
// serves. The status is the old process's.
func (c Client) Upgrade(ctx context.Context, program string) (Status, error) {
	return c.call(ctx, http.MethodPost, "upgrade", upgradeRequest{program})
}

// Drain has the daemon drain and end. It doesn't wait for that.
func (c Client) Drain(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "drain", nil)
}

// DrainAndStay is Drain after which the daemon doesn't serve before Serve, also after a restart.
func (c Client) DrainAndStay(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "drain", drainRequest{Keep: true})
}

// Serve undoes DrainAndStay.
func (c Client) Serve(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "serve", nil)
}

// Claim claims an epoch, after which the daemon accepts commands of its owner alone.
func (c Client) Claim(ctx context.Context, claim Claim) (Status, error) {
	return c.call(ctx, http.MethodPost, "claim", claim)
}

// RunCommand has the daemon run a command once, and waits for its outcome. Without an answer the caller retries it
// with the same id. After a command that replaces the process the status is the old one's.
func (c Client) RunCommand(ctx context.Context, command Command) (Status, error) {
	return c.call(ctx, http.MethodPost, "order", command)
}

// RejectedError is a daemon's answer that it did not do what was requested. For a claim or a command, errors.Is with
// ErrStale and so on finds its kind.
type RejectedError struct {
	Message string
	Code    desiredstate.Code // of package desiredstate; empty for other requests
}

// Error returns the daemon's text.
func (r RejectedError) Error() string { return r.Message }

// Is makes the errors below match every RejectedError of their code.
func (r RejectedError) Is(target error) bool {
	other, ok := target.(RejectedError)
	return ok && other.Message == "" && other.Code == r.Code
}

// Kinds of RejectedError, for errors.Is.
var (
	ErrStale    error = RejectedError{Code: desiredstate.CodeStale}    // a newer epoch, or this one by another owner, is granted
	ErrLost     error = RejectedError{Code: desiredstate.CodeLost}     // a new claim is needed, with a higher epoch
	ErrBusy     error = RejectedError{Code: desiredstate.CodeBusy}     // the caller may retry
	ErrInvalid  error = RejectedError{Code: desiredstate.CodeInvalid}  // a retry gets the same answer
	ErrNotSaved error = RejectedError{Code: desiredstate.CodeNotSaved} // the member could not store it; nothing was done
	// ErrFailed is the outcome of a command that ran and failed: retried by its id, it has the same outcome.
	ErrFailed error = RejectedError{Code: desiredstate.CodeFailed}
)

// call sends a request, with body as JSON unless that is nil, and returns the status that answers it.
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

// encodeBody returns body as JSON, nothing for nil. It doesn't escape HTML, which could make settings longer than
// maxCommandSize.
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

// decodeAnswer returns the status in a response, or the error as a RejectedError.
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
		return Status{}, fmt.Errorf("reading its answer: %w", err)
	}
	return status, nil
}
