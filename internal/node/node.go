package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"martennotch/control"
)

const (
	drainIdle   = 500 * time.Millisecond  // after which a draining node closes idle client connections
	drainAccept = 1000 * time.Millisecond // and takes no new ones
	drainMost   = 3300 * time.Millisecond // and fails what is still held
	drainWrite  = 300 * time.Millisecond  // what those answers may take
)

// Node is an edge node.
type Node struct {
	front     *front
	loop      *loop
	upstream  *upstream
	discovery *watcher
	known     listing
	listener  net.Listener
	listening context.CancelFunc
}

// New makes an edge node and begins to listen.
func New(cfg Config) (*Node, error) {
	socks := newSockets(cfg.Sockets)
	up := newUpstream(cfg.Connect, cfg.Keepalive, socks)
	l, err := newLoop(cfg, up)
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listening for clients: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{front: newFront(cfg.Settings, l, socks), loop: l, upstream: up, known: cfg.Known,
		listener: &countedListener{tcp, ctx, socks}, listening: cancel}
	n.discovery = newWatcher(cfg.Discovery, cfg.Known.Rev, func(news listing) {
		kind := control.Patch
		if news.All {
			kind = control.Whole
		}
		l.post(func() { n.learn(kind, news) })
	})
	return n, nil
}

// Addr is where clients connect.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Reload takes over what may change while the node runs: where discovery is. Requests,
// connections and what the module has learned stay as they are.
func (n *Node) Reload(cfg Config) {
	slog.Info("reloading", "discovery", cfg.Discovery)
	n.discovery.move(cfg.Discovery)
}

// learn tells the loop's side of a list; with a server to send to the node is ready.
func (n *Node) learn(kind control.ListKind, news listing) {
	n.loop.list(kind, news)
	if len(n.loop.ids) > 0 {
		n.front.ready.Store(true)
	}
}

// Run serves until ctx ends, then drains. An error is a failure of the node itself.
func (n *Node) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer end()
	work, stop := context.WithCancel(life)
	defer stop()
	parts.Go(func() { n.loop.run(work) })
	// Guards against a bound that the module sets by a list of no servers.
	if len(n.known.Targets) > 0 {
		n.loop.post(func() { n.learn(control.Stale, n.known) })
	}
	parts.Go(func() { n.discovery.run(life) })
	parts.Go(func() { n.upstream.sweep(life) })
	srv := n.front.server()
	served := make(chan error, 1)
	parts.Go(func() { served <- srv.Serve(n.listener) })
	slog.Info("serving", "listen", n.Addr())

	select {
	case <-ctx.Done():
	case <-n.loop.ended:
		n.finish(srv, drainWrite)
		return n.loop.failed
	case err := <-served:
		return fmt.Errorf("serving clients: %w", err)
	}
	return n.drain(srv, stop)
}

// drain lets go of the clients: they may still come for a while, each answer closes its
// connection, and the node ends when all that it holds is answered.
func (n *Node) drain(srv *http.Server, stop context.CancelFunc) error {
	slog.Info("draining")
	begun := time.Now()
	n.front.draining.Store(true)
	steps := []struct {
		at time.Duration
		do func()
	}{
		{drainIdle, func() { srv.SetKeepAlivesEnabled(false) }},
		{drainAccept, func() { n.finish(srv, drainMost-drainAccept) }},
	}
	for _, s := range steps {
		select {
		case <-time.After(time.Until(begun.Add(s.at))):
			s.do()
		case <-n.loop.ended:
			n.finish(srv, drainWrite)
			return n.loop.failed
		}
	}
	stop() // answers what is still held as failed
	<-n.loop.ended
	n.finish(srv, drainWrite)
	slog.Info("drained", "took", time.Since(begun).Round(time.Millisecond))
	return n.loop.failed
}

// finish stops listening and gives the answers that are under way some time.
func (n *Node) finish(srv *http.Server, within time.Duration) {
	n.listening()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		slog.Warn("closing client connections", "err", err)
	}
}
