// Package process starts processes of the program and injects faults into them: it kills and pauses
// them, makes their state directory full or read-only and steps their clock. It signals only the
// process groups it started, which include the successors that a process starts itself.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Process is a program that can be started repeatedly with the same arguments. Its fields must not
// be changed once it has been started; its methods are safe for concurrent use.
type Process struct {
	Path string
	Args []string
	Env  []string // additional environment variables, "K=V"
	Dir  string   // working directory; "" is that of this process
	Log  string   // file to which standard output and error are appended; "" discards them
	// State is the directory of SetFull and SetReadOnly. A process that has one runs without
	// CAP_DAC_OVERRIDE, by which root bypasses file modes.
	State string
	// ClockEnv is the environment variable that carries the clock offset at the start, such as
	// 1m30s; "" is none.
	ClockEnv string
	// OnClock is called with the clock offset when SetClock changes it; nil is none.
	OnClock func(offset time.Duration) error

	mu       sync.Mutex
	cmd      *exec.Cmd     // the last one started; nil before the first start
	done     chan struct{} // closed once cmd has ended
	err      error         // result of cmd, once done is closed
	starts   int
	full     bool
	readOnly bool
	mode     os.FileMode   // of State before it was made read-only
	offset   time.Duration // of the clock; positive is ahead
	paused   bool
}

var (
	// ErrRuns is the error of starting a process that runs.
	ErrRuns = errors.New("process is already running")
	// ErrNone is the error of signaling or awaiting a process that does not run.
	ErrNone = errors.New("process is not running")
)

// Start starts the process. Faults of its state directory and clock stay in force.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		return ErrRuns
	}
	cmd := p.command()
	if err := p.startLogged(cmd); err != nil {
		return fmt.Errorf("starting %s: %w", p.Path, err)
	}
	done := make(chan struct{})
	p.cmd = cmd
	p.done = done
	p.paused = false
	p.starts++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.err = err
		close(done)
	}()
	if p.full {
		return p.limit(true)
	}
	return nil
}

// command returns the command of the next start, in a process group of its own.
func (p *Process) command() *exec.Cmd {
	cmd := exec.CommandContext(context.Background(), p.Path, p.Args...) // runs until it is killed
	cmd.Dir = p.Dir
	cmd.Env = append(os.Environ(), p.Env...)
	if p.ClockEnv != "" {
		cmd.Env = append(cmd.Env, p.ClockEnv+"="+p.offset.String())
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd
}

// startLogged starts a command and copies its output to the log. The output passes through a pipe,
// as RLIMIT_FSIZE would apply to a log file that the command writes itself. Successors inherit the
// pipe, so it is read until the complete group has ended.
func (p *Process) startLogged(cmd *exec.Cmd) error {
	in, out, err := os.Pipe()
	if err != nil {
		return err
	}
	log := io.WriteCloser(discard{})
	if p.Log != "" {
		if log, err = os.OpenFile(p.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
			_ = errors.Join(in.Close(), out.Close()) // nothing was written to the pipe
			return err
		}
	}
	cmd.Stdout = out
	cmd.Stderr = out
	if p.State != "" {
		err = startWithoutDACOverride(cmd)
	} else {
		err = cmd.Start()
	}
	_ = out.Close() // the process has its own descriptor of the pipe
	if err != nil {
		_ = errors.Join(in.Close(), log.Close()) // nothing was written
		return err
	}
	go func() {
		_, _ = io.Copy(log, in)
		_ = errors.Join(in.Close(), log.Close()) // the log is diagnostic only
	}()
	return nil
}

// discard is the log of a process without a log file.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) Close() error                { return nil }

// isRunning reports whether any process of the group runs. The caller holds mu.
func (p *Process) isRunning() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return len(p.group()) > 0
	default:
		return true
	}
}

// group returns the ids of the running processes of the last start: the process and its successors.
func (p *Process) group() []int { return groupOf(p.cmd.Process.Pid) }

// PID returns the id of the process that was started last, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Starts returns the number of successful starts.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Runs reports whether the process or a successor of it runs.
func (p *Process) Runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isRunning()
}

// Signal sends a signal to the process and its successors. It returns ErrNone if none of them runs.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.signal(s)
}

// signal is Signal; the caller holds mu.
func (p *Process) signal(s syscall.Signal) error {
	if !p.isRunning() {
		return ErrNone
	}
	// The kernel doesn't reuse the id of a group that has a running process.
	if err := syscall.Kill(-p.cmd.Process.Pid, s); err != nil {
		return fmt.Errorf("signal %v to process %d: %w", s, p.cmd.Process.Pid, err)
	}
	return nil
}

// Kill sends SIGKILL and waits until the process and its successors have ended. It returns nil if
// none of them runs.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	if errors.Is(err, ErrNone) {
		return nil
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	return p.Gone(ctx)
}

const (
	exitTimeout      = 20 * time.Second // from SIGKILL to the end of the group
	exitPollInterval = time.Millisecond
)

// Pause stops the process and its successors by SIGSTOP.
func (p *Process) Pause() error { return p.pause(true) }

// Continue resumes a paused process by SIGCONT.
func (p *Process) Continue() error { return p.pause(false) }

func (p *Process) pause(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == on {
		return nil
	}
	s := syscall.SIGCONT
	if on {
		s = syscall.SIGSTOP
	}
	if err := p.signal(s); err != nil {
		return err
	}
	p.paused = on
	return nil
}

// Wait waits until the process that was started last has ended and returns its result, as
// exec.Cmd.Wait does. Its successors may still run.
func (p *Process) Wait() error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return ErrNone
	}
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Gone waits until the process and all its successors have ended, or returns the context's error.
func (p *Process) Gone(ctx context.Context) error {
	for p.Runs() {
		select {
		case <-time.After(exitPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("process %d: %w", p.PID(), ctx.Err())
		}
	}
	return nil
}

// Stop sends SIGTERM and, if the process or a successor still runs after the timeout, SIGKILL and
// returns an error.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.Continue()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		if errors.Is(err, ErrNone) {
			return nil
		}
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := p.Gone(ctx); err != nil {
		return errors.Join(fmt.Errorf("sent SIGKILL, as the process group did not exit within %v of SIGTERM: %w", timeout, err), p.Kill())
	}
	return nil
}

// SetClock sets the clock offset, positive for a clock that is ahead: for further starts by ClockEnv,
// and for the running process by OnClock.
func (p *Process) SetClock(offset time.Duration) error {
	p.mu.Lock()
	p.offset = offset
	notify := p.OnClock
	p.mu.Unlock()
	if notify == nil {
		return nil
	}
	return notify(offset)
}

// String returns the name of the process in event logs.
func (p *Process) String() string { return "process " + strconv.Itoa(p.PID()) }
