package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"lockflow/internal/config"
	"lockflow/internal/desiredstate"
	"lockflow/internal/lifecycle"
	"lockflow/internal/state"
)

// runningCommand is an order that is carried out.
type runningCommand struct {
	id, kind, hash string
	isInherited    bool         // the old process has begun it
	waiters        []chan error // who asked; each has room for one
}

// claimAsked, orderAsked and restAsked are what a coordinator, or the owner's hand, asks live.
type (
	claimRequest struct {
		claim  desiredstate.Claim
		answer chan error
	}
	commandRequest struct {
		command desiredstate.Order
		answer  chan error
	}
	setDrainedRequest struct {
		isDrained bool
		answer    chan error
	}
)

// commandFinished is the end of an order that was carried out by another goroutine.
type commandFinished struct {
	command *runningCommand
	err     error
	// isRolledBack tells that the settings' file is again what is in force.
	isRolledBack bool
}

// errEnded is the answer of a daemon that has ended. What was under way is told by the next one.
var errEnded = errors.New("the daemon has ended")

// postAndWait brings something to live and waits for its answer.
func (d *daemon) postAndWait(ctx context.Context, event any, answer chan error) error {
	d.post(event)
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

// Claim is manage.Daemon's.
func (d *daemon) Claim(ctx context.Context, c desiredstate.Claim) error {
	answer := make(chan error, 1)
	return d.postAndWait(ctx, claimRequest{c, answer}, answer)
}

// Order is manage.Daemon's.
func (d *daemon) Order(ctx context.Context, o desiredstate.Order) error {
	answer := make(chan error, 1)
	return d.postAndWait(ctx, commandRequest{o, answer}, answer)
}

// Serve is manage.Daemon's.
func (d *daemon) Serve(ctx context.Context) error {
	answer := make(chan error, 1)
	return d.postAndWait(ctx, setDrainedRequest{false, answer}, answer)
}

// Drain is manage.Daemon's.
func (d *daemon) Drain(keep bool) error {
	if keep {
		answer := make(chan error, 1)
		if err := d.postAndWait(context.Background(), setDrainedRequest{true, answer}, answer); err != nil {
			return err
		}
	}
	d.post(lifecycle.StopRequested{Cause: "control socket"})
	return nil
}

// checkOwnership tells whether the book is this process's to write: while another process of the member takes over,
// and after that, it is that one's.
func (d *daemon) checkOwnership() error {
	if !d.checkpointer.ownsFile.Load() {
		return busyError("another process takes this one's place")
	}
	return nil
}

// grantEpoch takes a claim.
func (d *daemon) grantEpoch(c desiredstate.Claim) error {
	if err := d.checkOwnership(); err != nil {
		return err
	}
	return d.member.grantEpoch(c)
}

// setDrained takes the owner's own word on whether the member is to be drained.
func (d *daemon) setDrained(drained bool) error {
	if err := d.checkOwnership(); err != nil {
		return err
	}
	return d.member.setDrained(drained)
}

// handleCommand takes an order; the answer may come later.
func (d *daemon) handleCommand(a commandRequest) {
	if err := d.checkOwnership(); err != nil {
		a.answer <- err
		return
	}
	o := a.command
	next, step, done, err := d.member.book.Order(o)
	switch {
	case err != nil:
		a.answer <- err
		return
	case step == desiredstate.Answer:
		a.answer <- outcomeError(done)
		return
	case step == desiredstate.Wait:
		d.running.waiters = append(d.running.waiters, a.answer)
		return
	}
	if err := d.checkCommand(o.Want); err == nil {
		err = d.member.save(next)
		if err == nil {
			slog.Info("orders: begun", "id", o.ID, "epoch", o.Epoch, "owner", o.Owner, "kind", o.Want.Kind)
			d.running = &runningCommand{id: o.ID, kind: o.Want.Kind, hash: o.Want.Hash, waiters: []chan error{a.answer}}
			d.startCommand(o.Want)
			return
		}
		a.answer <- err
	} else {
		a.answer <- err
	}
}

// checkCommand tells why an order can't be begun now, or at all.
func (d *daemon) checkCommand(w desiredstate.Want) error {
	s := d.machine.State()
	switch w.Kind {
	case desiredstate.Drain:
		if d.member.store.Forgets() {
			return &desiredstate.RejectedError{Code: desiredstate.Bad, Text: "process.state is not set: started again, it would serve"}
		}
		if s == lifecycle.Draining || s == lifecycle.Ended {
			return busyError("the daemon is %v", s)
		}
	case desiredstate.Serve:
		if s == lifecycle.Draining || s == lifecycle.Ended {
			return busyError("the daemon is %v", s)
		}
	case desiredstate.Program:
		if err := checkExecutable(w.Path); err != nil {
			return &desiredstate.RejectedError{Code: desiredstate.Bad, Text: err.Error()}
		}
		fallthrough
	default:
		if s != lifecycle.Ready {
			return busyError("the daemon is %v", s)
		}
	}
	return nil
}

// startCommand begins what d.doing is.
func (d *daemon) startCommand(w desiredstate.Want) {
	doing := d.running
	switch w.Kind {
	case desiredstate.Settings:
		force := d.cfg
		d.goroutines.Go(func() {
			restored, err := d.applySettings(force, w)
			if !errors.Is(err, errEnded) { // else whoever comes next tells
				d.post(commandFinished{doing, err, restored})
			}
		})
	case desiredstate.Program, desiredstate.Restart:
		path := w.Path
		if path == "" {
			path = d.opts.Program
		}
		// Its end is the end of the successor's probation, or what comes before.
		a := request{lifecycle.UpgradeRequested{Cause: upgradeCausePrefix + path}, make(chan error, 1), true}
		d.goroutines.Go(func() {
			select {
			case err := <-a.answer:
				if err != nil {
					d.post(commandFinished{doing, err, false})
				}
			case <-d.loopEnded:
			}
		})
		d.handleRequest(a)
	case desiredstate.Drain:
		d.finishCommand(nil)
		d.advance(lifecycle.StopRequested{Cause: "order " + doing.id})
	case desiredstate.Serve:
		if d.machine.State() != lifecycle.Warming {
			d.finishCommand(nil)
		} // else once it serves
	}
}

// applySettings replaces the configuration file and has it read. An error leaves the file as it was;
// restored tells that it was another one meanwhile.
func (d *daemon) applySettings(force config.Config, w desiredstate.Want) (restored bool, err error) {
	text := []byte(w.Text)
	next, err := d.opts.ParseConfig(text)
	if err != nil {
		return false, err
	}
	for _, c := range config.Compare(force, next).Restarts() {
		return false, fmt.Errorf("%s: %s can't become %s without a restart", c.What, c.From, c.To)
	}
	old, err := os.ReadFile(d.opts.ConfigPath)
	if err != nil {
		return false, fmt.Errorf("reading the old settings: %w", err)
	}
	if err := d.member.store.Keep(old); err != nil {
		return false, err
	}
	if err := desiredstate.Replace(d.opts.ConfigPath, text); err != nil {
		return false, fmt.Errorf("replacing the settings: %w", err)
	}
	if force.Hash == w.Hash {
		return false, nil // in force; the file only was another one
	}
	err = d.submit(context.Background(), lifecycle.ReloadRequested{Cause: "order"})
	if err == nil || errors.Is(err, errEnded) {
		return false, err
	}
	if back := desiredstate.Replace(d.opts.ConfigPath, old); back != nil {
		return false, fmt.Errorf("%w; the old settings can't be put back: %w", err, back)
	}
	return true, err
}

// handleCommandFinished takes the end of an order.
func (d *daemon) handleCommandFinished(e commandFinished) {
	if d.running != e.command {
		return
	}
	if e.isRolledBack {
		d.conditions.clear("configuration file")
	}
	if e.err == nil && e.command.kind == desiredstate.Settings && d.cfg.Hash != e.command.hash {
		e.err = fmt.Errorf("the file was replaced by another hand: the settings in force have the hash %s", d.cfg.Hash)
	}
	d.finishCommand(e.err)
	if e.command.kind == desiredstate.Settings {
		d.member.store.Forget()
	}
}

// finishCommand ends the order under way, written before it is answered.
func (d *daemon) finishCommand(err error) {
	was := d.member.book.Doing
	if was == nil || was.ID != d.running.id { // another process has written it off
		d.answerCommand(desiredstate.Done{ID: d.running.id, Code: desiredstate.Busy, Error: "order " + d.running.id + " was cut: ask again"})
		return
	}
	d.member.record(d.member.book.End(err))
	d.answerCommand(d.member.book.Last())
}

// answerCommand tells those who asked how the order under way has ended.
func (d *daemon) answerCommand(done desiredstate.Done) {
	doing := d.running
	d.running = nil
	slog.Info("orders: ended", "id", doing.id, "code", done.Code, "err", done.Error)
	answerEach(doing.waiters, outcomeError(done))
}

// reloadBook reads the book anew: that of the old process at a take-over, or, with back, what a
// successor has left that did not last.
func (d *daemon) reloadBook(back bool) {
	d.member.load()
	d.member.record(d.member.book) // also where the directory is another one
	if was := d.member.book.Doing; was != nil && !back {
		d.running = &runningCommand{id: was.ID, kind: was.Kind, hash: was.Hash, isInherited: true}
	}
}

// recoverCommand goes by what is found in the place of a process that is no more. An order that was cut is
// done when it is asked for again.
func (d *daemon) recoverCommand() {
	m := d.member
	was := m.book.Doing
	if was == nil {
		d.running = nil
		return
	}
	next := m.book.Recover(desiredstate.Facts{Hash: d.cfg.Hash, Program: d.opts.Program})
	if next.Doing != nil {
		if d.running == nil {
			d.running = &runningCommand{id: was.ID, kind: was.Kind, hash: was.Hash}
		}
		return
	}
	m.record(next)
	m.store.Forget()
	last := next.Last()
	if last.ID != was.ID {
		slog.Warn("orders: one was cut by the end of the process: nothing of it stays", "id", was.ID, "kind", was.Kind)
		last = desiredstate.Done{ID: was.ID, Code: desiredstate.Busy, Error: "order " + was.ID + " was cut: ask again"}
	}
	if d.running != nil {
		d.answerCommand(last)
	}
}

// checkUpgrade refuses an upgrade by another hand while an order is under way.
func (d *daemon) checkUpgrade(ordered bool) error {
	if d.running != nil && !d.running.isInherited && !ordered {
		return fmt.Errorf("no upgrade: order %s is under way", d.running.id)
	}
	return nil
}

// rollBackSettings puts the settings back that an order replaced, where the daemon can't start with the new ones.
// It tells whether there is something else to start with.
func rollBackSettings(m *member, o Options, hash string, cause error) bool {
	was := m.book.Doing
	if was == nil || was.Kind != desiredstate.Settings || hash != "" && was.Hash != hash {
		return false
	}
	old, err := m.store.Kept()
	if err == nil && desiredstate.Hash(old) == was.Hash {
		return false // they were the same
	}
	if err == nil {
		err = desiredstate.Replace(o.ConfigPath, old)
	}
	if err != nil {
		slog.Error("orders: the old settings can't be put back", "id", was.ID, "err", err)
		return false
	}
	slog.Error("orders: the daemon can't start with the settings of an order: the old ones are put back", "id", was.ID, "err", cause)
	m.record(m.book.End(fmt.Errorf("the daemon was cut, and could not start with it: %w", cause)))
	m.store.Forget()
	return true
}

// rollBackUnreadableSettings is rescue where the file can't be read at all.
func rollBackUnreadableSettings(o Options, cause error) bool {
	if o.StateDirectory == "" {
		return false
	}
	store, err := state.Open(o.StateDirectory, nil)
	if err != nil {
		return false
	}
	defer store.Close() //nolint:errcheck // the lock alone, which ends with its file
	m, err := openMember(o.StateDirectory, nil, &degradedConditions{})
	if err != nil {
		return false
	}
	defer m.store.Close()
	return rollBackSettings(m, o, "", cause)
}

// checkExecutable tells why a program can't be run.
func checkExecutable(program string) error {
	if !filepath.IsAbs(program) {
		return fmt.Errorf("program %q is no absolute path", program)
	}
	if info, err := os.Stat(program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("program %s can't be run", program)
	}
	return nil
}
