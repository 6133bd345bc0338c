package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/fleetrules"
)

// This file has the scripts of days. A script schedules the events of servers, nodes, endpoint lists, the meter and
// clients. Most of its times are fractions of the day, so that a shorter day has the same events.

// dayScript is the script of a day. All fractions default to 0.
type dayScript struct {
	help   string // one-line description
	script func(w *world)

	faultyFraction              float64       // fraction of the initial servers that are faulty
	isFailing                   bool          // faulty servers fail 80 % of their requests at once; otherwise they are five times slower
	lostFraction, resetFraction float64       // fraction of responses that are lost, and of attempts whose connection is reset
	corruptFraction             float64       // fraction of responses that are corrupt
	leavingFraction             float64       // fraction of requests whose client disconnects before the answer
	retriesImmediately          bool          // clients retry within 100 ms, and more often
	listDelay                   time.Duration // additional delay of endpoint lists
	slowConnectFraction         float64       // fraction of new connections that take up to maxSlowConnect
	hasLongDrains               bool          // one in three replaced servers drains longer
	hasFreshCustomers           bool          // half of the calls come from new customers that make one call only
	quotas                      *quotaDay     // customers and quotas of a deployment; nil uses those of world
	// settings changes the nodes' settings for this day; nil changes nothing.
	settings func(s *control.Settings)
}

// DayNames are the days that the fleet test simulates, in this order. Day also accepts "throng".
var DayNames = []string{"calm", "roll", "herd", "zone", "split", "join", "long"}

// days maps the names of days to their scripts.
var days = map[string]dayScript{
	"calm": {help: "no fault; a burst of half as much again", script: func(w *world) {
		w.At(w.timeAt(0.4), func() { w.arrivalRate *= 1.5 })
		w.At(w.timeAt(0.6), func() { w.arrivalRate /= 1.5 })
	}},
	"roll": {help: "half of the servers replaced while all instances restart and discovery moves", script: func(w *world) {
		w.replaceServers(0.5, 0.15, 0.75)
		tenth := max(1, len(w.nodes)/10)
		for i := range w.nodes {
			at := w.timeAt(0.2 + 0.6*float64(i/tenth)/10)
			w.At(at, func() { w.terminate(i) })
		}
		w.At(w.timeAt(0.45), func() { w.listsSilentUntil = w.Now() + 4*time.Second }) // no list arrives until the nodes have connected to the new discovery service
	}},
	"herd": {help: "seven in ten instances killed at once during a release", faultyFraction: 1.0 / 8, isFailing: true, script: func(w *world) {
		w.replaceServers(0.5, 0.3, 0.7)
		w.At(w.timeAt(0.45), func() {
			for i := range w.nodes {
				if w.rng.Float64() < 0.7 {
					w.kill(i)
					w.After(1500*time.Millisecond, func() { w.start(i) })
				}
			}
		})
	}},
	"zone": {help: "a third of the servers lost for 5 s and back cold; some are slow", faultyFraction: 1.0 / 8, script: func(w *world) {
		w.At(w.timeAt(0.3), func() { w.loseZone(5 * time.Second) })
		w.At(w.timeAt(0.7), func() { w.disconnectServers(3*time.Second, 3) })
	}},
	"split": {
		help: "a fifth of the servers silent, lists late, no meter, answers lost", lostFraction: 0.01, resetFraction: 0.01, listDelay: 2500 * time.Millisecond,
		script: func(w *world) {
			w.At(w.timeAt(0.3), func() {
				w.disconnectServers(6*time.Second, 5)
				w.meterDown = true
			})
			w.At(w.timeAt(0.3)+6*time.Second, func() { w.meterDown = false })
			w.replaceServers(0.2, 0.4, 0.6)
		},
	},
	"join": {
		help: "six in ten servers replaced in a quarter of the day; clients leave early or come again at once", corruptFraction: 0.005, leavingFraction: 0.03, retriesImmediately: true, slowConnectFraction: 0.05, hasLongDrains: true,
		script: func(w *world) {
			w.replaceServers(0.6, 0.25, 0.5)
			w.At(w.timeAt(0.35), w.silenceWatches)
		},
	},
	"throng": {help: "new servers join and others come back cold under a burst", corruptFraction: 0.005, script: func(w *world) {
		for i, h := range w.hosts {
			if i%4 == 0 {
				w.At(w.timeAt(0.25), func() { h.state = hostSilent })
				w.At(w.timeAt(0.35), func() { w.reboot(h) })
			}
		}
		w.At(w.timeAt(0.35), func() {
			w.arrivalRate *= 2
			for i := range len(w.hosts) / 4 {
				w.boot(fmt.Sprintf("z%d", i%dayZones), i/dayCellSize)
			}
		})
		w.At(w.timeAt(0.85), func() { w.arrivalRate /= 2 })
	}},
	"long": {help: "servers and customers ever new", hasFreshCustomers: true, script: func(w *world) {
		for k := range 8 {
			w.replaceServers(0.25, float64(k)/8, float64(k)/8+0.1)
		}
	}},
}

