// Package decisiondigest computes digests of the actions and the state of controllers. Tests compare the digests with
// golden values, to verify that a refactoring keeps all decisions bit for bit.
//
// A digest does not depend on Go identifiers of package control. Actions are encoded field by field in an order that
// this package defines, and state is encoded by the keys of its stored form, sorted. Renaming a Go type or field
// therefore changes no digest, but renaming a stored key does.
//
// Digests depend on floating-point arithmetic and therefore on the machine. Compilers for other architectures, and for
// amd64 with GOAMD64=v3, may compute x*y+z with a single rounding, and math.Exp uses fused instructions on amd64
// processors with FMA. The golden values are those of amd64 with GOAMD64=v1 and FMA. With GOAMD64=v3 or
// GODEBUG=cpu.fma=off, every digest of a state differs.
package decisiondigest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lockflow/control"
)

// sumBytes is the number of bytes of a SHA-256 sum that a digest has.
const sumBytes = 16

// tag is the first byte of an action's canonical form. Golden values depend on the numbers of the tags.
type tag byte

const (
	tagSend tag = iota + 1
	tagCancelAttempt
	tagReject
	tagFail
	tagStartTimer
	tagCheckHealth
	tagDisconnect
	tagWatchEndpoints
	tagFetchEndpoints
	tagSendPeerMessage
	tagAddToCounter
	tagLogLine
)

// stateEncoding encodes floats with all 64 bits, and map keys and fields in sorted order.
var stateEncoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloatNone}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Digest is the digest of a sequence of actions or states. It is not safe for concurrent use.
type Digest struct {
	hash   hash.Hash
	buffer []byte
}

// New returns the digest of an empty sequence.
func New() *Digest { return &Digest{hash: sha256.New()} }

// Sum returns the digest of everything added so far, in hexadecimal.
func (d *Digest) Sum() string { return hex.EncodeToString(d.hash.Sum(nil)[:sumBytes]) }

// AddActions adds the actions that an instance's controller returned for one event, in their order.
func (d *Digest) AddActions(now time.Duration, instance int, actions []control.Action) {
	d.buffer = d.buffer[:0]
	d.duration(now)
	d.integer(int64(instance))
	d.integer(int64(len(actions)))
	for _, a := range actions {
		d.action(a)
	}
	_, _ = d.hash.Write(d.buffer) // a hash never returns an error
}

// AddImage adds the complete state of a controller.
func (d *Digest) AddImage(image control.Image) error { return d.addState(image) }

// AddCheckpoint adds the checkpoint that a controller hands over to its successor.
func (d *Digest) AddCheckpoint(checkpoint control.Checkpoint) error { return d.addState(checkpoint) }

func (d *Digest) addState(state any) error {
	raw, err := stateEncoding.Marshal(state)
	if err != nil {
		return fmt.Errorf("encoding a state for its digest: %w", err)
	}
	d.buffer = d.buffer[:0]
	d.bytes(raw)
	_, _ = d.hash.Write(d.buffer)
	return nil
}

// action appends the canonical form of an action: its tag, then each of its fields.
func (d *Digest) action(action control.Action) {
	switch a := action.(type) {
	case control.Send:
		d.begin(tagSend, a.ID)
		d.integer(int64(a.Server))
		d.duration(a.Timeout)
		d.duration(a.WriteTimeout)
	case control.CancelAttempt:
		d.begin(tagCancelAttempt, a.ID)
		d.integer(int64(a.Attempt))
	case control.Reject:
		d.begin(tagReject, a.ID)
		d.duration(a.RetryAfter)
		d.text(a.Cause.String())
	case control.Fail:
		d.begin(tagFail, a.ID)
		d.text(a.Cause.String())
	case control.StartTimer:
		d.begin(tagStartTimer, "")
		d.duration(a.After)
		d.unsigned(a.Label)
	case control.CheckHealth:
		d.begin(tagCheckHealth, "")
		d.integer(int64(a.Server))
	case control.Disconnect:
		d.begin(tagDisconnect, "")
		d.integer(int64(a.Server))
	case control.WatchEndpoints:
		d.begin(tagWatchEndpoints, fmt.Sprint(a.Active))
	case control.FetchEndpoints:
		d.begin(tagFetchEndpoints, "")
	case control.SendPeerMessage:
		d.begin(tagSendPeerMessage, "")
		d.integer(int64(a.To))
		d.bytes(a.Raw)
	case control.AddToCounter:
		d.begin(tagAddToCounter, "")
		d.unsigned(a.Name)
		d.float(a.Add)
		d.duration(a.Lifetime)
	case control.LogLine:
		d.begin(tagLogLine, a.Text)
	default:
		panic(fmt.Sprintf("decisiondigest: no canonical form of %T", action))
	}
}

// begin appends the tag of an action and its subject, such as a request ID.
func (d *Digest) begin(t tag, subject string) {
	d.buffer = append(d.buffer, byte(t))
	d.text(subject)
}

func (d *Digest) integer(v int64)          { d.buffer = binary.BigEndian.AppendUint64(d.buffer, uint64(v)) }
func (d *Digest) unsigned(v uint64)        { d.buffer = binary.BigEndian.AppendUint64(d.buffer, v) }
func (d *Digest) duration(v time.Duration) { d.integer(int64(v)) }
func (d *Digest) float(v float64)          { d.unsigned(math.Float64bits(v)) }
func (d *Digest) text(v string)            { d.bytes([]byte(v)) }

// bytes appends the length of v and then v.
func (d *Digest) bytes(v []byte) {
	d.integer(int64(len(v)))
	d.buffer = append(d.buffer, v...)
}
