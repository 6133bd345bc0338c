package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testkit"
)

const configHeader = `
protocol = "platform"
[process]
descriptors = 512
clients = 200
drain = { idle = "0s", accept = "0s", most = "1s" }
[[listeners]]
address = "127.0.0.1:0"
[classes.read]
aim = "1s"
deadline = "5s"
repeats = "free"
[classes.write]
aim = "1s"
deadline = "5s"
repeats = "keyed"
key_scope = "group"
repeat_window = "15s"
[plans.standard]
rate = 100000
depth = 100000
`

// twoServerPools returns two pools, a and b, of two servers each with the given service time.
func twoServerPools(serviceTime time.Duration) map[string][]fake.Server {
	pools := make(map[string][]fake.Server)
	for _, name := range []string{"a", "b"} {
		for i := range 2 {
			pools[name] = append(pools[name], fake.Server{
				UID: fmt.Sprint(name, i), Work: serviceTime, GroupNumber: i,
				Group: &fake.Group{Window: 15 * time.Second},
			})
		}
	}
	return pools
}

const twoServicesConfig = configHeader + `
[services.a]
source = { kind = "discovery", address = "@a" }
[services.b]
source = { kind = "discovery", address = "@b" }
[[routes]]
service = "a"
prefix = "/one"
as = "read"
[[routes]]
service = "b"
prefix = "/two"
as = "write"
`

// writeRequest writes a request's head with Content-Length length and the available part of its body to a connection.
func writeRequest(c net.Conn, host, path, id, body string, length int) {
	method := "GET"
	if length > 0 {
		method = "POST"
	}
	fmt.Fprintf(c, "%s %s?account=0000000000000001 HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Tariff: standard\r\nX-Time-Left: 5000m\r\n"+
		"Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, host, id, id, length, body)
}

func readAnswer(t *testing.T, in *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func dial(t *testing.T, bench *testbench.Bench) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", bench.Node.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	return c, bufio.NewReader(c)
}

// manyServicesConfig returns a configuration with the given numbers of services and routes.
func manyServicesConfig(services, routes int) string {
	var b strings.Builder
	b.WriteString(configHeader)
	for i := range services {
		fmt.Fprintf(&b, "[services.s%d]\nrequired = false\nsource = { kind = \"static\", servers = [{ endpoint = \"127.0.0.1:1\" }] }\n", i)
	}
	for i := range routes {
		fmt.Fprintf(&b, "[[routes]]\nservice = \"s%d\"\nhost = \"h%d.example\"\nprefix = \"/p%d\"\nas = \"read\"\n", i%services, i%services, i)
	}
	return b.String()
}
