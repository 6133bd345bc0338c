package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
)

// ServersOptions are the options of Servers, the comparison of HTTP/1.1 and HTTP/2.
type ServersOptions struct {
	Program     string        // executable of lockflow, started for each run
	Concurrency []int         // numbers of concurrent requests, one for each row
	Rounds      int           // pairs of runs per row
	Duration    time.Duration // of one run
	Work        time.Duration // time that a server works on a request
	Progress    io.Writer
}

// ServersSide is the result of one protocol.
type ServersSide struct {
	Side
	Dials           float64 `json:"dials"`       // connections opened to the servers in a run, each with a handshake
	OpenConnections float64 `json:"connections"` // peak number of connections to all servers
	// P99WithSlowClients is the p99 while four additional clients send requests that take a thousand times as long.
	P99WithSlowClients float64 `json:"p99_beside_slow_ms"`
}

// ServersRow compares the protocols with a number of concurrent requests.
type ServersRow struct {
	Concurrency int         `json:"at_once"`
	HTTP1       ServersSide `json:"http1"`
	HTTP2       ServersSide `json:"http2"`
	Ratio       float64     `json:"cpu_ratio"` // median of the pairs' ratios, HTTP/2 over HTTP/1.1
}

// Servers compares HTTP/1.1 and HTTP/2 between the node and the app servers. Runs with either protocol alternate.
func Servers(ctx context.Context, o ServersOptions) ([]ServersRow, error) {
	var rows []ServersRow
	for _, n := range o.Concurrency {
		row := ServersRow{Concurrency: n}
		var sides [2][]ServersSide
		var ratios []float64
		for round := range o.Rounds {
			for i, protocol := range []string{"http/1.1", "http/2"} {
				s, err := serversRun(ctx, o, n, uint64(round), protocol)
				if err != nil {
					return rows, fmt.Errorf("measuring %s: %w", protocol, err)
				}
				sides[i] = append(sides[i], s)
			}
			a, b := sides[0][round], sides[1][round]
			ratios = append(ratios, b.CPU/a.CPU)
			fmt.Fprintf(o.Progress, "%4d concurrent requests, round %d of %d: HTTP/1.1 %.0f, HTTP/2 %.0f us of CPU per request\n", n, round+1, o.Rounds, a.CPU, b.CPU)
		}
		row.HTTP1, row.HTTP2 = medianServersSide(sides[0]), medianServersSide(sides[1])
		row.Ratio = median(ratios, func(v float64) float64 { return v })
		rows = append(rows, row)
	}
	return rows, nil
}

func medianServersSide(all []ServersSide) (m ServersSide) {
	var sides []Side
	for _, s := range all {
		sides = append(sides, s.Side)
	}
	return ServersSide{
		Side: medianSide(sides), Dials: median(all, func(s ServersSide) float64 { return s.Dials }),
		OpenConnections: median(all, func(s ServersSide) float64 { return s.OpenConnections }), P99WithSlowClients: median(all, func(s ServersSide) float64 { return s.P99WithSlowClients }),
	}
}

// serversRun starts a node and new servers for one run, so that only the connections of this run are counted.
func serversRun(ctx context.Context, o ServersOptions, n int, seed uint64, protocol string) (s ServersSide, err error) {
	var servers []fake.Server
	for i := range 4 {
		servers = append(servers, fake.Server{UID: fmt.Sprint("s", i), Work: o.Work, Seed: uint64(i), HTTP2: true})
	}
	pool, err := testbench.StartPool(servers)
	if err != nil {
		return s, err
	}
	defer pool.Close()
	var list []string
	for _, one := range pool.Servers {
		list = append(list, fmt.Sprintf("{ uid = %q, endpoint = %q }", one.UID, one.Addr()))
	}
	text := strings.Replace(fmt.Sprintf(proxyConfig, "platform", strings.Join(list, ", ")), "[services.rosters]",
		fmt.Sprintf("[services.rosters]\nservers = { protocol = %q }", protocol), 1)
	file, err := writeConfig(text)
	if err != nil {
		return s, err
	}
	defer os.Remove(file) //nolint:errcheck // a temporary file
	one := ProxyOptions{Program: o.Program, Duration: o.Duration}
	s.Side, err = run(ctx, one, n, seed, "serve", "--config", file)
	for _, srv := range pool.Servers {
		dials, open := srv.Dials()
		s.Dials += float64(dials)
		s.OpenConnections += float64(open)
	}
	if err != nil {
		return s, err
	}
	one.slow = 4
	withSlowClients, err := run(ctx, one, n, seed, "serve", "--config", file)
	s.P99WithSlowClients = withSlowClients.P99
	return s, err
}
