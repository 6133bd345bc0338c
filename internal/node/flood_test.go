package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/testsupport/testkit"
)

// Requests that a client pipelines in one write are all answered, in the order that they were sent in.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	const requests = 60
	r := newTestNode(t)
	app := testkit.NewApp(t, func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.WriteString(w, req.Header.Get(protocol.HeaderID)) // the client checks that the body arrives
	})
	r.setEndpoints(endpointOf(app, "s-1", 0))
	var text strings.Builder
	for i := range requests {
		if err := r.newRequest(http.MethodGet, "/roster-read", fmt.Sprint("id-", i)).Write(&text); err != nil {
			t.Fatal(err)
		}
	}
	client := r.dial()
	if _, err := io.WriteString(client, text.String()); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(client)
	for i := range requests {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("reading answer %d: %v", i, err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || string(body) != fmt.Sprint("id-", i) {
			t.Fatalf("answer %d: status %d, body %q, error %v", i, resp.StatusCode, body, err)
		}
	}
}

// dialTo opens a client connection that is closed at the end of the test.
func dialTo(t *testing.T, address string) net.Conn {
	t.Helper()
	client, err := net.DialTimeout("tcp", address, testkit.WaitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	return client
}

// requestHealth requests /healthz on a connection, which stays open, and returns the answer's status.
func requestHealth(t *testing.T, client net.Conn) (status int) {
	t.Helper()
	if _, err := io.WriteString(client, healthzRequest); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// maxReadyTime is less than the idle timeout of a client connection (10 s).
const maxReadyTime = 9 * time.Second

// Guards against a node that can't serve while idle clients use all its descriptors. A node that ends like this restarts
// at the same address and becomes ready although the clients reconnect at once: it evicts idle connections before their
// idle timeout.
func TestRestartUnderIdleClients(t *testing.T) {
	cfg, err := config.LoadPlatform("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Process.Descriptors = limits.MinDescriptors + 20
	cfg.Process.Drain = config.Drain{}
	for range 2 {
		r := newTestNodeWithConfig(t, cfg)
		cfg.Listeners = []string{r.node.Addr()}
		var idle []net.Conn
		startedAt := time.Now()
		for range cfg.Process.Descriptors {
			client := r.dial()
			requestHealth(t, client)
			idle = append(idle, client)
		}
		app := testkit.NewApp(t, testkit.AnswerServed)
		r.setEndpoints(endpointOf(app, "s-1", 0))
		if status := requestHealth(t, dialTo(t, r.node.Addr())); status != http.StatusOK {
			t.Errorf("health check: status %d, want 200", status)
		}
		if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != http.StatusOK {
			t.Errorf("request: status %d, want 200", resp.StatusCode)
		}
		if elapsed := time.Since(startedAt); elapsed > maxReadyTime {
			t.Errorf("the node was ready only after %v", elapsed)
		}
		r.stop()
		if err := testkit.Next(t, r.ended); err != nil {
			t.Error(err)
		}
		r.ended <- nil
		for _, client := range idle {
			client.Close()
		}
	}
}
