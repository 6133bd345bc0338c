package desiredstate

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// A state that could not be saved is in neither copy, whichever of the two writes fails: a member that rejected an epoch
// because of the error must not find it granted after a crash or an upgrade.
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
			f.memory, _ = os.Open(path) // opened read-only, so that writes fail
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
			t.Errorf("%s: Save succeeded although the write failed", name)
		}
		inMemory, err := f.Load()
		restore()
		onDisk, diskErr := ReadState(f.directory)
		if err != nil || diskErr != nil || inMemory.Epoch != 1 || onDisk.Epoch != 1 {
			t.Errorf("%s: after the failed Save: Load returned %+v, %v; ReadState returned %+v, %v", name, inMemory, err, onDisk, diskErr)
		}
		if err := f.Save(second); err != nil {
			t.Errorf("%s: Save after the writes work again: %v", name, err)
		}
	}
}

// Any changed or missing byte of a saved state is detected. Old settings and a replaced file are stored completely.
func TestFileDetectsCorruptionAndReplacesAtomically(t *testing.T) {
	dir := t.TempDir()
	f, err := Open(dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	state, _ := State{}.Grant(Claim{Epoch: 7, Owner: "a"})
	state, _, _, _ = state.Accept(Command{7, "a", "1", Operation{Kind: KindRestart}})
	state = state.Finish(errors.New("no")).SetDrained(true)
	if got, err := f.Load(); err != nil || got.Epoch != 0 {
		t.Errorf("Load before the first Save: got %+v, %v", got, err)
	}
	if err := f.Save(state); err != nil {
		t.Fatal(err)
	}
	raw, _ := os.ReadFile(filepath.Join(dir, stateFileName))
	for i := range raw {
		corrupted := append([]byte(nil), raw...)
		corrupted[i] ^= 1
		if _, err := Decode(corrupted); err == nil {
			t.Errorf("changed byte %d not detected", i)
		}
		if _, err := Decode(raw[:i]); err == nil {
			t.Errorf("truncation to %d bytes not detected", i)
		}
	}
	// A successor loads the newest state from the memory file, even if it has another state directory.
	successor, _ := Open(t.TempDir(), f.MemoryFile())
	for _, load := range []func() (State, error){f.Load, successor.Load, func() (State, error) { return ReadState(dir) }} {
		if got, err := load(); err != nil || !reflect.DeepEqual(got, state) {
			t.Errorf("loaded state %+v, %v", got, err)
		}
	}
	path, link := filepath.Join(dir, "c.toml"), filepath.Join(dir, "link")
	if err := errors.Join(os.WriteFile(path, []byte("old"), 0o640), os.Symlink(path, link)); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(f.SaveOldSettings([]byte("old")), ReplaceFile(link, []byte("new"))); err != nil {
		t.Fatal(err)
	}
	info, _ := os.Lstat(path)
	oldSettings, _ := f.OldSettings()
	if got, _ := os.ReadFile(path); string(got) != "new" || info.Mode().Perm() != 0o640 || string(oldSettings) != "old" {
		t.Errorf("file %q, mode %v, old settings %q", got, info.Mode(), oldSettings)
	}
}
