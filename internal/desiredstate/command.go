// Package desiredstate is a member's side of staged changes: which coordinator it obeys, which orders it has
// carried out, and what is wanted of it. The decider (Book) does no I/O; File keeps what it decided,
// written before anything follows from it.
package desiredstate

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
)

// Bounds of what a coordinator may say.
const (
	MaxSettingsBytes = 16 << 20 // bytes of settings, as much as a configuration may have
	maxNameBytes     = 200      // bytes of an owner's name and of an order's id
	maxPathBytes     = 4096
)

// The kinds of what can be wanted.
const (
	KindSettings = "settings" // the file is replaced and read again
	KindProgram  = "program"  // a new process takes the old one's place
	KindRestart  = "restart"  // the same program and settings anew
	KindDrain    = "drain"    // ended and kept so
	KindServe    = "serve"    // served again
)

// Claim asks for a member's obedience.
type Claim struct {
	Epoch uint64 `json:"epoch"`
	Owner string `json:"owner"`
	// LossToken is the token that a member tells which has lost its book. Who gives it has seen that, and chose
	// Epoch only then, above all that more than half of the members have granted.
	LossToken string `json:"after,omitempty"`
}

// Command is what the owner of an epoch orders.
type Command struct {
	Epoch     uint64    `json:"epoch"`
	Owner     string    `json:"owner"`
	ID        string    `json:"id"` // a member does what has it once
	Operation Operation `json:"want"`
}

// Operation is what is ordered.
type Operation struct {
	Kind string `json:"kind"`
	Hash string `json:"hash,omitempty"` // of Text, SHA-256 in hex
	Text string `json:"text,omitempty"` // of the configuration file
	Path string `json:"path,omitempty"` // of the program; absolute
}

// Outcome is how an order ended. Its zero value is none.
type Outcome struct {
	ID    string `json:"id"`
	Code  string `json:"code"`            // OK, Failed
	Error string `json:"error,omitempty"` // why it failed
}

// Target is the state that is wanted of a member, whatever has become of it. Empty is nothing in
// particular.
type Target struct {
	Hash    string `json:"hash,omitempty"`    // of the settings
	Program string `json:"program,omitempty"` // absolute path
	Drained bool   `json:"drained,omitempty"` // it is to end and not to serve
}

// Codes of outcomes and of refusals.
const (
	CodeOK       = "ok"
	CodeFailed   = "failed" // the order was carried out and failed: the member is as before, as far as that is told
	CodeStale    = "stale"  // another owner, or a newer epoch, is granted
	CodeLost     = "lost"   // the member does not know which epochs it has granted, until it is claimed anew
	CodeBusy     = "busy"   // it carries out another order, or hands over; to be asked again
	CodeInvalid  = "bad"    // can't be meant; nothing was done
	CodeNotSaved = "unkept" // the member can't write down what it would do; nothing was done
)

// fingerprint is what an order does, apart from who ordered it: an id may not be used for another.
func (w *Operation) fingerprint() string {
	sum := sha256.Sum256([]byte(w.Kind + "\x00" + w.Hash + "\x00" + w.Path))
	return hex.EncodeToString(sum[:8])
}

// RejectedError is a claim or an order that was not followed.
type RejectedError struct{ Code, Text string }

func (r *RejectedError) Error() string { return r.Text }

// Is makes refusals of one code the same to errors.Is.
func (r *RejectedError) Is(target error) bool {
	var o *RejectedError
	return errors.As(target, &o) && o.Text == "" && o.Code == r.Code
}

func reject(code, format string, args ...any) error {
	return &RejectedError{code, fmt.Sprintf(format, args...)}
}

// Hash is how settings are known.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Validate tells what of a claim can't be meant.
func (c Claim) Validate() error {
	switch {
	case c.Epoch == 0:
		return reject(CodeInvalid, "claim: epoch 0 is none")
	case c.Owner == "" || len(c.Owner) > maxNameBytes:
		return reject(CodeInvalid, "claim: owner: 1 to %d bytes, not %d", maxNameBytes, len(c.Owner))
	case len(c.LossToken) > maxNameBytes:
		return reject(CodeInvalid, "claim: after: %d bytes are more than %d", len(c.LossToken), maxNameBytes)
	}
	return nil
}

// Validate tells what of an order can't be meant. It does not read the settings.
func (o *Command) Validate() error {
	w := &o.Operation
	if err := (Claim{Epoch: o.Epoch, Owner: o.Owner}).Validate(); err != nil {
		return err
	}
	if o.ID == "" || len(o.ID) > maxNameBytes {
		return reject(CodeInvalid, "order: id: 1 to %d bytes, not %d", maxNameBytes, len(o.ID))
	}
	settings, program := w.Kind == KindSettings, w.Kind == KindProgram
	switch w.Kind {
	case KindSettings, KindProgram, KindRestart, KindDrain, KindServe:
	default:
		return reject(CodeInvalid, "order %s: want.kind: there is no %q", o.ID, w.Kind)
	}
	switch {
	case !settings && (w.Hash != "" || w.Text != "") || !program && w.Path != "":
		return reject(CodeInvalid, "order %s: want: %s takes no such thing", o.ID, w.Kind)
	case settings && len(w.Text) > MaxSettingsBytes:
		return reject(CodeInvalid, "order %s: want.text: %d bytes are more than %d", o.ID, len(w.Text), MaxSettingsBytes)
	case settings && w.Hash != Hash([]byte(w.Text)):
		return reject(CodeInvalid, "order %s: want.hash: the text's is %s", o.ID, Hash([]byte(w.Text)))
	case program && (!filepath.IsAbs(w.Path) || len(w.Path) > maxPathBytes):
		return reject(CodeInvalid, "order %s: want.path: %.100q is no absolute path", o.ID, w.Path)
	}
	return nil
}
