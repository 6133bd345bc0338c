package desiredstate

import (
	"bytes"
	"testing"

	"lockflow/internal/testkit"
)

// The file of an earlier build, which go test ./internal/desiredstate -run Golden -update writes anew, is read, and
// written to the same bytes again.
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
	b, err := Decode(raw) // which refuses keys that it does not know
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Encode(b); err != nil || !bytes.Equal(again, raw) {
		t.Errorf("it is not written as it was read: %v", err)
	}
}

// What coordinators send is read and written under the keys of earlier builds.
func TestGoldenMessages(t *testing.T) {
	testkit.GoldenSample(t, "json", "testdata/golden/claim.json", &Claim{})
	testkit.GoldenSample(t, "json", "testdata/golden/order.json", &Command{})
}
