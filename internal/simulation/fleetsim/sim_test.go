package fleetsim

import (
	"reflect"
	"testing"
	"time"
)

func runOrFail(t *testing.T, o Options) Report {
	t.Helper()
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Forty nodes keep the overload limit of a warming-up server and a customer's hard limit by their group size alone, with
// late notifications and uneven load too. If they ignore the group size, both limits are exceeded. Wrong group sizes
// exceed the hard limit or use less of it.
func TestFortyInstances(t *testing.T) {
	for name, tc := range map[string]struct {
		o                                  Options
		withinWarmUpLimit, withinHardLimit bool // whether the overload limit of the warming-up server, and the hard limit, must be kept
		minServed                          float64
		minHardLimitUse                    float64
	}{
		"correct group size":               {Options{Instances: 40}, true, true, 0.97, 0.5},
		"late notifications":               {Options{Instances: 40, NotificationLag: 5 * time.Second}, true, true, 0.97, 0.5},
		"uneven":                           {Options{Instances: 40, NotificationLag: 2 * time.Second, IsUneven: true}, true, true, 0.97, 0.2},
		"group size 20 of 40":              {Options{Instances: 40, GroupSize: 20}, true, false, 0.97, 0.5},
		"group size 40 of 3":               {Options{Instances: 3, GroupSize: 40}, true, true, 0.85, 0.05},
		"group size ignored":               {Options{Instances: 40, GroupSize: 1, ServerRate: 10, Load: 0.95}, false, false, 0, 0.5},
		"slow servers, correct group size": {Options{Instances: 40, ServerRate: 10, Load: 0.95}, true, true, 0, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			tc.o.Seed = 3
			r := runOrFail(t, tc.o)
			r.Trace = nil
			if r.MaxWarmUpOverload <= 1 != tc.withinWarmUpLimit || r.MaxOverHardLimit <= hardLimitSlack != tc.withinHardLimit || r.Served < tc.minServed || r.HardLimitUse < tc.minHardLimitUse {
				t.Errorf("%+v", r)
			}
		})
	}
}

func TestSameSeedGivesSameRun(t *testing.T) {
	o := Options{Instances: 10, Seed: 5, Duration: 12 * time.Second}
	if a, b := runOrFail(t, o), runOrFail(t, o); !reflect.DeepEqual(a, b) {
		t.Errorf("the same seed gave different reports:\n%+v\n%+v", a, b)
	}
	if _, err := Run(Options{Instances: 1, GroupSize: -1}); err == nil {
		t.Error("no error for group size -1")
	}
}
