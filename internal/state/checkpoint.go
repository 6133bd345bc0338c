// Package state encodes checkpoints of a node, which contain its quota usage and estimates, for a successor process in a
// binary upgrade. It also stores them in the daemon's state directory for the next start.
//
// Encoded data may originate from another version of the program, from a truncated or damaged file, or from an untrusted
// writer, so size, checksum and version are checked before any of it is used. Package node builds checkpoints; package
// daemon stores them and hands them over. Encode and Decode are safe for concurrent use; a Store is not.
package state

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lockflow/internal/codec"
	"lockflow/internal/service"
)

// Version is the version of the encoding. Decode rejects every other one, because the meaning of its fields is unknown. A
// start without a checkpoint is safer than a wrong one, by which customers could use a hard limit's quota a second time.
const Version = 1

// maxSize is the maximum size of an encoded checkpoint, in bytes without the header. Encode drops the least recently
// active customers until the checkpoint fits.
const maxSize = 32 << 20

// An encoded checkpoint begins with a header: fileMagic, then the checksum of the body in checksumSize bytes, big endian.
const (
	fileMagic    = "lockflow state\n"
	checksumSize = 4
	headerSize   = len(fileMagic) + checksumSize
)

// Checkpoint contains the quota usage and the estimates of a node.
type Checkpoint struct {
	Version    int                      `cbor:"version"` // equals Version in what Decode returns
	TakenAt    time.Time                `cbor:"at"`      // wall-clock time; see Age
	BootID     string                   `cbor:"boot_id,omitempty"`
	Uptime     time.Duration            `cbor:"uptime,omitempty"` // time since the boot with BootID
	Generation int                      `cbor:"generation"`       // generation of the configuration in force
	Clean      bool                     `cbor:"clean"`            // written at the end of a graceful shutdown: no quota was used since
	Services   map[string]service.State `cbor:"services"`         // by service name
	// ScatterGathers (key gathers) contains the learned models of the wait policies of scatter-gather services, by
	// service name, as package waitpolicy encodes them. It is omitted if there are none.
	ScatterGathers map[string][]byte `cbor:"gathers,omitempty"`
}

// Errors that Decode and Load wrap, in addition to VersionError.
var (
	ErrNotState = errors.New("not a state file")
	ErrDamaged  = errors.New("damaged data: checksum mismatch")
)

// VersionError is the error of Decode for a checkpoint whose version is not Version.
type VersionError struct{ Version int }

// Error names both versions.
func (e VersionError) Error() string {
	return fmt.Sprintf("unsupported version %d, expected %d", e.Version, Version)
}

// Encode returns c in its stored form: a header with a checksum, then c as CBOR of at most maxSize bytes. As long as c is
// too large, it drops the less recently active half of each service's customers.
func Encode(c Checkpoint) ([]byte, error) {
	c.Version = Version
	for {
		body, err := cbor.Marshal(c)
		if err != nil {
			return nil, fmt.Errorf("encoding the checkpoint: %w", err)
		}
		if len(body) <= maxSize {
			header := binary.BigEndian.AppendUint32([]byte(fileMagic), codec.Checksum(body))
			return append(header, body...), nil
		}
		if !dropOlderHalf(&c) {
			return nil, fmt.Errorf("encoding the checkpoint: %d bytes without customers exceed the maximum of %d", len(body), maxSize)
		}
	}
}

// dropOlderHalf removes the less recently active half of each service's customers, which are sorted from the most recent
// to the oldest. It returns false if there were no customers.
func dropOlderHalf(c *Checkpoint) bool {
	remaining := make(map[string]service.State, len(c.Services))
	dropped := false
	for name, serviceState := range c.Services {
		customers := serviceState.Checkpoint.Customers
		dropped = dropped || len(customers) > 0
		serviceState.Checkpoint.Customers = customers[:len(customers)/2]
		remaining[name] = serviceState
	}
	c.Services = remaining
	return dropped
}

// Decode returns the checkpoint that Encode encoded as raw. With an error it returns an empty checkpoint.
func Decode(raw []byte) (Checkpoint, error) {
	if len(raw) < headerSize || string(raw[:len(fileMagic)]) != fileMagic {
		return Checkpoint{}, fmt.Errorf("decoding the checkpoint: %w", ErrNotState)
	}
	if len(raw) > maxSize+headerSize {
		return Checkpoint{}, fmt.Errorf("decoding the checkpoint: %d bytes exceed the maximum of %d", len(raw), maxSize)
	}
	body := raw[headerSize:]
	if sum := binary.BigEndian.Uint32(raw[len(fileMagic):]); sum != codec.Checksum(body) {
		return Checkpoint{}, fmt.Errorf("decoding the checkpoint: %w", ErrDamaged)
	}
	var c Checkpoint
	if err := codec.Decoder.Unmarshal(body, &c); err != nil {
		return Checkpoint{}, fmt.Errorf("decoding the checkpoint: %w", err)
	}
	if c.Version != Version {
		return Checkpoint{}, fmt.Errorf("decoding the checkpoint: %w", VersionError{c.Version})
	}
	return c, nil
}
