package desiredstate

import "slices"

// maxOutcomes is the number of ended commands that a member remembers. A coordinator repeats only its last few
// commands, so a forgotten one is never repeated.
const maxOutcomes = 64

// maxErrorBytes is the length to which the error of a failed command is truncated before it is stored.
const maxErrorBytes = 1000

// State records which coordinator's commands a member accepts, and what it was commanded. It is a value: a method that
// changes it returns the next state, which takes effect once it is saved. The zero value has granted no epoch.
type State struct {
	Epoch uint64 `json:"epoch"` // newest epoch that was granted, or 0; while LossToken is empty it never decreases
	Owner string `json:"owner"` // of Epoch; "" if and only if Epoch is 0
	// LossToken (key "lost"), if not empty, means that the record of granted epochs is lost. A claim must then have it.
	LossToken string          `json:"lost,omitempty"`
	Running   *RunningCommand `json:"doing,omitempty"` // nil if no command is running
	Target    Target          `json:"wanted"`
	// Program is the last commanded program that has served, or "". A supervisor starts the member with it.
	Program string         `json:"program,omitempty"`
	Ended   []EndedCommand `json:"done,omitempty"` // at most maxOutcomes, newest last
}

// RunningCommand is a command that was accepted and has not ended.
type RunningCommand struct {
	Epoch       uint64 `json:"epoch"`
	ID          string `json:"id"`
	Fingerprint string `json:"act"` // of the operation
	Kind        Kind   `json:"kind"`
	Hash        string `json:"hash,omitempty"`
	Path        string `json:"path,omitempty"`
	Previous    Target `json:"before"` // target before the command; restored if the command fails
}

// EndedCommand is a command that has ended, with its outcome.
type EndedCommand struct {
	Outcome
	Epoch       uint64 `json:"epoch"`
	Fingerprint string `json:"act"` // of the operation
}

// Step is what a member has to do about a command that it accepted.
type Step int

// The steps.
const (
	StepStart  Step = iota // save the next state, run the command, then call Finish
	StepWait               // the command is already running: answer when it ends
	StepAnswer             // the command has already ended: answer its outcome
)

// Grant grants an epoch to its owner. A failure leaves the state unchanged and is a RejectedError with CodeInvalid,
// CodeStale or CodeLost.
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

// Accept accepts a command and returns the next state, what to do, and, for StepAnswer, the command's outcome. A
// failure leaves the state unchanged and is a RejectedError with CodeInvalid, CodeStale, CodeLost or CodeBusy.
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

// authorize checks that a command is valid and comes from the owner of the granted epoch.
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

// findEnded finds the newest ended command with the given id. Commands of other epochs may have the same id by chance,
// so they don't count, with one exception: a coordinator that resumes another's rollout may repeat the last command.
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
	case KindRestart: // leaves the target unchanged
	}
	return s
}

// Finish ends the running command, if there is one. A non-nil err means that the command failed, and restores the
// previous target.
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
	s.Ended = append(slices.Clone(remembered), ended) // cloned because other State values share the slice
	return s
}

func truncate(text string) string {
	if len(text) > maxErrorBytes {
		return text[:maxErrorBytes] + "..."
	}
	return text
}

// LastOutcome returns the outcome of the command that ended last, or the zero Outcome if none has ended.
func (s State) LastOutcome() Outcome {
	if len(s.Ended) == 0 {
		return Outcome{}
	}
	return s.Ended[len(s.Ended)-1].Outcome
}

// Observed is what a newly started process runs.
type Observed struct {
	Hash    string // hash of the settings in force
	Program string // absolute path
}

// Recover ends the command that was running when the previous process ended. If its effect is observed, it has
// succeeded. Otherwise it was interrupted: it is forgotten, and runs anew if the coordinator repeats it. The target
// stays in both cases. A command to serve remains running until the member serves.
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

// SetDrained sets whether the member stays drained. It is for requests of the operator, which need no epoch; the failure
// of a running command does not undo it.
func (s State) SetDrained(drained bool) State {
	s.Target.Drained = drained
	if s.Running != nil {
		running := *s.Running // copied because other State values share the pointer
		running.Previous.Drained = drained
		s.Running = &running
	}
	return s
}
