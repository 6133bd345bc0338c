package quotalease

import (
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

var (
	rules     = Rules{Instances: 40, Term: time.Second, ReservationTime: 2 * time.Second, ResizeTime: 4 * time.Second, MaxDrift: 0.005}
	testLimit = HardLimit{Rate: 30, Burst: 60}
)

// faults inject faults into a simulation, by name.
var faults = map[string]func(sim *simulation){
	"delays and losses": func(sim *simulation) { sim.slowFraction, sim.lossFraction = 0.05, 0.05 },
	"late":              func(sim *simulation) { sim.addresses[0].delay = 3 * time.Second },
	"store unreachable for 10 s": func(sim *simulation) {
		sim.setReachableStore(-1, allNodes)
		sim.After(10*time.Second, func() { sim.setReachableStore(0, allNodes) })
	},
	"replaced": func(sim *simulation) { sim.replace(0) },
	"store replaced four times": func(sim *simulation) {
		for i := range 4 {
			sim.After(time.Duration(i)*3*time.Second, func() { sim.replace(0) })
		}
	},
	"partition into halves": func(sim *simulation) {
		sim.replace(1)
		sim.setReachableStore(1, func(i int) bool { return i%2 == 0 })
		sim.After(20*time.Second, func() { sim.setReachableStore(0, allNodes) })
	},
	"moving partition": func(sim *simulation) {
		sim.replace(1)
		for i := range 8 {
			part := sim.rng.IntN(len(sim.nodes) + 1)
			sim.After(time.Duration(i)*3*time.Second, func() {
				sim.setReachableStore(1, func(i int) bool { return i < part })
				sim.setReachableStore(0, func(i int) bool { return i >= part })
			})
		}
		sim.After(24*time.Second, func() { sim.setReachableStore(0, allNodes) })
	},
	"all nodes switch stores repeatedly": func(sim *simulation) {
		sim.replace(1)
		for i := range 6 {
			sim.After(time.Duration(i)*4*time.Second, func() { sim.setReachableStore(1-i%2, allNodes) })
		}
	},
	"stopped processes": func(sim *simulation) {
		for _, n := range sim.nodes {
			if sim.rng.IntN(3) == 0 {
				n.stoppedUntil = sim.Now() + time.Duration(1+sim.rng.IntN(10))*time.Second
			}
		}
	},
	"killed and restarted nodes": func(sim *simulation) {
		for i := range 5 {
			sim.After(time.Duration(i)*2*time.Second, func() {
				for range 10 {
					n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
					n.kill()
					sim.After(time.Duration(sim.rng.IntN(2000))*time.Millisecond, n.start)
				}
			})
		}
	},
	"store clock steps": func(sim *simulation) {
		for i := range 6 {
			sim.After(time.Duration(i)*3*time.Second, func() {
				sim.addresses[0].clock.offset += time.Duration(sim.rng.IntN(20)-10) * time.Second
			})
		}
	},
	"traffic moves to one node": func(sim *simulation) {
		one := sim.rng.IntN(len(sim.nodes))
		sim.weight = func(i int) float64 {
			if i == one {
				return 1
			}
			return 0.0001
		}
	},
}

// protectionFaults inject faults that exceed the bound if one protection is disabled, by name.
var protectionFaults = map[string]func(sim *simulation){
	"none": func(*simulation) {},
	// Thirty nodes call a store while their calls take 6 s. Then all of them reach another store at once.
	"late reservations, then a store switch": func(sim *simulation) {
		sim.replace(1)
		sim.maxUnits, sim.demand = 1, 300
		for i := range 30 {
			sim.nodes[i].callDelay = 6 * time.Second
		}
		sim.After(6*time.Second, func() {
			sim.setReachableStore(1, func(i int) bool { return i < 30 })
			for i := range 30 {
				sim.nodes[i].callDelay = 0
			}
		})
	},
	"majority switches stores repeatedly": func(sim *simulation) {
		sim.replace(1)
		for k := range 8 {
			sim.After(time.Duration(k)*2500*time.Millisecond, func() {
				sim.setReachableStore(k%2, func(i int) bool { return i < 30 })
				sim.setReachableStore(1-k%2, func(i int) bool { return i >= 30 })
			})
		}
	},
	"store clock steps back, then majority switches stores": func(sim *simulation) {
		sim.replace(1)
		sim.addresses[0].clock.offset -= 10 * time.Second
		sim.After(100*time.Millisecond, func() { sim.setReachableStore(1, func(i int) bool { return i < 30 }) })
	},
	// The grants for a burst of requests arrive 6 s late, when the bucket is full again and as much is requested again.
	"late replies": func(sim *simulation) {
		sim.demand = 0
		sim.Run(sim.Now() + 4*time.Second)
		sim.demand, sim.addresses[0].replyDelay = 1200, 6*time.Second
		sim.After(500*time.Millisecond, func() { sim.demand, sim.addresses[0].replyDelay = 0, 0 })
		sim.After(5900*time.Millisecond, func() { sim.demand = 1200 })
	},
	"store replaced repeatedly": func(sim *simulation) {
		sim.demand = 300
		for i := range 5 {
			sim.After(time.Duration(i)*6*time.Second, func() { sim.replace(0) })
		}
	},
	"store rolled back": func(sim *simulation) {
		for k := range 6 {
			sim.After(time.Duration(k)*1500*time.Millisecond, func() {
				old := sim.addresses[0].store.clone()
				sim.After(time.Second, func() { sim.addresses[0].store = old })
			})
		}
	},
	// Ten nodes learn of the smaller group size before the others have ended. No store can be reached.
	"smaller group": func(sim *simulation) {
		sim.setReachableStore(-1, allNodes)
		sim.Run(sim.Now() + 3*time.Second)
		sim.maxUnits, sim.demand = 1, 300
		for i, n := range sim.nodes {
			if i < 10 {
				n.holder.Resize(n.now(), 10)
			} else {
				sim.After(rules.ResizeTime-100*time.Millisecond, n.kill)
			}
		}
		sim.weight = func(int) float64 { return 1 }
	},
	"larger group": func(sim *simulation) {
		for i, n := range sim.nodes {
			if i >= 10 {
				n.kill()
			} else {
				n.holder.Resize(n.now(), 10)
			}
		}
		sim.After(rules.ResizeTime+time.Second, func() {
			for i, n := range sim.nodes {
				if i >= 10 {
					n.start()
				} else {
					sim.After(time.Duration(sim.rng.IntN(3000))*time.Millisecond, func() { n.holder.Resize(n.now(), 40) })
				}
			}
		})
	},
}

// runSimulation runs a simulation in which the named faults occur one after another once the group has started. The
// demand exceeds the customer's hard limit.
func runSimulation(seed uint64, limit HardLimit, disabled protections, names ...string) *simulation {
	sim := newSimulation(seed, rules.Instances, rules, limit, disabled)
	sim.demand = 90
	if seed%2 == 1 && faults[names[0]] != nil { // alternate between no demand, in which buckets fill up, and a burst
		var toggle func()
		toggle = func() {
			if sim.demand > 0 {
				sim.demand = 0
				sim.After(time.Duration(1+sim.rng.IntN(5))*time.Second, toggle)
			} else {
				sim.demand = 300
				sim.After(2*time.Second, toggle)
			}
		}
		sim.At(5*time.Second, toggle)
	}
	sim.generateLoad(60 * time.Second)
	sim.Run(8 * time.Second)
	for _, name := range names {
		fault := faults[name]
		if fault == nil {
			fault = protectionFaults[name]
		}
		fault(sim)
		sim.Run(sim.Now() + time.Duration(5+sim.rng.IntN(10))*time.Second)
	}
	sim.Run(70 * time.Second)
	return sim
}

func seedCount(t *testing.T, n int) int {
	if configured, err := strconv.Atoi(os.Getenv("LOCKFLOW_SEEDS")); err == nil {
		t.Logf("%d seeds", configured)
		return configured
	}
	return n
}

// TestNoFaultExceedsHardLimit checks that the units admitted in any window stay within the bound under one, two or three
// consecutive faults.
func TestNoFaultExceedsHardLimit(t *testing.T) {
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	for name := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worstExcess, worstMinuteExcess := math.Inf(-1), math.Inf(-1)
			for seed := range uint64(seedCount(t, 2)) {
				rng := rand.New(rand.NewPCG(seed, 3))
				selected := []string{name}
				for range rng.IntN(3) {
					selected = append(selected, names[rng.IntN(len(names))])
				}
				sim := runSimulation(seed, testLimit, protections{}, selected...)
				if worstExcess, worstMinuteExcess = math.Max(worstExcess, sim.maxExcess), math.Max(worstMinuteExcess, sim.minuteExcess()); sim.maxExcess > 0 {
					t.Errorf("seed %d, faults %q: bound exceeded by %.2f units", seed, selected, sim.maxExcess)
				}
				if sim.admitted == 0 {
					t.Errorf("seed %d, faults %q: no request was admitted", seed, selected)
				}
			}
			t.Logf("maximum excess over the bound: %.1f units; over the hard limit in a minute: %+.1f%%", worstExcess, 100*worstMinuteExcess)
		})
	}
}

