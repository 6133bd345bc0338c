package bulkhead

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const maxLoanTime = 10 * time.Second

// testingT is the part of testing.TB that rapid.T implements too.
type testingT interface {
	Helper()
	Fatal(...any)
}

func newAllocator(t testingT, total int64, guaranteed ...int64) (*Allocator, []Owner) {
	t.Helper()
	a := New(total, maxLoanTime)
	var owners []Owner
	parts := make(map[Owner]int64)
	for _, g := range guaranteed {
		o := a.AddOwner()
		owners, parts[o] = append(owners, o), g
	}
	if err := a.SetGuarantees(total, parts); err != nil {
		t.Fatal(err)
	}
	return a, owners
}

// acquireAll acquires units for an owner one by one until it is rejected, and returns their number.
func acquireAll(a *Allocator, o Owner) (n int64) {
	for a.TryAcquire(0, o, 1) {
		n++
	}
	return n
}

func TestOwnersAcquireGuaranteedAndBorrowedParts(t *testing.T) {
	for name, tc := range map[string]struct {
		total        int64
		a, b         int64 // guaranteed parts of the two owners
		first, after int64 // units that a acquires alone, and then b
	}{
		"all guaranteed":      {100, 50, 50, 74, 26}, // a borrows 24 of the 37 units that can be lent: 2*(37-24)>=24
		"some not guaranteed": {100, 30, 30, 71, 29},
		"none guaranteed":     {90, 0, 0, 60, 20},
		"one has none":        {100, 0, 40, 60, 40},
		"nothing":             {0, 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, o := newAllocator(t, tc.total, tc.a, tc.b)
			if got := acquireAll(l, o[0]); got != tc.first {
				t.Errorf("the first owner acquired %d units, want %d", got, tc.first)
			}
			if got := acquireAll(l, o[1]); got != tc.after {
				t.Errorf("the second owner acquired %d units, want %d", got, tc.after)
			}
		})
	}
}

func TestSetGuaranteesKeepsAcquiredUnits(t *testing.T) {
	a, o := newAllocator(t, 10, 5, 5)
	if err := a.SetGuarantees(10, map[Owner]int64{o[0]: 6, o[1]: 5}); err == nil {
		t.Error("accepted parts that add up to more than the total")
	}
	if err := a.SetGuarantees(10, map[Owner]int64{o[0]: -1}); err == nil {
		t.Error("accepted a negative part")
	}
	if a.Guaranteed(o[0]) != 5 || a.Guaranteed(o[1]) != 5 {
		t.Error("rejected guarantees changed the guaranteed parts")
	}
	acquireAll(a, o[0])
	before := a.Used(o[0])
	if err := a.SetGuarantees(2, map[Owner]int64{o[1]: 2}); err != nil {
		t.Fatal(err)
	}
	if a.Used(o[0]) != before || a.TryAcquire(0, o[0], 1) || a.TryAcquire(0, o[1], 1) {
		t.Error("acquired more units, or lost acquired ones, while more than the new total is in use")
	}
	a.Release(o[0], before)
	if !a.TryAcquire(0, o[1], 1) {
		t.Error("a unit within the guaranteed part was rejected")
	}
	a.RemoveOwner(o[1])
	if got := a.AddOwner(); got == o[1] {
		t.Error("an owner with acquired units was reused")
	}
	a.Release(o[1], 1)
	if got := a.AddOwner(); got != o[1] {
		t.Errorf("got owner %d, want the removed owner to be reused", got)
	}
}

// acquisition is a number of acquired units and the time of their release.
type acquisition struct {
	owner      Owner
	n          int64
	releasedAt time.Duration
}

// guaranteeTest makes owners acquire and release units in random order, and checks an allocator's guarantees.
type guaranteeTest struct {
	*Allocator
	owners      []Owner
	total       int64
	now         time.Duration
	outstanding []acquisition
	// rejectedSince is the time at which an owner was first rejected within its guaranteed part, until it acquires
	// units within that part.
	rejectedSince map[Owner]time.Duration
}

