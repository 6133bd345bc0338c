// Package process starts processes of the program and has faults befall them: killed, paused, with
// a state directory that is full or read-only, with a clock that is wrong. It signals only what it
// started, by process group, so that a successor that a process started itself is reached too.
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

// Process is a program that can be started again and again with the same arguments. Its fields are
// not changed once it has been started; its methods are safe for concurrent use.
type Process struct {
	Path string
	Args []string
	Env  []string // further variables, "K=V"
	Dir  string   // in which it runs; "" is this process's
	Log  string   // a file to which all that it writes is added; "" is nowhere
	// State is the directory that Full and ReadOnly are about. A process that has one runs without
	// the capabilities by which root passes over the modes of files.
	State string
	// ClockEnv names the variable by which it is told at its start how far its clock is ahead, as
	// 1m30s; "" is none.
	ClockEnv string
	// OnClock is told the same while it runs; nil is nobody.
	OnClock func(offset time.Duration) error

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{} // closed once cmd has ended
	err      error         // with which it did
	starts   int
	full     bool
	readOnly bool
	mode     os.FileMode // of State before it was read-only
	offset   time.Duration
	paused   bool
}

// ErrRuns is of a start of what runs, ErrNone of a signal to what doesn't.
var (
	ErrRuns = errors.New("the process runs already")
	ErrNone = errors.New("the process does not run")
)

// Start starts it; faults of its directory and clock that are in force stay so.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return ErrRuns
	}
	cmd := exec.CommandContext(context.Background(), p.Path, p.Args...) // until it is killed
	cmd.Dir = p.Dir
	cmd.Env = append(os.Environ(), p.Env...)
	if p.ClockEnv != "" {
		cmd.Env = append(cmd.Env, p.ClockEnv+"="+p.offset.String())
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	// Its output comes through a pipe, as a log file of its own would be full too (RLIMIT_FSIZE).
	// A successor keeps the pipe open: so it is read until all of the group have ended.
	in, out, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("starting %s: %w", p.Path, err)
	}
	log := io.WriteCloser(discard{})
	if p.Log != "" {
		if log, err = os.OpenFile(p.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
			_ = errors.Join(in.Close(), out.Close()) // a pipe
			return fmt.Errorf("starting %s: %w", p.Path, err)
		}
	}
	cmd.Stdout, cmd.Stderr = out, out
	if p.State != "" {
		err = startBounded(cmd)
	} else {
		err = cmd.Start()
	}
	_ = out.Close() // a pipe's end, which the process has
	if err != nil {
		_ = errors.Join(in.Close(), log.Close()) // nothing was written
		return fmt.Errorf("starting %s: %w", p.Path, err)
	}
	go func() {
		_, _ = io.Copy(log, in)
		_ = errors.Join(in.Close(), log.Close()) // the log is for people; its process has ended
	}()
	done := make(chan struct{})
	p.cmd, p.done, p.paused = cmd, done, false
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

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) Close() error                { return nil }

// runs tells whether any process of the group does. The caller holds mu.
func (p *Process) runs() bool {
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

// group are the processes that live of what was started last: itself and its successors.
func (p *Process) group() []int { return groupOf(p.cmd.Process.Pid) }

// PID is the process that was started last; 0 before the first.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Starts is how often it was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Runs tells whether it runs, itself or a successor.
func (p *Process) Runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs()
}

// Signal sends a signal to it and to its successors.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.signal(s)
}

func (p *Process) signal(s syscall.Signal) error {
	if !p.runs() {
		return ErrNone
	}
	// The group's id can't be another's as long as a process of it is there, and the one that was
	// started is either there or not waited for.
	if err := syscall.Kill(-p.cmd.Process.Pid, s); err != nil {
		return fmt.Errorf("signal %v to process %d: %w", s, p.cmd.Process.Pid, err)
	}
	return nil
}

// Kill ends it by SIGKILL and waits until it is gone; none is there to end is no error.
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
	exitTimeout      = 20 * time.Second
	exitPollInterval = time.Millisecond
)

// Pause stops it in its steps (SIGSTOP), Continue has it go on.
func (p *Process) Pause() error { return p.pause(true) }

// Continue has it go on.
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

// Wait waits until the process that was started last has ended, and tells how; its successors may
// go on.
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

// Gone waits until it and all its successors have ended.
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

// Stop ends it by SIGTERM, and by SIGKILL where it is still there after a time.
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
		return errors.Join(fmt.Errorf("killed after %v: %w", timeout, err), p.Kill())
	}
	return nil
}

// SetClock has its clock be ahead by a time.
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

// String names it for events.
func (p *Process) String() string { return "process " + strconv.Itoa(p.PID()) }
