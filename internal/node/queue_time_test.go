package node

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/testkit"
)

// Guards against servers that are told more time than the client has left. When several clients wait in the accept queue
// for one descriptor, the time of each counts from the arrival of its request, not from the previous accept.
func TestTimeBehindOtherClientsInAcceptQueueCountsAgainstDeadline(t *testing.T) {
	const (
		held    = 400 * time.Millisecond // time for which the first client keeps the descriptor
		waiting = 3
	)
	cfg, err := config.LoadPlatform("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Process.Descriptors = limits.MinDescriptors // one client
	cfg.Process.Drain = config.Drain{}
	r := newTestNodeWithConfig(t, cfg)
	arrived := make(chan struct{})
	release := make(chan struct{})
	timesLeft := make(chan string, waiting)
	app := testkit.NewApp(t, func(_ http.ResponseWriter, req *http.Request) {
		if req.Header.Get(protocol.HeaderID) == "first" {
			close(arrived)
			<-release
			return
		}
		timesLeft <- req.Header.Get(protocol.HeaderTimeLeft)
	})
	r.setEndpoints(endpointOf(app, "s-1", 0))
	first := r.dial()
	r.newRequest(http.MethodGet, "/roster-read", "first").Write(first)
	testkit.Next(t, arrived)
	for _, id := range []string{"id-1", "id-2", "id-3"} {
		client := r.dial()
		request := r.newRequest(http.MethodGet, "/roster-read", id)
		request.Header.Set(protocol.HeaderTimeLeft, "2000m")
		request.Close = true
		request.Write(client)
		go func() {
			if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err == nil {
				io.Copy(io.Discard, resp.Body)
				client.Close()
			}
		}()
	}
	time.Sleep(held) // the requests wait in the queue
	close(release)
	// The answer is read before the connection is closed, because a request whose client disconnects is cancelled and
	// stays in flight for a while.
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("first client: answer %v, error %v, want 200", resp, err)
	}
	first.Close()
	for range waiting {
		text := testkit.Next(t, timesLeft)
		left, err := time.ParseDuration(text + "s")
		if err != nil || left > 2*time.Second-held+50*time.Millisecond {
			t.Errorf("the server was told that %q of 2000m are left after %v in the accept queue (parse error %v)", text, held, err)
		}
	}
}
