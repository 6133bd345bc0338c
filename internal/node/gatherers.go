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

// gatherer is a service in force that gathers, and what it was made from.
type gatherer struct {
	*scattergather.Gatherer
	cfg    config.Gather
	sharer *modelSharer // nil shares nothing
}

// prepareGatherers makes the gathering services of a configuration. One that stays as it was goes on; one
// that changes goes on with what its former self has learned of the parts that both have, and its
// counts. Queries that have begun end under what they began with. It changes nothing; n.mu is held, or
// nobody knows of n yet.
func (n *Node) prepareGatherers(cfg *config.Config) (map[string]*gatherer, error) {
	if len(cfg.Gathers) == 0 {
		return nil, nil
	}
	next := make(map[string]*gatherer, len(cfg.Gathers))
	for _, c := range cfg.Gathers {
		was := n.gatherers[c.Name]
		if was != nil && reflect.DeepEqual(was.cfg, c) {
			next[c.Name] = was
			continue
		}
		g := &gatherer{cfg: c, Gatherer: &scattergather.Gatherer{Name: c.Name, Settings: waitPolicySettings(c), RetryAfter: c.RetryAfter, Counts: new(scattergather.Counts)}}
		if err := g.Settings.Check(); err != nil {
			return nil, fmt.Errorf("service %s: gather: %w", c.Name, err)
		}
		g.Model = waitpolicy.NewModel(g.Settings, waitpolicy.Options{Seed: rand.Uint64()})
		if was != nil {
			g.Counts = was.Counts
			raw, err := was.Model.Encode()
			g.restoreModel(raw, 0, err)
		}
		if was != nil && reflect.DeepEqual(was.cfg.Share, c.Share) {
			g.sharer = was.sharer
		} else if len(c.Share.Addresses) > 0 {
			var err error
			if g.sharer, err = newModelSharer(c.Share, g.Model); err != nil {
				return nil, fmt.Errorf("service %s: gather: %w", c.Name, err)
			}
		}
		next[c.Name] = g
	}
	return next, nil
}

// restoreModel takes over what was learned so long ago under other settings, or by another process. What
// can't be read is told, and nothing of it taken: it is learned anew.
func (g *gatherer) restoreModel(raw []byte, ago time.Duration, err error) {
	if err == nil {
		err = g.Model.Restore(raw, ago)
	}
	if err != nil {
		slog.Warn("gather: what was learned is learned anew", "service", g.Name, "err", err)
	}
}

func waitPolicySettings(c config.Gather) *waitpolicy.Settings {
	s := &waitpolicy.Settings{Least: c.Least, HalfLife: c.HalfLife, Fixed: c.Fixed}
	switch c.Deadline {
	case config.DeadlineNone:
		s.Mode = waitpolicy.None
	case "":
		s.Mode = waitpolicy.Fixed
	}
	for _, p := range c.Parts {
		s.Parts = append(s.Parts, waitpolicy.Part{Name: p.Name, Weight: p.Weight})
	}
	return s
}

// buildTree is what a gathering service reaches; by lists its gatherers by the trees' IDs.
func buildTree(name string, gathers map[string]*gatherer) (t *scattergather.Tree, leaves []scattergather.Leaf, by []*scattergather.Gatherer) {
	all := make(map[*scattergather.Tree]*scattergather.Gatherer)
	var down func(string) *scattergather.Tree
	down = func(name string) *scattergather.Tree {
		g := gathers[name]
		t := &scattergather.Tree{Name: name, Merge: scattergather.Merges[g.cfg.Merge], Least: g.cfg.Least}
		all[t] = g.Gatherer
		for _, p := range g.cfg.Parts {
			part := scattergather.Part{Name: p.Name, Weight: p.Weight}
			if gathers[p.Name] != nil {
				part.Inner = down(p.Name)
			}
			t.Parts = append(t.Parts, part)
		}
		return t
	}
	t = down(name)
	leaves = t.Number()
	by = make([]*scattergather.Gatherer, len(all))
	for t, g := range all {
		by[t.ID] = g
	}
	return t, leaves, by
}

// gatherTarget is a gathering service as the front serves it.
func gatherTarget(name string, gathers map[string]*gatherer, services map[string]*runningService) *front.ScatterGather {
	c := gathers[name].cfg
	g := &front.ScatterGather{Deadlines: make(map[string]time.Duration), DefaultClass: config.ClassRead, MaxBodyBytes: c.Body, TimeoutHeader: c.TimeHeader}
	g.Tree, g.Leaves, g.Gatherers = buildTree(name, gathers)
	for _, k := range c.Classes {
		g.Deadlines[k.Name] = k.Deadline
	}
	var parts []*account
	for _, l := range g.Leaves {
		s := services[l.Name]
		g.Targets = append(g.Targets, front.Target{Service: s.Service, MaxBodyBytes: s.cfg.Body, Protocol: s.ordinary})
		if s.cfg.Body >= 0 {
			g.MaxBodyBytes = min(g.MaxBodyBytes, s.cfg.Body)
		}
		parts = append(parts, s.account)
	}
	g.Load = func() float64 { return requestLoad(parts) }
	return g
}

// requestLoad is the mean share that services use of what they are guaranteed of held requests.
func requestLoad(parts []*account) float64 {
	sum := 0.0
	for _, a := range parts {
		u := a.requests.Slots.Usage()
		sum += min(1, float64(u.Used)/float64(max(1, u.Guaranteed)))
	}
	return sum / float64(len(parts))
}

// GathererStatus tells what each gathering service is doing, by name; none where there are none.
func (n *Node) GathererStatus() []scattergather.Status {
	n.mu.Lock()
	var all []*gatherer
	for _, g := range n.gatherers {
		all = append(all, g)
	}
	n.mu.Unlock()
	slices.SortFunc(all, func(a, b *gatherer) int { return strings.Compare(a.Name, b.Name) })
	var out []scattergather.Status
	for _, g := range all {
		st := g.Status(config.ClassRead)
		if g.sharer != nil {
			shared := g.sharer.Status()
			st.Shared = &shared
		}
		out = append(out, st)
	}
	return out
}

// gathererModels is what the gathering services have learned.
func (n *Node) gathererModels() map[string][]byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.gatherers) == 0 {
		return nil
	}
	all := make(map[string][]byte)
	for name, g := range n.gatherers {
		if raw, err := g.Model.Encode(); err == nil {
			all[name] = raw
		} else {
			slog.Warn("gather: what was learned can't be written", "service", name, "err", err)
		}
	}
	return all
}

// restoreGathererModels takes over what gathering services had learned so long ago.
func (n *Node) restoreGathererModels(all map[string][]byte, ago time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, g := range n.gatherers {
		if raw, ok := all[name]; ok {
			g.restoreModel(raw, ago, nil)
		}
	}
}
