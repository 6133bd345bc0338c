package node

import (
	"math"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/limits"
)

// firstCome are books with no parts: whoever comes first takes what there is.
type firstCome struct {
	*sharedBooks
	all *limits.SocketLimiter
}

func (b *firstCome) clients() limits.ConnectionLimiter           { return b.all.ForClients() }
func (b *firstCome) socketsOf(*account) limits.ConnectionLimiter { return b.all }
func (b *firstCome) divide(*config.Config, map[string]*running) error {
	for _, s := range []*limits.SharedResource{b.held, b.bytes, b.dials} {
		if err := s.SetGuarantees(math.MaxInt32, nil); err != nil {
			return err
		}
	}
	return nil
}

// WithoutParts has nodes made until undo is called share without parts: the isolation of
// services is gone.
func WithoutParts() (undo func()) {
	old := shareBooks
	shareBooks = func(cfg *config.Config, f *front.Front) books {
		b := &firstCome{newSharedBooks(cfg, f), limits.NewSocketLimiter(cfg.Process.Descriptors)}
		b.all.OnEvict(f.Evict, nil)
		return b
	}
	return func() { shareBooks = old }
}

// Serving is how many services run, also those that were removed and still hold something.
func Serving(n *Node) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serving
}

// PanicNext has the module of a service panic at the next event.
func PanicNext(n *Node, name string) {
	n.mu.Lock()
	s := n.services[name]
	n.mu.Unlock()
	s.Post(func() { panic("no such share") })
}

// SpendModuleTime books time as that of a service's module.
func SpendModuleTime(n *Node, name string, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[name].parts.spent(took)
}
