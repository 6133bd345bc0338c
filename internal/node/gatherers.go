package node

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/scattergather"
	"lockflow/internal/waitpolicy"
)

// gatherer is a scatter-gather service with the configuration that it was created from.
type gatherer struct {
	*scattergather.Gatherer
	cfg    config.Gather
	sharer *modelSharer // nil if the model is not shared with other instances
}

// prepareGatherers creates the scatter-gather services of a configuration without changing those in use. A service
// whose configuration is unchanged is reused. A changed one takes over the counts of its predecessor and the wait
// policy model of the parts that both have. Queries in flight finish under the settings that they started with.
// The caller holds n.mu, unless n is not yet shared between goroutines.
func (n *Node) prepareGatherers(cfg *config.Config) (map[string]*gatherer, error) {
	if len(cfg.Gathers) == 0 {
		return nil, nil
	}
	next := make(map[string]*gatherer, len(cfg.Gathers))
	for _, c := range cfg.Gathers {
		current := n.gatherers[c.Name]
		if current != nil && reflect.DeepEqual(current.cfg, c) {
			next[c.Name] = current
			continue
		}
		g, err := newGatherer(c, current)
		if err != nil {
			return nil, fmt.Errorf("service %s: gather: %w", c.Name, err)
		}
		next[c.Name] = g
	}
	return next, nil
}

// newGatherer creates a scatter-gather service. predecessor is the service that it replaces, or nil.
func newGatherer(cfg config.Gather, predecessor *gatherer) (*gatherer, error) {
	g := &gatherer{cfg: cfg, Gatherer: &scattergather.Gatherer{
		Name:       cfg.Name,
		Settings:   waitPolicySettings(cfg),
		RetryAfter: cfg.MaxRetryAfter,
		Counts:     new(scattergather.Counts),
	}}
	if err := g.Settings.Validate(); err != nil {
		return nil, err
	}
	g.Model = waitpolicy.NewModel(g.Settings, waitpolicy.Options{Seed: rand.Uint64()})
	if predecessor != nil {
		g.Counts = predecessor.Counts
		raw, err := predecessor.Model.Encode()
		g.restoreModel(raw, 0, err)
		if reflect.DeepEqual(predecessor.cfg.Share, cfg.Share) {
			g.sharer = predecessor.sharer
			return g, nil
		}
	}
	if len(cfg.Share.Addresses) == 0 {
		return g, nil
	}
	var err error
	g.sharer, err = newModelSharer(cfg.Share, g.Model)
	return g, err
}

// restoreModel loads a wait policy model that was encoded age ago, by another process or under other settings. err is
// the error of encoding it. If encoding or decoding failed, the error is logged and the model starts empty.
func (g *gatherer) restoreModel(raw []byte, age time.Duration, err error) {
	if err == nil {
		err = g.Model.Restore(raw, age)
	}
	if err != nil {
		slog.Warn("restoring the wait policy model failed: starting with an empty one", "service", g.Name, "err", err)
	}
}

func waitPolicySettings(cfg config.Gather) *waitpolicy.Settings {
	settings := &waitpolicy.Settings{MinShare: cfg.MinWeightFraction, HalfLife: cfg.HalfLife, Fixed: cfg.FixedDeadline}
	switch cfg.Deadline {
	case config.DeadlineNone:
		settings.Mode = waitpolicy.None
	case "":
		settings.Mode = waitpolicy.Fixed
	}
	for _, part := range cfg.Parts {
		settings.Parts = append(settings.Parts, waitpolicy.Part{Name: part.Name, Weight: part.Weight})
	}
	return settings
}

// gatherTree is the tree of services to which a query to one scatter-gather service fans out.
type gatherTree struct {
	root      *scattergather.Tree
	leaves    []scattergather.Leaf
	gatherers []*scattergather.Gatherer // indexed by scattergather.Tree.ID
}

