package node_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"lockflow/internal/testsupport/testbench/benchtest"
	"lockflow/internal/testsupport/testkit"
)

// A reload changes listeners and process limits: clients can connect to a new address and no longer to a removed one,
// while connections accepted at the removed address stay open.
func TestReloadChangesListenersAndLimits(t *testing.T) {
	bench := benchtest.Begin(t, twoServicesConfig, twoServerPools(0))
	first := bench.Node.Addr()
	c, in := dial(t, bench)
	send := func(c net.Conn, in *bufio.Reader, id string) {
		t.Helper()
		writeRequest(c, "x", "/one", id, "", 0)
		if status, body := readAnswer(t, in); status != 200 {
			t.Errorf("request %s: status %d %q, want 200", id, status, body)
		}
	}
	send(c, in, "id-1")
	withSecondListener := strings.Replace(twoServicesConfig, `address = "127.0.0.1:0"`, "address = \"127.0.0.1:0\"\n[[listeners]]\naddress = \"localhost:0\"", 1)
	if err := bench.Reload(withSecondListener); err != nil || bench.Node.Addr() != first {
		t.Fatalf("reload: error %v, first address %s, want %s", err, bench.Node.Addr(), first)
	}
	text := strings.Replace(strings.Replace(twoServicesConfig, `"127.0.0.1:0"`, `"localhost:0"`, 1), "descriptors = 512", "descriptors = 600", 1)
	if err := bench.Reload(text); err != nil {
		t.Fatal(err)
	}
	if d, err := net.Dial("tcp", first); err == nil {
		d.Close()
		t.Error("the removed address still accepts connections")
	}
	send(c, in, "id-2")
	c, in = dial(t, bench)
	send(c, in, "id-3")
	if n, g := bench.Node.Status()[0].Resources.Descriptors.Total, bench.Node.Generation(); n != 600-24 || g != 3 {
		t.Errorf("total of %d descriptors in generation %d", n, g)
	}
}

// Guards against the reset of clients in the accept queue of a listener that a reload removes. They wait for descriptors,
// are answered as soon as descriptors are free, and then the listener is closed.
func TestReloadAnswersQueueOfRemovedListener(t *testing.T) {
	text := strings.NewReplacer("descriptors = 512\nclients = 200", "descriptors = 64\nclients = 4", `most = "1s"`, `most = "30s"`).Replace(twoServicesConfig)
	bench := benchtest.Begin(t, text, twoServerPools(0))
	first := bench.Node.Addr()
	bench.Pools["a"].Stall(true)
	var clients []*bufio.Reader
	for i := range 60 { // more than there are descriptors
		c, in := dial(t, bench)
		writeRequest(c, "x", "/one", fmt.Sprint("id-", i), "", 0)
		clients = append(clients, in)
	}
	testkit.Until(t, "an attempt in flight", func() bool { return bench.Node.Status()[0].AttemptsInFlight > 0 })
	reloaded := make(chan error, 1)
	go func() { reloaded <- bench.Reload(strings.Replace(text, `"127.0.0.1:0"`, `"localhost:0"`, 1)) }()
	testkit.Until(t, "the new address", func() bool { return bench.Node.Addr() != first })
	bench.Pools["a"].Stall(false)
	for i, in := range clients {
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Errorf("client %d: answer %v, error %v, want 200 or 503", i, resp, err)
		}
	}
	if err := testkit.Next(t, reloaded); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", first); err == nil {
		c.Close()
		t.Error("the removed address still accepts connections")
	}
}

// A reload after the node has ended opens no listener, since its clients would not be served.
func TestReloadAfterShutdownOpensNoListener(t *testing.T) {
	bench := benchtest.Begin(t, twoServicesConfig, twoServerPools(0))
	first := bench.Node.Addr()
	if err := bench.Stop(); err != nil {
		t.Fatal(err)
	}
	if err := bench.Reload(strings.Replace(twoServicesConfig, `"127.0.0.1:0"`, `"localhost:0"`, 1)); err == nil || bench.Node.Addr() != first {
		t.Errorf("reload after the end: error %v, address %s", err, bench.Node.Addr())
	}
}
