package service

import (
	"slices"
	"sync"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// State is what a service has spent and learned. It can be stored, and restored by another process.
type State struct {
	Checkpoint control.Checkpoint `cbor:"checkpoint"`
	Servers    map[uint32]string  `cbor:"servers"` // the uid of each server number in Checkpoint
	// Starts are the starts of the servers that started at a known time, by uid.
	Starts map[string]ServerStart `cbor:"starts,omitempty"`
}

// shift moves the times of a state, which was taken at some time on the module's clock of now, to that clock.
func (s *State) shift(takenAt time.Duration) {
	difference := takenAt - s.Checkpoint.At
	s.Checkpoint.Shift(difference)
	for uid, start := range s.Starts {
		start.StartedAt += difference
		s.Starts[uid] = start
	}
}

// Checkpoint returns what the service has spent and learned; false where it has ended.
func (s *Service) Checkpoint() (state State, ok bool) {
	l := s.currentLoop()
	ok = l.useStatefulModule(func(m StatefulModule) { state = l.newState(m.Checkpoint(l.now())) })
	return state, ok
}

// HandOver is Checkpoint that hands over a part, from 0 to 1, of the remaining tokens to another process; see
// control.Controller.HandOver. The shared hard limits are given to it completely.
func (s *Service) HandOver(fraction float64) (state State, ok bool) {
	l := s.currentLoop()
	ok = l.useStatefulModule(func(m StatefulModule) {
		state = l.newState(m.HandOver(l.now(), fraction))
		l.resignLeases()
	})
	return state, ok
}

// Rejoin undoes HandOver, or ends the sharing that Restore has started, after the other process has ended. given is
// the state that this was given, if it is known to have spent nothing of it, and nil otherwise.
func (s *Service) Rejoin(returned *State) {
	l := s.currentLoop()
	l.useStatefulModule(func(m StatefulModule) {
		l.reclaimLeases()
		if returned == nil {
			m.ReclaimRates(l.now(), nil)
			return
		}
		checkpoint := l.translateServers(*returned)
		m.ReclaimRates(l.now(), &checkpoint)
	})
}

// Restore has the service start from a state of another process that was taken some time ago. It is called before the
// service's first request. The state is the service's from then on.
func (s *Service) Restore(state State, age time.Duration, trust control.Trust) {
	state.shift(s.clock.now() - age)
	s.restoreFrom(func() (transfer, bool) { return transfer{State: state}, true }, trust)
}

// PredecessorEnded reports that the process whose place this service has taken has ended.
func (s *Service) PredecessorEnded() {
	s.currentLoop().useStatefulModule(StatefulModule.PredecessorEnded)
}

// useStatefulModule calls a function with the module between two events and waits for it; false where the
// loop has ended or its module is not a StatefulModule.
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

// newState adds the uids of its servers to a checkpoint.
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

// translateServers returns the checkpoint of a state with this loop's numbers of the servers. Servers that
// are not listed are omitted.
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
	pools       map[string]*upstream.Pool // by uid; nil where the replacement has connections of its own
	hardLimiter *hardLimiter              // nil where no hard limit is shared
}

// ReplaceWith has a service that does not run yet take this one's place: it starts with all tokens that are
// left and with what was learned. This one still serves what it has accepted; requests that it has not
// started by then are passed to the replacement.
func (s *Service) ReplaceWith(replacement *Service) {
	// A service that was retired and ended before its loop got to the transfer would end with what it has
	// spent, and the replacement would start with full token buckets.
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

// transferTo takes from a loop of this service what its replacement gets, and directs requests that have not
// started there. It is called by the loop.
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

// awaitTransfer waits for the transfer of a loop; false where the loop has ended without it.
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

// restoreFrom has the loop start from a transfer, which receive waits for. Where that returns false the loop
// starts with its own state.
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

// unlistedState is a state that was restored before any server was listed.
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

// accepts reports whether a request that was read by the rules of another service, which has these classes,
// is served on the same terms here. A request of a class with an idempotency key is only accepted if it was
// read as one, since otherwise nobody has checked that it has a key.
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
