package desiredstate

import "slices"

// maxOutcomes is how many ended commands a member remembers. A coordinator repeats its last few commands at most,
// so that one which was forgotten is never repeated.
const maxOutcomes = 64

// maxErrorBytes is how much of a failed command's error is stored.
const maxErrorBytes = 1000

// State is which coordinator a member obeys and what it was commanded. It is a value: each method that changes it
// returns the next state, which takes effect once it is saved. The zero value has granted no epoch.
type State struct {
	Epoch uint64 `json:"epoch"` // the newest that was granted; 0 is none. It only grows while LossToken is empty.
	Owner string `json:"owner"` // of Epoch; "" if and only if Epoch is 0
	// LossToken (key "lost"), if not empty, means that the epochs that were granted are lost. Claims need it.
	LossToken string          `json:"lost,omitempty"`
	Running   *RunningCommand `json:"doing,omitempty"` // nil where none is
	Target    Target          `json:"wanted"`
	// Program is the last one that was commanded and has served: a supervisor starts the member with it. "" is none.
	Program string         `json:"program,omitempty"`
	Ended   []EndedCommand `json:"done,omitempty"` // up to maxOutcomes, the newest last
}

// RunningCommand is a command that was accepted and has not ended.
type RunningCommand struct {
	Epoch       uint64 `json:"epoch"`
	ID          string `json:"id"`
	Fingerprint string `json:"act"` // of its operation
	Kind        Kind   `json:"kind"`
	Hash        string `json:"hash,omitempty"`
	Path        string `json:"path,omitempty"`
	Previous    Target `json:"before"` // the target that a failure restores
}

// EndedCommand is a command that has ended, with its outcome.
type EndedCommand struct {
	Outcome
	Epoch       uint64 `json:"epoch"`
	Fingerprint string `json:"act"` // of its operation
}

// Step is what a member does with a command that it accepts.
type Step int

// The steps.
const (
	StepStart  Step = iota // save the next state, run the command, then Finish
	StepWait               // it is running already: answer when it ends
	StepAnswer             // it has ended already: answer its outcome
)

// Grant grants an epoch to its owner. The error is a RejectedError of CodeInvalid, CodeStale or CodeLost, and the
// state is then unchanged.
func (s State) Grant(claim Claim) (State, error) {
	if err := claim.Validate(); err != nil {
		return s, err
	}
	switch {
	case s.LossToken != "" && claim.LossToken != s.LossToken:
		return s, reject(CodeLost, "the epochs that were granted here are lost: a claim needs a new epoch, and after = %q", s.LossToken)
	case claim.Epoch < s.Epoch || claim.Epoch == s.Epoch && claim.Owner != s.Owner:
		return s, s.staleError(claim.Epoch, claim.Owner)
	}
	s.Epoch = claim.Epoch
	s.Owner = claim.Owner
	s.LossToken = ""
	return s, nil
}

func (s State) staleError(epoch uint64, owner string) error {
	if s.Epoch == 0 {
		return reject(CodeStale, "epoch %d of %q is not granted here: none is", epoch, owner)
	}
	return reject(CodeStale, "epoch %d of %q is not granted here: epoch %d of %q is", epoch, owner, s.Epoch, s.Owner)
}

// Accept accepts a command and returns the next state and what to do. The outcome is that of StepAnswer. The error
// is a RejectedError of CodeInvalid, CodeStale, CodeLost or CodeBusy, and the state is then unchanged.
func (s State) Accept(command Command) (State, Step, Outcome, error) {
	if err := s.authorize(&command); err != nil {
		return s, 0, Outcome{}, err
	}
	fingerprint := command.Operation.fingerprint()
	if running := s.Running; running != nil {
		switch {
		case running.ID != command.ID:
			return s, 0, Outcome{}, reject(CodeBusy, "command %s is running: retry", running.ID)
		case running.Fingerprint != fingerprint:
			return s, 0, Outcome{}, reject(CodeInvalid, "command %s is running with another operation", running.ID)
		}
		return s, StepWait, Outcome{}, nil
	}
	if ended, ok := s.findEnded(command.ID); ok {
		if ended.Fingerprint != fingerprint {
			return s, 0, Outcome{}, reject(CodeInvalid, "command %s had another operation", ended.ID)
		}
		return s, StepAnswer, ended.Outcome, nil
	}
	return s.start(&command, fingerprint), StepStart, Outcome{}, nil
}

