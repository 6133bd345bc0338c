package bulkhead

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const maxLoanTime = 10 * time.Second

// fataler is a test, or one of the many tries of a property.
type fataler interface {
	Helper()
	Fatal(...any)
}

func newAllocator(t fataler, total int64, guaranteed ...int64) (*Allocator, []Owner) {
	t.Helper()
	l := New(total, maxLoanTime)
	var owners []Owner
	parts := make(map[Owner]int64)
	for _, g := range guaranteed {
		o := l.AddOwner()
		owners, parts[o] = append(owners, o), g
	}
	if err := l.SetGuarantees(total, parts); err != nil {
		t.Fatal(err)
	}
	return l, owners
}

// acquireAll is how many an owner can take one by one.
func acquireAll(l *Allocator, o Owner) (n int64) {
	for l.TryAcquire(0, o, 1) {
		n++
	}
	return n
}

func TestOwnersAcquireGuaranteedAndBorrowedParts(t *testing.T) {
	for name, tc := range map[string]struct {
		total        int64
		a, b         int64 // guaranteed
		first, after int64 // what a takes alone, and b then
	}{
		"all guaranteed":  {100, 50, 50, 74, 26}, // 37 lent of the 37 that may be: 2*(37-24)>=24
		"some common":     {100, 30, 30, 71, 29},
		"none guaranteed": {90, 0, 0, 60, 20},
		"one has none":    {100, 0, 40, 60, 40},
		"nothing":         {0, 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, o := newAllocator(t, tc.total, tc.a, tc.b)
			if got := acquireAll(l, o[0]); got != tc.first {
				t.Errorf("the first took %d, not %d", got, tc.first)
			}
			if got := acquireAll(l, o[1]); got != tc.after {
				t.Errorf("the second took %d, not %d", got, tc.after)
			}
		})
	}
}

func TestSetGuaranteesKeepsWhatIsAcquired(t *testing.T) {
	l, o := newAllocator(t, 10, 5, 5)
	if err := l.SetGuarantees(10, map[Owner]int64{o[0]: 6, o[1]: 5}); err == nil {
		t.Error("parts of more than there is")
	}
	if err := l.SetGuarantees(10, map[Owner]int64{o[0]: -1}); err == nil {
		t.Error("a part below zero")
	}
	if l.Guaranteed(o[0]) != 5 || l.Guaranteed(o[1]) != 5 {
		t.Error("a bad division changed something")
	}
	acquireAll(l, o[0])
	before := l.Used(o[0])
	if err := l.SetGuarantees(2, map[Owner]int64{o[1]: 2}); err != nil {
		t.Fatal(err)
	}
	if l.Used(o[0]) != before || l.TryAcquire(0, o[0], 1) || l.TryAcquire(0, o[1], 1) {
		t.Error("more was taken than there is now")
	}
	l.Release(o[0], before)
	if !l.TryAcquire(0, o[1], 1) {
		t.Error("a guaranteed part is not there")
	}
	l.RemoveOwner(o[1])
	if got := l.AddOwner(); got == o[1] {
		t.Error("a place with something taken went to another owner")
	}
	l.Release(o[1], 1)
	if got := l.AddOwner(); got != o[1] {
		t.Errorf("a free place was not used again: %d", got)
	}
}

// acquisition is something taken, and when it is given back.
type acquisition struct {
	owner      Owner
	n          int64
	releasedAt time.Duration
}

