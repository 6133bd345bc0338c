// Package codec holds what all formats of stored data share: a checksum, and a CBOR decoder with size limits,
// since its input is not trusted. It is safe for concurrent use.
package codec

import (
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// Size limits of Decoder.
const (
	maxElements     = 1 << 20 // elements of an array, or pairs of a map
	maxNestedLevels = 16
)

// Decoder decodes CBOR within the size limits. It rejects indefinite lengths and duplicate map keys.
var Decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNestedLevels,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // can't happen: the options are constants
	}
	return mode
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of data. It detects damage, not forgery.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }
