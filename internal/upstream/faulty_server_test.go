package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/h2"
	"lockflow/internal/testsupport/fake"
)

// runUpdatesOnFaultyServer sends updates concurrently to a server with random faults and returns the violations it
// finds. An update is retried only if its outcome states that it has not run or, with retriesBrokenStreams, also if
// its stream broke.
func runUpdatesOnFaultyServer(t *testing.T, seed uint64, retriesBrokenStreams bool) (violations []string) {
	random := rand.New(rand.NewPCG(seed, 77))
	faults := fake.HTTP2Faults{Refuse: 0.1, Reset: 0.05, Error: 0.05, Lower: 0.1, GoAway: 0.1, CutRead: 0.3, CutSent: 0.3}
	server, err := fake.HTTP2Server{UID: "s", Seed: seed, Faults: faults, Streams: uint32(1 + random.IntN(8))}.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	upstream := newHTTP2Upstream(HTTP2Options{MaxStreams: 1 + random.IntN(8), MaxConnections: 1 + random.IntN(3)})
	pool := upstream.NewPool(server.Addr(), ProtocolHTTP2)
	var mu sync.Mutex
	report := func(format string, args ...any) {
		mu.Lock()
		violations = append(violations, fmt.Sprintf(format, args...))
		mu.Unlock()
	}
	var updates sync.WaitGroup
	for i := range 12 {
		id, body := fmt.Sprint("r", i), strings.Repeat("x", random.IntN(400))
		updates.Go(func() {
			attempt := func(ctx context.Context, update *BufferedRequest) Outcome {
				return update.Attempt(ctx, ctx, upstream, pool)
			}
			sendUpdate(id, body, server, retriesBrokenStreams, attempt, report)
		})
	}
	updates.Wait()
	upstream.RetirePool(pool)
	if counts := server.Executions.Counts(); counts.DuplicateEffects > 0 || counts.Repeated > 0 || counts.MaxInFlight > 1 {
		report("%+v", counts)
	}
	return violations
}

// sendUpdate sends one update, with retries according to runUpdatesOnFaultyServer, and reports violations.
func sendUpdate(
	id, body string, server *fake.RunningHTTP2, retriesBrokenStreams bool,
	attempt func(context.Context, *BufferedRequest) Outcome, report func(format string, args ...any),
) {
	buffered := newUpdate(id, body)
	knownRuns := 0 // attempts that ran and were reported as possibly run
	for try := 0; try < 30; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		outcome := attempt(ctx, buffered)
		cancel()
		ran := server.Executions.Runs(id) - knownRuns
		var end *h2.StreamError
		errors.As(outcome.Err, &end)
		switch outcome.Reason {
		case control.OK, control.Errored:
			if ran != 1 || outcome.Reason == control.OK && string(outcome.Body) != "s "+id {
				report("%s: %v, body %q, ran %d times", id, outcome.Reason, outcome.Body, ran)
			}
			return
		case control.RejectedByServer, control.ConnectFailed, control.NotSent:
			if ran != 0 {
				report("%s: reported as not run (%v, %v), but it ran", id, outcome.Reason, outcome.Err)
				return
			}
		case control.ResetByPeer:
			// Only a request that was sent completely, and then saw nothing but the end of its connection, may have run as
			// far as the node can know.
			if ran == 0 && (end == nil || end.End != h2.EndBroken || end.Moment != h2.MomentSent) {
				report("%s: reported as possibly run, but could be known not to have run: %v", id, outcome.Err)
			}
			if knownRuns += ran; !retriesBrokenStreams {
				return
			}
		default:
			report("%s: unexpected outcome %v, %v", id, outcome.Reason, outcome.Err)
			return
		}
	}
}

// TestUpdatesRunOnceOnFaultyServer checks that no update runs twice, and that an update which has not run is reported
// as not run, with a server that closes connections at any byte, refuses streams, sends GOAWAY and changes its limits.
func TestUpdatesRunOnceOnFaultyServer(t *testing.T) {
	seeds := 300
	if n, err := strconv.Atoi(os.Getenv("LOCKFLOW_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		if violations := runUpdatesOnFaultyServer(t, seed, false); len(violations) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(violations, "\n"))
		}
	}
}

// TestFaultyServerFindsRetriesOfBrokenStreams checks that the test above detects a client which retries requests whose
// stream broke.
func TestFaultyServerFindsRetriesOfBrokenStreams(t *testing.T) {
	for seed := range uint64(100) {
		if len(runUpdatesOnFaultyServer(t, seed, true)) > 0 {
			return
		}
	}
	t.Error("no update ran twice with 100 seeds")
}
