package testbench

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"lockflow/internal/testsupport/fake"
)

// Demo is the configuration, for Start, of a node with two services, rosters and documents. Its resource limits are
// set for 256 descriptors.
//
//go:embed demo.toml
var Demo string

// repeatWindow is the repeat window of the roster servers.
const repeatWindow = 15 * time.Second

// DemoServers returns the app servers of Demo by service. They are fast, so that many requests fit into a short run.
func DemoServers(seed uint64) map[string][]fake.Server {
	groups := []*fake.Group{{Window: repeatWindow}, {Window: repeatWindow}}
	var rosters, documents []fake.Server
	for i := range 4 {
		rosters = append(rosters, fake.Server{
			UID: fmt.Sprint("roster-", i+1), GroupNumber: i % 2, Group: groups[i%2],
			Work: 10 * time.Millisecond, Cores: 4, Queue: 64, Seed: seed + uint64(i),
		})
	}
	for i := range 3 {
		documents = append(documents, fake.Server{
			UID:  fmt.Sprint("document-", i+1),
			Work: 20 * time.Millisecond, Cores: 4, Queue: 256, Seed: seed + 100 + uint64(i),
		})
	}
	return map[string][]fake.Server{"rosters": rosters, "documents": documents}
}

// RosterCall returns a call to the roster service of Demo: a read, or an update with an idempotency key.
func RosterCall(rng *rand.Rand) fake.Call {
	c := fake.Call{
		Kind: "rosters", Host: "care.example", Method: "GET", Path: "/roster-read/week",
		Customer: rng.Uint64N(200), Plan: "standard", Deadline: 2 * time.Second,
	}
	if rng.IntN(2) == 0 {
		c.Method = "POST"
		c.Path = "/visit-update"
		c.Body = "swap"
		c.Key = strconv.FormatUint(rng.Uint64(), 16)
	}
	return c
}

// DocumentCall returns a call to the document service of Demo.
func DocumentCall(rng *rand.Rand) fake.Call {
	return fake.Call{
		Kind: "documents", Host: "care.example", Method: "GET", Path: "/docs/plan-" + strconv.Itoa(rng.IntN(1000)),
		Customer: rng.Uint64N(200), Plan: "standard", Deadline: 2 * time.Second,
	}
}

// WithDescriptors returns Demo with another number of descriptors.
func WithDescriptors(n int) string {
	return strings.Replace(Demo, "descriptors = 256", fmt.Sprintf("descriptors = %d", n), 1)
}

// WithLongDeadlines returns Demo with another number of descriptors and with long deadlines for documents, so that
// requests for documents occupy resources for a long time.
func WithLongDeadlines(descriptors int) string {
	return strings.Replace(WithDescriptors(descriptors), "[classes.doc-read]\naim = \"500ms\"\ndeadline = \"2s\"",
		"[classes.doc-read]\naim = \"10s\"\ndeadline = \"20s\"", 1)
}
