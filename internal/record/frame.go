package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"lockflow/internal/codec"
)

const (
	fileMagic       = "lockflow recording\n"
	frameHeaderSize = 4 + 4     // length and checksum of the body
	maxFrameBytes   = 256 << 20 // limit for bodies that are read
)

var errAlteredFrame = errors.New("corrupt frame: checksum mismatch")

// appendFrame appends a frame with this body to buffer.
func appendFrame(buffer, body []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = binary.BigEndian.AppendUint32(buffer, codec.Checksum(body))
	return append(buffer, body...)
}

// readFrame returns the body of the next frame. The error is io.EOF at the end of the file, even in the middle of a
// frame, because the recording process may have been killed.
func readFrame(source io.Reader) ([]byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(source, header[:]); err != nil {
		return nil, io.EOF
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return nil, fmt.Errorf("frame has %d bytes, more than the limit of %d", size, maxFrameBytes)
	}
	body, err := io.ReadAll(io.LimitReader(source, int64(size)))
	if err != nil || len(body) < int(size) {
		return nil, io.EOF
	}
	if codec.Checksum(body) != binary.BigEndian.Uint32(header[4:]) {
		return nil, errAlteredFrame
	}
	return body, nil
}
