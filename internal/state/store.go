package state

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/google/renameio/v2"
)

// Store is the directory in which a daemon keeps its state. One daemon holds it at a time.
type Store struct {
	dir  string
	lock *os.File
}

// Open makes the directory where it is missing and locks it. Where another process holds it, it
// says which. lock, where it is not nil, is that of the process whose place this one takes.
func Open(dir string, lock *os.File) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	if lock != nil {
		return &Store{dir, lock}, nil
	}
	path := filepath.Join(dir, "lock")
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		defer f.Close() //nolint:errcheck // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			who, _ := os.ReadFile(path)
			return nil, fmt.Errorf("state directory %s: another daemon has it: process %s", dir, strings.TrimSpace(string(who)))
		}
		return nil, fmt.Errorf("state directory: locking %s: %w", path, err)
	}
	s := &Store{dir, f}
	s.Claim()
	return s, nil
}

// Claim writes this process's id into the lock, for whoever finds it held. A disk that can't be
// written is no reason not to serve.
func (s *Store) Claim() {
	id := fmt.Sprintln(os.Getpid())
	if s.lock.Truncate(0) == nil {
		_, _ = s.lock.WriteAt([]byte(id), 0)
	}
}

// Dir is the directory.
func (s *Store) Dir() string { return s.dir }

// Lock is the locked file. The lock lasts as long as any process has it open.
func (s *Store) Lock() *os.File { return s.lock }

// Close lets go of the directory.
func (s *Store) Close() error { return s.lock.Close() }

func (s *Store) path() string { return filepath.Join(s.dir, "state") }

// Load reads the state that was written last; fs.ErrNotExist where there was none.
func (s *Store) Load() (State, error) {
	info, err := os.Stat(s.path())
	if err != nil {
		return State{}, fmt.Errorf("reading the state: %w", err)
	}
	if info.Size() > Most+int64(len(magic))+4 {
		return State{}, fmt.Errorf("reading the state: %s has %d bytes, more than %d", s.path(), info.Size(), Most)
	}
	raw, err := os.ReadFile(s.path())
	if err != nil {
		return State{}, fmt.Errorf("reading the state: %w", err)
	}
	return Decode(raw)
}

// Save writes a state in the place of the last one, whole or not at all.
func (s *Store) Save(st State) error {
	raw, err := Encode(st)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(s.path(), raw, 0o600); err != nil {
		return fmt.Errorf("writing the state: %w", err)
	}
	return nil
}

// Take reads the state of the last run and marks it as used, so that a crash before the next
// Save is not mistaken for a clean end. Clean is true only where that could be written. found is
// false where nothing was there, as at the very first start.
func (s *Store) Take() (st State, found bool, err error) {
	st, err = s.Load()
	if errors.Is(err, fs.ErrNotExist) {
		return State{}, false, nil
	}
	if err != nil {
		return State{}, true, err
	}
	if !st.Clean {
		return st, true, nil
	}
	used := st
	used.Clean = false
	if err := s.Save(used); err != nil {
		return used, true, err
	}
	return st, true, nil
}
