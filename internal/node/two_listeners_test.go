package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

// Guards against the reset of clients in the accept queues of several listeners that share one descriptor for clients:
// the clients of each listener are answered at the last step of a drain.
func TestDrainAnswersQueuesOfTwoListeners(t *testing.T) {
	const clientsOfEach = 20
	cfg, err := config.LoadPlatform("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Process.Descriptors = limits.MinDescriptors // one client
	cfg.Process.Drain = config.Drain{}
	cfg.Listeners = []string{"127.0.0.1:0", "localhost:0"}
	r := newTestNodeWithConfig(t, cfg)
	answered := r.holdRequest()
	var clients []net.Conn
	for range clientsOfEach {
		for _, address := range r.node.Addresses() {
			client, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { client.Close() })
			client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
			io.WriteString(client, healthzRequest)
			clients = append(clients, client)
		}
	}
	r.stop()
	if status := testkit.Next(t, answered); status != http.StatusBadGateway {
		t.Errorf("request in flight: status %d, want 502", status)
	}
	var lost []string
	for i, client := range clients {
		if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			lost = append(lost, fmt.Sprintf("client %d: answer %v, error %v", i, resp, err))
		}
	}
	if len(lost) > 0 {
		t.Errorf("%d of %d clients were not answered 503; first: %s", len(lost), len(clients), lost[0])
	}
	if err := testkit.Next(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}
