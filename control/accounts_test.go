package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestUnmeteredCustomerMaySendItsShareOfTheBurst(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 1, 20
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)...)
	for i := 0; i < 60; i++ {
		gateway.request(fmt.Sprint(i), "job", "low", "x")
	}
	if n := len(gateway.sends); n < 8 || n > 20 {
		t.Errorf("sent %d requests of a burst of 20 over two gateways, want 8 to 20", n)
	}
}

func TestActualUnitsAreCharged(t *testing.T) {
	settings := testSettings()
	settings.UnitsInResponse = true
	gateway := newTestGateway(t, settings, activeEndpoints(1)...)
	gateway.request("a", "job", "low", "x")
	account := gateway.controller.accountFor(gateway.controller.scheduler.plans[0], "x", 2)
	before := account.quota.tokens
	gateway.handle(AttemptResult{ID: "a", Server: 1, Reason: OK, IsFinal: true, ActualUnits: 4})
	if got := before - account.quota.tokens; math.Abs(got-3) > 1e-9 {
		t.Errorf("charged %g more units for 4 actual units instead of 1, want 3", got)
	}
}

// Guards against memory that grows with ever new customers between two control windows, which are long while there are few
// answers: beyond the settings' number of accounts new customers are rejected, those with an account are not, and there is a
// place again once others have been idle.
func TestAccountsAreLimited(t *testing.T) {
	settings := testSettings()
	settings.MaxAccounts = 50
	gateway := newTestGateway(t, settings, activeEndpoints(1)...)
	plan := gateway.controller.scheduler.plansByName["low"]
	for i := range 200 {
		gateway.controller.accountFor(plan, fmt.Sprint("customer-", i), 1)
	}
	if n := len(gateway.controller.accounts.byKey); n != settings.MaxAccounts {
		t.Errorf("%d accounts, want %d", n, settings.MaxAccounts)
	}
	gateway.request("new", "job", "low", "new")
	gateway.request("known", "job", "low", "customer-0")
	if len(gateway.sends) != 1 || gateway.sends[0].ID != "known" {
		t.Errorf("sent %+v, want only the request of the customer with an account", gateway.sends)
	}
	gateway.controller.now += 10 * time.Second
	if gateway.controller.accountFor(plan, "later", 1) == nil {
		t.Error("a new customer got no account although all others are idle")
	}
}

// Memory must not grow with customers that send only one request. An account whose buckets are not full is not
// evicted, since a new one would grant its quota or hard limit again.
func TestIdleAccountsAreEvicted(t *testing.T) {
	settings := testSettings()
	settings.Plans = append(settings.Plans, Plan{Name: "slow", Price: 1, QuotaRate: 0.01, QuotaBurst: 10},
		Plan{Name: "capped", Price: 1, QuotaRate: 1000, QuotaBurst: 1000, HardLimitRate: 0.01, HardLimitBurst: 10, HardLimitSlack: 9})
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2)...)
	for i := 0; i < 100; i++ {
		for _, plan := range []string{"low", "slow", "capped"} {
			id := fmt.Sprint(plan, i)
			gateway.request(id, "job", plan, id)
			gateway.now += ms
			gateway.respond(id, OK, 0)
		}
	}
	gateway.request("stays", "job", "low", "stays")
	for range 80 {
		gateway.advance(time.Second)
		id := fmt.Sprint("on", gateway.now)
		gateway.request(id, "job", "low", "comes on")
		gateway.respond(id, OK, 0)
	}
	remaining := make(map[string]int)
	for _, account := range gateway.controller.accounts.byKey {
		remaining[account.plan.Name]++
	}
	if remaining["low"] > 2 || remaining["slow"] != 100 || remaining["capped"] != 100 {
		t.Errorf("accounts remaining by plan: %v, want at most 2 of low, 100 of slow and 100 of capped", remaining)
	}
}

// Queued and rejected requests with fractional units must not leave a rounding error that keeps the account from being
// evicted.
func TestAccountsWithFractionalUnitsAreEvicted(t *testing.T) {
	gateway := newTestGateway(t, testSettings())
	for i, units := range []float64{0.1, 0.2, 0.3} {
		gateway.handle(Request{ID: fmt.Sprint(i), Class: "job", Plan: "low", Customer: "x", Timeout: 5 * time.Second, Units: units, FanOut: 2})
	}
	if gateway.advance(2 * maxAccountIdleTime); len(gateway.controller.accounts.byKey) > 0 || len(gateway.finalAnswers) != 3 {
		t.Errorf("%d accounts remain, want 0; %d requests answered, want 3", len(gateway.controller.accounts.byKey), len(gateway.finalAnswers))
	}
}

func TestRefundRevertsACharge(t *testing.T) {
	plan := &planQueue{Plan: Plan{Name: "low", QuotaRate: 10, QuotaBurst: 20, HardLimitRate: 10, HardLimitBurst: 20}}
	table := newAccountTable(&Settings{MeterPeriod: time.Second})
	account := table.accountFor(time.Hour, rand.New(rand.NewPCG(1, 2)), plan, "x", 2)
	quota, hardLimit := account.quota.tokens, account.hardLimit.tokens
	bin := table.binAt(time.Hour)
	charged := account.chargeFirstAttempt(3, bin)
	if account.quota.tokens >= quota || account.hardLimit.tokens != hardLimit-3 {
		t.Errorf("%g quota and %g hard-limit tokens after a charge of 3, %g and %g before", account.quota.tokens, account.hardLimit.tokens, quota, hardLimit)
	}
	if got := account.history.sent.periodSum(bin + 1); got != 3 {
		t.Errorf("got %g units in the history after a charge of 3", got)
	}
	account.refund(charged)
	if account.quota.tokens != quota || account.hardLimit.tokens != hardLimit || account.history.sent.periodSum(bin+1) != 0 {
		t.Errorf("%g quota and %g hard-limit tokens after the refund, %g and %g before the charge", account.quota.tokens, account.hardLimit.tokens, quota, hardLimit)
	}
}

func TestRefillKeepsTokensAboveCapacity(t *testing.T) {
	for _, tc := range []struct{ tokens, want float64 }{{-3, 1}, {8, 10}, {15, 15}} {
		bucket := tokenBucket{tokens: tc.tokens}
		bucket.refill(4, 10)
		if bucket.tokens != tc.want {
			t.Errorf("refilling %g tokens by 4 gives %g, want %g", tc.tokens, bucket.tokens, tc.want)
		}
	}
}
