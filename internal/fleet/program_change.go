package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
	"lockflow/internal/rollout"
)

// NewProgramChange returns a change that upgrades the members to the program at path, or, where path is empty, to the
// current content of the file from which each member was started. plan has no members yet; they are added to it. A
// running program whose file has been replaced since is copied to dir, so that the change can be rolled back. If every
// member already runs its new program, the change restarts all of them.
func NewProgramChange(ctx context.Context, members []PlacedMember, plan rollout.Plan, path, dir string) (*Change, error) {
	statuses, err := requireReady(ctx, members, true)
	if err != nil {
		return nil, err
	}
	c := &Change{
		FormatVersion: formatVersion,
		StartedAt:     time.Now(),
		Kind:          desiredstate.KindProgram,
		Plan:          plan,
		Programs:      make(map[string]string),
	}
	files := make(fileHashes)
	isUnchanged := true
	for i := range statuses {
		running, err := c.addRunningProgram(&statuses[i], files, dir)
		if err != nil {
			return nil, fmt.Errorf("member %s: %w", members[i].Name, err)
		}
		newPath := path
		if newPath == "" {
			newPath = statuses[i].Program
		}
		next, err := files.hash(newPath)
		if err != nil {
			return nil, fmt.Errorf("reading the new program: %w", err)
		}
		if c.Programs[next] == "" || next != running {
			c.Programs[next] = newPath
		}
		isUnchanged = isUnchanged && next == running
		c.addMember(&members[i], []string{running, next})
	}
	c.Plan.HasControls = true
	if isUnchanged {
		c.Plan.IsRestart = true
		c.Plan.HasControls = false
		for i := range c.Plan.Members {
			c.Plan.Members[i].Versions[1] += restartSuffix
		}
	}
	return c, c.validate()
}

// addRunningProgram adds the program that a member runs to c.Programs, and returns its hash. It copies the program to
// dir if the file from which the member was started has been replaced since.
func (c *Change) addRunningProgram(status *manage.Status, files fileHashes, dir string) (string, error) {
	executable := executablePath(status.PID)
	running, err := hashFile(executable)
	if err != nil {
		return "", fmt.Errorf("reading the running program: %w", err)
	}
	if hash, err := files.hash(status.Program); err == nil && hash == running {
		c.Programs[running] = status.Program
		return running, nil
	}
	if _, ok := c.Programs[running]; ok {
		return running, nil
	}
	c.Programs[running], err = saveProgram(executable, dir, running)
	if err != nil {
		return "", fmt.Errorf("saving the running program: %w", err)
	}
	return running, nil
}

// fileHashes caches hashes of files by path. A file that could not be read has no entry, so that it is read again.
type fileHashes map[string]string

// hash returns the hash of a file.
func (f fileHashes) hash(path string) (string, error) {
	if hash, ok := f[path]; ok {
		return hash, nil
	}
	hash, err := hashFile(path)
	if err != nil {
		return "", err
	}
	f[path] = hash
	return hash, nil
}

// executablePath returns the path under which the kernel provides the program of a process, even if its file was
// replaced.
func executablePath(pid int) string { return fmt.Sprintf("/proc/%d/exe", pid) }

// hashFile returns the SHA-256 of a file in hex.
func hashFile(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close() //nolint:errcheck // opened for reading, so an error loses no data
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

// saveProgram copies a program into dir and returns the copy's absolute path. It reuses an existing copy with the same
// hash.
func saveProgram(from, dir, hash string) (string, error) {
	path := filepath.Join(dir, "program-"+hash[:16])
	if saved, err := hashFile(path); err == nil && saved == hash {
		return filepath.Abs(path)
	}
	in, err := os.Open(from)
	if err != nil {
		return "", err
	}
	defer in.Close() //nolint:errcheck // opened for reading, so an error loses no data
	out, err := os.CreateTemp(dir, "program")
	if err != nil {
		return "", err
	}
	defer os.Remove(out.Name()) //nolint:errcheck // fails after the rename, when there is nothing left to remove
	_, err = io.Copy(out, in)
	if err = errors.Join(err, out.Chmod(0o700), out.Sync(), out.Close()); err != nil {
		return "", err
	}
	if err := os.Rename(out.Name(), path); err != nil {
		return "", err
	}
	return filepath.Abs(path)
}
