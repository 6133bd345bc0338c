package service

import (
	"slices"
	"sync"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// State is what a service has spent and learned. It can be written and read by another process.
type State struct {
	Checkpoint control.Checkpoint `cbor:"checkpoint"`
	Servers    map[uint32]string  `cbor:"servers"` // uid of each server that Checkpoint names
}

// Ended is closed when the service has ended.
func (s *Service) Ended() <-chan struct{} { return s.ended }

// accepts tells whether a request that was read by another service's terms, of some classes, is served by
// this one on the same terms. Guards against repeats with no key: only of a keyed class's request it
// was seen that it has one.
func (s *Service) accepts(x *Exchange, readBy []control.Class) bool {
	class, ok := s.Classes[x.Request.Class]
	if ok && class.Idempotency == control.IdempotencyKeyed {
		ok = slices.ContainsFunc(readBy, func(was control.Class) bool { return was.Name == class.Name && was.Idempotency == class.Idempotency })
	}
	return ok && x.Request.Units <= s.MaxUnitsByPlan[x.Request.Plan] && s.AllowsMethod(class, x.Forwarder.Method()) && x.Request.FanOut <= s.GroupSize
}

// useStatefulModule has the loop's own goroutine use its module, and waits; false where the loop has ended or
// its module keeps nothing.
func (l *loop) useStatefulModule(do func(StatefulModule)) bool {
	k, ok := l.module.(StatefulModule)
	if !ok {
		return false
	}
	done := make(chan struct{})
	if !l.post(func() { do(k); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}

// captureState adds to a checkpoint how its servers are called; for the loop's own goroutine.
func (l *loop) captureState(c control.Checkpoint) State {
	st := State{Checkpoint: c, Servers: make(map[uint32]string, len(l.serverIDs))}
	for uid, id := range l.serverIDs {
		st.Servers[id] = uid
	}
	return st
}

// Checkpoint tells what the service has spent and learned; false where it has ended.
func (s *Service) Checkpoint() (st State, ok bool) {
	l := s.currentLoop()
	ok = l.useStatefulModule(func(k StatefulModule) { st = l.captureState(k.Checkpoint(l.now())) })
	return st, ok
}

// HandOver is Checkpoint that gives a part (from 0 to 1) of what is left to spend away; see
// control.Controller.HandOver.
func (s *Service) HandOver(give float64) (st State, ok bool) {
	l := s.currentLoop()
	ok = l.useStatefulModule(func(k StatefulModule) {
		st = l.captureState(k.HandOver(l.now(), give))
		l.resignLeases()
	})
	return st, ok
}

// Rejoin ends what HandOver or Restore began: whoever had the other part has ended. Where that
// one has spent nothing of what it was given, given is that.
func (s *Service) Rejoin(given *State) {
	l := s.currentLoop()
	l.useStatefulModule(func(k StatefulModule) {
		l.reclaimLeases()
		if given == nil {
			k.Rejoin(l.now(), nil)
			return
		}
		c := l.translateServers(*given)
		k.Rejoin(l.now(), &c)
	})
}

// Restore has a service take over a state before its first request, which comes later than this
// call.
func (s *Service) Restore(st State, trust control.Trust) {
	s.restoreFrom(func() (transfer, bool) { return transfer{State: st}, true }, trust)
}

// transfer is what a service hands to the one that takes its place.
type transfer struct {
	State
	pools       map[string]*upstream.Pool // by uid; nil where the other has connections of its own
	hardLimiter *hardLimiter              // of shared ceilings; nil where none are
}

func (s *Service) restoreFrom(from func() (transfer, bool), trust control.Trust) {
	l := s.currentLoop()
	l.post(func() {
		k, keeps := l.module.(StatefulModule)
		st, ok := from()
		l.adoptHardLimiter(st.hardLimiter)
		for uid, p := range st.pools {
			if to := l.pools[l.serverIDs[uid]]; to != nil && to.Endpoint == p.Endpoint {
				l.upstream.Join(p, to)
			} else {
				l.upstream.Retire(p)
			}
		}
		if ok && keeps {
			k.Restore(l.now(), l.translateServers(st.State), trust)
		}
	})
}

// translateServers gives a checkpoint the ids that this loop has for the servers; what it doesn't list
// is left out.
func (l *loop) translateServers(st State) control.Checkpoint {
	c := st.Checkpoint
	c.Servers = nil
	for _, v := range st.Checkpoint.Servers {
		if id, ok := l.serverIDs[st.Servers[v.Server]]; ok {
			v.Server = id
			c.Servers = append(c.Servers, v)
		}
	}
	return c
}

// PredecessorEnded tells the service that the one whose place it took has ended.
func (s *Service) PredecessorEnded() { s.currentLoop().useStatefulModule(StatefulModule.Alone) }

// ReplaceWith has a service that has not run yet take this one's place: it begins with all that is
// left to spend and with what was learned. This one goes on with what it has taken. A request
// that it has not begun by then goes to the other.
func (s *Service) ReplaceWith(next *Service) {
	// Guards against a service that is retired before its loop has come to hand over: it would end
	// with what is spent and learned, and the other begin with full ceilings.
	if !s.TryAcquire() {
		return
	}
	release := sync.OnceFunc(s.Release)
	transferred := make(chan transfer, 1)
	l := s.currentLoop()
	k, ok := l.module.(StatefulModule)
	ok = ok && l.post(func() {
		defer release()
		h := transfer{State: l.captureState(k.HandOver(l.now(), 1))}
		if s.upstream == next.upstream {
			h.pools = make(map[string]*upstream.Pool, len(l.pools))
			for uid, id := range l.serverIDs {
				if p := l.pools[id]; p != nil {
					h.pools[uid] = p
				}
			}
		}
		h.hardLimiter = l.detachHardLimiter(next, s.Unavailable())
		transferred <- h
		l.replacement, l.transferredPools = next, h.pools
	})
	if !ok {
		release()
		return
	}
	next.restoreFrom(func() (transfer, bool) {
		defer release()
		select {
		case h := <-transferred:
			return h, true
		case <-l.ended: // it may have handed over before
		}
		select {
		case h := <-transferred:
			return h, true
		default:
			return transfer{}, false
		}
	}, control.TrustAll)
}
