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
	maxInstances      = 1000
	minRestartBackoff = 500 * time.Millisecond // initial delay before an instance restarts; doubles after each failure
	maxRestartBackoff = 30 * time.Second
	stableTime        = 20 * time.Second // an instance that has run for longer resets its backoff
	lockPollInterval  = 250 * time.Millisecond
)

// Options are the options of Start.
type Options struct {
	Program      string   // absolute path of the executable
	Env          []string // environment of the instances; nil stands for that of this process
	Config       string   // path of the configuration file; each instance has a copy of it
	Dir          string   // parent of the instances' directories
	Instances    int
	GroupSize    int    // group size passed to the instances; 0 stands for Instances
	Host         string // host on which the instances listen
	Port         int    // of the first instance; the others use the ports that follow; 0 picks free ports
	StartTimeout time.Duration
}

// Run is a fleet of supervised processes on this machine. Its methods are safe for concurrent use.
type Run struct {
	Members []Member // indexed by instance number

	options     Options
	ctx         context.Context // done once the fleet stops
	stop        context.CancelFunc
	supervisors sync.WaitGroup
	lock        *os.File // lock of the fleet's directory

	mu    sync.Mutex
	addrs []string // client addresses, indexed by instance number
}

// Start starts all instances and waits until they are ready. It takes over the supervision of instances that already
// run.
func Start(ctx context.Context, o Options) (*Run, error) {
	if o.Instances < 1 || o.Instances > maxInstances {
		return nil, fmt.Errorf("fleet: %d instances, want 1 to %d", o.Instances, maxInstances)
	}
	if o.GroupSize == 0 {
		o.GroupSize = o.Instances
	}
	text, err := os.ReadFile(o.Config)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if _, err := config.Parse(o.Config, text); err != nil {
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
	isRunning := make([]bool, o.Instances)
	for i := range o.Instances {
		r.Members = append(r.Members, Member{strconv.Itoa(i), manage.Client{Path: filepath.Join(r.directory(i), controlSocketName)}})
		r.addrs[i] = net.JoinHostPort(o.Host, strconv.Itoa(portOf(o.Port, i)))
		if isRunning[i], err = r.prepare(i, text); err != nil {
			_ = r.lock.Close() // the lock file has no content that could be lost
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	for i := range o.Instances {
		r.supervisors.Go(func() { r.supervise(i) })
	}
	if err := r.awaitReady(ctx, isRunning); err != nil {
		return nil, err
	}
	return r, nil
}

// awaitReady waits until all instances are in their desired state, and stores their addresses. If an instance that
// already ran does not get there, it logs that and continues, since the others can serve. If another instance does not,
// it stops the instances that this process has started and returns the error.
func (r *Run) awaitReady(ctx context.Context, wasRunning []bool) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.StartTimeout)
	defer cancel()
	for i, m := range r.Members {
		status, err := awaitStatus(ctx, m, func(s manage.Status) bool { return s.IsAsDesired() })
		switch {
		case err == nil && len(status.Listeners) > 0:
			r.mu.Lock()
			r.addrs[i] = status.Listeners[0] // a restart listens on the same address
			r.mu.Unlock()
		case err != nil && wasRunning[i]:
			slog.Warn("fleet: instance that was already running is not ready", "instance", i, "err", err)
		case err != nil:
			_ = r.stopInstances(time.Second, func(i int) bool { return !wasRunning[i] }) // the error below is returned instead
			return fmt.Errorf("fleet: instance %d: %w; see its log %s", i, err, filepath.Join(r.directory(i), logName))
		}
	}
	return nil
}

// portOf returns the port of instance i, or 0 for any port.
func portOf(first, i int) int {
	if first == 0 {
		return 0
	}
	return first + i
}

// directory returns the directory of instance i.
func (r *Run) directory(i int) string { return filepath.Join(r.options.Dir, strconv.Itoa(i)) }

// Addr returns the address on which clients reach an instance.
func (r *Run) Addr(i int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addrs[i]
}

// supervise restarts an instance whenever it ends, until the fleet is stopped. It also restarts an instance whose
// desired state is drained: that process accepts no clients, but can receive the command to serve.
func (r *Run) supervise(i int) {
	backoff := time.Duration(0)
	isDrained := false
	for {
		r.awaitProcessEnd(i) // waits for a process of an earlier supervisor, or for a successor
		if r.ctx.Err() != nil {
			return
		}
		startedAt := time.Now()
		err := r.runProcess(i)
		r.awaitProcessEnd(i)
		if r.ctx.Err() != nil {
			return
		}
		if err == nil || time.Since(startedAt) > stableTime { // a process that exits without an error was stopped on purpose
			backoff = 0
		}
		wasDrained := isDrained
		isDrained = r.desiredState(i).Target.Drained
		if isDrained && !wasDrained {
			slog.Info("fleet: desired state of the instance is drained, restarting it drained", "instance", i)
			continue
		}
		backoff = min(max(2*backoff, minRestartBackoff), maxRestartBackoff)
		slog.Warn("fleet: instance ended, restarting", "instance", i, "in", backoff, "err", err)
		select {
		case <-time.After(backoff):
		case <-r.ctx.Done():
		}
	}
}

// runProcess runs an instance's process until it ends.
func (r *Run) runProcess(i int) error {
	log, err := os.OpenFile(filepath.Join(r.directory(i), logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // only the instance writes to the log, by its own descriptor
	cmd := r.command(i)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	go func() { // also stops a process that does not answer on its control socket yet
		select {
		case <-r.ctx.Done():
			_ = cmd.Process.Signal(syscall.SIGTERM) // fails only if the process has ended
		case <-done:
		}
	}()
	return cmd.Wait()
}

// command returns the command that runs an instance. The process gets its own process group, so that signals from the
// terminal reach only the fleet's supervisor, which then drains the instances.
func (r *Run) command(i int) *exec.Cmd {
	dir := r.directory(i)
	cmd := exec.CommandContext(context.Background(), r.program(i), "serve",
		"--config", filepath.Join(dir, configName),
		"--listen", r.Addr(i),
		"--instances", strconv.Itoa(r.options.GroupSize),
		"--instance", strconv.Itoa(i%r.options.GroupSize),
		"--state", filepath.Join(dir, stateName),
		"--pid-file", filepath.Join(dir, pidName),
		"--control", filepath.Join(dir, controlSocketName))
	env := r.options.Env
	if env == nil {
		env = os.Environ()
	}
	cmd.Env = upgrade.FilterEnvironment(env)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd
}

// awaitProcessEnd waits while a process that is not a child of this one runs as instance i.
func (r *Run) awaitProcessEnd(i int) {
	for r.runningProcess(i) != 0 {
		select {
		case <-time.After(lockPollInterval):
		case <-r.ctx.Done():
			return
		}
	}
}

// Stop drains all instances, and kills those that have not ended within the timeout.
func (r *Run) Stop(timeout time.Duration) error {
	return r.stopInstances(timeout, func(int) bool { return true })
}

// stopInstances stops the matching instances. The others continue without a supervisor.
func (r *Run) stopInstances(timeout time.Duration, matches func(i int) bool) error {
	r.stop()
	var stops sync.WaitGroup
	errs := make([]error, len(r.Members))
	for i := range r.Members {
		if matches(i) {
			stops.Go(func() { errs[i] = r.stopInstance(i, timeout) })
		}
	}
	stops.Wait()
	r.supervisors.Wait()
	_ = r.lock.Close() // the lock file has no content that could be lost
	return errors.Join(errs...)
}

// stopInstance drains an instance, and kills it if it has not ended within the timeout.
func (r *Run) stopInstance(i int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	status, err := r.Members[i].Client.Drain(ctx)
	pid := status.PID
	if err != nil { // the instance does not run, or does not answer
		pid = r.runningProcess(i)
		if pid <= 0 {
			return nil
		}
		_ = syscall.Kill(pid, syscall.SIGTERM) // fails only if the process has ended
	}
	for !hasEnded(pid) {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			_ = syscall.Kill(pid, syscall.SIGKILL) // fails only if the process has ended
			return fmt.Errorf("instance %d did not end within %v and was killed", i, timeout)
		}
	}
	return nil
}
