package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
)

// hashBytes is the length of a short hash in bytes, before hex encoding.
const hashBytes = 8

// Pattern returns the byte at an offset of a generated body. The terms of higher order make the parts of a body differ, so
// that a missing, repeated or displaced part is detected.
func Pattern(offset int64) byte { return byte(offset*131 + offset>>8*31 + offset>>16*17) }

// PatternReader returns a reader of the first length bytes of Pattern.
func PatternReader(length int64) io.Reader { return &patternReader{length: length} }

type patternReader struct {
	offset int64
	length int64
}

// Read implements io.Reader.
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

// HashOf returns the hash of the first length bytes of Pattern, in the form of Request.Hash.
func HashOf(length int64) string {
	h := sha256.New()
	_, _ = io.Copy(h, PatternReader(length)) // neither the reader nor the hash returns an error
	return shortHash(h)
}

func shortHash(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)[:hashBytes]) }
