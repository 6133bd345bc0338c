package desiredstate

import (
	"crypto/sha256"
	"encoding/hex"
	"path/filepath"
)

// Limits on the messages of a coordinator.
const (
	// MaxSettingsBytes is the maximum size of settings, equal to that of a configuration file.
	MaxSettingsBytes = 16 << 20

	maxNameBytes = 200 // of an owner's name, a command's id, and a loss token
	maxPathBytes = 4096
)

// fingerprintBytes is the length of the hash prefix that distinguishes operations sent under the same command id.
const fingerprintBytes = 8

// Kind is what an operation does to a member.
type Kind string

// The kinds of operations.
const (
	KindSettings Kind = "settings" // replaces the configuration file and reloads it
	KindProgram  Kind = "program"  // upgrades to another program
	KindRestart  Kind = "restart"  // restarts with the same program and settings
	KindDrain    Kind = "drain"    // drains the member, which then stays drained, also after a restart
	KindServe    Kind = "serve"    // ends a drain
)

// Claim asks a member to accept commands of an epoch's owner only.
type Claim struct {
	Epoch uint64 `json:"epoch"` // above 0
	Owner string `json:"owner"` // identifies one coordinator process
	// LossToken (key "after") is the token that a member reports after it has lost its state. Such a member accepts
	// only claims with this token: a coordinator that has read it has then chosen an Epoch above all epochs that a
	// majority has granted.
	LossToken string `json:"after,omitempty"`
}

// Command is an operation that the owner of an epoch sends to a member.
type Command struct {
	Epoch     uint64    `json:"epoch"`
	Owner     string    `json:"owner"`
	ID        string    `json:"id"` // idempotency key: a member runs commands with the same id once
	Operation Operation `json:"want"`
}

// Operation is what a command does. The fields after Kind are set only for the kinds that need them.
type Operation struct {
	Kind Kind   `json:"kind"`
	Hash string `json:"hash,omitempty"` // hash of Text, as returned by function Hash
	Text string `json:"text,omitempty"` // content of the configuration file
	Path string `json:"path,omitempty"` // absolute path of the program
}

// Target is the desired state of a member, which may differ from its actual state. An empty field leaves that part
// unspecified.
type Target struct {
	Hash    string `json:"hash,omitempty"`    // hash of the settings
	Program string `json:"program,omitempty"` // absolute path
	Drained bool   `json:"drained,omitempty"` // the member stays drained, also after a restart
}

// Hash returns the SHA-256 of settings in hex, which identifies them.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// fingerprint identifies what an operation does, independent of its sender. It detects a command id that is reused for
// another operation.
func (o *Operation) fingerprint() string {
	sum := sha256.Sum256([]byte(string(o.Kind) + "\x00" + o.Hash + "\x00" + o.Path))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// Validate returns a RejectedError of CodeInvalid for a malformed claim.
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

// Validate returns a RejectedError of CodeInvalid for a malformed command. It checks the hash of settings, but doesn't
// parse them.
func (c *Command) Validate() error {
	if err := (Claim{Epoch: c.Epoch, Owner: c.Owner}).Validate(); err != nil {
		return err
	}
	if c.ID == "" || len(c.ID) > maxNameBytes {
		return reject(CodeInvalid, "command: id: 1 to %d bytes, not %d", maxNameBytes, len(c.ID))
	}
	return c.Operation.validate(c.ID)
}

// validate checks the operation of the command with the given id, which its errors name.
func (o *Operation) validate(id string) error {
	switch o.Kind {
	case KindSettings, KindProgram, KindRestart, KindDrain, KindServe:
	default:
		return reject(CodeInvalid, "command %s: want.kind: there is no %q", id, o.Kind)
	}
	isSettings, isProgram := o.Kind == KindSettings, o.Kind == KindProgram
	switch {
	case !isSettings && (o.Hash != "" || o.Text != "") || !isProgram && o.Path != "":
		return reject(CodeInvalid, "command %s: want: %s takes no hash, text or path of another kind", id, o.Kind)
	case isSettings && len(o.Text) > MaxSettingsBytes:
		return reject(CodeInvalid, "command %s: want.text: %d bytes are more than %d", id, len(o.Text), MaxSettingsBytes)
	case isSettings && o.Hash != Hash([]byte(o.Text)):
		return reject(CodeInvalid, "command %s: want.hash: the text's is %s", id, Hash([]byte(o.Text)))
	case isProgram && (!filepath.IsAbs(o.Path) || len(o.Path) > maxPathBytes):
		return reject(CodeInvalid, "command %s: want.path: %.100q is no absolute path", id, o.Path)
	}
	return nil
}
