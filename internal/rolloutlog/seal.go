package rolloutlog

import (
	"crypto/sha256"
	"fmt"
)

// checksum is the SHA-256 of a record, chained to that of the previous record.
type checksum [sha256.Size]byte

// seal returns a record with its checksum prepended. The checksum covers the previous record's checksum, the record's
// number and the record. A note is sealed with the zero checksum and number.
func seal(previous checksum, number uint64, record []byte) []byte {
	hash := sha256.New()
	hash.Write(previous[:])
	hash.Write(encodeKey(number))
	hash.Write(record)
	return append(hash.Sum(nil), record...)
}

// unseal verifies the checksum of a sealed record and returns a copy of the record. The error wraps errDamaged.
func unseal(previous checksum, number uint64, sealed []byte) ([]byte, error) {
	if len(sealed) < len(checksum{}) {
		return nil, fmt.Errorf("%w: record %d is truncated", errDamaged, number)
	}
	record := sealed[len(checksum{}):]
	if string(seal(previous, number, record)) != string(sealed) {
		return nil, fmt.Errorf("%w: record %d has a wrong checksum", errDamaged, number)
	}
	return append([]byte(nil), record...), nil
}
