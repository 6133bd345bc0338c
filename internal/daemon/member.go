package daemon

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"os"
	"reflect"

	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
)

// member is this process's view of the fleet member that it runs: which coordinator's epoch is granted, which
// commands it has run, and its desired state. It is not safe for concurrent use: the event loop uses it, or before
// that runs the holder of drainedDaemon.mu.
type member struct {
	store        *desiredstate.File
	desiredState desiredstate.State
	isSaved      bool // the store has desiredState as it is
	conditions   *degradedConditions
}

// openMember opens the desired state in a state directory (empty for none). inherited is the predecessor's file, which
// is read at the take-over; nil where there is none.
func openMember(directory string, inherited *os.File, conditions *degradedConditions) (*member, error) {
	store, err := desiredstate.Open(directory, inherited)
	if err != nil {
		return nil, err
	}
	m := &member{store: store, conditions: conditions}
	if inherited == nil {
		m.load()
	}
	return m, nil
}

// load reads the desired state. One that can't be read is lost: the member rejects every coordinator until a claim with
// the loss's token.
func (m *member) load() {
	loaded, err := m.store.Load()
	if err != nil {
		slog.Error("desired state unreadable, commands are rejected until a new claim", "err", err)
		m.conditions.add(conditionDesiredState, err.Error())
		m.store.Quarantine()
		m.desiredState = desiredstate.State{LossToken: rand.Text()}
		m.record(m.desiredState)
		return
	}
	m.desiredState = loaded
	m.isSaved = true
	if loaded.LossToken != "" {
		m.conditions.add(conditionDesiredState, "the epochs that were granted are lost")
	}
}

// save replaces the desired state by next once next is stored; where that fails it is unchanged.
func (m *member) save(next desiredstate.State) error {
	if m.isSaved && reflect.DeepEqual(m.desiredState, next) {
		return nil
	}
	if err := m.store.Save(next); err != nil {
		m.conditions.add(conditionDesiredState, err.Error())
		return &desiredstate.RejectedError{Code: desiredstate.CodeNotSaved, Text: err.Error()}
	}
	m.desiredState = next
	m.isSaved = true
	if next.LossToken == "" {
		m.conditions.clear(conditionDesiredState)
	}
	return nil
}

// record replaces the desired state by next, which has what happened already, also where it can't be stored. The next
// process then finds the earlier one and recovers by what it observes.
func (m *member) record(next desiredstate.State) {
	if err := m.save(next); err != nil {
		slog.Error("command outcome not saved", "err", err)
		m.desiredState = next
		m.isSaved = false
	}
}

// grantEpoch grants a claim or rejects it.
func (m *member) grantEpoch(claim desiredstate.Claim) error {
	next, err := m.desiredState.Grant(claim)
	if err != nil {
		return err
	}
	isNew := next.Epoch != m.desiredState.Epoch
	if err := m.save(next); err != nil {
		return err
	}
	if isNew {
		slog.Info("coordinator epoch granted", "epoch", next.Epoch, "owner", next.Owner)
	}
	return nil
}

// setDrained sets for the operator, regardless of epochs, whether the desired state is drained. Without a state
// directory that can't be stored, and the daemon drains all the same.
func (m *member) setDrained(isDrained bool) error {
	if m.store.IsVolatile() && isDrained {
		return nil
	}
	return m.save(m.desiredState.SetDrained(isDrained))
}

// addStatus fills in what the status shows of the member.
func (m *member) addStatus(s *manage.Status) {
	s.Epoch = m.desiredState.Epoch
	s.Owner = m.desiredState.Owner
	s.LostToken = m.desiredState.LossToken
	s.IsVolatile = m.store.IsVolatile()
	s.LastCommand = m.desiredState.LastOutcome()
	s.DesiredState = m.desiredState.Target
	if running := m.desiredState.Running; running != nil {
		s.RunningCommand = running.ID
	}
}

// outcomeError returns what is answered to a command that has ended: nil where it succeeded.
func outcomeError(outcome desiredstate.Outcome) error {
	if outcome.Code == desiredstate.CodeOK {
		return nil
	}
	return &desiredstate.RejectedError{Code: outcome.Code, Text: outcome.Error}
}

// busyError returns a rejection after which the caller may retry.
func busyError(format string, args ...any) error {
	return &desiredstate.RejectedError{Code: desiredstate.CodeBusy, Text: fmt.Sprintf(format, args...) + ": ask again"}
}

// invalidError returns a rejection that a retry can't change.
func invalidError(text string) error {
	return &desiredstate.RejectedError{Code: desiredstate.CodeInvalid, Text: text}
}
