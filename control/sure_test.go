package control

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a bound that grows while many answers come late, because the reports of servers
// that have just started still tell of room.
func TestManyLateAnswersCutTheBound(t *testing.T) {
	settings := settings()
	gateway := newGate(t, settings, on(1, 2, 3, 4)...)
	gateway.c.limiter.limit = 200
	gateway.c.limiter.idleLatency, gateway.c.fleet.latency.count = 0.1, 100
	n := 0
	for range 3 {
		var ids []string
		for range 80 {
			n++
			id := fmt.Sprint(n)
			gateway.ask(id, "job", "high", fmt.Sprint("x", n%20))
			if gateway.n[id] > 0 {
				ids = append(ids, id)
			}
		}
		gateway.now += 1500 * ms
		for _, id := range ids {
			srv := uint32(0)
			for _, send := range gateway.sends {
				if send.ID == id {
					srv = send.Server
				}
			}
			gateway.do(AttemptResult{ID: id, Server: srv, Reason: OK, IsFinal: true, Load: told(10, 0.3)})
			gateway.ends[id] = Reject{ID: id}
		}
		gateway.pass(time.Second)
	}
	if gateway.c.ConcurrencyLimit() >= 200 {
		t.Errorf("the bound is %g after 200 answers that took 1.5 s of an aim of 2 s", gateway.c.ConcurrencyLimit())
	}
}
