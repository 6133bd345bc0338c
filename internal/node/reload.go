package node

import (
	"errors"
	"fmt"
	"log/slog"

	"lockflow/internal/config"
)

// Reload atomically replaces the configuration. If it returns an error, the current configuration stays in force.
// Requests are served under the configuration that accepted them. A service keeps running if its configuration is
// unchanged or only its endpoint source or guarantees change. A service that changes otherwise is replaced by one that
// takes over its quotas and learned state. A removed service ends once none of its requests is in flight. Of the
// platform's configuration only the address of discovery is applied.
//
// Reload may be called from any goroutine; calls run one after another. Each successful call starts a new generation,
// unless it is for the platform's configuration.
func (n *Node) Reload(cfg config.Config) error {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	defer n.closeRemovedListeners()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cfg.Process.Shared != cfg.Process.Shared {
		return errors.New("a reload can't change between the platform's configuration and a configuration file")
	}
	if !cfg.Process.Shared {
		n.reloadPlatform(&cfg)
		return nil
	}
	if err := n.checkReload(&cfg); err != nil {
		return err
	}
	next, err := n.prepareGeneration(&cfg)
	if err != nil {
		return err
	}
	n.applyGeneration(cfg, next)
	return nil
}

// reloadPlatform applies the discovery address of the platform's configuration. The caller holds n.mu.
func (n *Node) reloadPlatform(cfg *config.Config) {
	source := cfg.Services[0].Source
	slog.Info("reloading", "discovery", source.Address)
	n.services[n.cfg.Services[0].Name].SetSource(source)
}

// checkReload returns an error if the node can't reload to a configuration. It waits for retired services to end if
// there are too many. The caller holds n.mu.
func (n *Node) checkReload(cfg *config.Config) error {
	for _, change := range config.Compare(n.cfg, *cfg).Restarts() {
		return fmt.Errorf("%s: %s can't become %s without a restart", change.What, change.From, change.To)
	}
	if err := n.awaitRetired(); err != nil {
		return err
	}
	if n.isShutDown {
		return errors.New("the node has shut down")
	}
	return nil
}

// nextGeneration holds the listeners and services that were prepared for a new configuration.
type nextGeneration struct {
	opened    []*listener // listeners of new addresses
	services  map[string]*runningService
	gatherers map[string]*gatherer
}

// prepareGeneration performs the steps of a reload that can fail. If it returns an error, nothing has changed. The
// caller holds n.mu.
func (n *Node) prepareGeneration(cfg *config.Config) (next nextGeneration, err error) {
	if next.opened, err = n.openListeners(cfg.Listeners, reloadListenRetryTime); err != nil {
		return next, err
	}
	defer func() {
		if err == nil {
			return
		}
		for _, l := range next.opened {
			l.close()
		}
	}()
	if next.gatherers, err = n.prepareGatherers(cfg); err != nil {
		return next, err
	}
	if next.services, err = n.prepareServices(cfg); err != nil {
		return next, err
	}
	if err = n.limiter.setGuarantees(cfg, next.services); err != nil {
		n.discardServices(next.services)
	}
	return next, err
}

// applyGeneration puts a prepared configuration in force. It can't fail. The caller holds n.mu.
func (n *Node) applyGeneration(cfg config.Config, next nextGeneration) {
	n.generation++
	changes := n.startChangedServices(next.services)
	n.front.SetTable(routeTable(&cfg, next.services, next.gatherers))
	changes.removed = n.retireReplacedServices(next.services)
	n.shareModels(n.gatherers, next.gatherers)
	n.services = next.services
	n.gatherers = next.gatherers
	n.cfg = cfg
	n.setListeners(next.opened, cfg.Listeners)
	n.notifyReadyChanged() // a service that was not ready may have been removed
	slog.Info("reloaded", "generation", n.generation, "services", len(next.services),
		"added", changes.added, "changed", changes.replaced, "moved", changes.moved, "removed", changes.removed,
		"older", len(n.retired))
}

// serviceChanges counts the services that a reload changes, by kind of change.
type serviceChanges struct {
	added    int
	replaced int
	removed  int
	moved    int // services with another endpoint source
}

// startChangedServices starts the services that are new or replace one in force, and switches services with a changed
// endpoint source to the new source. The caller holds n.mu.
func (n *Node) startChangedServices(next map[string]*runningService) (changes serviceChanges) {
	for name, s := range next {
		current := n.services[name]
		switch {
		case current == nil:
			changes.added++
			s.generation = n.generation
			n.startService(s)
		case current.Service != s.Service:
			changes.replaced++
			s.generation = n.generation
			n.replaceService(current, s)
		case !current.cfg.Source.Equal(s.cfg.Source):
			changes.moved++
			s.SetSource(s.cfg.Source)
		}
	}
	return changes
}

// retireReplacedServices retires the services in force that the next generation replaces or removes. It returns the
// number of removed ones. The caller holds n.mu.
func (n *Node) retireReplacedServices(next map[string]*runningService) (removed int) {
	for name, s := range n.services {
		replacement := next[name]
		if replacement != nil && replacement.Service == s.Service {
			continue
		}
		if replacement == nil {
			removed++
		}
		n.retire(s)
	}
	return removed
}

// replaceService starts next in place of current, which it succeeds. The caller holds n.mu.
func (n *Node) replaceService(current, next *runningService) {
	if n.servicesContext == nil { // the node does not run yet
		return
	}
	current.ReplaceWith(next.Service)
	n.startService(next)
	n.tasks.Go(func() {
		<-current.ended
		next.PredecessorEnded()
	})
}
