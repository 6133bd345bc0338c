package control

import "testing"

// While two controllers share the rates during an upgrade, each must compare its tokens with its own part of a bucket.
// Otherwise it would reject sheddable requests although its part is nearly full.
func TestSheddableReserveScalesWithHandedOverRates(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].PriorityWeight = 10
	settings.Classes = append(settings.Classes, settings.Classes[0])
	settings.Classes[1].Name = "cheap"
	settings.Classes[1].PriorityWeight = 1
	for _, handedOver := range []float64{0, 0.25, 0.5, 0.75} {
		gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3, 4)...)
		gateway.controller.HandOver(gateway.now, handedOver)
		account := gateway.controller.accountFor(gateway.controller.scheduler.plansByName["low"], "x", 1)
		full := (1 - handedOver) * settings.Plans[0].QuotaBurst
		for _, tc := range []struct {
			id       string
			filling  float64
			rejected bool
		}{{"nearly full", 0.9, false}, {"nearly empty", 0.2, true}} {
			account.quota.tokens = tc.filling * full
			gateway.request(tc.id, "cheap", "low", "x")
			if _, isRejected := gateway.finalAnswers[tc.id].(Reject); isRejected != tc.rejected {
				t.Errorf("%g handed over, bucket %s: rejected is %v", handedOver, tc.id, isRejected)
			}
		}
	}
}

// The number of tokens from which the bucket alone admits a well metered customer is also relative to the controller's
// own part of the bucket.
func TestSufficientTokensScaleWithHandedOverRates(t *testing.T) {
	plan := &planQueue{Plan: Plan{Name: "low", QuotaRate: 10, QuotaBurst: 100}}
	for _, tc := range []struct {
		handedOver, tokens float64
		want               bool
	}{{0, 9, true}, {0, 7, false}, {0.5, 5, true}, {0.5, 3, false}} {
		account := &customerAccount{plan: plan, fanOut: 1, quota: tokenBucket{tokens: tc.tokens}}
		if got := account.hasSufficientTokens(1, tc.handedOver); got != tc.want {
			t.Errorf("%g tokens, %g handed over: hasSufficientTokens is %v", tc.tokens, tc.handedOver, got)
		}
	}
}
