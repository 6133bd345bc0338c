package service

import (
	"context"
	"testing"
	"testing/synctest"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/upstream"
)

// Guards against a restart that loses the state of its servers: a state is restored before discovery has listed any
// server, and its latencies and concurrency limit must apply once the servers are listed.
func TestStateRestoredBeforeFirstListKeepsServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			latency = 0.2 // seconds
			limit   = 50.0
		)
		newModule := func() (Module, error) { return control.New(testSettings(), 1) }
		predecessor, _ := startService(t, Options{NewModule: newModule})
		synctest.Wait()
		state, ok := predecessor.Checkpoint()
		if !ok || len(state.Checkpoint.Servers) != 1 {
			t.Fatalf("checkpoint of the predecessor: %+v, %v; want 1 server", state, ok)
		}
		state.Checkpoint.ConcurrencyLimit = limit
		state.Checkpoint.UsableServers = 1
		state.Checkpoint.Servers[0].Latency = latency
		state.Checkpoint.Servers[0].LatencyAt = state.Checkpoint.At

		endpoints := []discovery.Endpoint{{UID: "s-1", Address: "127.0.0.1:1", State: "up"}}
		restarted, err := New(Options{
			NewModule: newModule,
			Settings:  testSettings(),
			Upstream:  upstream.Options{SocketLimiter: limits.NewSocketLimiter(100)},
			Source:    discovery.Source{Kind: discovery.Static, Endpoints: endpoints},
		})
		if err != nil {
			t.Fatal(err)
		}
		restarted.Restore(state, 0, control.TrustAll)
		ctx, stop := context.WithCancel(context.Background())
		go func() { _ = restarted.Run(ctx) }()
		t.Cleanup(func() { stop(); synctest.Wait() })
		synctest.Wait()
		got, ok := restarted.Checkpoint()
		if !ok || len(got.Checkpoint.Servers) != 1 {
			t.Fatalf("checkpoint after the restart: %+v, %v; want 1 server", got, ok)
		}
		if server := got.Checkpoint.Servers[0]; server.Latency != latency {
			t.Errorf("latency %v, want %v", server.Latency, latency)
		}
		if got := got.Checkpoint.ConcurrencyLimit; got < limit-1 || got > limit+1 {
			t.Errorf("concurrency limit %v, want about %v", got, limit)
		}
	})
}
