package node_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"lockflow/internal/node"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testbench/benchtest"
	"lockflow/internal/testsupport/testkit"
)

// One connection can send requests to several services by different hosts. The same customer and request ID in two
// services are two independent requests.
func TestOneConnectionReachesSeveralServices(t *testing.T) {
	bench := benchtest.Begin(t, strings.Replace(twoServicesConfig, "service = \"b\"\nprefix = \"/two\"\nas = \"write\"", "service = \"b\"\nhost = \"b.example\"\nas = \"read\"", 1), twoServerPools(0))
	c, in := dial(t, bench)
	for i := range 6 {
		host, want := "a.example", "a"
		if i%2 == 1 {
			host, want = "B.Example.:80", "b"
		}
		writeRequest(c, host, "/one", "id-1", "", 0)
		if status, body := readAnswer(t, in); status != 200 || !strings.HasPrefix(body, want) || !strings.HasSuffix(body, " id-1") {
			t.Errorf("host %s: status %d, body %q", host, status, body)
		}
	}
	// Both services have a request with the same ID in flight at once.
	for _, p := range bench.Pools {
		p.Stall(true)
	}
	other, otherIn := dial(t, bench)
	writeRequest(c, "a.example", "/one", "id-2", "", 0)
	writeRequest(other, "b.example", "/one", "id-2", "", 0)
	testkit.Until(t, "both requests in flight", func() bool {
		s := bench.Node.Status()
		return s[0].Unanswered == 1 && s[1].Unanswered == 1
	})
	for _, p := range bench.Pools {
		p.Stall(false)
	}
	for _, r := range []*bufio.Reader{in, otherIn} {
		if status, body := readAnswer(t, r); status != 200 || !strings.HasSuffix(body, " id-2") {
			t.Errorf("answer: status %d, body %q", status, body)
		}
	}
}

// Two services that share a server each have their own connections to it.
func TestServicesKeepOwnConnectionsToSharedServer(t *testing.T) {
	bench := benchtest.Begin(t, strings.Replace(twoServicesConfig, "@b", "@a", 1), twoServerPools(0))
	c, in := dial(t, bench)
	for i, path := range []string{"/one", "/two", "/one", "/two"} {
		length := i % 2
		writeRequest(c, "x", path, fmt.Sprint("id-", i), strings.Repeat("x", length), length)
		if status, body := readAnswer(t, in); status != 200 || !strings.HasPrefix(body, "a") {
			t.Errorf("path %s: status %d, body %q", path, status, body)
		}
	}
	for _, s := range bench.Node.Status() {
		if s.IdleConnections < 1 || s.Resources.Descriptors.Used != int64(s.IdleConnections) {
			t.Errorf("%s has %d idle connections and %d descriptors in use", s.Name, s.IdleConnections, s.Resources.Descriptors.Used)
		}
	}
}

// A request whose path or host is ambiguous is rejected and reaches no service.
func TestAmbiguousRequestTargetsAreRejected(t *testing.T) {
	bench := benchtest.Begin(t, twoServicesConfig, twoServerPools(0))
	for target, want := range map[string]int{
		"/one": 200, "/one/": 200, "/one;v=1": 200, "/on%65": 200, "http://care.example/one": 200, "HTTP://CARE.EXAMPLE:1/one": 200,
		"/onex": 404, "/": 404, "/ONE": 404,
		"/one/../two": 400, "/one/%2e%2e/two": 400, "/one/..;/two": 400, "/two%2f..%2fone": 400, "//one": 400, "/one//x": 400, "/one%00": 400,
		"/one\\x": 400, "/one#x": 400, "*": 400, "ftp://care.example/one": 400, "http://u@care.example/one": 400, "http://a..b/one": 400,
	} {
		c, in := dial(t, bench)
		sep := "?"
		fmt.Fprintf(c, "GET %s%saccount=0000000000000001 HTTP/1.1\r\nHost: care.example\r\nX-Correlation-Id: x\r\nX-Tariff: standard\r\nX-Time-Left: 5000m\r\n\r\n",
			target, sep)
		if status, body := readAnswer(t, in); status != want {
			t.Errorf("target %s: status %d, body %q, want %d", target, status, body, want)
		}
	}
	for name, p := range bench.Pools {
		if n := p.Executions.Counts().Attempts; name == "a" && n != 6 || name == "b" && n != 0 {
			t.Errorf("%d requests reached service %s", n, name)
		}
	}
}

