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

// world is a member whose process can end between any two steps, and what the test knows of it apart from
// the book: what was promised and what was done.
type world struct {
	t        *rapid.T
	file     *File
	book     Book
	disk     string // the settings' text in the file, and in force
	force    string
	granted  map[uint64]string // by epoch, also over restarts
	newest   uint64
	acts     map[string]int    // times that an id was carried out to its end
	answered map[string]string // code by epoch and id
}

func (w *world) save(b Book) {
	if err := w.file.Save(b); err != nil {
		w.t.Fatal(err)
	}
	w.book = b
}

// crash ends the process; another one begins with what is on the disk.
func (w *world) crash() {
	b, err := w.file.Load()
	if err != nil {
		w.t.Fatal(err)
	}
	w.force = w.disk
	w.save(b.Recover(Facts{Hash: Hash([]byte(w.force)), Program: "/old"}))
	if w.book.Doing != nil {
		w.t.Fatalf("still under way after a start: %+v", *w.book.Doing)
	}
}

func (w *world) claim(c Claim) {
	b, err := w.book.Claim(c)
	was := w.granted[c.Epoch]
	if err != nil {
		if !errors.Is(err, &RejectedError{Code: Stale}) || c.Epoch > w.newest || w.book.Epoch != w.newest {
			w.t.Fatalf("%+v at %d: %v", c, w.newest, err)
		}
		return
	}
	if c.Epoch < w.newest || was != "" && was != c.Owner {
		w.t.Fatalf("%+v granted; epoch %d was %q's, the newest is %d", c, c.Epoch, was, w.newest)
	}
	w.save(b)
	w.granted[c.Epoch], w.newest = c.Owner, c.Epoch
}

// order sends an order; die is the step at which the process ends, and fails what comes of it.
func (w *world) order(o Order, die int, fails error) {
	key := fmt.Sprint(o.Epoch, o.ID)
	before := w.book
	b, step, done, err := w.book.Order(o)
	switch {
	case err != nil:
		if !reflect.DeepEqual(b, before) {
			w.t.Fatalf("a refusal has changed the book: %v", err)
		}
		if errors.Is(err, &RejectedError{Code: Stale}) == (o.Epoch == w.newest && o.Owner == w.granted[o.Epoch]) {
			w.t.Fatalf("%+v at %d of %q: %v", o, w.newest, w.granted[w.newest], err)
		}
		return
	case o.Epoch != w.newest || o.Owner != w.granted[o.Epoch]:
		w.t.Fatalf("%+v is obeyed, the owner is %q of %d", o, w.granted[w.newest], w.newest)
	case step == Answer:
		if was, ok := w.answered[key]; ok && was != done.Code {
			w.t.Fatalf("%s ended with %s and is told as %s", key, was, done.Code)
		}
		return
	case step != Start:
		w.t.Fatal("waits, and nothing is under way")
	case w.answered[key] != "":
		w.t.Fatalf("%s has ended with %s and is done again", key, w.answered[key])
	}
	steps := []func(){func() { w.save(b) }, func() {
		if fails == nil {
			w.disk = o.Want.Text
		}
	}, func() {
		if fails == nil {
			w.force = o.Want.Text
			if w.acts[key]++; w.acts[key] > 1 {
				w.t.Fatalf("%s is done twice", key)
			}
		}
	}, func() { w.save(w.book.End(fails)) }}
	for i, do := range steps {
		if i == die {
			w.crash()
			if last := w.book.Last(); i > 1 && fails == nil && (last.ID != o.ID || last.Code != OK) {
				w.t.Fatalf("its settings are in force, and it is told as %+v", last)
			}
			return
		}
		do()
	}
	w.answered[key] = w.book.Last().Code
	if fails != nil && w.book.Wanted != before.Wanted {
		w.t.Fatalf("failed, and %+v is wanted instead of %+v", w.book.Wanted, before.Wanted)
	}
	if fails == nil && w.book.Wanted.Hash != Hash([]byte(w.force)) {
		w.t.Fatal("what is wanted is not what was done")
	}
}

