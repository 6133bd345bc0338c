package desiredstate

import (
	"slices"
)

// doneMost is how many outcomes a member keeps. Of an order that was forgotten the outcome is told as if
// it had never been: a coordinator asks again for the last few at the most.
const doneMost = 64

// Doing is an order that is under way.
type Doing struct {
	Epoch  uint64 `json:"epoch"`
	ID     string `json:"id"`
	Act    string `json:"act"`
	Kind   string `json:"kind"`
	Hash   string `json:"hash,omitempty"`
	Path   string `json:"path,omitempty"`
	Before Wanted `json:"before"` // what was wanted until then
}

// Ended is an order that has ended.
type Ended struct {
	Done
	Epoch uint64 `json:"epoch"`
	Act   string `json:"act"`
}

// Book is what a member knows of who may order and what was ordered. It is a value: what changes it gives
// another one, which counts once it was written down. The zero value has granted nothing.
type Book struct {
	Epoch  uint64 `json:"epoch"`
	Owner  string `json:"owner"`
	Lost   string `json:"lost,omitempty"` // token: epochs that were granted are not known
	Doing  *Doing `json:"doing,omitempty"`
	Wanted Wanted `json:"wanted"`
	// Program is the last one that was ordered and has proved itself: whoever starts the member anew
	// starts that. "" is none.
	Program string  `json:"program,omitempty"`
	Done    []Ended `json:"done,omitempty"` // the newest last
}

// Step is what follows from an order.
type Step int

// The steps.
const (
	Start  Step = iota // it begins: the book is written, then the order is carried out, then End
	Wait               // it is under way: it is answered when it ends
	Answer             // it has ended before
)

// Claim grants an epoch or refuses it with Stale or Lost.
func (b Book) Claim(c Claim) (Book, error) {
	if err := c.Check(); err != nil {
		return b, err
	}
	switch {
	case b.Lost != "" && c.After != b.Lost:
		return b, refuse(Lost, "the epochs that were granted here are lost: it takes a new epoch, and after = %q", b.Lost)
	case c.Epoch < b.Epoch || c.Epoch == b.Epoch && c.Owner != b.Owner:
		return b, b.stale(c.Epoch, c.Owner)
	}
	b.Epoch, b.Owner, b.Lost = c.Epoch, c.Owner, ""
	return b, nil
}

func (b Book) stale(epoch uint64, owner string) error {
	if b.Epoch == 0 {
		return refuse(Stale, "epoch %d of %q is not granted here: none is", epoch, owner)
	}
	return refuse(Stale, "epoch %d of %q is not granted here: epoch %d of %q is", epoch, owner, b.Epoch, b.Owner)
}

// Order takes an order. A refusal changes nothing.
func (b Book) Order(o Order) (Book, Step, Done, error) {
	if err := o.Check(); err != nil {
		return b, 0, Done{}, err
	}
	switch {
	case b.Lost != "":
		return b, 0, Done{}, refuse(Lost, "the epochs that were granted here are lost: it has to be claimed anew")
	case o.Epoch != b.Epoch || o.Owner != b.Owner:
		return b, 0, Done{}, b.stale(o.Epoch, o.Owner)
	}
	act := o.Want.act()
	if d := b.Doing; d != nil {
		switch {
		case d.ID != o.ID:
			return b, 0, Done{}, refuse(Busy, "order %s is under way: ask again", d.ID)
		case d.Act != act:
			return b, 0, Done{}, refuse(Bad, "order %s is under way, and is another one", d.ID)
		}
		return b, Wait, Done{}, nil
	}
	for i, d := range slices.Backward(b.Done) {
		// A coordinator that goes on with what another began asks for the last one only. Guards against an
		// id of an older epoch that happens to be the same.
		if d.ID != o.ID || d.Epoch != b.Epoch && i != len(b.Done)-1 {
			continue
		}
		if d.Act != act {
			return b, 0, Done{}, refuse(Bad, "order %s was another one", d.ID)
		}
		return b, Answer, d.Done, nil
	}
	b.Doing = &Doing{Epoch: o.Epoch, ID: o.ID, Act: act, Kind: o.Want.Kind, Hash: o.Want.Hash, Path: o.Want.Path, Before: b.Wanted}
	switch o.Want.Kind {
	case Settings:
		b.Wanted.Hash = o.Want.Hash
	case Program:
		b.Wanted.Program = o.Want.Path
	case Drain:
		b.Wanted.Drained = true
	case Serve:
		b.Wanted.Drained = false
	}
	return b, Start, Done{}, nil
}

// End ends the order under way. One that has failed leaves the member as it was, also what is wanted of it.
func (b Book) End(err error) Book {
	d := b.Doing
	if d == nil {
		return b
	}
	e := Ended{Done{ID: d.ID, Code: OK}, d.Epoch, d.Act}
	if err != nil {
		e.Code, e.Error = Failed, shorten(err.Error())
		b.Wanted = d.Before
	} else if d.Kind == Program {
		b.Program = d.Path
	}
	b.Doing = nil
	b.Done = append(slices.Clone(b.Done[max(0, len(b.Done)-doneMost+1):]), e)
	return b
}

// errorMost bounds what is kept of an error, in bytes.
const errorMost = 1000

func shorten(s string) string {
	if len(s) > errorMost {
		return s[:errorMost] + "..."
	}
	return s
}

// Last is the order that ended last; the zero Done where there was none.
func (b Book) Last() Done {
	if len(b.Done) == 0 {
		return Done{}
	}
	return b.Done[len(b.Done)-1].Done
}

// Facts are what a process that has just begun finds.
type Facts struct {
	Hash    string // of the settings in force
	Program string // that it runs
}

// Recover takes in that the process which carried out an order is no more and this one runs instead. What
// the facts show to be done has ended well; what they don't was cut, and is done when it is asked for again.
// What is wanted stays. An order to serve goes on: it ends once the member serves.
func (b Book) Recover(f Facts) Book {
	d := b.Doing
	if d == nil {
		return b
	}
	done := false
	switch d.Kind {
	case Settings:
		done = f.Hash == d.Hash
	case Program:
		done = f.Program == d.Path
	case Restart, Drain:
		done = true
	case Serve:
		return b
	}
	if done {
		return b.End(nil)
	}
	b.Doing = nil
	return b
}

// Rest notes by the hand of the owner, beside all epochs, whether the member is to be drained.
func (b Book) Rest(drained bool) Book {
	b.Wanted.Drained = drained
	if d := b.Doing; d != nil { // what fails must not undo it
		after := *d
		after.Before.Drained = drained
		b.Doing = &after
	}
	return b
}
