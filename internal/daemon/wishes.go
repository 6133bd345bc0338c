package daemon

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"lockflow/internal/lifecycle"
)

// asked is somebody's wish by the control socket.
type asked struct {
	event  lifecycle.Event
	answer chan error // has room for one; nil where nobody waits

	ordered bool // by the order under way
}

// asked takes a wish; whoever waits for it hears when it is done.
func (d *daemon) asked(a asked) {
	switch e := a.event.(type) {
	case lifecycle.Reload:
		switch s := d.machine.State(); {
		case s == lifecycle.Draining || s == lifecycle.Ended:
			a.answer <- fmt.Errorf("no reload: the daemon is %v", s)
			return
		case d.succ != nil && d.succ.phase == serving:
			a.answer <- errors.New("no reload: a successor has taken over; ask again")
		default:
			d.waiting = append(d.waiting, a.answer)
		}
	case lifecycle.Upgrade:
		if s := d.machine.State(); s == lifecycle.Draining || s == lifecycle.HandingOver || s == lifecycle.Ended || len(d.upgrading) > 0 {
			a.answer <- fmt.Errorf("no upgrade: the daemon is %v", s)
			return
		}
		if err := d.mayUpgrade(a.ordered); err != nil {
			a.answer <- err
			return
		}
		d.upgrading = append(d.upgrading, a.answer)
		d.program = strings.TrimPrefix(e.Cause, programCause)
	}
	d.handle(a.event)
}

// programCause begins the cause of an upgrade to a program that is named.
const programCause = "control socket: "

func answer(who []chan error, err error) {
	for _, c := range who {
		c <- err // has room for one
	}
}

func (d *daemon) answerAll(err error) {
	answer(d.waiting, err)
	answer(d.loading, err)
	answer(d.upgrading, err)
	d.waiting, d.loading, d.upgrading = nil, nil, nil
}

// wish brings a wish to live and waits for what comes of it.
func (d *daemon) wish(ctx context.Context, e lifecycle.Event) error {
	a := asked{event: e, answer: make(chan error, 1)}
	return d.ask(ctx, a, a.answer)
}

// Reload is manage.Daemon's.
func (d *daemon) Reload(ctx context.Context) error {
	return d.wish(ctx, lifecycle.Reload{Cause: "control socket"})
}

// Upgrade is manage.Daemon's.
func (d *daemon) Upgrade(ctx context.Context, program string) error {
	if program == "" {
		program = d.opts.Program
	}
	if err := runs(program); err != nil {
		return err
	}
	return d.wish(ctx, lifecycle.Upgrade{Cause: programCause + program})
}
