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
	controlName  = "control.sock"
	instancesMax = 1000
	againFirst   = 500 * time.Millisecond // pause before an instance starts again; doubles
	againMost    = 30 * time.Second
	calm         = 20 * time.Second // after which it is the first again
	followEvery  = 250 * time.Millisecond
)

// Options are what a fleet is run with.
type Options struct {
	Program   string   // absolute
	Env       []string // nil is this process's
	Config    string   // each instance has a copy of it
	Dir       string
	Instances int
	Told      int    // the group's size that instances are told; 0 is Instances
	Host      string // on which they listen
	Port      int    // of the first; the others follow; 0 is any
	Within    time.Duration
}

// Run is a fleet of processes of this machine. Its methods are safe for concurrent use.
type Run struct {
	opts    Options
	Members []Member
	ctx     context.Context
	stop    context.CancelFunc
	parts   sync.WaitGroup

	lock *os.File // one keeper a directory

	mu    sync.Mutex
	addrs []string
}

// Start starts all instances and waits until they are ready.
func Start(ctx context.Context, o Options) (*Run, error) {
	if o.Instances < 1 || o.Instances > instancesMax {
		return nil, fmt.Errorf("fleet: %d instances are none of 1 to %d", o.Instances, instancesMax)
	}
	if o.Told == 0 {
		o.Told = o.Instances
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
	r := &Run{opts: o, addrs: make([]string, o.Instances)}
	if r.lock, err = lockDir(o.Dir); err != nil {
		return nil, err
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	running := make([]bool, o.Instances)
	for i := range o.Instances {
		r.Members = append(r.Members, Member{strconv.Itoa(i), manage.Client{Path: filepath.Join(r.dir(i), controlName)}})
		r.addrs[i] = net.JoinHostPort(o.Host, strconv.Itoa(port(o.Port, i)))
		if running[i], err = r.prepare(i, raw); err != nil {
			_ = r.lock.Close() // nothing is written to it
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	for i := range o.Instances {
		r.parts.Go(func() { r.keep(i) })
	}
	ready, cancel := context.WithTimeout(ctx, o.Within)
	defer cancel()
	for i, m := range r.Members {
		s, err := await(ready, m, func(s manage.Status) bool { return s.IsAsDesired() })
		switch {
		case err == nil && len(s.Listeners) > 0:
			r.mu.Lock()
			r.addrs[i] = s.Listeners[0] // it starts at the same address again
			r.mu.Unlock()
		case err != nil && running[i]: // what others serve is not ended for it
			slog.Warn("fleet: an instance that ran already does not serve", "instance", i, "err", err)
		case err != nil:
			_ = r.end(time.Second, func(i int) bool { return !running[i] }) // the error that came first counts
			return nil, fmt.Errorf("fleet: instance %d: %w; its log is %s", i, err, filepath.Join(r.dir(i), "log"))
		}
	}
	return r, nil
}

func port(first, i int) int {
	if first == 0 {
		return 0
	}
	return first + i
}

func (r *Run) dir(i int) string { return filepath.Join(r.opts.Dir, strconv.Itoa(i)) }

// Addr is where clients reach an instance.
func (r *Run) Addr(i int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addrs[i]
}

// keep has an instance run until the fleet is stopped. One that is wanted drained runs too, as a process
// that takes no clients and can be told to serve.
func (r *Run) keep(i int) {
	pause, drained := time.Duration(0), false
	for {
		r.follow(i) // what an earlier keeper has started, or a successor
		if r.ctx.Err() != nil {
			return
		}
		since := time.Now()
		err := r.once(i)
		r.follow(i)
		if r.ctx.Err() != nil {
			return
		}
		if err == nil || time.Since(since) > calm { // one that was told to end is no failure
			pause = 0
		}
		was := drained
		if drained = r.desiredState(i).Target.Drained; drained && !was {
			slog.Info("fleet: an instance is wanted drained, and is kept so", "instance", i)
			continue
		}
		pause = min(max(2*pause, againFirst), againMost)
		slog.Warn("fleet: an instance has ended and starts again", "instance", i, "in", pause, "err", err)
		select {
		case <-time.After(pause):
		case <-r.ctx.Done():
		}
	}
}

// once runs an instance's process to its end.
func (r *Run) once(i int) error {
	dir := r.dir(i)
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process writes to it, not this one
	cmd := exec.CommandContext(context.Background(), r.program(i), "serve", "--config", filepath.Join(dir, "lockflow.toml"), "--listen", r.Addr(i),
		"--instances", strconv.Itoa(r.opts.Told), "--instance", strconv.Itoa(i%r.opts.Told), "--state", filepath.Join(dir, "state"),
		"--pid-file", filepath.Join(dir, "pid"), "--control", filepath.Join(dir, controlName))
	env := r.opts.Env
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

// follow waits while a process that is not this one's child runs as an instance.
func (r *Run) follow(i int) {
	for r.holder(i) != 0 {
		select {
		case <-time.After(followEvery):
		case <-r.ctx.Done():
			return
		}
	}
}

// Stop drains all instances, and kills those that have not ended in time.
func (r *Run) Stop(within time.Duration) error { return r.end(within, func(int) bool { return true }) }

// end is Stop of some instances; the others go on without a keeper.
func (r *Run) end(within time.Duration, which func(i int) bool) error {
	r.stop()
	var ends sync.WaitGroup
	errs := make([]error, len(r.Members))
	for i, m := range r.Members {
		if !which(i) {
			continue
		}
		ends.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), within)
			defer cancel()
			s, err := m.Client.Drain(ctx)
			if err != nil { // it doesn't run, or doesn't hear
				if s.PID = r.holder(i); s.PID <= 0 {
					return
				}
				_ = syscall.Kill(s.PID, syscall.SIGTERM) // one that has ended needs none
			}
			for !ended(s.PID) {
				select {
				case <-time.After(pollEvery):
				case <-ctx.Done():
					_ = syscall.Kill(s.PID, syscall.SIGKILL) // as above
					errs[i] = fmt.Errorf("instance %d did not end within %v and was killed", i, within)
					return
				}
			}
		})
	}
	ends.Wait()
	r.parts.Wait()
	_ = r.lock.Close() // nothing is written to it
	return errors.Join(errs...)
}
