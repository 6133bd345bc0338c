package upgrade

import (
	"bytes"
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// The value of a successor's environment variable has the same keys as in earlier builds. To replace the golden files:
// go test ./internal/upgrade -run Golden -update
func TestGoldenInheritance(t *testing.T) {
	testkit.GoldenSample(t, "json", "testdata/golden/inherits.json", &inheritance{})
}

// The messages between the two processes have the same encoding as in earlier builds.
func TestGoldenMessages(t *testing.T) {
	messages := []struct {
		kind messageKind
		body string
	}{{messagePrepared, ""}, {messageCheckpoint, "a state"}, {messageTookOver, ""}, {messageFinalCheckpoint, "what is left"}}
	var sent bytes.Buffer
	for _, m := range messages {
		if err := writeMessage(&sent, m.kind, []byte(m.body)); err != nil {
			t.Fatal(err)
		}
	}
	r := bytes.NewReader(testkit.GoldenBytes(t, "testdata/golden/messages", sent.Bytes()))
	for _, m := range messages {
		kind, body, err := readMessage(r)
		if err != nil || kind != m.kind || string(body) != m.body {
			t.Errorf("read kind %q, body %q, error %v; want kind %q, body %q", byte(kind), body, err, byte(m.kind), m.body)
		}
	}
	if r.Len() > 0 {
		t.Errorf("%d bytes left after the last message", r.Len())
	}
}
