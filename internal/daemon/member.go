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

// member is this process's view of the fleet member that it runs: the granted epoch and its owner, the commands that
// have run, and the desired state. It is not safe for concurrent use. Only the event loop uses it or, before that runs,
// the goroutine that holds drainedDaemon.mu.
type member struct {
	store        *desiredstate.File
	desiredState desiredstate.State
	isSaved      bool // whether the store contains desiredState unchanged
	conditions   *degradedConditions
}

// openMember opens the desired state in a state directory; an empty directory is none. inherited is the predecessor's
// file, which is read at the take-over, or nil without a predecessor.
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

// load reads the desired state. If that fails, the granted epochs are lost, and the member rejects every coordinator
// until a claim contains the token of the loss.
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

// save stores next and then makes it the desired state. If storing fails, the desired state is unchanged.
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

// record makes next the desired state even if it can't be stored, because it describes what has happened already. After
// such a failure the next process loads the older state and recovers the command from what it observes.
func (m *member) record(next desiredstate.State) {
	if err := m.save(next); err != nil {
		slog.Error("command outcome not saved", "err", err)
		m.desiredState = next
		m.isSaved = false
	}
}

// grantEpoch grants a coordinator's claim, or returns why it is rejected.
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

// setDrained sets whether the desired state is drained, at the request of an operator and regardless of epochs. Without a
// state directory a drained state can't be stored; setDrained then returns nil, so that the daemon still drains.
func (m *member) setDrained(isDrained bool) error {
	if m.store.IsVolatile() && isDrained {
		return nil
	}
	return m.save(m.desiredState.SetDrained(isDrained))
}

// addStatus sets the member's fields in a status.
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

// outcomeError returns the answer for a command that has ended, nil if it succeeded.
func outcomeError(outcome desiredstate.Outcome) error {
	if outcome.Code == desiredstate.CodeOK {
		return nil
	}
	return &desiredstate.RejectedError{Code: outcome.Code, Text: outcome.Error}
}

// busyError returns a rejection that the caller may retry.
func busyError(format string, args ...any) error {
	return &desiredstate.RejectedError{Code: desiredstate.CodeBusy, Text: fmt.Sprintf(format, args...) + ": ask again"}
}

// invalidError returns a rejection that a retry would get too.
func invalidError(text string) error {
	return &desiredstate.RejectedError{Code: desiredstate.CodeInvalid, Text: text}
}
