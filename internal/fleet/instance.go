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

// Names of files in a fleet's directory and in the directories of its instances.
const (
	lockName          = "keeper.lock"
	configName        = "lockflow.toml"
	stateName         = "state"
	logName           = "log"
	pidName           = "pid"
	controlSocketName = "control.sock"
	stateLockName     = "lock" // in the state directory
)

// lockDirectory locks a directory against other supervisors. The kernel releases the lock when the process ends.
func lockDirectory(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // the lock file has no content that could be lost
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("fleet: another fleet run supervises the instances in %s", dir)
		}
		return nil, fmt.Errorf("fleet: locking %s: %w", f.Name(), err)
	}
	return f, nil
}

// prepare creates an instance's directory and configuration file, and reports whether the instance already runs. It
// leaves the file unchanged if the instance runs, or if a rollout's command has written it.
func (r *Run) prepare(i int, text []byte) (isRunning bool, err error) {
	dir := r.directory(i)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, err
	}
	path := filepath.Join(dir, configName)
	current, err := os.ReadFile(path)
	if pid := r.runningProcess(i); pid != 0 {
		slog.Info("fleet: took over the supervision of a running instance", "instance", i, "pid", pid)
		return true, nil
	}
	if err == nil && string(current) != string(text) {
		hash := desiredstate.Hash(current)
		if wasCommanded(r.desiredState(i), hash) {
			slog.Info("fleet: instance starts with the settings of its last command", "instance", i, "hash", hash)
			return false, nil
		}
	}
	return false, durable.ReplaceFile(path, text, 0o600)
}

// wasCommanded reports whether a rollout's command has set the settings with the given hash on an instance.
func wasCommanded(state desiredstate.State, hash string) bool {
	return hash == state.Target.Hash || state.Running != nil && hash == state.Running.Previous.Hash
}

// desiredState returns an instance's desired state. It returns the zero State if that can't be read; the instance
// reports the failure itself once it runs.
func (r *Run) desiredState(i int) desiredstate.State {
	state, err := desiredstate.ReadState(r.stateDirectory(i))
	if err != nil {
		slog.Warn("fleet: can't read the desired state of an instance", "instance", i, "err", err)
	}
	return state
}

// stateDirectory returns an instance's state directory.
func (r *Run) stateDirectory(i int) string { return filepath.Join(r.directory(i), stateName) }

// program returns the path of the program with which an instance starts: the last one that a command installed and that
// has served, or the default one.
func (r *Run) program(i int) string {
	path := r.desiredState(i).Program
	if path == "" || path == r.options.Program {
		return r.options.Program
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		slog.Error("fleet: commanded program is not an executable file, instance starts with the default program", "instance", i, "program", path)
		return r.options.Program
	}
	return path
}

// runningProcess returns the id of the process that runs as an instance, 0 if there is none, and -1 if the process has
// not written its id yet. It checks the lock of the state directory, which a process also holds while it is suspended
// or does not answer.
func (r *Run) runningProcess(i int) int {
	f, err := os.Open(filepath.Join(r.stateDirectory(i), stateLockName))
	if err != nil {
		return 0
	}
	defer f.Close() //nolint:errcheck // opened for reading, so an error loses no data
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); !errors.Is(err, syscall.EWOULDBLOCK) {
		return 0
	}
	raw, _ := os.ReadFile(f.Name())
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		return -1 // the process has not written its id yet
	}
	return pid
}
