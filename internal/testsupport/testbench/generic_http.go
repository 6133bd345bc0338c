package testbench

import (
	"context"
	"fmt"
	"strings"

	"lockflow/internal/config"
	"lockflow/internal/node"
	"lockflow/internal/testsupport/fake"
)

// GenericHTTP is a node with a single service, app, which forwards generic HTTP to origins.
type GenericHTTP struct {
	Node    *node.Node
	Origins []*fake.Origin

	stop context.CancelFunc
	done chan error
	err  error
}

// StartGenericHTTP starts origins and a node. process and service are the lines of the configuration's sections [process]
// and [services.app]; more is appended to the configuration. @origins in any of them is replaced by the list of the
// origins as static servers.
func StartGenericHTTP(origins []*fake.Origin, process, service, more string) (*GenericHTTP, error) {
	g := &GenericHTTP{done: make(chan error, 1), stop: func() {}}
	for _, origin := range origins {
		if err := origin.Start(); err != nil {
			g.closeOrigins()
			return nil, err
		}
		g.Origins = append(g.Origins, origin)
	}
	cfg, err := g.Config(process, service, more)
	if err == nil {
		g.Node, err = node.New(cfg)
	}
	if err != nil {
		g.closeOrigins()
		return nil, fmt.Errorf("starting the node: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	go func() { g.done <- g.Node.Run(ctx) }()
	return g, nil
}

// Config parses the configuration of StartGenericHTTP. If more is empty, the configuration gets a route to the service
// that allows upgrades.
func (g *GenericHTTP) Config(process, service, more string) (config.Config, error) {
	if more == "" {
		more = "[[routes]]\nservice = \"app\"\nupgrade = [\"echo\", \"websocket\"]\n"
	}
	text := "[process]\n" + process + "\n[[listeners]]\naddress = \"127.0.0.1:0\"\n[services.app]\n" + service +
		"\nsource = { kind = \"static\", servers = @origins }\n" + more
	return config.Parse("lab.toml", []byte(strings.ReplaceAll(text, "@origins", g.staticServers())))
}

func (g *GenericHTTP) staticServers() string {
	var servers []string
	for _, origin := range g.Origins {
		servers = append(servers, fmt.Sprintf("{ endpoint = %q }", origin.Addr()))
	}
	return "[" + strings.Join(servers, ", ") + "]"
}

// Stop drains the node, stops the origins and returns the node's error. Later calls only return the same error. It is not
// safe for concurrent use.
func (g *GenericHTTP) Stop() error {
	if g.done != nil {
		g.stop()
		g.err = <-g.done
		g.done = nil
		g.closeOrigins()
	}
	return g.err
}

// Drain starts draining the node. Stop waits until the node has stopped.
func (g *GenericHTTP) Drain() { g.stop() }

func (g *GenericHTTP) closeOrigins() {
	for _, origin := range g.Origins {
		origin.Close()
	}
}
