package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/desiredstate"
	"lockflow/internal/lifecycle"
	"lockflow/internal/manage"
	"lockflow/internal/metrics"
	"lockflow/internal/node"
	"lockflow/internal/supervise"
)

// run runs the node until it has ended. ctx ending is the wish that it drains.
func (d *daemon) run(ctx context.Context) error {
	defer d.goroutines.Wait()
	defer close(d.loopEnded)
	over, end := context.WithCancel(context.Background())
	defer end()
	running, drain := context.WithCancel(context.Background())
	defer drain()
	d.startDrain = drain
	d.node.OnDrained = d.awaitFinalCheckpoint
	ended := make(chan error, 1)
	d.goroutines.Go(func() { ended <- d.node.Run(running) })
	d.goroutines.Go(func() {
		if err := supervise.RunWatchdog(over, d.node.Alive); err != nil {
			slog.Warn("watchdog", "err", err)
		}
	})
	d.checkpointer.ownsFile.Store(d.predecessor == nil)
	d.checkpointer.interval.Store(int64(d.cfg.Process.Checkpoint))
	d.goroutines.Go(func() { d.saveCheckpoints(over) })
	d.goroutines.Go(func() { d.watchGroupSize(over) })
	d.serveMetrics(over)
	d.advance(lifecycle.Listening{})
	stop, served := ctx.Done(), d.node.Ready()
	for {
		select {
		case <-served:
			served = nil
			if d.predecessor != nil {
				go d.requestCheckpoint() // nobody waits for it where this process ends before
			} else {
				d.servicesReady()
			}
		case _, ok := <-d.opts.ReloadSignals:
			if !ok {
				d.opts.ReloadSignals = nil
				continue
			}
			d.advance(lifecycle.ReloadRequested{Cause: "SIGHUP"})
		case _, ok := <-d.opts.UpgradeSignals:
			if !ok {
				d.opts.UpgradeSignals = nil
				continue
			}
			if err := d.checkUpgrade(false); err != nil {
				slog.Warn("SIGUSR2", "err", err)
				continue
			}
			d.advance(lifecycle.UpgradeRequested{Cause: "SIGUSR2"})
		case <-stop:
			stop = nil
			d.advance(lifecycle.StopRequested{Cause: "asked to end"})
		case e := <-d.events:
			if err := d.handleEvent(e); err != nil {
				drain()
				for {
					select {
					case e := <-d.events:
						if l, ok := e.(drainFinished); ok {
							close(l.done)
						}
					case late := <-ended:
						return errors.Join(err, late)
					}
				}
			}
		case err := <-ended:
			d.advance(lifecycle.Finished{Err: err})
			d.answerAllRequests(errors.New("the daemon has ended"))
			return err
		}
	}
}

// serveMetrics tells metrics until ctx ends, where that is wanted. An address that can't be had is
// no reason not to serve: during an upgrade the old process has it until its end.
func (d *daemon) serveMetrics(ctx context.Context) {
	addr := d.cfg.Metrics
	if addr == "" {
		return
	}
	var scraped metrics.Source = d.node
	if d.cfg.Process.Control != "" {
		scraped = memberMetrics{d.node, d}
	}
	d.goroutines.Go(func() {
		told := false
		for ctx.Err() == nil {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
			if err == nil {
				slog.Info("telling metrics", "listen", l.Addr().String())
				d.conditions.clear("metrics")
				told = false
				err = metrics.Serve(ctx, l, scraped)
			}
			if err != nil && !told {
				told = true
				slog.Warn("metrics", "err", err)
				d.conditions.add("metrics", err.Error())
			}
			select {
			case <-time.After(metricsRetryInterval):
			case <-ctx.Done():
			}
		}
	})
}

// memberMetrics is a node that is a member of a fleet, as metrics tell it.
type memberMetrics struct {
	*node.Node
	d *daemon
}

// Member is metrics.Member's.
func (s memberMetrics) Member() manage.Status {
	out := manage.Status{Figures: s.d.instanceStats()}
	s.d.inLoop(func() { s.d.addMemberStatus(&out) })
	return out
}

// metricsRetryInterval is the pause before the metrics' address is tried again.
const metricsRetryInterval = 500 * time.Millisecond

// post brings an event to live; nothing where that has ended.
func (d *daemon) post(e any) {
	select {
	case d.events <- e:
	case <-d.loopEnded:
	}
}

// handleEvent takes an event that another goroutine has posted. An error ends the daemon.
func (d *daemon) handleEvent(e any) error {
	switch e := e.(type) {
	case reloadFinished:
		if e.err != nil {
			d.conditions.add("configuration file", e.err.Error())
		} else {
			d.cfg = e.cfg
			d.checkpointer.interval.Store(int64(e.cfg.Process.Checkpoint))
			d.conditions.clear("configuration file")
		}
		answerEach(d.runningReloads, e.err)
		d.runningReloads = nil
		d.advance(lifecycle.ReloadFinished{Err: e.err})
	case lifecycle.Event:
		d.advance(e)
	case request:
		d.handleRequest(e)
	case drainFinished:
		d.saveFinalCheckpoint()
		close(e.done)
	case loopCall:
		e.call()
	case claimRequest:
		e.answer <- d.grantEpoch(e.claim)
	case commandRequest:
		d.handleCommand(e)
	case setDrainedRequest:
		e.answer <- d.setDrained(e.isDrained)
	case commandFinished:
		d.handleCommandFinished(e)
	case receivedCheckpoint:
		return d.takeOver(e)
	case receivedFinalCheckpoint:
		d.takeFinalCheckpoint(e)
	case successorEvent:
		d.handleSuccessorEvent(e)
	}
	return nil
}

// servicesReady takes in that every required service can serve.
func (d *daemon) servicesReady() {
	d.advance(lifecycle.ServicesReady{})
	if d.running != nil && d.running.kind == desiredstate.Serve && !d.running.isInherited {
		d.finishCommand(nil)
	}
}

// advance tells the machine of an event and does what it says.
func (d *daemon) advance(e lifecycle.Event) {
	for _, a := range append([]lifecycle.Action(nil), d.machine.Handle(e)...) {
		switch a := a.(type) {
		case lifecycle.LogTransition:
			slog.Info("life", "from", a.From, "to", a.To, "cause", a.Cause)
		case lifecycle.StartReload:
			d.runningReloads, d.pendingReloads = d.pendingReloads, nil
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
			answerEach(d.pendingReloads, errors.New("the daemon drains"))
			d.pendingReloads = nil
			d.startDrain()
		case lifecycle.NotifySupervisor:
			d.notifySupervisor(a.Notification)
		}
	}
}

// reload reads the configuration again and puts it in force.
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

// reloadFinished is the end of a reload; cfg is in force where err is nil.
type reloadFinished struct {
	cfg config.Config
	err error
}

// notifySupervisor passes on to the supervisor. One that can't be told doesn't end a daemon that serves.
func (d *daemon) notifySupervisor(what lifecycle.Notification) {
	var err error
	switch what {
	case lifecycle.NotifyReady:
		err = supervise.NotifyReady(fmt.Sprintf("%d services on %s", d.node.ServiceCount(), d.node.Addr()))
	case lifecycle.NotifyReloading:
		err = supervise.NotifyReloading()
	case lifecycle.NotifyStopping:
		err = supervise.NotifyStopping()
	}
	if err != nil {
		slog.Warn("supervisor", "err", err)
	}
}
