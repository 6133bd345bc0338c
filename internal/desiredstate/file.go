package desiredstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// formatVersion is that of the form. A reader takes its own only: what another one means is not known, and a
// member that does not know is claimed anew.
const formatVersion = 1

// maxStateBytes bounds an encoded book, in bytes.
const maxStateBytes = 1 << 20

// magic begins it; the hash of the rest follows, then a line's end and JSON.
const magic = "lockflow orders 1 "

// Encode writes a book down.
func Encode(b State) ([]byte, error) {
	raw, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("writing the book of orders: %w", err)
	}
	if len(raw) > maxStateBytes {
		return nil, fmt.Errorf("writing the book of orders: %d bytes are more than %d", len(raw), maxStateBytes)
	}
	return append([]byte(magic+Hash(raw)+"\n"), raw...), nil
}

// Decode reads what Encode wrote. Whatever is not exactly that is refused as a whole.
func Decode(raw []byte) (State, error) {
	const head = len(magic) + 64 + 1
	if len(raw) < head || string(raw[:len(magic)]) != magic || raw[head-1] != '\n' {
		return State{}, fmt.Errorf("reading the book of orders: it is none of version %d", formatVersion)
	}
	body := raw[head:]
	if len(body) > maxStateBytes {
		return State{}, fmt.Errorf("reading the book of orders: %d bytes are more than %d", len(body), maxStateBytes)
	}
	if Hash(body) != string(raw[len(magic):head-1]) {
		return State{}, errors.New("reading the book of orders: it is damaged: its hash is another one")
	}
	var b State
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		return State{}, fmt.Errorf("reading the book of orders: %w", err)
	}
	if err := b.validate(); err != nil {
		return State{}, fmt.Errorf("reading the book of orders: %w", err)
	}
	return b, nil
}

// validate tells what no member can have written.
func (b State) validate() error {
	switch {
	case (b.Epoch == 0) != (b.Owner == ""):
		return fmt.Errorf("epoch %d has the owner %q", b.Epoch, b.Owner)
	case len(b.Ended) > maxOutcomes:
		return fmt.Errorf("%d outcomes are more than %d", len(b.Ended), maxOutcomes)
	case b.Program != "" && !filepath.IsAbs(b.Program):
		return fmt.Errorf("program %q is no absolute path", b.Program)
	case b.Running != nil && (b.Running.ID == "" || b.Running.Epoch > b.Epoch):
		return fmt.Errorf("order %q of epoch %d is under way in epoch %d", b.Running.ID, b.Running.Epoch, b.Epoch)
	}
	return nil
}

// File keeps a book, and the settings that an order replaces until it has ended. It is used by one process
// at a time; the state directory's lock sees to that. It is kept twice: in the state directory, where there is
// one, and in a file without a name which a successor inherits, whatever directory that one has.
type File struct {
	directory string // "" is none
	memory    *os.File
}

// names in the state directory.
const (
	stateFileName       = "orders"
	oldSettingsFileName = "settings.old"
)

// Open makes one. dir may be "": then the book ends with the last process that has it. inherited, where it
// is not nil, is that of the old process.
func Open(dir string, inherited *os.File) (*File, error) {
	if inherited != nil {
		return &File{dir, inherited}, nil
	}
	fd, err := unix.MemfdCreate("lockflow-orders", unix.MFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("keeping orders in memory: %w", err)
	}
	return &File{dir, os.NewFile(uintptr(fd), "orders")}, nil
}

// IsVolatile tells whether a crash loses what is kept.
func (f *File) IsVolatile() bool { return f.directory == "" }

// MemoryFile is the file that a successor is to inherit.
func (f *File) MemoryFile() *os.File { return f.memory }

// Close lets go of the file.
func (f *File) Close() {
	if f != nil {
		_ = f.memory.Close() // in memory
	}
}

