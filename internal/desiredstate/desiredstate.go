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
	TextMost = 16 << 20 // bytes of settings, as much as a configuration may have
	nameMost = 200      // bytes of an owner's name and of an order's id
	pathMost = 4096
)

// The kinds of what can be wanted.
const (
	Settings = "settings" // the file is replaced and read again
	Program  = "program"  // a new process takes the old one's place
	Restart  = "restart"  // the same program and settings anew
	Drain    = "drain"    // ended and kept so
	Serve    = "serve"    // served again
)

// Claim asks for a member's obedience.
type Claim struct {
	Epoch uint64 `json:"epoch"`
	Owner string `json:"owner"`
	// After is the token that a member tells which has lost its book. Who gives it has seen that, and chose
	// Epoch only then, above all that more than half of the members have granted.
	After string `json:"after,omitempty"`
}

// Order is what the owner of an epoch orders.
type Order struct {
	Epoch uint64 `json:"epoch"`
	Owner string `json:"owner"`
	ID    string `json:"id"` // a member does what has it once
	Want  Want   `json:"want"`
}

// Want is what is ordered.
type Want struct {
	Kind string `json:"kind"`
	Hash string `json:"hash,omitempty"` // of Text, SHA-256 in hex
	Text string `json:"text,omitempty"` // of the configuration file
	Path string `json:"path,omitempty"` // of the program; absolute
}

// Done is how an order ended. Its zero value is none.
type Done struct {
	ID    string `json:"id"`
	Code  string `json:"code"`            // OK, Failed
	Error string `json:"error,omitempty"` // why it failed
}

// Wanted is the state that is wanted of a member, whatever has become of it. Empty is nothing in
// particular.
type Wanted struct {
	Hash    string `json:"hash,omitempty"`    // of the settings
	Program string `json:"program,omitempty"` // absolute path
	Drained bool   `json:"drained,omitempty"` // it is to end and not to serve
}

// Codes of outcomes and of refusals.
const (
	OK     = "ok"
	Failed = "failed" // the order was carried out and failed: the member is as before, as far as that is told
	Stale  = "stale"  // another owner, or a newer epoch, is granted
	Lost   = "lost"   // the member does not know which epochs it has granted, until it is claimed anew
	Busy   = "busy"   // it carries out another order, or hands over; to be asked again
	Bad    = "bad"    // can't be meant; nothing was done
	Unkept = "unkept" // the member can't write down what it would do; nothing was done
)

// act is what an order does, apart from who ordered it: an id may not be used for another.
func (w *Want) act() string {
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

func refuse(code, format string, args ...any) error {
	return &RejectedError{code, fmt.Sprintf(format, args...)}
}

// Hash is how settings are known.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Check tells what of a claim can't be meant.
func (c Claim) Check() error {
	switch {
	case c.Epoch == 0:
		return refuse(Bad, "claim: epoch 0 is none")
	case c.Owner == "" || len(c.Owner) > nameMost:
		return refuse(Bad, "claim: owner: 1 to %d bytes, not %d", nameMost, len(c.Owner))
	case len(c.After) > nameMost:
		return refuse(Bad, "claim: after: %d bytes are more than %d", len(c.After), nameMost)
	}
	return nil
}

// Check tells what of an order can't be meant. It does not read the settings.
func (o *Order) Check() error {
	w := &o.Want
	if err := (Claim{Epoch: o.Epoch, Owner: o.Owner}).Check(); err != nil {
		return err
	}
	if o.ID == "" || len(o.ID) > nameMost {
		return refuse(Bad, "order: id: 1 to %d bytes, not %d", nameMost, len(o.ID))
	}
	settings, program := w.Kind == Settings, w.Kind == Program
	switch w.Kind {
	case Settings, Program, Restart, Drain, Serve:
	default:
		return refuse(Bad, "order %s: want.kind: there is no %q", o.ID, w.Kind)
	}
	switch {
	case !settings && (w.Hash != "" || w.Text != "") || !program && w.Path != "":
		return refuse(Bad, "order %s: want: %s takes no such thing", o.ID, w.Kind)
	case settings && len(w.Text) > TextMost:
		return refuse(Bad, "order %s: want.text: %d bytes are more than %d", o.ID, len(w.Text), TextMost)
	case settings && w.Hash != Hash([]byte(w.Text)):
		return refuse(Bad, "order %s: want.hash: the text's is %s", o.ID, Hash([]byte(w.Text)))
	case program && (!filepath.IsAbs(w.Path) || len(w.Path) > pathMost):
		return refuse(Bad, "order %s: want.path: %.100q is no absolute path", o.ID, w.Path)
	}
	return nil
}
