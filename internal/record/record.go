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
	fileMagic        = "lockflow recording\n"
	filesPerService  = 4        // of a service, among which its bytes are divided
	maxBatchBytes    = 64 << 10 // of events that are handed over at once
	maxBatchAge      = time.Second
	maxQueuedBatches = 64        // batches that may wait to be written
	maxFrameBytes    = 256 << 20 // of a frame that is read
)

// Options are where a service's recordings go.
type Options struct {
	Service  string
	Dir      string
	MaxBytes int64 // of all its files, before they are compressed
}

// sectionHeader is the first frame of a section.
type sectionHeader struct {
	Version    int              `cbor:"Version"`
	Service    string           `cbor:"Service"`
	StartedAt  time.Time        `cbor:"At"`
	LostEvents int64            `cbor:"Lost"` // events before this section that are in none
	Settings   control.Settings `cbor:"Settings"`
	Image      control.Image    `cbor:"Image"`
}

// recordedEvent is an event with a digest of the actions that answered it.
type recordedEvent struct {
	_      struct{} `cbor:",toarray"`
	Now    time.Duration
	Kind   uint8
	Body   cbor.RawMessage
	Digest uint64
}

// Module is a controller whose events are recorded. It is used by one goroutine.
type Module struct {
	*control.Controller
	options    Options
	settings   control.Settings
	batches    chan []byte // nil begins a file
	writerDone chan struct{}

	needsSection   bool // the next event begins a section
	batch          []byte
	batchStartedAt time.Time
	sectionBytes   int64 // of the section
	lostEvents     int64
	digest         []byte
}

// New records a controller of some settings from its next event on. Close ends it.
func New(c *control.Controller, set control.Settings, o Options) (*Module, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	m := &Module{Controller: c, options: o, settings: set, batches: make(chan []byte, maxQueuedBatches), writerDone: make(chan struct{}), needsSection: true}
	go m.runWriter()
	return m, nil
}

// Handle has the controller take an event, and records it.
func (m *Module) Handle(now time.Duration, e control.Event) []control.Action {
	if m.needsSection {
		m.startSection()
	}
	actions := m.Controller.Handle(now, e)
	kind := kindOf(e)
	body, err := cbor.Marshal(e)
	if err == nil {
		m.digest = Digest(m.digest[:0], actions)
		body, err = cbor.Marshal(recordedEvent{Now: now, Kind: kind, Body: body, Digest: xxhash.Sum64(m.digest)})
	}
	if err != nil || kind == 0 {
		m.recordLoss(1)
		return actions
	}
	m.appendFrame(body)
	if len(m.batch) > maxBatchBytes || time.Since(m.batchStartedAt) > maxBatchAge {
		m.flush()
	}
	if m.sectionBytes > m.options.MaxBytes/filesPerService {
		m.flush()
		m.needsSection = true
	}
	return actions
}

// Restore, Rejoin, HandOver and Alone change the controller by no event: another section begins.

// Restore is the controller's.
func (m *Module) Restore(now time.Duration, c control.Checkpoint, trust control.Trust) {
	m.Controller.Restore(now, c, trust)
	m.needsSection = true
}

// ReclaimRates is the controller's.
func (m *Module) ReclaimRates(now time.Duration, given *control.Checkpoint) {
	m.Controller.ReclaimRates(now, given)
	m.needsSection = true
}

// HandOver is the controller's.
func (m *Module) HandOver(now time.Duration, give float64) control.Checkpoint {
	defer func() { m.needsSection = true }()
	return m.Controller.HandOver(now, give)
}

// PredecessorEnded is the controller's.
func (m *Module) PredecessorEnded() {
	m.Controller.PredecessorEnded()
	m.needsSection = true
}

// Close writes what is left. Nothing may be handled any more.
func (m *Module) Close() error {
	m.flush()
	close(m.batches)
	<-m.writerDone
	return nil
}

func (m *Module) startSection() {
	m.flush()
	m.needsSection, m.sectionBytes = false, 0
	raw, err := cbor.Marshal(sectionHeader{Version, m.options.Service, time.Now(), m.lostEvents, m.settings, m.Image()})
	if err != nil || !m.enqueue(nil) {
		m.recordLoss(1)
		return
	}
	m.appendFrame(raw)
	m.flush()
}

// appendFrame adds one with its length and sum.
func (m *Module) appendFrame(raw []byte) {
	if len(m.batch) == 0 {
		m.batchStartedAt = time.Now()
	}
	m.batch = binary.BigEndian.AppendUint32(m.batch, uint32(len(raw)))
	m.batch = binary.BigEndian.AppendUint32(m.batch, codec.Sum(raw))
	m.batch = append(m.batch, raw...)
	m.sectionBytes += int64(len(raw)) + 8
}

// flush gives what has come together to the writer, who may be behind: then it is lost, and the
// section ends here.
func (m *Module) flush() {
	if len(m.batch) == 0 {
		return
	}
	if !m.enqueue(m.batch) {
		m.recordLoss(1)
	}
	m.batch = nil
}

func (m *Module) enqueue(batch []byte) bool {
	select {
	case m.batches <- batch:
		return true
	default:
		return false
	}
}

func (m *Module) recordLoss(n int64) {
	m.lostEvents += n
	m.needsSection = true
}
