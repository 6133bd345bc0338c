package upgrade

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
)

// Predecessor is the old process, as its successor sees it. TakeFile, TakeListeners and CloseUnclaimed are not safe
// for concurrent use; the Await methods and AnnounceTakeOver are called one after the other.
type Predecessor struct {
	conn  net.Conn
	files map[string]*os.File // inherited and not taken yet, by name
}

// ProtocolError is the error of Join where the predecessor's messages are of another version.
type ProtocolError struct{ Version int }

// Error names both versions.
func (e ProtocolError) Error() string {
	return fmt.Sprintf("the old process has protocol version %d, this one %d", e.Version, protocolVersion)
}

// Join returns the process whose place this one is to take, by its environment. It returns nil where there is none.
func PredecessorFromEnvironment(getenv func(string) string) (*Predecessor, error) {
	encoded := getenv(EnvironmentVariable)
	if encoded == "" {
		return nil, nil
	}
	var inherited inheritance
	if err := json.Unmarshal([]byte(encoded), &inherited); err != nil {
		return nil, fmt.Errorf("%s: %w", EnvironmentVariable, err)
	}
	if inherited.Version != protocolVersion {
		return nil, fmt.Errorf("%s: %w", EnvironmentVariable, ProtocolError{Version: inherited.Version})
	}
	socket := os.NewFile(uintptr(inherited.Connection), "predecessor")
	defer socket.Close() //nolint:errcheck // net.FileConn copies it
	conn, err := net.FileConn(socket)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvironmentVariable, err)
	}
	predecessor := &Predecessor{conn: conn, files: make(map[string]*os.File)}
	for name, descriptor := range inherited.Files {
		syscall.CloseOnExec(descriptor)
		predecessor.files[name] = os.NewFile(uintptr(descriptor), name)
	}
	return predecessor, nil
}

// TakeFile returns an inherited file, which becomes the caller's; nil where there is none of that name.
func (p *Predecessor) TakeFile(name string) *os.File {
	file := p.files[name]
	delete(p.files, name)
	return file
}

// CloseUnclaimed closes the inherited files that were not taken.
func (p *Predecessor) CloseUnclaimed() {
	for name, file := range p.files {
		_ = file.Close() // a socket or a lock that is not needed
		delete(p.files, name)
	}
}

// TakeListeners returns the inherited files whose names begin with prefix, as listeners, by the rest of their
// names. They become the caller's.
func (p *Predecessor) TakeListeners(prefix string) (map[string]net.Listener, error) {
	listeners := make(map[string]net.Listener)
	for name := range p.files {
		address, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		file := p.TakeFile(name)
		listener, err := net.FileListener(file)
		_ = file.Close() // net.FileListener copies it
		if err != nil {
			return nil, fmt.Errorf("taking over the listener of %s: %w", address, err)
		}
		listeners[address] = listener
	}
	return listeners, nil
}

// AwaitCheckpoint reports that this process could serve and waits for the predecessor's checkpoint. After an error
// the predecessor has ended or sent something else, and there will be no checkpoint.
func (p *Predecessor) AwaitCheckpoint() ([]byte, error) {
	checkpoint, err := p.requestCheckpoint()
	if err != nil {
		return nil, fmt.Errorf("taking over: no checkpoint from the old process: %w", err)
	}
	return checkpoint, nil
}

func (p *Predecessor) requestCheckpoint() ([]byte, error) {
	if err := writeMessage(p.conn, messagePrepared, nil); err != nil {
		return nil, err
	}
	kind, body, err := readMessage(p.conn)
	if err != nil {
		return nil, err
	}
	if kind != messageCheckpoint {
		return nil, fmt.Errorf("it sent the message %q, not a checkpoint", byte(kind))
	}
	return body, nil
}

// AnnounceTakeOver reports that this process accepts connections.
func (p *Predecessor) AnnounceTakeOver() error {
	if err := writeMessage(p.conn, messageTookOver, nil); err != nil {
		return fmt.Errorf("taking over: %w", err)
	}
	return nil
}

// AwaitFinalCheckpoint waits for the predecessor's end and returns its final checkpoint, nil where it sent none. It
// closes the connection: no method may be called after it.
func (p *Predecessor) AwaitFinalCheckpoint() []byte {
	defer p.conn.Close()
	kind, body, err := readMessage(p.conn)
	if err != nil || kind != messageFinalCheckpoint {
		return nil
	}
	// The predecessor ends with its connection, not with this message.
	_, _ = io.Copy(io.Discard, p.conn)
	return body
}
