// Package codec has what the forms of all stored data share: a CBOR decoder with bounds, as input is not
// trusted, and a checksum. It is safe for concurrent use.
package codec

import (
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of what Decoder reads.
const (
	maxElements     = 1 << 20 // of an array, and pairs of a map
	maxNestedLevels = 16
)

// Decoder decodes CBOR of bounded shape. Indefinite lengths and maps with a key twice are errors.
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
		panic(err) // the options are constants
	}
	return mode
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of data. It detects damage, not forgery.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }
