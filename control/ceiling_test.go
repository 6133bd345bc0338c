package control

import (
	"fmt"
	"testing"
	"time"
)

// A customer that was never seen, or that was forgotten, has no more to spend at once than the
// ceiling's store can hold, however long the gateway has run.
func TestUnseenCustomerHasNoMoreThanTheCeilingHolds(t *testing.T) {
	s := ceilingSettings()
	p := s.Plans[0]
	for name, seen := range map[string]bool{"never seen": false, "forgotten": true} {
		t.Run(name, func(t *testing.T) {
			var list []uint32
			for id := range uint32(200) {
				list = append(list, id+1)
			}
			g := newGate(t, s, on(list...)...)
			if seen {
				g.ask("before", "job", p.Name, "x")
				g.reply("before", OK, 0)
			}
			for range 10 {
				g.pass(maxAccountIdleTime)
				g.ask(fmt.Sprint("on", g.now), "job", p.Name, "comes on")
				g.reply(fmt.Sprint("on", g.now), OK, 0)
			}
			if g.c.custs[p.Name+" x"] != nil {
				t.Fatal("not forgotten")
			}
			before, begun := len(g.sends), g.now
			for i := range 400 {
				id := fmt.Sprint(i)
				if g.ask(id, "job", p.Name, "x"); g.n[id] > 0 {
					g.reply(id, OK, 0)
				}
				g.pass(ms)
			}
			part := p.HardLimitBurst/2 + (g.now-begun).Seconds()*p.HardLimitRate/2 // g.ask spreads over two
			if n := float64(len(g.sends) - before); n > part+1 {
				t.Errorf("%g units at once, of a part of %g", n, part)
			}
		})
	}
}

// A customer that is forgotten before its store is full again, as there are too many, has no more over
// time than the ceiling gives, however often that happens, and whoever takes the gateway's place.
func TestForgettingOpensNoCeiling(t *testing.T) {
	s := ceilingSettings()
	p := s.Plans[0]
	var list []uint32
	for id := range uint32(200) {
		list = append(list, id+1)
	}
	for name, handsOver := range map[string]bool{"stays": false, "hands over": true} {
		t.Run(name, func(t *testing.T) {
			g := newGate(t, s, on(list...)...)
			many := func() {
				for i := range maxAccounts/2 + 1 {
					g.c.customerOf(g.c.planOf[p.Name], fmt.Sprint("busy", i), 2).open = 1
				}
			}
			many()
			forgotten, sent, begun := 0, 0, g.now
			for round := range 60 {
				for i := range 400 {
					id := fmt.Sprint(round, " ", i)
					g.do(Request{ID: id, Class: "job", Plan: p.Name, Customer: "x", Timeout: 5 * time.Second, Units: 0.125, FanOut: 2})
					if g.n[id] > 0 {
						sent++
						g.reply(id, OK, 0)
					}
				}
				g.now += windowDuration
				if g.c.Handle(g.now, TimerFired{}); g.c.custs[p.Name+" x"] != nil {
					g.c.sweep()
				}
				if g.c.custs[p.Name+" x"] == nil {
					forgotten++
				}
				if handsOver && round%10 == 0 {
					given := g.c.HandOver(g.now, 1)
					next := newGate(t, s, on(list...)...)
					next.now = g.now
					next.c.Restore(g.now, given, TrustAll)
					g = next
					many()
				}
			}
			most := (initialSlackFraction*p.HardLimitSlack + (g.now-begun).Seconds()*p.HardLimitRate) / 2
			if n := float64(sent) / 8; forgotten < 10 || n > most+1 {
				t.Errorf("%g units of %g, forgotten %d times", n, most, forgotten)
			}
		})
	}
}

// The slack is granted once: not again by each gateway that takes another's place, where that one had
// none to grant.
func TestSlackIsNotHandedOverTwice(t *testing.T) {
	s := ceilingSettings()
	after := func(c Checkpoint, trust Trust) *Controller {
		g := newGate(t, s, on(1, 2)...)
		g.c.Restore(g.now, c, trust)
		return g.c
	}
	crashed := after(newGate(t, s, on(1, 2)...).c.Checkpoint(time.Hour), TrustEstimates)
	next := after(crashed.HandOver(time.Hour, 1), TrustAll)
	if left := next.customerOf(next.planOf["low"], "x", 1).ceiling; left > 0 {
		t.Errorf("%g units for a customer of whom nothing is known since a crash", left)
	}
}

// A customer is forgotten whatever the units of its requests were that waited and were not sent.
func TestPartsOfUnitsAreForgotten(t *testing.T) {
	g := newGate(t, settings())
	for i, units := range []float64{0.1, 0.2, 0.3} {
		g.do(Request{ID: fmt.Sprint(i), Class: "job", Plan: "low", Customer: "x", Timeout: 5 * time.Second, Units: units, FanOut: 2})
	}
	if g.pass(2 * maxAccountIdleTime); len(g.c.custs) > 0 || len(g.ends) != 3 {
		t.Errorf("%d customers remembered, %d requests answered", len(g.c.custs), len(g.ends))
	}
}
