package testkit

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// update makes tests rewrite their golden files: go test ./internal/NAME -run Golden -update. If a file changes, earlier
// builds must be able to read the new encoding, or its version must be increased.
var update = flag.Bool("update", false, "rewrite the golden files")

// IsUpdating reports whether golden files are rewritten.
func IsUpdating() bool { return *update }

// GoldenBytes returns the content of a golden file. With -update, got is first written to the file unless it is nil.
// Otherwise the test fails if got is not nil and differs from the file.
func GoldenBytes(t testing.TB, path string, got []byte) []byte {
	t.Helper()
	if *update && got != nil {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != nil && !bytes.Equal(got, want) {
		t.Errorf("%s: the encoding differs from the golden file: %s", path, firstDifference(got, want))
	}
	return want
}

// GoldenSample checks a type against the golden file of its Sample: the sample must be encoded to the content of the file,
// and the content must be decoded, without unknown keys, to a value that is encoded to the same bytes. v is a pointer to a
// zero value of the type.
func GoldenSample(t testing.TB, format, path string, v any) {
	t.Helper()
	sample := reflect.New(reflect.TypeOf(v).Elem()).Interface()
	Sample(format, sample)
	got, err := encode(format, sample)
	if err != nil {
		t.Fatal(err)
	}
	want := GoldenBytes(t, path, got)
	if err := RoundTrip(format, want, v); err != nil {
		t.Errorf("%s: %v", path, err)
	}
}

// RoundTrip decodes raw into the value that v points to and encodes it again. It returns an error if raw has a key that
// the type does not know, or if the encoding differs from raw.
func RoundTrip(format string, raw []byte, v any) error {
	if err := decode(format, raw, v); err != nil {
		return fmt.Errorf("decoding %T: %w", v, err)
	}
	encoded, err := encode(format, v)
	if err != nil {
		return fmt.Errorf("encoding %T: %w", v, err)
	}
	if !bytes.Equal(encoded, raw) {
		return fmt.Errorf("%T is encoded differently than read: %s", v, firstDifference(encoded, raw))
	}
	return nil
}

func encode(format string, v any) ([]byte, error) {
	switch format {
	case "cbor":
		return cbor.Marshal(v)
	case "json":
		return json.Marshal(v)
	}
	return nil, fmt.Errorf("unknown format %q", format)
}

func decode(format string, raw []byte, v any) error {
	switch format {
	case "cbor":
		mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
		if err != nil {
			return err
		}
		return mode.Unmarshal(raw, v)
	case "json":
		d := json.NewDecoder(bytes.NewReader(raw))
		d.DisallowUnknownFields()
		if err := d.Decode(v); err != nil {
			return err
		}
		if d.More() {
			return errors.New("data after the value")
		}
		return nil
	}
	return fmt.Errorf("unknown format %q", format)
}

// firstDifference describes the first difference between two texts with some context.
func firstDifference(got, want []byte) string {
	const before, shown = 24, 64
	i := 0
	for i < len(got) && i < len(want) && got[i] == want[i] {
		i++
	}
	from := max(0, i-before)
	cut := func(b []byte) []byte { return b[min(from, len(b)):min(i+shown, len(b))] }
	return fmt.Sprintf("at byte %d: want %q, got %q", i, cut(want), cut(got))
}
