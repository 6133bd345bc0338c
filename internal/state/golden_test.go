package state

import (
	"bytes"
	"testing"

	"lockflow/internal/testkit"
)

// The file of an earlier build, which go test ./internal/state -run Golden -update writes anew, is read, and
// written to the same bytes again.
func TestGoldenState(t *testing.T) {
	var sample State
	testkit.Sample("cbor", &sample)
	got, err := Encode(sample)
	if err != nil {
		t.Fatal(err)
	}
	raw := testkit.GoldenBytes(t, "testdata/golden/state", got)
	s, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Encode(s); err != nil || !bytes.Equal(again, raw) {
		t.Errorf("it is not written as it was read: %v", err)
	}
	const head = len(magic) + 4
	if err := testkit.RoundTrip("cbor", raw[head:], new(State)); err != nil {
		t.Error(err)
	}
}
