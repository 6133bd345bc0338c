package measure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// If a configuration can't be written in full, writeConfig must return an error and remove the file. Otherwise a node would
// start with a truncated configuration.
func TestWriteConfig(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	path, err := writeConfig("a = 1\n")
	if err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(path); err != nil || string(raw) != "a = 1\n" {
		t.Errorf("written configuration: got %q, %v", raw, err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	limitFileSize(t, 10)
	if path, err := writeConfig(strings.Repeat("a = 1\n", 10)); err == nil {
		t.Errorf("%s was written without an error, although it exceeds the file size limit", path)
	}
	if left, err := filepath.Glob(filepath.Join(dir, "*")); err != nil || len(left) > 0 {
		t.Errorf("files left after the failed write: %q, error %v", left, err)
	}
}

// limitFileSize limits the size of files that the process writes until the test ends. Go ignores the SIGXFSZ signal of a
// write that exceeds it.
func limitFileSize(t *testing.T, bytes uint64) {
	t.Helper()
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &old); err != nil {
			t.Error(err)
		}
	})
}
