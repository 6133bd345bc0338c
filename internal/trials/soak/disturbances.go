package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"lockflow/internal/trials/faultnet/faultbuild"
	"lockflow/internal/trials/faultnet/script"
)

// maxDisturbanceTime bounds the random part of a disturbance's duration; a tenth of it is added as the minimum.
const maxDisturbanceTime = 1500 * time.Millisecond

// disturbances generates random disturbances and runs them concurrently.
type disturbances struct {
	play *play
	rng  *rand.Rand

	mu         sync.Mutex
	counts     map[string]int  // by kind
	list       []string        // a line for each disturbance
	busyPlaces map[string]bool // the places of running disturbances; a place has at most one at a time
	active     sync.WaitGroup
}

// disturbance is one randomly generated disturbance.
type disturbance struct {
	kind     string
	place    string // what it disturbs
	duration time.Duration
	// play applies the disturbance and ends it after its duration, or earlier if ctx ends.
	play func(ctx context.Context, t *disturbance) error
}

func newDisturbances(p *play, rng *rand.Rand) *disturbances {
	return &disturbances{play: p, rng: rng, counts: make(map[string]int), busyPlaces: make(map[string]bool)}
}

// run starts disturbances at random times during Options.Duration, and returns when all have ended.
func (t *disturbances) run(ctx context.Context) {
	sleep(ctx, undisturbedTime)
	drawing, cancel := context.WithTimeout(ctx, t.play.Duration)
	defer cancel()
	for drawing.Err() == nil {
		t.begin(ctx, t.draw())
		sleep(drawing, time.Duration(t.rng.Int64N(int64(2*time.Second)/int64(max(1, t.play.Disturbances)))))
	}
	t.active.Wait()
}

// begin starts a disturbance, unless another one is running at its place.
func (t *disturbances) begin(ctx context.Context, drawn disturbance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busyPlaces[drawn.place] {
		return
	}
	t.busyPlaces[drawn.place] = true
	t.counts[drawn.kind]++
	t.list = append(t.list, fmt.Sprintf("%v %s at %s for %v", time.Since(t.play.journal.started).Round(time.Millisecond), drawn.kind, drawn.place, drawn.duration.Round(time.Millisecond)))
	t.active.Go(func() {
		if err := drawn.play(ctx, &drawn); err != nil && ctx.Err() == nil {
			t.play.journal.addViolation("disturbance %q at %s failed: %v", drawn.kind, drawn.place, err)
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.busyPlaces, drawn.place)
	})
}

// draw generates a random disturbance.
func (t *disturbances) draw() disturbance {
	duration := maxDisturbanceTime/10 + time.Duration(t.rng.Int64N(int64(maxDisturbanceTime)))
	n := t.play.nodes[t.rng.IntN(len(t.play.nodes))]
	s := t.play.servers[t.rng.IntN(len(t.play.servers))]
	switch t.rng.IntN(8) {
	case 0, 1:
		return t.drawProcessDisturbance(n, duration)
	case 2:
		return t.drawClockStep(n, duration)
	case 3:
		return t.drawCallFault(n, duration)
	case 4:
		return t.drawLinkFault(n, s, duration)
	case 5:
		return silentDiscovery(n, 2*duration)
	default:
		return t.drawServerDisturbance(s, duration)
	}
}

// silentDiscovery returns a disturbance during which a node's discovery servers send no watch events.
func silentDiscovery(n *node, duration time.Duration) disturbance {
	const kind = "discovery is silent"
	return disturbance{kind, n.name + " discovery", duration, func(ctx context.Context, t *disturbance) error {
		defer n.beginMissingListEvents(kind)()
		n.setDiscoverySilent(true)
		sleep(ctx, t.duration)
		n.setDiscoverySilent(false)
		return nil
	}}
}

