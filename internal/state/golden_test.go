package state

import (
	"bytes"
	"os"
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Encode produces the golden file of an earlier build byte for byte, also from the checkpoint that Decode returns for it.
// To replace the file: go test ./internal/state -run Golden -update
func TestGoldenCheckpoint(t *testing.T) {
	var sample Checkpoint
	testkit.Sample("cbor", &sample)
	got, err := Encode(sample)
	if err != nil {
		t.Fatal(err)
	}
	raw := testkit.GoldenBytes(t, "testdata/golden/state-with-recent-runs", got)
	requireUnchangedByReencoding(t, raw)
}

// A checkpoint of a build without uptimes and start times of servers is decoded, and encoded without a change.
func TestGoldenCheckpointWithoutUptime(t *testing.T) {
	requireUnchangedFile(t, "testdata/golden/state")
}

// A checkpoint of a build without ids of recent requests is decoded, and encoded without a change.
func TestGoldenCheckpointWithoutRecentRuns(t *testing.T) {
	requireUnchangedFile(t, "testdata/golden/state-with-uptime")
}

func requireUnchangedFile(t *testing.T, path string) {
	t.Helper()
	raw, err := os.ReadFile(path)
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
		t.Errorf("the decoded checkpoint is encoded differently: %v", err)
	}
	if err := testkit.RoundTrip("cbor", raw[headerSize:], new(Checkpoint)); err != nil {
		t.Error(err)
	}
}
