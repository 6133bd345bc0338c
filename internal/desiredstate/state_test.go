package desiredstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// memberModel is a member whose process can end between any two steps, and what the test knows of it apart from
// the book: what was promised and what was done.
type memberModel struct {
	t           *rapid.T
	file        *File
	state       State
	fileText    string // the settings' text in the file, and in force
	textInForce string
	granted     map[uint64]string // by epoch, also over restarts
	newest      uint64
	completions map[string]int    // times that an id was carried out to its end
	answered    map[string]string // code by epoch and id
}

func (w *memberModel) save(b State) {
	if err := w.file.Save(b); err != nil {
		w.t.Fatal(err)
	}
	w.state = b
}

// crash ends the process; another one begins with what is on the disk.
func (w *memberModel) crash() {
	b, err := w.file.Load()
	if err != nil {
		w.t.Fatal(err)
	}
	w.textInForce = w.fileText
	w.save(b.Recover(Observed{Hash: Hash([]byte(w.textInForce)), Program: "/old"}))
	if w.state.Running != nil {
		w.t.Fatalf("still under way after a start: %+v", *w.state.Running)
	}
}

func (w *memberModel) claim(c Claim) {
	b, err := w.state.Grant(c)
	earlierOwner := w.granted[c.Epoch]
	if err != nil {
		if !errors.Is(err, &RejectedError{Code: CodeStale}) || c.Epoch > w.newest || w.state.Epoch != w.newest {
			w.t.Fatalf("%+v at %d: %v", c, w.newest, err)
		}
		return
	}
	if c.Epoch < w.newest || earlierOwner != "" && earlierOwner != c.Owner {
		w.t.Fatalf("%+v granted; epoch %d was %q's, the newest is %d", c, c.Epoch, earlierOwner, w.newest)
	}
	w.save(b)
	w.granted[c.Epoch], w.newest = c.Owner, c.Epoch
}

// send sends an order; die is the step at which the process ends, and fails what comes of it.
func (w *memberModel) send(o Command, crashAt int, failure error) {
	key := fmt.Sprint(o.Epoch, o.ID)
	before := w.state
	b, step, done, err := w.state.Accept(o)
	switch {
	case err != nil:
		if !reflect.DeepEqual(b, before) {
			w.t.Fatalf("a refusal has changed the book: %v", err)
		}
		if errors.Is(err, &RejectedError{Code: CodeStale}) == (o.Epoch == w.newest && o.Owner == w.granted[o.Epoch]) {
			w.t.Fatalf("%+v at %d of %q: %v", o, w.newest, w.granted[w.newest], err)
		}
		return
	case o.Epoch != w.newest || o.Owner != w.granted[o.Epoch]:
		w.t.Fatalf("%+v is obeyed, the owner is %q of %d", o, w.granted[w.newest], w.newest)
	case step == StepAnswer:
		if earlier, ok := w.answered[key]; ok && earlier != done.Code {
			w.t.Fatalf("%s ended with %s and is told as %s", key, earlier, done.Code)
		}
		return
	case step != StepStart:
		w.t.Fatal("waits, and nothing is under way")
	case w.answered[key] != "":
		w.t.Fatalf("%s has ended with %s and is done again", key, w.answered[key])
	}
	steps := []func(){func() { w.save(b) }, func() {
		if failure == nil {
			w.fileText = o.Operation.Text
		}
	}, func() {
		if failure == nil {
			w.textInForce = o.Operation.Text
			if w.completions[key]++; w.completions[key] > 1 {
				w.t.Fatalf("%s is done twice", key)
			}
		}
	}, func() { w.save(w.state.Finish(failure)) }}
	for i, perform := range steps {
		if i == crashAt {
			w.crash()
			if last := w.state.LastOutcome(); i > 1 && failure == nil && (last.ID != o.ID || last.Code != CodeOK) {
				w.t.Fatalf("its settings are in force, and it is told as %+v", last)
			}
			return
		}
		perform()
	}
	w.answered[key] = w.state.LastOutcome().Code
	if failure != nil && w.state.Target != before.Target {
		w.t.Fatalf("failed, and %+v is wanted instead of %+v", w.state.Target, before.Target)
	}
	if failure == nil && w.state.Target.Hash != Hash([]byte(w.textInForce)) {
		w.t.Fatal("what is wanted is not what was done")
	}
}

