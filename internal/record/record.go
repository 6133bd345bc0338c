// Package record writes the events that a decision module handles to rotating files, so that its decisions can be
// replayed.
//
// Each file is one section of a recording and can be replayed without the others. Its gzip-compressed content is
// fileMagic followed by frames; a frame is a length and a checksum (four bytes each, big endian) and a CBOR body. The
// first frame is a sectionHeader with the module's settings and complete state, every other one a recordedEvent. The
// last event may be cut off, because the process may have been killed.
//
// Recording never blocks the module: a batch of events that the writer can't accept immediately is lost and ends the
// section, and the header of the next section has the number of losses.
package record

import (
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"lockflow/control"
)

// Version is the version of the file format. A Reader rejects all others.
const Version = 1

// Suffix is the file name suffix of recordings.
const Suffix = ".lfrec"

// Limits of a recording.
const (
	filesPerService  = 4        // Options.MaxBytes is divided among them
	maxBatchBytes    = 64 << 10 // a larger batch of events is passed to the writer
	maxBatchAge      = time.Second
	maxQueuedBatches = 64 // capacity of the writer's queue
)

// Options configures a service's recording.
type Options struct {
	Service  string
	Dir      string // created if it does not exist
	MaxBytes int64  // limit for all files of the service together, before compression
}

// sectionHeader is the first frame of a section.
type sectionHeader struct {
	Version    int              `cbor:"Version"`
	Service    string           `cbor:"Service"`
	StartedAt  time.Time        `cbor:"At"`
	LostEvents int64            `cbor:"Lost"` // losses before this section, since the module was created
	Settings   control.Settings `cbor:"Settings"`
	Image      control.Image    `cbor:"Image"`
}

// recordedEvent is an event and the digest of the actions that the module returned for it. It is stored as an array, so
// the order of its fields must not change.
type recordedEvent struct {
	_      struct{} `cbor:",toarray"`
	Now    time.Duration
	Kind   eventKind
	Body   cbor.RawMessage // the encoded event
	Digest uint64          // xxHash of the output of Digest
}

// Module is a controller whose events are recorded. Like a controller, it is not safe for concurrent use.
type Module struct {
	*control.Controller
	options  Options
	settings control.Settings
	writer   *sectionWriter

	needsSection   bool // the next event starts a new section
	batch          []byte
	batchStartedAt time.Time
	sectionBytes   int64
	lostEvents     int64
	digest         []byte // buffer that Handle reuses
}

// New returns a module that records a controller with these settings, starting with its next event. Close ends the
// recording.
func New(controller *control.Controller, settings control.Settings, options Options) (*Module, error) {
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("creating the recording directory: %w", err)
	}
	return &Module{
		Controller:   controller,
		options:      options,
		settings:     settings,
		writer:       startSectionWriter(options),
		needsSection: true,
	}, nil
}

// Handle passes an event to the controller, and records the event and a digest of the resulting actions. The returned
// slice is valid until the next call.
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

// Restore, RestoreServers, ReclaimRates, HandOver and PredecessorEnded change the controller's state without an event.
// Replay could not reproduce that, so each of them makes the next event start a new section.

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

// Close flushes the last batch and waits until the writer has finished. No method may be called after it. The error is
// always nil, because the writer logs its own errors.
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

// flush passes the batch to the writer. If the writer's queue is full, the batch is lost and the section ends.
func (m *Module) flush() {
	if len(m.batch) == 0 {
		return
	}
	if !m.writer.enqueue(batch{frames: m.batch}) {
		m.recordLoss()
	}
	m.batch = nil
}

// recordLoss counts the loss of an event or of a batch, and ends the section.
func (m *Module) recordLoss() {
	m.lostEvents++
	m.needsSection = true
}
