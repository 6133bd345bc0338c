package control

import (
	"fmt"
	"testing"
	"time"
)

func TestRestartedGatewayStartsWithEmptyHardLimit(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].HardLimitRate, settings.Plans[0].HardLimitBurst, settings.Plans[0].HardLimitSlack = 10, 40, 4
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)...)
	for i := 0; i < 50; i++ {
		gateway.request(fmt.Sprint("s", i), "job", "low", "x")
	}
	if len(gateway.sends) > 2 { // half of the slack, at one of two gateways
		t.Errorf("restarted gateway sent %d units at once, want at most 2", len(gateway.sends))
	}
	sent, start := 0, gateway.now
	for gateway.now < start+20*time.Second {
		id := fmt.Sprint(gateway.now)
		gateway.request(id, "job", "low", "x")
		if gateway.attempts[id] > 0 {
			sent++
			gateway.respond(id, OK, 0)
		}
		gateway.advance(10 * ms)
	}
	if maxUnits := 20*5 + 2 + 1; sent > maxUnits {
		t.Errorf("sent %d units in 20 s, want at most %d", sent, maxUnits)
	}
	if sent < 80 {
		t.Errorf("sent %d units in 20 s, want at least 80", sent)
	}
}

// A new or evicted customer must not send more units at once than the bucket of the hard limit holds, regardless of how
// long the gateway has been running.
func TestNewAccountHoldsNoMoreThanTheHardLimit(t *testing.T) {
	settings := hardLimitSettings()
	plan := settings.Plans[0]
	for name, wasEvicted := range map[string]bool{"never seen": false, "evicted": true} {
		t.Run(name, func(t *testing.T) {
			var servers []uint32
			for id := range uint32(200) {
				servers = append(servers, id+1)
			}
			gateway := newTestGateway(t, settings, activeEndpoints(servers...)...)
			if wasEvicted {
				gateway.request("before", "job", plan.Name, "x")
				gateway.respond("before", OK, 0)
			}
			for range 10 {
				gateway.advance(maxAccountIdleTime)
				gateway.request(fmt.Sprint("on", gateway.now), "job", plan.Name, "comes on")
				gateway.respond(fmt.Sprint("on", gateway.now), OK, 0)
			}
			if gateway.controller.accounts.byKey[accountKey(plan.Name, "x")] != nil {
				t.Fatal("the account was not evicted")
			}
			before, start := len(gateway.sends), gateway.now
			for i := range 400 {
				id := fmt.Sprint(i)
				if gateway.request(id, "job", plan.Name, "x"); gateway.attempts[id] > 0 {
					gateway.respond(id, OK, 0)
				}
				gateway.advance(ms)
			}
			maxUnits := plan.HardLimitBurst/2 + (gateway.now-start).Seconds()*plan.HardLimitRate/2 // the customer's fan-out is two
			if n := float64(len(gateway.sends) - before); n > maxUnits+1 {
				t.Errorf("sent %g units at once, want at most %g", n, maxUnits)
			}
		})
	}
}

// If there are too many accounts, a customer's account is evicted before its bucket is full. Such evictions must not
// let the customer exceed its hard limit over time, even if they are repeated or the gateway hands over to another.
func TestEvictionDoesNotExceedHardLimits(t *testing.T) {
	settings := hardLimitSettings()
	plan := settings.Plans[0]
	var servers []uint32
	for id := range uint32(200) {
		servers = append(servers, id+1)
	}
	for name, handsOver := range map[string]bool{"stays": false, "hands over": true} {
		t.Run(name, func(t *testing.T) {
			gateway := newTestGateway(t, settings, activeEndpoints(servers...)...)
			addBusyAccounts := func() {
				for i := range maxAccounts/2 + 1 {
					gateway.controller.accountFor(gateway.controller.scheduler.plansByName[plan.Name], fmt.Sprint("busy", i), 2).inFlight.current = 1
				}
			}
			addBusyAccounts()
			evictions, sent, start := 0, 0, gateway.now
			for round := range 60 {
				for i := range 400 {
					id := fmt.Sprint(round, " ", i)
					gateway.handle(Request{ID: id, Class: "job", Plan: plan.Name, Customer: "x", Timeout: 5 * time.Second, Units: 0.125, FanOut: 2})
					if gateway.attempts[id] > 0 {
						sent++
						gateway.respond(id, OK, 0)
					}
				}
				gateway.now += windowDuration
				if gateway.controller.Handle(gateway.now, TimerFired{}); gateway.controller.accounts.byKey[accountKey(plan.Name, "x")] != nil {
					gateway.controller.accounts.evictIdle(gateway.controller.now)
				}
				if gateway.controller.accounts.byKey[accountKey(plan.Name, "x")] == nil {
					evictions++
				}
				if handsOver && round%10 == 0 {
					checkpoint := gateway.controller.HandOver(gateway.now, 1)
					next := newTestGateway(t, settings, activeEndpoints(servers...)...)
					next.now = gateway.now
					next.controller.Restore(gateway.now, checkpoint, TrustAll)
					gateway = next
					addBusyAccounts()
				}
			}
			maxUnits := (initialSlackFraction*plan.HardLimitSlack + (gateway.now-start).Seconds()*plan.HardLimitRate) / 2
			if n := float64(sent) / 8; evictions < 10 || n > maxUnits+1 {
				t.Errorf("sent %g units, want at most %g; account evicted %d times, want at least 10", n, maxUnits, evictions)
			}
		})
	}
}

// The slack is granted once. A gateway must not grant it again if the predecessor that handed over to it had started
// without slack.
func TestSlackIsGrantedOnceOverHandOvers(t *testing.T) {
	settings := hardLimitSettings()
	after := func(checkpoint Checkpoint, trust Trust) *Controller {
		gateway := newTestGateway(t, settings, activeEndpoints(1, 2)...)
		gateway.controller.Restore(gateway.now, checkpoint, trust)
		return gateway.controller
	}
	crashed := after(newTestGateway(t, settings, activeEndpoints(1, 2)...).controller.Checkpoint(time.Hour), TrustEstimates)
	next := after(crashed.HandOver(time.Hour, 1), TrustAll)
	if left := next.accountFor(next.scheduler.plansByName["low"], "x", 1).hardLimit.tokens; left > 0 {
		t.Errorf("unknown customer has %g units after a crash and a hand-over, want 0", left)
	}
}
