package control

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

// After a crash nothing is known of what was spent last: a ceiling's store begins empty.
func TestRestoreAfterCrashStartsWithEmptyHardLimits(t *testing.T) {
	a := newTestGateway(t, hardLimitSettings(), activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
	a.c.accountFor(a.c.plansByName["low"], "x", 1).hardLimit.tokens = 60
	checkpoint := a.c.Checkpoint(a.now)
	for _, customer := range []string{"x", "never seen"} {
		b := newTestGateway(t, hardLimitSettings(), activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
		b.now = a.now
		b.c.Restore(b.now, checkpoint, TrustEstimates)
		for i := range 50 {
			b.handle(Request{ID: fmt.Sprint("r", i), Class: "job", Plan: "low", Customer: customer, Timeout: 5 * time.Second, Units: 1, FanOut: 1})
		}
		if len(b.sends) > 0 {
			t.Errorf("%s: %d units at once", customer, len(b.sends))
		}
	}
}

// What can't be used changes nothing.
func TestUnusableCheckpointChangesNothing(t *testing.T) {
	settings := hardLimitSettings()
	a := newTestGateway(t, settings, activeEndpoints(1, 2)...)
	a.c.accountFor(a.c.plansByName["low"], "x", 1)
	for name, spoil := range map[string]func(*Checkpoint){
		"version":   func(c *Checkpoint) { c.Version++ },
		"no number": func(c *Checkpoint) { c.Customers[0].QuotaTokens = math.NaN() },
		"infinite":  func(c *Checkpoint) { c.ConcurrencyLimit = math.Inf(1) },
	} {
		c := a.c.Checkpoint(a.now)
		spoil(&c)
		b, same := newTestGateway(t, settings, activeEndpoints(1, 2)...), newTestGateway(t, settings, activeEndpoints(1, 2)...)
		b.c.Restore(b.now, c, TrustAll)
		if !reflect.DeepEqual(b.c.accounts, same.c.accounts) || b.c.limiter.limit != same.c.limiter.limit {
			t.Errorf("%s: it was taken over", name)
		}
	}
}
