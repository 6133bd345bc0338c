package control

import (
	"fmt"
	"testing"
	"time"
)

// A customer that was never seen, or that was forgotten, has no more to spend at once than the
// ceiling's store can hold, however long the gateway has run.
func TestUnseenCustomerHasNoMoreThanTheCeilingHolds(t *testing.T) {
	settings := ceilingSettings()
	plan := settings.Plans[0]
	for name, seen := range map[string]bool{"never seen": false, "forgotten": true} {
		t.Run(name, func(t *testing.T) {
			var list []uint32
			for id := range uint32(200) {
				list = append(list, id+1)
			}
			gateway := newGate(t, settings, on(list...)...)
			if seen {
				gateway.ask("before", "job", plan.Name, "x")
				gateway.reply("before", OK, 0)
			}
			for range 10 {
				gateway.pass(maxAccountIdleTime)
				gateway.ask(fmt.Sprint("on", gateway.now), "job", plan.Name, "comes on")
				gateway.reply(fmt.Sprint("on", gateway.now), OK, 0)
			}
			if gateway.c.accounts[plan.Name+" x"] != nil {
				t.Fatal("not forgotten")
			}
			before, begun := len(gateway.sends), gateway.now
			for i := range 400 {
				id := fmt.Sprint(i)
				if gateway.ask(id, "job", plan.Name, "x"); gateway.n[id] > 0 {
					gateway.reply(id, OK, 0)
				}
				gateway.pass(ms)
			}
			part := plan.HardLimitBurst/2 + (gateway.now-begun).Seconds()*plan.HardLimitRate/2 // g.ask spreads over two
			if n := float64(len(gateway.sends) - before); n > part+1 {
				t.Errorf("%g units at once, of a part of %g", n, part)
			}
		})
	}
}

// A customer that is forgotten before its store is full again, as there are too many, has no more over
// time than the ceiling gives, however often that happens, and whoever takes the gateway's place.
func TestForgettingOpensNoCeiling(t *testing.T) {
	settings := ceilingSettings()
	plan := settings.Plans[0]
	var list []uint32
	for id := range uint32(200) {
		list = append(list, id+1)
	}
	for name, handsOver := range map[string]bool{"stays": false, "hands over": true} {
		t.Run(name, func(t *testing.T) {
			gateway := newGate(t, settings, on(list...)...)
			many := func() {
				for i := range maxAccounts/2 + 1 {
					gateway.c.accountFor(gateway.c.plansByName[plan.Name], fmt.Sprint("busy", i), 2).inFlight.current = 1
				}
			}
			many()
			forgotten, sent, begun := 0, 0, gateway.now
			for round := range 60 {
				for i := range 400 {
					id := fmt.Sprint(round, " ", i)
					gateway.do(Request{ID: id, Class: "job", Plan: plan.Name, Customer: "x", Timeout: 5 * time.Second, Units: 0.125, FanOut: 2})
					if gateway.n[id] > 0 {
						sent++
						gateway.reply(id, OK, 0)
					}
				}
				gateway.now += windowDuration
				if gateway.c.Handle(gateway.now, TimerFired{}); gateway.c.accounts[plan.Name+" x"] != nil {
					gateway.c.evictIdleAccounts()
				}
				if gateway.c.accounts[plan.Name+" x"] == nil {
					forgotten++
				}
				if handsOver && round%10 == 0 {
					given := gateway.c.HandOver(gateway.now, 1)
					next := newGate(t, settings, on(list...)...)
					next.now = gateway.now
					next.c.Restore(gateway.now, given, TrustAll)
					gateway = next
					many()
				}
			}
			most := (initialSlackFraction*plan.HardLimitSlack + (gateway.now-begun).Seconds()*plan.HardLimitRate) / 2
			if n := float64(sent) / 8; forgotten < 10 || n > most+1 {
				t.Errorf("%g units of %g, forgotten %d times", n, most, forgotten)
			}
		})
	}
}

// The slack is granted once: not again by each gateway that takes another's place, where that one had
// none to grant.
func TestSlackIsNotHandedOverTwice(t *testing.T) {
	settings := ceilingSettings()
	after := func(checkpoint Checkpoint, trust Trust) *Controller {
		gateway := newGate(t, settings, on(1, 2)...)
		gateway.c.Restore(gateway.now, checkpoint, trust)
		return gateway.c
	}
	crashed := after(newGate(t, settings, on(1, 2)...).c.Checkpoint(time.Hour), TrustEstimates)
	next := after(crashed.HandOver(time.Hour, 1), TrustAll)
	if left := next.accountFor(next.plansByName["low"], "x", 1).hardLimit.tokens; left > 0 {
		t.Errorf("%g units for a customer of whom nothing is known since a crash", left)
	}
}

// A customer is forgotten whatever the units of its requests were that waited and were not sent.
func TestPartsOfUnitsAreForgotten(t *testing.T) {
	gateway := newGate(t, settings())
	for i, units := range []float64{0.1, 0.2, 0.3} {
		gateway.do(Request{ID: fmt.Sprint(i), Class: "job", Plan: "low", Customer: "x", Timeout: 5 * time.Second, Units: units, FanOut: 2})
	}
	if gateway.pass(2 * maxAccountIdleTime); len(gateway.c.accounts) > 0 || len(gateway.ends) != 3 {
		t.Errorf("%d customers remembered, %d requests answered", len(gateway.c.accounts), len(gateway.ends))
	}
}
