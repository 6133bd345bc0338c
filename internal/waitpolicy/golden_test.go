package waitpolicy

import (
	"bytes"
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Stored and shared sketches of an earlier build are decoded, and encoded to the same bytes.
// go test ./internal/waitpolicy -run Golden -update writes them anew.
func TestGoldenSketches(t *testing.T) {
	for name, c := range map[string]struct {
		encode func(*Model) ([]byte, error)
		most   int
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
		s, err := decode(raw, c.most)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(s.Records) == 0 || name == "stored" && len(s.Correlations) == 0 {
			t.Errorf("%s: it holds %d sketches and %d common factors", name, len(s.Records), len(s.Correlations))
		}
		if again, err := encode(s); err != nil || !bytes.Equal(again, raw) {
			t.Errorf("%s: it is not written as it was read: %v", name, err)
		}
		const head = len(magic) + 4
		if err := testkit.RoundTrip("cbor", raw[head:], new(storedState)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A model is restored from what an earlier build has stored.
func TestGoldenSketchesAreRestored(t *testing.T) {
	next := NewModel(newSettings(0.5, 1, 1), Options{})
	if err := next.Restore(testkit.GoldenBytes(t, "testdata/golden/stored", nil), 0); err != nil {
		t.Fatal(err)
	}
	if n := next.Stats().Sketches; n == 0 {
		t.Error("nothing was restored")
	}
}

// Every key of a sketch, including those that are omitted if empty.
func TestGoldenSketchKeys(t *testing.T) {
	testkit.GoldenSample(t, "cbor", "testdata/golden/sketches.cbor", &storedState{})
}
