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

// Guards against a change of programs to a file that can't be read: the failure is reported for each member whose program
// is in it, also behind the search for the program that a member runs.
func TestUnreadableProgramReportedPerMember(t *testing.T) {
	c := &Change{Kind: desiredstate.KindProgram, Programs: make(map[string]string)}
	files := make(fileHashes)
	missing := filepath.Join(t.TempDir(), "lockflow")
	for _, member := range []string{"m1", "m2"} {
		status := manage.Status{PID: os.Getpid(), Program: missing}
		running, err := c.addRunningProgram(&status, files, t.TempDir())
		if err != nil || c.Programs[running] == "" {
			t.Fatalf("%s: its running program was not saved: %v", member, err)
		}
		if hash, err := files.hash(missing); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("%s: hash %q, %v", member, hash, err)
		}
	}
}

// A file that could not be read at first is read again.
func TestFileHashRetriesAfterReadError(t *testing.T) {
	files := make(fileHashes)
	path := filepath.Join(t.TempDir(), "lockflow")
	if _, err := files.hash(path); err == nil {
		t.Fatal("a missing file has a hash")
	}
	if err := os.WriteFile(path, []byte("program"), 0o600); err != nil {
		t.Fatal(err)
	}
	hash, err := files.hash(path)
	if want, _ := hashFile(path); err != nil || hash != want {
		t.Errorf("%q, %v", hash, err)
	}
}
