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

// modelSharer exchanges the wait policy model of one gatherer with other instances. It is kept in reloads that do not
// change the configured stores.
type modelSharer struct {
	*share.Sharer
	cancel func() // nil until Run has been started
}

func newModelSharer(cfg config.GatherShare, model *waitpolicy.Model) (*modelSharer, error) {
	password, err := readPassword(cfg.PasswordFile)
	if err != nil {
		return nil, fmt.Errorf("sharing the wait policy model: %w", err)
	}
	options := share.Options{
		Gatherer:   cfg.Name,
		InstanceID: fmt.Sprintf("%016x", rand.Uint64()),
		Timeout:    cfg.CallTimeout,
		Seed:       rand.Uint64(),
	}
	for _, address := range cfg.Addresses {
		options.Stores = append(options.Stores, share.Store{
			Address:  address,
			Username: cfg.Username,
			Password: password,
		})
	}
	sharer, err := share.New(options, model)
	if err != nil {
		return nil, err
	}
	return &modelSharer{Sharer: sharer}, nil
}

// readPassword returns the content of a password file without its line ending. An empty path means no password.
func readPassword(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(raw), "\r\n"), nil
}

// shareModels starts sharing the models of the next gatherers and stops the sharers that only old gatherers used. The
// caller holds n.mu.
func (n *Node) shareModels(old, next map[string]*gatherer) {
	used := make(map[*modelSharer]bool)
	for _, g := range next {
		sharer := g.sharer
		if sharer == nil {
			continue
		}
		used[sharer] = true
		sharer.SetModel(g.Model)
		if sharer.cancel == nil && n.servicesContext != nil {
			ctx, cancel := context.WithCancel(n.servicesContext)
			sharer.cancel = cancel
			n.tasks.Go(func() { sharer.Run(ctx) })
		}
	}
	for _, g := range old {
		sharer := g.sharer
		if sharer == nil || used[sharer] {
			continue
		}
		if sharer.cancel != nil {
			sharer.cancel()
		}
	}
}
