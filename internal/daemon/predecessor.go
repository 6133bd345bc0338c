package daemon

import (
	"log/slog"

	"lockflow/control"
	"lockflow/internal/lifecycle"
	"lockflow/internal/state"
)

// This file has the new process's side of a binary upgrade, in which it takes its predecessor's place.

// receivedCheckpoint is the predecessor's checkpoint, or why there is none.
type receivedCheckpoint struct {
	encoded []byte
	err     error
}

func (r receivedCheckpoint) handle(d *daemon) error { return d.takeOver(r) }

// receivedFinalCheckpoint is the final checkpoint of the predecessor, which has ended; nil where it sent none.
type receivedFinalCheckpoint struct{ encoded []byte }

func (r receivedFinalCheckpoint) handle(d *daemon) error {
	d.takeFinalCheckpoint(r)
	return nil
}

// requestCheckpoint reports to the predecessor that this process could serve, and waits for its checkpoint.
func (d *daemon) requestCheckpoint() {
	encoded, err := d.predecessor.AwaitCheckpoint()
	d.post(receivedCheckpoint{encoded, err})
}

// takeOver accepts connections, together with the predecessor until that has drained. An error ends this process, and
// the predecessor continues.
func (d *daemon) takeOver(received receivedCheckpoint) error {
	checkpoint, err := state.Decode(received.encoded)
	if received.err != nil {
		err = received.err
	}
	if err == nil {
		d.node.Restore(checkpoint, control.TrustAll)
	} else {
		slog.Warn("upgrade: no checkpoint received, nothing is known of what was spent", "err", err)
		d.conditions.add(conditionQuotaUsage, err.Error())
	}
	d.takeOverDesiredState()
	if err := d.listenControl(d, true); err != nil {
		if received.err == nil { // the predecessor runs and can go on with its own socket
			return err
		}
		logControlSocket(err)
	}
	d.recordProcessID()
	d.checkpointer.ownsFile.Store(true)
	d.node.ResumeListeners()
	if err := d.predecessor.AnnounceTakeOver(); err != nil {
		slog.Warn("upgrade: predecessor has ended", "err", err)
	}
	go func() { // not waited for: the predecessor may outlive this process
		d.post(receivedFinalCheckpoint{d.predecessor.AwaitFinalCheckpoint()})
	}()
	d.servicesReady()
	return nil
}

// takeFinalCheckpoint adds what the predecessor left to this process's part.
func (d *daemon) takeFinalCheckpoint(received receivedFinalCheckpoint) {
	if checkpoint, err := state.Decode(received.encoded); err == nil {
		d.node.Rejoin(&checkpoint)
	} else {
		slog.Warn("upgrade: no final checkpoint received, the predecessor's part of quotas is lost", "err", err)
		d.node.Rejoin(nil)
	}
	d.recoverCommand()
	d.advance(lifecycle.PredecessorEnded{})
}