// drawProcessDisturbance generates a disturbance of a node's process, which is killed, suspended, switched to its other
// discovery server or terminated.
func (t *disturbances) drawProcessDisturbance(n *node, duration time.Duration) disturbance {
	place := n.name + " process"
	switch t.rng.IntN(6) {
	case 0:
		return disturbance{"kill", place, 0, func(ctx context.Context, _ *disturbance) error { return n.kill(ctx) }}
	case 1:
		return disturbance{"held up", place, suspensionTime, func(ctx context.Context, t *disturbance) error {
			if err := n.process.Pause(); err != nil {
				return err
			}
			sleep(ctx, t.duration)
			return n.process.Continue()
		}}
	case 2, 3:
		return disturbance{"new discovery", place, duration, func(ctx context.Context, t *disturbance) error {
			if err := n.switchDiscovery(); err != nil {
				return err
			}
			sleep(ctx, t.duration/4)
			return n.switchDiscovery()
		}}
	}
	plan := drawShutdown(t.rng)
	return disturbance{"end", place, 0, func(ctx context.Context, _ *disturbance) error { return n.terminate(ctx, plan) }}
}

// suspensionTime is the time for which a node's process is suspended.
const suspensionTime = 150 * time.Millisecond

// clockSteps are the possible offsets of a stepped wall clock.
var clockSteps = []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour}

// drawClockStep generates a step of a node's wall clock, which is undone at the end of the disturbance.
func (t *disturbances) drawClockStep(n *node, duration time.Duration) disturbance {
	step := clockSteps[t.rng.IntN(len(clockSteps))]
	return disturbance{"clock " + step.String(), n.name + " clock", duration, func(ctx context.Context, t *disturbance) error {
		n.table.StepClock(step)
		sleep(ctx, t.duration)
		n.table.StepClock(0)
		return nil
	}}
}

// callFault is a way in which a system call fails.
type callFault struct {
	name         string
	call         faultbuild.Call
	errno        syscall.Errno
	breaksClient bool // whether the fault may break a client's connection
}

// callFaults are the system call faults from which drawCallFault chooses.
var callFaults = []callFault{
	{"accept ENOBUFS", faultbuild.Accept, syscall.ENOBUFS, false},
	{"accept ENETDOWN", faultbuild.Accept, syscall.ENETDOWN, false},
	{"accept EMFILE", faultbuild.Accept, syscall.EMFILE, false},
	{"accept ECONNABORTED", faultbuild.Accept, syscall.ECONNABORTED, false},
	{"accept EPERM", faultbuild.Accept, syscall.EPERM, false},
	{"socket ENFILE", faultbuild.Socket, syscall.ENFILE, false},
	{"socket ENOBUFS", faultbuild.Socket, syscall.ENOBUFS, false},
	{"connect EADDRNOTAVAIL", faultbuild.Connect, syscall.EADDRNOTAVAIL, false},
	{"connect ENETUNREACH", faultbuild.Connect, syscall.ENETUNREACH, false},
	{"connect ETIMEDOUT", faultbuild.Connect, syscall.ETIMEDOUT, false},
	{"connect EAGAIN", faultbuild.Connect, syscall.EAGAIN, false},
	{"short reads", faultbuild.SocketRead, faultbuild.ErrShortTransfer, false},
	{"short writes", faultbuild.SocketWrite, faultbuild.ErrShortTransfer, false},
	{"read EINTR", faultbuild.SocketRead, syscall.EINTR, false},
	{"write EINTR", faultbuild.SocketWrite, syscall.EINTR, false},
	{"read ETIMEDOUT", faultbuild.SocketRead, syscall.ETIMEDOUT, true},
	{"read EHOSTUNREACH", faultbuild.SocketRead, syscall.EHOSTUNREACH, true},
	{"write ETIMEDOUT", faultbuild.SocketWrite, syscall.ETIMEDOUT, true},
	{"write EHOSTUNREACH", faultbuild.SocketWrite, syscall.EHOSTUNREACH, true},
	{"write ENOBUFS", faultbuild.SocketWrite, syscall.ENOBUFS, true},
}

// isRetriedImmediately reports whether callers retry the failed call without a delay.
func (f *callFault) isRetriedImmediately() bool {
	return f.errno == syscall.EINTR || f.errno == syscall.ECONNABORTED
}

