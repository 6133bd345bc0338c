package control

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// serverFleet is the servers of the endpoint list, and what is known of all of them together.
type serverFleet struct {
	servers       map[uint32]*server
	sortedServers []*server // by number
	fleetEstimate
}

// newServerFleet returns a fleet without servers, given the maximum units of one request; 0 is no maximum.
func newServerFleet(maxUnits float64) serverFleet {
	fleet := serverFleet{servers: make(map[uint32]*server)}
	fleet.requestUnits.mean = (1 + math.Max(1, maxUnits)) / 2 // until there are requests
	return fleet
}

// merge takes a change of the endpoint list, or the complete list, and drops servers that are gone.
func (f *serverFleet) merge(
	now time.Duration, rng *rand.Rand, event EndpointList, settings *slowStartSettings,
) {
	for _, srv := range f.sortedServers {
		srv.isListed = srv.isListed && event.Kind == ListPatch
	}
	for _, endpoint := range event.Endpoints {
		srv := f.servers[endpoint.Server]
		if srv == nil {
			srv = &server{outlier: newOutlierDetector()}
			f.servers[endpoint.Server] = srv
			f.sortedServers = append(f.sortedServers, srv)
		} else if endpoint.State != Active {
			// Guards against an entry that holds no more than that: the server's zone and cell say
			// who drops repeats of what it may have run.
			srv.State = endpoint.State
			srv.isListed = endpoint.State != Gone
			continue
		}
		f.trackRestart(now, rng, srv, endpoint, settings)
		srv.Endpoint = endpoint
		srv.isListed = endpoint.State != Gone
	}
	sort.Slice(f.sortedServers, func(i, j int) bool {
		return f.sortedServers[i].Server < f.sortedServers[j].Server
	})
	f.removeGone()
}

// trackRestart takes a new entry of a server before it replaces the old one. What was known of an earlier
// incarnation is dropped, and a slow start begins.
func (f *serverFleet) trackRestart(
	now time.Duration, rng *rand.Rand, srv *server, endpoint Endpoint, settings *slowStartSettings,
) {
	if !endpoint.HasStartedAt {
		return
	}
	if !srv.HasStartedAt || endpoint.StartedAt > srv.StartedAt {
		srv.resetIncarnation()
	}
	if settings.isWarmingUp(now, endpoint.StartedAt) {
		srv.slowStart.begin(now, endpoint.StartedAt, rng.Float64()*f.requestUnits.mean)
	}
}

// removeGone drops servers that are not listed and have no attempts in flight.
func (f *serverFleet) removeGone() {
	remaining := f.sortedServers[:0]
	for _, srv := range f.sortedServers {
		if srv.isListed || srv.inFlight > 0 {
			remaining = append(remaining, srv)
		} else {
			delete(f.servers, srv.Server)
		}
	}
	f.sortedServers = remaining
}

// countServers counts the servers of which something holds; a float, as it enters quotients.
func (f *serverFleet) countServers(matches func(*server) bool) float64 {
	count := 0.0
	for _, srv := range f.sortedServers {
		if matches(srv) {
			count++
		}
	}
	return count
}
