package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/manage"
	"lockflow/internal/upgrade"
)

const (
	controlSocketName = "control.sock"
	maxInstances      = 1000
	minRestartBackoff = 500 * time.Millisecond // pause before an instance starts again; doubles
	maxRestartBackoff = 30 * time.Second
	stableTime        = 20 * time.Second // after which it is the first again
	lockPollInterval  = 250 * time.Millisecond
)

// Options are what a fleet is run with.
type Options struct {
	Program      string   // absolute
	Env          []string // nil is this process's
	Config       string   // each instance has a copy of it
	Dir          string
	Instances    int
	GroupSize    int    // the group's size that instances are told; 0 is Instances
	Host         string // on which they listen
	Port         int    // of the first; the others follow; 0 is any
	StartTimeout time.Duration
}

// Run is a fleet of processes of this machine. Its methods are safe for concurrent use.
type Run struct {
	options     Options
	Members     []Member
	ctx         context.Context
	stop        context.CancelFunc
	supervisors sync.WaitGroup

	lock *os.File // one keeper a directory

	mu    sync.Mutex
	addrs []string
}

// Start starts all instances and waits until they are ready.
func Start(ctx context.Context, o Options) (*Run, error) {
	if o.Instances < 1 || o.Instances > maxInstances {
		return nil, fmt.Errorf("fleet: %d instances are none of 1 to %d", o.Instances, maxInstances)
	}
	if o.GroupSize == 0 {
		o.GroupSize = o.Instances
	}
	raw, err := os.ReadFile(o.Config)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if _, err := config.Parse(o.Config, raw); err != nil {
		return nil, err
	}
	if o.Dir, err = filepath.Abs(o.Dir); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	r := &Run{options: o, addrs: make([]string, o.Instances)}
	if r.lock, err = lockDirectory(o.Dir); err != nil {
		return nil, err
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	running := make([]bool, o.Instances)
	for i := range o.Instances {
		r.Members = append(r.Members, Member{strconv.Itoa(i), manage.Client{Path: filepath.Join(r.directory(i), controlSocketName)}})
		r.addrs[i] = net.JoinHostPort(o.Host, strconv.Itoa(portOf(o.Port, i)))
		if running[i], err = r.prepare(i, raw); err != nil {
			_ = r.lock.Close() // nothing is written to it
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	for i := range o.Instances {
		r.supervisors.Go(func() { r.supervise(i) })
	}
	ready, cancel := context.WithTimeout(ctx, o.StartTimeout)
	defer cancel()
	for i, m := range r.Members {
		s, err := awaitStatus(ready, m, func(s manage.Status) bool { return s.IsAsDesired() })
		switch {
		case err == nil && len(s.Listeners) > 0:
			r.mu.Lock()
			r.addrs[i] = s.Listeners[0] // it starts at the same address again
			r.mu.Unlock()
		case err != nil && running[i]: // what others serve is not ended for it
			slog.Warn("fleet: an instance that ran already does not serve", "instance", i, "err", err)
		case err != nil:
			_ = r.stopInstances(time.Second, func(i int) bool { return !running[i] }) // the error that came first counts
			return nil, fmt.Errorf("fleet: instance %d: %w; its log is %s", i, err, filepath.Join(r.directory(i), "log"))
		}
	}
	return r, nil
}

func portOf(first, i int) int {
	if first == 0 {
		return 0
	}
	return first + i
}

func (r *Run) directory(i int) string { return filepath.Join(r.options.Dir, strconv.Itoa(i)) }

// Addr is where clients reach an instance.
func (r *Run) Addr(i int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addrs[i]
}

// supervise has an instance run until the fleet is stopped. One that is wanted drained runs too, as a process
// that takes no clients and can be told to serve.
func (r *Run) supervise(i int) {
	pause, drained := time.Duration(0), false
	for {
		r.awaitProcessEnd(i) // what an earlier keeper has started, or a successor
		if r.ctx.Err() != nil {
			return
		}
		since := time.Now()
		err := r.runProcess(i)
		r.awaitProcessEnd(i)
		if r.ctx.Err() != nil {
			return
		}
		if err == nil || time.Since(since) > stableTime { // one that was told to end is no failure
			pause = 0
		}
		was := drained
		if drained = r.desiredState(i).Target.Drained; drained && !was {
			slog.Info("fleet: an instance is wanted drained, and is kept so", "instance", i)
			continue
		}
		pause = min(max(2*pause, minRestartBackoff), maxRestartBackoff)
		slog.Warn("fleet: an instance has ended and starts again", "instance", i, "in", pause, "err", err)
		select {
		case <-time.After(pause):
		case <-r.ctx.Done():
		}
	}
}

// runProcess runs an instance's process to its end.
func (r *Run) runProcess(i int) error {
	dir := r.directory(i)
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process writes to it, not this one
	cmd := exec.CommandContext(context.Background(), r.program(i), "serve", "--config", filepath.Join(dir, "lockflow.toml"), "--listen", r.Addr(i),
		"--instances", strconv.Itoa(r.options.GroupSize), "--instance", strconv.Itoa(i%r.options.GroupSize), "--state", filepath.Join(dir, "state"),
		"--pid-file", filepath.Join(dir, "pid"), "--control", filepath.Join(dir, controlSocketName))
	env := r.options.Env
	if env == nil {
		env = os.Environ()
	}
	cmd.Env = upgrade.Environment(env)
	cmd.Stdout, cmd.Stderr = log, log
	// What the terminal sends to this process is not theirs: they drain when they are told.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	go func() { // one that can't be asked yet is told in this way
		select {
		case <-r.ctx.Done():
			_ = cmd.Process.Signal(syscall.SIGTERM) // one that has ended needs none
		case <-done:
		}
	}()
	return cmd.Wait()
}

// awaitProcessEnd waits while a process that is not this one's child runs as an instance.
func (r *Run) awaitProcessEnd(i int) {
	for r.runningProcess(i) != 0 {
		select {
		case <-time.After(lockPollInterval):
		case <-r.ctx.Done():
			return
		}
	}
}

// Stop drains all instances, and kills those that have not ended in time.
func (r *Run) Stop(timeout time.Duration) error {
	return r.stopInstances(timeout, func(int) bool { return true })
}

// stopInstances is Stop of some instances; the others go on without a keeper.
func (r *Run) stopInstances(timeout time.Duration, which func(i int) bool) error {
	r.stop()
	var ends sync.WaitGroup
	errs := make([]error, len(r.Members))
	for i, m := range r.Members {
		if !which(i) {
			continue
		}
		ends.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			s, err := m.Client.Drain(ctx)
			if err != nil { // it doesn't run, or doesn't hear
				if s.PID = r.runningProcess(i); s.PID <= 0 {
					return
				}
				_ = syscall.Kill(s.PID, syscall.SIGTERM) // one that has ended needs none
			}
			for !hasEnded(s.PID) {
				select {
				case <-time.After(pollInterval):
				case <-ctx.Done():
					_ = syscall.Kill(s.PID, syscall.SIGKILL) // as above
					errs[i] = fmt.Errorf("instance %d did not end within %v and was killed", i, timeout)
					return
				}
			}
		})
	}
	ends.Wait()
	r.supervisors.Wait()
	_ = r.lock.Close() // nothing is written to it
	return errors.Join(errs...)
}
