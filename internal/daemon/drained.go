package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"

	"lockflow/internal/config"
	"lockflow/internal/desiredstate"
	"lockflow/internal/lifecycle"
	"lockflow/internal/manage"
	"lockflow/internal/node"
	"lockflow/internal/supervise"
)

// drainedDaemon is a daemon whose desired state is drained. It holds the locks of its files and answers on its control
// socket, so that coordinators can claim it and send it commands, but it has no listeners. It remains drained after a
// restart.
type drainedDaemon struct {
	daemon         *daemon
	stopRequested  chan struct{} // buffered for one request
	serveRequested chan struct{} // closed, with mu held, when serving is requested
	resumed        chan struct{} // closed when resume has returned
	resumeErr      error         // result of resume; may be read after resumed is closed

	mu sync.Mutex // guards d.member and d.cfg until serveRequested is closed
}

var (
	_ manage.Daemon = (*drainedDaemon)(nil)
	_ manage.Daemon = (*daemon)(nil)
)

var errIsDrained = errors.New("the daemon is drained: it has to serve first")

// runDrained waits until the daemon is requested to serve. It returns nil if ctx ends or a request on the control socket
// ends the daemon before that.
func (d *daemon) runDrained(ctx context.Context) (*drainedDaemon, error) {
	if d.cfg.Process.ControlSocket == "" {
		return nil, errors.New("desired state is drained, but process.control is not set, so serving cannot be requested")
	}
	r := &drainedDaemon{
		daemon:         d,
		stopRequested:  make(chan struct{}, 1),
		serveRequested: make(chan struct{}),
		resumed:        make(chan struct{}),
	}
	if err := d.listenControl(r, false); err != nil {
		return nil, err
	}
	slog.Info("lifecycle transition", "from", lifecycle.Starting, "to", manage.StateDrained,
		"cause", "the desired state is drained: lockflow fleet serve undoes that")
	logSupervisor(supervise.NotifyReady("drained, as desired"))

	watchdogContext, endWatchdog := context.WithCancel(ctx)
	var watchdog sync.WaitGroup
	watchdog.Go(func() { runWatchdog(watchdogContext, func(context.Context) bool { return true }) })
	defer watchdog.Wait()
	defer endWatchdog()
	if r.awaitServeRequest(ctx) {
		return r, nil
	}
	return nil, nil
}

// awaitServeRequest returns true when the daemon is requested to serve, and false when it is to end. It ignores signals
// for a reload or an upgrade, because the configuration file is read when the daemon resumes.
func (r *drainedDaemon) awaitServeRequest(ctx context.Context) bool {
	reloads := r.daemon.opts.ReloadSignals
	upgrades := r.daemon.opts.UpgradeSignals
	for {
		select {
		case _, ok := <-reloads:
			if !ok {
				reloads = nil
			}
		case _, ok := <-upgrades:
			if !ok {
				upgrades = nil
			}
		case <-r.serveRequested:
			return true
		case <-ctx.Done():
			return false
		case <-r.stopRequested:
			return false
		}
	}
}

// resume loads the configuration and builds the node.
func (r *drainedDaemon) resume() (err error) {
	defer func() {
		r.resumeErr = err
		close(r.resumed)
	}()
	d := r.daemon
	previous := d.cfg.Process
	if d.cfg, err = d.opts.LoadConfig(); err != nil {
		return err
	}
	if !haveSamePaths(previous, d.cfg.Process) {
		return errors.New("process.state or process.control has changed while the daemon was drained: start it again")
	}
	return d.build()
}

// haveSamePaths reports whether a and b have the same state directory and control socket.
func haveSamePaths(a, b config.Process) bool {
	return a.StateDir == b.StateDir && a.ControlSocket == b.ControlSocket
}

// awaitResume waits until resume has returned, and returns its result.
func (r *drainedDaemon) awaitResume(ctx context.Context) error {
	select {
	case <-r.resumed:
		return r.resumeErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *drainedDaemon) isResuming() bool {
	select {
	case <-r.serveRequested:
		return true
	default:
		return false
	}
}

// Status implements manage.Daemon.
func (r *drainedDaemon) Status() manage.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.daemon
	s := manage.Status{
		PID:                os.Getpid(),
		Program:            d.opts.Program,
		ConfigPath:         d.opts.ConfigPath,
		State:              manage.StateDrained,
		StartedAt:          d.startedAt,
		Listeners:          []string{},
		Services:           []node.Status{},
		RetiredServices:    []node.RetiredService{},
		OpenDescriptors:    openDescriptors(),
		MemoryKB:           residentMemoryKB(),
		DegradedConditions: d.conditions.list(),
	}
	if r.isResuming() {
		s.State = lifecycle.Starting.String()
	} else {
		s.ConfigHash = d.cfg.Hash
		d.member.addStatus(&s)
	}
	s.Statistics.Began = d.startedAt
	return s
}

