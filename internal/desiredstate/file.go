package desiredstate

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"lockflow/internal/durable"
)

// Names of the files in the state directory.
const (
	stateFileName       = "orders"
	oldSettingsFileName = "settings.old"
	damagedSuffix       = ".damaged"
)

// privateFileMode is the mode of the files in the state directory.
const privateFileMode = 0o600

// File stores a State, and the settings that a running command replaces. The lock of the state directory sees to it
// that one process uses it at a time; within that, one goroutine does.
//
// The state stands twice: in the state directory, where there is one, so that it outlives a crash, and in a memory
// file that a successor inherits, whatever state directory that one is configured with.
type File struct {
	directory string // "" is none
	memory    *os.File
}

// Open opens the state in directory. Where that is "", the state is lost with the last process that has the memory
// file. inherited, where it is not nil, is the predecessor's MemoryFile.
func Open(directory string, inherited *os.File) (*File, error) {
	if inherited != nil {
		return &File{directory, inherited}, nil
	}
	descriptor, err := unix.MemfdCreate("lockflow-orders", unix.MFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("storing the desired state in memory: %w", err)
	}
	f := &File{directory, os.NewFile(uintptr(descriptor), "orders")}
	f.removeLeftovers()
	return f, nil
}

// removeLeftovers removes temporary files of killed writes, which cost space and nothing else.
func (f *File) removeLeftovers() {
	if f.directory == "" {
		return
	}
	for _, name := range []string{stateFileName, oldSettingsFileName} {
		if err := durable.RemoveLeftovers(filepath.Join(f.directory, name)); err != nil {
			slog.Warn("temporary files of killed writes are left", "dir", f.directory, "err", err)
		}
	}
}

// IsVolatile reports whether a crash loses the state.
func (f *File) IsVolatile() bool { return f.directory == "" }

// MemoryFile returns the file that a successor inherits. It stays f's to close.
func (f *File) MemoryFile() *os.File { return f.memory }

// Close closes the memory file. A nil File may be closed.
func (f *File) Close() {
	if f != nil {
		_ = f.memory.Close() // not on a disk: nothing that was written can be lost by it
	}
}

// Load reads the state: from the memory file, or from the directory where that is empty. It returns the zero State
// where none was saved.
func (f *File) Load() (State, error) {
	raw, err := f.readMemory()
	if err != nil {
		return State{}, fmt.Errorf("reading the desired state: %w", err)
	}
	if len(raw) > 0 {
		return Decode(raw)
	}
	if f.directory == "" {
		return State{}, nil
	}
	return ReadState(f.directory)
}

// ReadState reads the state in a directory, or the zero State where there is none. Another process may own the
// directory: files in it are replaced atomically.
func ReadState(directory string) (State, error) {
	raw, err := readBounded(filepath.Join(directory, stateFileName), maxReadBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return State{}, nil
	}
	if err != nil {
		return State{}, fmt.Errorf("reading the desired state: %w", err)
	}
	return Decode(raw)
}

// Quarantine renames a state file that can't be read, so that the operator may inspect it.
func (f *File) Quarantine() {
	if f.directory != "" {
		path := filepath.Join(f.directory, stateFileName)
		_ = os.Rename(path, path+damagedSuffix) // where it fails, the next Save replaces the file
	}
}

// Save replaces the saved state atomically; it is on the disk when Save returns. After an error neither of the two
// files has the new state: what a member has rejected for that it must not have granted after a crash.
func (f *File) Save(state State) error {
	raw, err := Encode(state)
	if err != nil {
		return err
	}
	if err := f.saveEncoded(raw); err != nil {
		return fmt.Errorf("writing the desired state: %w", err)
	}
	return nil
}

func (f *File) saveEncoded(raw []byte) error {
	previous, err := f.readMemory()
	if err != nil {
		return err
	}
	if err := f.writeMemory(raw); err != nil {
		return err
	}
	if f.directory == "" {
		return nil
	}
	err = durable.ReplaceFile(filepath.Join(f.directory, stateFileName), raw, privateFileMode)
	if err != nil && f.writeMemory(previous) != nil {
		// With an empty memory file a successor reads the directory.
		err = errors.Join(err, f.memory.Truncate(0))
	}
	return err
}

func (f *File) readMemory() ([]byte, error) {
	return io.ReadAll(io.NewSectionReader(f.memory, 0, maxReadBytes))
}

// writeMemory replaces the content of the memory file. A successor that finds it half written takes the state for
// lost.
func (f *File) writeMemory(raw []byte) error {
	if _, err := f.memory.WriteAt(raw, 0); err != nil {
		return err
	}
	return f.memory.Truncate(int64(len(raw)))
}

// SaveOldSettings stores the settings that a command is about to replace. Without a directory it stores nothing: a
// process that is killed then leaves the configuration file as it is.
func (f *File) SaveOldSettings(text []byte) error {
	if f.directory == "" {
		return nil
	}
	if err := durable.ReplaceFile(filepath.Join(f.directory, oldSettingsFileName), text, privateFileMode); err != nil {
		return fmt.Errorf("storing the old settings: %w", err)
	}
	return nil
}

// OldSettings returns what SaveOldSettings stored last. The error is fs.ErrNotExist where there is nothing.
func (f *File) OldSettings() ([]byte, error) {
	if f.directory == "" {
		return nil, fs.ErrNotExist
	}
	return readBounded(filepath.Join(f.directory, oldSettingsFileName), MaxSettingsBytes+1)
}

// RemoveOldSettings removes what SaveOldSettings stored.
func (f *File) RemoveOldSettings() {
	if f.directory != "" {
		_ = os.Remove(filepath.Join(f.directory, oldSettingsFileName)) // a leftover is used while a command runs only
	}
}

// ReplaceFile atomically replaces the text of a file, or of the file that a symbolic link leads to, and keeps its
// mode.
func ReplaceFile(path string, text []byte) error {
	path, err := filepath.EvalSymlinks(path)
	if err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return durable.ReplaceFile(path, text, info.Mode().Perm())
}

// readBounded reads the first limit bytes of a file at most.
func readBounded(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // only read
	return io.ReadAll(io.LimitReader(file, limit))
}
