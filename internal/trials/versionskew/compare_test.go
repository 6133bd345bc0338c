package versionskew

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lockflow/control"
	"lockflow/internal/codec"
	"lockflow/internal/manage"
	"lockflow/internal/service"
	"lockflow/internal/state"
)

func exampleCheckpoint(t *testing.T) []byte {
	t.Helper()
	raw, err := state.Encode(state.Checkpoint{TakenAt: time.Unix(1e9, 0).UTC(), Services: map[string]service.State{"a": {
		Checkpoint: control.Checkpoint{
			Version: control.CheckpointVersion, ConcurrencyLimit: 12.5,
			Servers:   []control.ServerCheckpoint{{Server: 3, Latency: 0.1}},
			Customers: []control.CustomerCheckpoint{{ID: "1", Plan: reservedPlan, HardLimitTokens: 7, Sent: []control.BinAmount{{Bin: 9, Amount: 2}}}},
		},
		Servers: map[uint32]string{3: "s-3"},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// editCheckpoint returns a copy of a checkpoint file in which change has edited the customer, as another build might
// have written it.
func editCheckpoint(t *testing.T, raw []byte, change func(customer map[any]any)) []byte {
	t.Helper()
	var tree map[any]any
	if err := cbor.Unmarshal(raw[stateHeader:], &tree); err != nil {
		t.Fatal(err)
	}
	checkpoint := tree["services"].(map[any]any)["a"].(map[any]any)["checkpoint"].(map[any]any)
	change(checkpoint["customers"].([]any)[0].(map[any]any))
	body, err := cbor.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	header := binary.BigEndian.AppendUint32(raw[:stateHeader-4:stateHeader-4], codec.Checksum(body))
	return append(header, body...)
}

func TestCheckpointOfSameBuildIsDecodedCompletely(t *testing.T) {
	decoded, paths, err := checkpointDifferences(exampleCheckpoint(t))
	if err != nil || len(paths) > 0 {
		t.Errorf("differences %v, error %v", paths, err)
	}
	if reservedTokens(decoded) != 7 || checkpointConcurrency(decoded) != 12.5 || latencies(decoded)["s-3"] != 0.1 {
		t.Errorf("decoded checkpoint %+v", decoded)
	}
}

// A field that another build renames or omits is reported by its path.
func TestRenamedCheckpointFieldIsReported(t *testing.T) {
	const customer = ".services.a.checkpoint.customers.[0]"
	for name, tc := range map[string]struct {
		change func(customer map[any]any)
		want   []string
	}{
		"renamed": {func(c map[any]any) { c["used"] = c["Own"]; delete(c, "Own") }, []string{customer + ".Own", customer + ".used"}},
		"missing": {func(c map[any]any) { delete(c, "level") }, []string{customer + ".level"}},
		"more":    {func(c map[any]any) { c["new"] = 1 }, []string{customer + ".new"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, paths, err := checkpointDifferences(editCheckpoint(t, exampleCheckpoint(t), tc.change))
			if err != nil || !slices.Equal(paths, tc.want) {
				t.Errorf("differences %v, error %v", paths, err)
			}
		})
	}
}

func TestRenamedStatusKeyIsReported(t *testing.T) {
	raw, err := json.Marshal(manage.Status{PID: 7, Listeners: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, paths, err := statusDifferences(raw); err != nil || len(paths) > 0 {
		t.Errorf("status of the same build: differences %v, error %v", paths, err)
	}
	var tree map[string]any
	if err := json.Unmarshal(raw, &tree); err != nil {
		t.Fatal(err)
	}
	tree["process"] = tree["pid"]
	delete(tree, "pid")
	other, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{".pid", ".process"}
	if _, paths, err := statusDifferences(other); err != nil || !slices.Equal(paths, want) {
		t.Errorf("status differences %v, error %v", paths, err)
	}
	if paths, err := keyDifferences(raw, other); err != nil || !slices.Equal(paths, want) {
		t.Errorf("key differences %v, error %v", paths, err)
	}
}