// Whatever owners do, in any order: never over the whole; the first quarter at once; the whole
// guaranteed part within a term of the first refusal, as long as nothing is kept for longer.
func TestAllocatorKeepsItsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "owners")
		total := rapid.Int64Range(20, 2019).Draw(t, "total")
		left, guaranteed := total, []int64(nil)
		for range n {
			g := rapid.Int64Range(0, left/2).Draw(t, "guaranteed")
			guaranteed, left = append(guaranteed, g), left-g
		}
		l, owners := newAllocator(t, total, guaranteed...)
		sizes := rapid.Int64Range(1, 5).Draw(t, "sizes")
		var out []acquisition
		inVain := make(map[Owner]time.Duration)
		now := time.Duration(0)
		for range rapid.IntRange(0, 1000).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(maxLoanTime/200)).Draw(t, "passes"))
			kept := out[:0]
			for _, h := range out {
				if h.releasedAt <= now {
					l.Release(h.owner, h.n)
				} else {
					kept = append(kept, h)
				}
			}
			out = kept
			o := owners[rapid.IntRange(0, n-1).Draw(t, "who")]
			if rapid.IntRange(0, 2).Draw(t, "greedy") == 0 {
				o = owners[0] // a greedy one
			}
			k := rapid.Int64Range(1, sizes).Draw(t, "size")
			used, g := l.Used(o), l.Guaranteed(o)
			ok := l.TryAcquire(now, o, k)
			if ok {
				out = append(out, acquisition{o, k, now + time.Duration(rapid.Int64Range(0, int64(maxLoanTime)-1).Draw(t, "for"))})
			}
			sum := int64(0)
			for _, o := range owners {
				sum += l.Used(o)
			}
			if sum > total || sum != total-l.Free() {
				t.Fatalf("%d of %d taken", sum, total)
			}
			if !ok && used+k <= g/4 {
				t.Fatalf("%d more than %d of a guaranteed %d were refused", k, used, g)
			}
			if ok || used+k > g {
				if ok && used+k <= g {
					delete(inVain, o)
				}
				continue
			}
			if since, again := inVain[o]; !again {
				inVain[o] = now
			} else if now >= since+maxLoanTime {
				t.Fatalf("%d more than %d of a guaranteed %d refused for %v", k, used, g, now-since)
			}
		}
	})
}

// However much one borrows, others still find some to borrow.
func TestNoBorrowerStarvesTheRest(t *testing.T) {
	for _, n := range []int{2, 3, 10, 50} {
		const total = 10000
		l, o := newAllocator(t, total, make([]int64, n)...)
		for i, each := range o {
			got := acquireAll(l, each)
			if i == 0 && got > total*maxBorrowRatio/(maxBorrowRatio+1)+1 {
				t.Errorf("the first borrowed %d of %d", got, total)
			}
			if i == 1 && got < total/6 {
				t.Errorf("the second borrowed %d of %d", got, total)
			}
		}
		// All give back and ask again in turn: what each has evens out.
		for range 20 {
			for _, each := range o {
				if back := l.Used(each) / 2; back > 0 {
					l.Release(each, back)
				}
			}
			for more := true; more; {
				more = false
				for _, each := range o {
					more = l.TryAcquire(0, each, 1) || more
				}
			}
		}
		for i, each := range o {
			if even := int64(total / n); l.Used(each) < even/2 || l.Used(each) > 2*even {
				t.Errorf("%d borrowers: number %d has %d, an even part being %d", n, i, l.Used(each), even)
			}
		}
	}
}

func TestTimeLimiterRestrainsOnlyOwnersBeyondTheirPart(t *testing.T) {
	p := NewTimeLimiter(0.5)
	p.SetGuaranteed(0, 0.2)
	p.SetGuaranteed(1, 0.2)
	ms := time.Millisecond
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		p.Record(now, 0, 1*ms) // 0.1 s a second
		p.Record(now, 1, 9*ms) // 0.9
		if !p.Allows(now, 0) {
			t.Fatalf("at %v the one within its part was held back", now)
		}
	}
	if p.Allows(10*time.Second, 1) {
		t.Error("the one that uses most is not held back")
	}
	if u := p.Used(10*time.Second, 1); u < 0.8 || u > 1 {
		t.Errorf("used %g", u)
	}
	if !p.Allows(11*time.Second, 1) || p.Used(20*time.Second, 1) > 0.001 {
		t.Error("what was used long ago still counts")
	}
}

func BenchmarkTryAcquireRelease(b *testing.B) {
	l, o := newAllocator(b, 1<<20, make([]int64, 500)...)
	b.ReportAllocs()
	for i := range b.N {
		if l.TryAcquire(time.Duration(i), o[i%500], 3) {
			l.Release(o[i%500], 3)
		}
	}
}
