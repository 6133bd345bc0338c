package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"lockflow/internal/desiredstate"
	"lockflow/internal/durable"
)

// What a keeper finds of instances that were started before it: it takes over those that run, and starts
// the others as they are wanted.

// lockDirectory keeps a second keeper out. The lock ends with the process.
func lockDirectory(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, "keeper.lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("fleet: another fleet run keeps the instances in %s", dir)
		}
		return nil, fmt.Errorf("fleet: locking %s: %w", f.Name(), err)
	}
	return f, nil
}

// prepare makes an instance's directory and file, and tells whether it runs already. The settings of one that
// runs, or that was ordered others, are left.
func (r *Run) prepare(i int, text []byte) (running bool, err error) {
	dir := r.directory(i)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, err
	}
	path := filepath.Join(dir, "lockflow.toml")
	have, err := os.ReadFile(path)
	if pid := r.runningProcess(i); pid != 0 {
		slog.Info("fleet: an instance runs already, and is kept", "instance", i, "pid", pid)
		return true, nil
	}
	if err == nil && string(have) != string(text) {
		b, is := r.desiredState(i), desiredstate.Hash(have)
		if is == b.Target.Hash || b.Running != nil && is == b.Running.Previous.Hash {
			slog.Info("fleet: an instance keeps the settings that it was ordered", "instance", i, "hash", is)
			return false, nil
		}
	}
	return false, durable.ReplaceFile(path, text, 0o600)
}

// desiredState is what an instance has written of its orders; an empty one where it can't be read: the instance
// itself tells that.
func (r *Run) desiredState(i int) desiredstate.State {
	b, err := desiredstate.ReadState(r.stateDirectory(i))
	if err != nil {
		slog.Warn("fleet: what is wanted of an instance is not known", "instance", i, "err", err)
	}
	return b
}

func (r *Run) stateDirectory(i int) string { return filepath.Join(r.directory(i), "state") }

// program is what an instance is started with: the last that it was ordered and that proved itself there.
func (r *Run) program(i int) string {
	p := r.desiredState(i).Program
	if p == "" || p == r.options.Program {
		return r.options.Program
	}
	if info, err := os.Stat(p); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		slog.Error("fleet: the program that an instance was ordered can't be run: it starts with this one", "instance", i, "program", p)
		return r.options.Program
	}
	return p
}

// runningProcess is the process that runs as an instance, by the lock of its state directory, which lasts as long as
// any process has it: also one that is stopped and doesn't answer. 0 is none.
func (r *Run) runningProcess(i int) int {
	f, err := os.Open(filepath.Join(r.stateDirectory(i), "lock"))
	if err != nil {
		return 0
	}
	defer f.Close() //nolint:errcheck // only read
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); !errors.Is(err, syscall.EWOULDBLOCK) {
		return 0
	}
	raw, _ := os.ReadFile(f.Name())
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		return -1 // it has not written itself there yet
	}
	return pid
}