func drawGuaranteeTest(t *rapid.T) *guaranteeTest {
	n := rapid.IntRange(2, 7).Draw(t, "owners")
	total := rapid.Int64Range(20, 2019).Draw(t, "total")
	remaining, guaranteed := total, []int64(nil)
	for range n {
		part := rapid.Int64Range(0, remaining/2).Draw(t, "guaranteed")
		guaranteed, remaining = append(guaranteed, part), remaining-part
	}
	a, owners := newAllocator(t, total, guaranteed...)
	return &guaranteeTest{Allocator: a, owners: owners, total: total, rejectedSince: make(map[Owner]time.Duration)}
}

// releaseDue releases the acquisitions that are due.
func (g *guaranteeTest) releaseDue() {
	remaining := g.outstanding[:0]
	for _, acquired := range g.outstanding {
		if acquired.releasedAt <= g.now {
			g.Release(acquired.owner, acquired.n)
		} else {
			remaining = append(remaining, acquired)
		}
	}
	g.outstanding = remaining
}

// drawOwner draws an owner, most often the first one.
func (g *guaranteeTest) drawOwner(t *rapid.T) Owner {
	o := g.owners[rapid.IntRange(0, len(g.owners)-1).Draw(t, "who")]
	if rapid.IntRange(0, 2).Draw(t, "greedy") == 0 {
		o = g.owners[0]
	}
	return o
}

// step advances the time and makes an owner try to acquire some units.
func (g *guaranteeTest) step(t *rapid.T, maxSize int64) {
	g.now += time.Duration(rapid.Int64Range(0, int64(maxLoanTime/200)).Draw(t, "passes"))
	g.releaseDue()
	o := g.drawOwner(t)
	n := rapid.Int64Range(1, maxSize).Draw(t, "size")
	used := g.Used(o)
	ok := g.TryAcquire(g.now, o, n)
	if ok {
		g.outstanding = append(g.outstanding, acquisition{o, n, g.now + time.Duration(rapid.Int64Range(0, int64(maxLoanTime)-1).Draw(t, "for"))})
	}
	g.checkTotal(t)
	g.checkGuaranteed(t, o, used, n, ok)
}

func (g *guaranteeTest) checkTotal(t *rapid.T) {
	sum := int64(0)
	for _, o := range g.owners {
		sum += g.Used(o)
	}
	if sum > g.total || sum != g.total-g.Free() {
		t.Fatalf("owners have acquired %d of %d units, or Free is inconsistent", sum, g.total)
	}
}

// checkGuaranteed checks the result ok of an attempt to acquire n units for an owner that had used units before.
func (g *guaranteeTest) checkGuaranteed(t *rapid.T, o Owner, used, n int64, ok bool) {
	guaranteed := g.Guaranteed(o)
	isGuaranteed := used+n <= guaranteed
	if !ok && used+n <= guaranteed/4 {
		t.Fatalf("%d units on top of %d within the reserve of a guaranteed %d were rejected", n, used, guaranteed)
	}
	if !isGuaranteed {
		return
	}
	if ok {
		delete(g.rejectedSince, o)
		return
	}
	if since, isRepeated := g.rejectedSince[o]; !isRepeated {
		g.rejectedSince[o] = g.now
	} else if g.now >= since+maxLoanTime {
		t.Fatalf("%d units on top of %d of a guaranteed %d were rejected for %v", n, used, guaranteed, g.now-since)
	}
}

// TestAllocatorKeepsItsGuarantees checks that, for any order of acquisitions and releases, no more than the total is ever
// acquired, each owner gets the first quarter of its guaranteed part at once, and all of that part within the maximum loan
// time of its first rejected attempt.
func TestAllocatorKeepsItsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drawGuaranteeTest(t)
		maxSize := rapid.Int64Range(1, 5).Draw(t, "sizes")
		for range rapid.IntRange(0, 1000).Draw(t, "steps") {
			g.step(t, maxSize)
		}
	})
}

