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

// live runs the node until it has ended. ctx ending is the wish that it drains.
func (d *daemon) live(ctx context.Context) error {
	defer d.parts.Wait()
	defer close(d.ended)
	over, end := context.WithCancel(context.Background())
	defer end()
	running, drain := context.WithCancel(context.Background())
	defer drain()
	d.drain = drain
	d.node.OnDrained = d.awaitLast
	ended := make(chan error, 1)
	d.parts.Go(func() { ended <- d.node.Run(running) })
	d.parts.Go(func() {
		if err := supervise.Watchdog(over, d.node.Alive); err != nil {
			slog.Warn("watchdog", "err", err)
		}
	})
	d.keeper.own.Store(d.pred == nil)
	d.keeper.every.Store(int64(d.cfg.Process.Checkpoint))
	d.parts.Go(func() { d.keep(over) })
	d.parts.Go(func() { d.watchGroup(over) })
	d.tellMetrics(over)
	d.handle(lifecycle.Listening{})
	stop, served := ctx.Done(), d.node.Ready()
	for {
		select {
		case <-served:
			served = nil
			if d.pred != nil {
				go d.askForState() // nobody waits for it where this process ends before
			} else {
				d.serves()
			}
		case _, ok := <-d.opts.Hup:
			if !ok {
				d.opts.Hup = nil
				continue
			}
			d.handle(lifecycle.Reload{Cause: "SIGHUP"})
		case _, ok := <-d.opts.Usr2:
			if !ok {
				d.opts.Usr2 = nil
				continue
			}
			if err := d.mayUpgrade(false); err != nil {
				slog.Warn("SIGUSR2", "err", err)
				continue
			}
			d.handle(lifecycle.Upgrade{Cause: "SIGUSR2"})
		case <-stop:
			stop = nil
			d.handle(lifecycle.Stop{Cause: "asked to end"})
		case e := <-d.events:
			if err := d.take(e); err != nil {
				drain()
				for {
					select {
					case e := <-d.events:
						if l, ok := e.(drained); ok {
							close(l.done)
						}
					case late := <-ended:
						return errors.Join(err, late)
					}
				}
			}
		case err := <-ended:
			d.handle(lifecycle.Done{Err: err})
			d.answerAll(errors.New("the daemon has ended"))
			return err
		}
	}
}

// tellMetrics tells metrics until ctx ends, where that is wanted. An address that can't be had is
// no reason not to serve: during an upgrade the old process has it until its end.
func (d *daemon) tellMetrics(ctx context.Context) {
	addr := d.cfg.Metrics
	if addr == "" {
		return
	}
	var scraped metrics.Source = d.node
	if d.cfg.Process.Control != "" {
		scraped = scrapedMember{d.node, d}
	}
	d.parts.Go(func() {
		told := false
		for ctx.Err() == nil {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
			if err == nil {
				slog.Info("telling metrics", "listen", l.Addr().String())
				d.doubts.clear("metrics")
				told = false
				err = metrics.Serve(ctx, l, scraped)
			}
			if err != nil && !told {
				told = true
				slog.Warn("metrics", "err", err)
				d.doubts.add("metrics", err.Error())
			}
			select {
			case <-time.After(metricsAgain):
			case <-ctx.Done():
			}
		}
	})
}

// scrapedMember is a node that is a member of a fleet, as metrics tell it.
type scrapedMember struct {
	*node.Node
	d *daemon
}

// Member is metrics.Member's.
func (s scrapedMember) Member() manage.Status {
	out := manage.Status{Figures: s.d.figures()}
	s.d.seen(func() { s.d.tellMember(&out) })
	return out
}

// metricsAgain is the pause before the metrics' address is tried again.
const metricsAgain = 500 * time.Millisecond

// post brings an event to live; nothing where that has ended.
func (d *daemon) post(e any) {
	select {
	case d.events <- e:
	case <-d.ended:
	}
}

// take takes an event that another goroutine has posted. An error ends the daemon.
func (d *daemon) take(e any) error {
	switch e := e.(type) {
	case reloaded:
		if e.err != nil {
			d.doubts.add("configuration file", e.err.Error())
		} else {
			d.cfg = e.cfg
			d.keeper.every.Store(int64(e.cfg.Process.Checkpoint))
			d.doubts.clear("configuration file")
		}
		answer(d.loading, e.err)
		d.loading = nil
		d.handle(lifecycle.Reloaded{Err: e.err})
	case lifecycle.Event:
		d.handle(e)
	case asked:
		d.asked(e)
	case drained:
		d.last()
		close(e.done)
	case lifeAsked:
		e.tell()
	case claimAsked:
		e.answer <- d.grant(e.claim)
	case orderAsked:
		d.order(e)
	case restAsked:
		e.answer <- d.wantRest(e.drained)
	case orderDid:
		d.did(e)
	case inherited:
		return d.takeOver(e)
	case left:
		d.rejoin(e)
	case successorDid:
		d.successor(e)
	}
	return nil
}

// serves takes in that every required service can serve.
func (d *daemon) serves() {
	d.handle(lifecycle.Serves{})
	if d.doing != nil && d.doing.kind == desiredstate.Serve && !d.doing.inherited {
		d.endOrder(nil)
	}
}

// handle tells the machine of an event and does what it says.
func (d *daemon) handle(e lifecycle.Event) {
	for _, a := range append([]lifecycle.Action(nil), d.machine.Handle(e)...) {
		switch a := a.(type) {
		case lifecycle.Log:
			slog.Info("life", "from", a.From, "to", a.To, "cause", a.Cause)
		case lifecycle.Load:
			d.loading, d.waiting = d.waiting, nil
			d.parts.Go(d.reload)
		case lifecycle.Spawn:
			d.spawn()
		case lifecycle.Give:
			d.give()
		case lifecycle.Yield:
			d.yield()
		case lifecycle.Resume:
			d.resume()
		case lifecycle.Abandon:
			d.abandon()
		case lifecycle.Forward:
			d.succ.forward()
		case lifecycle.Drain:
			answer(d.waiting, errors.New("the daemon drains"))
			d.waiting = nil
			d.drain()
		case lifecycle.Tell:
			d.tell(a.What)
		}
	}
}

// reload reads the configuration again and puts it in force.
func (d *daemon) reload() {
	cfg, err := d.opts.Load()
	if err == nil {
		err = d.node.Reload(cfg)
	}
	if err == nil {
		d.opts.Tune(cfg)
	}
	d.post(reloaded{cfg, err})
}

// reloaded is the end of a reload; cfg is in force where err is nil.
type reloaded struct {
	cfg config.Config
	err error
}

// tell passes on to the supervisor. One that can't be told doesn't end a daemon that serves.
func (d *daemon) tell(what lifecycle.Told) {
	var err error
	switch what {
	case lifecycle.TellReady:
		err = supervise.Ready(fmt.Sprintf("%d services on %s", d.node.ServiceCount(), d.node.Addr()))
	case lifecycle.TellReloading:
		err = supervise.Reloading()
	case lifecycle.TellStopping:
		err = supervise.Stopping()
	}
	if err != nil {
		slog.Warn("supervisor", "err", err)
	}
}
