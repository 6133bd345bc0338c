package control

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a bound that grows while many answers come late, because the reports of servers
// that have just started still tell of room.
func TestManyLateAnswersCutTheBound(t *testing.T) {
	s := settings()
	g := newGate(t, s, on(1, 2, 3, 4)...)
	g.c.bound = 200
	g.c.idle, g.c.seen = 0.1, 100
	n := 0
	for range 3 {
		var ids []string
		for range 80 {
			n++
			id := fmt.Sprint(n)
			g.ask(id, "job", "high", fmt.Sprint("x", n%20))
			if g.n[id] > 0 {
				ids = append(ids, id)
			}
		}
		g.now += 1500 * ms
		for _, id := range ids {
			srv := uint32(0)
			for _, a := range g.sends {
				if a.ID == id {
					srv = a.Server
				}
			}
			g.do(AttemptResult{ID: id, Server: srv, Reason: OK, IsFinal: true, Load: told(10, 0.3)})
			g.ends[id] = Reject{ID: id}
		}
		g.pass(time.Second)
	}
	if g.c.Bound() >= 200 {
		t.Errorf("the bound is %g after 200 answers that took 1.5 s of an aim of 2 s", g.c.Bound())
	}
}
