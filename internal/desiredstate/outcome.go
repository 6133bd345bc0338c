package desiredstate

import (
	"errors"
	"fmt"
)

// Code is how a command ended, or why a claim or a command was rejected.
type Code string

// The codes. Those after CodeFailed are rejections: the member has done nothing.
const (
	CodeOK       Code = "ok"
	CodeFailed   Code = "failed" // it ran and failed; the member is as before, except for what Outcome.Error reports
	CodeStale    Code = "stale"  // the member has granted a newer epoch, or this one to another owner
	CodeLost     Code = "lost"   // the member has lost which epochs it granted, and has to be claimed with its token
	CodeBusy     Code = "busy"   // another command or an upgrade is running; retry
	CodeInvalid  Code = "bad"    // a retry gets the same answer
	CodeNotSaved Code = "unkept" // the member could not store its next state
)

// Outcome is how a command ended. The zero value means that none has ended.
type Outcome struct {
	ID    string `json:"id"`
	Code  Code   `json:"code"`            // CodeOK or CodeFailed
	Error string `json:"error,omitempty"` // why it failed
}

// RejectedError is a claim or a command that a member did not follow. A target without a Text matches, by errors.Is,
// every rejection of its Code.
type RejectedError struct {
	Code Code
	Text string
}

func (r *RejectedError) Error() string { return r.Text }

// Is reports whether target is a RejectedError of the same Code without a Text.
func (r *RejectedError) Is(target error) bool {
	var other *RejectedError
	return errors.As(target, &other) && other.Text == "" && other.Code == r.Code
}

func reject(code Code, format string, args ...any) error {
	return &RejectedError{code, fmt.Sprintf(format, args...)}
}