// TestNothingIsLentAfterRejectionWithinGuarantee checks that after an owner was rejected within its guaranteed part nothing
// is lent for the maximum loan time, even if many units are released meanwhile.
func TestNothingIsLentAfterRejectionWithinGuarantee(t *testing.T) {
	a, owners := newAllocator(t, 100, 0, 50, 0)
	first, guaranteed, second := owners[0], owners[1], owners[2]
	lent := acquireAll(a, first)
	acquireAll(a, second)
	if n := acquireAll(a, guaranteed); n < 50/reserveDivisor || n >= 50 {
		t.Fatalf("acquired %d of the guaranteed 50 units, want at least the reserve but not all", n)
	}
	a.Release(first, lent)
	if a.TryAcquire(maxLoanTime-1, second, 1) {
		t.Error("lent within the maximum loan time of the rejection")
	}
	if !a.TryAcquire(maxLoanTime-1, guaranteed, 1) {
		t.Error("a free unit within the guaranteed part was rejected")
	}
	if !a.TryAcquire(maxLoanTime, second, 1) {
		t.Error("not lent after the maximum loan time")
	}
}

// TestNoBorrowerStarvesOthers checks that other owners can still borrow however much one owner borrows, and that in time
// all owners have about the same number of units.
func TestNoBorrowerStarvesOthers(t *testing.T) {
	const total = 10000
	for _, n := range []int{2, 3, 10, 50} {
		a, owners := newAllocator(t, total, make([]int64, n)...)
		for i, o := range owners {
			got := acquireAll(a, o)
			if i == 0 && got > total*maxBorrowRatio/(maxBorrowRatio+1)+1 {
				t.Errorf("the first owner borrowed %d of %d units", got, total)
			}
			if i == 1 && got < total/6 {
				t.Errorf("the second owner borrowed %d of %d units", got, total)
			}
		}
		for range 20 {
			releaseHalf(a, owners)
			acquireInTurn(a, owners)
		}
		evenShare := int64(total / n)
		for i, o := range owners {
			if a.Used(o) < evenShare/2 || a.Used(o) > 2*evenShare {
				t.Errorf("%d borrowers: borrower %d has %d units, an even share is %d", n, i, a.Used(o), evenShare)
			}
		}
	}
}

// releaseHalf releases half of the units of each owner.
func releaseHalf(a *Allocator, owners []Owner) {
	for _, o := range owners {
		if half := a.Used(o) / 2; half > 0 {
			a.Release(o, half)
		}
	}
}

// acquireInTurn acquires one unit for each owner in turn until none can acquire any more.
func acquireInTurn(a *Allocator, owners []Owner) {
	for anyAcquired := true; anyAcquired; {
		anyAcquired = false
		for _, o := range owners {
			anyAcquired = a.TryAcquire(0, o, 1) || anyAcquired
		}
	}
}

func TestTimeLimiterThrottlesOnlyOwnersOverGuarantee(t *testing.T) {
	limiter := NewTimeLimiter(0.5)
	limiter.SetGuaranteed(0, 0.2)
	limiter.SetGuaranteed(1, 0.2)
	ms := time.Millisecond
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		limiter.Record(now, 0, 1*ms) // 0.1 s per second
		limiter.Record(now, 1, 9*ms) // 0.9 s per second
		if !limiter.Allows(now, 0) {
			t.Fatalf("at %v the owner within its guaranteed part was not allowed more time", now)
		}
	}
	if limiter.Allows(10*time.Second, 1) {
		t.Error("the owner above its guaranteed part was allowed more time")
	}
	if used := limiter.Used(10*time.Second, 1); used < 0.8 || used > 1 {
		t.Errorf("got an average use of %g, want 0.8 to 1", used)
	}
	if !limiter.Allows(11*time.Second, 1) || limiter.Used(20*time.Second, 1) > 0.001 {
		t.Error("time used long ago still counts")
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
