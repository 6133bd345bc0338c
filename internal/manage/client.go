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

// maxAnswerSize bounds what a daemon may answer.
const maxAnswerSize = 16 << 20

// Client asks the daemon of one control socket. It is safe for concurrent use.
type Client struct {
	Path string
}

// Status asks what the daemon does.
func (c Client) Status(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodGet, "status", nil)
}

// Reload has it read its configuration again, and waits. An error of type RejectedError is the
// daemon's own: it goes on as before.
func (c Client) Reload(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "reload", nil)
}

// Upgrade has a new process of a program ("" is the one that it runs) take its place, and waits.
// The status is the old process's.
func (c Client) Upgrade(ctx context.Context, program string) (Status, error) {
	return c.call(ctx, http.MethodPost, "upgrade", map[string]string{"program": program})
}

// Drain has it let go of its clients and end.
func (c Client) Drain(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "drain", nil)
}

// DrainAndStay is Drain after which it does not serve again before Serve, also where it is started again.
func (c Client) DrainAndStay(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "drain", map[string]bool{"keep": true})
}

// Serve undoes Rest.
func (c Client) Serve(ctx context.Context) (Status, error) {
	return c.call(ctx, http.MethodPost, "serve", nil)
}

// RejectedError is a daemon's answer that it did not do what it was asked. Of a claim or an order Code tells
// which kind it is: errors.Is(err, ErrStale) and so on.
type RejectedError struct {
	Message string
	Code    string // one of package orders; "" of what is no claim or order
}

func (r RejectedError) Error() string { return r.Message }

// Is makes refusals of one code the same to errors.Is.
func (r RejectedError) Is(target error) bool {
	o, ok := target.(RejectedError)
	return ok && o.Message == "" && o.Code == r.Code
}

// Kinds of RejectedError, for errors.Is.
var (
	ErrStale    error = RejectedError{Code: desiredstate.Stale}  // a newer epoch, or this one by another owner, is granted
	ErrLost     error = RejectedError{Code: desiredstate.Lost}   // the member has to be claimed anew, with a higher epoch
	ErrBusy     error = RejectedError{Code: desiredstate.Busy}   // to be asked again
	ErrInvalid  error = RejectedError{Code: desiredstate.Bad}    // can't be meant
	ErrNotSaved error = RejectedError{Code: desiredstate.Unkept} // the member can't write down what it would do; nothing was done
	// ErrFailed is an order that was carried out and failed: asked again by its id it says the same.
	ErrFailed error = RejectedError{Code: desiredstate.Failed}
)

// Claim asks for the daemon's obedience to an epoch's owner.
func (c Client) Claim(ctx context.Context, claim Claim) (Status, error) {
	return c.call(ctx, http.MethodPost, "claim", claim)
}

// RunCommand has it do something once, and waits. Whoever hears nothing asks again by the same id. Of an
// order that replaces the process the status is the old one's.
func (c Client) RunCommand(ctx context.Context, o Order) (Status, error) {
	return c.call(ctx, http.MethodPost, "order", o)
}

func (c Client) call(ctx context.Context, method, what string, body any) (s Status, err error) {
	defer func() {
		if err != nil && !errors.As(err, new(RejectedError)) {
			err = fmt.Errorf("asking the daemon at %s: %w", c.Path, err)
		}
	}()
	var raw []byte
	if body != nil {
		var b bytes.Buffer
		enc := json.NewEncoder(&b)
		enc.SetEscapeHTML(false) // an order's bytes are bounded
		if err := enc.Encode(body); err != nil {
			return s, err
		}
		raw = b.Bytes()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://daemon/v1/"+what, bytes.NewReader(raw))
	if err != nil {
		return s, err
	}
	t := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", c.Path)
	}}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	if err != nil {
		return s, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var f errorAnswer
		if json.Unmarshal(raw, &f) != nil || f.Error == "" {
			return s, fmt.Errorf("it answered %s", resp.Status)
		}
		return s, RejectedError{f.Error, f.Code}
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, fmt.Errorf("reading its answer: %w", err)
	}
	return s, nil
}