// Load reads the book; an empty one where there has been none yet.
func (f *File) Load() (State, error) {
	raw, err := io.ReadAll(io.NewSectionReader(f.memory, 0, maxStateBytes+1000))
	if err == nil && len(raw) == 0 {
		if f.directory == "" {
			return State{}, nil
		}
		return ReadState(f.directory)
	}
	if err != nil {
		return State{}, fmt.Errorf("reading the book of orders: %w", err)
	}
	return Decode(raw)
}

// ReadState reads the book in a state directory, which may be another process's: it is replaced whole.
func ReadState(dir string) (State, error) {
	raw, err := readBounded(filepath.Join(dir, stateFileName), maxStateBytes+1000)
	if errors.Is(err, fs.ErrNotExist) {
		return State{}, nil
	}
	if err != nil {
		return State{}, fmt.Errorf("reading the book of orders: %w", err)
	}
	return Decode(raw)
}

// Quarantine moves a book that can't be read out of the way, for its owner to look at.
func (f *File) Quarantine() {
	if f.directory != "" {
		_ = os.Rename(filepath.Join(f.directory, stateFileName), filepath.Join(f.directory, stateFileName+".damaged"))
	}
}

func readBounded(path string, limit int64) ([]byte, error) {
	r, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer r.Close() //nolint:errcheck // only read
	return io.ReadAll(io.LimitReader(r, limit))
}

// Save writes a book in the place of the last one, whole or not at all; it is on the disk when this returns.
// Where it fails, neither of the two files holds it: what was refused must not be granted after a crash.
func (f *File) Save(b State) error {
	raw, err := Encode(b)
	if err != nil {
		return err
	}
	old, err := io.ReadAll(io.NewSectionReader(f.memory, 0, maxStateBytes+1000))
	if err == nil {
		err = f.writeMemory(raw)
	}
	if err == nil && f.directory != "" {
		if err = replaceDurably(filepath.Join(f.directory, stateFileName), raw, 0o600); err != nil && f.writeMemory(old) != nil {
			// With nothing in memory a successor goes by the directory.
			err = errors.Join(err, f.memory.Truncate(0))
		}
	}
	if err != nil {
		return fmt.Errorf("writing the book of orders: %w", err)
	}
	return nil
}

// writeMemory writes the file that a successor inherits. One that finds it half written takes it for lost.
func (f *File) writeMemory(raw []byte) error {
	if _, err := f.memory.WriteAt(raw, 0); err != nil {
		return err
	}
	return f.memory.Truncate(int64(len(raw)))
}

// replaceDurably writes a file in another's place, and sees that the directory has it: a name that a power cut
// takes back would be an older epoch.
func replaceDurably(path string, raw []byte, mode os.FileMode) error {
	if err := renameio.WriteFile(path, raw, mode); err != nil {
		return err
	}
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer d.Close() //nolint:errcheck // a directory; what was written is for Sync to tell
	return d.Sync()
}

// SaveOldSettings keeps the settings that are about to be replaced. In memory alone it keeps nothing: there a process
// that is killed leaves the file as it is.
func (f *File) SaveOldSettings(old []byte) error {
	if f.directory == "" {
		return nil
	}
	if err := replaceDurably(filepath.Join(f.directory, oldSettingsFileName), old, 0o600); err != nil {
		return fmt.Errorf("keeping the old settings: %w", err)
	}
	return nil
}

// OldSettings is what Keep kept last; fs.ErrNotExist where it is nothing.
func (f *File) OldSettings() ([]byte, error) {
	if f.directory == "" {
		return nil, fs.ErrNotExist
	}
	return readBounded(filepath.Join(f.directory, oldSettingsFileName), MaxSettingsBytes+1)
}

// RemoveOldSettings lets go of what was kept.
func (f *File) RemoveOldSettings() {
	if f.directory != "" {
		_ = os.Remove(filepath.Join(f.directory, oldSettingsFileName)) // what is left is never used without an order under way
	}
}

// ReplaceFile puts a text in the place of a file, or of what it links to, with its mode; whole or not at all.
func ReplaceFile(path string, text []byte) error {
	path, err := filepath.EvalSymlinks(path)
	if err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return replaceDurably(path, text, info.Mode().Perm())
}
