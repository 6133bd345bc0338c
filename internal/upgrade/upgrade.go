// Package upgrade has a new process take the place of a running one without a gap: the new one
// inherits open files, says when it could serve, is given what was spent and learned, says when
// it takes clients, and is told what was left when the old one ends. It carries messages; what
// follows from them is decided by the machine of the daemon's life.
//
// The two speak over a pair of connected sockets, in frames of a kind (one byte), a length (four
// bytes, big endian) and so many bytes.
package upgrade

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
)

// EnvironmentVariable is the environment variable that tells a new process what it inherits.
const EnvironmentVariable = "LOCKFLOW_SUCCEEDS"

// protocolVersion is that of the messages. A new process that speaks another one ends at once, and the
// old one goes on.
const protocolVersion = 1

// maxMessageSize bounds what one message may hold.
const maxMessageSize = 40 << 20

type messageKind byte

// The messages. Of the new process: prepared, took; of the old one: state, rest.
const (
	messagePrepared        messageKind = 'P' // could serve, waits for the state
	messageTookOver        messageKind = 'T' // takes clients
	messageCheckpoint      messageKind = 'S' // what was spent and learned
	messageFinalCheckpoint messageKind = 'R' // what was left at the end
)

// inheritance is what Variable tells, as JSON.
type inheritance struct {
	Version int            `json:"version"`
	Conn    int            `json:"conn"`
	Files   map[string]int `json:"files"` // descriptors by name
}

func writeMessage(w io.Writer, k messageKind, body []byte) error {
	if len(body) > maxMessageSize {
		return fmt.Errorf("a message of %d bytes is more than %d", len(body), maxMessageSize)
	}
	head := binary.BigEndian.AppendUint32([]byte{byte(k)}, uint32(len(body)))
	if _, err := w.Write(append(head, body...)); err != nil {
		return err
	}
	return nil
}

