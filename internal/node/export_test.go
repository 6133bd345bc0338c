package node

import (
	"math"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/limits"
)

// limiterWithoutGuarantees is a shared limiter without guaranteed amounts: services take resources first come, first
// served.
type limiterWithoutGuarantees struct {
	*sharedLimiter
	sockets *limits.SocketLimiter
}

func (l *limiterWithoutGuarantees) clientSockets() limits.ConnectionLimiter {
	return l.sockets.ForClients()
}

func (l *limiterWithoutGuarantees) upstreamSockets(*account) limits.ConnectionLimiter {
	return l.sockets
}

func (l *limiterWithoutGuarantees) setGuarantees(*config.Config, map[string]*runningService) error {
	for _, s := range []*limits.SharedResource{l.slots, l.bytes, l.dials} {
		if err := s.SetGuarantees(math.MaxInt32, nil); err != nil {
			return err
		}
	}
	return nil
}

// WithoutGuarantees makes nodes that are created until undo is called share resources without guarantees, so that
// services are not isolated from one another.
func WithoutGuarantees() (undo func()) {
	old := makeSharedLimiter
	makeSharedLimiter = func(cfg *config.Config, f *front.Front) resourceLimiter {
		limiter := &limiterWithoutGuarantees{newSharedLimiter(cfg, f), limits.NewSocketLimiter(cfg.Process.Descriptors)}
		limiter.sockets.SetEvictFuncs(f.Evict, nil)
		return limiter
	}
	return func() { makeSharedLimiter = old }
}

// RunningServices returns the number of running services, including removed ones with requests in flight.
func RunningServices(n *Node) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runningServices
}

// PanicNext makes the event loop of a service panic at its next event.
func PanicNext(n *Node, name string) {
	n.mu.Lock()
	s := n.services[name]
	n.mu.Unlock()
	s.Post(func() { panic("no such share") })
}

// ChargeModuleTime records processor time as used by a service's decision module.
func ChargeModuleTime(n *Node, name string, elapsed time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[name].account.chargeModuleTime(elapsed)
}
