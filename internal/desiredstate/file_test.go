package desiredstate

import (
	"os"
	"path/filepath"
	"testing"
)

// A book that could not be written is in neither file, whichever of the two fails: a member that
// has refused an epoch for that must not have granted it after a crash or an upgrade.
func TestSaveIsAtomic(t *testing.T) {
	first, second := State{Epoch: 1, Owner: "a"}, State{Epoch: 2, Owner: "b"}
	for name, breakWrites := range map[string]func(f *File) (restore func()){
		"memory": func(f *File) func() {
			original := f.memory
			path := filepath.Join(t.TempDir(), "copy")
			raw, _ := Encode(first)
			if err := os.WriteFile(path, raw, 0o600); err != nil {
				t.Fatal(err)
			}
			f.memory, _ = os.Open(path) // can't be written
			return func() { f.memory.Close(); f.memory = original }
		},
		"directory": func(f *File) func() {
			if err := os.Rename(f.directory, f.directory+".away"); err != nil {
				t.Fatal(err)
			}
			return func() {
				if err := os.Rename(f.directory+".away", f.directory); err != nil {
					t.Fatal(err)
				}
			}
		},
	} {
		f, err := Open(filepath.Join(t.TempDir(), "d"), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if err := os.Mkdir(f.directory, 0o700); err != nil {
			t.Fatal(err)
		}
		if err := f.Save(first); err != nil {
			t.Fatal(err)
		}
		restore := breakWrites(f)
		if f.Save(second) == nil {
			t.Errorf("%s: it was saved", name)
		}
		inMemory, err := f.Load()
		restore()
		onDisk, diskErr := ReadState(f.directory)
		if err != nil || diskErr != nil || inMemory.Epoch != 1 || onDisk.Epoch != 1 {
			t.Errorf("%s: %+v, %v; %+v, %v", name, inMemory, err, onDisk, diskErr)
		}
		if err := f.Save(second); err != nil {
			t.Errorf("%s: afterwards: %v", name, err)
		}
	}
}
