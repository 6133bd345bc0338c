package fleet

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
)

// Guards against a program change that hides an unreadable program file from all but the first member: looking up a
// member's running program reads the same file first, and must not cache that failure as a hash.
func TestUnreadableProgramReportedPerMember(t *testing.T) {
	c := &Change{Kind: desiredstate.KindProgram, Programs: make(map[string]string)}
	files := make(fileHashes)
	missing := filepath.Join(t.TempDir(), "lockflow")
	for _, member := range []string{"m1", "m2"} {
		status := manage.Status{PID: os.Getpid(), Program: missing}
		running, err := c.addRunningProgram(&status, files, t.TempDir())
		if err != nil || c.Programs[running] == "" {
			t.Fatalf("member %s: running program not saved: %v", member, err)
		}
		if hash, err := files.hash(missing); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("member %s: unreadable program has hash %q, error %v", member, hash, err)
		}
	}
}

// A file that could not be read has no cached hash: the next lookup reads it anew.
func TestFileHashRetriesAfterReadError(t *testing.T) {
	files := make(fileHashes)
	path := filepath.Join(t.TempDir(), "lockflow")
	if _, err := files.hash(path); err == nil {
		t.Fatal("hashing a missing file succeeded")
	}
	if err := os.WriteFile(path, []byte("program"), 0o600); err != nil {
		t.Fatal(err)
	}
	hash, err := files.hash(path)
	if want, _ := hashFile(path); err != nil || hash != want {
		t.Errorf("after the file was written: got hash %q, error %v", hash, err)
	}
}