// TestProtectionsAreNeeded checks, for each protection and a fault that it guards against, that the bound holds and that it
// is exceeded when the protection is disabled.
func TestProtectionsAreNeeded(t *testing.T) {
	for name, tc := range map[string]struct {
		protections
		HardLimit
		fault string
	}{
		"reserved quota is spent by the holder":          {protections{exclusiveReservation: true}, testLimit, "none"},
		"buckets of a new store start full":              {protections{emptyStart: true}, HardLimit{30, 240}, "store replaced repeatedly"},
		"reservation counts from its arrival":            {protections{reservationFromEcho: true}, HardLimit{30, 10}, "late reservations, then a store switch"},
		"quota is reserved for a new store at once":      {protections{storeChangeDelay: true}, testLimit, "majority switches stores repeatedly"},
		"leases do not expire":                           {protections{leaseExpiry: true}, testLimit, "late replies"},
		"own quota grows at once after a resize":         {protections{resizeDelay: true}, HardLimit{30, 30}, "smaller group"},
		"rollback of a store is not detected":            {protections{rollbackReset: true}, testLimit, "store rolled back"},
		"reservations outlive a clock step of the store": {protections{clockStepReset: true}, testLimit, "store clock steps back, then majority switches stores"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			excessWithout := 0.0
			for seed := range uint64(seedCount(t, 3)) {
				if sim := runSimulation(seed, tc.HardLimit, protections{}, tc.fault); sim.maxExcess > 0 {
					t.Errorf("seed %d: bound exceeded by %.1f units with all protections enabled", seed, sim.maxExcess)
				}
				excessWithout = math.Max(excessWithout, runSimulation(seed, tc.HardLimit, tc.protections, tc.fault).maxExcess)
			}
			if t.Logf("protection disabled: bound exceeded by %.1f units", excessWithout); excessWithout <= 0 {
				t.Error("the bound holds although the protection is disabled")
			}
		})
	}
	t.Run("larger group", func(t *testing.T) {
		t.Parallel()
		for seed := range uint64(seedCount(t, 3)) {
			if sim := runSimulation(seed, testLimit, protections{}, "larger group"); sim.maxExcess > 0 {
				t.Errorf("seed %d: bound exceeded by %.1f units", seed, sim.maxExcess)
			}
		}
	})
}

