package daemon

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/state"
)

// checkpointer coordinates the writers of the checkpoint file.
type checkpointer struct {
	ownsFile atomic.Bool  // whether this process, rather than its successor or predecessor, writes the files in the state directory
	interval atomic.Int64 // time between two checkpoints, as a time.Duration

	mu        sync.Mutex // held while a checkpoint is saved
	isStopped bool
}

// stop waits until a save in progress has ended. No checkpoint is saved after it has returned.
func (c *checkpointer) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStopped = true
}

// save saves a checkpoint of d's node if this process owns the file. It returns false after stop.
func (c *checkpointer) save(d *daemon) (ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStopped {
		return false, nil
	}
	if c.ownsFile.Load() {
		err = d.store.Save(d.node.Checkpoint())
	}
	return true, err
}

// saveCheckpoints saves a checkpoint at each interval until ctx ends, so that the estimates survive a crash. Of a series
// of failures it logs the first one, and then the next success.
func (d *daemon) saveCheckpoints(ctx context.Context) {
	if d.store == nil {
		return
	}
	hasFailed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(d.checkpointer.interval.Load())):
		}
		ok, err := d.checkpointer.save(d)
		if !ok {
			return
		}
		switch {
		case err != nil && !hasFailed:
			slog.Error("checkpoint not saved, a crash loses the estimates since the last one", "err", err)
			d.conditions.add(conditionStateDirectory, err.Error())
		case err == nil && hasFailed:
			slog.Info("checkpoint saved again")
			d.conditions.clear(conditionStateDirectory)
		}
		hasFailed = err != nil
	}
}

// restoreCheckpoint restores the node from the checkpoint of the last run. If that run did not end by a graceful
// shutdown, only estimates are restored, because the run may have used quota after the checkpoint.
func (d *daemon) restoreCheckpoint() {
	if d.store == nil {
		return
	}
	checkpoint, found, err := d.store.Consume()
	age := checkpoint.Age().Round(time.Millisecond)
	switch {
	case err != nil && checkpoint.Services == nil:
		slog.Warn("checkpoint unreadable, hard limits start with their slack and servers without estimates", "err", err)
		d.conditions.add(conditionLastCheckpoint, err.Error())
	case !found:
		slog.Info("no checkpoint of an earlier run", "dir", d.cfg.Process.StateDir)
	case err != nil, !checkpoint.Clean:
		cause := "the last run did not end by a graceful shutdown"
		if err != nil {
			cause = err.Error()
		}
		slog.Warn("no clean checkpoint, hard limits start empty and servers warm up as if new", "cause", cause, "age", age)
		d.conditions.add(conditionQuotaUsage, cause)
		d.node.Restore(checkpoint, control.TrustEstimates)
	default: // the last run ended by a graceful shutdown
		slog.Info("checkpoint restored", "age", age)
		d.node.Restore(checkpoint, control.TrustAll)
	}
}

// drainFinished is posted at the end of the node's drain. The event loop saves the final checkpoint and closes done.
type drainFinished struct{ done chan struct{} }

func (f drainFinished) handle(d *daemon) error {
	d.saveFinalCheckpoint()
	close(f.done)
	return nil
}

// awaitFinalCheckpoint waits until the event loop has saved the final checkpoint. The node's goroutine calls it.
func (d *daemon) awaitFinalCheckpoint() {
	f := drainFinished{make(chan struct{})}
	d.post(f)
	select {
	case <-f.done:
	case <-d.loopEnded:
	}
}

// sendFinalCheckpoint sends the successor a checkpoint with all remaining quota.
func (d *daemon) sendFinalCheckpoint() error {
	encoded, err := state.Encode(d.node.HandOver(1))
	if err != nil {
		return err
	}
	return d.successor.SendFinalCheckpoint(encoded)
}

// saveFinalCheckpoint is called at the end of a drain, when no more quota will be used. It sends the remaining quota to
// the successor if there is one, and otherwise saves it in the file for the next start.
func (d *daemon) saveFinalCheckpoint() {
	d.checkpointer.stop()
	if d.hasServingSuccessor() {
		if err := d.sendFinalCheckpoint(); err != nil {
			slog.Warn("upgrade: final checkpoint not sent to successor, remaining quota is lost", "err", err)
		}
		return
	}
	if d.store == nil || !d.checkpointer.ownsFile.Load() {
		return
	}
	checkpoint := d.node.Checkpoint()
	checkpoint.Clean = true
	if err := d.store.Save(checkpoint); err != nil {
		slog.Warn("final checkpoint not saved, the quota usage is unknown at the next start", "err", err)
	}
}
