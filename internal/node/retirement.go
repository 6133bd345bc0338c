package node

import (
	"context"
	"fmt"
	"log/slog"
	"time"
)

const (
	maxRetiredGenerations = 64          // limit on reloads whose retired services have not ended
	retiredCheckInterval  = time.Second // time between two checks for overdue retired services
)

// retiredService is a service that a reload replaced or removed.
type retiredService struct {
	*runningService
	retiredAt  time.Time
	replacedIn int  // generation that the reload that retired it started
	isReported bool // it has been logged as overdue
}

// RetiredService describes a service that a reload replaced or removed and that still has requests in flight.
type RetiredService struct {
	Service    string        `json:"service"`
	Generation int           `json:"generation"` // generation in which it started
	RetiredFor time.Duration `json:"since_ns"`   // time since it was retired
}

// RetiredServices returns the services of earlier generations that have not ended (`older` in the status).
func (n *Node) RetiredServices() []RetiredService {
	n.mu.Lock()
	defer n.mu.Unlock()
	services := []RetiredService{}
	for _, s := range n.retired {
		services = append(services, RetiredService{
			Service:    s.cfg.Name,
			Generation: s.generation,
			RetiredFor: time.Since(s.retiredAt),
		})
	}
	return services
}

// retire makes a service end once none of its requests is in flight. The caller holds n.mu.
func (n *Node) retire(s *runningService) {
	s.Retire()
	if n.servicesContext == nil { // the service has never run
		s.account.release()
		return
	}
	n.retired[s.Service] = &retiredService{
		runningService: s,
		retiredAt:      time.Now(),
		replacedIn:     n.generation,
	}
}

// retiredGenerations returns the number of reloads whose retired services have not all ended. The caller holds n.mu.
func (n *Node) retiredGenerations() int {
	generations := make(map[int]bool)
	for _, s := range n.retired {
		generations[s.replacedIn] = true
	}
	return len(generations)
}

// awaitRetired waits while retired services of too many reloads are still running. It returns an error if this takes
// longer than any of their requests may be in flight. This bounds the number of retired services when reloads are more
// frequent than requests end. The caller holds n.mu, which is released while it waits.
func (n *Node) awaitRetired() error {
	if n.retiredGenerations() < maxRetiredGenerations {
		return nil
	}
	maxWait := n.cancelOverdueStreams()
	waitUntil := time.Now().Add(maxWait)
	timer := time.AfterFunc(maxWait, n.serviceEnded.Broadcast)
	defer timer.Stop()
	slog.Warn("reload waiting for retired services to end", "generations", maxRetiredGenerations, "services", len(n.retired))
	for n.retiredGenerations() >= maxRetiredGenerations {
		if !time.Now().Before(waitUntil) {
			return fmt.Errorf("%d earlier generations still have requests in flight", maxRetiredGenerations)
		}
		n.serviceEnded.Wait()
	}
	return nil
}

// cancelOverdueStreams cancels overdue retired services of generic HTTP: only streamed answers, which have no deadline,
// can still be in flight in them. It returns the longest time that the other retired services may still take. The caller
// holds n.mu.
func (n *Node) cancelOverdueStreams() time.Duration {
	longest := retiredCheckInterval // for the cancelled services to end
	for _, s := range n.retired {
		remaining := maxRequestTime(s.cfg) - time.Since(s.retiredAt)
		longest = max(longest, remaining)
		if remaining <= 0 && s.cfg.HTTP != nil && s.cancel != nil {
			s.cancel()
		}
	}
	return longest
}

// watchRetired periodically logs overdue retired services until ctx is done.
func (n *Node) watchRetired(ctx context.Context) {
	ticker := time.NewTicker(retiredCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.reportOverdue()
		}
	}
}

// reportOverdue logs, once each, the retired services that have run for longer than any of their requests may take.
// Services of generic HTTP are skipped, because a streamed answer has no deadline.
func (n *Node) reportOverdue() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.retired {
		retiredFor := time.Since(s.retiredAt)
		isOverdue := s.cfg.HTTP == nil && retiredFor > maxRequestTime(s.cfg)
		if s.isReported || !isOverdue {
			continue
		}
		s.isReported = true
		slog.Warn("retired service still running after the longest time that its requests may take", "service", s.cfg.Name,
			"generation", s.generation, "for", retiredFor.Round(time.Second), "held", s.account.requestsInFlight())
	}
}
