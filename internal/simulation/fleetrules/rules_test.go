package fleetrules

import (
	"strings"
	"testing"
	"time"

	"lockflow/control"
)

const s = time.Second

// The classes and plans of the histories below.
var (
	readClass  = &control.Class{Name: "read", Idempotency: control.Idempotent}
	onceClass  = &control.Class{Name: "once", Idempotency: control.NotIdempotent}
	keyedClass = &control.Class{Name: "keyed", Idempotency: control.IdempotentWithKey, KeyScope: control.ScopeCell, RepeatWindow: 5 * s}
	anyClass   = &control.Class{Name: "any", Idempotency: control.IdempotentWithKey, KeyScope: control.ScopeAll, RepeatWindow: 5 * s}

	freePlan   = &control.Plan{}
	cappedPlan = &control.Plan{HardLimitRate: 2, HardLimitBurst: 10, HardLimitSlack: 1}
)

func send(c *Checker, at time.Duration, to uint32, first bool) {
	c.Sent(at, 1, "a", to, first, freePlan, "x", 1)
}

func cold(time.Duration) (float64, bool) { return 1, true }

// histories are sequences of events by name, with the rule that each breaks; "" is none.
var histories = map[string]struct {
	want Rule
	does func(c *Checker)
}{
	"answered in time":   {"", func(c *Checker) { c.Taken(0, 1, "a", readClass, s); c.Answered(s, 1, "a", false) }},
	"within the grace":   {"", func(c *Checker) { c.Taken(0, 1, "a", readClass, s); c.Answered(s+100*time.Millisecond, 1, "a", false) }},
	"late":               {Answer, func(c *Checker) { c.Taken(0, 1, "a", readClass, s); c.Answered(2*s, 1, "a", false) }},
	"never":              {Answer, func(c *Checker) { c.Taken(0, 1, "a", readClass, s) }},
	"its client left":    {"", func(c *Checker) { c.Taken(0, 1, "a", readClass, s); c.Left("a") }},
	"its instance died":  {"", func(c *Checker) { c.Taken(0, 1, "a", readClass, s); c.Killed(s/2, 1, false) }},
	"its instance ended": {Answer, func(c *Checker) { c.Taken(0, 1, "a", readClass, s); c.Killed(s/2, 1, true) }},
	"another's ended": {"", func(c *Checker) {
		c.Taken(0, 1, "a", readClass, s)
		c.Killed(s/2, 2, true)
		c.Answered(s, 1, "a", true)
	}},
	"twice": {Answer, func(c *Checker) {
		c.Taken(0, 1, "a", readClass, s)
		c.Answered(0, 1, "a", true)
		c.Answered(0, 1, "a", true)
	}},
	"sent after its end": {Twice, func(c *Checker) { c.Taken(0, 1, "a", readClass, s); c.Answered(0, 1, "a", true); send(c, 0, 1, true) }},
	"two out": {Twice, func(c *Checker) {
		c.Taken(0, 1, "a", readClass, s)
		send(c, 0, 1, true)
		send(c, 0, 1, false)
		c.Left("a")
	}},
	"again, never ran": {"", func(c *Checker) {
		c.Taken(0, 1, "a", onceClass, s)
		send(c, 0, 1, true)
		c.Ended("a", 0, 1, false)
		send(c, 0, 3, false)
		c.Left("a")
	}},
	"again, may have run": {Twice, func(c *Checker) {
		c.Taken(0, 1, "a", onceClass, s)
		send(c, 0, 1, true)
		c.Ended("a", 0, 1, true)
		send(c, 0, 1, false)
		c.Left("a")
	}},
	"the same cell": {"", func(c *Checker) {
		c.Taken(0, 1, "a", keyedClass, s)
		send(c, 0, 1, true)
		c.Ended("a", 0, 1, true)
		send(c, s, 2, false)
		c.Left("a")
	}},
	"another cell": {Twice, func(c *Checker) {
		c.Taken(0, 1, "a", keyedClass, s)
		send(c, 0, 1, true)
		c.Ended("a", 0, 1, true)
		send(c, s, 3, false)
		c.Left("a")
	}},
	"past the window": {Twice, func(c *Checker) {
		c.Taken(0, 1, "a", keyedClass, s)
		send(c, 0, 1, true)
		c.Ended("a", 0, 1, true)
		send(c, 6*s, 2, false)
		c.Left("a")
	}},
	"refused, may have run": {Twice, func(c *Checker) {
		c.Taken(0, 1, "a", keyedClass, s)
		send(c, 0, 1, true)
		c.Ended("a", 0, 1, true)
		c.Answered(0, 1, "a", true)
	}},
	"refused, group of all": {"", func(c *Checker) {
		c.Taken(0, 1, "a", anyClass, s)
		send(c, 0, 1, true)
		c.Ended("a", 0, 1, true)
		c.Answered(0, 1, "a", true)
	}},
	"drained, in grace": {"", func(c *Checker) { c.Notified(0, 1, 1, false); c.Notified(s, 1, 1, false); send(c, 2*s, 1, true) }},
	"drained, past it":  {Drain, func(c *Checker) { c.Notified(0, 1, 1, false); c.Notified(s, 1, 1, false); send(c, 3*s, 1, true) }},
	"drained, back up":  {"", func(c *Checker) { c.Notified(0, 1, 1, false); c.Notified(s, 1, 1, true); send(c, 3*s, 1, true) }},
	"another was told":  {"", func(c *Checker) { c.Notified(0, 2, 1, false); send(c, 3*s, 1, true) }},
	"cold, within": {"", func(c *Checker) {
		c.Started(9, Server{Capacity: cold})
		c.Arrived(0, 9, 4, true)
		c.Arrived(3*s, 9, 4, true)
	}},
	"cold, beyond": {WarmingUp, func(c *Checker) {
		c.Started(9, Server{Capacity: cold})
		c.Arrived(0, 9, 4, true)
		c.Arrived(s, 9, 4, true)
		c.Arrived(s, 9, 4, true)
	}},
	"cold, by untold ones": {"", func(c *Checker) {
		c.Started(9, Server{Capacity: cold})
		c.Arrived(0, 9, 4, true)
		c.Arrived(s, 9, 4, false)
	}},
	"cold, by chance": {"", func(c *Checker) { // N is 8, so the limit is 8 + 2*sqrt(8) + 2 requests of 1.25 s: 19.6 s
		c.Terms.MeanWork = 1.25
		c.Terms.OverloadMultiple = 5
		c.Started(9, Server{Capacity: cold})
		c.Arrived(0, 9, 19.5, true)
	}},
	"cold, beyond chance": {WarmingUp, func(c *Checker) {
		c.Terms.MeanWork = 1.25
		c.Terms.OverloadMultiple = 5
		c.Started(9, Server{Capacity: cold})
		c.Arrived(0, 9, 19.6, true)
	}},
	"cold, fell by untold ones first": {"", func(c *Checker) {
		c.Started(9, Server{Capacity: cold})
		c.Arrived(0, 9, 6, false)
		c.Arrived(s, 9, 60, true)
	}},
	"ceiling, kept": {"", func(c *Checker) {
		c.Sent(0, 1, "a", 1, true, cappedPlan, "x", 11)
		c.Sent(s, 1, "b", 1, true, cappedPlan, "x", 2)
		c.Sent(s, 1, "c", 1, true, cappedPlan, "y", 9)
	}},
	"ceiling, repeats": {"", func(c *Checker) {
		c.Sent(0, 1, "a", 1, true, cappedPlan, "x", 10)
		c.Sent(0, 1, "a", 1, false, cappedPlan, "x", 10)
	}},
	"ceiling, passed": {HardLimit, func(c *Checker) {
		c.Sent(0, 1, "a", 1, true, cappedPlan, "x", 10)
		c.Sent(s/2, 2, "b", 1, true, cappedPlan, "x", 3)
	}},
}

// Each history breaks one rule or none.
func TestRules(t *testing.T) {
	for name, tc := range histories {
		t.Run(name, func(t *testing.T) {
			c := New(Terms{AnswerGrace: 100 * time.Millisecond, DrainGrace: 2 * s, OverloadWindow: 2 * s, OverloadMultiple: 2.5})
			c.Started(1, Server{Cell: 1})
			c.Started(2, Server{Cell: 1})
			c.Started(3, Server{Cell: 2})
			tc.does(c)
			c.Close(time.Minute)
			if tc.want == "" && len(c.Broken()) > 0 || tc.want != "" && (len(c.Broken()) != 1 || c.Broken()[tc.want] != 1) {
				t.Errorf("%v", c.Breaches())
			}
			for _, b := range c.Breaches() {
				if !strings.Contains(b.String(), string(b.Rule)) {
					t.Errorf("%v does not name its rule", b)
				}
			}
		})
	}
}
