package fleetsim

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/fleetrules"
)

func runDayOrFail(t *testing.T, o DayOptions) DayReport {
	t.Helper()
	r, err := Day(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// No rule is broken on any day at any fleet size, and at least half of the load within quotas is served.
func TestDaysBreakNoRule(t *testing.T) {
	for _, n := range []int{2, 8, 80} {
		for _, name := range DayNames {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				r := runDayOrFail(t, DayOptions{Day: name, Instances: n, Duration: 20 * time.Second, Seed: 4})
				if len(r.Broken) > 0 || r.Served < 0.5 || r.Calls < 100 {
					t.Errorf("%d instances: %+v", n, r)
				}
				if starved := meanStarvedFraction(t, name, n); starved > 0.15 {
					t.Errorf("%d instances: starved customers offer a fraction of %.3f of the weight within quotas, expected at most 0.15", n, starved)
				}
				if n < 80 { // with few servers, the loss of one leaves too little capacity
					return
				}
				// At least half is served of each class and in each third of the day.
				for k, fraction := range r.Classes {
					if fraction < 0.5 {
						t.Errorf("%d instances: class %s: served fraction %.3f, expected at least 0.5: %+v", n, k, fraction, r)
					}
				}
				for k, fraction := range r.Thirds {
					if fraction < 0.5 {
						t.Errorf("%d instances: third %d of the day: served fraction %.3f, expected at least 0.5: %+v", n, k, fraction, r)
					}
				}
			})
		}
	}
}

// meanStarvedFraction returns the mean of DayReport.StarvedFraction over 8 seeds and fails the test if a rule is broken
// with any of them. With few instances a single seed is not significant, since one customer may be a tenth of the load.
func meanStarvedFraction(t *testing.T, name string, instances int) float64 {
	t.Helper()
	const seeds = 8
	sum := 0.0
	for seed := range uint64(seeds) {
		r := runDayOrFail(t, DayOptions{Day: name, Instances: instances, Duration: 20 * time.Second, Seed: 1 + seed})
		if sum += r.StarvedFraction; len(r.Broken) > 0 {
			t.Errorf("%d instances, seed %d: %+v", instances, 1+seed, r)
		}
	}
	return sum / seeds
}

// No rule is broken on a short day on which most of 300 instances are killed at once and their clients retry.
func TestThreeHundredInstancesBreakNoRule(t *testing.T) {
	r := runDayOrFail(t, DayOptions{Day: "herd", Instances: 300, Duration: 10 * time.Second, Load: 2, Seed: 4})
	if len(r.Broken) > 0 || r.Served < 0.5 || r.MaxWarmUpOverload == 0 {
		t.Errorf("%+v", r)
	}
}

// The same seed gives the same report, independent of map iteration order; another seed gives another report.
func TestSameSeedGivesSameDay(t *testing.T) {
	o := DayOptions{Day: "split", Instances: 12, Duration: 12 * time.Second, Seed: 5}
	a, b := runDayOrFail(t, o), runDayOrFail(t, o)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("the same seed gave different reports:\n%+v\n%+v", a, b)
	}
	if o.Seed++; reflect.DeepEqual(a, runDayOrFail(t, o)) {
		t.Error("another seed gave the same report")
	}
	for _, o := range []DayOptions{{Day: "none", Instances: 1}, {Day: "calm"}, {Day: "calm", Instances: 1, GroupSize: -1}} {
		if _, err := Day(o); err == nil {
			t.Errorf("no error for invalid options %+v", o)
		}
	}
}

// Each mutation, which removes a safeguard, breaks the rule that the safeguard enforces. Without it no rule is broken.
func TestMutationsBreakTheirRule(t *testing.T) {
	for _, m := range Mutations {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			o := m.Options(DayOptions{Instances: 40, Duration: 20 * time.Second, Seed: 4})
			without := o
			without.Mutation = nil
			if r := runDayOrFail(t, without); len(r.Broken) > 0 {
				t.Errorf("rules broken without the mutation: %+v", r)
			}
			if r := runDayOrFail(t, o); r.Broken[m.Rule] == 0 {
				t.Errorf("the mutation did not break rule %q: %+v", m.Rule, r)
			}
		})
	}
}

// The sums of a report do not depend on map iteration order, which would change the rounding.
func TestReportIsIndependentOfMapOrder(t *testing.T) {
	w := &world{rules: control.Settings{Classes: make([]control.Class, 2)}, checker: fleetrules.New(fleetrules.Tolerances{}), customerTotals: map[*dayCustomer]*weightTotals{}}
	for i := range 50 {
		weight := 1 / float64(i+1)
		w.customerTotals[&dayCustomer{name: fmt.Sprint(i)}] = &weightTotals{offered: weight}
		w.totalWeight.offered += weight
	}
	first := w.report().StarvedFraction
	for range 20 {
		if repeated := w.report().StarvedFraction; repeated != first {
			t.Fatalf("StarvedFraction differs between reports of the same state: %v and %v", repeated, first)
		}
	}
}
