package control

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

// After a crash it is unknown how many units were spent since the checkpoint, so the buckets of hard limits start empty.
func TestRestoreAfterCrashStartsWithEmptyHardLimits(t *testing.T) {
	crashed := newTestGateway(t, hardLimitSettings(), activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
	crashed.controller.accountFor(crashed.controller.scheduler.plansByName["low"], "x", 1).hardLimit.tokens = 60
	checkpoint := crashed.controller.Checkpoint(crashed.now)
	for _, customer := range []string{"x", "never seen"} {
		restarted := newTestGateway(t, hardLimitSettings(), activeEndpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
		restarted.now = crashed.now
		restarted.controller.Restore(restarted.now, checkpoint, TrustEstimates)
		for i := range 50 {
			restarted.handle(Request{ID: fmt.Sprint("r", i), Class: "job", Plan: "low", Customer: customer, Timeout: 5 * time.Second, Units: 1, FanOut: 1})
		}
		if len(restarted.sends) > 0 {
			t.Errorf("customer %s: sent %d units at once, want 0", customer, len(restarted.sends))
		}
	}
}

// A checkpoint of another version or with numbers that are not finite must be ignored.
func TestInvalidCheckpointIsIgnored(t *testing.T) {
	settings := hardLimitSettings()
	predecessor := newTestGateway(t, settings, activeEndpoints(1, 2)...)
	predecessor.controller.accountFor(predecessor.controller.scheduler.plansByName["low"], "x", 1)
	for name, corrupt := range map[string]func(*Checkpoint){
		"version":   func(checkpoint *Checkpoint) { checkpoint.Version++ },
		"no number": func(checkpoint *Checkpoint) { checkpoint.Customers[0].QuotaTokens = math.NaN() },
		"infinite":  func(checkpoint *Checkpoint) { checkpoint.ConcurrencyLimit = math.Inf(1) },
	} {
		checkpoint := predecessor.controller.Checkpoint(predecessor.now)
		corrupt(&checkpoint)
		successor, untouched := newTestGateway(t, settings, activeEndpoints(1, 2)...), newTestGateway(t, settings, activeEndpoints(1, 2)...)
		successor.controller.Restore(successor.now, checkpoint, TrustAll)
		if !reflect.DeepEqual(successor.controller.accounts.byKey, untouched.controller.accounts.byKey) || successor.controller.limiter.limit != untouched.controller.limiter.limit {
			t.Errorf("%s: invalid checkpoint was restored", name)
		}
	}
}
