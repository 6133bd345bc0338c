package state

import (
	"bytes"
	"os"
	"testing"

	"lockflow/internal/testsupport/testkit"
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
	raw := testkit.GoldenBytes(t, "testdata/golden/state-with-uptime", got)
	requireUnchangedByReencoding(t, raw)
}

// A checkpoint of a build that knew no uptime and no starts of servers is read, and written as it was.
func TestGoldenCheckpointWithoutUptime(t *testing.T) {
	raw, err := os.ReadFile("testdata/golden/state")
	if err != nil {
		t.Fatal(err)
	}
	requireUnchangedByReencoding(t, raw)
}

func requireUnchangedByReencoding(t *testing.T, raw []byte) {
	t.Helper()
	checkpoint, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	if encoded, err := Encode(checkpoint); err != nil || !bytes.Equal(encoded, raw) {
		t.Errorf("it is not written as it was read: %v", err)
	}
	if err := testkit.RoundTrip("cbor", raw[headerSize:], new(Checkpoint)); err != nil {
		t.Error(err)
	}
}
