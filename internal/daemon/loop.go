package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"lockflow/internal/config"
	"lockflow/internal/desiredstate"
	"lockflow/internal/lifecycle"
	"lockflow/internal/supervise"
)

// event is an event that another goroutine posts to the event loop.
type event interface {
	// handle processes the event in the goroutine of the event loop. An error ends the daemon.
	handle(d *daemon) error
}

// post sends an event to the event loop. The event is dropped if the loop has ended.
func (d *daemon) post(e event) {
	select {
	case d.events <- e:
	case <-d.loopEnded:
	}
}

// run runs the node and the event loop until the node has ended. It begins a drain when ctx ends.
func (d *daemon) run(ctx context.Context) error {
	defer d.goroutines.Wait()
	defer close(d.loopEnded)
	background, endBackground := context.WithCancel(context.Background())
	defer endBackground()
	serving, drain := context.WithCancel(context.Background())
	defer drain()
	d.startDrain = drain
	d.node.OnDrained = d.awaitFinalCheckpoint
	nodeEnded := make(chan error, 1)
	d.goroutines.Go(func() { nodeEnded <- d.node.Run(serving) })
	d.startBackground(background)
	d.advance(lifecycle.Listening{})
	return d.loop(ctx, nodeEnded)
}

// startBackground starts the goroutines that run until ctx ends.
func (d *daemon) startBackground(ctx context.Context) {
	d.goroutines.Go(func() { runWatchdog(ctx, d.node.Alive) })
	d.checkpointer.ownsFile.Store(d.predecessor == nil)
	d.checkpointer.interval.Store(int64(d.cfg.Process.CheckpointInterval))
	d.goroutines.Go(func() { d.saveCheckpoints(ctx) })
	d.goroutines.Go(func() { d.watchGroupSize(ctx) })
	d.startMetrics(ctx)
}

// runWatchdog notifies the supervisor's watchdog until ctx ends.
func runWatchdog(ctx context.Context, isAlive func(context.Context) bool) {
	if err := supervise.RunWatchdog(ctx, isAlive); err != nil {
		slog.Warn("watchdog notification failed", "err", err)
	}
}

// loop handles events until the node has ended. It sets a channel variable to nil when the channel is closed or has
// delivered its only event.
func (d *daemon) loop(ctx context.Context, nodeEnded <-chan error) error {
	stop := ctx.Done()
	ready := d.node.Ready()
	reloads := d.opts.ReloadSignals
	upgrades := d.opts.UpgradeSignals
	for {
		select {
		case <-ready:
			ready = nil
			d.nodeReady()
		case _, ok := <-reloads:
			if !ok {
				reloads = nil
				continue
			}
			d.advance(lifecycle.ReloadRequested{Cause: "SIGHUP"})
		case _, ok := <-upgrades:
			if !ok {
				upgrades = nil
				continue
			}
			d.handleUpgradeSignal()
		case <-stop:
			stop = nil
			d.advance(lifecycle.StopRequested{Cause: "stop requested"})
		case e := <-d.events:
			if err := d.handleEvent(e, nodeEnded); err != nil {
				return err
			}
		case err := <-nodeEnded:
			d.advance(lifecycle.Finished{Err: err})
			d.answerAllRequests(errors.New("the daemon has ended"))
			return err
		}
	}
}

// handleEvent handles one event. If that fails, it drains the node, waits for the node's end and returns both errors.
func (d *daemon) handleEvent(e event, nodeEnded <-chan error) error {
	err := e.handle(d)
	if err == nil {
		return nil
	}
	d.startDrain()
	for {
		select {
		case e := <-d.events:
			if f, ok := e.(drainFinished); ok {
				close(f.done) // no checkpoint is saved: the predecessor still owns the file
			}
		case nodeErr := <-nodeEnded:
			return errors.Join(err, nodeErr)
		}
	}
}

// nodeReady is called a single time, when every required service can serve.
func (d *daemon) nodeReady() {
	if d.predecessor != nil {
		go d.requestCheckpoint() // run does not wait for it: it may block beyond the end of the event loop
		return
	}
	d.servicesReady()
}

// servicesReady advances the lifecycle to ready and ends a running command to serve.
func (d *daemon) servicesReady() {
	d.advance(lifecycle.ServicesReady{})
	if d.running != nil && d.running.kind == desiredstate.KindServe && !d.running.isInherited {
		d.finishCommand(nil)
	}
}

