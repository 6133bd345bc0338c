// Package upgrade replaces a running process by a new one without a gap in service. The new process, the successor,
// inherits open files from the old one, its predecessor. The successor reports that it is able to serve, receives the
// predecessor's checkpoint, reports that it accepts connections, and receives the predecessor's final checkpoint when
// the predecessor ends. The package exchanges the messages; package lifecycle decides which actions result from them, and
// package daemon uses both.
//
// The processes are connected by a pair of stream sockets. A message is a kind (one byte), a length (four bytes,
// big endian) and a body of that length:
//
//	successor -> predecessor   P prepared            is able to serve, waits for a checkpoint
//	predecessor -> successor   S checkpoint          a fraction of the remaining quota, and the estimates
//	successor -> predecessor   T took over           accepts connections
//	predecessor -> successor   R final checkpoint    the remaining quota at the predecessor's end
package upgrade

import (
	"encoding/binary"
	"fmt"
	"io"
)

// EnvironmentVariable is the environment variable that describes, as JSON, what a successor inherits.
const EnvironmentVariable = "LOCKFLOW_SUCCEEDS"

// protocolVersion is the version of the messages. A successor with another version ends immediately, and its predecessor
// continues.
const protocolVersion = 1

// maxMessageSize is the maximum size of a message's body, in bytes.
const maxMessageSize = 40 << 20

// headerSize is the size of a message's kind and length, in bytes.
const headerSize = 1 + 4

type messageKind byte

const (
	messagePrepared        messageKind = 'P'
	messageTookOver        messageKind = 'T'
	messageCheckpoint      messageKind = 'S'
	messageFinalCheckpoint messageKind = 'R'
)

// inheritance is the value of EnvironmentVariable.
type inheritance struct {
	Version    int            `json:"version"`
	Connection int            `json:"conn"`  // descriptor of the socket to the predecessor
	Files      map[string]int `json:"files"` // file descriptors by name
}

func writeMessage(w io.Writer, kind messageKind, body []byte) error {
	if len(body) > maxMessageSize {
		return fmt.Errorf("message body of %d bytes exceeds the maximum of %d", len(body), maxMessageSize)
	}
	header := binary.BigEndian.AppendUint32([]byte{byte(kind)}, uint32(len(body)))
	_, err := w.Write(append(header, body...))
	return err
}

// readMessage reads one message. The error is io.EOF if r ends before the message begins.
func readMessage(r io.Reader) (messageKind, []byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > maxMessageSize {
		return 0, nil, fmt.Errorf("message body of %d bytes exceeds the maximum of %d", size, maxMessageSize)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return messageKind(header[0]), body, nil
}
