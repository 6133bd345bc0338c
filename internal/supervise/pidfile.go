package supervise

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// maxShownPIDSize is the maximum number of bytes of another daemon's pid file that an error shows.
const maxShownPIDSize = 32

// PIDFile is a file that contains the daemon's process id and is locked as long as any process of the daemon has it open.
// A nil PIDFile represents a daemon without one; its methods do nothing.
type PIDFile struct {
	file *os.File
	path string
}

// RunningError is the error of CreatePIDFile if another process has the lock.
type RunningError struct {
	Path      string
	ProcessID string // as the other process has recorded it
}

// Error returns a message with the file and the other process's id.
func (e *RunningError) Error() string {
	return fmt.Sprintf("%s is locked by another daemon: process %s", e.Path, e.ProcessID)
}

// CreatePIDFile locks the file at path, which it creates if it does not exist, and writes this process's id to it. If
// another process has the lock, the error is a *RunningError.
func CreatePIDFile(path string) (*PIDFile, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("opening the pid file: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		defer file.Close() //nolint:errcheck // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &RunningError{Path: path, ProcessID: readProcessID(file)}
		}
		return nil, fmt.Errorf("locking %s: %w", path, err)
	}
	p := &PIDFile{file: file, path: path}
	if err := p.RecordProcessID(); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return p, nil
}

// readProcessID returns the recorded id, or an empty string if it cannot be read.
func readProcessID(file *os.File) string {
	content := make([]byte, maxShownPIDSize)
	n, _ := file.Read(content)
	return strings.TrimSpace(string(content[:n]))
}

// AdoptPIDFile returns the locked pid file at path that a successor has inherited in a binary upgrade. It contains the
// predecessor's id until RecordProcessID is called.
func AdoptPIDFile(file *os.File, path string) *PIDFile { return &PIDFile{file: file, path: path} }

// RecordProcessID replaces the recorded id by this process's id.
func (p *PIDFile) RecordProcessID() error {
	if p == nil {
		return nil
	}
	err := p.file.Truncate(0)
	if err == nil {
		_, err = p.file.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	}
	if err != nil {
		return fmt.Errorf("writing the pid file: %w", err)
	}
	return nil
}

// File returns the locked file, which p still has to close, or nil if p is nil.
func (p *PIDFile) File() *os.File {
	if p == nil {
		return nil
	}
	return p.file
}

// Release closes the file without removing it, because the daemon's other process still uses it.
func (p *PIDFile) Release() error {
	if p == nil {
		return nil
	}
	return p.file.Close()
}

// Close removes the file and closes it.
func (p *PIDFile) Close() error {
	if p == nil {
		return nil
	}
	// The file is removed before it is unlocked. Otherwise a new daemon could lock it in between and lose its file.
	err := os.Remove(p.path)
	return errors.Join(err, p.file.Close())
}
