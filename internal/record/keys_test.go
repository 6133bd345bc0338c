package record

import (
	"slices"
	"testing"

	"lockflow/control"
	"lockflow/internal/testsupport/testkit"
)

// events has one event of each kind that is recorded, in the order of the kinds' numbers.
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

// Every stored field has an explicit CBOR key, so that renaming a field doesn't change the file format: those of the
// section header with its settings and image, and those of each event.
func TestFieldsHaveExplicitKeys(t *testing.T) {
	testkit.RequireKeys(t, "cbor", slices.Concat([]any{sectionHeader{}, recordedEvent{}}, events)...)
}

// The list of events covers every kind that is recorded, so that the keys of a new kind are checked too.
func TestKeysAreCheckedForAllEvents(t *testing.T) {
	if len(events) != len(eventDecoders) {
		t.Fatalf("%d kinds of event are checked, but %d are recorded", len(events), len(eventDecoders))
	}
	for i, e := range events {
		if kind, err := kindOf(e.(control.Event)); err != nil || int(kind) != i+1 {
			t.Errorf("%T has kind %d, want %d: %v", e, kind, i+1, err)
		}
	}
}
