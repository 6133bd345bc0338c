package control

import (
	"fmt"
	"testing"
	"time"
)

// closedLoop has clients ask without a pause, of a cheap class and a dear one in turn, of four
// servers that take a time for each attempt, and counts what is refused.
func closedLoop(t *testing.T, clients int, takes, lasts time.Duration, cheap float64) (served, refused map[string]int) {
	t.Helper()
	settings := settings()
	settings.GroupSize, settings.MeterPeriod = 1, 0
	settings.Classes = []Class{
		{Name: "cheap", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: cheap},
		{Name: "dear", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 5},
	}
	settings.Plans = []Plan{{Name: "low", Price: 1, QuotaRate: 1e6, QuotaBurst: 1e6}}
	var servers []Endpoint
	for i := range 4 {
		servers = append(servers, Endpoint{Server: uint32(i + 1), State: Active, Size: 1})
	}
	gateway := newGate(t, settings, servers...)
	type due struct {
		at  time.Duration
		end AttemptResult
	}
	var out []due // by time, as all take the same
	served, refused = make(map[string]int), make(map[string]int)
	class := func(n int) string { return []string{"cheap", "dear"}[n%2] }
	next, seen, idle := 0, 0, clients
	classOf := make(map[string]string)
	for end := gateway.now + lasts; gateway.now < end; {
		for ; idle > 0; idle-- {
			id := fmt.Sprint(next)
			classOf[id] = class(next)
			next++
			gateway.do(Request{ID: id, Class: classOf[id], Plan: "low", Customer: id, Timeout: 6 * time.Second, Units: 1, FanOut: 1})
			if _, ok := gateway.ends[id]; ok {
				refused[classOf[id]]++
			}
			for ; seen < len(gateway.sends); seen++ {
				out = append(out, due{gateway.now + takes, AttemptResult{ID: gateway.sends[seen].ID, Server: gateway.sends[seen].Server, Reason: OK, IsFinal: true, Delay: takes}})
			}
		}
		if len(out) == 0 {
			idle = clients // all were refused
			gateway.pass(takes)
			continue
		}
		gateway.pass(out[0].at - gateway.now)
		event := out[0].end
		out = out[1:]
		gateway.do(event)
		served[classOf[event.ID]]++
		idle = 1
		for ; seen < len(gateway.sends); seen++ {
			out = append(out, due{gateway.now + takes, AttemptResult{ID: gateway.sends[seen].ID, Server: gateway.sends[seen].Server, Reason: OK, IsFinal: true, Delay: takes}})
		}
	}
	return served, refused
}

// A class worth little is not refused while servers are so fast that its turn takes next to
// nothing of its aim; it still yields where a turn takes long.
func TestFastServersRefuseNothing(t *testing.T) {
	for _, clients := range []int{8, 64, 256} {
		served, refused := closedLoop(t, clients, time.Millisecond, 200*time.Millisecond, 1)
		if refused["cheap"]+refused["dear"] > 0 || served["cheap"] < served["dear"]/2 || served["cheap"] == 0 {
			t.Errorf("%d clients: served %v, refused %v", clients, served, refused)
		}
	}
	if _, refused := closedLoop(t, 64, 300*time.Millisecond, 4*time.Second, 1); refused["cheap"] == 0 || refused["dear"] > 0 {
		t.Errorf("servers that take 300 ms: refused %v", refused)
	}
	if _, refused := closedLoop(t, 64, time.Millisecond, 200*time.Millisecond, 5); refused["cheap"] > 0 {
		t.Errorf("of equal worth: refused %v", refused)
	}
}
