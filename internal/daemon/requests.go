package daemon

import (
	"context"
	"errors"
	"fmt"

	"lockflow/internal/lifecycle"
)

// upgradeCausePrefix precedes the program's path in the cause of an upgrade that was requested on the control socket.
const upgradeCausePrefix = "control socket: "

// reloadRequest requests a reload. The result is sent to answer, which is buffered.
type reloadRequest struct {
	cause  string
	answer chan error
}

func (r reloadRequest) handle(d *daemon) error {
	current := d.machine.State()
	if isEnding(current) {
		r.answer <- fmt.Errorf("no reload: the daemon is %v", current)
		return nil
	}
	if d.hasServingSuccessor() {
		r.answer <- errors.New("no reload: a successor has taken over; ask again")
	} else {
		d.pendingReloads = append(d.pendingReloads, r.answer)
	}
	d.advance(lifecycle.ReloadRequested{Cause: r.cause})
	return nil
}

// upgradeRequest requests an upgrade to a program. The result is sent to answer, which is buffered.
type upgradeRequest struct {
	program   string
	isCommand bool // whether the running command requests it
	answer    chan error
}

func (r upgradeRequest) handle(d *daemon) error {
	current := d.machine.State()
	isUpgrading := current == lifecycle.HandingOver || len(d.pendingUpgrades) > 0
	if isEnding(current) || isUpgrading {
		r.answer <- fmt.Errorf("no upgrade: the daemon is %v", current)
		return nil
	}
	if err := d.checkUpgrade(r.isCommand); err != nil {
		r.answer <- err
		return nil
	}
	d.pendingUpgrades = append(d.pendingUpgrades, r.answer)
	d.nextProgram = r.program
	d.advance(lifecycle.UpgradeRequested{Cause: upgradeCausePrefix + r.program})
	return nil
}

func isEnding(state lifecycle.State) bool {
	return state == lifecycle.Draining || state == lifecycle.Ended
}

// Reload implements manage.Daemon.
func (d *daemon) Reload(ctx context.Context) error {
	answer := make(chan error, 1)
	return d.postAndWait(ctx, reloadRequest{"control socket", answer}, answer)
}

// Upgrade implements manage.Daemon.
func (d *daemon) Upgrade(ctx context.Context, program string) error {
	if program == "" {
		program = d.opts.Program
	}
	if err := checkExecutable(program); err != nil {
		return err
	}
	answer := make(chan error, 1)
	return d.postAndWait(ctx, upgradeRequest{program: program, answer: answer}, answer)
}

// errEnded is the answer to requests whose daemon has ended. The requested operation may have succeeded; the next process
// determines that.
var errEnded = errors.New("the daemon has ended")

// postAndWait posts an event and waits for its answer, the end of the event loop or the end of ctx.
func (d *daemon) postAndWait(ctx context.Context, e event, answer <-chan error) error {
	d.post(e)
	select {
	case err := <-answer:
		return err
	case <-d.loopEnded:
		select {
		case err := <-answer:
			return err
		default:
			return errEnded
		}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// answerEach sends err to each of answers, which are buffered channels.
func answerEach(answers []chan error, err error) {
	for _, answer := range answers {
		answer <- err
	}
}

// answerAllRequests sends err to all waiting requests for a reload or an upgrade.
func (d *daemon) answerAllRequests(err error) {
	answerEach(d.pendingReloads, err)
	answerEach(d.runningReloads, err)
	answerEach(d.pendingUpgrades, err)
	d.pendingReloads = nil
	d.runningReloads = nil
	d.pendingUpgrades = nil
}
