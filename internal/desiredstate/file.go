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

// File stores a State, and the settings that a running command replaces. The lock of the state directory ensures that
// one process uses it at a time; within that process, one goroutine does.
//
// The state has two copies: one in the state directory, if there is one, which survives a crash, and one in a memory
// file, which a successor inherits even if it is configured with another state directory.
type File struct {
	directory string // state directory; "" if there is none
	memory    *os.File
}

// Open opens the state in directory. If directory is "", the state is lost when the last process that holds the memory
// file ends. inherited is the predecessor's MemoryFile, or nil.
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

// removeLeftovers removes temporary files of interrupted writes. They have no effect other than the space they take, so
// failures are only logged.
func (f *File) removeLeftovers() {
	if f.directory == "" {
		return
	}
	for _, name := range []string{stateFileName, oldSettingsFileName} {
		if err := durable.RemoveLeftovers(filepath.Join(f.directory, name)); err != nil {
			slog.Warn("can't remove temporary files of interrupted writes", "dir", f.directory, "err", err)
		}
	}
}

// IsVolatile reports whether a crash loses the state.
func (f *File) IsVolatile() bool { return f.directory == "" }

// MemoryFile returns the file that a successor inherits. f remains responsible for closing it.
func (f *File) MemoryFile() *os.File { return f.memory }

// Close closes the memory file. A nil File may be closed.
func (f *File) Close() {
	if f != nil {
		_ = f.memory.Close() // in memory, so an error can't mean lost writes
	}
}

// Load reads the state from the memory file, or, if that is empty, from the directory. It returns the zero State if
// none was saved.
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

// ReadState reads the state in a directory. It returns the zero State if there is none. It may be called while another
// process owns the directory, since files in it are replaced atomically.
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

// Quarantine renames an unreadable state file, so that the operator can inspect it.
func (f *File) Quarantine() {
	if f.directory != "" {
		path := filepath.Join(f.directory, stateFileName)
		_ = os.Rename(path, path+damagedSuffix) // if it fails, the next Save replaces the file
	}
}

// Save replaces the saved state atomically; the new one is on disk when Save returns. After an error neither copy has
// the new state: a member that rejected a claim because of the error must not find it granted after a crash.
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
		// An empty memory file makes a successor read the directory instead.
		err = errors.Join(err, f.memory.Truncate(0))
	}
	return err
}

func (f *File) readMemory() ([]byte, error) {
	return io.ReadAll(io.NewSectionReader(f.memory, 0, maxReadBytes))
}

// writeMemory replaces the content of the memory file. The write is not atomic: a successor that finds a partial one
// treats the state as lost.
func (f *File) writeMemory(raw []byte) error {
	if _, err := f.memory.WriteAt(raw, 0); err != nil {
		return err
	}
	return f.memory.Truncate(int64(len(raw)))
}

// SaveOldSettings stores the settings that a command is about to replace. Without a state directory it stores nothing;
// if the process is then killed, the old settings can't be restored and the configuration file stays as it is.
func (f *File) SaveOldSettings(text []byte) error {
	if f.directory == "" {
		return nil
	}
	if err := durable.ReplaceFile(filepath.Join(f.directory, oldSettingsFileName), text, privateFileMode); err != nil {
		return fmt.Errorf("storing the old settings: %w", err)
	}
	return nil
}

// OldSettings returns the settings that SaveOldSettings stored last, or fs.ErrNotExist if there are none.
func (f *File) OldSettings() ([]byte, error) {
	if f.directory == "" {
		return nil, fs.ErrNotExist
	}
	return readBounded(filepath.Join(f.directory, oldSettingsFileName), MaxSettingsBytes+1)
}

// RemoveOldSettings removes the settings that SaveOldSettings stored.
func (f *File) RemoveOldSettings() {
	if f.directory != "" {
		_ = os.Remove(filepath.Join(f.directory, oldSettingsFileName)) // a remaining file is ignored unless a command is running
	}
}

// ReplaceFile atomically replaces the content of a file and keeps its mode. It follows symbolic links.
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

// readBounded reads at most the first limit bytes of a file.
func readBounded(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // opened for reading, so an error loses no data
	return io.ReadAll(io.LimitReader(file, limit))
}
