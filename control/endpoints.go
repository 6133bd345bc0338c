package control

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// serverFleet holds the servers of the endpoint list and the estimates over all of them.
type serverFleet struct {
	servers       map[uint32]*server
	sortedServers []*server // by server number
	fleetEstimate
}

// newServerFleet returns an empty fleet. maxUnits is the maximum number of units of a request; 0 is no
// maximum.
func newServerFleet(maxUnits float64) serverFleet {
	fleet := serverFleet{servers: make(map[uint32]*server)}
	fleet.requestUnits.mean = (1 + math.Max(1, maxUnits)) / 2 // initial value until there are requests
	return fleet
}

// merge applies a change of the endpoint list, or the complete list, and removes servers that are gone.
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
			// Such an entry may hold no other fields. The server's zone and cell are kept, since they
			// determine which servers drop repeats of requests that it may have run.
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

// trackRestart handles a new entry of a server before it replaces the old one. If the server has restarted,
// it discards the state of the earlier incarnation; if it is warming up, it begins a slow start.
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

// removeGone removes servers that are not listed and have no attempts in flight.
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

// countServers returns the number of servers that match. It is a float because it is used in quotients.
func (f *serverFleet) countServers(matches func(*server) bool) float64 {
	count := 0.0
	for _, srv := range f.sortedServers {
		if matches(srv) {
			count++
		}
	}
	return count
}
