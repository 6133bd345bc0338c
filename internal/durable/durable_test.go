package durable

import (
	"os"
	"path/filepath"
	"testing"
)

func TestReplaceFileReplacesAllOrNothing(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "file")
	for _, text := range []string{"first", "second, which is longer"} {
		if err := ReplaceFile(path, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
		raw, err := os.ReadFile(path)
		if err != nil || string(raw) != text {
			t.Errorf("replaced file: got content %q, error %v", raw, err)
		}
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("replaced file: got mode %v, error %v; want 0640", info.Mode(), err)
	}
	// A file can't replace a directory: the rename fails, and no temporary file is left.
	occupied := filepath.Join(directory, "folder")
	if err := os.MkdirAll(filepath.Join(occupied, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := ReplaceFile(occupied, []byte("x"), 0o600); err == nil {
		t.Error("a directory was replaced by a file")
	}
	if entries, err := os.ReadDir(directory); err != nil || len(entries) != 2 {
		t.Errorf("after a failed replacement: got directory entries %v, error %v; want 2 entries", entries, err)
	}
	if err := ReplaceFile(filepath.Join(directory, "none", "file"), nil, 0o600); err == nil {
		t.Error("a file was written in a missing directory")
	}
}

func TestRemoveLeftoversOfMissingDirectory(t *testing.T) {
	if err := RemoveLeftovers(filepath.Join(t.TempDir(), "none", "file")); err != nil {
		t.Error(err)
	}
}
