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

// newReport returns the report of an instance that has observed a part n times, with the given median duration.
func newReport(t testing.TB, seed uint64, n int, median time.Duration) []byte {
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

func medianMillis(sketches map[waitpolicy.Key]*waitpolicy.Sketch) float64 {
	if sketches[key] == nil || sketches[key].Weight() == 0 {
		return 0
	}
	return float64(sketches[key].Quantile(0.5)) / float64(ms)
}

// One misreporting instance among four or more moves the merged median by no more than a tenth.
func TestMisreportingMemberHasLittleInfluence(t *testing.T) {
	for _, n := range []int{4, 10, 40} {
		for name, misreport := range map[string]struct {
			n      int
			median time.Duration
		}{"all slow": {600, 20 * time.Second}, "all immediate": {600, ms / 2}, "a little slower": {600, 150 * ms}, "few slow ones": {7, 20 * time.Second}} {
			p, honest := New(Options{OwnID: "x", Lifetime: lifetime, MergeInterval: mergeInterval}), New(Options{OwnID: "x", Lifetime: lifetime, MergeInterval: mergeInterval})
			for i := range n {
				raw := newReport(t, uint64(i), 400, 100*ms)
				if err := honest.AddReport(0, fmt.Sprint(i), 0, raw); err != nil {
					t.Fatal(err)
				}
				if i == 0 {
					raw = newReport(t, 99, misreport.n, misreport.median)
				}
				if err := p.AddReport(0, fmt.Sprint(i), 0, raw); err != nil {
					t.Fatal(err)
				}
			}
			honestSketches, _ := honest.Merge(mergeInterval, nil, nil)
			sketches, _ := p.Merge(mergeInterval, nil, nil)
			if ratio := medianMillis(sketches) / medianMillis(honestSketches); ratio < 0.9 || ratio > 1.1 {
				t.Errorf("%d instances, one reports %s: median %g ms, want about %g ms", n, name, medianMillis(sketches), medianMillis(honestSketches))
			}
			if (misreport.n > 100) != (p.Stats().Outliers > 0) {
				t.Errorf("%d instances, %s: %d outliers", n, name, p.Stats().Outliers)
			}
		}
	}
}

// Trust changes by no more than a quarter in each merge while a store is lost, emptied, returns half of the members or
// is available again; and reports expire.
func TestTrustChangesInSteps(t *testing.T) {
	p, rng := New(Options{OwnID: "x", Lifetime: lifetime, MergeInterval: mergeInterval}), rand.New(rand.NewPCG(1, 1))
	previousTrust, highestTrust, now := 0.0, 0.0, time.Duration(0)
	reports := [][]byte{newReport(t, 1, 300, 100*ms), newReport(t, 2, 300, 110*ms), newReport(t, 3, 300, 400*ms)}
	for range 2000 {
		now += mergeInterval + time.Duration(rng.IntN(2000)-1000)*ms
		if isReplying := int(now/(300*time.Second))%2 == 0; isReplying {
			p.StoreReplied(now)
			for i, raw := range reports {
				if rng.IntN(2) == 0 {
					if err := p.AddReport(now, fmt.Sprint(i), time.Duration(rng.IntN(20))*time.Second, raw); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		_, trust := p.Merge(now, nil, nil)
		if math.Abs(trust-previousTrust) > maxTrustStep+1e-9 || trust < 0 || trust > 1 {
			t.Fatalf("at %v trust changes from %g to %g", now, previousTrust, trust)
		}
		previousTrust, highestTrust = trust, max(highestTrust, trust)
	}
	sketches, trust := p.Merge(now+2*lifetime, nil, nil)
	if highestTrust < 1 || len(sketches) > 0 || trust > 1-maxTrustStep {
		t.Errorf("highest trust %g; after all reports have expired: %d sketches and trust %g", highestTrust, len(sketches), trust)
	}
}

// The order in which reports arrive does not change the merged sketches.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	var reports [][]byte
	for i := range 9 {
		reports = append(reports, newReport(t, uint64(i), 10+50*i, time.Duration(80+5*i)*ms))
	}
	var want float64
	for i, seed := range []uint64{0, 1, 2, 3} {
		p := New(Options{OwnID: "8", Lifetime: lifetime, MergeInterval: mergeInterval})
		for _, j := range rand.New(rand.NewPCG(seed, 1)).Perm(len(reports)) {
			if err := p.AddReport(0, fmt.Sprint(j), 0, reports[j]); err != nil {
				t.Fatal(err)
			}
			if err := p.AddReport(0, fmt.Sprint(j), time.Second, reports[0]); err != nil { // older than the current report
				t.Fatal(err)
			}
		}
		sketches, _ := p.Merge(mergeInterval, nil, nil)
		if got := medianMillis(sketches); i == 0 {
			want = got
		} else if got != want {
			t.Errorf("merged median %g, want %g as in the first order", got, want)
		}
		if p.Stats().Members != 8 {
			t.Errorf("%+v", p.Stats())
		}
	}
}

func TestMalformedReportsAreRejected(t *testing.T) {
	p := New(Options{OwnID: "x", Lifetime: lifetime, MergeInterval: mergeInterval})
	valid := newReport(t, 1, 100, 100*ms)
	if err := p.AddReport(0, "a", 0, valid); err != nil {
		t.Fatal(err)
	}
	for i, malformed := range [][]byte{nil, []byte("x"), valid[:len(valid)-1], append(valid[:len(valid):len(valid)], 0)} {
		if p.AddReport(time.Second, "a", 0, malformed) == nil || p.AddReport(time.Second, "", 0, valid) == nil {
			t.Errorf("malformed report %d or an empty ID was accepted", i)
		}
	}
	for i := range 3 * MaxMembers {
		if err := p.AddReport(time.Duration(i)*ms, fmt.Sprint(i), 0, valid); err != nil {
			t.Fatal(err)
		}
	}
	if s := p.Stats(); s.Members != MaxMembers || s.Rejected != 8 {
		t.Errorf("%+v", s)
	}
	if sketches, _ := p.Merge(2*time.Second, nil, nil); medianMillis(sketches) == 0 {
		t.Error("valid report was lost after a malformed one")
	}
}
