package state

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The temporary file of a checkpoint is written in the state directory and not in the system's directory for temporary
// files, which may be in memory or full.
func TestCheckpointIsWrittenBesideState(t *testing.T) {
	system, directory := t.TempDir(), t.TempDir()
	t.Setenv("TMPDIR", system)
	store, err := Open(directory, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	old := time.Now().Add(-time.Hour).Round(time.Second)
	if err := os.Chtimes(system, old, old); err != nil {
		t.Fatal(err)
	}
	if err := store.Save(Checkpoint{}); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(system); err != nil || !info.ModTime().Equal(old) {
		t.Errorf("the system's temporary directory was modified: at %v, error %v", info.ModTime(), err)
	}
}

// Temporary files that remain when the process is killed while writing a checkpoint are removed at the next start. No
// other file is removed.
func TestLeftoversOfKilledWritesAreRemoved(t *testing.T) {
	directory := t.TempDir()
	for _, name := range []string{".state123456", ".state7", "state", "other", ".statement"} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte("x"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store, err := Open(directory, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	left, err := filepath.Glob(filepath.Join(directory, "*"))
	if err != nil || len(left) != 4 {
		t.Errorf("files left: %v, error %v", left, err)
	}
	for _, name := range []string{".state123456", ".state7"} {
		if _, err := os.Lstat(filepath.Join(directory, name)); !os.IsNotExist(err) {
			t.Errorf("%s was not removed: %v", name, err)
		}
	}
	if _, err := os.Lstat(filepath.Join(directory, ".statement")); err != nil {
		t.Error(err)
	}
}
