package desiredstate

import (
	"slices"
)

// maxOutcomes is how many outcomes a member keeps. Of an order that was forgotten the outcome is told as if
// it had never been: a coordinator asks again for the last few at the most.
const maxOutcomes = 64

// RunningCommand is an order that is under way.
type RunningCommand struct {
	Epoch       uint64 `json:"epoch"`
	ID          string `json:"id"`
	Fingerprint string `json:"act"`
	Kind        string `json:"kind"`
	Hash        string `json:"hash,omitempty"`
	Path        string `json:"path,omitempty"`
	Previous    Target `json:"before"` // what was wanted until then
}

// EndedCommand is an order that has ended.
type EndedCommand struct {
	Outcome
	Epoch       uint64 `json:"epoch"`
	Fingerprint string `json:"act"`
}

// State is what a member knows of who may order and what was ordered. It is a value: what changes it gives
// another one, which counts once it was written down. The zero value has granted nothing.
type State struct {
	Epoch     uint64          `json:"epoch"`
	Owner     string          `json:"owner"`
	LossToken string          `json:"lost,omitempty"` // token: epochs that were granted are not known
	Running   *RunningCommand `json:"doing,omitempty"`
	Target    Target          `json:"wanted"`
	// Program is the last one that was ordered and has proved itself: whoever starts the member anew
	// starts that. "" is none.
	Program string         `json:"program,omitempty"`
	Ended   []EndedCommand `json:"done,omitempty"` // the newest last
}

// Step is what follows from an order.
type Step int

// The steps.
const (
	StepStart  Step = iota // it begins: the book is written, then the order is carried out, then End
	StepWait               // it is under way: it is answered when it ends
	StepAnswer             // it has ended before
)

// Grant grants an epoch or refuses it with Stale or Lost.
func (b State) Grant(c Claim) (State, error) {
	if err := c.Validate(); err != nil {
		return b, err
	}
	switch {
	case b.LossToken != "" && c.LossToken != b.LossToken:
		return b, reject(CodeLost, "the epochs that were granted here are lost: it takes a new epoch, and after = %q", b.LossToken)
	case c.Epoch < b.Epoch || c.Epoch == b.Epoch && c.Owner != b.Owner:
		return b, b.staleError(c.Epoch, c.Owner)
	}
	b.Epoch, b.Owner, b.LossToken = c.Epoch, c.Owner, ""
	return b, nil
}

func (b State) staleError(epoch uint64, owner string) error {
	if b.Epoch == 0 {
		return reject(CodeStale, "epoch %d of %q is not granted here: none is", epoch, owner)
	}
	return reject(CodeStale, "epoch %d of %q is not granted here: epoch %d of %q is", epoch, owner, b.Epoch, b.Owner)
}

// Accept takes an order. A refusal changes nothing.
func (b State) Accept(o Command) (State, Step, Outcome, error) {
	if err := o.Validate(); err != nil {
		return b, 0, Outcome{}, err
	}
	switch {
	case b.LossToken != "":
		return b, 0, Outcome{}, reject(CodeLost, "the epochs that were granted here are lost: it has to be claimed anew")
	case o.Epoch != b.Epoch || o.Owner != b.Owner:
		return b, 0, Outcome{}, b.staleError(o.Epoch, o.Owner)
	}
	act := o.Operation.fingerprint()
	if d := b.Running; d != nil {
		switch {
		case d.ID != o.ID:
			return b, 0, Outcome{}, reject(CodeBusy, "order %s is under way: ask again", d.ID)
		case d.Fingerprint != act:
			return b, 0, Outcome{}, reject(CodeInvalid, "order %s is under way, and is another one", d.ID)
		}
		return b, StepWait, Outcome{}, nil
	}
	for i, d := range slices.Backward(b.Ended) {
		// A coordinator that goes on with what another began asks for the last one only. Guards against an
		// id of an older epoch that happens to be the same.
		if d.ID != o.ID || d.Epoch != b.Epoch && i != len(b.Ended)-1 {
			continue
		}
		if d.Fingerprint != act {
			return b, 0, Outcome{}, reject(CodeInvalid, "order %s was another one", d.ID)
		}
		return b, StepAnswer, d.Outcome, nil
	}
	b.Running = &RunningCommand{Epoch: o.Epoch, ID: o.ID, Fingerprint: act, Kind: o.Operation.Kind, Hash: o.Operation.Hash, Path: o.Operation.Path, Previous: b.Target}
	switch o.Operation.Kind {
	case KindSettings:
		b.Target.Hash = o.Operation.Hash
	case KindProgram:
		b.Target.Program = o.Operation.Path
	case KindDrain:
		b.Target.Drained = true
	case KindServe:
		b.Target.Drained = false
	}
	return b, StepStart, Outcome{}, nil
}

// Finish ends the order under way. One that has failed leaves the member as it was, also what is wanted of it.
func (b State) Finish(err error) State {
	d := b.Running
	if d == nil {
		return b
	}
	e := EndedCommand{Outcome{ID: d.ID, Code: CodeOK}, d.Epoch, d.Fingerprint}
	if err != nil {
		e.Code, e.Error = CodeFailed, truncate(err.Error())
		b.Target = d.Previous
	} else if d.Kind == KindProgram {
		b.Program = d.Path
	}
	b.Running = nil
	b.Ended = append(slices.Clone(b.Ended[max(0, len(b.Ended)-maxOutcomes+1):]), e)
	return b
}

// maxErrorBytes bounds what is kept of an error, in bytes.
const maxErrorBytes = 1000

func truncate(s string) string {
	if len(s) > maxErrorBytes {
		return s[:maxErrorBytes] + "..."
	}
	return s
}

// LastOutcome is the order that ended last; the zero Done where there was none.
func (b State) LastOutcome() Outcome {
	if len(b.Ended) == 0 {
		return Outcome{}
	}
	return b.Ended[len(b.Ended)-1].Outcome
}

// Observed are what a process that has just begun finds.
type Observed struct {
	Hash    string // of the settings in force
	Program string // that it runs
}

// Recover takes in that the process which carried out an order is no more and this one runs instead. What
// the facts show to be done has ended well; what they don't was cut, and is done when it is asked for again.
// What is wanted stays. An order to serve goes on: it ends once the member serves.
func (b State) Recover(f Observed) State {
	d := b.Running
	if d == nil {
		return b
	}
	done := false
	switch d.Kind {
	case KindSettings:
		done = f.Hash == d.Hash
	case KindProgram:
		done = f.Program == d.Path
	case KindRestart, KindDrain:
		done = true
	case KindServe:
		return b
	}
	if done {
		return b.Finish(nil)
	}
	b.Running = nil
	return b
}

// SetDrained notes by the hand of the owner, beside all epochs, whether the member is to be drained.
func (b State) SetDrained(drained bool) State {
	b.Target.Drained = drained
	if d := b.Running; d != nil { // what fails must not undo it
		after := *d
		after.Previous.Drained = drained
		b.Running = &after
	}
	return b
}