func readMessage(r io.Reader) (messageKind, []byte, error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n > maxMessageSize {
		return 0, nil, fmt.Errorf("a message of %d bytes is more than %d", n, maxMessageSize)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return messageKind(head[0]), body, nil
}

// Program is the new process that is to start.
type Program struct {
	Path  string
	Args  []string // without the program's name
	Env   []string
	Files map[string]*os.File // that it inherits, by name; they stay the caller's
	Log   io.Writer           // its standard output and error; nil is this process's
}

// Event is what a successor does.
type Event int

// The events. Ended comes last, and always.
const (
	Prepared Event = iota
	TookOver
	Ended
)

// Successor is the new process. Its methods are safe for concurrent use.
type Successor struct {
	cmd      *exec.Cmd
	conn     net.Conn
	events   chan Event
	endCause error // why it ended; to be read after Ended
	killOnce sync.Once
}

// Start starts a new process.
func Start(p Program) (*Successor, error) {
	ours, theirs, err := socketPair()
	if err != nil {
		return nil, fmt.Errorf("starting a successor: %w", err)
	}
	defer theirs.Close() //nolint:errcheck // the successor has it
	in := inheritance{Version: protocolVersion, Conn: 3, Files: make(map[string]int)}
	cmd := exec.CommandContext(context.Background(), p.Path, p.Args...) // it outlives this process
	cmd.ExtraFiles = []*os.File{theirs}
	for name, f := range p.Files {
		in.Files[name] = 3 + len(cmd.ExtraFiles)
		cmd.ExtraFiles = append(cmd.ExtraFiles, f)
	}
	encoded, err := json.Marshal(in)
	if err != nil {
		ours.Close()
		return nil, fmt.Errorf("starting a successor: %w", err)
	}
	cmd.Env = append(Environment(p.Env), EnvironmentVariable+"="+string(encoded))
	if cmd.Stdout, cmd.Stderr = p.Log, p.Log; p.Log == nil {
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	}
	if err := cmd.Start(); err != nil {
		ours.Close()
		return nil, fmt.Errorf("starting a successor: %w", err)
	}
	s := &Successor{cmd: cmd, conn: ours, events: make(chan Event, 3)}
	go s.watch()
	return s, nil
}

// Environment is env without what was meant for this process alone.
func Environment(env []string) []string {
	var remaining []string
	for _, v := range env {
		name, _, _ := strings.Cut(v, "=")
		switch name {
		case EnvironmentVariable, "LISTEN_FDS", "LISTEN_PID", "LISTEN_FDNAMES", "WATCHDOG_PID":
		default:
			remaining = append(remaining, v)
		}
	}
	return remaining
}

// socketPair makes two connected sockets, the second one to be passed on.
func socketPair() (ours net.Conn, theirs *os.File, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	mine := os.NewFile(uintptr(fds[0]), "successor")
	defer mine.Close() //nolint:errcheck // a copy of a socket
	theirs = os.NewFile(uintptr(fds[1]), "predecessor")
	if ours, err = net.FileConn(mine); err != nil {
		return nil, nil, errors.Join(err, theirs.Close())
	}
	return ours, theirs, nil
}

// watch tells what the successor does until it has ended.
func (s *Successor) watch() {
	next := Prepared
	var wrong error
	for wrong == nil {
		k, _, err := readMessage(s.conn)
		switch {
		case err != nil:
			wrong = err
		case k == messagePrepared && next == Prepared, k == messageTookOver && next == TookOver:
			s.events <- next
			next++
		default:
			wrong = fmt.Errorf("it said %q out of turn", byte(k))
		}
	}
	if !errors.Is(wrong, io.EOF) && !errors.Is(wrong, net.ErrClosed) {
		s.cmd.Process.Kill() // nothing that it says can be relied on
	}
	err := s.cmd.Wait()
	switch {
	case err != nil:
		s.endCause = fmt.Errorf("process %d: %w", s.PID(), err)
	case !errors.Is(wrong, io.EOF):
		s.endCause = fmt.Errorf("process %d: %w", s.PID(), wrong)
	default:
		s.endCause = fmt.Errorf("process %d ended", s.PID())
	}
	s.conn.Close()
	s.events <- Ended
	close(s.events)
}

// PID is its process id.
func (s *Successor) PID() int { return s.cmd.Process.Pid }

// Events tells what it does. Who starts a successor has to take them.
func (s *Successor) Events() <-chan Event { return s.events }

// Err is why it ended; to be called after Ended.
func (s *Successor) Err() error { return s.endCause }

// SendCheckpoint gives it what was spent and learned.
func (s *Successor) SendCheckpoint(state []byte) error { return s.send(messageCheckpoint, state) }

// SendFinalCheckpoint gives it what is left at this process's end. Whatever comes after that is too late.
func (s *Successor) SendFinalCheckpoint(state []byte) error {
	return s.send(messageFinalCheckpoint, state)
}

func (s *Successor) send(k messageKind, body []byte) error {
	if err := writeMessage(s.conn, k, body); err != nil {
		return fmt.Errorf("telling the successor: %w", err)
	}
	return nil
}

// Signal sends it a signal.
func (s *Successor) Signal(sig os.Signal) error { return s.cmd.Process.Signal(sig) }

// Kill ends it at once.
func (s *Successor) Kill() {
	s.killOnce.Do(func() { s.cmd.Process.Kill() })
}

// Predecessor is the old process, as the new one knows it.
type Predecessor struct {
	conn  net.Conn
	files map[string]*os.File
}

// Join gives the process whose place this one is to take, by its environment; nil where there is
// none.
func Join(getenv func(string) string) (*Predecessor, error) {
	encoded := getenv(EnvironmentVariable)
	if encoded == "" {
		return nil, nil
	}
	var in inheritance
	if err := json.Unmarshal([]byte(encoded), &in); err != nil {
		return nil, fmt.Errorf("%s: %w", EnvironmentVariable, err)
	}
	if in.Version != protocolVersion {
		return nil, fmt.Errorf("%s: the old process speaks version %d, this one %d", EnvironmentVariable, in.Version, protocolVersion)
	}
	p := &Predecessor{files: make(map[string]*os.File)}
	f := os.NewFile(uintptr(in.Conn), "predecessor")
	defer f.Close() //nolint:errcheck // a copy of a socket
	var err error
	if p.conn, err = net.FileConn(f); err != nil {
		return nil, fmt.Errorf("%s: %w", EnvironmentVariable, err)
	}
	for name, fd := range in.Files {
		syscall.CloseOnExec(fd)
		p.files[name] = os.NewFile(uintptr(fd), name)
	}
	return p, nil
}

// TakeFile is an inherited file, which becomes the caller's; nil where there is none of that name.
func (p *Predecessor) TakeFile(name string) *os.File {
	f := p.files[name]
	delete(p.files, name)
	return f
}

// CloseUnclaimed closes the inherited files that nobody has asked for.
func (p *Predecessor) CloseUnclaimed() {
	for name, f := range p.files {
		_ = f.Close() // a socket or a lock that nobody needs
		delete(p.files, name)
	}
}

// TakeListeners are the inherited files whose names begin with prefix, as listeners, by the rest of
// their names.
func (p *Predecessor) TakeListeners(prefix string) (map[string]net.Listener, error) {
	all := make(map[string]net.Listener)
	for name := range p.files {
		addr, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		f := p.TakeFile(name)
		l, err := net.FileListener(f)
		_ = f.Close() // a copy of a socket
		if err != nil {
			return nil, fmt.Errorf("taking over the listener of %s: %w", addr, err)
		}
		all[addr] = l
	}
	return all, nil
}

// AwaitCheckpoint says that this process could serve, and waits for what was spent and learned. An error
// is an old process that has ended: there is nobody to wait for any more.
func (p *Predecessor) AwaitCheckpoint() ([]byte, error) {
	err := writeMessage(p.conn, messagePrepared, nil)
	if err == nil {
		var k messageKind
		var body []byte
		if k, body, err = readMessage(p.conn); err == nil && k == messageCheckpoint {
			return body, nil
		}
	}
	return nil, fmt.Errorf("taking over: the old process gave nothing: %w", err)
}

// AnnounceTakeOver says that this process takes clients.
func (p *Predecessor) AnnounceTakeOver() error {
	if err := writeMessage(p.conn, messageTookOver, nil); err != nil {
		return fmt.Errorf("taking over: %w", err)
	}
	return nil
}

// AwaitFinalCheckpoint waits for the end of the old process and gives what it left; nil where it said nothing.
func (p *Predecessor) AwaitFinalCheckpoint() []byte {
	defer p.conn.Close()
	k, body, err := readMessage(p.conn)
	if err != nil || k != messageFinalCheckpoint {
		return nil
	}
	// It ends with its connection: what it says before is no end yet.
	_, _ = io.Copy(io.Discard, p.conn)
	return body
}
