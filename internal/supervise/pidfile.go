package supervise

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// maxPIDSize is as much of another daemon's pid file as an error shows, in bytes.
const maxPIDSize = 32

// PIDFile is a file with the daemon's process id, locked as long as any process of the daemon has it open. The methods
// do nothing on a nil PIDFile, which stands for a daemon without one.
type PIDFile struct {
	file *os.File
	path string
}

// CreatePIDFile creates or takes over a file at path, locks it and writes this process's id. Where another process has
// the lock, the error names it.
func CreatePIDFile(path string) (*PIDFile, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("writing the process id: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		owner := make([]byte, maxPIDSize)
		n, _ := f.Read(owner)
		_ = f.Close() // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: another daemon runs: process %s", path, strings.TrimSpace(string(owner[:n])))
		}
		return nil, fmt.Errorf("locking %s: %w", path, err)
	}
	p := &PIDFile{file: f, path: path}
	if err := p.RecordProcessID(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return p, nil
}

// AdoptPIDFile returns the predecessor's pid file at path, with its lock, in a binary upgrade. It names the predecessor
// until RecordProcessID.
func AdoptPIDFile(f *os.File, path string) *PIDFile { return &PIDFile{file: f, path: path} }

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

// File returns the locked file, which remains p's, or nil.
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