// drawCallFault generates a disturbance in which every interval-th system call of one kind fails in a node.
func (t *disturbances) drawCallFault(n *node, duration time.Duration) disturbance {
	fault := callFaults[t.rng.IntN(len(callFaults))]
	interval := 1 + t.rng.IntN(7)
	// A call that is retried immediately must not fail each time. Faults that may break clients' connections are kept as rare.
	if fault.breaksClient || fault.isRetriedImmediately() {
		interval = 5 + t.rng.IntN(40)
	}
	// If every accept failed, a connection could stay in the listener's queue until the process ends, and its request would
	// get no answer.
	if fault.call == faultbuild.Accept {
		interval = max(interval, 2)
	}
	return disturbance{fault.name, n.name + " calls", duration, func(ctx context.Context, t *disturbance) error {
		defer n.beginMissingListEvents(fault.name)() // system calls on the connection to the discovery server may fail too
		if fault.breaksClient {
			end := n.beginDisturbance(fault.name)
			defer end()
		}
		n.table.Fail(fault.call, fault.errno, interval)
		sleep(ctx, t.duration)
		n.table.Heal(fault.call)
		return nil
	}}
}

// linkFaults are the faults of the link between a node and an app server. None of them delays bytes, because the journal
// checks attempts by their time of arrival.
var linkFaults = []script.Fault{
	{Kind: script.Cut},
	{Kind: script.Lost},
	{Kind: script.Blackhole},
	{Kind: script.Refuse},
	{Kind: script.Reset, Direction: script.Forth, Bytes: 100},
	{Kind: script.Reset, Direction: script.Back, Bytes: 30},
}

// drawLinkFault generates a fault of the link between a node and an app server.
func (t *disturbances) drawLinkFault(n *node, s *server, duration time.Duration) disturbance {
	fault := linkFaults[t.rng.IntN(len(linkFaults))]
	link := n.linkTo(s)
	return disturbance{"link " + fault.Kind.String(), n.name + " to " + s.uid, duration, func(ctx context.Context, t *disturbance) error {
		if err := link.Set(fault); err != nil {
			return err
		}
		sleep(ctx, t.duration)
		link.Break()
		return link.Heal()
	}}
}

// drawServerDisturbance generates a disturbance of an app server, which is listed as draining or removed, restarts, or
// responds incorrectly.
func (t *disturbances) drawServerDisturbance(s *server, duration time.Duration) disturbance {
	p := t.play
	switch t.rng.IntN(4) {
	case 0:
		state := []string{"draining", "removed"}[t.rng.IntN(2)]
		return disturbance{state, s.uid, 2 * duration, func(ctx context.Context, t *disturbance) error {
			s.setState(state, time.Now())
			p.publish(s)
			sleep(ctx, drainGrace+t.duration)
			s.setState("up", time.Now())
			p.publish(s)
			return nil
		}}
	case 1:
		return disturbance{"restart cold", s.uid, warmupTime / 3, func(ctx context.Context, t *disturbance) error {
			err := s.restart(time.Now())
			if err == nil {
				p.publish(s)
			}
			sleep(ctx, t.duration)
			return err
		}}
	}
	mode := 1 + behaviour(t.rng.IntN(int(behaviourCount)-1))
	return disturbance{"server " + behaviourNames[mode], s.uid, duration, func(ctx context.Context, t *disturbance) error {
		s.mode.Store(int32(mode))
		sleep(ctx, t.duration)
		s.mode.Store(int32(respondsNormally))
		return nil
	}}
}

// publish points all links to an app server at its current address, and updates its entry in all discovery servers.
func (p *play) publish(s *server) {
	for _, n := range p.nodes {
		link := n.linkTo(s)
		link.To(s.address())
		n.publish(s)
	}
}

// setDiscoverySilent stops or resumes the watch events of the node's discovery servers.
func (n *node) setDiscoverySilent(silent bool) {
	for _, d := range n.discoveries {
		d.SetSilent(silent)
	}
}
