package node

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"time"

	"lockflow/internal/front"
	"lockflow/internal/service"
)

const (
	olderMost  = 64 // reloads whose replaced or removed services may still hold something
	olderWatch = time.Second
)

// Generation is the number of the configuration in force; that at the start is 1.
func (n *Node) Generation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.generation
}

// older is a service that a reload replaced or removed.
type older struct {
	*running
	at   time.Time // of the reload
	by   int       // the generation that it made
	told bool      // that it has outlived its term
}

// RetiredService is a service that a reload replaced or removed and that still has requests in flight.
type RetiredService struct {
	Service    string        `json:"service"`
	Generation int           `json:"generation"` // in which it began
	RetiredFor time.Duration `json:"since_ns"`   // time since it was replaced or removed
}

// RetiredServices lists the services of earlier generations that have not ended (`older` in the status).
func (n *Node) RetiredServices() []RetiredService {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := []RetiredService{}
	for _, s := range n.older {
		all = append(all, RetiredService{s.cfg.Name, s.generation, time.Since(s.at)})
	}
	return all
}

// retire has a service end once it holds nothing; n.mu is held.
func (n *Node) retire(s *running) {
	s.Retire()
	if n.work == nil { // it never ran
		s.parts.close()
		return
	}
	n.older[s.Service] = &older{running: s, at: time.Now(), by: n.generation}
}

// term is the longest that a service can hold a request that it has taken.
func (s *running) term() time.Duration {
	longest := time.Duration(0)
	for _, k := range s.cfg.Settings.Classes {
		longest = max(longest, k.Deadline)
	}
	return longest + front.MaxTimeBeyondDeadline
}

// olderGenerations is how many reloads have left services that have not ended; n.mu is held.
func (n *Node) olderGenerations() int {
	by := make(map[int]bool)
	for _, s := range n.older {
		by[s.by] = true
	}
	return len(by)
}

// awaitOlder waits while there are too many earlier generations, for as long as the oldest of
// them can hold a request; n.mu is held, and let go while it waits. Guards against reloads that
// come faster than requests are answered.
func (n *Node) awaitOlder() error {
	if n.olderGenerations() < olderMost {
		return nil
	}
	wait := olderWatch // for those that are ended here
	for _, s := range n.older {
		left := s.term() - time.Since(s.at)
		if wait = max(wait, left); left <= 0 && s.cfg.HTTP != nil && s.stop != nil {
			s.stop() // only answers that stream can be left: they have no end of their own
		}
	}
	end := time.Now().Add(wait)
	wake := time.AfterFunc(wait, n.fewer.Broadcast)
	defer wake.Stop()
	slog.Warn("reload waits for earlier generations", "generations", olderMost, "services", len(n.older))
	for n.olderGenerations() >= olderMost {
		if !time.Now().Before(end) {
			return fmt.Errorf("%d earlier generations still hold requests", olderMost)
		}
		n.fewer.Wait()
	}
	return nil
}

// watchOlder reports services of earlier generations that live longer than any request of
// theirs may, until ctx ends.
func (n *Node) watchOlder(ctx context.Context) {
	t := time.NewTicker(olderWatch)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		n.mu.Lock()
		for _, s := range n.older {
			if lived := time.Since(s.at); lived > s.term() && !s.told && s.cfg.HTTP == nil { // an answer that streams has no term
				s.told = true
				slog.Warn("a service of an earlier generation outlives its requests", "service", s.cfg.Name,
					"generation", s.generation, "for", lived.Round(time.Second), "held", s.parts.held())
			}
		}
		n.mu.Unlock()
	}
}

// countsOf are a service's counts, which go on over its generations; n.mu is held, or nobody knows
// of n yet. Guards, by beginning anew, against names that come and go without end.
func (n *Node) countsOf(name string) *service.RequestCounts {
	if n.counts == nil || len(n.counts) > countedMost {
		n.counts = make(map[string]*service.RequestCounts)
	}
	if n.counts[name] == nil {
		n.counts[name] = &service.RequestCounts{}
	}
	return n.counts[name]
}

// countedMost bounds the services that are counted, also those that are gone.
const countedMost = 10000

// RequestCounts are those of all services, by name; empty without metrics.
func (n *Node) RequestCounts() map[string]*service.RequestCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.counts)
}