// Reload implements manage.Daemon.
func (r *drainedDaemon) Reload(context.Context) error { return errIsDrained }

// Upgrade implements manage.Daemon.
func (r *drainedDaemon) Upgrade(context.Context, string) error { return errIsDrained }

// Drain implements manage.Daemon. It ends the process. A process that the supervisor starts in its place is drained too,
// as long as that is the desired state.
func (r *drainedDaemon) Drain(bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isResuming() {
		return busyError("the daemon starts")
	}
	select {
	case r.stopRequested <- struct{}{}:
	default:
	}
	return nil
}

// Serve implements manage.Daemon.
func (r *drainedDaemon) Serve(ctx context.Context) error {
	if err := r.requestServe(); err != nil {
		return err
	}
	return r.awaitResume(ctx)
}

func (r *drainedDaemon) requestServe() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isResuming() {
		return nil
	}
	if err := r.daemon.member.setDrained(false); err != nil {
		return err
	}
	close(r.serveRequested)
	return nil
}

// Claim implements manage.Daemon.
func (r *drainedDaemon) Claim(ctx context.Context, claim desiredstate.Claim) error {
	r.mu.Lock()
	if !r.isResuming() {
		defer r.mu.Unlock()
		return r.daemon.member.grantEpoch(claim)
	}
	r.mu.Unlock()
	if err := r.awaitResume(ctx); err != nil {
		return err
	}
	return r.daemon.Claim(ctx, claim)
}

// RunCommand implements manage.Daemon. A command to serve ends when the daemon is ready.
func (r *drainedDaemon) RunCommand(ctx context.Context, command desiredstate.Command) error {
	isComplete, err := r.runCommand(command)
	if isComplete {
		return err
	}
	if err := r.awaitResume(ctx); err != nil {
		return err
	}
	return r.daemon.RunCommand(ctx, command)
}

// runCommand runs the part of a command that needs no node. If isComplete is false, the caller has to run the command on
// the resumed daemon.
func (r *drainedDaemon) runCommand(command desiredstate.Command) (isComplete bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isResuming() {
		return false, nil
	}
	m := r.daemon.member
	operation := command.Operation
	next, step, outcome, err := m.desiredState.Accept(command)
	switch {
	case err != nil:
		return true, err
	case step == desiredstate.StepAnswer:
		return true, outcomeError(outcome)
	case step == desiredstate.StepWait:
		return true, busyError("order %s is under way", command.ID)
	case operation.Kind == desiredstate.KindProgram || operation.Kind == desiredstate.KindRestart:
		return true, invalidError(errIsDrained.Error())
	}
	if err := m.save(next); err != nil {
		return true, err
	}
	slog.Info("command started while drained",
		"id", command.ID, "epoch", command.Epoch, "owner", command.Owner, "kind", operation.Kind)
	switch operation.Kind {
	case desiredstate.KindServe:
		close(r.serveRequested)
		return false, nil
	case desiredstate.KindSettings:
		err = r.replaceSettings(operation)
	}
	m.record(m.desiredState.Finish(err))
	return true, outcomeError(m.desiredState.LastOutcome())
}

// replaceSettings replaces the configuration file, which is read when the daemon resumes.
func (r *drainedDaemon) replaceSettings(operation desiredstate.Operation) error {
	d := r.daemon
	next, err := d.opts.ParseConfig([]byte(operation.Text))
	if err != nil {
		return err
	}
	if !haveSamePaths(d.cfg.Process, next.Process) {
		return fmt.Errorf("process.state and process.control can't change without a restart: %q, %q",
			next.Process.StateDir, next.Process.ControlSocket)
	}
	if err := desiredstate.ReplaceFile(d.opts.ConfigPath, []byte(operation.Text)); err != nil {
		return fmt.Errorf("replacing the settings: %w", err)
	}
	d.cfg = next
	return nil
}
