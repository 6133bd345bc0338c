package manage

import (
	"testing"

	"lockflow/internal/testkit"
)

// What passes over the control socket is read and written under the keys of earlier builds; go test
// ./internal/manage -run Golden -update writes the files anew.
func TestGoldenControlSocket(t *testing.T) {
	for name, v := range map[string]any{"status": &Status{}, "claim": &Claim{}, "order": &Order{}, "failure": &failure{}} {
		testkit.GoldenSample(t, "json", "testdata/golden/"+name+".json", v)
	}
}
