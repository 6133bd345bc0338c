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

// Version is that of the form in which sketches are written. A reader takes its own only.
const Version = 1

// Bounds of what is written: a model's state, and what one instance shares with others.
const (
	MaxStateBytes  = 4 << 20
	MaxSharedBytes = 64 << 10
)

const (
	magic     = "lockflow gather\n"
	countUnit = 64 // a count is written in parts of one, up to mostCount
	maxCount  = math.MaxUint16 / countUnit
)

// Record is a sketch as it is written: of each of its counts the buckets that hold some, a byte for
// the bucket and two for the count.
type Record struct {
	Class     string `cbor:"1,keyasint"`
	Part      string `cbor:"2,keyasint"`
	Load      int    `cbor:"3,keyasint"`
	Answered  []byte `cbor:"4,keyasint,omitempty"`
	Failed    []byte `cbor:"5,keyasint,omitempty"`
	Abandoned []byte `cbor:"6,keyasint,omitempty"`
}

// Key is what it is of.
func (r *Record) Key() Key { return Key{r.Class, r.Part, r.Load} }

// ClassCorrelation is what is known of how far the parts of a class go together.
type ClassCorrelation struct {
	Class   string  `cbor:"1,keyasint"`
	Pairs   float64 `cbor:"2,keyasint"`
	Squares float64 `cbor:"3,keyasint"`
}

type storedState struct {
	Version      int                `cbor:"1,keyasint"`
	Records      []Record           `cbor:"2,keyasint"`
	Correlations []ClassCorrelation `cbor:"3,keyasint,omitempty"`
}

func encodeCounts(counts *[Buckets]float32) (b []byte) {
	for i, n := range counts {
		if n := min(math.MaxUint16, math.Round(float64(n)*countUnit)); n >= 1 {
			b = append(b, byte(i))
			b = binary.BigEndian.AppendUint16(b, uint16(n))
		}
	}
	return b
}

func decodeCounts(b []byte, counts *[Buckets]float32) error {
	if len(b)%3 != 0 {
		return errors.New("a count is cut")
	}
	for last := -1; len(b) > 0; b = b[3:] {
		i := int(b[0])
		if i <= last || i >= Buckets {
			return fmt.Errorf("bucket %d after %d", i, last)
		}
		counts[i] = float32(binary.BigEndian.Uint16(b[1:])) / countUnit
		last = i
	}
	return nil
}

// Sketch gives what was written.
func (r *Record) Sketch() (s Sketch, err error) {
	switch {
	case r.Class == "" || len(r.Class) > MaxNameBytes || r.Part == "" || len(r.Part) > MaxNameBytes:
		return s, errors.New("a name that can't be")
	case r.Load < 0 || r.Load > AllLoads:
		return s, fmt.Errorf("load %d", r.Load)
	}
	if err := cmp.Or(decodeCounts(r.Answered, &s.Answered), decodeCounts(r.Failed, &s.Failed), decodeCounts(r.Abandoned, &s.Abandoned)); err != nil {
		return s, err
	}
	if n := s.Weight(); n > 2*maxRemembered {
		return s, fmt.Errorf("it counts %g, more than one remembers", n)
	}
	return s, nil
}

func record(k Key, s *Sketch) Record {
	return Record{k.Class, k.Part, k.Load, encodeCounts(&s.Answered), encodeCounts(&s.Failed), encodeCounts(&s.Abandoned)}
}

func encode(s storedState) ([]byte, error) {
	s.Version = Version
	raw, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("writing sketches: %w", err)
	}
	return withChecksum(raw), nil
}

