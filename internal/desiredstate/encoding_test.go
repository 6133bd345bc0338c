package desiredstate

import (
	"reflect"
	"strings"
	"testing"
)

func FuzzDecode(f *testing.F) {
	raw, _ := Encode(State{Epoch: 7, Owner: "a", Running: &RunningCommand{Epoch: 7, ID: "1"}})
	f.Add(raw)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, raw []byte) {
		// An attacker can compute a valid checksum. Correcting it here makes Decode validate the body.
		if i := strings.IndexByte(string(raw), '\n'); i >= 0 {
			raw = append([]byte(magic+Hash(raw[i+1:])+"\n"), raw[i+1:]...)
		}
		state, err := Decode(raw)
		if err != nil {
			return
		}
		state.Recover(Observed{}).LastOutcome()
		if reencoded, err := Encode(state); err == nil {
			if got, err := Decode(reencoded); err != nil || !reflect.DeepEqual(got, state) {
				t.Errorf("encoded %+v, decoded %+v, error %v", state, got, err)
			}
		}
	})
}
