package retrybuffer

import (
	"errors"
	"io"
)

// ErrNoMemory reports that memory for a body could not be reserved.
var ErrNoMemory = errors.New("no memory for the body")

const (
	firstReadBytes = 4 << 10 // size of the buffer for the first bytes of a body
	growthFactor   = 4       // by which a buffer grows once it is full
)

// ReadAll reads the first bytes of a body, up to length, and returns io.EOF if the body is shorter. Its buffer grows with
// what has arrived, so that a client that announces a long body and does not send it takes little memory. ReadAll calls
// reserve with the size of the buffers before it allocates one, and returns ErrNoMemory if reserve returns false.
func ReadAll(source io.Reader, length int64, reserve func(bytes int64) bool) ([]byte, error) {
	size := min(length, firstReadBytes)
	if !reserve(size) {
		return nil, ErrNoMemory
	}
	buffer := make([]byte, size)
	filled := int64(0)
	for {
		for filled < size {
			n, err := source.Read(buffer[filled:])
			filled += int64(n)
			if err != nil && filled < length {
				return buffer[:filled], err
			}
		}
		if filled == length {
			return buffer, nil
		}
		size = min(length, size*growthFactor)
		if !reserve(filled + size) {
			return nil, ErrNoMemory
		}
		grown := make([]byte, size)
		copy(grown, buffer)
		buffer = grown
		reserve(size) // the smaller buffer is no longer used
	}
}