// newGatherTree builds the tree whose root is the named scatter-gather service.
func newGatherTree(name string, gatherers map[string]*gatherer) gatherTree {
	byNode := make(map[*scattergather.Tree]*scattergather.Gatherer)
	var build func(string) *scattergather.Tree
	build = func(name string) *scattergather.Tree {
		g := gatherers[name]
		node := &scattergather.Tree{Name: name, Merge: scattergather.Merges[g.cfg.Merge], MinShare: g.cfg.MinWeightFraction}
		byNode[node] = g.Gatherer
		for _, p := range g.cfg.Parts {
			part := scattergather.Part{Name: p.Name, Weight: p.Weight}
			if gatherers[p.Name] != nil {
				part.Inner = build(p.Name)
			}
			node.Parts = append(node.Parts, part)
		}
		return node
	}
	tree := gatherTree{root: build(name)}
	tree.leaves = tree.root.NumberParts() // also assigns the node IDs
	tree.gatherers = make([]*scattergather.Gatherer, len(byNode))
	for node, g := range byNode {
		tree.gatherers[node.ID] = g
	}
	return tree
}

// gatherTarget returns the routing target by which the front reaches a scatter-gather service.
func gatherTarget(name string, gatherers map[string]*gatherer, services map[string]*runningService) *front.ScatterGather {
	cfg := gatherers[name].cfg
	tree := newGatherTree(name, gatherers)
	target := &front.ScatterGather{
		Tree:          tree.root,
		Leaves:        tree.leaves,
		Gatherers:     tree.gatherers,
		Deadlines:     make(map[string]time.Duration),
		DefaultClass:  config.ClassRead,
		MaxBodyBytes:  cfg.MaxBodyBytes,
		TimeoutHeader: cfg.TimeHeader,
	}
	for _, class := range cfg.Classes {
		target.Deadlines[class.Name] = class.Deadline
	}
	var accounts []*account
	for _, leaf := range tree.leaves {
		s := services[leaf.Name]
		target.Targets = append(target.Targets, front.Target{
			Service:      s.Service,
			MaxBodyBytes: s.cfg.MaxBodyBytes,
			Protocol:     s.genericHTTP,
		})
		if s.cfg.MaxBodyBytes >= 0 {
			target.MaxBodyBytes = min(target.MaxBodyBytes, s.cfg.MaxBodyBytes)
		}
		accounts = append(accounts, s.account)
	}
	target.Load = func() float64 { return requestLoad(accounts) }
	return target
}

// requestLoad returns the mean over services of requests in flight divided by the guaranteed number of requests,
// where each quotient counts as 1 at most.
func requestLoad(accounts []*account) float64 {
	sum := 0.0
	for _, a := range accounts {
		usage := a.requests.Slots.Usage()
		sum += min(1, float64(usage.Used)/float64(max(1, usage.Guaranteed)))
	}
	return sum / float64(len(accounts))
}

// GathererStatus returns the status of each scatter-gather service, sorted by name; nil if there is none.
func (n *Node) GathererStatus() []scattergather.Status {
	n.mu.Lock()
	gatherers := make([]*gatherer, 0, len(n.gatherers))
	for _, g := range n.gatherers {
		gatherers = append(gatherers, g)
	}
	n.mu.Unlock()
	slices.SortFunc(gatherers, func(a, b *gatherer) int { return strings.Compare(a.Name, b.Name) })
	var statuses []scattergather.Status
	for _, g := range gatherers {
		status := g.Status(config.ClassRead)
		if g.sharer != nil {
			shared := g.sharer.Status()
			status.Shared = &shared
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// gathererModels returns the encoded wait policy models of the scatter-gather services by service name.
func (n *Node) gathererModels() map[string][]byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.gatherers) == 0 {
		return nil
	}
	models := make(map[string][]byte)
	for name, g := range n.gatherers {
		raw, err := g.Model.Encode()
		if err != nil {
			slog.Warn("encoding the wait policy model failed", "service", name, "err", err)
			continue
		}
		models[name] = raw
	}
	return models
}

// restoreGathererModels loads wait policy models, by service name, that were encoded age ago.
func (n *Node) restoreGathererModels(models map[string][]byte, age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, g := range n.gatherers {
		if raw, ok := models[name]; ok {
			g.restoreModel(raw, age, nil)
		}
	}
}
