package desiredstate

import (
	"os"
	"path/filepath"
	"testing"
)

// A book that could not be written is in neither file, whichever of the two fails: a member that
// has refused an epoch for that must not have granted it after a crash or an upgrade.
func TestSaveWholeOrNot(t *testing.T) {
	first, second := Book{Epoch: 1, Owner: "a"}, Book{Epoch: 2, Owner: "b"}
	for name, spoil := range map[string]func(f *File) (mend func()){
		"memory": func(f *File) func() {
			good := f.anon
			path := filepath.Join(t.TempDir(), "copy")
			raw, _ := Encode(first)
			if err := os.WriteFile(path, raw, 0o600); err != nil {
				t.Fatal(err)
			}
			f.anon, _ = os.Open(path) // can't be written
			return func() { f.anon.Close(); f.anon = good }
		},
		"directory": func(f *File) func() {
			if err := os.Rename(f.dir, f.dir+".away"); err != nil {
				t.Fatal(err)
			}
			return func() {
				if err := os.Rename(f.dir+".away", f.dir); err != nil {
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
		if err := os.Mkdir(f.dir, 0o700); err != nil {
			t.Fatal(err)
		}
		if err := f.Save(first); err != nil {
			t.Fatal(err)
		}
		mend := spoil(f)
		if f.Save(second) == nil {
			t.Errorf("%s: it was saved", name)
		}
		inMemory, err := f.Load()
		mend()
		onDisk, diskErr := Read(f.dir)
		if err != nil || diskErr != nil || inMemory.Epoch != 1 || onDisk.Epoch != 1 {
			t.Errorf("%s: %+v, %v; %+v, %v", name, inMemory, err, onDisk, diskErr)
		}
		if err := f.Save(second); err != nil {
			t.Errorf("%s: afterwards: %v", name, err)
		}
	}
}