// TestUtilization checks that with a healthy store a customer can use nearly all of its hard limit, whatever the fan-out.
func TestUtilization(t *testing.T) {
	for _, fanOut := range []int{1, 2, 4, 40} {
		for _, requestRate := range []float64{33, 90} {
			sim := newSimulation(5, rules.Instances, rules, testLimit, protections{})
			sim.weight, sim.demand = onlyFirst(fanOut), requestRate
			sim.Run(8 * time.Second)
			sim.generateLoad(68 * time.Second)
			sim.Run(70 * time.Second)
			utilization := sim.admitted / (testLimit.Rate * 60)
			t.Logf("fan-out %2d, %g units per second requested: utilization %.3f, excess in a minute %+.3f", fanOut, requestRate, utilization, sim.minuteExcess())
			if utilization < 0.95 {
				t.Errorf("fan-out %d: utilization %.3f of the hard limit, want at least 0.95", fanOut, utilization)
			}
		}
	}
}

// TestUtilizationWithoutStore checks that without a store each instance uses its own part of the hard limit, no more and
// no less, so that the utilization is the fan-out divided by the number of instances.
func TestUtilizationWithoutStore(t *testing.T) {
	for _, fanOut := range []int{1, 2, 4, 40} {
		sim := newSimulation(5, rules.Instances, rules, testLimit, protections{})
		sim.setReachableStore(-1, allNodes)
		sim.maxUnits = 1
		sim.weight, sim.demand = onlyFirst(fanOut), 90
		sim.Run(8 * time.Second)
		sim.generateLoad(68 * time.Second)
		sim.Run(70 * time.Second)
		want := float64(fanOut) / float64(rules.Instances)
		utilization := sim.admitted / (testLimit.Rate * 60)
		t.Logf("fan-out %2d: utilization %.4f, own parts allow %.4f", fanOut, utilization, want)
		if utilization < 0.8*want || utilization > 1.2*want {
			t.Errorf("fan-out %d: utilization %.4f of the hard limit, want about %.4f", fanOut, utilization, want)
		}
	}
}

