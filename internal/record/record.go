// Package record keeps what a decision module was told and answered, in files that rotate, so that
// its decisions can be played again. A file is a section: it begins with the module's settings and
// whole state, so that it stands alone. Writing never waits: what can't be written in time ends the
// section, and the next one tells how many events were lost between.
package record

import (
	"encoding/binary"
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"lockflow/control"
	"lockflow/internal/codec"
)

// Version is that of the form. A reader takes its own only.
const Version = 1

// Suffix is that of the files' names.
const Suffix = ".lfrec"

const (
	magic         = "lockflow recording\n"
	files         = 4        // of a service, among which its bytes are divided
	maxBatchBytes = 64 << 10 // of events that are handed over at once
	batchAge      = time.Second
	ahead         = 64        // batches that may wait to be written
	maxFrameBytes = 256 << 20 // of a frame that is read
)

// Options are where a service's recordings go.
type Options struct {
	Service string
	Dir     string
	Bytes   int64 // of all its files, before they are compressed
}

// head is the first frame of a section.
type head struct {
	Version  int              `cbor:"Version"`
	Service  string           `cbor:"Service"`
	At       time.Time        `cbor:"At"`
	Lost     int64            `cbor:"Lost"` // events before this section that are in none
	Settings control.Settings `cbor:"Settings"`
	Image    control.Image    `cbor:"Image"`
}

// one is an event with a digest of the actions that answered it.
type one struct {
	_    struct{} `cbor:",toarray"`
	Now  time.Duration
	Kind uint8
	Body cbor.RawMessage
	Sum  uint64
}

// Module is a controller whose events are recorded. It is used by one goroutine.
type Module struct {
	*control.Controller
	o       Options
	set     control.Settings
	batches chan []byte // nil begins a file
	done    chan struct{}

	fresh  bool // the next event begins a section
	batch  []byte
	since  time.Time
	size   int64 // of the section
	lost   int64
	digest []byte
}

// New records a controller of some settings from its next event on. Close ends it.
func New(c *control.Controller, set control.Settings, o Options) (*Module, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	m := &Module{Controller: c, o: o, set: set, batches: make(chan []byte, ahead), done: make(chan struct{}), fresh: true}
	go m.write()
	return m, nil
}

// Handle has the controller take an event, and records it.
func (m *Module) Handle(now time.Duration, e control.Event) []control.Action {
	if m.fresh {
		m.begin()
	}
	actions := m.Controller.Handle(now, e)
	kind := kindOf(e)
	body, err := cbor.Marshal(e)
	if err == nil {
		m.digest = Digest(m.digest[:0], actions)
		body, err = cbor.Marshal(one{Now: now, Kind: kind, Body: body, Sum: xxhash.Sum64(m.digest)})
	}
	if err != nil || kind == 0 {
		m.lose(1)
		return actions
	}
	m.frame(body)
	if len(m.batch) > maxBatchBytes || time.Since(m.since) > batchAge {
		m.hand()
	}
	if m.size > m.o.Bytes/files {
		m.hand()
		m.fresh = true
	}
	return actions
}

// Restore, Rejoin, HandOver and Alone change the controller by no event: another section begins.

// Restore is the controller's.
func (m *Module) Restore(now time.Duration, c control.Checkpoint, trust control.Trust) {
	m.Controller.Restore(now, c, trust)
	m.fresh = true
}

// ReclaimRates is the controller's.
func (m *Module) ReclaimRates(now time.Duration, given *control.Checkpoint) {
	m.Controller.ReclaimRates(now, given)
	m.fresh = true
}

// HandOver is the controller's.
func (m *Module) HandOver(now time.Duration, give float64) control.Checkpoint {
	defer func() { m.fresh = true }()
	return m.Controller.HandOver(now, give)
}

// PredecessorEnded is the controller's.
func (m *Module) PredecessorEnded() {
	m.Controller.PredecessorEnded()
	m.fresh = true
}

// Close writes what is left. Nothing may be handled any more.
func (m *Module) Close() error {
	m.hand()
	close(m.batches)
	<-m.done
	return nil
}

func (m *Module) begin() {
	m.hand()
	m.fresh, m.size = false, 0
	raw, err := cbor.Marshal(head{Version, m.o.Service, time.Now(), m.lost, m.set, m.Image()})
	if err != nil || !m.post(nil) {
		m.lose(1)
		return
	}
	m.frame(raw)
	m.hand()
}

// frame adds one with its length and sum.
func (m *Module) frame(raw []byte) {
	if len(m.batch) == 0 {
		m.since = time.Now()
	}
	m.batch = binary.BigEndian.AppendUint32(m.batch, uint32(len(raw)))
	m.batch = binary.BigEndian.AppendUint32(m.batch, codec.Sum(raw))
	m.batch = append(m.batch, raw...)
	m.size += int64(len(raw)) + 8
}

// hand gives what has come together to the writer, who may be behind: then it is lost, and the
// section ends here.
func (m *Module) hand() {
	if len(m.batch) == 0 {
		return
	}
	if !m.post(m.batch) {
		m.lose(1)
	}
	m.batch = nil
}

func (m *Module) post(batch []byte) bool {
	select {
	case m.batches <- batch:
		return true
	default:
		return false
	}
}

func (m *Module) lose(n int64) {
	m.lost += n
	m.fresh = true
}
