// Package codec holds what all that is written for a later reader shares: CBOR with bounds, as what
// is read may come from anybody, and the sum that goes with it.
package codec

import (
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// Decoder reads CBOR of bounded shape: no indefinite lengths, no key twice.
var Decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 16,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum is CRC-32C of what is written: it tells what was damaged, not what was forged.
func Checksum(raw []byte) uint32 { return crc32.Checksum(raw, castagnoli) }
