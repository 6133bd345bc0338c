package control

import (
	"fmt"
	"math"
	"testing"
)

// A customer not metered here is refused as much as of its plan's use lies beyond quotas by what first readings
// of others told, less a request each: where half of them use four times their rate and the others half of it, and
// one request is a quarter of a period's, by 2.75 of 4.5; half of that where one of two gateways sees them. That
// holds for no other plan, not before any reading, whatever later readings tell, and after a resume.
func TestUnseenAreRefusedByTheirPlansUse(t *testing.T) {
	settings := settings()
	for i := range settings.Plans {
		settings.Plans[i].QuotaRate, settings.Plans[i].QuotaBurst = 4, 20
	}
	gateway := newGate(t, settings, on(1, 2, 3)...)
	n := 0
	// refused is the part of many new customers that is; their answers tell nothing.
	refused := func(plan string) float64 {
		const asks = 500
		before := len(gateway.sends)
		for range asks {
			n++
			id := fmt.Sprint("r", n)
			gateway.ask(id, "job", plan, fmt.Sprint("new", n))
			if r, ok := gateway.ends[id].(Reject); ok && r.Cause != CauseProbability {
				t.Fatalf("%s: refused by %v", id, r.Cause)
			} else if !ok {
				gateway.pass(10 * ms)
				gateway.reply(id, OK, 0)
			}
			gateway.pass(10 * ms)
		}
		return 1 - float64(len(gateway.sends)-before)/asks
	}
	read := func(plan int, customer string, pct int) {
		gateway.c.now = gateway.now
		gateway.c.recordReading(gateway.c.accountFor(gateway.c.plans[plan], customer, 2), pct+1, 1)
	}
	is := func(when, plan string, want float64) {
		t.Helper()
		if got := refused(plan); math.Abs(got-want) > 0.05 || want == 0 && got != 0 {
			t.Errorf("%s: of plan %s %g are refused, not %g", when, plan, got, want)
		}
	}
	is("before any reading", "low", 0)
	for i := range 200 {
		read(0, fmt.Sprint("heavy", i), 400)
		read(0, fmt.Sprint("calm", i), 50)
	}
	is("after readings", "low", 2.75/4.5/2)
	is("after readings of another plan", "high", 0)
	read(1, "one", 400)
	for range 50 {
		gateway.pass(settings.MeterPeriod)
		read(1, "one", 50)
	}
	is("after a first reading and others", "high", 2.75/4/2)
	resumed, err := Resume(settings, gateway.c.Image())
	if err != nil {
		t.Fatal(err)
	}
	gateway.c = resumed
	is("after a resume", "low", 2.75/4.5/2)
	is("after a resume", "high", 2.75/4/2)
}
