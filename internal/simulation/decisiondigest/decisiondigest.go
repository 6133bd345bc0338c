// Package decisiondigest reduces what controllers decide, and the state that they decide from, to digests
// that tests compare with golden values. It holds a refactoring to the same decisions bit for bit.
//
// A digest depends on no Go identifier of package control: an action is written by explicit fields in an
// order of this package's own, and state by the keys of its stored form, sorted. Renaming a type or a
// field of Go alone therefore changes no digest, and renaming a stored key does.
//
// Digests depend on floating-point arithmetic, and so on the machine. Compilers for other architectures, and
// for amd64 with GOAMD64=v3, may fuse x*y+z into one rounding; math.Exp takes fused instructions on amd64
// where the processor has FMA. Golden values are of amd64 with GOAMD64=v1 and FMA; every digest of a state
// is another with GOAMD64=v3 or with GODEBUG=cpu.fma=off.
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

// sumBytes is how much of a SHA-256 sum a golden file has.
const sumBytes = 16

// tag is the byte that begins an action's canonical form. Golden values depend on these numbers.
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

// stateEncoding writes floats in all their 64 bits, and map keys and fields sorted.
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

// New begins a digest.
func New() *Digest { return &Digest{hash: sha256.New()} }

// Sum is the digest of what was added so far, in hexadecimal.
func (d *Digest) Sum() string { return hex.EncodeToString(d.hash.Sum(nil)[:sumBytes]) }

// AddActions adds the actions that an instance's controller answered one event with, in their order.
func (d *Digest) AddActions(now time.Duration, instance int, actions []control.Action) {
	d.buffer = d.buffer[:0]
	d.duration(now)
	d.integer(int64(instance))
	d.integer(int64(len(actions)))
	for _, a := range actions {
		d.action(a)
	}
	_, _ = d.hash.Write(d.buffer) // a hash gives no error
}

// AddImage adds a controller's complete state.
func (d *Digest) AddImage(image control.Image) error { return d.addState(image) }

// AddCheckpoint adds what a controller hands over to its successor.
func (d *Digest) AddCheckpoint(checkpoint control.Checkpoint) error { return d.addState(checkpoint) }

func (d *Digest) addState(state any) error {
	raw, err := stateEncoding.Marshal(state)
	if err != nil {
		return fmt.Errorf("digest of a state: %w", err)
	}
	d.buffer = d.buffer[:0]
	d.bytes(raw)
	_, _ = d.hash.Write(d.buffer)
	return nil
}

// action appends an action's canonical form: its tag, then every field.
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

// begin appends an action's tag and the text that it is about.
func (d *Digest) begin(t tag, subject string) {
	d.buffer = append(d.buffer, byte(t))
	d.text(subject)
}

func (d *Digest) integer(v int64)          { d.buffer = binary.BigEndian.AppendUint64(d.buffer, uint64(v)) }
func (d *Digest) unsigned(v uint64)        { d.buffer = binary.BigEndian.AppendUint64(d.buffer, v) }
func (d *Digest) duration(v time.Duration) { d.integer(int64(v)) }
func (d *Digest) float(v float64)          { d.unsigned(math.Float64bits(v)) }
func (d *Digest) text(v string)            { d.bytes([]byte(v)) }

// bytes appends a length and what is that long.
func (d *Digest) bytes(v []byte) {
	d.integer(int64(len(v)))
	d.buffer = append(d.buffer, v...)
}
