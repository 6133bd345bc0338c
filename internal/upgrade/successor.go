package upgrade

import (
	"context"
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

// Program describes the process that Start starts.
type Program struct {
	Path  string
	Args  []string // arguments without the program's name
	Env   []string
	Files map[string]*os.File // files that it inherits, by name; the caller still has to close them
	Log   io.Writer           // receives its standard output and error; nil for those of this process
}

// Event is a step of a successor's take-over.
type Event int

// The events, in the order in which they occur. Ended is always the last one.
const (
	Prepared Event = iota // it is able to serve and waits for a checkpoint
	TookOver              // it accepts connections
	Ended
)

// eventCount is the maximum number of events of a successor. Their channel has this capacity, so that a send never blocks.
const eventCount = 3

// Successor is the new process and the predecessor's connection to it. Its methods are safe for concurrent use.
type Successor struct {
	cmd      *exec.Cmd
	conn     net.Conn
	events   chan Event
	endCause error // written before Ended is sent
	killOnce sync.Once
}

// firstInheritedDescriptor is the descriptor of the first of exec.Cmd's ExtraFiles in the new process.
const firstInheritedDescriptor = 3

// Start starts a successor, which runs until it ends or is killed and may outlive this process. The caller has to receive
// its events up to Ended.
func Start(p Program) (*Successor, error) {
	s, err := start(p)
	if err != nil {
		return nil, fmt.Errorf("starting a successor: %w", err)
	}
	go s.watch()
	return s, nil
}

func start(p Program) (*Successor, error) {
	conn, successorEnd, err := socketPair()
	if err != nil {
		return nil, err
	}
	defer successorEnd.Close() //nolint:errcheck // the successor has a duplicate
	cmd, err := command(p, successorEnd)
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &Successor{cmd: cmd, conn: conn, events: make(chan Event, eventCount)}, nil
}

// command returns the command that starts p, which inherits the files of p and the socket connection.
func command(p Program, connection *os.File) (*exec.Cmd, error) {
	cmd := exec.CommandContext(context.Background(), p.Path, p.Args...) // not cancelled: the process may outlive this one
	inherited := inheritance{
		Version:    protocolVersion,
		Connection: firstInheritedDescriptor,
		Files:      make(map[string]int),
	}
	cmd.ExtraFiles = []*os.File{connection}
	for name, file := range p.Files {
		inherited.Files[name] = firstInheritedDescriptor + len(cmd.ExtraFiles)
		cmd.ExtraFiles = append(cmd.ExtraFiles, file)
	}
	encoded, err := json.Marshal(inherited)
	if err != nil {
		return nil, err
	}
	cmd.Env = append(FilterEnvironment(p.Env), EnvironmentVariable+"="+string(encoded))
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	if p.Log != nil {
		cmd.Stdout = p.Log
		cmd.Stderr = p.Log
	}
	return cmd, nil
}

// FilterEnvironment returns env without the variables that are intended only for this process: EnvironmentVariable and those of
// systemd's socket activation and watchdog.
func FilterEnvironment(env []string) []string {
	var inherited []string
	for _, variable := range env {
		name, _, _ := strings.Cut(variable, "=")
		switch name {
		case EnvironmentVariable, "LISTEN_FDS", "LISTEN_PID", "LISTEN_FDNAMES", "WATCHDOG_PID":
		default:
			inherited = append(inherited, variable)
		}
	}
	return inherited
}

// socketPair returns two connected sockets: one for this process and one that the successor inherits.
func socketPair() (conn net.Conn, successorEnd *os.File, err error) {
	descriptors, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	file := os.NewFile(uintptr(descriptors[0]), "successor")
	defer file.Close() //nolint:errcheck // net.FileConn duplicates the descriptor
	successorEnd = os.NewFile(uintptr(descriptors[1]), "predecessor")
	if conn, err = net.FileConn(file); err != nil {
		return nil, nil, errors.Join(err, successorEnd.Close())
	}
	return conn, successorEnd, nil
}

// watch sends the successor's events until it has ended.
func (s *Successor) watch() {
	connErr := s.receiveEvents()
	isConnectionClosed := errors.Is(connErr, io.EOF) || errors.Is(connErr, net.ErrClosed)
	if !isConnectionClosed {
		s.cmd.Process.Kill() // the connection failed or a message violated the protocol, so later messages are not reliable
	}
	err := s.cmd.Wait()
	switch {
	case err != nil:
		s.endCause = fmt.Errorf("process %d: %w", s.PID(), err)
	case !errors.Is(connErr, io.EOF):
		s.endCause = fmt.Errorf("process %d: %w", s.PID(), connErr)
	default:
		s.endCause = fmt.Errorf("process %d ended", s.PID())
	}
	s.conn.Close()
	s.events <- Ended
	close(s.events)
}

// receiveEvents reads the successor's messages and sends them as events. It returns the error that ended this: io.EOF if
// the successor has closed its connection, as it does when it ends.
func (s *Successor) receiveEvents() error {
	next := Prepared
	for {
		kind, _, err := readMessage(s.conn)
		if err != nil {
			return err
		}
		expected, ok := successorMessages[next]
		if !ok || kind != expected {
			return fmt.Errorf("it sent the message %q out of order", byte(kind))
		}
		s.events <- next
		next++
	}
}

// successorMessages maps the events to the messages that report them. Ended has no message.
var successorMessages = map[Event]messageKind{
	Prepared: messagePrepared,
	TookOver: messageTookOver,
}

// PID returns the process id of the successor.
func (s *Successor) PID() int { return s.cmd.Process.Pid }

// Events returns the channel of the successor's events, which is closed after Ended.
func (s *Successor) Events() <-chan Event { return s.events }

// Err returns why the successor ended. It may only be called after Ended was received.
func (s *Successor) Err() error { return s.endCause }

// SendCheckpoint sends an encoded checkpoint.
func (s *Successor) SendCheckpoint(checkpoint []byte) error {
	return s.send(messageCheckpoint, checkpoint)
}

// SendFinalCheckpoint sends the encoded checkpoint with the remaining quota at this process's end. The successor ignores
// any later message.
func (s *Successor) SendFinalCheckpoint(checkpoint []byte) error {
	return s.send(messageFinalCheckpoint, checkpoint)
}

func (s *Successor) send(kind messageKind, body []byte) error {
	if err := writeMessage(s.conn, kind, body); err != nil {
		return fmt.Errorf("sending a message to the successor: %w", err)
	}
	return nil
}

// Signal sends a signal to the successor.
func (s *Successor) Signal(sig os.Signal) error { return s.cmd.Process.Signal(sig) }

// Kill kills the successor. The event Ended follows.
func (s *Successor) Kill() {
	s.killOnce.Do(func() { s.cmd.Process.Kill() })
}
