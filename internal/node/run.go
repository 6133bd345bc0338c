package node

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"
)

// finalAnswerTime limits the time for writing the last answers at shutdown. With the shortest deadlines there is no more
// time between the last step of the drain and SIGKILL.
const finalAnswerTime = 200 * time.Millisecond

// Run serves until ctx is done, then drains. It returns once all services and goroutines that it started have ended. An
// error means that the node itself failed.
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

// startServices starts all services. Services that reloads add later run under the same context.
func (n *Node) startServices(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servicesContext = ctx
	for _, s := range n.services {
		n.startService(s)
	}
	n.shareModels(nil, n.gatherers)
}

// awaitReady returns once the node is ready or ctx is done.
func (n *Node) awaitReady(ctx context.Context) {
	for !n.isReady() {
		select {
		case <-n.readyChanged:
		case <-ctx.Done():
			return
		}
	}
}

// startListeners starts accepting clients on all listeners.
func (n *Node) startListeners() {
	server := n.front.Server()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server = server
	for _, l := range n.listeners {
		n.serveListener(l)
	}
}

// drain ends the node without losing a request. Until drainListeners clients can still connect, and each answer closes
// its connection. The node ends once all requests in flight are answered.
func (n *Node) drain(cancelServices context.CancelFunc) error {
	n.front.Drain()
	slog.Info("draining") // from here on each answer closes its connection
	n.mu.Lock()
	startedAt := time.Now()
	schedule := n.cfg.Process.Drain
	n.mu.Unlock()
	steps := []struct {
		at  time.Duration // since the start of the drain
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
	cancelServices() // requests still in flight are answered as failed
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

// drainListeners accepts the connections in the listeners' accept queues and no later ones. Connections are closed once
// they are idle.
func (n *Node) drainListeners() {
	n.mu.Lock()
	for _, l := range n.listeners {
		l.drain()
	}
	n.mu.Unlock()
	n.front.CloseWhenIdle()
}

// awaitDisconnected is called after drainListeners. It waits until no client is connected or in an accept queue, or until
// the timeout. A connection that is still in an accept queue after the timeout could not get a descriptor.
func (n *Node) awaitDisconnected(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	n.mu.Lock()
	listeners := slices.Concat(n.listeners, n.removed)
	n.mu.Unlock()
	awaitListeners(ctx, listeners)
	n.front.WaitDisconnected(ctx)
}

// shutDown waits for up to finalAnswerTime until the last answers are written, and stops listening. Since the services
// have ended or are about to end, all descriptors are made available to clients.
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
