package versionskew

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"lockflow/internal/manage"
	"lockflow/internal/state"
)

// stateHeader is the length of a checkpoint file's header in bytes: a magic string and a checksum. CBOR follows it.
const stateHeader = len("lockflow state\n") + 4

// checkpointDifferences decodes a checkpoint file and encodes it again. It returns the paths whose values differ
// afterwards: fields that this build doesn't know or interprets differently.
func checkpointDifferences(raw []byte) (state.Checkpoint, []string, error) {
	decoded, err := state.Decode(raw)
	if err != nil {
		return state.Checkpoint{}, nil, err
	}
	encoded, err := state.Encode(decoded)
	if err != nil {
		return state.Checkpoint{}, nil, err
	}
	var before, after any
	if err := cbor.Unmarshal(raw[stateHeader:], &before); err != nil {
		return state.Checkpoint{}, nil, fmt.Errorf("decoding a checkpoint: %w", err)
	}
	if err := cbor.Unmarshal(encoded[stateHeader:], &after); err != nil {
		return state.Checkpoint{}, nil, fmt.Errorf("decoding a checkpoint: %w", err)
	}
	return decoded, differences(before, after, reflect.DeepEqual), nil
}

// statusDifferences is checkpointDifferences for the JSON status of the control socket.
func statusDifferences(raw []byte) (manage.Status, []string, error) {
	var decoded manage.Status
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return decoded, nil, fmt.Errorf("decoding a status: %w", err)
	}
	encoded, err := json.Marshal(decoded)
	if err != nil {
		return decoded, nil, fmt.Errorf("encoding a status: %w", err)
	}
	paths, err := jsonDifferences(raw, encoded, reflect.DeepEqual)
	return decoded, paths, err
}

// keyDifferences returns the paths that only one of two JSON texts has; it ignores values.
func keyDifferences(a, b []byte) ([]string, error) {
	return jsonDifferences(a, b, func(any, any) bool { return true })
}

// jsonDifferences returns the paths at which two JSON texts differ.
func jsonDifferences(a, b []byte, equal func(a, b any) bool) ([]string, error) {
	var trees [2]any
	for i, raw := range [][]byte{a, b} {
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.UseNumber()
		if err := decoder.Decode(&trees[i]); err != nil {
			return nil, fmt.Errorf("decoding a status: %w", err)
		}
	}
	return differences(trees[0], trees[1], equal), nil
}

// differences returns the sorted paths at which two trees of maps, slices and values differ.
func differences(a, b any, equal func(a, b any) bool) []string {
	var paths []string
	appendDifferences("", a, b, equal, &paths)
	slices.Sort(paths)
	return slices.Compact(paths)
}

// appendDifferences appends the paths below path at which two trees differ.
func appendDifferences(path string, a, b any, equal func(a, b any) bool, paths *[]string) {
	left, right := entries(a), entries(b)
	if left == nil || right == nil {
		if (left == nil) != (right == nil) || !equal(a, b) {
			*paths = append(*paths, path)
		}
		return
	}
	for key, value := range left {
		other, ok := right[key]
		if !ok {
			*paths = append(*paths, path+"."+key)
			continue
		}
		appendDifferences(path+"."+key, value, other, equal, paths)
	}
	for key := range right {
		if _, ok := left[key]; !ok {
			*paths = append(*paths, path+"."+key)
		}
	}
}

// entries returns the children of a map or slice by key, or nil for any other value.
func entries(tree any) map[string]any {
	all := make(map[string]any)
	switch tree := tree.(type) {
	case map[string]any:
		return tree
	case map[any]any:
		for key, value := range tree {
			all[fmt.Sprint(key)] = value
		}
	case []any:
		for i, value := range tree {
			all[fmt.Sprintf("[%d]", i)] = value
		}
	default:
		return nil
	}
	return all
}
