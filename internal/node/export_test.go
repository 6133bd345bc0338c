package node

import (
	"math"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/limits"
)

// unpartitionedLimiter are books with no parts: whoever comes first takes what there is.
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

// WithoutGuarantees has nodes made until undo is called share without parts: the isolation of
// services is gone.
func WithoutGuarantees() (undo func()) {
	old := makeSharedLimiter
	makeSharedLimiter = func(cfg *config.Config, f *front.Front) resourceLimiter {
		limiter := &limiterWithoutGuarantees{newSharedLimiter(cfg, f), limits.NewSocketLimiter(cfg.Process.Descriptors)}
		limiter.sockets.OnEvict(f.Evict, nil)
		return limiter
	}
	return func() { makeSharedLimiter = old }
}

// RunningServices is how many services run, also those that were removed and still hold something.
func RunningServices(n *Node) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runningServices
}

// PanicNext has the module of a service panic at the next event.
func PanicNext(n *Node, name string) {
	n.mu.Lock()
	s := n.services[name]
	n.mu.Unlock()
	s.Post(func() { panic("no such share") })
}

// ChargeModuleTime books time as that of a service's module.
func ChargeModuleTime(n *Node, name string, elapsed time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[name].account.chargeModuleTime(elapsed)
}