// A panic in the decision module of one service fails that service's requests in flight and leaves the other service
// running. Depending on the configuration, the service restarts with its endpoints, or the process ends.
func TestModulePanicIsContainedToItsService(t *testing.T) {
	for _, policy := range []string{"restart", "end"} {
		t.Run(policy, func(t *testing.T) { checkPanicPolicy(t, policy) })
	}
}

// checkPanicPolicy makes the module of one of two services panic under a panic policy.
func checkPanicPolicy(t *testing.T, policy string) {
	text := strings.ReplaceAll(twoServicesConfig, "[services.", "[services.\x00")
	text = strings.Replace(text, "[services.\x00a]\n", "[services.a]\non_panic = \""+policy+"\"\n", 1)
	bench, err := testbench.Start(strings.ReplaceAll(text, "\x00", ""), twoServerPools(0))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := bench.Stop(); (err != nil) != (policy == "end") {
			t.Error(err)
		}
	}()
	testkit.Until(t, "ready", func() bool { s := bench.Node.Status(); return s[0].Ready && s[1].Ready })
	bench.Pools["a"].Stall(true)
	c, in := dial(t, bench)
	writeRequest(c, "x", "/one", "held", "", 0)
	testkit.Until(t, "the request in flight", func() bool { return bench.Node.Status()[0].AttemptsInFlight == 1 })
	node.PanicNext(bench.Node, "a")
	if status, _ := readAnswer(t, in); status != http.StatusBadGateway {
		t.Errorf("request in flight: status %d, want 502", status)
	}
	bench.Pools["a"].Stall(false)
	if policy == "end" {
		if err := bench.Stop(); err == nil || !strings.Contains(err.Error(), "no such share") {
			t.Errorf("the node ended with error %v, want the panic", err)
		}
		return
	}
	other, otherIn := dial(t, bench)
	writeRequest(other, "x", "/two", "other", "x", 1)
	if status, _ := readAnswer(t, otherIn); status != 200 {
		t.Errorf("other service: status %d, want 200", status)
	}
	testkit.Until(t, "the restart of the service", func() bool { s := bench.Node.Status()[0]; return s.Restarts == 1 && s.AvailableServers == 2 })
	writeRequest(c, "x", "/one", "after", "", 0)
	if status, body := readAnswer(t, in); status != 200 {
		t.Errorf("after the restart: status %d, body %q, want 200", status, body)
	}
	if s := bench.Node.Status()[0]; s.Resources.Requests.Used > 1 {
		t.Errorf("resources still in use after the restart: %+v", *s.Resources)
	}
}

// A server that discovery lists as draining gets no new requests.
func TestDrainingServerOfDiscoveryGetsNoRequests(t *testing.T) {
	bench := benchtest.Begin(t, twoServicesConfig, twoServerPools(0))
	c, in := dial(t, bench)
	draining := bench.Pools["a"].Servers[0]
	entry := draining.Entry()
	entry.State = "draining"
	bench.Pools["a"].Discovery.Publish(entry)
	testkit.Until(t, "the new endpoint list", func() bool { return bench.Node.Status()[0].AvailableServers == 1 })
	draining.Drain(0)
	for i := range 20 {
		writeRequest(c, "x", "/one", fmt.Sprint("id-", i), "", 0)
		if status, body := readAnswer(t, in); status != 200 {
			t.Errorf("answer: status %d, body %q", status, body)
		}
	}
	if n := draining.LateRequests(); n > 0 {
		t.Errorf("the draining server got %d requests", n)
	}
}
