package daemon

import (
	"log/slog"

	"lockflow/control"
	"lockflow/internal/lifecycle"
	"lockflow/internal/state"
)

// This file contains the new process's side of a binary upgrade, in which it replaces its predecessor.

// receivedCheckpoint is the predecessor's encoded checkpoint, or the error that prevented its receipt.
type receivedCheckpoint struct {
	encoded []byte
	err     error
}

func (r receivedCheckpoint) handle(d *daemon) error { return d.takeOver(r) }

// receivedFinalCheckpoint reports that the predecessor has ended. encoded is its final checkpoint, or nil if it sent none.
type receivedFinalCheckpoint struct{ encoded []byte }

func (r receivedFinalCheckpoint) handle(d *daemon) error {
	d.takeFinalCheckpoint(r)
	return nil
}

// requestCheckpoint reports to the predecessor that this process is able to serve, and waits for the checkpoint.
func (d *daemon) requestCheckpoint() {
	encoded, err := d.predecessor.AwaitCheckpoint()
	d.post(receivedCheckpoint{encoded, err})
}

// takeOver begins to accept connections. Until the predecessor has drained, both processes serve. An error ends this
// process, and the predecessor continues alone.
func (d *daemon) takeOver(received receivedCheckpoint) error {
	checkpoint, err := state.Decode(received.encoded)
	if received.err != nil {
		err = received.err
	}
	if err == nil {
		d.node.Restore(checkpoint, control.TrustAll)
	} else {
		slog.Warn("upgrade: no checkpoint received from predecessor, its quota usage is unknown", "err", err)
		d.conditions.add(conditionQuotaUsage, err.Error())
	}
	d.takeOverDesiredState()
	if err := d.listenControl(d, true); err != nil {
		if received.err == nil { // the predecessor still runs and keeps its control socket
			return err
		}
		logControlSocket(err)
	}
	d.recordProcessID()
	d.checkpointer.ownsFile.Store(true)
	d.node.ResumeListeners()
	if err := d.predecessor.AnnounceTakeOver(); err != nil {
		slog.Warn("upgrade: take-over not announced, predecessor may have ended", "err", err)
	}
	go func() { // run does not wait for it: the predecessor may outlive this process
		d.post(receivedFinalCheckpoint{d.predecessor.AwaitFinalCheckpoint()})
	}()
	d.servicesReady()
	return nil
}

// takeFinalCheckpoint adds the predecessor's remaining quota to this process's fraction.
func (d *daemon) takeFinalCheckpoint(received receivedFinalCheckpoint) {
	if checkpoint, err := state.Decode(received.encoded); err == nil {
		d.node.Rejoin(&checkpoint)
	} else {
		slog.Warn("upgrade: no final checkpoint received, predecessor's remaining quota is lost", "err", err)
		d.node.Rejoin(nil)
	}
	d.recoverCommand()
	d.advance(lifecycle.PredecessorEnded{})
}
