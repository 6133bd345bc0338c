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

// Predecessor is the successor's connection to the old process. TakeFile, TakeListeners and CloseUnclaimed are not safe
// for concurrent use. The Await methods and AnnounceTakeOver must not be called concurrently with each other.
type Predecessor struct {
	conn  net.Conn
	files map[string]*os.File // inherited files that have not been taken, by name
}

// ProtocolError is the error of PredecessorFromEnvironment if the predecessor has another protocol version.
type ProtocolError struct{ Version int }

// Error names both versions.
func (e ProtocolError) Error() string {
	return fmt.Sprintf("predecessor has protocol version %d, this process has %d", e.Version, protocolVersion)
}

// PredecessorFromEnvironment returns the process that this one is to replace, as EnvironmentVariable describes it, or nil
// if the variable is not set.
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
	defer socket.Close() //nolint:errcheck // net.FileConn duplicates the descriptor
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

// TakeFile returns the inherited file of that name, or nil if there is none. The caller has to close it.
func (p *Predecessor) TakeFile(name string) *os.File {
	file := p.files[name]
	delete(p.files, name)
	return file
}

// CloseUnclaimed closes the inherited files that were not taken.
func (p *Predecessor) CloseUnclaimed() {
	for name, file := range p.files {
		_ = file.Close() // an unused socket or lock file, to which nothing was written
		delete(p.files, name)
	}
}

// TakeListeners returns the inherited files whose names begin with prefix as listeners, by the rest of their names. The
// caller has to close them.
func (p *Predecessor) TakeListeners(prefix string) (map[string]net.Listener, error) {
	listeners := make(map[string]net.Listener)
	for name := range p.files {
		address, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		file := p.TakeFile(name)
		listener, err := net.FileListener(file)
		_ = file.Close() // net.FileListener duplicates the descriptor
		if err != nil {
			return nil, fmt.Errorf("taking over the listener at %s: %w", address, err)
		}
		listeners[address] = listener
	}
	return listeners, nil
}

// AwaitCheckpoint reports that this process is able to serve and waits for the predecessor's checkpoint. An error means
// that the predecessor has ended or sent another message, and that no checkpoint will arrive.
func (p *Predecessor) AwaitCheckpoint() ([]byte, error) {
	checkpoint, err := p.requestCheckpoint()
	if err != nil {
		return nil, fmt.Errorf("taking over: receiving the predecessor's checkpoint: %w", err)
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
		return nil, fmt.Errorf("received message of kind %q, expected a checkpoint", byte(kind))
	}
	return body, nil
}

// AnnounceTakeOver reports that this process accepts connections.
func (p *Predecessor) AnnounceTakeOver() error {
	if err := writeMessage(p.conn, messageTookOver, nil); err != nil {
		return fmt.Errorf("announcing the take-over: %w", err)
	}
	return nil
}

// AwaitFinalCheckpoint waits for the predecessor's end and returns its final checkpoint, or nil if it sent none. It closes
// the connection, so no method may be called after it.
func (p *Predecessor) AwaitFinalCheckpoint() []byte {
	defer p.conn.Close()
	kind, body, err := readMessage(p.conn)
	if err != nil || kind != messageFinalCheckpoint {
		return nil
	}
	// The predecessor still runs after this message. The connection closes when it ends.
	_, _ = io.Copy(io.Discard, p.conn)
	return body
}
