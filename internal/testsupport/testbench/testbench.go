// Package testbench puts a node between stand-in peers on loopback addresses: the demo, tests and
// measurements run in it.
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

// Bench is a node with the app servers and the discovery of each of its services.
type Bench struct {
	Node  *node.Node
	Pools map[string]*Pool // by service

	text string
	stop context.CancelFunc
	done chan error
	once sync.Once
	err  error
}

// Pool is what stands behind one service.
type Pool struct {
	Discovery  *fake.Discovery
	Servers    []*fake.Running
	Executions *fake.Executions
}

// Stall has all servers of the pool hold what they get, or go on.
func (p *Pool) Stall(stalled bool) {
	for _, s := range p.Servers {
		if stalled {
			s.Stall()
		} else {
			s.Resume()
		}
	}
}

// Close ends the pool's servers and discovery.
func (p *Pool) Close() {
	for _, s := range p.Servers {
		s.Close()
	}
	if p.Discovery != nil {
		p.Discovery.Close()
	}
}

// StartPool starts servers and a discovery that lists them. Those without a tally share one.
func StartPool(servers []fake.Server) (*Pool, error) {
	p := &Pool{Executions: &fake.Executions{}}
	var err error
	if p.Discovery, err = fake.StartDiscovery(); err != nil {
		return nil, err
	}
	var list []fake.Entry
	for _, s := range servers {
		if s.Executions == nil {
			s.Executions = p.Executions
		}
		r, err := s.Start()
		if err != nil {
			p.Close()
			return nil, err
		}
		p.Servers, list = append(p.Servers, r), append(list, r.Entry())
	}
	p.Discovery.Publish(list...)
	return p, nil
}

// Start starts servers for each service and a node of the configuration in text, in which
// @NAME stands for the address of that service's discovery.
func Start(text string, servers map[string][]fake.Server) (*Bench, error) {
	l := &Bench{Pools: make(map[string]*Pool), text: text, done: make(chan error, 1), stop: func() {}}
	for name, s := range servers {
		p, err := StartPool(s)
		if err != nil {
			l.closePools()
			return nil, err
		}
		l.Pools[name] = p
	}
	cfg, err := l.Config(text)
	if err == nil {
		l.Node, err = node.New(cfg)
	}
	if err != nil {
		l.closePools()
		return nil, fmt.Errorf("starting the node: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	go func() { l.done <- l.Node.Run(ctx) }()
	return l, nil
}

// Ready waits until every service of the node has a server to send to.
func (l *Bench) Ready(ctx context.Context) error {
	for {
		ready := true
		for _, s := range l.Node.Status() {
			ready = ready && s.Ready
		}
		if ready {
			return nil
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("waiting for the node: %w", ctx.Err())
		}
	}
}

// Config reads a configuration in which @NAME stands for the address of a service's discovery.
func (l *Bench) Config(text string) (config.Config, error) {
	for name, p := range l.Pools {
		text = strings.ReplaceAll(text, "@"+name+`"`, p.Discovery.Addr()+`"`)
	}
	return config.Parse("lab.toml", []byte(text))
}

// Reload has the node take another configuration.
func (l *Bench) Reload(text string) error {
	cfg, err := l.Config(text)
	if err != nil {
		return err
	}
	return l.Node.Reload(cfg)
}

// Stop drains the node and ends everything. Only its first call does anything; each gives the
// error with which the node ended.
func (l *Bench) Stop() error {
	l.once.Do(func() {
		l.stop()
		for _, p := range l.Pools {
			p.Stall(false)
		}
		l.err = <-l.done
		l.closePools()
	})
	return l.err
}

func (l *Bench) closePools() {
	for _, p := range l.Pools {
		p.Close()
	}
}
