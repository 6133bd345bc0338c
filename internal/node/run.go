package node

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"
)

// finalAnswerTime limits the writing of the last answers. With the shortest deadlines no more time is left between
// the steps of the drain and SIGKILL.
const finalAnswerTime = 200 * time.Millisecond

// Run serves until ctx ends, then drains. It returns once all that it started has ended. An error is a failure
// of the node itself.
func (n *Node) Run(ctx context.Context) error {
	runContext, cancelRun := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer n.tasks.Wait()
	defer cancelRun()
	servicesContext, cancelServices := context.WithCancel(runContext)
	defer cancelServices()
	n.startServices(servicesContext)
	watchers.Go(func() { n.awaitReady(runContext) })
	watchers.Go(func() { n.watchRetired(runContext) })
	n.startListeners()

	select {
	case <-ctx.Done():
		return n.drain(cancelServices)
	case err := <-n.serviceFailures:
		cancelServices()
		n.shutDown()
		return err
	case err := <-n.listenerFailures:
		cancelServices()
		n.shutDown()
		return fmt.Errorf("serving clients: %w", err)
	}
}

// startServices starts all services; those that reloads add later run under the same context.
func (n *Node) startServices(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servicesContext = ctx
	for _, s := range n.services {
		n.startService(s)
	}
	n.shareModels(nil, n.gatherers)
}

// awaitReady returns once the node is ready or ctx ends.
func (n *Node) awaitReady(ctx context.Context) {
	for !n.isReady() {
		select {
		case <-n.readyChanged:
		case <-ctx.Done():
			return
		}
	}
}

// startListeners begins to accept clients.
func (n *Node) startListeners() {
	server := n.front.Server()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server = server
	for _, l := range n.listeners {
		n.serveListener(l)
	}
}

// drain ends the node without losing a request. Until drainListeners, clients may still connect, and each answer
// closes its connection; the node ends once all requests in flight are answered.
func (n *Node) drain(cancelServices context.CancelFunc) error {
	n.front.Drain()
	slog.Info("draining") // each answer from here on closes its connection
	n.mu.Lock()
	startedAt := time.Now()
	schedule := n.cfg.Process.Drain
	n.mu.Unlock()
	steps := []struct {
		at  time.Duration // since the drain has started
		run func()
	}{
		{schedule.Idle, n.front.CloseWhenIdle},
		{schedule.Accept, func() {
			n.drainListeners()
			n.awaitDisconnected(schedule.Max - schedule.Accept)
		}},
	}
	for _, step := range steps {
		select {
		case <-time.After(time.Until(startedAt.Add(step.at))):
			step.run()
		case err := <-n.serviceFailures:
			cancelServices()
			n.shutDown()
			return err
		}
	}
	if n.OnDrained != nil {
		n.OnDrained()
	}
	cancelServices() // answers requests still in flight as failed
	n.awaitServices()
	n.shutDown()
	slog.Info("drained", "took", time.Since(startedAt).Round(time.Millisecond))
	select {
	case err := <-n.serviceFailures:
		return err
	default:
		return nil
	}
}

// drainListeners accepts the clients that wait in the listeners' sockets, and then no more.
func (n *Node) drainListeners() {
	n.mu.Lock()
	for _, l := range n.listeners {
		l.drain()
	}
	n.mu.Unlock()
	n.front.CloseWhenIdle()
}

// awaitDisconnected waits, after drainListeners, until no client waits or is connected, or the timeout. A client
// that then still waits in a socket's queue has found no free descriptor.
func (n *Node) awaitDisconnected(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	n.mu.Lock()
	listeners := slices.Concat(n.listeners, n.removed)
	n.mu.Unlock()
	awaitListeners(ctx, listeners)
	n.front.WaitDisconnected(ctx)
}

// shutDown waits for up to finalAnswerTime until the last answers are written, and stops listening. The services have
// ended or are about to, so that clients may have all descriptors.
func (n *Node) shutDown() {
	n.mu.Lock()
	n.isShutDown = true
	n.limiter.reserveForClients()
	n.mu.Unlock()
	n.front.BeginShutdown()
	n.drainListeners()
	n.awaitDisconnected(finalAnswerTime)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range slices.Concat(n.listeners, n.removed) {
		if l.tcp != nil && l.hasPendingConnection() {
			slog.Warn("listener closed with clients in its queue, which are reset", "listen", l.Addr().String())
		}
		l.close()
	}
}
