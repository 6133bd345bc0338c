// Package testbench runs a node with fake peers on loopback addresses for the demo, tests and measurements.
package testbench

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/node"
	"lockflow/internal/testsupport/fake"
)

// Bench is a node with fake app servers and a fake discovery for each of its services.
type Bench struct {
	Node  *node.Node
	Pools map[string]*Pool // by service

	stop context.CancelFunc
	done chan error
	once sync.Once
	err  error
}

// Pool contains the fake peers of one service.
type Pool struct {
	Discovery  *fake.Discovery
	Servers    []*fake.Running
	Executions *fake.Executions // shared by the servers that had none of their own
}

// Stall stalls or resumes all servers.
func (p *Pool) Stall(isStalled bool) {
	for _, s := range p.Servers {
		if isStalled {
			s.Stall()
		} else {
			s.Resume()
		}
	}
}

// Close stops the servers and the discovery.
func (p *Pool) Close() {
	for _, s := range p.Servers {
		s.Close()
	}
	if p.Discovery != nil {
		p.Discovery.Close()
	}
}

// StartPool starts servers and a discovery that lists them. Servers without Executions share one.
func StartPool(servers []fake.Server) (*Pool, error) {
	discovery, err := fake.StartDiscovery()
	if err != nil {
		return nil, err
	}
	p := &Pool{Discovery: discovery, Executions: &fake.Executions{}}
	var entries []fake.Entry
	for _, s := range servers {
		if s.Executions == nil {
			s.Executions = p.Executions
		}
		r, err := s.Start()
		if err != nil {
			p.Close()
			return nil, err
		}
		p.Servers = append(p.Servers, r)
		entries = append(entries, r.Entry())
	}
	p.Discovery.Publish(entries...)
	return p, nil
}

// Start starts the servers and the discovery of each service, and a node with the configuration in text. In the
// configuration, @NAME is replaced by the address of the discovery of service NAME.
func Start(text string, servers map[string][]fake.Server) (*Bench, error) {
	b := &Bench{Pools: make(map[string]*Pool), done: make(chan error, 1), stop: func() {}}
	for name, s := range servers {
		p, err := StartPool(s)
		if err != nil {
			b.closePools()
			return nil, err
		}
		b.Pools[name] = p
	}
	cfg, err := b.Config(text)
	if err == nil {
		b.Node, err = node.New(cfg)
	}
	if err != nil {
		b.closePools()
		return nil, fmt.Errorf("starting the node: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go func() { b.done <- b.Node.Run(ctx) }()
	return b, nil
}

// Ready waits until every service of the node is ready, or ctx is done.
func (b *Bench) Ready(ctx context.Context) error {
	for {
		isReady := true
		for _, s := range b.Node.Status() {
			isReady = isReady && s.Ready
		}
		if isReady {
			return nil
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("waiting for the node to become ready: %w", ctx.Err())
		}
	}
}

// Config parses a configuration after replacing @NAME in it as Start does.
func (b *Bench) Config(text string) (config.Config, error) {
	for name, p := range b.Pools {
		text = strings.ReplaceAll(text, "@"+name+`"`, p.Discovery.Addr()+`"`)
	}
	return config.Parse("lab.toml", []byte(text))
}

// Reload loads another configuration into the node after replacing @NAME in it as Start does.
func (b *Bench) Reload(text string) error {
	cfg, err := b.Config(text)
	if err != nil {
		return err
	}
	return b.Node.Reload(cfg)
}

// Stop drains the node, stops its fake peers and returns the node's error. Later calls only return the same error.
func (b *Bench) Stop() error {
	b.once.Do(func() {
		b.stop()
		for _, p := range b.Pools {
			p.Stall(false)
		}
		b.err = <-b.done
		b.closePools()
	})
	return b.err
}

func (b *Bench) closePools() {
	for _, p := range b.Pools {
		p.Close()
	}
}
