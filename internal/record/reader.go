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

// ErrNotRecording is the error of Open for data that is not a recording.
var ErrNotRecording = errors.New("not a recording")

// Section describes a section of a recording.
type Section struct {
	Service    string
	StartedAt  time.Time
	LostEvents int64 // losses between the start of the recording and this section
}

// Step is an event with the actions that the resumed module returned for it.
type Step struct {
	Now          time.Duration
	Event        control.Event
	Actions      []control.Action // valid until the next step
	IsAsRecorded bool             // the recorded module returned the same actions
}

// Reader reads a section. It is not safe for concurrent use.
type Reader struct {
	source io.Reader // positioned after the header
	header sectionHeader
}

// Open reads the header of a section. The error wraps ErrNotRecording if the data is not a recording; other errors mean
// a damaged recording or one of another Version.
func Open(source io.Reader) (*Reader, error) {
	decompressor, err := gzip.NewReader(source)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRecording, err)
	}
	return readHeader(decompressor)
}

// readHeader reads the header of a section that is already decompressed.
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
		return nil, fmt.Errorf("reading the recording's header: unsupported version %d, want %d", r.header.Version, Version)
	}
	return r, nil
}

// Section returns the description in the section's header.
func (r *Reader) Section() Section {
	return Section{
		Service:    r.header.Service,
		StartedAt:  r.header.StartedAt,
		LostEvents: r.header.LostEvents,
	}
}

// Settings returns the settings of the recorded module.
func (r *Reader) Settings() control.Settings { return r.header.Settings }

// Replay resumes the module from the section's image and passes it the recorded events. It calls handle after each
// event, and stops at the end of the section or when handle returns an error, which it returns. The number of replayed
// events and the digest of all their actions are valid with an error too. Replay can be called only once.
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
		return recorded, nil, fmt.Errorf("unknown event kind %d", recorded.Kind)
	}
	event, err = decode(recorded.Body)
	return recorded, event, err
}
