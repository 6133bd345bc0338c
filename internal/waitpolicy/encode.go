package waitpolicy

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lockflow/internal/codec"
)

// Version is the version of the encoding. Decoders accept no other version.
const Version = 1

// Limits of encoded sketches.
const (
	MaxStateBytes  = 4 << 20  // of a model's state
	MaxSharedBytes = 64 << 10 // of the sketches that one instance shares with others
)

const (
	magic         = "lockflow gather\n"
	checksumBytes = 4
	headerBytes   = len(magic) + checksumBytes
	// maxAcceptedSquareMoment limits the square moments that a decoder accepts.
	maxAcceptedSquareMoment = 1e6
	// Upper bounds of the encoding overhead of a record besides its fields, and of all records.
	recordOverheadBytes = 32
	sharedOverheadBytes = 64
)

// ClassCorrelation is the encoded correlation of a class.
type ClassCorrelation struct {
	Class   string  `cbor:"1,keyasint"`
	Pairs   float64 `cbor:"2,keyasint"` // mean product of two parts' scores
	Squares float64 `cbor:"3,keyasint"` // mean square of a score
}

func (c *ClassCorrelation) isValid() bool {
	hasValidSquares := c.Squares >= 0 && c.Squares < maxAcceptedSquareMoment // not NaN
	return isValidName(c.Class) && hasValidSquares && math.Abs(c.Pairs) <= c.Squares*(1+shareTolerance)
}

// storedState is the state of a model, or the sketches that an instance shares.
type storedState struct {
	Version      int                `cbor:"1,keyasint"`
	Records      []Record           `cbor:"2,keyasint"`
	Correlations []ClassCorrelation `cbor:"3,keyasint,omitempty"`
}

func encode(state storedState) ([]byte, error) {
	state.Version = Version
	raw, err := cbor.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("encoding sketches: %w", err)
	}
	return withChecksum(raw), nil
}

// withChecksum returns a body with the magic number and the body's checksum in front of it.
func withChecksum(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte(magic), codec.Checksum(body)), body...)
}

func decode(raw []byte, maxBytes int) (state storedState, err error) {
	if len(raw) < headerBytes || string(raw[:len(magic)]) != magic {
		return state, errors.New("decoding sketches: data does not start with the magic number")
	}
	if len(raw) > maxBytes {
		return state, fmt.Errorf("decoding sketches: %d bytes exceed the limit of %d bytes", len(raw), maxBytes)
	}
	body := raw[headerBytes:]
	if binary.BigEndian.Uint32(raw[len(magic):]) != codec.Checksum(body) {
		return state, errors.New("decoding sketches: checksum mismatch")
	}
	if err := codec.Decoder.Unmarshal(body, &state); err != nil {
		return storedState{}, fmt.Errorf("reading sketches: %w", err)
	}
	if err := state.validate(); err != nil {
		return storedState{}, fmt.Errorf("reading sketches: %w", err)
	}
	return state, nil
}

// validate returns an error for a state that no model encodes.
func (s *storedState) validate() error {
	if s.Version != Version {
		return fmt.Errorf("got version %d, want version %d", s.Version, Version)
	}
	if len(s.Records) > MaxSketches || len(s.Correlations) > MaxClasses {
		return fmt.Errorf("%d records or correlations of %d classes exceed the limit", len(s.Records), len(s.Correlations))
	}
	isRead := make(map[Key]bool, len(s.Records))
	for i := range s.Records {
		record := &s.Records[i]
		if _, err := record.Sketch(); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		if isRead[record.Key()] {
			return fmt.Errorf("record %d: duplicate key", i)
		}
		isRead[record.Key()] = true
	}
	for i := range s.Correlations {
		if !s.Correlations[i].isValid() {
			return fmt.Errorf("correlation %d is invalid", i)
		}
	}
	return nil
}

// Shared encodes sketches that this instance has learned, for other instances: those of the largest weight that fit
// into MaxSharedBytes.
func (m *Model) Shared() ([]byte, error) {
	keys, sketches := m.Sketches()
	order := make([]int, len(keys))
	weights := make([]float64, len(keys))
	for i := range order {
		order[i] = i
		weights[i] = sketches[i].Weight()
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	var state storedState
	size := len(magic) + sharedOverheadBytes
	for _, i := range order {
		r := newRecord(keys[i], &sketches[i])
		size += len(r.Class) + len(r.Part) + len(r.Answered) + len(r.Failed) + len(r.Abandoned) + recordOverheadBytes
		if size > MaxSharedBytes {
			break
		}
		state.Records = append(state.Records, r)
	}
	return encode(state)
}

// DecodeShared decodes the sketches that another instance has shared. If it returns an error, it returns no records.
func DecodeShared(raw []byte) ([]Record, error) {
	state, err := decode(raw, MaxSharedBytes)
	return state.Records, err
}

// Encode encodes what this instance has learned, for a successor or the next start.
func (m *Model) Encode() ([]byte, error) {
	keys, sketches := m.Sketches()
	var state storedState
	for i, key := range keys {
		state.Records = append(state.Records, newRecord(key, &sketches[i]))
	}
	state.Correlations = m.correlations()
	raw, err := encode(state)
	if err == nil && len(raw) > MaxStateBytes {
		return nil, fmt.Errorf("encoding sketches: %d bytes exceed the limit of %d bytes", len(raw), MaxStateBytes)
	}
	return raw, err
}

// correlations returns the moments of all classes, sorted by name.
func (m *Model) correlations() (correlations []ClassCorrelation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, c := range m.classes {
		if name != "" && math.Abs(c.pairMoment) <= c.squareMoment {
			correlations = append(correlations, ClassCorrelation{Class: name, Pairs: c.pairMoment, Squares: c.squareMoment})
		}
	}
	slices.SortFunc(correlations, func(a, b ClassCorrelation) int { return cmp.Compare(a.Class, b.Class) })
	return correlations
}

// Restore adds the sketches that Encode returned the given time ago, for parts that still exist. Sketches that the
// model already has are not changed. If Restore returns an error, the model is unchanged.
func (m *Model) Restore(raw []byte, ago time.Duration) error {
	state, err := decode(raw, MaxStateBytes)
	if err != nil {
		return err
	}
	retainedFraction := math.Exp2(-max(0, float64(ago)) / float64(memoryHalfLife))
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range state.Records {
		m.restoreRecord(&state.Records[i], retainedFraction)
	}
	for _, correlation := range state.Correlations {
		if c := m.classes[correlation.Class]; c != nil && c.squareMoment == 0 {
			c.pairMoment = correlation.Pairs * retainedFraction
			c.squareMoment = correlation.Squares * retainedFraction
		}
	}
	for _, c := range m.classes {
		c.observationsLeft = [Loads]int{}
	}
	return nil
}

// restoreRecord adds a sketch whose counts are multiplied by retainedFraction.
func (m *Model) restoreRecord(record *Record, retainedFraction float64) {
	isSamePart := func(p Part) bool { return p.Name == record.Part }
	if m.histories[record.Key()] != nil || !slices.ContainsFunc(m.settings.Parts, isSamePart) {
		return
	}
	sketch, _ := record.Sketch() // validated by decode
	if sketch.Weight()*retainedFraction < 1 {
		return
	}
	m.class(record.Class)
	h := m.history(record.Key())
	h.longTerm.Add(&sketch, retainedFraction)
	h.longTerm.outcomeWeight = 1
}
