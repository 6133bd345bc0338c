package waitpolicy

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

const (
	// countUnit is the value that encodes a count of one outcome.
	countUnit = 64
	// countBytes is the size of an encoded count: one byte for the bucket, and two for the count.
	countBytes = 3
)

// Record is an encoded sketch. Each kind of outcome is a list of its non-empty buckets, of countBytes each.
type Record struct {
	Class     string `cbor:"1,keyasint"`
	Part      string `cbor:"2,keyasint"`
	Load      int    `cbor:"3,keyasint"`
	Answered  []byte `cbor:"4,keyasint,omitempty"`
	Failed    []byte `cbor:"5,keyasint,omitempty"`
	Abandoned []byte `cbor:"6,keyasint,omitempty"`
}

// Key returns the key of the sketch.
func (r *Record) Key() Key { return Key{Class: r.Class, Part: r.Part, Load: r.Load} }

// Sketch decodes the sketch. It returns an error for names, loads and counts that no model encodes.
func (r *Record) Sketch() (s Sketch, err error) {
	if !isValidName(r.Class) || !isValidName(r.Part) {
		return s, errors.New("class or part name is empty or too long")
	}
	if r.Load < 0 || r.Load > AllLoads {
		return s, fmt.Errorf("load %d is out of range", r.Load)
	}
	err = cmp.Or(
		decodeCounts(r.Answered, &s.Answered),
		decodeCounts(r.Failed, &s.Failed),
		decodeCounts(r.Abandoned, &s.Abandoned),
	)
	if err != nil {
		return s, err
	}
	if weight := s.Weight(); weight > 2*maxRemembered {
		return s, fmt.Errorf("weight %g exceeds the maximum of a history", weight)
	}
	return s, nil
}

func isValidName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

// newRecord encodes a sketch.
func newRecord(key Key, s *Sketch) Record {
	return Record{
		Class:     key.Class,
		Part:      key.Part,
		Load:      key.Load,
		Answered:  encodeCounts(&s.Answered),
		Failed:    encodeCounts(&s.Failed),
		Abandoned: encodeCounts(&s.Abandoned),
	}
}

func encodeCounts(counts *[Buckets]float32) (encoded []byte) {
	for bucket, count := range counts {
		units := min(math.MaxUint16, math.Round(float64(count)*countUnit))
		if units >= 1 {
			encoded = append(encoded, byte(bucket))
			encoded = binary.BigEndian.AppendUint16(encoded, uint16(units))
		}
	}
	return encoded
}

func decodeCounts(encoded []byte, counts *[Buckets]float32) error {
	if len(encoded)%countBytes != 0 {
		return errors.New("truncated count")
	}
	for last := -1; len(encoded) > 0; encoded = encoded[countBytes:] {
		bucket := int(encoded[0])
		if bucket <= last || bucket >= Buckets {
			return fmt.Errorf("bucket %d after bucket %d is out of order or out of range", bucket, last)
		}
		counts[bucket] = float32(binary.BigEndian.Uint16(encoded[1:])) / countUnit
		last = bucket
	}
	return nil
}
