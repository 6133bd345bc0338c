package desiredstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
)

// formatVersion is the version of the encoding, the number in magic. A member decodes only its own version. One that
// finds another version treats its state as lost, and must be claimed with a loss token.
const formatVersion = 1

// maxStateBytes is the maximum size of an encoded state without its header.
const maxStateBytes = 1 << 20

// An encoded state consists of magic, the hash of the body in hex, a line feed, and the body as JSON.
const (
	magic       = "lockflow orders 1 "
	headerBytes = len(magic) + 2*sha256.Size + len("\n")
)

// maxReadBytes bounds how much of a file is read. It exceeds the size of any valid file, so that Decode can detect one
// that is too long.
const maxReadBytes = maxStateBytes + 1000

// Encode encodes a state for File. It fails if the state is too large.
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

// Decode decodes the output of Encode. It rejects anything else, including unknown keys and states that violate the
// invariants.
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

// validate returns an error for a state that violates the invariants.
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