func onlyFirst(n int) func(int) float64 {
	return func(i int) float64 {
		if i < n {
			return 1
		}
		return 0
	}
}

// TestStoreRestoredFromSnapshot checks that a store that returns to an older state under the same identity lends again at
// most the tokens that its buckets held, each time, until the first call of an instance that has received a later token.
func TestStoreRestoredFromSnapshot(t *testing.T) {
	for seed := range uint64(seedCount(t, 3)) {
		if sim := runSimulation(seed, testLimit, protections{}, "store rolled back"); sim.maxExcess > 6*testLimit.Burst {
			t.Errorf("seed %d: bound exceeded by %.1f units in six rollbacks", seed, sim.maxExcess)
		}
	}
}

func TestValidateRules(t *testing.T) {
	for want, r := range map[string]Rules{
		"":                 rules,
		"over 0 instances": {Term: time.Second, ReservationTime: time.Second, ResizeTime: time.Second},
		"drift 0.2":        {Instances: 1, Term: time.Second, ReservationTime: time.Second, ResizeTime: time.Second, MaxDrift: 0.2},
		"drift NaN":        {Instances: 1, Term: time.Second, ReservationTime: time.Second, ResizeTime: time.Second, MaxDrift: math.NaN()},
		"pledge 1s":        {Instances: 1, Term: 2 * time.Second, ReservationTime: time.Second, ResizeTime: time.Second},
		"term 1ms":         {Instances: 1, Term: time.Millisecond, ReservationTime: time.Second, ResizeTime: time.Second},
	} {
		if err := r.Validate(); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
	if excess := rules.MaxExcess(testLimit, time.Minute); excess < 0.015 || excess > 0.05 {
		t.Errorf("hard limit exceeded by %.3f in a minute, want 0.015 to 0.05", excess)
	}
}

// TestIdleAccountsAreRemoved checks that idle accounts are removed, and that an account created after an eviction starts
// empty, so that removal never gives a customer more tokens.
func TestIdleAccountsAreRemoved(t *testing.T) {
	h := NewHolder(0, rules, "i")
	now := rules.ResizeTime
	for i := range 3 {
		now += time.Second
		h.RequestUnits(now, uint64(i), "a", testLimit, 0.25)
	}
	h.RequestUnits(now, 9, "b", testLimit, 0.25)
	if len(h.accounts) != 2 {
		t.Fatalf("got %d accounts, want 2", len(h.accounts))
	}
	for range 300 {
		now += time.Second
		h.Tick(now)
	}
	if len(h.accounts) != 0 || len(h.active) != 0 {
		t.Errorf("got %d accounts, %d of them active, want none", len(h.accounts), len(h.active))
	}
	for i := range 2 * maxAccounts {
		h.RequestUnits(now, uint64(i), strconv.Itoa(i), testLimit, 1)
	}
	if n := len(h.accounts); n > maxAccounts {
		t.Errorf("got %d accounts, more than maxAccounts", n)
	}
	if a := h.account(now, "new", testLimit); a.ownTokens != 0 {
		t.Errorf("an account that may have been evicted before has %g own tokens, want 0", a.ownTokens)
	}
}

// TestStoreAcceptsEachLeaseReturnOnce checks that a grant can be returned only once, only before it expires and only by its
// holder.
func TestStoreAcceptsEachLeaseReturnOnce(t *testing.T) {
	store := NewStore(rules, "c")
	call := func(now time.Duration, holderID string, storeCall StoreCall) StoreReply {
		storeCall.HolderID, storeCall.StoreID, storeCall.EchoedTime, storeCall.ReservedFraction = holderID, "c", now, 0.5
		return store.Handle(now, storeCall)
	}
	call(0, "i", StoreCall{})
	call(0, "k", StoreCall{})
	now := time.Second
	requests := []LeaseRequest{{Key: "a", Limit: testLimit, Units: 20, MinUnits: 1}}
	grants := call(now, "i", StoreCall{Requests: requests}).Grants
	if len(grants) != 1 || grants[0].Units != 20 {
		t.Fatalf("got grants %+v, want one of 20 units", grants)
	}
	bucketTokens := func() float64 { return store.buckets["a"].tokens }
	tokensBefore := bucketTokens()
	for _, tc := range []struct {
		holderID     string
		returned     LeaseReturn
		bucketTokens float64
	}{
		{"k", LeaseReturn{"a", grants[0].Token, 20}, tokensBefore}, // a grant to another holder
		{"i", LeaseReturn{"b", grants[0].Token, 20}, tokensBefore},
		{"i", LeaseReturn{"a", grants[0].Token, -20}, tokensBefore},
		{"i", LeaseReturn{"a", grants[0].Token, math.NaN()}, tokensBefore},
		{"i", LeaseReturn{"a", grants[0].Token, 50}, tokensBefore + 20}, // refunds no more than was lent
		{"i", LeaseReturn{"a", grants[0].Token, 20}, tokensBefore + 20}, // is refunded only once
	} {
		if call(now, tc.holderID, StoreCall{Returns: []LeaseReturn{tc.returned}}); math.Abs(bucketTokens()-tc.bucketTokens) > unitTolerance {
			t.Errorf("%+v: the bucket has %g tokens, want %g", tc, bucketTokens(), tc.bucketTokens)
		}
	}
	grants = call(now, "i", StoreCall{Requests: requests}).Grants
	now += rules.Term
	tokensBefore = bucketTokens()
	if call(now, "i", StoreCall{Returns: []LeaseReturn{{"a", grants[0].Token, 20}}}); bucketTokens() != tokensBefore {
		t.Error("an expired grant was refunded")
	}
	if reply := call(now, "i", StoreCall{Requests: []LeaseRequest{{Key: "a", Limit: testLimit, Units: 1000, MinUnits: 900}}}); len(reply.Grants) != 0 {
		t.Errorf("got grants %+v with fewer units than the request's minimum", reply.Grants)
	}
}

func BenchmarkRequestUnits(b *testing.B) {
	h := NewHolder(0, rules, "i")
	keys := make([]string, 1000)
	for i := range keys {
		keys[i] = strconv.Itoa(i)
	}
	now := rules.ResizeTime
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10 * time.Microsecond
		h.RequestUnits(now, uint64(i), keys[i%len(keys)], HardLimit{1e6, 1e6}, 1)
	}
}

