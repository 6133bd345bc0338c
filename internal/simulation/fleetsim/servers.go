package fleetsim

import (
	"math"
	"time"

	"lockflow/control"
	"lockflow/internal/simulation/fleetrules"
)

// This file simulates app servers and the watch events about them.

func (w *world) newHost(zone string, cell int, startedAt time.Duration) *appServer {
	host := &appServer{id: uint32(len(w.hosts) + 1), zone: zone, cell: cell, bootedAt: startedAt, connections: map[int]time.Duration{}}
	w.hosts = append(w.hosts, host)
	w.hostByID[host.id] = host
	w.register(host)
	return host
}

func (w *world) register(host *appServer) {
	startedAt := host.bootedAt
	w.checker.ServerStarted(host.id, fleetrules.Server{Zone: host.zone, Cell: host.cell, Capacity: func(at time.Duration) (float64, bool) {
		warm := warmthAt(at - startedAt)
		return warm * dayCores, warm < 1
	}})
}

// warmthAt returns the speed of a server at a time after its start, as a fraction of its full speed. It follows the
// warm-up curve of the nodes' settings: from 0.15 to 1 within 15 s.
func warmthAt(sinceStart time.Duration) float64 {
	return math.Min(1, 0.15+0.85*sinceStart.Seconds()/15)
}

// boot starts a new server. The endpoint list contains it after startListingDelay.
func (w *world) boot(zone string, cell int) {
	host := w.newHost(zone, cell, w.Now())
	w.After(startListingDelay, func() { w.announce(host, true) })
}

func (w *world) reboot(host *appServer) {
	host.state = hostUp
	host.bootedAt = w.Now()
	host.incarnation++
	host.inFlight = 0
	clear(host.connections)
	host.coreFreeAt = [dayCores]time.Duration{}
	w.register(host)
	w.After(startListingDelay, func() { w.announce(host, true) })
}

func (w *world) drain(host *appServer) {
	if host.state == hostUp {
		host.state = hostDraining
	}
	w.After(endListingDelay/2, func() { w.announce(host, false) })
}

func (w *world) remove(host *appServer) {
	host.state = hostGone
	host.incarnation++
}

func (w *world) endpointOf(host *appServer) listedEndpoint {
	isUp := host.state == hostUp || host.state == hostSilent
	endpoint := control.Endpoint{Server: host.id, State: control.Active, Zone: host.zone, Cell: host.cell, Size: 1}
	if !isUp {
		endpoint.State = control.Draining
		if host.state == hostGone {
			endpoint.State = control.Gone
		}
	}
	if host.bootedAt > -time.Hour {
		endpoint.HasStartedAt, endpoint.StartedAt = true, host.bootedAt+moduleClockOffset
	}
	return listedEndpoint{endpoint, isUp}
}

// announce sends a watch event about a server to every node. The delay of each node is random, plus the list delay of
// the day's script. A node counts as notified of a removal at the latest after maxNotificationDelay.
func (w *world) announce(host *appServer, isUp bool) {
	endpoint, initialIncarnation, changedAt := w.endpointOf(host), host.incarnation, w.Now()
	for instance := range w.nodes {
		arrives := changedAt + time.Duration(w.rng.Int64N(int64(400*time.Millisecond))) + w.script.listDelay
		arrives = max(arrives, w.listsSilentUntil, w.nodes[instance].watchSilentUntil)
		notifiedAt := min(arrives, changedAt+maxNotificationDelay)
		if n := w.nodes[instance]; changedAt < n.watchSilentUntil {
			notifiedAt = min(notifiedAt, max(changedAt, n.watchSilentSince+maxNotificationDelay))
		}
		if !isUp {
			w.At(notifiedAt, func() { w.checker.Notified(w.Now(), instance, host.id, false) })
		}
		w.At(arrives, func() {
			if n := w.nodes[instance]; !n.down {
				n.knownIncarnations[host.id] = initialIncarnation
				w.sendList(instance, control.ListPatch, []listedEndpoint{endpoint})
			}
		})
	}
}
