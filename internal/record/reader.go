package record

import (
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"lockflow/control"
	"lockflow/internal/codec"
)

// ErrNotRecording is the error of Open for what is no recording at all.
var ErrNotRecording = errors.New("not a recording")

// Section is what a section says of itself.
type Section struct {
	Service    string
	StartedAt  time.Time
	LostEvents int64 // losses of the module before the section
}

// Step is an event with the actions by which the resumed module answers it.
type Step struct {
	Now          time.Duration
	Event        control.Event
	Actions      []control.Action // valid until the next step
	IsAsRecorded bool             // the recorded module answered it by the same actions
}

// Reader reads a section. It is not safe for concurrent use.
type Reader struct {
	source io.Reader // behind the header
	header sectionHeader
}

// Open reads the beginning of a section. The error wraps ErrNotRecording for what is none; a recording may also be
// damaged, or of another Version.
func Open(source io.Reader) (*Reader, error) {
	decompressor, err := gzip.NewReader(source)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRecording, err)
	}
	return readHeader(decompressor)
}

// readHeader reads the beginning of a section that is not compressed.
func readHeader(source io.Reader) (*Reader, error) {
	magic := make([]byte, len(fileMagic))
	if _, err := io.ReadFull(source, magic); err != nil || string(magic) != fileMagic {
		return nil, ErrNotRecording
	}
	r := &Reader{source: source}
	body, err := readFrame(source)
	if err != nil {
		return nil, fmt.Errorf("reading the recording's header: %w", err)
	}
	if err := codec.Decoder.Unmarshal(body, &r.header); err != nil {
		return nil, fmt.Errorf("reading the recording's header: %w", err)
	}
	if r.header.Version != Version {
		return nil, fmt.Errorf("reading the recording's header: it is of version %d, not %d", r.header.Version, Version)
	}
	return r, nil
}

// Section returns what the section says of itself.
func (r *Reader) Section() Section {
	return Section{
		Service:    r.header.Service,
		StartedAt:  r.header.StartedAt,
		LostEvents: r.header.LostEvents,
	}
}

// Settings returns the settings of the recorded module.
func (r *Reader) Settings() control.Settings { return r.header.Settings }

// Replay resumes the module and has it handle the section's events. It calls handle after each, and ends with the
// section or with an error of handle, which it returns. It returns the number of events and a digest of all actions,
// also with an error. It can be called once.
func (r *Reader) Replay(handle func(Step) error) (events int, digest uint64, err error) {
	controller, err := control.Resume(r.header.Settings, r.header.Image)
	if err != nil {
		return 0, 0, fmt.Errorf("resuming the module: %w", err)
	}
	digester := xxhash.New()
	for {
		body, err := readFrame(r.source)
		if errors.Is(err, io.EOF) {
			return events, digester.Sum64(), nil
		}
		if err != nil {
			return events, digester.Sum64(), fmt.Errorf("event %d: %w", events+1, err)
		}
		recorded, event, err := decodeRecorded(body)
		if err != nil {
			return events, digester.Sum64(), fmt.Errorf("event %d: %w", events+1, err)
		}
		actions := controller.Handle(recorded.Now, event)
		actionDigest := Digest(nil, actions)
		_, _ = digester.Write(actionDigest) // never fails
		events++
		step := Step{
			Now:          recorded.Now,
			Event:        event,
			Actions:      actions,
			IsAsRecorded: xxhash.Sum64(actionDigest) == recorded.Digest,
		}
		if err := handle(step); err != nil {
			return events, digester.Sum64(), err
		}
	}
}

func decodeRecorded(body []byte) (recorded recordedEvent, event control.Event, err error) {
	if err := codec.Decoder.Unmarshal(body, &recorded); err != nil {
		return recorded, nil, err
	}
	decode, ok := eventDecoders[recorded.Kind]
	if !ok {
		return recorded, nil, fmt.Errorf("unknown kind %d", recorded.Kind)
	}
	event, err = decode(recorded.Body)
	return recorded, event, err
}
