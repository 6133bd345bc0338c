package supervise

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// maxPIDSize is how much of another daemon's pid file an error shows, in bytes.
const maxShownPIDSize = 32

// PIDFile is a file with the daemon's process id, locked as long as any process of the daemon has it open. The methods
// do nothing on a nil PIDFile, which stands for a daemon without one.
type PIDFile struct {
	file *os.File
	path string
}

// RunningError is the error of CreatePIDFile where another process has the lock.
type RunningError struct {
	Path      string
	ProcessID string // as the other process has recorded it
}

// Error names the file and the other process.
func (e *RunningError) Error() string {
	return fmt.Sprintf("%s: another daemon runs: process %s", e.Path, e.ProcessID)
}

// CreatePIDFile creates the file at path or takes over one that is not locked, locks it and writes this process's id.
// Where another process has the lock, the error is a *RunningError.
func CreatePIDFile(path string) (*PIDFile, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("writing the process id: %w", err)
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

// readProcessID returns the recorded id, as far as it can be read.
func readProcessID(file *os.File) string {
	content := make([]byte, maxShownPIDSize)
	n, _ := file.Read(content)
	return strings.TrimSpace(string(content[:n]))
}

// AdoptPIDFile returns the locked pid file at path that a successor inherits in a binary upgrade. It names the
// predecessor until RecordProcessID.
func AdoptPIDFile(file *os.File, path string) *PIDFile { return &PIDFile{file: file, path: path} }

// RecordProcessID writes this process's id.
func (p *PIDFile) RecordProcessID() error {
	if p == nil {
		return nil
	}
	err := p.file.Truncate(0)
	if err == nil {
		_, err = p.file.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	}
	if err != nil {
		return fmt.Errorf("writing the process id: %w", err)
	}
	return nil
}

// File returns the locked file, which remains p's; nil for a nil PIDFile.
func (p *PIDFile) File() *os.File {
	if p == nil {
		return nil
	}
	return p.file
}

// Release closes the file and leaves it to the other process of the daemon.
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
	// Removed before it is unlocked: otherwise a daemon that locks it in between would lose its file.
	err := os.Remove(p.path)
	return errors.Join(err, p.file.Close())
}
