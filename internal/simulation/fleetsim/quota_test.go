package fleetsim

import (
	"math"
	"reflect"
	"testing"
	"time"

	"lockflow/control"
)

func runQuotasOrFail(t *testing.T, o QuotaOptions) QuotaReport {
	t.Helper()
	r, err := RunQuotas(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A scripted sequence of requests gives the price, the rejections with unused quota and the readings that follow from the plan.
func TestQuotaAccounting(t *testing.T) {
	const s = time.Second
	w := &world{rules: control.Settings{Classes: []control.Class{{LatencyObjective: 3 * s, LateWeightFraction: 0.5}}}}
	cust := &dayCustomer{name: "c", fanOut: 1, demand: &demand{kind: calmKind}}
	q := &quotaDay{
		world: w, policy: ByModule, deployment: &quotaDeployment{units: estimated, meterPeriod: s}, meterDelay: s / 2, knowledgeByNode: map[nodeCustomer]*customerKnowledge{}, offeredWeight: 100,
		plans: []control.Plan{{Name: "p", QuotaRate: 2, QuotaBurst: 4, MaxInFlight: 2, OverQuotaCost: 0.5}},
	}
	q.accounts = map[*dayCustomer]*quotaAccount{cust: newQuotaAccount(&q.plans[0], s)}
	q.estimatedAccounts = map[*dayCustomer]*quotaAccount{cust: newQuotaAccount(&q.plans[0], 0)}
	arrives := func(at time.Duration, units, trueUnits, callWeight float64) *clientRequest {
		request := &clientRequest{call: &call{arrivedAt: at, customer: cust, units: units, actualUnits: trueUnits, weight: callWeight, requests: 1}}
		w.At(at, func() {
			q.admitRequest(0, request)
			q.recordForwarded(0, request)
		})
		return request
	}
	ends := func(at time.Duration, request *clientRequest) {
		w.At(at, func() {
			q.endAttempt(cust)
			q.recordServed(request)
			request.call.isServed = true
		})
	}
	for _, tc := range []struct {
		at                           time.Duration
		units, trueUnits, callWeight float64
		ends                         time.Duration
		wantUnderQuota               bool
	}{
		{at: 0, units: 3, trueUnits: 3, callWeight: 20, ends: 3 * s / 2, wantUnderQuota: true},       // of 4 tokens, 1 remains
		{at: s / 2, units: 3, trueUnits: 3, callWeight: 40, ends: 3 * s / 4, wantUnderQuota: false},  // 2 tokens do not suffice, so none is taken
		{at: s, units: 3, trueUnits: 4, callWeight: 10, ends: 5 * s / 4, wantUnderQuota: true},       // 3 tokens suffice, but the actual units are 4
		{at: 7 * s / 4, units: 1, trueUnits: 1, callWeight: 30, ends: 9 * s, wantUnderQuota: false},  // there is 0.5 of a token, not 1.5, since the actual units were settled
		{at: 5 * s, units: 1, trueUnits: 1, callWeight: 10, ends: 9 * s, wantUnderQuota: true},       // the bucket is full; this is the second attempt in flight
		{at: 51 * s / 10, units: 1, trueUnits: 1, callWeight: 6, ends: 9 * s, wantUnderQuota: false}, // a third attempt exceeds the in-flight quota of 2
	} {
		request := arrives(tc.at, tc.units, tc.trueUnits, tc.callWeight)
		ends(tc.ends, request)
		w.At(tc.at+1, func() {
			if request.isUnderQuota != tc.wantUnderQuota {
				t.Errorf("request at %v: isUnderQuota is %v", tc.at, request.isUnderQuota)
			}
		})
	}
	refused := &clientRequest{call: &call{customer: cust}, rejectionCause: control.CauseProbability}
	for _, at := range []time.Duration{6 * s, 11 * s, 12 * s} { // attempts in flight: two, none, none
		w.At(at, func() { q.recordRejection(0, refused) })
	}
	for at, want := range map[time.Duration]int{s: 0, 3 * s / 2: 1 + 300, 5 * s / 2: 1 + 200, 7 * s: 1 + 100, 8 * s: 1} {
		w.At(at, func() {
			if got := q.reportedUsage(0, cust); got != want {
				t.Errorf("usage reported at %v: got %d, want %d", at, got, want)
			}
		})
	}
	w.Run(time.Minute)
	r := q.report(DayReport{Calls: 6, Requests: 10})
	want := 0.5 * (40 + 30 + 6) / 100
	if math.Abs(r.OverQuotaPrice-want) > 1e-9 || math.Abs(r.OverQuotaFraction-5.0/12) > 1e-9 || r.RejectedFraction != 0.3 || r.RequestsRejectedWithCapacity != 0.2 || r.CallsRejectedWithCapacity != 1.0/6 {
		t.Errorf("%+v", r)
	}
	if callWeight := 20 + 10 + 0.5*10; r.Served != callWeight/100 { // the last one was served after the latency objective and counts half
		t.Errorf("served fraction %v", r.Served)
	}
	if c := r.Cells["lacks"]; c["units"].OverQuotaUnits != 4 || c["a place"].OverQuotaUnits != 1 || r.Cells["refused"]["by_chance"].RejectedWithCapacity != 2 {
		t.Errorf("%+v", c)
	}
	if c := r.Cells["guesses"]; c["inside without settling"].OverQuotaUnits != 1 || c["beyond too"].OverQuotaUnits != 4 {
		t.Errorf("%+v", c)
	}
}

// In every deployment, a policy that knows the exact bucket state without delay forwards almost nothing over quota: only
// requests that wait in a queue while others are charged. With a delay it forwards more. All policies receive the same
// calls.
func TestUndelayedBucketPolicyCostsLittle(t *testing.T) {
	for _, name := range DeploymentNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := QuotaOptions{Deployment: name, Policy: DelayedBucket, Instances: 12, Duration: 10 * time.Second, Seed: 3}
			undelayed := runQuotasOrFail(t, o)
			if o.PolicyDelay = -1; undelayed.OverQuotaPrice > 0.05 || undelayed.Served < 0.8 || len(undelayed.Broken) > 0 {
				t.Errorf("DelayedBucket without delay: %+v", undelayed)
			}
			if delayed := runQuotasOrFail(t, o); delayed.Calls != undelayed.Calls || delayed.OverQuotaPrice < undelayed.OverQuotaPrice+0.01 {
				t.Errorf("DelayedBucket with delay: %+v", delayed)
			}
			o.Policy = ByModule
			r := runQuotasOrFail(t, o)
			if r.Calls != undelayed.Calls || r.Served < 0.6 || r.OverQuotaPrice <= 0 || len(r.Broken) > 0 {
				t.Errorf("module: %+v", r)
			}
			if repeated := runQuotasOrFail(t, o); !reflect.DeepEqual(r, repeated) {
				t.Errorf("the same options gave different reports:\n%+v\n%+v", r, repeated)
			}
		})
	}
	if _, err := RunQuotas(QuotaOptions{Deployment: "none", Instances: 3}); err == nil {
		t.Error("no error for an unknown deployment")
	}
}
