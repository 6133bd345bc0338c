package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"lockflow/internal/desiredstate"
	"lockflow/internal/rollout"
	"lockflow/internal/rolloutlog"
	"lockflow/internal/testsupport/testkit"
)

// The stored and printed forms of a rollout have the same keys as in earlier builds. go test ./internal/fleet -run
// Golden -update rewrites the golden files.
func TestGoldenRolloutTypes(t *testing.T) {
	for name, v := range map[string]any{"change": &Change{}, "record": &logRecord{}, "progress": &Progress{}, "answers": &[]StatusReply{}} {
		testkit.GoldenSample(t, "json", "testdata/golden/"+name+".json", v)
	}
}

// The rollout log of an earlier build can be read, and its records are encoded to the same bytes.
func TestGoldenRolloutLog(t *testing.T) {
	const path = "testdata/golden/rollout.db.gz"
	var sample []byte
	if testkit.IsUpdating() {
		sample = writeSampleLog(t)
	}
	dir := decompressLog(t, testkit.GoldenBytes(t, path, sample))
	log, err := OpenRolloutLog(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	want := sampleRecord()
	if log.Change == nil || len(log.Entries) != 1 || !reflect.DeepEqual(log.Entries[0], want.Entry) {
		t.Fatalf("got change %v, entries %+v", log.Change, log.Entries)
	}
	records := log.Log.Records()
	for i, v := range []any{&Change{}, &logRecord{}} {
		if err := testkit.RoundTrip("json", records[i], v); err != nil {
			t.Errorf("record %d: %v", i+1, err)
		}
	}
	if err := testkit.RoundTrip("json", log.Log.Note(), &Progress{}); err != nil {
		t.Error(err)
	}
	if progress, err := ReadProgress(dir); err != nil || progress == nil || progress.Counts[string(want.Entry.Kind)] != 1 {
		t.Errorf("ReadProgress: got %+v, %v", progress, err)
	}
}

// sampleChange returns a valid change.
func sampleChange() Change {
	var c Change
	testkit.Sample("json", &c)
	c.FormatVersion, c.Kind = formatVersion, desiredstate.KindSettings
	c.Texts = map[string]string{desiredstate.Hash([]byte("new")): "new"}
	p := &c.Plan
	p.Members[0].Versions = []string{desiredstate.Hash([]byte("old")), desiredstate.Hash([]byte("new"))}
	p.RegionOrder = [][]string{{p.Members[0].Region}}
	p.Stages = rollout.Stages{{Count: 1}, {Share: 1}}
	p.MaxBake = p.MinBake + 1
	return c
}

func sampleRecord() logRecord {
	var r logRecord
	testkit.Sample("json", &r)
	return r
}

// writeSampleLog writes a log with one change, entry and progress report, and returns its file compressed by gzip.
func writeSampleLog(t *testing.T) []byte {
	dir := t.TempDir()
	l, err := rolloutlog.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	var note Progress
	testkit.Sample("json", &note)
	for _, step := range []struct {
		do func([]byte) error
		v  any
	}{{l.Begin, sampleChange()}, {l.Append, sampleRecord()}, {l.SetNote, note}} {
		raw, err := json.Marshal(step.v)
		if err != nil {
			t.Fatal(err)
		}
		if err := step.do(raw); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	raw, err := os.ReadFile(filepath.Join(dir, "rollout.db"))
	if err != nil {
		t.Fatal(err)
	}
	var compressed bytes.Buffer
	compressor := gzip.NewWriter(&compressed)
	if _, err := compressor.Write(raw); err != nil {
		t.Fatal(err)
	}
	if err := compressor.Close(); err != nil {
		t.Fatal(err)
	}
	return compressed.Bytes()
}

func decompressLog(t *testing.T, compressed []byte) (dir string) {
	decompressor, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(decompressor)
	if err != nil {
		t.Fatal(err)
	}
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "rollout.db"), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}