func decode(raw []byte, maxBytes int) (s storedState, err error) {
	if len(raw) < len(magic)+4 || string(raw[:len(magic)]) != magic {
		return s, errors.New("reading sketches: they are none")
	}
	if len(raw) > maxBytes {
		return s, fmt.Errorf("reading sketches: %d bytes are more than %d", len(raw), maxBytes)
	}
	body := raw[len(magic)+4:]
	if binary.BigEndian.Uint32(raw[len(magic):]) != codec.Checksum(body) {
		return s, errors.New("reading sketches: they are damaged: their sum is another one")
	}
	if err := codec.Decoder.Unmarshal(body, &s); err != nil {
		return storedState{}, fmt.Errorf("reading sketches: %w", err)
	}
	if s.Version != Version {
		return storedState{}, fmt.Errorf("reading sketches: they are of version %d, not %d", s.Version, Version)
	}
	if len(s.Records) > MaxSketches || len(s.Correlations) > MaxClasses {
		return storedState{}, fmt.Errorf("reading sketches: %d of %d classes are too many", len(s.Records), len(s.Correlations))
	}
	seen := make(map[Key]bool, len(s.Records))
	for i := range s.Records {
		r := &s.Records[i]
		if _, err := r.Sketch(); err != nil {
			return storedState{}, fmt.Errorf("reading sketches: number %d: %w", i, err)
		}
		if seen[r.Key()] {
			return storedState{}, fmt.Errorf("reading sketches: number %d: it comes twice", i)
		}
		seen[r.Key()] = true
	}
	for i, c := range s.Correlations {
		if c.Class == "" || len(c.Class) > MaxNameBytes || !(c.Squares >= 0 && c.Squares < 1e6) || !(math.Abs(c.Pairs) <= c.Squares*(1+shareTolerance)) {
			return storedState{}, fmt.Errorf("reading sketches: common factor number %d can't be", i)
		}
	}
	return s, nil
}

// Shared is what was learned here, for others: no more than MostShared bytes, those sketches first
// that count most.
func (m *Model) Shared() ([]byte, error) {
	keys, all := m.Sketches()
	order := make([]int, len(keys))
	weight := make([]float64, len(keys))
	for i := range order {
		order[i], weight[i] = i, all[i].Weight()
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weight[b], weight[a]) })
	var s storedState
	size := len(magic) + 64
	for _, i := range order {
		r := record(keys[i], &all[i])
		size += len(r.Class) + len(r.Part) + len(r.Answered) + len(r.Failed) + len(r.Abandoned) + 32
		if size > MaxSharedBytes {
			break
		}
		s.Records = append(s.Records, r)
	}
	return encode(s)
}

// DecodeShared reads what another has shared; the whole of it or nothing.
func DecodeShared(raw []byte) ([]Record, error) {
	s, err := decode(raw, MaxSharedBytes)
	return s.Records, err
}

// Encode writes down what was learned here, for a successor or a next start.
func (m *Model) Encode() ([]byte, error) {
	keys, all := m.Sketches()
	var s storedState
	for i, k := range keys {
		s.Records = append(s.Records, record(k, &all[i]))
	}
	m.mu.Lock()
	for name, c := range m.classes {
		if name != "" && math.Abs(c.pairMoment) <= c.squareMoment {
			s.Correlations = append(s.Correlations, ClassCorrelation{name, c.pairMoment, c.squareMoment})
		}
	}
	m.mu.Unlock()
	slices.SortFunc(s.Correlations, func(a, b ClassCorrelation) int { return cmp.Compare(a.Class, b.Class) })
	raw, err := encode(s)
	if err == nil && len(raw) > MaxStateBytes {
		return nil, fmt.Errorf("writing sketches: %d bytes are more than %d", len(raw), MaxStateBytes)
	}
	return raw, err
}

// Restore takes over what Encode wrote so long ago, of parts that there still are; what the model has
// learned itself of one it keeps. An error changes nothing.
func (m *Model) Restore(raw []byte, ago time.Duration) error {
	s, err := decode(raw, MaxStateBytes)
	if err != nil {
		return err
	}
	left := math.Exp2(-max(0, float64(ago)) / float64(memoryHalfLife))
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range s.Records {
		r := &s.Records[i]
		is := func(p Part) bool { return p.Name == r.Part }
		if m.histories[r.Key()] != nil || !slices.ContainsFunc(m.settings.Parts, is) {
			continue
		}
		sketch, _ := r.Sketch() // it was read once
		if sketch.Weight()*left < 1 {
			continue
		}
		m.class(r.Class)
		l := m.history(r.Key())
		l.longTerm.Add(&sketch, left)
		l.longTerm.unit = 1
	}
	for _, c := range s.Correlations {
		if to := m.classes[c.Class]; to != nil && to.squareMoment == 0 {
			to.pairMoment, to.squareMoment = c.Pairs*left, c.Squares*left
		}
	}
	for _, c := range m.classes {
		c.observationsLeft = [Loads]int{}
	}
	return nil
}

// withChecksum prepends the magic string and a checksum to a body.
func withChecksum(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte(magic), codec.Checksum(body)), body...)
}
