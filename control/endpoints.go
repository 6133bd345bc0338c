package control

import (
	"sort"
	"time"
)

// mergeList takes a list of endpoints, and drops servers that are gone.
func (c *Controller) mergeList(event EndpointList) {
	for _, srv := range c.sortedServers {
		srv.isListed = srv.isListed && event.Kind == ListPatch
	}
	for _, endpoint := range event.Endpoints {
		srv := c.servers[endpoint.Server]
		if srv == nil {
			srv = &server{outlier: outlierDetector{planRejectedUntil: make(map[*planQueue]time.Duration)}}
			c.servers[endpoint.Server] = srv
			c.sortedServers = append(c.sortedServers, srv)
		} else if endpoint.State != Active {
			// Guards against an entry that holds no more than that: the server's zone and cell say
			// who drops repeats of what it may have run.
			srv.State = endpoint.State
			srv.isListed = endpoint.State != Gone
			continue
		}
		c.trackRestart(srv, endpoint)
		srv.Endpoint = endpoint
		srv.isListed = endpoint.State != Gone
	}
	sort.Slice(c.sortedServers, func(i, j int) bool { return c.sortedServers[i].Server < c.sortedServers[j].Server })
	c.removeGoneServers()
}

// removeGoneServers drops servers that are not listed and have no attempts in flight.
func (c *Controller) removeGoneServers() {
	remaining := c.sortedServers[:0]
	for _, srv := range c.sortedServers {
		if srv.isListed || srv.inFlight > 0 {
			remaining = append(remaining, srv)
		} else {
			delete(c.servers, srv.Server)
		}
	}
	c.sortedServers = remaining
}

// countServers counts the servers of which something holds; a float, as it enters quotients.
func (c *Controller) countServers(matches func(*server) bool) float64 {
	count := 0.0
	for _, srv := range c.sortedServers {
		if matches(srv) {
			count++
		}
	}
	return count
}
