package fleetsim

import (
	"testing"
	"time"

	"lockflow/internal/simulation/fleetrules"
)

// The rules also hold on days with faults that no day in DayNames has, and a minimum of the load is served.
func TestHardDays(t *testing.T) {
	never := 24 * time.Hour
	for name, tc := range map[string]struct {
		script    func(w *world)
		minServed float64 // minimum served fraction of the load within quotas
	}{
		"all servers gone at once, others later": {func(w *world) {
			old := append([]*appServer(nil), w.hosts...)
			w.At(w.timeAt(0.3), func() {
				for _, h := range old {
					w.drain(h)
					w.After(2*time.Second, func() { w.remove(h) })
				}
			})
			w.At(w.timeAt(0.5), func() {
				for _, h := range old {
					w.boot(h.zone, h.cell)
				}
			})
		}, 0.25},
		// Little is served: without a warm server as a reference, all nodes together send each warming-up server one unit a second.
		"an empty list for 3 s, then all servers warming up": {func(w *world) {
			for _, h := range w.hosts {
				h.bootedAt = 0
				w.register(h)
				w.At(3*time.Second, func() { w.announce(h, true) })
			}
		}, 0.08},
		"all servers silent for 4 s": {func(w *world) { w.At(w.timeAt(0.3), func() { w.disconnectServers(4*time.Second, 1) }) }, 0.4},
		"no watch event arrives": {func(w *world) {
			w.listsSilentUntil = never
			w.replaceServers(0.4, 0.2, 0.6)
		}, 0.5},
		"two restarts within a second": {func(w *world) {
			for _, at := range []time.Duration{0, 600 * time.Millisecond} {
				w.At(w.timeAt(0.4)+at, func() {
					for i := range w.nodes {
						w.kill(i)
						w.After(300*time.Millisecond, func() { w.start(i) })
					}
				})
			}
			w.replaceServers(0.3, 0.3, 0.5)
		}, 0.6},
		"two planned restarts, a third killed meanwhile": {func(w *world) {
			for i := range w.nodes {
				w.At(w.timeAt(0.3), func() { w.terminate(i) })
				w.At(w.timeAt(0.3)+time.Second, func() { w.terminate(i) })
				if i%3 == 0 {
					w.At(w.timeAt(0.3)+2*time.Second, func() { w.kill(i) })
					w.At(w.timeAt(0.3)+2200*time.Millisecond, func() { w.start(i) })
				}
			}
		}, 0.3},
		"every server restarted with the same ID": {func(w *world) {
			for i, h := range w.hosts {
				w.At(w.timeAt(0.3)+time.Duration(i)*200*time.Millisecond, func() { w.reboot(h) })
			}
		}, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, n := range []int{1, 3, 40} {
				r, err := runDay(DayOptions{Day: "hard", Instances: n, Duration: 15 * time.Second, Seed: 2}, dayScript{script: tc.script})
				if err != nil || len(r.Broken) > 0 || r.Served < tc.minServed {
					t.Errorf("%d instances: %v %+v", n, err, r)
				}
			}
		})
	}
}

// Nodes whose group size is configured too small overload warming-up servers. Nodes whose group size is configured too
// large break no rule, but serve less.
func TestWrongGroupSizes(t *testing.T) {
	for _, tc := range []struct {
		instances, groupSize int
		want                 fleetrules.Rule
	}{{120, 1, fleetrules.WarmingUp}, {40, 40, ""}, {40, 160, ""}} {
		r := runDayOrFail(t, DayOptions{Day: "join", Instances: tc.instances, GroupSize: tc.groupSize, Duration: 15 * time.Second, Seed: 4, Load: 2})
		if tc.want == "" && len(r.Broken) > 0 || tc.want != "" && r.Broken[tc.want] == 0 || r.Served < 0.4 {
			t.Errorf("configured group size %d: %+v", tc.groupSize, r)
		}
	}
}
