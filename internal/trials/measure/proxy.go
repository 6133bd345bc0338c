// Package measure compares a node with other programs or settings. The compared runs use the same fake peers and
// alternate, so that a drift of the machine's speed does not affect the comparison.
package measure

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// ProxyOptions are the options of Proxy.
type ProxyOptions struct {
	Program     string        // executable of lockflow, started as the node and as the proxy
	Connections []int         // numbers of client connections, one for each row
	Rounds      int           // pairs of runs per row
	Duration    time.Duration // of one run
	Protocol    string        // protocol of the node: "platform" or "http"
	Progress    io.Writer

	slow int // additional clients whose requests take slowRequestUnits times the servers' work
}

// slowRequestUnits is the work of a slow client's request, relative to that of other requests.
const slowRequestUnits = 1000

// Side is the result of one run, or the medians of several.
type Side struct {
	CPU     float64 `json:"cpu_us"` // CPU time of the process per request
	Rate    float64 `json:"rate"`   // answers per second
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Refused int     `json:"refused"` // in all runs
	Lost    int     `json:"lost"`
}

// ProxyRow compares node and proxy at a number of connections.
type ProxyRow struct {
	Connections        int     `json:"connections"`
	Node               Side    `json:"node"`
	Proxy              Side    `json:"proxy"`
	Ratio              float64 `json:"cpu_ratio"` // median of the pairs' ratios, node over proxy
	MinRatio, MaxRatio float64 `json:"-"`
}

const proxyConfig = `
protocol = %q
[process]
cores = 1
descriptors = 2048
clients = 1024
[[listeners]]
address = "127.0.0.1:0"
[classes.roster-read]
repeats = "free"
deadline = "7.5s"
worth = 1
[classes.visit-update]
repeats = "keyed"
deadline = "7.5s"
repeat_window = "15s"
worth = 5
[plans.standard]
rate = 1e8
depth = 1e8
[services.rosters]
source = { kind = "static", servers = [%s] }
[[routes]]
service = "rosters"
`

// Proxy compares a node with net/http/httputil.ReverseProxy.
func Proxy(ctx context.Context, o ProxyOptions) ([]ProxyRow, error) {
	var servers []fake.Server
	for i := range 4 {
		servers = append(servers, fake.Server{UID: fmt.Sprint("s", i), Work: 0, Seed: uint64(i)})
	}
	pool, err := testbench.StartPool(servers)
	if err != nil {
		return nil, err
	}
	var list, addrs []string
	for _, s := range pool.Servers {
		list, addrs = append(list, fmt.Sprintf("{ uid = %q, endpoint = %q }", s.UID, s.Addr())), append(addrs, s.Addr())
	}
	file, err := writeConfig(fmt.Sprintf(proxyConfig, o.Protocol, strings.Join(list, ", ")))
	if err != nil {
		return nil, err
	}
	defer os.Remove(file) //nolint:errcheck // a temporary file
	var rows []ProxyRow
	for _, n := range o.Connections {
		row := ProxyRow{Connections: n}
		var nodes, proxies []Side
		var ratios []float64
		for round := range o.Rounds {
			one := func(args ...string) (Side, error) { return run(ctx, o, n, uint64(round), args...) }
			a, err := one("serve", "--config", file)
			if err != nil {
				return rows, fmt.Errorf("measuring the node: %w", err)
			}
			b, err := one("measure", "proxy", "--serve", strings.Join(addrs, ","))
			if err != nil {
				return rows, fmt.Errorf("measuring the proxy: %w", err)
			}
			nodes, proxies, ratios = append(nodes, a), append(proxies, b), append(ratios, a.CPU/b.CPU)
			fmt.Fprintf(o.Progress, "%4d connections, round %d of %d: node %.0f, proxy %.0f us of CPU per request\n", n, round+1, o.Rounds, a.CPU, b.CPU)
		}
		row.Node, row.Proxy = medianSide(nodes), medianSide(proxies)
		row.Ratio = median(ratios, func(v float64) float64 { return v })
		row.MinRatio, row.MaxRatio = floats.Min(ratios), floats.Max(ratios)
		rows = append(rows, row)
	}
	return rows, nil
}

