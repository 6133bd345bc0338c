package record

import (
	"slices"
	"testing"

	"lockflow/control"
	"lockflow/internal/testsupport/testkit"
)

// events has one of each event that recordings hold, in the order of their numbers.
var events = []any{
	control.EndpointList{},
	control.Request{},
	control.ResponseStarted{},
	control.AttemptResult{},
	control.ClientGone{},
	control.TimerFired{},
	control.HealthCheckResult{},
	control.PeerMessage{},
	control.CounterResult{},
}

// Recordings have a written key for every field: of a section's head with its settings and image, and of each event.
func TestFieldsHaveExplicitKeys(t *testing.T) {
	testkit.RequireKeys(t, "cbor", slices.Concat([]any{sectionHeader{}, recordedEvent{}}, events)...)
}

// An event that is not among those checked would go unchecked.
func TestKeysAreCheckedForAllEvents(t *testing.T) {
	if len(events) != len(eventDecoders) {
		t.Fatalf("%d events are checked, recordings know %d", len(events), len(eventDecoders))
	}
	for i, e := range events {
		if kind, err := kindOf(e.(control.Event)); err != nil || int(kind) != i+1 {
			t.Errorf("%T is number %d, not %d: %v", e, kind, i+1, err)
		}
	}
}