func (d *daemon) handleUpgradeSignal() {
	if err := d.checkUpgrade(false); err != nil {
		slog.Warn("upgrade signal rejected", "err", err)
		return
	}
	d.advance(lifecycle.UpgradeRequested{Cause: "SIGUSR2"})
}

// advance passes an event to the state machine and performs the actions that it returns.
func (d *daemon) advance(e lifecycle.Event) {
	// The actions are copied because the machine reuses its slice and an action may call advance.
	actions := append([]lifecycle.Action(nil), d.machine.Handle(e)...)
	for _, a := range actions {
		d.perform(a)
	}
}

func (d *daemon) perform(a lifecycle.Action) {
	switch a := a.(type) {
	case lifecycle.LogTransition:
		slog.Info("lifecycle transition", "from", a.From, "to", a.To, "cause", a.Cause)
	case lifecycle.StartReload:
		d.runningReloads = d.pendingReloads
		d.pendingReloads = nil
		d.goroutines.Go(d.reload)
	case lifecycle.SpawnSuccessor:
		d.spawnSuccessor()
	case lifecycle.SendCheckpoint:
		d.sendCheckpoint()
	case lifecycle.YieldToSuccessor:
		d.yieldToSuccessor()
	case lifecycle.ResumeAlone:
		d.resumeAlone()
	case lifecycle.KillSuccessor:
		d.killSuccessor()
	case lifecycle.ForwardReload:
		d.successor.forwardReload()
	case lifecycle.StartDrain:
		answerEach(d.pendingReloads, errors.New("the daemon is draining"))
		d.pendingReloads = nil
		d.startDrain()
	case lifecycle.NotifySupervisor:
		d.notifySupervisor(a.Notification)
	}
}

// lifecycleEvent is an event for the state machine that another goroutine has posted.
type lifecycleEvent struct{ lifecycle.Event }

func (e lifecycleEvent) handle(d *daemon) error {
	d.advance(e.Event)
	return nil
}

// loopCall is an event that calls a function in the goroutine of the event loop, whose fields the function may use.
type loopCall struct{ call func() }

func (c loopCall) handle(*daemon) error {
	c.call()
	return nil
}

// callInLoop calls a function in the goroutine of the event loop and waits for its return. If the loop has ended, it
// calls the function itself.
func (d *daemon) callInLoop(call func()) {
	done := make(chan struct{})
	d.post(loopCall{func() {
		call()
		close(done)
	}})
	select {
	case <-done:
	case <-d.loopEnded:
		select {
		case <-done: // the call was the last event of the loop
		default:
			call()
		}
	}
}

// reload loads the configuration file and applies it.
func (d *daemon) reload() {
	cfg, err := d.opts.LoadConfig()
	if err == nil {
		err = d.node.Reload(cfg)
	}
	if err == nil {
		d.opts.ApplyRuntimeLimits(cfg)
	}
	d.post(reloadFinished{cfg, err})
}

// reloadFinished reports the end of a reload. If err is nil, cfg is in force.
type reloadFinished struct {
	cfg config.Config
	err error
}

func (f reloadFinished) handle(d *daemon) error {
	if f.err != nil {
		d.conditions.add(conditionConfigFile, f.err.Error())
	} else {
		d.cfg = f.cfg
		d.checkpointer.interval.Store(int64(f.cfg.Process.CheckpointInterval))
		d.conditions.clear(conditionConfigFile)
	}
	answerEach(d.runningReloads, f.err)
	d.runningReloads = nil
	d.advance(lifecycle.ReloadFinished{Err: f.err})
	return nil
}

// notifySupervisor sends a notification to the supervisor. A failure is only logged, since the daemon can still serve.
func (d *daemon) notifySupervisor(n lifecycle.Notification) {
	var err error
	switch n {
	case lifecycle.NotifyReady:
		err = supervise.NotifyReady(fmt.Sprintf("%d services on %s", d.node.ServiceCount(), d.node.Addr()))
	case lifecycle.NotifyReloading:
		err = supervise.NotifyReloading()
	case lifecycle.NotifyStopping:
		err = supervise.NotifyStopping()
	}
	logSupervisor(err)
}

// logSupervisor logs the error of a supervisor notification, if any.
func logSupervisor(err error) {
	if err != nil {
		slog.Warn("supervisor notification failed", "err", err)
	}
}
