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

// sharing is what a gathering service learns on its way to other instances. It goes on over reloads
// that leave its stores as they are.
type sharing struct {
	*share.Sharer
	stop func() // nil before it runs
}

func newSharing(c config.GatherShare, m *waitpolicy.Model) (*sharing, error) {
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
	return &sharing{Sharer: s}, nil
}

// share has the gathering services in force share what they learn, and those no longer that were;
// n.mu is held.
func (n *Node) share(old, next map[string]*gathering) {
	used := make(map[*sharing]bool)
	for _, g := range next {
		s := g.sharing
		if s == nil {
			continue
		}
		used[s] = true
		s.Use(g.Model)
		if s.stop == nil && n.work != nil {
			life, end := context.WithCancel(n.work)
			s.stop = end
			n.parts.Go(func() { s.Run(life) })
		}
	}
	for _, g := range old {
		if s := g.sharing; s != nil && !used[s] && s.stop != nil {
			s.stop()
		}
	}
}
