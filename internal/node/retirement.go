package node

import (
	"context"
	"fmt"
	"log/slog"
	"time"
)

const (
	maxRetiredGenerations = 64          // reloads that may have left services with requests in flight
	retiredCheckInterval  = time.Second // between two checks for retired services that are overdue
)

// retiredService is a service that a reload replaced or removed.
type retiredService struct {
	*runningService
	retiredAt  time.Time
	replacedIn int  // generation of the reload that retired it
	isReported bool // it was logged as overdue
}

// RetiredService is a service that a reload replaced or removed and that still has requests in flight.
type RetiredService struct {
	Service    string        `json:"service"`
	Generation int           `json:"generation"` // in which it started
	RetiredFor time.Duration `json:"since_ns"`   // time since it was replaced or removed
}

// RetiredServices lists the services of earlier generations that have not ended (`older` in the status).
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

// retire has a service end once no request of it is in flight. n.mu is held.
func (n *Node) retire(s *runningService) {
	s.Retire()
	if n.servicesContext == nil { // the service never ran
		s.account.release()
		return
	}
	n.retired[s.Service] = &retiredService{
		runningService: s,
		retiredAt:      time.Now(),
		replacedIn:     n.generation,
	}
}

// retiredGenerations counts the reloads that retired services which have not ended. n.mu is held.
func (n *Node) retiredGenerations() int {
	generations := make(map[int]bool)
	for _, s := range n.retired {
		generations[s.replacedIn] = true
	}
	return len(generations)
}

// awaitRetired waits while too many reloads have left retired services, for as long as a request of these
// may be in flight. It bounds the state of reloads that are faster than requests end. n.mu is held, and
// released while it waits.
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
			return fmt.Errorf("%d earlier generations still hold requests", maxRetiredGenerations)
		}
		n.serviceEnded.Wait()
	}
	return nil
}

// cancelOverdueStreams cancels retired services of generic HTTP that are overdue: only streamed answers,
// which have no deadline, can be left in them. It returns how long the other services may still take. n.mu is held.
func (n *Node) cancelOverdueStreams() time.Duration {
	longest := retiredCheckInterval // time for the cancelled ones to end
	for _, s := range n.retired {
		remaining := maxRequestTime(s.cfg) - time.Since(s.retiredAt)
		longest = max(longest, remaining)
		if remaining <= 0 && s.cfg.HTTP != nil && s.cancel != nil {
			s.cancel()
		}
	}
	return longest
}

// watchRetired logs retired services that are overdue, until ctx ends.
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

// reportOverdue logs each retired service once when it has run for longer than any of its requests may take. Services
// of generic HTTP are left out: a streamed answer has no deadline.
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
		slog.Warn("retired service still running past its longest request", "service", s.cfg.Name,
			"generation", s.generation, "for", retiredFor.Round(time.Second), "held", s.account.requestsInFlight())
	}
}