// DayHelp returns a one-line description of a day.
func DayHelp(name string) string { return days[name].help }

func (w *world) timeAt(fraction float64) time.Duration {
	return time.Duration(fraction * float64(w.options.Duration))
}

// replaceServers replaces a fraction of the available servers by new ones, in steps between two fractions of the day.
// For each, the new server starts and is listed, then the old one drains, then the old one ends.
func (w *world) replaceServers(fraction, from, to float64) {
	w.At(w.timeAt(from), func() {
		var old []*appServer
		for _, host := range w.hosts {
			if host.state == hostUp && !host.isFaulty && !host.isBeingReplaced {
				old = append(old, host)
			}
		}
		w.rng.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
		old = old[:int(fraction*float64(len(old)))]
		const steps = 8
		for i, host := range old {
			host.isBeingReplaced = true
			w.After(w.timeAt(to-from)*time.Duration(i*steps/len(old))/steps, func() {
				w.boot(host.zone, host.cell)
				w.After(1500*time.Millisecond, func() { w.drain(host) })
				remaining := 6 * time.Second
				if w.script.hasLongDrains && i%3 == 0 { // longer than the time after which a node that was not notified still sends to the server
					remaining = 14 * time.Second
				}
				w.After(remaining, func() { w.remove(host) })
			})
		}
	})
}

// loseZone makes the servers of zone "z0" unreachable for a time and then restarts them.
func (w *world) loseZone(duration time.Duration) {
	for _, host := range w.hosts {
		if host.zone == "z0" && host.state == hostUp {
			host.state = hostSilent
			w.After(duration, func() { w.reboot(host) })
		}
	}
}

// silenceWatches makes the watches of six in ten nodes silent. Such a node receives no watch events until it has
// detected the silence and opened a new watch.
func (w *world) silenceWatches() {
	for _, n := range w.nodes {
		if w.rng.Float64() < 0.6 {
			n.watchSilentSince, n.watchSilentUntil = w.Now(), w.Now()+watchSilence
			if w.options.Mutation.keepsSilentWatches {
				n.watchSilentUntil = 24 * time.Hour
			}
		}
	}
}

// disconnectServers disconnects every interval-th server from the network for a time. The servers continue to process
// the requests that they have received.
func (w *world) disconnectServers(duration time.Duration, interval int) {
	for i, host := range w.hosts {
		if i%interval == 0 && host.state == hostUp {
			host.disconnectedUntil = w.Now() + duration
		}
	}
}

