package desiredstate

import (
	"errors"
	"fmt"
)

// Code is the result of a command, or the reason why a claim or a command was rejected.
type Code string

// The codes. Those after CodeFailed are rejections, after which the member has done nothing.
const (
	CodeOK       Code = "ok"
	CodeFailed   Code = "failed" // the command ran and failed; the member is as before, except for what Outcome.Error reports
	CodeStale    Code = "stale"  // the member has granted a newer epoch, or this epoch to another owner
	CodeLost     Code = "lost"   // the member has lost the record of granted epochs and must be claimed with its loss token
	CodeBusy     Code = "busy"   // another command or an upgrade is running; the caller may retry
	CodeInvalid  Code = "bad"    // the message is malformed or contradicts an earlier one; a retry gets the same answer
	CodeNotSaved Code = "unkept" // the member could not save its next state
)

// Outcome is the result of a command that has ended. The zero value means that no command has ended.
type Outcome struct {
	ID    string `json:"id"`
	Code  Code   `json:"code"`            // CodeOK or CodeFailed
	Error string `json:"error,omitempty"` // set for CodeFailed
}

// RejectedError is the error for a claim or a command that a member rejected. For errors.Is, a target without a Text
// matches every rejection with its Code.
type RejectedError struct {
	Code Code
	Text string
}

func (r *RejectedError) Error() string { return r.Text }

// Is reports whether target is a RejectedError with the same Code and without a Text.
func (r *RejectedError) Is(target error) bool {
	var other *RejectedError
	return errors.As(target, &other) && other.Text == "" && other.Code == r.Code
}

func reject(code Code, format string, args ...any) error {
	return &RejectedError{code, fmt.Sprintf(format, args...)}
}
