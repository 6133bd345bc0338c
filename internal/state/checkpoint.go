// Package state encodes what a node has spent and learned, and stores it in the daemon's state
// directory: for a successor process during a binary upgrade, and for the next start.
//
// Decoded data may originate from another version of the program, from a truncated or damaged file, or from
// an untrusted writer: size, checksum and version are checked before anything of it is used. Package node
// builds checkpoints; package daemon stores them and hands them over. Encode and Decode are safe for
// concurrent use; a Store is not.
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

// Version is the version of the encoding. Decode rejects every other one: the meaning of its fields is not known, and a
// start without a checkpoint is safer than a hard limit that is opened anew.
const Version = 1

// maxSize is the largest encoded checkpoint, in bytes without its header. Encode drops the customers whose
// last request is the oldest until a checkpoint fits.
const maxSize = 32 << 20

// A file begins with a header: fileMagic, then the checksum of the rest in checksumSize bytes, big endian.
const (
	fileMagic    = "lockflow state\n"
	checksumSize = 4
	headerSize   = len(fileMagic) + checksumSize
)

// Checkpoint is what a node has spent and learned.
type Checkpoint struct {
	Version    int                      `cbor:"version"` // equals Version in what Decode returns
	TakenAt    time.Time                `cbor:"at"`      // wall-clock time; see Age
	BootID     string                   `cbor:"boot_id,omitempty"`
	Uptime     time.Duration            `cbor:"uptime,omitempty"` // of the machine since that boot
	Generation int                      `cbor:"generation"`       // of the configuration in force
	Clean      bool                     `cbor:"clean"`            // written at the end of a graceful shutdown: nothing was spent since
	Services   map[string]service.State `cbor:"services"`         // by service name
	// ScatterGathers (key gathers) holds what the wait policies of scatter-gather services have learned, by
	// service name, as package waitpolicy encodes it. It is omitted where there are none.
	ScatterGathers map[string][]byte `cbor:"gathers,omitempty"`
}

// Errors of Decode and Load, in addition to VersionError, for errors.Is.
var (
	ErrNotState = errors.New("not a state file")
	ErrDamaged  = errors.New("damaged, the checksum differs")
)

// VersionError is the error of Decode for a checkpoint of another Version.
type VersionError struct{ Version int }

// Error names both versions.
func (e VersionError) Error() string {
	return fmt.Sprintf("it is of version %d, not %d", e.Version, Version)
}

// Encode returns the stored form of c: a header with a checksum, then c as CBOR of at most maxSize bytes.
// It drops the older half of each service's customers as often as that takes.
func Encode(c Checkpoint) ([]byte, error) {
	c.Version = Version
	for {
		body, err := cbor.Marshal(c)
		if err != nil {
			return nil, fmt.Errorf("writing the state: %w", err)
		}
		if len(body) <= maxSize {
			header := binary.BigEndian.AppendUint32([]byte(fileMagic), codec.Checksum(body))
			return append(header, body...), nil
		}
		if !dropOlderHalf(&c) {
			return nil, fmt.Errorf("writing the state: %d bytes are more than %d", len(body), maxSize)
		}
	}
}

// dropOlderHalf removes the older half of each service's customers, which are sorted from the most recent
// on. It returns false where there were none.
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

// Decode returns the checkpoint that Encode wrote as raw, or an error and an empty one.
func Decode(raw []byte) (Checkpoint, error) {
	if len(raw) < headerSize || string(raw[:len(fileMagic)]) != fileMagic {
		return Checkpoint{}, fmt.Errorf("reading the state: %w", ErrNotState)
	}
	if len(raw) > maxSize+headerSize {
		return Checkpoint{}, fmt.Errorf("reading the state: %d bytes are more than %d", len(raw), maxSize)
	}
	body := raw[headerSize:]
	if sum := binary.BigEndian.Uint32(raw[len(fileMagic):]); sum != codec.Checksum(body) {
		return Checkpoint{}, fmt.Errorf("reading the state: %w", ErrDamaged)
	}
	var c Checkpoint
	if err := codec.Decoder.Unmarshal(body, &c); err != nil {
		return Checkpoint{}, fmt.Errorf("reading the state: %w", err)
	}
	if c.Version != Version {
		return Checkpoint{}, fmt.Errorf("reading the state: %w", VersionError{c.Version})
	}
	return c, nil
}
