package daemon

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"lockflow/internal/lifecycle"
)

// request is somebody's wish by the control socket.
type request struct {
	event  lifecycle.Event
	answer chan error // has room for one; nil where nobody waits

	isCommanded bool // by the order under way
}

// handleRequest takes a wish; whoever waits for it hears when it is done.
func (d *daemon) handleRequest(a request) {
	switch e := a.event.(type) {
	case lifecycle.ReloadRequested:
		switch s := d.machine.State(); {
		case s == lifecycle.Draining || s == lifecycle.Ended:
			a.answer <- fmt.Errorf("no reload: the daemon is %v", s)
			return
		case d.successor != nil && d.successor.phase == successorServing:
			a.answer <- errors.New("no reload: a successor has taken over; ask again")
		default:
			d.pendingReloads = append(d.pendingReloads, a.answer)
		}
	case lifecycle.UpgradeRequested:
		if s := d.machine.State(); s == lifecycle.Draining || s == lifecycle.HandingOver || s == lifecycle.Ended || len(d.pendingUpgrades) > 0 {
			a.answer <- fmt.Errorf("no upgrade: the daemon is %v", s)
			return
		}
		if err := d.checkUpgrade(a.isCommanded); err != nil {
			a.answer <- err
			return
		}
		d.pendingUpgrades = append(d.pendingUpgrades, a.answer)
		d.nextProgram = strings.TrimPrefix(e.Cause, upgradeCausePrefix)
	}
	d.advance(a.event)
}

// upgradeCausePrefix begins the cause of an upgrade to a program that is named.
const upgradeCausePrefix = "control socket: "

func answerEach(who []chan error, err error) {
	for _, c := range who {
		c <- err // has room for one
	}
}

func (d *daemon) answerAllRequests(err error) {
	answerEach(d.pendingReloads, err)
	answerEach(d.runningReloads, err)
	answerEach(d.pendingUpgrades, err)
	d.pendingReloads, d.runningReloads, d.pendingUpgrades = nil, nil, nil
}

// submit brings a wish to live and waits for what comes of it.
func (d *daemon) submit(ctx context.Context, e lifecycle.Event) error {
	a := request{event: e, answer: make(chan error, 1)}
	return d.postAndWait(ctx, a, a.answer)
}

// Reload is manage.Daemon's.
func (d *daemon) Reload(ctx context.Context) error {
	return d.submit(ctx, lifecycle.ReloadRequested{Cause: "control socket"})
}

// Upgrade is manage.Daemon's.
func (d *daemon) Upgrade(ctx context.Context, program string) error {
	if program == "" {
		program = d.opts.Program
	}
	if err := checkExecutable(program); err != nil {
		return err
	}
	return d.submit(ctx, lifecycle.UpgradeRequested{Cause: upgradeCausePrefix + program})
}
