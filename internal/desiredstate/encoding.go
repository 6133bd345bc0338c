package desiredstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
)

// formatVersion is the version of an encoded state, the number in magic. A member reads its own version only: one
// that does not know what its state means has lost it, and has to be claimed with a token.
const formatVersion = 1

// maxStateBytes is the largest encoded state, without its header.
const maxStateBytes = 1 << 20

// An encoded state is magic, the hash of the body in hex, a line feed, and the body as JSON.
const (
	magic       = "lockflow orders 1 "
	headerBytes = len(magic) + 2*sha256.Size + len("\n")
)

// maxReadBytes is more than any valid file has, so that a longer one is noticed.
const maxReadBytes = maxStateBytes + 1000

// Encode encodes a state for File. It fails for one that is too large.
func Encode(state State) ([]byte, error) {
	body, err := json.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("writing the desired state: %w", err)
	}
	if len(body) > maxStateBytes {
		return nil, fmt.Errorf("writing the desired state: %d bytes are more than %d", len(body), maxStateBytes)
	}
	return append([]byte(magic+Hash(body)+"\n"), body...), nil
}

// Decode decodes what Encode returned. It rejects everything else, also unknown keys and states that no member can
// have saved.
func Decode(raw []byte) (State, error) {
	if len(raw) < headerBytes || string(raw[:len(magic)]) != magic || raw[headerBytes-1] != '\n' {
		return State{}, fmt.Errorf("reading the desired state: it is not of version %d", formatVersion)
	}
	body := raw[headerBytes:]
	if len(body) > maxStateBytes {
		return State{}, fmt.Errorf("reading the desired state: %d bytes are more than %d", len(body), maxStateBytes)
	}
	if Hash(body) != string(raw[len(magic):headerBytes-1]) {
		return State{}, errors.New("reading the desired state: it is damaged: its checksum is wrong")
	}
	var state State
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&state); err != nil {
		return State{}, fmt.Errorf("reading the desired state: %w", err)
	}
	if err := state.validate(); err != nil {
		return State{}, fmt.Errorf("reading the desired state: %w", err)
	}
	return state, nil
}

// validate returns an error for a state that breaks its invariants.
func (s State) validate() error {
	switch {
	case (s.Epoch == 0) != (s.Owner == ""):
		return fmt.Errorf("epoch %d has the owner %q", s.Epoch, s.Owner)
	case len(s.Ended) > maxOutcomes:
		return fmt.Errorf("%d outcomes are more than %d", len(s.Ended), maxOutcomes)
	case s.Program != "" && !filepath.IsAbs(s.Program):
		return fmt.Errorf("program %q is no absolute path", s.Program)
	case s.Running != nil && (s.Running.ID == "" || s.Running.Epoch > s.Epoch):
		return fmt.Errorf("command %q of epoch %d is running in epoch %d", s.Running.ID, s.Running.Epoch, s.Epoch)
	}
	return nil
}
