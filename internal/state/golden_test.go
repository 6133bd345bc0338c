package state

import (
	"bytes"
	"testing"

	"lockflow/internal/testkit"
)

// Encode writes the golden file, which an earlier build wrote, byte for byte, also after Decode has read it.
// go test ./internal/state -run Golden -update replaces the file.
func TestGoldenCheckpoint(t *testing.T) {
	var sample Checkpoint
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
	if err := testkit.RoundTrip("cbor", raw[headerSize:], new(Checkpoint)); err != nil {
		t.Error(err)
	}
}
