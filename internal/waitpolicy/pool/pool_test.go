package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lockflow/internal/waitpolicy"
)

const (
	mergeInterval = 5 * time.Second
	lifetime      = 12 * mergeInterval
	ms            = time.Millisecond
)

// report is what an instance shares that has observed a part n times, with the given median.
func report(t testing.TB, seed uint64, n int, median time.Duration) []byte {
	t.Helper()
	m := waitpolicy.NewModel(&waitpolicy.Settings{Parts: []waitpolicy.Part{{Name: "a"}}}, waitpolicy.Options{})
	rng := rand.New(rand.NewPCG(seed, 1))
	for range n {
		m.Observe("c", 0, 0.3, waitpolicy.Outcome{Duration: time.Duration(float64(median) * math.Exp(0.6*rng.NormFloat64()))})
	}
	raw, err := m.Shared()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

var key = waitpolicy.Key{Class: "c", Part: "a", Load: 1}

func half(all map[waitpolicy.Key]*waitpolicy.Sketch) float64 {
	if all[key] == nil || all[key].Weight() == 0 {
		return 0
	}
	return float64(all[key].Quantile(0.5)) / float64(ms)
}

// One misreporting instance of four and more moves the merged median by no more than a tenth.
func TestMisreportingMemberMovesLittle(t *testing.T) {
	for _, n := range []int{4, 10, 40} {
		for name, misreport := range map[string]struct {
			n      int
			median time.Duration
		}{"all slow": {600, 20 * time.Second}, "all at once": {600, ms / 2}, "a little slower": {600, 150 * ms}, "few slow ones": {7, 20 * time.Second}} {
			p, honest := New(Options{OwnID: "x", Lifetime: lifetime, MergeInterval: mergeInterval}), New(Options{OwnID: "x", Lifetime: lifetime, MergeInterval: mergeInterval})
			for i := range n {
				raw := report(t, uint64(i), 400, 100*ms)
				if err := honest.AddReport(0, fmt.Sprint(i), 0, raw); err != nil {
					t.Fatal(err)
				}
				if i == 0 {
					raw = report(t, 99, misreport.n, misreport.median)
				}
				if err := p.AddReport(0, fmt.Sprint(i), 0, raw); err != nil {
					t.Fatal(err)
				}
			}
			a, _ := honest.Merge(mergeInterval, nil, nil)
			b, _ := p.Merge(mergeInterval, nil, nil)
			if r := half(b) / half(a); r < 0.9 || r > 1.1 {
				t.Errorf("%d instances, one reports %s: %g ms, else %g", n, name, half(b), half(a))
			}
			if (misreport.n > 100) != (p.Stats().Outliers > 0) {
				t.Errorf("%d instances, %s: %d left out", n, name, p.Stats().Outliers)
			}
		}
	}
}

// Trust changes by no more than a quarter in each merge, while a store is lost, emptied, shows half of the group or
// is available again; and reports expire.
func TestTrustChangesInSteps(t *testing.T) {
	p, rng := New(Options{OwnID: "x", Lifetime: lifetime, MergeInterval: mergeInterval}), rand.New(rand.NewPCG(1, 1))
	last, highest, now := 0.0, 0.0, time.Duration(0)
	raws := [][]byte{report(t, 1, 300, 100*ms), report(t, 2, 300, 110*ms), report(t, 3, 300, 400*ms)}
	for range 2000 {
		now += mergeInterval + time.Duration(rng.IntN(2000)-1000)*ms
		if works := int(now/(300*time.Second))%2 == 0; works {
			p.StoreReplied(now)
			for i, raw := range raws {
				if rng.IntN(2) == 0 {
					if err := p.AddReport(now, fmt.Sprint(i), time.Duration(rng.IntN(20))*time.Second, raw); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		_, trust := p.Merge(now, nil, nil)
		if math.Abs(trust-last) > maxTrustStep+1e-9 || trust < 0 || trust > 1 {
			t.Fatalf("at %v trust goes from %g to %g", now, last, trust)
		}
		last, highest = trust, max(highest, trust)
	}
	all, trust := p.Merge(now+2*lifetime, nil, nil)
	if highest < 1 || len(all) > 0 || trust > 1-maxTrustStep {
		t.Errorf("trust was %g; after all has expired %d sketches are left, and trust of %g", highest, len(all), trust)
	}
}

// The order in which reports arrive does not change the merged sketches.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	var raws [][]byte
	for i := range 9 {
		raws = append(raws, report(t, uint64(i), 10+50*i, time.Duration(80+5*i)*ms))
	}
	var want float64
	for i, seed := range []uint64{0, 1, 2, 3} {
		p := New(Options{OwnID: "8", Lifetime: lifetime, MergeInterval: mergeInterval})
		for _, j := range rand.New(rand.NewPCG(seed, 1)).Perm(len(raws)) {
			if err := p.AddReport(0, fmt.Sprint(j), 0, raws[j]); err != nil {
				t.Fatal(err)
			}
			if err := p.AddReport(0, fmt.Sprint(j), time.Second, raws[0]); err != nil { // older than what is known
				t.Fatal(err)
			}
		}
		all, _ := p.Merge(mergeInterval, nil, nil)
		if got := half(all); i == 0 {
			want = got
		} else if got != want {
			t.Errorf("%g and %g", got, want)
		}
		if p.Stats().Members != 8 {
			t.Errorf("%+v", p.Stats())
		}
	}
}

func TestMalformedReportsAreRejected(t *testing.T) {
	p := New(Options{OwnID: "x", Lifetime: lifetime, MergeInterval: mergeInterval})
	good := report(t, 1, 100, 100*ms)
	if err := p.AddReport(0, "a", 0, good); err != nil {
		t.Fatal(err)
	}
	for i, bad := range [][]byte{nil, []byte("x"), good[:len(good)-1], append(good[:len(good):len(good)], 0)} {
		if p.AddReport(time.Second, "a", 0, bad) == nil || p.AddReport(time.Second, "", 0, good) == nil {
			t.Errorf("%d is accepted", i)
		}
	}
	for i := range 3 * MaxMembers {
		if err := p.AddReport(time.Duration(i)*ms, fmt.Sprint(i), 0, good); err != nil {
			t.Fatal(err)
		}
	}
	if s := p.Stats(); s.Members != MaxMembers || s.Rejected != 8 {
		t.Errorf("%+v", s)
	}
	if all, _ := p.Merge(2*time.Second, nil, nil); half(all) == 0 {
		t.Error("the report before is gone")
	}
}
