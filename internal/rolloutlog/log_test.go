package rolloutlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func recordTexts(records [][]byte) (all []string) {
	for _, record := range records {
		all = append(all, string(record))
	}
	return all
}

// openAndWrite opens a log and writes a rollout with the given records.
func openAndWrite(t *testing.T, dir string, records ...string) *Log {
	t.Helper()
	l, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range records {
		if i == 0 {
			err = l.Begin([]byte(r))
		} else {
			err = l.Append([]byte(r))
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return l
}

func TestLogKeepsNewestRollouts(t *testing.T) {
	dir := t.TempDir()
	if r, _, err := Read(dir); len(r) > 0 || err != nil {
		t.Fatal(r, err)
	}
	l := openAndWrite(t, dir, "plan", "one", "")
	if _, err := Open(dir); !errors.Is(err, ErrLocked) {
		t.Errorf("opening by a second writer: error %v, want ErrLocked", err)
	}
	for _, note := range []string{"n1", "n2"} {
		if err := l.SetNote([]byte(note)); err != nil {
			t.Fatal(err)
		}
	}
	got, note, err := Read(dir)
	if err != nil || !slices.Equal(recordTexts(got), []string{"plan", "one", ""}) || string(note) != "n2" {
		t.Errorf("Read returned records %q, note %q, error %v", got, note, err)
	}
	l.Close()
	l = openAndWrite(t, dir)
	if err := l.Append([]byte("two")); err != nil || len(l.Records()) != 4 || string(l.Note()) != "n2" {
		t.Errorf("after reopening and appending: records %q, error %v", l.Records(), err)
	}
	for i := range maxRollouts + 3 {
		if err := l.Begin(fmt.Appendf(nil, "plan %d", i)); err != nil {
			t.Fatal(err)
		}
	}
	if got, _, err := Read(dir); err != nil || !slices.Equal(recordTexts(got), []string{"plan 10"}) {
		t.Errorf("newest rollout: records %q, error %v", got, err)
	}
	l.Close()
}

// If the file is truncated or overwritten at random places, the log either returns the records that were written, or
// detects the damage and quarantines the file.
func TestDamagedFileIsDetectedAndQuarantined(t *testing.T) {
	dir := t.TempDir()
	var want []string
	for i := range 40 {
		want = append(want, fmt.Sprint(i, strings.Repeat("x", 200*(i%5))))
	}
	openAndWrite(t, dir, want...).Close()
	complete, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	damaged, intact := 0, 0
	for i := range 150 {
		content := slices.Clone(complete)
		if i%3 == 0 {
			content = content[:rng.IntN(len(content))]
		} else {
			for range 1 + rng.IntN(40) {
				content[rng.IntN(len(content))] = byte(rng.Uint32())
			}
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, fileName), content, 0o600); err != nil {
			t.Fatal(err)
		}
		l, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		switch got := recordTexts(l.Records()); {
		case l.DamageError != nil:
			damaged++
			if _, err := os.Stat(l.QuarantinedPath); err != nil || len(got) > 0 {
				t.Errorf("damaged file: quarantine error %v, %d records, want none", err, len(got))
			}
			if err := l.Begin([]byte("anew")); err != nil {
				t.Error(err)
			}
		case !slices.Equal(got, want) && !slices.Equal(got, want[:len(want)-1]): // bbolt fell back to the older meta page
			t.Errorf("damage not detected: %d records differ from those written", len(got))
		default:
			intact++
		}
		l.Close()
	}
	if t.Logf("%d files detected as damaged, %d read as written", damaged, intact); damaged == 0 || intact == 0 {
		t.Error("either damage or an intact log never occurred")
	}
}

func FuzzUnsealDetectsDamage(f *testing.F) {
	f.Add([]byte("a record"), uint64(1), 3)
	f.Fuzz(func(t *testing.T, record []byte, number uint64, offset int) {
		var previous [32]byte
		sealed := seal(previous, number, record)
		if got, err := unseal(previous, number, sealed); err != nil || string(got) != string(record) {
			t.Fatal(err)
		}
		if offset = (offset%len(sealed) + len(sealed)) % len(sealed); len(sealed) > 0 {
			sealed[offset] ^= 1
		}
		if _, err := unseal(previous, number, sealed); err == nil {
			t.Fatal("the damage of a record was not detected")
		}
	})
}