// Whatever coordinators say in whatever order, and wherever the process ends: an epoch has one owner and
// only grows, only its owner is obeyed, and what has ended is not done again.
func TestStateHoldsOverCrashesAndCoordinators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &memberModel{t: t, granted: map[uint64]string{}, completions: map[string]int{}, answered: map[string]string{}}
		var err error
		if w.file, err = Open("", nil); err != nil {
			t.Fatal(err)
		}
		defer w.file.Close()
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			c := Claim{Epoch: rapid.Uint64Range(1, 6).Draw(t, "epoch"), Owner: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				w.claim(c)
			case 1:
				w.crash()
			default:
				text := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "text")
				var fails error
				if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					fails = errors.New("refused")
				}
				w.send(Command{c.Epoch, c.Owner, text + fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "id")), Operation{Kind: KindSettings, Hash: Hash([]byte(text)), Text: text}},
					rapid.IntRange(0, 6).Draw(t, "die"), fails)
			}
		}
	})
}

func TestAcceptAndFinishCommand(t *testing.T) {
	order := func(epoch uint64, owner, id string, w Operation) Command { return Command{epoch, owner, id, w} }
	b, _ := State{}.Grant(Claim{Epoch: 7, Owner: "a"})
	begun, step, _, err := b.Accept(order(7, "a", "1", Operation{Kind: KindProgram, Path: "/new"}))
	if err != nil || step != StepStart || begun.Target.Program != "/new" || begun.Program != "" {
		t.Fatalf("%+v, %v, %v", begun, step, err)
	}
	for name, c := range map[string]struct {
		o    Command
		code string
	}{
		"another one meanwhile":  {order(7, "a", "2", Operation{Kind: KindDrain}), CodeBusy},
		"its id, another act":    {order(7, "a", "1", Operation{Kind: KindDrain}), CodeInvalid},
		"an older epoch":         {order(6, "a", "1", Operation{Kind: KindDrain}), CodeStale},
		"a newer one, unclaimed": {order(8, "a", "1", Operation{Kind: KindDrain}), CodeStale},
		"another owner":          {order(7, "b", "1", Operation{Kind: KindDrain}), CodeStale},
		"no id":                  {order(7, "a", "", Operation{Kind: KindDrain}), CodeInvalid},
		"no kind":                {order(7, "a", "1", Operation{Kind: "dance"}), CodeInvalid},
		"another hash":           {order(7, "a", "1", Operation{Kind: KindSettings, Hash: Hash(nil), Text: "x"}), CodeInvalid},
		"too long":               {order(7, "a", "1", Operation{Kind: KindSettings, Text: strings.Repeat("x", MaxSettingsBytes+1)}), CodeInvalid},
		"no absolute path":       {order(7, "a", "1", Operation{Kind: KindProgram, Path: "new"}), CodeInvalid},
		"more than it takes":     {order(7, "a", "1", Operation{Kind: KindDrain, Path: "/new"}), CodeInvalid},
	} {
		if after, _, _, err := begun.Accept(c.o); !errors.Is(err, &RejectedError{Code: c.code}) || !reflect.DeepEqual(after, begun) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, step, _, err := begun.Accept(order(7, "a", "1", Operation{Kind: KindProgram, Path: "/new"})); step != StepWait || err != nil {
		t.Errorf("again: %v, %v", step, err)
	}
	if e := begun.Finish(nil); e.Program != "/new" || e.LastOutcome() != (Outcome{"1", CodeOK, ""}) {
		t.Errorf("%+v", e)
	}
	if e := begun.Finish(errors.New("no")); e.Program != "" || e.Target != (Target{}) || e.LastOutcome() != (Outcome{"1", CodeFailed, "no"}) {
		t.Errorf("%+v", e)
	}
	for path, done := range map[string]bool{"/new": true, "/old": false} {
		if r := begun.Recover(Observed{Program: path}); r.Running != nil || (len(r.Ended) == 1) != done || r.Target.Program != "/new" || (r.Program == "/new") != done {
			t.Errorf("%s runs: %+v", path, r)
		}
	}
	if r := begun.SetDrained(true).Finish(errors.New("no")); !r.Target.Drained {
		t.Error("a failed order has undone the owner's own word")
	}
	// A coordinator that goes on under another epoch asks for the last one; older ids may be anybody's.
	b = begun.Finish(nil)
	if b, err = b.Grant(Claim{Epoch: 8, Owner: "b"}); err != nil {
		t.Fatal(err)
	}
	if _, step, done, err := b.Accept(order(8, "b", "1", Operation{Kind: KindProgram, Path: "/new"})); step != StepAnswer || done.Code != CodeOK || err != nil {
		t.Errorf("the last one, under another epoch: %v, %v, %v", step, done, err)
	}
	for i := range 2 * maxOutcomes {
		b, _, _, _ = b.Accept(order(8, "b", fmt.Sprint("n", i), Operation{Kind: KindRestart}))
		b = b.Finish(nil)
		if _, step, _, _ := b.Accept(order(8, "b", "1", Operation{Kind: KindProgram, Path: "/new"})); step != StepStart {
			t.Fatalf("an id of an older epoch, %d orders later: %v", i+1, step)
		}
	}
	if len(b.Ended) != maxOutcomes {
		t.Errorf("%d outcomes are kept", len(b.Ended))
	}
}

// A member that has lost its book obeys nobody but who claims it with its token.
func TestLostStateIsGrantedByTokenOnly(t *testing.T) {
	b := State{LossToken: "token"}
	for _, c := range []Claim{{7, "a", ""}, {9, "a", "another"}} {
		if _, err := b.Grant(c); !errors.Is(err, &RejectedError{Code: CodeLost}) {
			t.Errorf("%+v: %v", c, err)
		}
	}
	if _, _, _, err := b.Accept(Command{7, "a", "1", Operation{Kind: KindServe}}); !errors.Is(err, &RejectedError{Code: CodeLost}) {
		t.Error(err)
	}
	if b, err := b.Grant(Claim{9, "b", "token"}); err != nil || b.LossToken != "" || b.Epoch != 9 {
		t.Errorf("%+v, %v", b, err)
	}
}

// Any byte of a book that is another one, or is missing, is noticed; the kept settings and the replaced
// file are whole.
func TestFileDetectsDamageAndReplacesCompletely(t *testing.T) {
	dir := t.TempDir()
	f, err := Open(dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := State{}.Grant(Claim{Epoch: 7, Owner: "a"})
	b, _, _, _ = b.Accept(Command{7, "a", "1", Operation{Kind: KindRestart}})
	b = b.Finish(errors.New("no")).SetDrained(true)
	if got, err := f.Load(); err != nil || got.Epoch != 0 {
		t.Errorf("nothing: %+v, %v", got, err)
	}
	if err := f.Save(b); err != nil {
		t.Fatal(err)
	}
	raw, _ := os.ReadFile(filepath.Join(dir, stateFileName))
	for i := range raw {
		damaged := append([]byte(nil), raw...)
		damaged[i] ^= 1
		if _, err := Decode(damaged); err == nil {
			t.Errorf("byte %d is another one", i)
		}
		if _, err := Decode(raw[:i]); err == nil {
			t.Errorf("the first %d bytes", i)
		}
	}
	// A successor finds the newest, whatever directory it has.
	next, _ := Open(t.TempDir(), f.MemoryFile())
	for _, r := range []func() (State, error){f.Load, next.Load, func() (State, error) { return ReadState(dir) }} {
		if got, err := r(); err != nil || !reflect.DeepEqual(got, b) {
			t.Errorf("%+v, %v", got, err)
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
		t.Errorf("%q, %v, kept %q", got, info.Mode(), oldSettings)
	}
}

func FuzzDecode(f *testing.F) {
	raw, _ := Encode(State{Epoch: 7, Owner: "a", Running: &RunningCommand{Epoch: 7, ID: "1"}})
	f.Add(raw)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, raw []byte) {
		// The hash is no guard against who computes it: what it holds is checked too.
		if i := strings.IndexByte(string(raw), '\n'); i >= 0 {
			raw = append([]byte(magic+Hash(raw[i+1:])+"\n"), raw[i+1:]...)
		}
		b, err := Decode(raw)
		if err != nil {
			return
		}
		b.Recover(Observed{}).LastOutcome()
		if again, err := Encode(b); err == nil {
			if got, err := Decode(again); err != nil || !reflect.DeepEqual(got, b) {
				t.Errorf("%+v is read as %+v, %v", b, got, err)
			}
		}
	})
}

func FuzzAccept(f *testing.F) {
	f.Add([]byte(`{"epoch":7,"owner":"a","id":"1","want":{"kind":"program","path":"/x"}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var o Command
		if json.Unmarshal(raw, &o) != nil {
			return
		}
		b := State{Epoch: 7, Owner: "a"}
		next, step, _, err := b.Accept(o)
		if err != nil && !reflect.DeepEqual(next, b) || err == nil && (step != StepStart || o.Epoch != 7 || o.Validate() != nil) {
			t.Errorf("%+v: %+v, %v", o, next, err)
		}
		if err == nil {
			if raw, err := Encode(next.Finish(nil)); err != nil {
				t.Error(err)
			} else if _, err := Decode(raw); err != nil {
				t.Error(err)
			}
		}
	})
}
