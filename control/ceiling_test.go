package control

import (
	"fmt"
	"testing"
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
				g.pass(custKeep)
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
			part := p.CeilingBurst/2 + (g.now-begun).Seconds()*p.CeilingRate/2 // g.ask spreads over two
			if n := float64(len(g.sends) - before); n > part+1 {
				t.Errorf("%g units at once, of a part of %g", n, part)
			}
		})
	}
}
