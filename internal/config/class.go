package config

import (
	"time"

	"lockflow/control"
	"lockflow/internal/config/tree"
	"lockflow/internal/route"
)

func readClass(name string, t tree.Table) control.Class {
	k := control.Class{
		Name: name, LatencyObjective: t.Duration("aim", 2*time.Second, time.Millisecond, day),
		Deadline:       t.Duration("deadline", 0, time.Millisecond, day),
		Idempotency:    control.Idempotency(t.OneOf("repeats", "free", "keyed", "never")),
		KeyScope:       control.KeyScope(t.OneOf("key_scope", "all", "zone", "group")),
		PriorityWeight: t.Number("worth", 1, 0, maxNumber), LateWeightFraction: t.Number("late_share", 0, 0, 1),
		RepeatWindow: t.Duration("repeat_window", 0, 0, day),
	}
	if k.Deadline == 0 {
		k.Deadline = 4 * k.LatencyObjective
	}
	if k.Deadline < k.LatencyObjective {
		t.Errorf("deadline", "%v is before the aim of %v", k.Deadline, k.LatencyObjective)
	}
	if !t.Has("repeats") {
		t.Errorf("repeats", `it has to be said: "free", "keyed" or "never"`)
	}
	needsKey := k.Idempotency == control.IdempotentWithKey
	for _, key := range []string{"key_scope", "repeat_window"} {
		if t.Has(key) && !needsKey {
			t.Errorf(key, `only with repeats = "keyed"`)
		}
	}
	if needsKey && k.RepeatWindow == 0 {
		t.Errorf("repeat_window", "a keyed class needs one")
	}
	if first := route.FirstSegment("/" + name); first != name || name == "" {
		t.Errorf("", "%q is no segment of a path", name)
	}
	t.Done()
	return k
}
