package waitpolicy

import (
	"bytes"
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Stored and shared sketches of an earlier build are decoded, and encoded to the same bytes.
// go test ./internal/waitpolicy -run Golden -update rewrites the golden files.
func TestGoldenSketches(t *testing.T) {
	for name, c := range map[string]struct {
		encode   func(*Model) ([]byte, error)
		maxBytes int
	}{
		"stored": {(*Model).Encode, MaxStateBytes},
		"shared": {(*Model).Shared, MaxSharedBytes},
	} {
		var got []byte
		if testkit.IsUpdating() {
			var err error
			if got, err = c.encode(newTrainedModel("c")); err != nil {
				t.Fatal(err)
			}
		}
		raw := testkit.GoldenBytes(t, "testdata/golden/"+name, got)
		state, err := decode(raw, c.maxBytes)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(state.Records) == 0 || name == "stored" && len(state.Correlations) == 0 {
			t.Errorf("%s: decoded %d sketches and %d correlations", name, len(state.Records), len(state.Correlations))
		}
		if reencoded, err := encode(state); err != nil || !bytes.Equal(reencoded, raw) {
			t.Errorf("%s: encoding differs from the golden file: %v", name, err)
		}
		const headerSize = len(magic) + 4
		if err := testkit.RoundTrip("cbor", raw[headerSize:], new(storedState)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A model is restored from the sketches that an earlier build has stored.
func TestGoldenSketchesAreRestored(t *testing.T) {
	restored := NewModel(newSettings(0.5, 1, 1), Options{})
	if err := restored.Restore(testkit.GoldenBytes(t, "testdata/golden/stored", nil), 0); err != nil {
		t.Fatal(err)
	}
	if n := restored.Stats().Sketches; n == 0 {
		t.Error("no sketch was restored")
	}
}

// The golden file contains every key of a sketch, including those that are omitted if empty.
func TestGoldenSketchKeys(t *testing.T) {
	testkit.GoldenSample(t, "cbor", "testdata/golden/sketches.cbor", &storedState{})
}
