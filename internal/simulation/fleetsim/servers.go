package fleetsim

import (
	"math"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/fleetrules"
)

// App servers and the endpoint lists with them.

func (w *world) newHost(zone string, cell int, boot time.Duration) *host {
	h := &host{id: uint32(len(w.hosts) + 1), zone: zone, cell: cell, bootedAt: boot, connections: map[int]time.Duration{}}
	w.hosts = append(w.hosts, h)
	w.byID[h.id] = h
	w.register(h)
	return h
}

func (w *world) register(h *host) {
	boot := h.bootedAt
	w.checker.Started(h.id, fleetrules.Server{Zone: h.zone, Cell: h.cell, Capacity: func(at time.Duration) (float64, bool) {
		warm := warmthAt(at - boot)
		return warm * dayCores, warm < 1
	}})
}

// warmthAt returns the fraction of its full speed that a server has some time after its start, as the
// settings assume.
func warmthAt(since time.Duration) float64 {
	return math.Min(1, 0.15+0.85*since.Seconds()/15)
}

// boot starts a new server, which is listed some time later.
func (w *world) boot(zone string, cell int) {
	h := w.newHost(zone, cell, w.Now())
	w.After(listDelayOfStart, func() { w.announce(h, true) })
}

func (w *world) reboot(h *host) {
	h.state = hostUp
	h.bootedAt = w.Now()
	h.incarnation++
	h.inFlight = 0
	clear(h.connections)
	h.coreFreeAt = [dayCores]time.Duration{}
	w.register(h)
	w.After(listDelayOfStart, func() { w.announce(h, true) })
}

func (w *world) drain(h *host) {
	if h.state == hostUp {
		h.state = hostDraining
	}
	w.After(listDelayOfEnd/2, func() { w.announce(h, false) })
}

func (w *world) remove(h *host) {
	h.state = hostGone
	h.incarnation++
}

func (w *world) endpointOf(h *host) listed {
	up := h.state == hostUp || h.state == hostSilent
	m := control.Endpoint{Server: h.id, State: control.Active, Zone: h.zone, Cell: h.cell, Size: 1}
	if !up {
		m.State = control.Draining
		if h.state == hostGone {
			m.State = control.Gone
		}
	}
	if h.bootedAt > -time.Hour {
		m.HasStartedAt, m.StartedAt = true, h.bootedAt+firstUse
	}
	return listed{m, up}
}

// announce sends a watch event to every node's agent, each with a delay of its own and the one of this day.
// After maxNotificationDelay a node counts as notified in any case.
func (w *world) announce(h *host, up bool) {
	e, life, changedAt := w.endpointOf(h), h.incarnation, w.Now()
	for i := range w.nodes {
		arrives := changedAt + time.Duration(w.rng.Int64N(int64(400*time.Millisecond))) + w.script.listDelay
		arrives = max(arrives, w.listsSilentUntil, w.nodes[i].watchSilentUntil)
		notifiedAt := min(arrives, changedAt+maxNotificationDelay)
		if n := w.nodes[i]; changedAt < n.watchSilentUntil {
			notifiedAt = min(notifiedAt, max(changedAt, n.watchSilentSince+maxNotificationDelay))
		}
		if !up {
			w.At(notifiedAt, func() { w.checker.Notified(w.Now(), i, h.id, false) })
		}
		w.At(arrives, func() {
			if n := w.nodes[i]; !n.down {
				n.knownIncarnations[h.id] = life
				w.sendList(i, control.ListPatch, []listed{e})
			}
		})
	}
}
