package service

import (
	"slices"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/upstream"
)

// SetSource switches the service to another source of its endpoint list. What the module has learned about a
// server is retained if the new source lists the same uid.
func (s *Service) SetSource(source discovery.Source) {
	s.log.Info("endpoint list source changed", "address", source.Address, "file", source.Path)
	s.feed.SetSource(source)
}

// Endpoints returns the service's current endpoint list.
func (s *Service) Endpoints() discovery.EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointList()
}

// endpointList is Endpoints for callers that hold s.mu.
func (s *Service) endpointList() discovery.EndpointList {
	list := discovery.EndpointList{Revision: s.revision, IsComplete: true}
	for _, target := range s.endpoints {
		list.Endpoints = append(list.Endpoints, target)
	}
	return list
}

// mergeEndpoints applies a message of the source to the service's endpoint list. It is called with s.mu held.
func (s *Service) mergeEndpoints(list discovery.EndpointList) {
	if list.Invalid.Count > 0 {
		s.log.Warn("invalid endpoint list entries ignored", "entries", list.Invalid.Count, "err", list.Invalid.FirstError)
	}
	if list.IsComplete {
		clear(s.endpoints)
	}
	for _, target := range list.Endpoints {
		if target.EndpointState() == control.Gone {
			delete(s.endpoints, target.UID)
		} else {
			s.endpoints[target.UID] = target
		}
	}
	s.revision = list.Revision
}

// receiveEndpoints handles a message of the source. The list is stored before the current loop is notified,
// so that a loop that is started in between gets the message in either case.
func (s *Service) receiveEndpoints(list discovery.EndpointList) {
	s.mu.Lock()
	s.mergeEndpoints(list)
	l := s.loop
	s.mu.Unlock()
	kind := control.ListPatch
	if list.IsComplete {
		kind = control.ListComplete
	}
	s.postEndpoints(l, kind, list)
}

// postEndpoints notifies a loop of a list. The service becomes ready when the first server is listed.
func (s *Service) postEndpoints(l *loop, kind control.ListKind, list discovery.EndpointList) {
	l.post(func() {
		l.updateEndpoints(kind, list)
		if len(l.serverIDs) > 0 && !s.isReady.Swap(true) && s.options.OnReady != nil {
			s.options.OnReady()
		}
	})
}

// updateEndpoints applies a message of the source to the server ids and connection pools, and notifies the
// module of it. Servers that are no longer listed are removed.
func (l *loop) updateEndpoints(kind control.ListKind, list discovery.EndpointList) {
	event := control.EndpointList{Kind: kind}
	isListed := make(map[string]bool)
	now := readClocks()
	for i := range list.Endpoints {
		target := &list.Endpoints[i]
		id := l.serverID(target.UID)
		startedAt := l.serverStart(target, now)
		endpoint := l.newEndpoint(id, target, startedAt)
		event.Endpoints = append(event.Endpoints, endpoint)
		isListed[target.UID] = endpoint.State != control.Gone
		if l.recorder != nil {
			l.recorder.serverListed(id, target.UID, startedAt)
		}
		l.updatePool(endpoint, target, startedAt, now.monotonic)
	}
	for uid, id := range l.serverIDs {
		remainsListed, isInMessage := isListed[uid]
		if !isInMessage {
			remainsListed = kind == control.ListPatch
		}
		if !remainsListed {
			l.forgetServer(uid, id)
		}
	}
	if kind != control.ListCached { // a cached list may be of any age
		l.starts.listReceived(now.monotonic, l.serverIDs)
	}
	l.handle(event)
	l.restoreListedServers()
}

// serverStart returns when a listed server started; zero, which counts as long ago, if the list has no valid time.
func (l *loop) serverStart(target *discovery.Endpoint, now clockReading) time.Time {
	if !(target.StartedAtMS > 0 && target.StartedAtMS < maxBootMS) {
		return time.Time{}
	}
	return l.starts.resolve(target.UID, target.StartedAtMS, now)
}

// serverID returns the module's id of a server, and assigns a new one to a uid that is not listed.
func (l *loop) serverID(uid string) uint32 {
	id, ok := l.serverIDs[uid]
	if !ok {
		l.lastServerID++
		id = l.lastServerID
		l.serverIDs[uid] = id
	}
	return id
}

// newEndpoint converts an entry of the endpoint list into the module's form.
func (l *loop) newEndpoint(id uint32, target *discovery.Endpoint, startedAt time.Time) control.Endpoint {
	endpoint := control.Endpoint{
		Server: id,
		State:  target.EndpointState(),
		Zone:   target.Zone,
		Cell:   target.Group,
		Flavor: target.Model,
		Size:   target.Capacity,
	}
	if !startedAt.IsZero() {
		endpoint.HasStartedAt = true
		endpoint.StartedAt = l.clock.at(startedAt)
	}
	return endpoint
}

// updatePool creates a connection pool for a server that takes new requests, and retires the pool of a server that
// does not, or whose address or protocol has changed. listedAt is the time of the message with the entry.
func (l *loop) updatePool(endpoint control.Endpoint, target *discovery.Endpoint, startedAt, listedAt time.Time) {
	id := endpoint.Server
	isAvailable := endpoint.State == control.Active
	if isAvailable { // an entry in any other state may have no further fields
		l.locations[id] = serverLocation{endpoint.Zone, endpoint.Cell}
		l.warmups.addServer(id, startedAt)
	}
	protocol := l.protocolOf(target)
	pool := l.pools[id]
	switch {
	case pool == nil:
	case !isAvailable || pool.Endpoint != target.Address || pool.Protocol != protocol:
		l.retirePool(id)
	case endpoint.HasStartedAt:
		// Connections to a machine that vanished without closing them still seem to be open.
		l.upstream.CloseIdleBefore(pool, startedAt)
	}
	if isAvailable && l.pools[id] == nil {
		pool := l.upstream.NewPool(target.Address, protocol)
		l.pools[id] = pool
		if l.addresses.begin(target.Address, id, target.UID, listedAt) {
			l.upstream.SuspectProcess(pool, listedAt.Add(upstream.IdentityDelay))
		}
	}
}

// protocolOf returns the protocol for a server.
func (l *loop) protocolOf(target *discovery.Endpoint) upstream.Protocol {
	if target.Protocol == "" {
		return l.defaultProtocol
	}
	return upstream.Protocol(slices.Index(discovery.Protocols, target.Protocol))
}

// forgetServer removes a server that is no longer listed from the loop. Its id is not reused.
func (l *loop) forgetServer(uid string, id uint32) {
	l.retirePool(id)
	delete(l.serverIDs, uid)
	delete(l.locations, id)
	l.warmups.removeServer(id)
	if l.recorder != nil {
		l.recorder.serverRemoved(id)
	}
}

// retirePool closes the connections to a server (those in use once they are returned to the pool).
func (l *loop) retirePool(server uint32) {
	pool := l.pools[server]
	if pool != nil {
		l.upstream.RetirePool(pool)
		delete(l.pools, server)
		l.addresses.end(pool.Endpoint, server, time.Now())
	}
}

// reconnect replaces the connections to a server with new ones.
func (l *loop) reconnect(server uint32) {
	if pool := l.pools[server]; pool != nil {
		l.upstream.RetirePool(pool)
		l.pools[server] = l.upstream.NewPool(pool.Endpoint, pool.Protocol)
	}
}
