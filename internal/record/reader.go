package record

import (
	"compress/gzip"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"lockflow/control"
	"lockflow/internal/codec"
)

// Reader reads a section.
type Reader struct {
	in     io.Reader
	header sectionHeader
}

// Open reads a section's beginning.
func Open(in io.Reader) (*Reader, error) {
	z, err := gzip.NewReader(in)
	if err != nil {
		return nil, fmt.Errorf("no recording: %w", err)
	}
	return readHeader(z)
}

// readHeader reads the beginning of what was compressed.
func readHeader(in io.Reader) (*Reader, error) {
	r := &Reader{in: in}
	got := make([]byte, len(fileMagic))
	if _, err := io.ReadFull(in, got); err != nil || string(got) != fileMagic {
		return nil, errors.New("no recording")
	}
	raw, err := r.readFrame()
	if err == nil {
		err = codec.Decoder.Unmarshal(raw, &r.header)
	}
	if err == nil && r.header.Version != Version {
		err = fmt.Errorf("it is of version %d, not %d", r.header.Version, Version)
	}
	if err != nil {
		return nil, fmt.Errorf("reading the recording's head: %w", err)
	}
	return r, nil
}

// readFrame reads one; io.EOF is the end, also in the middle of one: the process may have been killed.
func (r *Reader) readFrame() ([]byte, error) {
	var h [8]byte
	if _, err := io.ReadFull(r.in, h[:]); err != nil {
		return nil, io.EOF
	}
	n := binary.BigEndian.Uint32(h[:])
	if n > maxFrameBytes {
		return nil, fmt.Errorf("a frame of %d bytes", n)
	}
	raw, err := io.ReadAll(io.LimitReader(r.in, int64(n)))
	if err != nil || len(raw) < int(n) {
		return nil, io.EOF
	}
	if codec.Sum(raw) != binary.BigEndian.Uint32(h[4:]) {
		return nil, errors.New("a frame that was altered")
	}
	return raw, nil
}

// Service is whose recording it is, At when the section began, and Lost how many events came
// before it that are in none.
func (r *Reader) Service() (name string, at time.Time, lost int64) {
	return r.header.Service, r.header.StartedAt, r.header.LostEvents
}

// Settings are those of the module.
func (r *Reader) Settings() control.Settings { return r.header.Settings }

// Step is one event with what answered it when it is played again.
type Step struct {
	Now          time.Duration
	Event        control.Event
	Actions      []control.Action
	IsAsRecorded bool // they are those that were recorded
}

// Replay resumes the module and has it take the section's events, up to the end or to an error of do.
// It gives how many there were and a digest over all actions.
func (r *Reader) Replay(do func(Step) error) (n int, sum uint64, err error) {
	c, err := control.Resume(r.header.Settings, r.header.Image)
	if err != nil {
		return 0, 0, fmt.Errorf("resuming the module: %w", err)
	}
	all := xxhash.New()
	for {
		raw, err := r.readFrame()
		if errors.Is(err, io.EOF) {
			return n, all.Sum64(), nil
		}
		var o recordedEvent
		if err == nil {
			err = codec.Decoder.Unmarshal(raw, &o)
		}
		if err == nil && (o.Kind == 0 || int(o.Kind) > len(eventDecoders)) {
			err = fmt.Errorf("an event of kind %d", o.Kind)
		}
		var e control.Event
		if err == nil {
			e, err = eventDecoders[o.Kind-1](o.Body)
		}
		if err != nil {
			return n, all.Sum64(), fmt.Errorf("event %d: %w", n+1, err)
		}
		actions := c.Handle(o.Now, e)
		digest := Digest(nil, actions)
		_, _ = all.Write(digest)
		n++
		if err := do(Step{o.Now, e, actions, xxhash.Sum64(digest) == o.Digest}); err != nil {
			return n, all.Sum64(), err
		}
	}
}
