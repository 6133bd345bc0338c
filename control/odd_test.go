package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// odd draws the settings of any customer: few classes or many, of any effect, deadlines short and
// long, plans with each kind of quota, with and without meter, cold time and attempt limit.
func odd(rng *rand.Rand) Settings {
	some := func(of ...float64) float64 { return of[rng.IntN(len(of))] }
	s := Settings{
		GroupSize: []int{1, 2, 7, 300}[rng.IntN(4)], Zone: []string{"", "z1"}[rng.IntN(2)], SendCap: rng.IntN(4),
		Cold: seconds(some(0, 2, 10)), ColdFrom: some(0, 0.2, 1), Fall: seconds(some(0, 1)), FallMultiple: some(0, 2),
		MeterPeriod: seconds(some(0, 0.1, 1)), CostAfter: rng.IntN(2) == 0, OnRequest: rng.IntN(2) == 0,
		MarksRetry: rng.IntN(2) == 0, MaxRetryAfter: seconds(some(0, 1)), UnitsTop: some(0, 4),
	}
	s.SelfIndex = rng.IntN(s.GroupSize)
	for i := range 1 + rng.IntN(3) {
		deadline := seconds(some(0.02, 0.1, 0.4, 3, 20))
		s.Classes = append(s.Classes, Class{
			Name: fmt.Sprint("c", i), Aim: seconds(deadline.Seconds() * some(0.1, 0.5, 1, 2)),
			Deadline: deadline, Effect: Effect(rng.IntN(3)), KeyScope: Scope(rng.IntN(3)), Worth: some(0, 1, 9),
			RepeatWindow: seconds(some(0, 0.1, 30)), Stream: rng.IntN(4) == 0,
		})
	}
	for i := range 1 + rng.IntN(3) {
		p := Plan{Name: fmt.Sprint("p", i), Price: some(0, 1, 2), Rate: some(0, 0.5, 40), Depth: some(0, 1, 40), Open: rng.IntN(4)}
		if rng.IntN(2) == 0 {
			p.CeilingRate, p.CeilingBurst, p.CeilingSlack = some(1, 50), some(4, 60), some(0, 4)
		}
		s.Plans = append(s.Plans, p)
	}
	return s
}

// stray is an event that refers to what is not there, or comes twice or too late.
func (w *world) stray() Event {
	id := fmt.Sprint("r", w.rng.IntN(w.next+2))
	for _, f := range w.out { // not of what is out, which has its own end
		if f.id == id {
			return Hangup{ID: "unknown"}
		}
	}
	n, srv := w.rng.IntN(4), uint32(w.rng.IntN(12))
	switch w.rng.IntN(7) {
	case 0:
		return Response{ID: id, N: n, Server: srv, Reason: OK, Done: true, Used: w.rng.IntN(300), Cost: 2}
	case 1:
		return Started{ID: id, N: n, Server: srv}
	case 2:
		return Timer{Label: uint64(1000000 + w.rng.IntN(9))}
	case 3:
		return Response{ID: id, N: -1, Server: srv, Reason: Moot, Load: &Load{Active: -1, Waiting: -1, CPU: -1, AvgMS: -1}}
	case 4: // all are gone at once
		l := List{Kind: Patch}
		for id := range w.members {
			w.toldBad[id] = true
		}
		for id := uint32(1); id <= 8; id++ {
			l.Members = append(l.Members, Member{Server: id, Condition: Off})
		}
		return l
	case 5: // one twice, and nothing else
		l := List{Kind: Whole}
		for id := range w.members {
			w.toldBad[id] = id != 3
		}
		m := Member{Server: 3, Zone: "z2", Cell: 1, HasCameUp: true, CameUp: w.now + time.Second}
		w.members[3] = &m
		l.Members = []Member{m, m}
		return l
	}
	return Hangup{ID: "unknown"}
}

// come is a request of any kind, or one of an id that is held.
func (w *world) come() {
	k, p := w.set.Classes[w.rng.IntN(len(w.set.Classes))], w.set.Plans[w.rng.IntN(len(w.set.Plans))]
	w.next++
	id := fmt.Sprint("r", w.next)
	r := &ask{
		class: k, plan: p.Name, customer: fmt.Sprint("k", w.rng.IntN(5)), units: []float64{0, 0.1, 1, 4}[w.rng.IntN(4)],
		end: w.now + 1 + time.Duration(w.rng.Float64()*float64(k.Deadline)),
	}
	e := Request{
		ID: id, Class: k.Name, Plan: p.Name, Customer: r.customer, TTL: r.end - w.now, Units: r.units,
		Spread: 1 + w.rng.IntN(w.set.GroupSize), Repeat: w.rng.IntN(5) == 0, Open: w.rng.IntN(10) == 0,
		NoRoom: w.rng.IntN(30) == 0, Over: w.rng.IntN(30) == 0,
	}
	w.open[id] = r
	w.handle(e)
	if w.rng.IntN(20) == 0 && w.open[id] != nil {
		w.handle(e) // again, while it is held
	}
}

