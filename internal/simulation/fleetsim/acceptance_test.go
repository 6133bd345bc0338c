package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/fleetrules"
)

// This file has the acceptance tests of the fleet that depend on decisions. They simulate fleets with the real decision modules.

// With 20 to 30 instances, warming-up servers are not overloaded when new servers join and others restart during a
// burst, but they do receive work.
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

// For each idempotency of a class, and with a short repeat window, no request has duplicate effects, and at least a
// third of the load of each class and of each plan is served.
func TestNoDuplicateEffects(t *testing.T) {
	for name, set := range map[string]func(k *control.Class){
		"safe":                func(k *control.Class) { k.Idempotency = control.Idempotent },
		"unsafe":              func(k *control.Class) { k.Idempotency = control.NotIdempotent },
		"short repeat window": func(k *control.Class) { k.RepeatWindow = 150 * time.Millisecond },
		"keys shared by all servers, short repeat window": func(k *control.Class) {
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
							t.Errorf("%s %s: served fraction %.3f, expected at least 1/3: %+v", of, k, fraction, r)
						}
					}
				}
			})
		}
	}
}

// The checker finds duplicate effects if nodes treat a class as idempotent that is not, or assume too long a repeat window.
func TestDuplicateEffectsAreDetected(t *testing.T) {
	for name, tc := range map[string]struct{ actual, assumed func(k *control.Class) }{
		"not idempotent taken as idempotent": {func(k *control.Class) { k.Idempotency = control.NotIdempotent }, func(k *control.Class) { k.Idempotency = control.Idempotent }},
		"repeat window too long": {
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

// On a day without faults, and when all instances restart, at most a tenth of the instances reject all requests for 4 s,
// and at least half of each plan's load is served.
func TestFewInstancesRejectAll(t *testing.T) {
	for _, dayName := range []string{"calm", "roll"} {
		for _, instances := range []int{8, 80, 300} {
			t.Run(fmt.Sprint(dayName, "/", instances), func(t *testing.T) {
				t.Parallel()
				r := runDayOrFail(t, DayOptions{Day: dayName, Instances: instances, Duration: 20 * time.Second, Seed: 7})
				if r.RejectingFraction > 0.1 || len(r.Broken) > 0 {
					t.Errorf("fraction %.2f of the instances rejects all requests, expected at most 0.1: %+v", r.RejectingFraction, r)
				}
				for name, fraction := range r.Plans {
					if fraction < 0.5 {
						t.Errorf("plan %s: served fraction %.3f, expected at least 0.5: %+v", name, fraction, r)
					}
				}
			})
		}
	}
}

// On a day without faults, the price of over-quota requests exceeds that of the policy DelayedBucket, which knows the
// exact bucket state with a delay, by at most 0.1.
func TestOverQuotaPriceIsNearDelayedBucketPolicy(t *testing.T) {
	for _, name := range DeploymentNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := QuotaOptions{Deployment: name, Policy: ByModule, Instances: 100, Duration: 15 * time.Second, Seed: 5}
			module := runQuotasOrFail(t, o)
			o.Policy, o.PolicyDelay = DelayedBucket, -1
			delayed := runQuotasOrFail(t, o)
			if module.OverQuotaPrice > delayed.OverQuotaPrice+0.1 {
				t.Errorf("over-quota price %.3f, more than 0.1 above %.3f, that of the policy DelayedBucket", module.OverQuotaPrice, delayed.OverQuotaPrice)
			}
		})
	}
}
