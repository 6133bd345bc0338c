// Package record writes what a decision module handled to files that rotate, so that its decisions can be replayed.
//
// A file is a section of a recording. It stands alone: compressed by gzip, it has fileMagic and then frames, each a
// length and a checksum (four bytes each, big endian) before a body of CBOR. The first frame is a sectionHeader with the
// module's settings and complete state, every other one a recordedEvent. An event may be cut off at the end, as the
// process may have been killed.
//
// Recording never makes the module wait: a batch of events that the writer can't take at once is lost and ends the
// section, and the header of the next one has the number of losses.
package record

import (
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"lockflow/control"
)

// Version is the version of the files' form. A Reader takes no other one.
const Version = 1

// Suffix is the suffix of the files' names.
const Suffix = ".lfrec"

// Limits of a recording.
const (
	filesPerService  = 4        // among which Options.MaxBytes is divided
	maxBatchBytes    = 64 << 10 // of events that are passed to the writer at once
	maxBatchAge      = time.Second
	maxQueuedBatches = 64 // that wait for the writer
)

// Options configures a service's recording.
type Options struct {
	Service  string
	Dir      string // is made where it is missing
	MaxBytes int64  // of all files of the service, before they are compressed
}

// sectionHeader is the first frame of a section.
type sectionHeader struct {
	Version    int              `cbor:"Version"`
	Service    string           `cbor:"Service"`
	StartedAt  time.Time        `cbor:"At"`
	LostEvents int64            `cbor:"Lost"` // losses before this section, since the module was made
	Settings   control.Settings `cbor:"Settings"`
	Image      control.Image    `cbor:"Image"`
}

// recordedEvent is an event and the digest of the actions that answered it. The order of its fields is stored.
type recordedEvent struct {
	_      struct{} `cbor:",toarray"`
	Now    time.Duration
	Kind   eventKind
	Body   cbor.RawMessage // the event
	Digest uint64          // xxHash of what Digest appends
}

// Module is a controller whose events are recorded. As a controller, it is not safe for concurrent use.
type Module struct {
	*control.Controller
	options  Options
	settings control.Settings
	writer   *sectionWriter

	needsSection   bool // the next event begins a section
	batch          []byte
	batchStartedAt time.Time
	sectionBytes   int64
	lostEvents     int64
	digest         []byte // buffer for Handle
}

// New returns a module that records a controller with these settings from its next event on. Close ends it.
func New(controller *control.Controller, settings control.Settings, options Options) (*Module, error) {
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	return &Module{
		Controller:   controller,
		options:      options,
		settings:     settings,
		writer:       startSectionWriter(options),
		needsSection: true,
	}, nil
}

// Handle has the controller handle an event, and records both. The slice is valid until the next call.
func (m *Module) Handle(now time.Duration, event control.Event) []control.Action {
	if m.needsSection {
		m.startSection()
	}
	actions := m.Controller.Handle(now, event)
	body, err := m.encodeEvent(now, event, actions)
	if err != nil {
		m.recordLoss()
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

func (m *Module) encodeEvent(now time.Duration, event control.Event, actions []control.Action) ([]byte, error) {
	kind, err := kindOf(event)
	if err != nil {
		return nil, err
	}
	body, err := cbor.Marshal(event)
	if err != nil {
		return nil, err
	}
	m.digest = Digest(m.digest[:0], actions)
	return cbor.Marshal(recordedEvent{Now: now, Kind: kind, Body: body, Digest: xxhash.Sum64(m.digest)})
}

// Restore, RestoreServers, ReclaimRates, HandOver and PredecessorEnded change the controller without an event. The section can't be
// replayed past them, so another one begins.

// Restore is Controller.Restore.
func (m *Module) Restore(now time.Duration, checkpoint control.Checkpoint, trust control.Trust) {
	m.Controller.Restore(now, checkpoint, trust)
	m.needsSection = true
}

// RestoreServers is Controller.RestoreServers.
func (m *Module) RestoreServers(now time.Duration, checkpoint control.Checkpoint, trust control.Trust) {
	m.Controller.RestoreServers(now, checkpoint, trust)
	m.needsSection = true
}

// ReclaimRates is Controller.ReclaimRates.
func (m *Module) ReclaimRates(now time.Duration, given *control.Checkpoint) {
	m.Controller.ReclaimRates(now, given)
	m.needsSection = true
}

// HandOver is Controller.HandOver.
func (m *Module) HandOver(now time.Duration, fraction float64) control.Checkpoint {
	m.needsSection = true
	return m.Controller.HandOver(now, fraction)
}

// PredecessorEnded is Controller.PredecessorEnded.
func (m *Module) PredecessorEnded() {
	m.Controller.PredecessorEnded()
	m.needsSection = true
}

// Close writes what is left and waits for the writer. No method may be called after it. The error is always nil: the
// writer logs its own.
func (m *Module) Close() error {
	m.flush()
	m.writer.close()
	return nil
}

func (m *Module) startSection() {
	m.flush()
	m.needsSection = false
	m.sectionBytes = 0
	header, err := cbor.Marshal(sectionHeader{
		Version:    Version,
		Service:    m.options.Service,
		StartedAt:  time.Now(),
		LostEvents: m.lostEvents,
		Settings:   m.settings,
		Image:      m.Image(),
	})
	if err != nil || !m.writer.enqueue(batch{startsSection: true}) {
		m.recordLoss()
		return
	}
	m.appendFrame(header)
	m.flush()
}

func (m *Module) appendFrame(body []byte) {
	if len(m.batch) == 0 {
		m.batchStartedAt = time.Now()
	}
	m.batch = appendFrame(m.batch, body)
	m.sectionBytes += int64(len(body)) + frameHeaderSize
}

// flush passes the batch to the writer. Where the writer can't take it, the batch is lost and the section ends.
func (m *Module) flush() {
	if len(m.batch) == 0 {
		return
	}
	if !m.writer.enqueue(batch{frames: m.batch}) {
		m.recordLoss()
	}
	m.batch = nil
}

// recordLoss counts a loss, of an event or of a batch, and ends the section.
func (m *Module) recordLoss() {
	m.lostEvents++
	m.needsSection = true
}
