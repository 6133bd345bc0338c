package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"

	"lockflow/internal/config"
	"lockflow/internal/waitpolicy"
	"lockflow/internal/waitpolicy/share"
)

// modelSharer is what a gathering service learns on its way to other instances. It goes on over reloads
// that leave its stores as they are.
type modelSharer struct {
	*share.Sharer
	stop func() // nil before it runs
}

func newModelSharer(c config.GatherShare, m *waitpolicy.Model) (*modelSharer, error) {
	password := ""
	if c.PasswordFile != "" {
		raw, err := os.ReadFile(c.PasswordFile)
		if err != nil {
			return nil, fmt.Errorf("sharing: %w", err)
		}
		password = strings.TrimRight(string(raw), "\r\n")
	}
	o := share.Options{Name: c.Name, Self: fmt.Sprintf("%016x", rand.Uint64()), Within: c.Within, Seed: rand.Uint64()}
	for _, a := range c.Addresses {
		o.Stores = append(o.Stores, share.Store{Address: a, Username: c.Username, Password: password})
	}
	s, err := share.New(o, m)
	if err != nil {
		return nil, err
	}
	return &modelSharer{Sharer: s}, nil
}

// shareModels has the gathering services in force share what they learn, and those no longer that were;
// n.mu is held.
func (n *Node) shareModels(old, next map[string]*gatherer) {
	used := make(map[*modelSharer]bool)
	for _, g := range next {
		s := g.sharer
		if s == nil {
			continue
		}
		used[s] = true
		s.Use(g.Model)
		if s.stop == nil && n.servicesContext != nil {
			life, end := context.WithCancel(n.servicesContext)
			s.stop = end
			n.tasks.Go(func() { s.Run(life) })
		}
	}
	for _, g := range old {
		if s := g.sharer; s != nil && !used[s] && s.stop != nil {
			s.stop()
		}
	}
}
