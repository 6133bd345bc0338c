package measure

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// GatherOptions are the options of Gather.
type GatherOptions struct {
	Program  string // executable of lockflow, started for each run
	Parts    []int  // numbers of parts, one for each row
	Workers  int    // number of clients
	Rounds   int    // pairs of runs per row
	Duration time.Duration
	Progress io.Writer
}

// GatherRow compares queries over a number of parts with the same calls sent one by one.
type GatherRow struct {
	Parts    int     `json:"parts"`
	Query    float64 `json:"query_cpu_us"` // CPU time of the node per query
	Plain    float64 `json:"plain_cpu_us"` // CPU time of the node for as many separate calls
	Part     float64 `json:"part_cpu_us"`  // CPU time of a query per part
	Ratio    float64 `json:"cpu_ratio"`    // median of the pairs' ratios, query over separate calls
	MinRatio float64 `json:"ratio_least"`
	MaxRatio float64 `json:"ratio_most"`
	P50      float64 `json:"p50_ms"` // median latency of a query
	Failed   int     `json:"failed"` // incomplete answers
}

const gatherAnswer = `[{"visit":1,"name":"a"},{"visit":2,"name":"b"}]`

// Gather measures the cost of a query and that of the same calls sent separately. Both kinds of run alternate.
func Gather(ctx context.Context, o GatherOptions) ([]GatherRow, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting the app server: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, gatherAnswer) })}
	go srv.Serve(l) //nolint:errcheck // ends with its listener
	defer srv.Close()
	var rows []GatherRow
	for _, n := range o.Parts {
		row := GatherRow{Parts: n}
		var queries, plain, ratios, p50 []float64
		for round := range o.Rounds {
			var cpu [2]float64
			for i, isGathered := range []bool{true, false} {
				used, medianTime, failed, err := gatherRun(ctx, o, l.Addr().String(), n, isGathered)
				if err != nil {
					return rows, fmt.Errorf("measuring %d parts: %w", n, err)
				}
				cpu[i] = used
				row.Failed += failed
				if isGathered {
					p50 = append(p50, medianTime)
				}
			}
			queries, plain, ratios = append(queries, cpu[0]), append(plain, cpu[1]), append(ratios, cpu[0]/cpu[1])
			fmt.Fprintf(o.Progress, "%d parts, round %d of %d: %.0f us of CPU per query, %.0f us for the same calls sent separately\n", n, round+1, o.Rounds, cpu[0], cpu[1])
		}
		identity := func(v float64) float64 { return v }
		row.Query, row.Plain, row.Ratio, row.P50 = median(queries, identity), median(plain, identity), median(ratios, identity), median(p50, identity)
		row.Part, row.MinRatio, row.MaxRatio = row.Query/float64(n), ratios[0], ratios[0]
		for _, r := range ratios {
			row.MinRatio, row.MaxRatio = min(row.MinRatio, r), max(row.MaxRatio, r)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// gatherConfig returns a node's configuration with a query over the given number of parts, each of which also has its
// own route.
func gatherConfig(server string, parts int) string {
	var names []string
	s := "[process]\ndescriptors = 4096\n[[listeners]]\naddress = \"127.0.0.1:0\"\n"
	for i := range parts {
		names = append(names, fmt.Sprintf("%q", fmt.Sprint("p", i)))
		s += fmt.Sprintf("[services.p%d]\nsource = { kind = \"static\", servers = [{ endpoint = %q }] }\n[[routes]]\nservice = \"p%d\"\npath = \"/p%d\"\n", i, server, i, i)
	}
	return s + "[services.all.gather]\nparts = [" + strings.Join(names, ", ") + "]\nmerge = \"json-array\"\nhalf_life = \"1m\"\ndeadline = \"none\"\n" +
		"[[routes]]\nservice = \"all\"\npath = \"/all\"\n"
}

// runRounds has workers call runRound for a duration, and returns the duration of each call and the number that failed.
func runRounds(ctx context.Context, workers int, duration time.Duration, runRound func() bool) (durations []time.Duration, failed int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(duration)
	for range workers {
		all.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				started := time.Now()
				ok := runRound()
				mu.Lock()
				durations = append(durations, time.Since(started))
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return durations, failed
}

// gatherRun returns the CPU time of the node, in us, for a query or for the same calls sent separately.
func gatherRun(ctx context.Context, o GatherOptions, server string, parts int, isGathered bool) (cpu, p50 float64, failed int, err error) {
	file, err := writeConfig(gatherConfig(server, parts))
	if err != nil {
		return 0, 0, 0, err
	}
	defer os.Remove(file) //nolint:errcheck // a temporary file
	node, addr, err := launch(ctx, o.Program, "serve", "--config", file)
	if err != nil {
		return 0, 0, 0, err
	}
	defer func() { node.Process.Kill(); _ = node.Wait() }() // it was killed
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Workers}}
	defer client.CloseIdleConnections()
	fetchAll := func(path string) bool {
		resp, err := get(ctx, client, "http://"+addr+path)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK && (path != "/all" || resp.Header.Get("Lockflow-Parts") == fmt.Sprintf("%d/%d", parts, parts))
	}
	runRound := func() bool {
		if isGathered {
			return fetchAll("/all")
		}
		ok := true
		for i := range parts {
			ok = fetchAll(fmt.Sprint("/p", i)) && ok
		}
		return ok
	}
	runRounds(ctx, o.Workers, o.Duration/4, runRound) // warm-up: connections are established and the node learns latencies
	before, err := processCPUTime(node.Process.Pid)
	if err != nil {
		return 0, 0, 0, err
	}
	durations, failed := runRounds(ctx, o.Workers, o.Duration, runRound)
	n := len(durations)
	after, err := processCPUTime(node.Process.Pid)
	if err == nil && n == 0 {
		err = fmt.Errorf("no query completed within the run")
	}
	if err != nil {
		return 0, 0, failed, err
	}
	return float64((after - before).Microseconds()) / float64(n), median(durations, func(d time.Duration) float64 { return ms(d) }), failed, ctx.Err()
}