// authorize checks that a command is valid and sent by the owner of the epoch that is granted.
func (s State) authorize(command *Command) error {
	if err := command.Validate(); err != nil {
		return err
	}
	if s.LossToken != "" {
		return reject(CodeLost, "the epochs that were granted here are lost: the member has to be claimed anew")
	}
	if command.Epoch != s.Epoch || command.Owner != s.Owner {
		return s.staleError(command.Epoch, command.Owner)
	}
	return nil
}

// findEnded finds the newest ended command of an id. A coordinator that resumes another's rollout repeats the last
// command only: an earlier one of another epoch may have the same id by chance, and does not count.
func (s State) findEnded(id string) (EndedCommand, bool) {
	last := len(s.Ended) - 1
	for i, ended := range slices.Backward(s.Ended) {
		if ended.ID == id && (ended.Epoch == s.Epoch || i == last) {
			return ended, true
		}
	}
	return EndedCommand{}, false
}

func (s State) start(command *Command, fingerprint string) State {
	operation := &command.Operation
	s.Running = &RunningCommand{
		Epoch:       command.Epoch,
		ID:          command.ID,
		Fingerprint: fingerprint,
		Kind:        operation.Kind,
		Hash:        operation.Hash,
		Path:        operation.Path,
		Previous:    s.Target,
	}
	switch operation.Kind {
	case KindSettings:
		s.Target.Hash = operation.Hash
	case KindProgram:
		s.Target.Program = operation.Path
	case KindDrain:
		s.Target.Drained = true
	case KindServe:
		s.Target.Drained = false
	case KindRestart: // what it runs stays
	}
	return s
}

// Finish ends the running command, if there is one. A failure, err not nil, restores the target that the command
// had replaced.
func (s State) Finish(err error) State {
	running := s.Running
	if running == nil {
		return s
	}
	ended := EndedCommand{Outcome{ID: running.ID, Code: CodeOK}, running.Epoch, running.Fingerprint}
	if err != nil {
		ended.Code = CodeFailed
		ended.Error = truncate(err.Error())
		s.Target = running.Previous
	} else if running.Kind == KindProgram {
		s.Program = running.Path
	}
	s.Running = nil
	remembered := s.Ended[max(0, len(s.Ended)-maxOutcomes+1):]
	s.Ended = append(slices.Clone(remembered), ended) // a copy: other values of State share the old one
	return s
}

func truncate(text string) string {
	if len(text) > maxErrorBytes {
		return text[:maxErrorBytes] + "..."
	}
	return text
}

// LastOutcome returns the outcome of the command that ended last, or the zero Outcome.
func (s State) LastOutcome() Outcome {
	if len(s.Ended) == 0 {
		return Outcome{}
	}
	return s.Ended[len(s.Ended)-1].Outcome
}

// Observed is what a process that has just started runs.
type Observed struct {
	Hash    string // of the settings in force
	Program string // absolute path
}

// Recover ends the command of a process that is gone. One whose effect is observed has succeeded. Another was
// interrupted: it is forgotten, and runs again when it is repeated. The target stays in both cases. A command to
// serve stays running: it ends once the member serves.
func (s State) Recover(observed Observed) State {
	running := s.Running
	if running == nil {
		return s
	}
	hasSucceeded := false
	switch running.Kind {
	case KindSettings:
		hasSucceeded = observed.Hash == running.Hash
	case KindProgram:
		hasSucceeded = observed.Program == running.Path
	case KindRestart, KindDrain:
		hasSucceeded = true
	case KindServe:
		return s
	}
	if hasSucceeded {
		return s.Finish(nil)
	}
	s.Running = nil
	return s
}

// SetDrained sets whether the member is to stay drained, on behalf of its operator: it needs no epoch, and the
// failure of a running command does not undo it.
func (s State) SetDrained(drained bool) State {
	s.Target.Drained = drained
	if s.Running != nil {
		running := *s.Running // a copy: other values of State share the old one
		running.Previous.Drained = drained
		s.Running = &running
	}
	return s
}