// Whatever coordinators say in whatever order, and wherever the process ends: an epoch has one owner and
// only grows, only its owner is obeyed, and what has ended is not done again.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, granted: map[uint64]string{}, acts: map[string]int{}, answered: map[string]string{}}
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
				w.order(Order{c.Epoch, c.Owner, text + fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "id")), Want{Kind: Settings, Hash: Hash([]byte(text)), Text: text}},
					rapid.IntRange(0, 6).Draw(t, "die"), fails)
			}
		}
	})
}

func TestOrder(t *testing.T) {
	order := func(epoch uint64, owner, id string, w Want) Order { return Order{epoch, owner, id, w} }
	b, _ := Book{}.Claim(Claim{Epoch: 7, Owner: "a"})
	begun, step, _, err := b.Order(order(7, "a", "1", Want{Kind: Program, Path: "/new"}))
	if err != nil || step != Start || begun.Wanted.Program != "/new" || begun.Program != "" {
		t.Fatalf("%+v, %v, %v", begun, step, err)
	}
	for name, c := range map[string]struct {
		o    Order
		code string
	}{
		"another one meanwhile":  {order(7, "a", "2", Want{Kind: Drain}), Busy},
		"its id, another act":    {order(7, "a", "1", Want{Kind: Drain}), Bad},
		"an older epoch":         {order(6, "a", "1", Want{Kind: Drain}), Stale},
		"a newer one, unclaimed": {order(8, "a", "1", Want{Kind: Drain}), Stale},
		"another owner":          {order(7, "b", "1", Want{Kind: Drain}), Stale},
		"no id":                  {order(7, "a", "", Want{Kind: Drain}), Bad},
		"no kind":                {order(7, "a", "1", Want{Kind: "dance"}), Bad},
		"another hash":           {order(7, "a", "1", Want{Kind: Settings, Hash: Hash(nil), Text: "x"}), Bad},
		"too long":               {order(7, "a", "1", Want{Kind: Settings, Text: strings.Repeat("x", TextMost+1)}), Bad},
		"no absolute path":       {order(7, "a", "1", Want{Kind: Program, Path: "new"}), Bad},
		"more than it takes":     {order(7, "a", "1", Want{Kind: Drain, Path: "/new"}), Bad},
	} {
		if after, _, _, err := begun.Order(c.o); !errors.Is(err, &RejectedError{Code: c.code}) || !reflect.DeepEqual(after, begun) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, step, _, err := begun.Order(order(7, "a", "1", Want{Kind: Program, Path: "/new"})); step != Wait || err != nil {
		t.Errorf("again: %v, %v", step, err)
	}
	if e := begun.End(nil); e.Program != "/new" || e.Last() != (Done{"1", OK, ""}) {
		t.Errorf("%+v", e)
	}
	if e := begun.End(errors.New("no")); e.Program != "" || e.Wanted != (Wanted{}) || e.Last() != (Done{"1", Failed, "no"}) {
		t.Errorf("%+v", e)
	}
	for path, done := range map[string]bool{"/new": true, "/old": false} {
		if r := begun.Recover(Facts{Program: path}); r.Doing != nil || (len(r.Done) == 1) != done || r.Wanted.Program != "/new" || (r.Program == "/new") != done {
			t.Errorf("%s runs: %+v", path, r)
		}
	}
	if r := begun.Rest(true).End(errors.New("no")); !r.Wanted.Drained {
		t.Error("a failed order has undone the owner's own word")
	}
	// A coordinator that goes on under another epoch asks for the last one; older ids may be anybody's.
	b = begun.End(nil)
	if b, err = b.Claim(Claim{Epoch: 8, Owner: "b"}); err != nil {
		t.Fatal(err)
	}
	if _, step, done, err := b.Order(order(8, "b", "1", Want{Kind: Program, Path: "/new"})); step != Answer || done.Code != OK || err != nil {
		t.Errorf("the last one, under another epoch: %v, %v, %v", step, done, err)
	}
	for i := range 2 * doneMost {
		b, _, _, _ = b.Order(order(8, "b", fmt.Sprint("n", i), Want{Kind: Restart}))
		b = b.End(nil)
		if _, step, _, _ := b.Order(order(8, "b", "1", Want{Kind: Program, Path: "/new"})); step != Start {
			t.Fatalf("an id of an older epoch, %d orders later: %v", i+1, step)
		}
	}
	if len(b.Done) != doneMost {
		t.Errorf("%d outcomes are kept", len(b.Done))
	}
}

// A member that has lost its book obeys nobody but who claims it with its token.
func TestLost(t *testing.T) {
	b := Book{Lost: "token"}
	for _, c := range []Claim{{7, "a", ""}, {9, "a", "another"}} {
		if _, err := b.Claim(c); !errors.Is(err, &RejectedError{Code: Lost}) {
			t.Errorf("%+v: %v", c, err)
		}
	}
	if _, _, _, err := b.Order(Order{7, "a", "1", Want{Kind: Serve}}); !errors.Is(err, &RejectedError{Code: Lost}) {
		t.Error(err)
	}
	if b, err := b.Claim(Claim{9, "b", "token"}); err != nil || b.Lost != "" || b.Epoch != 9 {
		t.Errorf("%+v, %v", b, err)
	}
}

// Any byte of a book that is another one, or is missing, is noticed; the kept settings and the replaced
// file are whole.
func TestFile(t *testing.T) {
	dir := t.TempDir()
	f, err := Open(dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := Book{}.Claim(Claim{Epoch: 7, Owner: "a"})
	b, _, _, _ = b.Order(Order{7, "a", "1", Want{Kind: Restart}})
	b = b.End(errors.New("no")).Rest(true)
	if got, err := f.Load(); err != nil || got.Epoch != 0 {
		t.Errorf("nothing: %+v, %v", got, err)
	}
	if err := f.Save(b); err != nil {
		t.Fatal(err)
	}
	raw, _ := os.ReadFile(filepath.Join(dir, bookName))
	for i := range raw {
		wrong := append([]byte(nil), raw...)
		wrong[i] ^= 1
		if _, err := Decode(wrong); err == nil {
			t.Errorf("byte %d is another one", i)
		}
		if _, err := Decode(raw[:i]); err == nil {
			t.Errorf("the first %d bytes", i)
		}
	}
	// A successor finds the newest, whatever directory it has.
	next, _ := Open(t.TempDir(), f.Inheritance())
	for _, r := range []func() (Book, error){f.Load, next.Load, func() (Book, error) { return Read(dir) }} {
		if got, err := r(); err != nil || !reflect.DeepEqual(got, b) {
			t.Errorf("%+v, %v", got, err)
		}
	}
	path, link := filepath.Join(dir, "c.toml"), filepath.Join(dir, "link")
	if err := errors.Join(os.WriteFile(path, []byte("old"), 0o640), os.Symlink(path, link)); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(f.Keep([]byte("old")), Replace(link, []byte("new"))); err != nil {
		t.Fatal(err)
	}
	info, _ := os.Lstat(path)
	kept, _ := f.Kept()
	if got, _ := os.ReadFile(path); string(got) != "new" || info.Mode().Perm() != 0o640 || string(kept) != "old" {
		t.Errorf("%q, %v, kept %q", got, info.Mode(), kept)
	}
}

func FuzzDecode(f *testing.F) {
	raw, _ := Encode(Book{Epoch: 7, Owner: "a", Doing: &Doing{Epoch: 7, ID: "1"}})
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
		b.Recover(Facts{}).Last()
		if again, err := Encode(b); err == nil {
			if got, err := Decode(again); err != nil || !reflect.DeepEqual(got, b) {
				t.Errorf("%+v is read as %+v, %v", b, got, err)
			}
		}
	})
}

func FuzzOrder(f *testing.F) {
	f.Add([]byte(`{"epoch":7,"owner":"a","id":"1","want":{"kind":"program","path":"/x"}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var o Order
		if json.Unmarshal(raw, &o) != nil {
			return
		}
		b := Book{Epoch: 7, Owner: "a"}
		next, step, _, err := b.Order(o)
		if err != nil && !reflect.DeepEqual(next, b) || err == nil && (step != Start || o.Epoch != 7 || o.Check() != nil) {
			t.Errorf("%+v: %+v, %v", o, next, err)
		}
		if err == nil {
			if raw, err := Encode(next.End(nil)); err != nil {
				t.Error(err)
			} else if _, err := Decode(raw); err != nil {
				t.Error(err)
			}
		}
	})
}