// median returns the median of a value over all elements.
func median[T any](all []T, of func(T) float64) float64 {
	var v []float64
	for _, one := range all {
		v = append(v, of(one))
	}
	slices.Sort(v)
	return stat.Quantile(0.5, stat.Empirical, v, nil)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func medianSide(all []Side) Side {
	m := Side{
		CPU: median(all, func(s Side) float64 { return s.CPU }), Rate: median(all, func(s Side) float64 { return s.Rate }),
		P50: median(all, func(s Side) float64 { return s.P50 }), P99: median(all, func(s Side) float64 { return s.P99 }),
	}
	for _, s := range all {
		m.Refused += s.Refused
		m.Lost += s.Lost
	}
	return m
}

// run starts the program on one core, measures it under load, and ends it.
func run(ctx context.Context, o ProxyOptions, connections int, seed uint64, args ...string) (Side, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cmd, addr, err := launch(ctx, o.Program, args...)
	if err != nil {
		return Side{}, err
	}
	defer cmd.Wait() //nolint:errcheck // it was killed
	defer cmd.Process.Kill()
	call := func(rng *rand.Rand) fake.Call {
		c := fake.Call{
			Kind: "x", Host: "h", Method: "GET", Path: "/roster-read/week", Customer: rng.Uint64N(1000), Plan: "standard",
			Deadline: 7 * time.Second,
		}
		if rng.IntN(2) == 0 {
			c.Method, c.Path, c.Key, c.Body = "POST", "/visit-update", strconv.FormatUint(rng.Uint64(), 16), "swap"
		}
		return c
	}
	clients := fake.Clients{Addr: addr, Seed: seed, Workers: connections, Call: call}
	if o.slow > 0 {
		slow := fake.Clients{Addr: addr, Seed: seed + 7, Workers: o.slow, Call: func(rng *rand.Rand) fake.Call {
			c := call(rng)
			c.Kind, c.Units = "slow", slowRequestUnits
			return c
		}}
		ended, stop := context.WithCancel(ctx)
		defer slow.Start(ended).Wait()
		defer stop()
	}
	sendLoad := func(duration time.Duration) *fake.Result {
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		return clients.Start(ctx).Wait()["x"]
	}
	sendLoad(o.Duration / 5) // warm-up: connections are established and the concurrency limit grows
	before, err := processCPUTime(cmd.Process.Pid)
	if err != nil {
		return Side{}, err
	}
	started := time.Now()
	clients.Seed += 1000
	r := sendLoad(o.Duration)
	elapsed := time.Since(started)
	after, err := processCPUTime(cmd.Process.Pid)
	if err != nil {
		return Side{}, err
	}
	if r == nil || r.Served == 0 {
		return Side{}, fmt.Errorf("process %q served no requests", args[0])
	}
	return Side{
		CPU: float64((after - before).Microseconds()) / float64(r.Attempts), Rate: float64(r.Served) / elapsed.Seconds(),
		P50: ms(r.Quantile(0.5)), P99: ms(r.Quantile(0.99)), Refused: r.Rejected, Lost: r.Lost + r.Failed,
	}, nil
}

// launch starts the program on one core, waits until it serves, and returns its address.
func launch(ctx context.Context, program string, args ...string) (*exec.Cmd, string, error) {
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "LOCKFLOW_CONFIG=", "NODE_CONFIG=")
	log, err := cmd.StderrPipe()
	if err != nil {
		return nil, "", err
	}
	if err := cmd.Start(); err != nil {
		return nil, "", err
	}
	addr := ""
	lines := bufio.NewScanner(log)
	for addr == "" && lines.Scan() {
		_, addr, _ = strings.Cut(lines.Text(), "listen=")
	}
	go io.Copy(io.Discard, log) //nolint:errcheck // ends with the process
	if addr == "" {
		err = fmt.Errorf("process %q ended before it logged its listen address", args[0])
	} else {
		err = awaitHealthy(ctx, addr)
	}
	if err != nil {
		cmd.Process.Kill()
		_ = cmd.Wait() // it was killed
		return nil, "", err
	}
	return cmd, addr, nil
}

func awaitHealthy(ctx context.Context, addr string) error {
	for {
		resp, err := get(ctx, http.DefaultClient, "http://"+addr+"/healthz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// writeConfig writes a node's configuration to a temporary file and returns its path.
func writeConfig(text string) (path string, err error) {
	file, err := os.CreateTemp("", "lockflow-*.toml")
	if err != nil {
		return "", fmt.Errorf("writing the node's configuration: %w", err)
	}
	_, err = file.WriteString(text)
	if err = errors.Join(err, file.Close()); err != nil {
		return "", fmt.Errorf("writing the node's configuration: %w", errors.Join(err, os.Remove(file.Name())))
	}
	return file.Name(), nil
}

// get sends a GET request as http.Client.Get does, but with a context.
func get(ctx context.Context, c *http.Client, url string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return c.Do(q)
}

// processCPUTime returns the CPU time that a process has used, from /proc/PID/stat (proc(5)).
func processCPUTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("reading the processor time: %w", err)
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("reading the processor time: too few fields in %q", raw)
	}
	sum := int64(0)
	for _, f := range fields[11:13] { // utime and stime, in hundredths of a second
		v, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("reading the processor time: %w", err)
		}
		sum += v
	}
	return time.Duration(sum) * 10 * time.Millisecond, nil
}

// ServeProxy serves as the proxy that Proxy and Bodies compare a node with: the standard library's reverse proxy, which
// distributes requests round robin over servers.
func ServeProxy(ctx context.Context, servers []string, log io.Writer) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: servers[next.Add(1)%uint64(len(servers))]})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true},
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			return
		}
		proxy.ServeHTTP(w, r)
	})}
	fmt.Fprintf(log, "serving listen=%s\n", l.Addr())
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	if err := srv.Serve(l); ctx.Err() == nil {
		return fmt.Errorf("serving clients: %w", err)
	}
	return nil
}
