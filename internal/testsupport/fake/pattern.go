package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
)

// hashBytes is the length of a short hash, before it is encoded.
const hashBytes = 8

// Pattern returns the byte of a generated body at an offset. No part of a body equals another.
func Pattern(offset int64) byte { return byte(offset*131 + offset>>8*31 + offset>>16*17) }

// PatternReader returns a reader of the first bytes of Pattern.
func PatternReader(length int64) io.Reader { return &patternReader{length: length} }

type patternReader struct {
	offset int64
	length int64
}

// Read reads the next bytes of Pattern.
func (p *patternReader) Read(buffer []byte) (int, error) {
	if p.offset >= p.length {
		return 0, io.EOF
	}
	n := int(min(int64(len(buffer)), p.length-p.offset))
	for i := range n {
		buffer[i] = Pattern(p.offset + int64(i))
	}
	p.offset += int64(n)
	return n, nil
}

// HashOf returns the hash, as in Request, of the first bytes of Pattern.
func HashOf(length int64) string {
	h := sha256.New()
	_, _ = io.Copy(h, PatternReader(length)) // neither side of it fails
	return shortHash(h)
}

func shortHash(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)[:hashBytes]) }
