// Package benchtest runs a test bench for the duration of a test.
package benchtest

import (
	"context"
	"testing"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testkit"
)

// Begin starts a bench with testbench.Start and waits until its node is ready. The bench is stopped when the test ends.
func Begin(t testing.TB, text string, servers map[string][]fake.Server) *testbench.Bench {
	t.Helper()
	bench, err := testbench.Start(text, servers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := bench.Stop(); err != nil {
			t.Error(err)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
	defer cancel()
	if err := bench.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	return bench
}
