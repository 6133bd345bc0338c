package fleetrules

import (
	"strings"
	"testing"
	"time"

	"lockflow/control"
)

const s = time.Second

// The classes and plans that the histories use.
var (
	readClass          = &control.Class{Name: "read", Idempotency: control.Idempotent}
	nonIdempotentClass = &control.Class{Name: "once", Idempotency: control.NotIdempotent}
	cellKeyClass       = &control.Class{Name: "keyed", Idempotency: control.IdempotentWithKey, KeyScope: control.ScopeCell, RepeatWindow: 5 * s}
	globalKeyClass     = &control.Class{Name: "any", Idempotency: control.IdempotentWithKey, KeyScope: control.ScopeAll, RepeatWindow: 5 * s}

	unlimitedPlan = &control.Plan{}
	hardLimitPlan = &control.Plan{HardLimitRate: 2, HardLimitBurst: 10, HardLimitSlack: 1}
)

func sendAttempt(c *Checker, at time.Duration, to uint32, first bool) {
	c.AttemptSent(at, 1, "a", to, first, unlimitedPlan, "x", 1)
}

func warmingUpCapacity(time.Duration) (float64, bool) { return 1, true }

// histories are sequences of events by name, with the rule that each of them breaks; "" means none.
var histories = map[string]struct {
	want   Rule
	events func(c *Checker)
}{
	"answered in time": {"", func(c *Checker) { c.RequestArrived(0, 1, "a", readClass, s); c.Answered(s, 1, "a", false) }},
	"answered within the grace period": {"", func(c *Checker) {
		c.RequestArrived(0, 1, "a", readClass, s)
		c.Answered(s+100*time.Millisecond, 1, "a", false)
	}},
	"late":                     {Answer, func(c *Checker) { c.RequestArrived(0, 1, "a", readClass, s); c.Answered(2*s, 1, "a", false) }},
	"never":                    {Answer, func(c *Checker) { c.RequestArrived(0, 1, "a", readClass, s) }},
	"client disconnected":      {"", func(c *Checker) { c.RequestArrived(0, 1, "a", readClass, s); c.ClientDisconnected("a") }},
	"instance killed":          {"", func(c *Checker) { c.RequestArrived(0, 1, "a", readClass, s); c.NodeEnded(s/2, 1, false) }},
	"instance ended by itself": {Answer, func(c *Checker) { c.RequestArrived(0, 1, "a", readClass, s); c.NodeEnded(s/2, 1, true) }},
	"another instance ended": {"", func(c *Checker) {
		c.RequestArrived(0, 1, "a", readClass, s)
		c.NodeEnded(s/2, 2, true)
		c.Answered(s, 1, "a", true)
	}},
	"twice": {Answer, func(c *Checker) {
		c.RequestArrived(0, 1, "a", readClass, s)
		c.Answered(0, 1, "a", true)
		c.Answered(0, 1, "a", true)
	}},
	"sent after the final answer": {DuplicateEffect, func(c *Checker) {
		c.RequestArrived(0, 1, "a", readClass, s)
		c.Answered(0, 1, "a", true)
		sendAttempt(c, 0, 1, true)
	}},
	"two attempts in flight": {DuplicateEffect, func(c *Checker) {
		c.RequestArrived(0, 1, "a", readClass, s)
		sendAttempt(c, 0, 1, true)
		sendAttempt(c, 0, 1, false)
		c.ClientDisconnected("a")
	}},
	"retry, first never ran": {"", func(c *Checker) {
		c.RequestArrived(0, 1, "a", nonIdempotentClass, s)
		sendAttempt(c, 0, 1, true)
		c.AttemptEnded("a", 0, 1, false)
		sendAttempt(c, 0, 3, false)
		c.ClientDisconnected("a")
	}},
	"retry, first may have run": {DuplicateEffect, func(c *Checker) {
		c.RequestArrived(0, 1, "a", nonIdempotentClass, s)
		sendAttempt(c, 0, 1, true)
		c.AttemptEnded("a", 0, 1, true)
		sendAttempt(c, 0, 1, false)
		c.ClientDisconnected("a")
	}},
	"retry in the same cell": {"", func(c *Checker) {
		c.RequestArrived(0, 1, "a", cellKeyClass, s)
		sendAttempt(c, 0, 1, true)
		c.AttemptEnded("a", 0, 1, true)
		sendAttempt(c, s, 2, false)
		c.ClientDisconnected("a")
	}},
	"retry in another cell": {DuplicateEffect, func(c *Checker) {
		c.RequestArrived(0, 1, "a", cellKeyClass, s)
		sendAttempt(c, 0, 1, true)
		c.AttemptEnded("a", 0, 1, true)
		sendAttempt(c, s, 3, false)
		c.ClientDisconnected("a")
	}},
	"retry after the repeat window": {DuplicateEffect, func(c *Checker) {
		c.RequestArrived(0, 1, "a", cellKeyClass, s)
		sendAttempt(c, 0, 1, true)
		c.AttemptEnded("a", 0, 1, true)
		sendAttempt(c, 6*s, 2, false)
		c.ClientDisconnected("a")
	}},
	"rejected, may have run": {DuplicateEffect, func(c *Checker) {
		c.RequestArrived(0, 1, "a", cellKeyClass, s)
		sendAttempt(c, 0, 1, true)
		c.AttemptEnded("a", 0, 1, true)
		c.Answered(0, 1, "a", true)
	}},
	"rejected, may have run, keys shared by all servers": {"", func(c *Checker) {
		c.RequestArrived(0, 1, "a", globalKeyClass, s)
		sendAttempt(c, 0, 1, true)
		c.AttemptEnded("a", 0, 1, true)
		c.Answered(0, 1, "a", true)
	}},
	"draining, within the grace period": {"", func(c *Checker) { c.Notified(0, 1, 1, false); c.Notified(s, 1, 1, false); sendAttempt(c, 2*s, 1, true) }},
	"draining, after the grace period":  {Drain, func(c *Checker) { c.Notified(0, 1, 1, false); c.Notified(s, 1, 1, false); sendAttempt(c, 3*s, 1, true) }},
	"draining, then up":                 {"", func(c *Checker) { c.Notified(0, 1, 1, false); c.Notified(s, 1, 1, true); sendAttempt(c, 3*s, 1, true) }},
	"draining, another node notified":   {"", func(c *Checker) { c.Notified(0, 2, 1, false); sendAttempt(c, 3*s, 1, true) }},
	"warming up, within the limit": {"", func(c *Checker) {
		c.ServerStarted(9, Server{Capacity: warmingUpCapacity})
		c.WorkArrived(0, 9, 4, true)
		c.WorkArrived(3*s, 9, 4, true)
	}},
	"warming up, over the limit": {WarmingUp, func(c *Checker) {
		c.ServerStarted(9, Server{Capacity: warmingUpCapacity})
		c.WorkArrived(0, 9, 4, true)
		c.WorkArrived(s, 9, 4, true)
		c.WorkArrived(s, 9, 4, true)
	}},
	"warming up, overloaded by nodes not notified": {"", func(c *Checker) {
		c.ServerStarted(9, Server{Capacity: warmingUpCapacity})
		c.WorkArrived(0, 9, 4, true)
		c.WorkArrived(s, 9, 4, false)
	}},
	"warming up, within the random deviation": {"", func(c *Checker) { // N is 8, so the limit is 8 + 2*sqrt(8) + 2 requests of 1.25 s: 19.6 s
		c.Tolerances.MeanWork = 1.25
		c.Tolerances.OverloadMultiple = 5
		c.ServerStarted(9, Server{Capacity: warmingUpCapacity})
		c.WorkArrived(0, 9, 19.5, true)
	}},
	"warming up, over the random deviation": {WarmingUp, func(c *Checker) {
		c.Tolerances.MeanWork = 1.25
		c.Tolerances.OverloadMultiple = 5
		c.ServerStarted(9, Server{Capacity: warmingUpCapacity})
		c.WorkArrived(0, 9, 19.6, true)
	}},
	"warming up, first overloaded by nodes not notified": {"", func(c *Checker) {
		c.ServerStarted(9, Server{Capacity: warmingUpCapacity})
		c.WorkArrived(0, 9, 6, false)
		c.WorkArrived(s, 9, 60, true)
	}},
	"hard limit, within": {"", func(c *Checker) {
		c.AttemptSent(0, 1, "a", 1, true, hardLimitPlan, "x", 11)
		c.AttemptSent(s, 1, "b", 1, true, hardLimitPlan, "x", 2)
		c.AttemptSent(s, 1, "c", 1, true, hardLimitPlan, "y", 9)
	}},
	"hard limit, a retry is not charged": {"", func(c *Checker) {
		c.AttemptSent(0, 1, "a", 1, true, hardLimitPlan, "x", 10)
		c.AttemptSent(0, 1, "a", 1, false, hardLimitPlan, "x", 10)
	}},
	"hard limit, exceeded": {HardLimit, func(c *Checker) {
		c.AttemptSent(0, 1, "a", 1, true, hardLimitPlan, "x", 10)
		c.AttemptSent(s/2, 2, "b", 1, true, hardLimitPlan, "x", 3)
	}},
}

// Each history breaks exactly the expected rule, once, or none.
func TestRules(t *testing.T) {
	for name, tc := range histories {
		t.Run(name, func(t *testing.T) {
			c := New(Tolerances{AnswerGrace: 100 * time.Millisecond, DrainGrace: 2 * s, OverloadWindow: 2 * s, OverloadMultiple: 2.5})
			c.ServerStarted(1, Server{Cell: 1})
			c.ServerStarted(2, Server{Cell: 1})
			c.ServerStarted(3, Server{Cell: 2})
			tc.events(c)
			c.Close(time.Minute)
			if tc.want == "" && len(c.Broken()) > 0 || tc.want != "" && (len(c.Broken()) != 1 || c.Broken()[tc.want] != 1) {
				t.Errorf("%v", c.Breaches())
			}
			for _, b := range c.Breaches() {
				if !strings.Contains(b.String(), string(b.Rule)) {
					t.Errorf("the text of breach %v does not contain its rule", b)
				}
			}
		})
	}
}
