package desiredstate

import (
	"bytes"
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// The state file of an earlier build can be decoded, and is encoded to the same bytes. The flag -update rewrites it.
func TestGoldenFile(t *testing.T) {
	var sample State
	testkit.Sample("json", &sample)
	sample.Program = "/usr/bin/" + sample.Owner
	sample.Epoch = sample.Running.Epoch + 1
	got, err := Encode(sample)
	if err != nil {
		t.Fatal(err)
	}
	raw := testkit.GoldenBytes(t, "testdata/golden/orders", got)
	state, err := Decode(raw) // rejects unknown keys
	if err != nil {
		t.Fatal(err)
	}
	if reencoded, err := Encode(state); err != nil || !bytes.Equal(reencoded, raw) {
		t.Errorf("decoded golden file is encoded to other bytes: %v", err)
	}
}

// The messages of coordinators have the same keys as in earlier builds.
func TestGoldenMessages(t *testing.T) {
	testkit.GoldenSample(t, "json", "testdata/golden/claim.json", &Claim{})
	testkit.GoldenSample(t, "json", "testdata/golden/order.json", &Command{})
}