// Mutation removes one safeguard of a node. A test verifies that the checker then finds breaches of the mutation's rule
// on the mutation's day.
type Mutation struct {
	Name string
	Rule fleetrules.Rule // the rule that the mutation breaks
	Day  string

	settings           func(w *world, n *node)
	filterList         func(w *world, m []listedEndpoint) []listedEndpoint
	dropsTimers        bool // timers with a label other than 0, which are those of requests, never fire
	sendsTwice         bool // each attempt arrives at its server twice
	answersTwice       bool // each final answer is given twice
	rejectsFailures    bool // failed requests are answered as rejected, which tells clients that a retry is harmless
	dropsInFlight      bool // a node drops its requests in flight at a planned restart
	keepsSilentWatches bool // nodes do not replace silent watches
	resendsResets      bool // the transport sends an attempt again if its connection was reset

	// Load and Instances are the load and the minimum number of nodes at which the checker finds the breach. 0 keeps the
	// value of the DayOptions.
	Load      float64
	Instances int
}

// Options returns the options of a day on which the checker has to find the mutation's breaches.
func (m *Mutation) Options(o DayOptions) DayOptions {
	o.Day, o.Mutation, o.Instances = m.Day, m, max(o.Instances, m.Instances)
	if m.Load > 0 {
		o.Load = m.Load
	}
	return o
}

// Mutations lists all mutations.
var Mutations = []Mutation{
	{Name: "the group's size is taken as 1", Rule: fleetrules.WarmingUp, Day: "join", Instances: 120, settings: func(_ *world, n *node) { n.settings.GroupSize, n.settings.SelfIndex = 1, 0 }},
	{Name: "a cold server is held able to do all from its start", Rule: fleetrules.WarmingUp, Day: "herd", settings: func(_ *world, n *node) { n.settings.InitialCapacity, n.settings.OverloadMultiple = 1, 50 }},
	{Name: "drains are not heard", Rule: fleetrules.Drain, Day: "join", filterList: func(_ *world, m []listedEndpoint) []listedEndpoint {
		var up []listedEndpoint
		for _, one := range m {
			if one.isUp {
				up = append(up, one)
			}
		}
		return up
	}},
	{Name: "a silent watch is not opened anew", Rule: fleetrules.Drain, Day: "join", keepsSilentWatches: true},
	{Name: "a repeat may go to any server", Rule: fleetrules.DuplicateEffect, Day: "split", settings: func(_ *world, n *node) { n.settings.Classes[1].KeyScope = 0 }},
	{Name: "a repeat may go at any time", Rule: fleetrules.DuplicateEffect, Day: "split", Load: 2, settings: func(_ *world, n *node) { n.settings.Classes[1].RepeatWindow = time.Hour }},
	{Name: "an attempt goes out twice", Rule: fleetrules.DuplicateEffect, Day: "calm", sendsTwice: true},
	{Name: "the transport sends again what was reset", Rule: fleetrules.DuplicateEffect, Day: "split", resendsResets: true},
	{Name: "what may have run is refused", Rule: fleetrules.DuplicateEffect, Day: "split", Load: 3, rejectsFailures: true},
	{Name: "neither ceiling nor quota is looked at", Rule: fleetrules.HardLimit, Day: "calm", Load: 2, settings: func(_ *world, n *node) {
		n.settings.Plans[1].HardLimitRate, n.settings.Plans[1].QuotaRate = 0, 0
	}},
	{Name: "each instance grants the whole ceiling", Rule: fleetrules.HardLimit, Day: "calm", Load: 2, settings: func(_ *world, n *node) { n.grantsFullHardLimit = true }},
	{Name: "a request's timers never come", Rule: fleetrules.Answer, Day: "zone", Load: 4, dropsTimers: true},
	{Name: "a final answer is given twice", Rule: fleetrules.Answer, Day: "calm", answersTwice: true},
	{Name: "what is held at an end is dropped", Rule: fleetrules.Answer, Day: "roll", dropsInFlight: true},
}

func newRand(seed uint64, streamID uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, streamID*0x9e3779b97f4a7c15+1))
}

func dayByName(name string) (dayScript, error) {
	d, ok := days[name]
	if !ok {
		return d, fmt.Errorf("unknown day %q; expected one of %v", name, DayNames)
	}
	return d, nil
}
