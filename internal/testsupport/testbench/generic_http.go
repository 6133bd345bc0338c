package testbench

import (
	"context"
	"fmt"
	"strings"

	"lockflow/internal/config"
	"lockflow/internal/node"
	"lockflow/internal/testsupport/fake"
)

// GenericHTTP is a node of one service, app, that serves generic HTTP from origins.
type GenericHTTP struct {
	Node    *node.Node
	Origins []*fake.Origin

	stop context.CancelFunc
	done chan error
	err  error
}

// StartGenericHTTP starts origins and a node before them. process and service are further lines of the
// configuration's [process] and [services.app], more is what stands behind it all; @origins stands
// for the list of the origins as static servers.
func StartGenericHTTP(origins []*fake.Origin, process, service, more string) (*GenericHTTP, error) {
	o := &GenericHTTP{done: make(chan error, 1), stop: func() {}}
	for _, one := range origins {
		if err := one.Start(); err != nil {
			o.closeOrigins()
			return nil, err
		}
		o.Origins = append(o.Origins, one)
	}
	cfg, err := o.Config(process, service, more)
	if err == nil {
		o.Node, err = node.New(cfg)
	}
	if err != nil {
		o.closeOrigins()
		return nil, fmt.Errorf("starting the node: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	o.stop = stop
	go func() { o.done <- o.Node.Run(ctx) }()
	return o, nil
}

// Config is a configuration of the node as StartGenericHTTP has it.
func (o *GenericHTTP) Config(process, service, more string) (config.Config, error) {
	if more == "" {
		more = "[[routes]]\nservice = \"app\"\nupgrade = [\"echo\", \"websocket\"]\n"
	}
	text := "[process]\n" + process + "\n[[listeners]]\naddress = \"127.0.0.1:0\"\n[services.app]\n" + service +
		"\nsource = { kind = \"static\", servers = @origins }\n" + more
	return config.Parse("lab.toml", []byte(strings.ReplaceAll(text, "@origins", o.list())))
}

func (o *GenericHTTP) list() string {
	var list []string
	for _, one := range o.Origins {
		list = append(list, fmt.Sprintf("{ endpoint = %q }", one.Addr()))
	}
	return "[" + strings.Join(list, ", ") + "]"
}

// Stop drains the node and ends everything. Further calls do nothing; each gives the error with
// which the node ended.
func (o *GenericHTTP) Stop() error {
	if o.done != nil {
		o.stop()
		o.err = <-o.done
		o.done = nil
		o.closeOrigins()
	}
	return o.err
}

// Drain has the node begin to drain; Stop waits for the end.
func (o *GenericHTTP) Drain() { o.stop() }

func (o *GenericHTTP) closeOrigins() {
	for _, one := range o.Origins {
		one.Close()
	}
}