// TestCallEntriesAreLimited checks that a call requests units for at most maxCallEntries customers, and that the next calls
// request units for the others.
func TestCallEntriesAreLimited(t *testing.T) {
	h := NewHolder(0, rules, "i")
	now := rules.ResizeTime
	handleReply := func(call *StoreCall, isLending bool) []Action {
		reply := StoreReply{StoreID: "c", Seq: call.Seq, StoreTime: now, IsLending: isLending}
		for i, request := range call.Requests {
			reply.Grants = append(reply.Grants, Grant{request.Key, call.Seq*1000 + uint64(i) + 1, request.Units})
		}
		return h.HandleReply(now, reply)
	}
	findCall := func(actions []Action) *StoreCall {
		for _, a := range actions {
			if a.Kind == Call {
				return a.StoreCall
			}
		}
		return nil
	}
	handleReply(findCall(h.Tick(now)), true)
	now += rules.ReservationTime / 5
	firstCall := findCall(h.Tick(now))
	for i := range 600 {
		h.RequestUnits(now, uint64(i), strconv.Itoa(i), testLimit, 1)
	}
	admitted, calls := 0, 0
	for call := firstCall; call != nil && calls < 10; calls++ {
		if len(call.Requests) > maxCallEntries {
			t.Errorf("call has %d requests, more than maxCallEntries", len(call.Requests))
		}
		now += TickInterval
		actions := handleReply(call, true)
		for _, a := range actions {
			if a.Kind == Admit {
				admitted++
			}
		}
		if call = findCall(actions); call == nil {
			call = findCall(h.Tick(now))
		}
	}
	if admitted != 600 || calls < 4 {
		t.Errorf("%d of 600 requests admitted in %d calls, want all in at least 4", admitted, calls)
	}
}

