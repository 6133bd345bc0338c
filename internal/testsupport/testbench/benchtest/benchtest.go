// Package benchtest runs a lab for the length of a test.
package benchtest

import (
	"context"
	"testing"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testkit"
)

// Begin starts a lab that the end of a test stops, and waits until its node is ready.
func Begin(t testing.TB, text string, servers map[string][]fake.Server) *testbench.Bench {
	t.Helper()
	l, err := testbench.Start(text, servers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.Stop(); err != nil {
			t.Error(err)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
	defer cancel()
	if err := l.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	return l
}
