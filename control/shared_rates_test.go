package control

import "testing"

// Guards against rejections during an upgrade: of two controllers that share the rates, each compares its tokens with its
// part of a bucket. A sheddable request is admitted while its part is nearly full, and rejected once it is nearly empty.
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
				t.Errorf("%g given away, %s: rejected %v", handedOver, tc.id, isRejected)
			}
		}
	}
}

// The same of the filling from which a well metered customer's bucket alone admits.
func TestSufficientTokensScaleWithHandedOverRates(t *testing.T) {
	plan := &planQueue{Plan: Plan{Name: "low", QuotaRate: 10, QuotaBurst: 100}}
	for _, tc := range []struct {
		handedOver, tokens float64
		want               bool
	}{{0, 9, true}, {0, 7, false}, {0.5, 5, true}, {0.5, 3, false}} {
		account := &customerAccount{plan: plan, fanOut: 1, quota: tokenBucket{tokens: tc.tokens}}
		if got := account.hasSufficientTokens(1, tc.handedOver); got != tc.want {
			t.Errorf("%g tokens, %g handed over: %v", tc.tokens, tc.handedOver, got)
		}
	}
}