// TestRefundExpiresWithFirstLease checks that refunded units expire with the earliest lease that they were taken from,
// whatever the order in which the leases arrived.
func TestRefundExpiresWithFirstLease(t *testing.T) {
	a := &account{leases: []lease{{1, 2, 5 * time.Second}, {2, 2, 4 * time.Second}}}
	until, ok := a.spend(3)
	if !ok || until != 4*time.Second {
		t.Errorf("got refundable until %v, ok %v, want 4s, true", until, ok)
	}
	h := NewHolder(0, rules, "i")
	h.accounts["a"] = a
	for now, want := range map[time.Duration]int{4*time.Second - 1: 2, 4 * time.Second: 1} {
		b := *a
		b.leases = slices.Clone(a.leases)
		h.accounts["a"] = &b
		if h.Refund(now, "a", 3, until); len(b.leases) != want {
			t.Errorf("at %v: got leases %+v", now, b.leases)
		}
	}
}

// BenchmarkFleet measures forty instances that share one store, for several numbers of customers. Together they receive
// 2,000 requests a second in virtual time.
func BenchmarkFleet(b *testing.B) {
	for _, customers := range []int{1_000, 100_000} {
		b.Run(strconv.Itoa(customers), func(b *testing.B) {
			for b.Loop() {
				rng := rand.New(rand.NewPCG(1, 2))
				store := NewStore(rules, "c")
				holders := make([]*Holder, 40)
				for i := range holders {
					holders[i] = NewHolder(0, rules, strconv.Itoa(i))
				}
				keys := make([]string, customers)
				for i := range keys {
					keys[i] = strconv.Itoa(i)
				}
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				calls, admitted, rejected := 0, 0, 0
				var execute func(h *Holder, now time.Duration, actions []Action)
				execute = func(h *Holder, now time.Duration, actions []Action) {
					for _, a := range slices.Clone(actions) {
						switch a.Kind {
						case Admit:
							admitted++
						case Reject:
							rejected++
						case Call:
							calls++
							execute(h, now, h.HandleReply(now, store.Handle(now, *a.StoreCall)))
						}
					}
				}
				const seconds = 30
				for now := rules.ResizeTime; now < rules.ResizeTime+seconds*time.Second; now += TickInterval {
					for _, h := range holders {
						execute(h, now, h.Tick(now))
					}
					for i := range 20 {
						h := holders[rng.IntN(len(holders))]
						execute(h, now, h.RequestUnits(now, uint64(i), keys[rng.IntN(customers)], testLimit, 1))
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				accountCount := 0
				for _, h := range holders {
					accountCount += len(h.accounts)
				}
				b.ReportMetric(float64(calls)/seconds/40, "calls/s/instance")
				b.ReportMetric(float64(admitted)/float64(admitted+rejected), "admitted")
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(accountCount), "B/customer/instance")
				runtime.KeepAlive(store)
			}
		})
	}
}
