package regions

import (
	"fmt"
	"time"

	"lockflow/control"
)

// terms are the settings of a class that decide whether, where and until when a request may be repeated.
type terms struct {
	idempotency  control.Idempotency
	keyScope     control.KeyScope // zero unless requests have an idempotency key
	repeatWindow time.Duration    // zero unless requests have an idempotency key
	deadline     time.Duration
}

func termsOf(class control.Class) terms {
	t := terms{idempotency: class.Idempotency, deadline: class.Deadline}
	if class.Idempotency == control.IdempotentWithKey {
		t.keyScope = class.KeyScope
		t.repeatWindow = class.RepeatWindow
	}
	return t
}

// String describes the terms for the text of a conflict.
func (t terms) String() string {
	switch t.idempotency {
	case control.Idempotent:
		return fmt.Sprintf("free to repeat, deadline %v", t.deadline)
	case control.IdempotentWithKey:
		scopes := [...]string{"all", "a zone", "a group"}
		return fmt.Sprintf("keyed over %s for %v, deadline %v", scopes[int(t.keyScope)%len(scopes)], t.repeatWindow, t.deadline)
	}
	return fmt.Sprintf("never repeated, deadline %v", t.deadline)
}
