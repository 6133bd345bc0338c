package state

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"lockflow/internal/durable"
)

const (
	lockName       = "lock"
	checkpointName = "state"
)

// Store is a daemon's locked state directory, which contains the checkpoint and the lock file. It is not safe for
// concurrent use.
type Store struct {
	directory string
	lock      *os.File
}

// LockedError is the error of Open if another process has the lock.
type LockedError struct {
	Directory string
	ProcessID string // as the other process has recorded it
}

// Error returns a message with the directory and the other process's id.
func (e *LockedError) Error() string {
	return fmt.Sprintf("state directory %s is locked by another daemon: process %s", e.Directory, e.ProcessID)
}

// Open locks the directory, which it creates if it does not exist. If another process has the lock, the error is a
// *LockedError. inheritedLock is the lock file of the predecessor in a binary upgrade, or nil.
func Open(directory string, inheritedLock *os.File) (*Store, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	if inheritedLock != nil {
		return &Store{directory, inheritedLock}, nil
	}
	path := filepath.Join(directory, lockName)
	lock, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		defer lock.Close() //nolint:errcheck // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			owner, _ := os.ReadFile(path)
			return nil, &LockedError{Directory: directory, ProcessID: strings.TrimSpace(string(owner))}
		}
		return nil, fmt.Errorf("state directory: locking %s: %w", path, err)
	}
	s := &Store{directory, lock}
	s.RecordProcessID()
	if err := durable.RemoveLeftovers(s.path()); err != nil { // not fatal: leftover files only occupy disk space
		slog.Warn("temporary files of interrupted writes not removed", "dir", directory, "err", err)
	}
	return s, nil
}

// RecordProcessID writes this process's id to the lock file, which a second daemon's Open shows in its error. A failure is
// ignored, because the daemon can serve without a writable disk.
func (s *Store) RecordProcessID() {
	id := fmt.Sprintln(os.Getpid())
	if s.lock.Truncate(0) == nil {
		_, _ = s.lock.WriteAt([]byte(id), 0)
	}
}

// Directory returns the path that was passed to Open.
func (s *Store) Directory() string { return s.directory }

// LockFile returns the lock file, which the store still has to close. It is locked as long as any process has the file
// open.
func (s *Store) LockFile() *os.File { return s.lock }

// Close closes the lock file.
func (s *Store) Close() error { return s.lock.Close() }

func (s *Store) path() string { return filepath.Join(s.directory, checkpointName) }

// Load returns the last saved checkpoint. The error wraps fs.ErrNotExist if there is none.
func (s *Store) Load() (Checkpoint, error) {
	info, err := os.Stat(s.path())
	if err != nil {
		return Checkpoint{}, fmt.Errorf("reading the checkpoint: %w", err)
	}
	if limit := int64(maxSize + headerSize); info.Size() > limit {
		return Checkpoint{}, fmt.Errorf("reading the checkpoint: %s has %d bytes, which exceeds the maximum of %d", s.path(), info.Size(), limit)
	}
	raw, err := os.ReadFile(s.path())
	if err != nil {
		return Checkpoint{}, fmt.Errorf("reading the checkpoint: %w", err)
	}
	return Decode(raw)
}

// Save replaces the checkpoint atomically.
func (s *Store) Save(c Checkpoint) error {
	raw, err := Encode(c)
	if err != nil {
		return err
	}
	if err := durable.ReplaceFile(s.path(), raw, 0o600); err != nil {
		return fmt.Errorf("writing the checkpoint: %w", err)
	}
	return nil
}

// Consume loads the checkpoint of the last run and saves it as not clean, so that a crash before the next Save is not
// mistaken for a graceful shutdown. The returned checkpoint is Clean only if that save succeeded; if it failed, a usable
// checkpoint is returned together with the error. found is false if there is no checkpoint, as at the first start.
func (s *Store) Consume() (c Checkpoint, found bool, err error) {
	c, err = s.Load()
	if errors.Is(err, fs.ErrNotExist) {
		return Checkpoint{}, false, nil
	}
	if err != nil {
		return Checkpoint{}, true, err
	}
	if !c.Clean {
		return c, true, nil
	}
	consumed := c
	consumed.Clean = false
	if err := s.Save(consumed); err != nil {
		return consumed, true, err
	}
	return c, true, nil
}