// turn is one step of odd events.
func (w *world) turn(comes bool) {
	w.now += time.Duration(w.rng.IntN(10)) * ms
	if w.rng.IntN(400) == 0 { // the gateway stood still
		w.now += time.Duration(w.rng.IntN(3000)) * ms
	}
	for i := 0; i < len(w.due); i++ {
		if w.due[i] <= w.now {
			e := w.timers[i]
			w.timers, w.due = append(w.timers[:i], w.timers[i+1:]...), append(w.due[:i], w.due[i+1:]...)
			w.handle(e)
			i = -1
		}
	}
	for i := 0; i < len(w.out); i++ {
		if f := w.out[i]; w.now >= f.till {
			w.outcome(i)
			i = -1
		} else if r := w.open[f.id]; r != nil && w.rng.IntN(60) == 0 {
			w.handle(Started{ID: f.id, N: f.n, Server: f.srv, Delay: w.now - f.at})
		}
	}
	switch k := w.rng.IntN(100); {
	case k < 40 && comes:
		w.come()
	case k < 80 && len(w.out) > 0:
		w.outcome(w.rng.IntN(len(w.out)))
	case k < 84 && comes:
		w.handle(w.list())
	case k < 90:
		w.handle(w.stray())
	case k < 93 && w.next > 0:
		if id := fmt.Sprint("r", 1+w.rng.IntN(w.next)); w.open[id] != nil {
			delete(w.open, id)
			w.handle(Hangup{ID: id})
		}
	}
	for id, r := range w.open {
		if w.now > r.end+16*ms {
			w.t.Fatalf("%s has no answer %v after its end", id, w.now-r.end)
		}
	}
}

// Whatever the settings are, and whatever comes twice, too late or of what is not there: each request
// has one answer in time, and once none is left nothing is kept of any: no place, turn or unit.
func TestAnySettingsAndStrayEventsLeaveNothing(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		rng := rand.New(rand.NewPCG(seed, 2))
		w := &world{
			t: t, rng: rng, set: odd(rng), now: time.Hour, members: map[uint32]*Member{}, toldBad: map[uint32]bool{},
			open: map[string]*ask{},
		}
		w.set.MayCancel, w.set.Probes = false, false
		var err error
		if w.c, err = New(w.set, seed); err != nil {
			t.Fatal(err)
		}
		if w.set.SendCap == 0 { // no limit; world holds to one
			w.set.SendCap = math.MaxInt
		}
		for range 600 {
			w.turn(true)
		}
		for range 20000 {
			if w.turn(false); len(w.out)+len(w.open) == 0 {
				break
			}
		}
		c := w.c
		if n := len(c.reqs) + len(c.labels) + len(c.attempts) + c.inflight + c.streams; n != 0 || len(w.out)+len(w.open) != 0 {
			t.Fatalf("seed %d: %d requests, %d labels, %d attempts, %d in flight, %d streams are left", seed, len(c.reqs), len(c.labels),
				len(c.attempts), c.inflight, c.streams)
		}
		for _, p := range c.plans {
			if len(p.queue) > 0 {
				t.Fatalf("seed %d: %d wait in the queue of %s", seed, len(p.queue), p.Name)
			}
		}
		for key, q := range c.custs {
			if !q.idle() || math.IsNaN(q.level+q.ceiling+q.chance+q.openCap) {
				t.Fatalf("seed %d: customer %s has %d open, %g queued, %g and %g left", seed, key, q.open, q.queued, q.level, q.ceiling)
			}
		}
		for _, s := range c.order {
			if s.inflight != 0 || s.ghosts < 0 {
				t.Fatalf("seed %d: server %d has %d in flight, %d ghosts", seed, s.Server, s.inflight, s.ghosts)
			}
		}
		if math.IsNaN(c.bound+c.latency+c.retries) || c.bound < 0 {
			t.Fatalf("seed %d: a bound of %g, latency %g", seed, c.bound, c.latency)
		}
	}
}
