package service

import (
	"slices"
	"sync"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// State is what a service has spent of its quotas and learned. It can be stored, and restored by another process.
type State struct {
	Checkpoint control.Checkpoint `cbor:"checkpoint"`
	Servers    map[uint32]string  `cbor:"servers"` // the uid of each server number in Checkpoint
	// Starts are the start times of servers, where known, by uid.
	Starts map[string]ServerStart `cbor:"starts,omitempty"`
	// RecentRuns are the ids of requests that must not run again, if the state is handed over to another process.
	RecentRuns []string `cbor:"recent_runs,omitempty"`
}

// shift converts the times of a state to this process's module clock, on which the state was taken at takenAt.
func (s *State) shift(takenAt time.Duration) {
	difference := takenAt - s.Checkpoint.At
	s.Checkpoint.Shift(difference)
	for uid, start := range s.Starts {
		start.StartedAt += difference
		s.Starts[uid] = start
	}
}

// Checkpoint returns the state of the service. It returns false if the service has ended or its module has no state.
func (s *Service) Checkpoint() (state State, ok bool) {
	l := s.currentLoop()
	ok = l.useStatefulModule(func(m StatefulModule) { state = l.newState(m.Checkpoint(l.now())) })
	return state, ok
}

// HandOver is like Checkpoint, but hands over a fraction, from 0 to 1, of the remaining tokens to another process; see
// control.Controller.HandOver. The leases of shared hard limits are handed over completely.
func (s *Service) HandOver(fraction float64) (state State, ok bool) {
	l := s.currentLoop()
	ok = l.useStatefulModule(func(m StatefulModule) {
		state = l.newState(m.HandOver(l.now(), fraction))
		state.RecentRuns = l.recentRuns.export()
		l.resignLeases()
	})
	return state, ok
}

// Rejoin ends the split of quotas that HandOver or Restore has started, after the other process has ended. returned is
// the state that is known to be left unspent by that process; nil if that is not known.
func (s *Service) Rejoin(returned *State) {
	l := s.currentLoop()
	l.useStatefulModule(func(m StatefulModule) {
		l.reclaimLeases()
		if returned == nil {
			m.ReclaimRates(l.now(), nil)
			return
		}
		l.recentRuns.restore(returned.RecentRuns)
		checkpoint := l.translateServers(*returned)
		m.ReclaimRates(l.now(), &checkpoint)
	})
}

// Restore has the service start from the state of another process, which was taken age ago. It is called before the
// service's first request. The caller must not use the state afterwards.
func (s *Service) Restore(state State, age time.Duration, trust control.Trust) {
	s.recentRuns.restore(state.RecentRuns)
	state.shift(s.clock.now() - age)
	s.restoreFrom(func() (transfer, bool) { return transfer{State: state}, true }, trust)
}

// PredecessorEnded notifies the module that the process that this one succeeds has ended.
func (s *Service) PredecessorEnded() {
	s.currentLoop().useStatefulModule(StatefulModule.PredecessorEnded)
}

// useStatefulModule calls a function with the module between two events and waits for it. It returns false if
// the loop has ended or its module is not a StatefulModule.
func (l *loop) useStatefulModule(use func(StatefulModule)) bool {
	module, ok := l.module.(StatefulModule)
	if !ok {
		return false
	}
	done := make(chan struct{})
	isPosted := l.post(func() {
		use(module)
		close(done)
	})
	if !isPosted {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}

// newState returns a checkpoint with the uids and start times of its servers.
func (l *loop) newState(checkpoint control.Checkpoint) State {
	state := State{
		Checkpoint: checkpoint,
		Servers:    make(map[uint32]string, len(l.serverIDs)),
		Starts:     l.starts.export(l.clock, l.serverIDs),
	}
	for uid, id := range l.serverIDs {
		state.Servers[id] = uid
	}
	return state
}

// translateServers returns the checkpoint of a state with its server numbers replaced by those of this loop. Servers
// that are not listed are omitted.
func (l *loop) translateServers(state State) control.Checkpoint {
	checkpoint := state.Checkpoint
	checkpoint.Servers = nil
	for _, server := range state.Checkpoint.Servers {
		if id, ok := l.serverIDs[state.Servers[server.Server]]; ok {
			server.Server = id
			checkpoint.Servers = append(checkpoint.Servers, server)
		}
	}
	return checkpoint
}

// transfer is what a service passes to its replacement in the same process.
type transfer struct {
	State
	pools       map[string]*upstream.Pool // by uid; nil if the replacement has connections of its own
	hardLimiter *hardLimiter              // nil if no hard limit is shared
}

// ReplaceWith replaces this service with one that does not run yet and that starts with all remaining tokens and
// learned values. This service still serves the requests that it has accepted; those that it has not accepted
// by then are passed to the replacement.
func (s *Service) ReplaceWith(replacement *Service) {
	// The reference keeps the service, which may be retired next, from ending before its loop has executed the
	// transfer. Without the transfer the replacement would start with full token buckets.
	if !s.TryAcquire() {
		return
	}
	release := sync.OnceFunc(s.Release)
	transferred := make(chan transfer, 1)
	l := s.currentLoop()
	module, ok := l.module.(StatefulModule)
	ok = ok && l.post(func() {
		defer release()
		transferred <- s.transferTo(replacement, l, module)
	})
	if !ok {
		release()
		return
	}
	replacement.restoreFrom(func() (transfer, bool) {
		defer release()
		return awaitTransfer(transferred, l.ended)
	}, control.TrustAll)
}

// transferTo returns what the replacement takes over from a loop of this service, and has the loop pass requests
// that it has not accepted to the replacement. The loop's goroutine calls it.
func (s *Service) transferTo(replacement *Service, l *loop, module StatefulModule) transfer {
	t := transfer{State: l.newState(module.HandOver(l.now(), 1))}
	if s.upstream == replacement.upstream {
		t.pools = make(map[string]*upstream.Pool, len(l.pools))
		for uid, id := range l.serverIDs {
			if pool := l.pools[id]; pool != nil {
				t.pools[uid] = pool
			}
		}
	}
	t.hardLimiter = l.detachHardLimiter(replacement, s.Unavailable())
	l.replacement = replacement
	l.transferredPools = t.pools
	return t
}

// awaitTransfer waits for the transfer of a loop. It returns false if the loop has ended without one.
func awaitTransfer(transferred <-chan transfer, ended <-chan struct{}) (transfer, bool) {
	select {
	case t := <-transferred:
		return t, true
	case <-ended: // perhaps after the transfer
	}
	select {
	case t := <-transferred:
		return t, true
	default:
		return transfer{}, false
	}
}

// restoreFrom has the loop start from a transfer, which receive waits for. If receive returns false, the loop
// starts without it.
func (s *Service) restoreFrom(receive func() (transfer, bool), trust control.Trust) {
	l := s.currentLoop()
	l.post(func() {
		t, ok := receive()
		if l.starts.adopt(t.Starts, l.clock) {
			l.updateEndpoints(control.ListCached, s.Endpoints())
		}
		l.adoptHardLimiter(t.hardLimiter)
		l.adoptPools(t.pools)
		if module, isStateful := l.module.(StatefulModule); ok && isStateful {
			module.Restore(l.now(), l.translateServers(t.State), trust)
			if len(l.serverIDs) == 0 {
				l.pendingServerState = &pendingServerState{t.State, trust}
			}
		}
	})
}

// pendingServerState is a restored state whose servers are still to be restored, as none was listed at the time.
type pendingServerState struct {
	State
	trust control.Trust
}

// restoreListedServers restores the servers of a state that was restored before the first endpoint list.
func (l *loop) restoreListedServers() {
	state := l.pendingServerState
	if state == nil || len(l.serverIDs) == 0 {
		return
	}
	l.pendingServerState = nil
	if module, ok := l.module.(serverRestorer); ok {
		module.RestoreServers(l.now(), l.translateServers(state.State), state.trust)
	}
}

// adoptPools merges transferred connections into the loop's pools of the same endpoints, and closes all other ones.
func (l *loop) adoptPools(pools map[string]*upstream.Pool) {
	for uid, pool := range pools {
		if own := l.pools[l.serverIDs[uid]]; own != nil && own.Endpoint == pool.Endpoint {
			l.upstream.MergePool(pool, own)
		} else {
			l.upstream.RetirePool(pool)
		}
	}
}

// accepts reports whether this service can serve a request that was validated by the rules of another service, whose
// classes are parsedWith. If the request's class needs an idempotency key here, it must have needed one there too, since
// otherwise the presence of the key was not checked.
func (s *Service) accepts(x *Exchange, parsedWith []control.Class) bool {
	class, ok := s.Classes[x.Request.Class]
	if !ok || x.Request.Units > s.MaxUnitsByPlan[x.Request.Plan] || x.Request.FanOut > s.GroupSize {
		return false
	}
	if !s.AllowsMethod(class, x.Forwarder.Method()) {
		return false
	}
	if class.Idempotency != control.IdempotentWithKey {
		return true
	}
	return slices.ContainsFunc(parsedWith, func(c control.Class) bool {
		return c.Name == class.Name && c.Idempotency == class.Idempotency
	})
}
