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
	maxRetiredGenerations = 64 // reloads whose replaced or removed services may still hold something
	retiredCheckInterval  = time.Second
)

// Generation is the number of the configuration in force; that at the start is 1.
func (n *Node) Generation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.generation
}

// retiredService is a service that a reload replaced or removed.
type retiredService struct {
	*runningService
	retiredAt  time.Time // of the reload
	replacedIn int       // the generation that it made
	isReported bool      // that it has outlived its term
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
	for _, s := range n.retired {
		all = append(all, RetiredService{s.cfg.Name, s.generation, time.Since(s.retiredAt)})
	}
	return all
}

// retire has a service end once it holds nothing; n.mu is held.
func (n *Node) retire(s *runningService) {
	s.Retire()
	if n.servicesContext == nil { // it never ran
		s.account.release()
		return
	}
	n.retired[s.Service] = &retiredService{runningService: s, retiredAt: time.Now(), replacedIn: n.generation}
}

// maxRequestTime is the longest that a service can hold a request that it has taken.
func (s *runningService) maxRequestTime() time.Duration {
	longest := time.Duration(0)
	for _, k := range s.cfg.Settings.Classes {
		longest = max(longest, k.Deadline)
	}
	return longest + front.MaxTimeBeyondDeadline
}

// retiredGenerations is how many reloads have left services that have not ended; n.mu is held.
func (n *Node) retiredGenerations() int {
	by := make(map[int]bool)
	for _, s := range n.retired {
		by[s.replacedIn] = true
	}
	return len(by)
}

// awaitRetired waits while there are too many earlier generations, for as long as the oldest of
// them can hold a request; n.mu is held, and let go while it waits. Guards against reloads that
// come faster than requests are answered.
func (n *Node) awaitRetired() error {
	if n.retiredGenerations() < maxRetiredGenerations {
		return nil
	}
	wait := retiredCheckInterval // for those that are ended here
	for _, s := range n.retired {
		left := s.maxRequestTime() - time.Since(s.retiredAt)
		if wait = max(wait, left); left <= 0 && s.cfg.HTTP != nil && s.cancel != nil {
			s.cancel() // only answers that stream can be left: they have no end of their own
		}
	}
	end := time.Now().Add(wait)
	wake := time.AfterFunc(wait, n.serviceEnded.Broadcast)
	defer wake.Stop()
	slog.Warn("reload waits for earlier generations", "generations", maxRetiredGenerations, "services", len(n.retired))
	for n.retiredGenerations() >= maxRetiredGenerations {
		if !time.Now().Before(end) {
			return fmt.Errorf("%d earlier generations still hold requests", maxRetiredGenerations)
		}
		n.serviceEnded.Wait()
	}
	return nil
}

// watchRetired reports services of earlier generations that live longer than any request of
// theirs may, until ctx ends.
func (n *Node) watchRetired(ctx context.Context) {
	t := time.NewTicker(retiredCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		n.mu.Lock()
		for _, s := range n.retired {
			if lived := time.Since(s.retiredAt); lived > s.maxRequestTime() && !s.isReported && s.cfg.HTTP == nil { // an answer that streams has no term
				s.isReported = true
				slog.Warn("a service of an earlier generation outlives its requests", "service", s.cfg.Name,
					"generation", s.generation, "for", lived.Round(time.Second), "held", s.account.requestsInFlight())
			}
		}
		n.mu.Unlock()
	}
}

// requestCountsOf are a service's counts, which go on over its generations; n.mu is held, or nobody knows
// of n yet. Guards, by beginning anew, against names that come and go without end.
func (n *Node) requestCountsOf(name string) *service.RequestCounts {
	if n.requestCounts == nil || len(n.requestCounts) > maxCountedServices {
		n.requestCounts = make(map[string]*service.RequestCounts)
	}
	if n.requestCounts[name] == nil {
		n.requestCounts[name] = &service.RequestCounts{}
	}
	return n.requestCounts[name]
}

// maxCountedServices bounds the services that are counted, also those that are gone.
const maxCountedServices = 10000

// RequestCounts are those of all services, by name; empty without metrics.
func (n *Node) RequestCounts() map[string]*service.RequestCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.requestCounts)
}
