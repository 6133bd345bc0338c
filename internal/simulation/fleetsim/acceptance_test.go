package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/fleetrules"
)

// The terms of the fleet's acceptance that are about decisions, played with the real modules.

// Twenty to thirty instances keep cold servers from falling where new ones join and others come back cold
// under a burst, and a cold server is sent work all the same.
func TestThrongDoesNotOverloadWarmingUpServers(t *testing.T) {
	for _, instances := range []int{20, 24, 30} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(instances, "/", seed), func(t *testing.T) {
				t.Parallel()
				r := runDayOrFail(t, DayOptions{Day: "throng", Instances: instances, Duration: 25 * time.Second, Seed: seed})
				if len(r.Broken) > 0 || r.MaxWarmUpOverload == 0 || r.Served < 0.5 {
					t.Errorf("%+v", r)
				}
			})
		}
	}
}

// Whatever effect the settings of a day give a class, and however short its window is, no effect comes twice,
// and at least a third of each class and of each plan is served.
func TestNoDuplicateEffects(t *testing.T) {
	for name, set := range map[string]func(k *control.Class){
		"safe":         func(k *control.Class) { k.Idempotency = control.Idempotent },
		"unsafe":       func(k *control.Class) { k.Idempotency = control.NotIdempotent },
		"short window": func(k *control.Class) { k.RepeatWindow = 150 * time.Millisecond },
		"keyed by all, short window": func(k *control.Class) {
			k.KeyScope, k.RepeatWindow = control.ScopeAll, 150*time.Millisecond
		},
	} {
		for _, dayName := range []string{"herd", "zone", "split", "join", "throng"} {
			t.Run(name+"/"+dayName, func(t *testing.T) {
				t.Parallel()
				plan := days[dayName]
				plan.settings = func(s *control.Settings) { set(&s.Classes[1]) }
				r, err := runDay(DayOptions{Day: dayName, Instances: 24, Duration: 15 * time.Second, Seed: 6}, plan)
				if err != nil || len(r.Broken) > 0 {
					t.Errorf("%v %+v", err, r)
				}
				for of, parts := range map[string]map[string]float64{"class": r.Classes, "plan": r.Plans} {
					for k, fraction := range parts {
						if fraction < 1.0/3 {
							t.Errorf("%s %s: %.3f is served: %+v", of, k, fraction, r)
						}
					}
				}
			})
		}
	}
}

// Taking an unsafe class for a safe one, and a day's short window for the usual one, are found.
func TestDuplicateEffectsAreDetected(t *testing.T) {
	for name, tc := range map[string]struct{ actual, assumed func(k *control.Class) }{
		"unsafe as safe": {func(k *control.Class) { k.Idempotency = control.NotIdempotent }, func(k *control.Class) { k.Idempotency = control.Idempotent }},
		"the usual window": {
			func(k *control.Class) { k.RepeatWindow = 150 * time.Millisecond },
			func(k *control.Class) { k.RepeatWindow = 15 * time.Second },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan := days["split"]
			plan.settings = func(s *control.Settings) { tc.actual(&s.Classes[1]) }
			o := DayOptions{
				Day: "split", Instances: 24, Duration: 15 * time.Second, Seed: 6,
				Mutation: &Mutation{settings: func(_ *world, n *node) { tc.assumed(&n.settings.Classes[1]) }},
			}
			if r, err := runDay(o, plan); err != nil || r.Broken[fleetrules.DuplicateEffect] == 0 {
				t.Errorf("%v %+v", err, r)
			}
		})
	}
}

// On quiet days and where all instances restart, hardly one rejects all that it gets for 4 s, and each plan has
// its part.
func TestFewInstancesRejectAll(t *testing.T) {
	for _, dayName := range []string{"calm", "roll"} {
		for _, instances := range []int{8, 80, 300} {
			t.Run(fmt.Sprint(dayName, "/", instances), func(t *testing.T) {
				t.Parallel()
				r := runDayOrFail(t, DayOptions{Day: dayName, Instances: instances, Duration: 20 * time.Second, Seed: 7})
				if r.RejectingFraction > 0.1 || len(r.Broken) > 0 {
					t.Errorf("%.2f of them reject all: %+v", r.RejectingFraction, r)
				}
				for name, fraction := range r.Plans {
					if fraction < 0.5 {
						t.Errorf("plan %s: %.3f is served: %+v", name, fraction, r)
					}
				}
			})
		}
	}
}

// On a quiet day the price of what goes beyond quotas is at most 0.1 over that of a policy that sees the true
// stores late.
func TestOverQuotaPriceIsNearDelayedBucketPolicy(t *testing.T) {
	for _, name := range QuotaNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := QuotaOptions{World: name, Policy: ByModule, Instances: 100, Duration: 15 * time.Second, Seed: 5}
			module := runQuotasOrFail(t, o)
			o.Policy, o.PolicyDelay = DelayedBucket, -1
			delayed := runQuotasOrFail(t, o)
			if module.OverQuotaPrice > delayed.OverQuotaPrice+0.1 {
				t.Errorf("price %.3f, the late-seeing policy's %.3f", module.OverQuotaPrice, delayed.OverQuotaPrice)
			}
		})
	}
}
