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
	ownsFile atomic.Bool  // the state directory's files are this process's to write, not its successor's or predecessor's
	interval atomic.Int64 // between two checkpoints, a time.Duration

	mu        sync.Mutex // held while a checkpoint is saved
	isStopped bool
}

// stop waits for the checkpoint that is being saved; none is saved after it.
func (c *checkpointer) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStopped = true
}

// save saves a checkpoint of d's node where the file is this process's. It returns false once stopped.
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

// saveCheckpoints saves a checkpoint at each interval until ctx ends, so that a start after a crash knows
// what was learned. A disk that is full or read-only is logged once, and again once it is writable.
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
			slog.Error("checkpoint save failed, a start after a crash will know less", "err", err)
			d.conditions.add(conditionStateDirectory, err.Error())
		case err == nil && hasFailed:
			slog.Info("checkpoint saved again")
			d.conditions.clear(conditionStateDirectory)
		}
		hasFailed = err != nil
	}
}

// restoreCheckpoint restores the node from the checkpoint of the last run, as far as that can be trusted.
func (d *daemon) restoreCheckpoint() {
	if d.store == nil {
		return
	}
	checkpoint, found, err := d.store.Consume()
	age := checkpoint.Age().Round(time.Millisecond)
	switch {
	case err != nil && checkpoint.Services == nil:
		slog.Warn("checkpoint unreadable, hard limits start with their slack and servers as unknown", "err", err)
		d.conditions.add(conditionLastCheckpoint, err.Error())
	case !found:
		slog.Info("no checkpoint of an earlier run", "dir", d.cfg.Process.StateDir)
	case err != nil, !checkpoint.Clean:
		cause := "the last run did not end in order"
		if err != nil {
			cause = err.Error()
		}
		slog.Warn("no clean checkpoint, hard limits start empty and servers warming up as unseen", "cause", cause, "age", age)
		d.conditions.add(conditionLastSpending, cause)
		d.node.Restore(checkpoint, control.TrustEstimates)
	default:
		slog.Info("checkpoint restored", "age", age)
		d.node.Restore(checkpoint, control.TrustAll)
	}
}

// drainFinished has the event loop save the final checkpoint and close done.
type drainFinished struct{ done chan struct{} }

func (f drainFinished) handle(d *daemon) error {
	d.saveFinalCheckpoint()
	close(f.done)
	return nil
}

// awaitFinalCheckpoint is called by the node at the end of its drain, from the node's goroutine.
func (d *daemon) awaitFinalCheckpoint() {
	f := drainFinished{make(chan struct{})}
	d.post(f)
	select {
	case <-f.done:
	case <-d.loopEnded:
	}
}

// saveFinalCheckpoint is called when a drain has come so far that nothing more will be spent: what is left
// goes to the successor, or to the file for the next start.
func (d *daemon) saveFinalCheckpoint() {
	d.checkpointer.stop()
	if s := d.successor; s != nil && s.phase == successorServing {
		encoded, err := state.Encode(d.node.HandOver(1))
		if err == nil {
			err = s.SendFinalCheckpoint(encoded)
		}
		if err != nil {
			slog.Warn("upgrade: final checkpoint not sent, what was left is lost", "err", err)
		}
		return
	}
	if d.store == nil || !d.checkpointer.ownsFile.Load() {
		return
	}
	checkpoint := d.node.Checkpoint()
	checkpoint.Clean = true
	if err := d.store.Save(checkpoint); err != nil {
		slog.Warn("final checkpoint save failed, the next start won't know what was spent", "err", err)
	}
}
