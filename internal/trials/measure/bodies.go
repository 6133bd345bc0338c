package measure

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// BodiesOptions are the options of Bodies.
type BodiesOptions struct {
	Program  string
	Sizes    []int64 // bytes of one body
	Workers  int     // concurrent bodies in each direction
	Rounds   int     // pairs of runs per row
	Duration time.Duration
	MemoryMB int // memory limit of the node
	Progress io.Writer
}

// Flow is the result of one run, or the medians of several.
type Flow struct {
	MBs        float64 `json:"mb_s"`      // megabytes of 10^6 bytes per second
	CPU        float64 `json:"cpu_ms_mb"` // CPU time of the process per megabyte, in ms
	Memory     float64 `json:"memory_mb"` // peak resident memory, in 2^20 bytes
	Incomplete int64   `json:"bad"`       // incomplete bodies
	Refused    int64   `json:"refused"`   // answers with status 503, after which a client retries
	Bodies     int64   `json:"bodies"`    // complete bodies
	FirstError string  `json:"why"`       // error of the first incomplete body
}

// BodiesRow compares node and proxy for bodies of a size.
type BodiesRow struct {
	Size      int64  `json:"size"`
	Direction string `json:"way"` // down, up, or both at the same time
	Node      Flow   `json:"node"`
	Proxy     Flow   `json:"proxy"`
}

const bodiesConfig = `
[process]
cores = 1
memory_mb = %d
descriptors = 4096
clients = 2000
held = 1900
bytes = "512MiB"
dials = 2000           # all clients begin at once
[[listeners]]
address = "127.0.0.1:0"
[services.app]
source = { kind = "static", servers = [%s] }
[[routes]]
service = "app"
`

// Bodies compares a node with the standard library's reverse proxy for bodies of the sizes in the options.
func Bodies(ctx context.Context, o BodiesOptions, directions []string) ([]BodiesRow, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting the app server: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(bodyServer)}
	go srv.Serve(l) //nolint:errcheck // ends with its listener
	defer srv.Close()
	var list []string
	for i := range 8 { // the node limits the load of each server and the proxy does not, so one address stands for several
		list = append(list, fmt.Sprintf("{ uid = \"s%d\", endpoint = %q }", i, l.Addr().String()))
	}
	file, err := writeConfig(fmt.Sprintf(bodiesConfig, o.MemoryMB, strings.Join(list, ", ")))
	if err != nil {
		return nil, err
	}
	defer os.Remove(file) //nolint:errcheck // a temporary file
	var rows []BodiesRow
	for _, size := range o.Sizes {
		for _, direction := range directions {
			var nodes, proxies []Flow
			for round := range o.Rounds {
				a, err := o.runFlow(ctx, size, direction, "serve", "--config", file)
				if err != nil {
					return rows, fmt.Errorf("measuring the node: %w", err)
				}
				b, err := o.runFlow(ctx, size, direction, "measure", "proxy", "--serve", l.Addr().String())
				if err != nil {
					return rows, fmt.Errorf("measuring the proxy: %w", err)
				}
				nodes, proxies = append(nodes, a), append(proxies, b)
				fmt.Fprintf(o.Progress, "%d bytes %s, round %d of %d: node %.0f, proxy %.0f MB/s\n", size, direction, round+1, o.Rounds, a.MBs, b.MBs)
			}
			rows = append(rows, BodiesRow{size, direction, medianFlow(nodes), medianFlow(proxies)})
		}
	}
	return rows, nil
}

func medianFlow(all []Flow) Flow {
	m := Flow{
		MBs: median(all, func(f Flow) float64 { return f.MBs }), CPU: median(all, func(f Flow) float64 { return f.CPU }),
		Memory: median(all, func(f Flow) float64 { return f.Memory }),
	}
	for _, f := range all {
		m.Incomplete += f.Incomplete
		m.Bodies += f.Bodies
		m.Refused += f.Refused
		m.FirstError = cmp.Or(m.FirstError, f.FirstError)
	}
	return m
}

var zeros = make([]byte, 64<<10)

// bodyServer sends as many bytes as a GET request asks for, or reads the body of another request and answers with its
// length.
func bodyServer(w http.ResponseWriter, r *http.Request) {
	if n, err := strconv.ParseInt(r.URL.Query().Get("n"), 10, 64); err == nil && r.Method == http.MethodGet {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		for n > 0 {
			m, err := w.Write(zeros[:min(n, int64(len(zeros)))])
			if err != nil {
				return
			}
			n -= int64(m)
		}
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err == nil {
		fmt.Fprint(w, n)
	}
}

// zeroReader is a reader of as many zero bytes as remaining.
type zeroReader struct{ remaining int64 }

func (z *zeroReader) Read(p []byte) (int, error) {
	if z.remaining == 0 {
		return 0, io.EOF
	}
	n := int(min(z.remaining, int64(len(p))))
	clear(p[:n])
	z.remaining -= int64(n)
	return n, nil
}

// samplePeakMemory samples a process's resident memory. stop ends the sampling and returns the peak, in 2^20 bytes.
func samplePeakMemory(pid int) (stop func() float64) {
	peakMB, ended, end := 0.0, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			peakMB = max(peakMB, residentMemoryMB(pid))
			select {
			case <-time.After(20 * time.Millisecond):
			case <-end:
				return
			}
		}
	}()
	return func() float64 {
		close(end)
		<-ended
		return peakMB
	}
}

// runFlow has clients send or fetch bodies through a program for the duration in the options. A body that has begun by
// then is completed.
func (o BodiesOptions) runFlow(ctx context.Context, size int64, direction string, args ...string) (Flow, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cmd, addr, err := launch(ctx, o.Program, args...)
	if err != nil {
		return Flow{}, err
	}
	defer cmd.Wait() //nolint:errcheck // it was killed
	defer cmd.Process.Kill()
	before, err := processCPUTime(cmd.Process.Pid)
	if err != nil {
		return Flow{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * o.Workers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var bodies, incomplete, rejected, transferred atomic.Int64
	var firstError atomic.Pointer[error]
	started := time.Now()
	var all sync.WaitGroup
	runWorker := func(transfer func() (int64, error)) {
		for first := true; first || time.Since(started) < o.Duration; first = false {
			n, err := transfer()
			for errors.Is(err, errRejected) && time.Since(started) < rejectionRetryPeriod { // the answer has a Retry-After header
				rejected.Add(1)
				time.Sleep(time.Second)
				n, err = transfer()
			}
			transferred.Add(n)
			if err != nil {
				incomplete.Add(1)
				firstError.CompareAndSwap(nil, &err)
			} else {
				bodies.Add(1)
			}
		}
	}
	for range o.Workers {
		if direction != "up" {
			all.Go(func() { runWorker(func() (int64, error) { return fetch(client, addr, size) }) })
		}
		if direction != "down" {
			all.Go(func() { runWorker(func() (int64, error) { return send(client, addr, size) }) })
		}
	}
	stopSampling := samplePeakMemory(cmd.Process.Pid)
	all.Wait()
	elapsed := time.Since(started)
	peakMB := stopSampling()
	after, err := processCPUTime(cmd.Process.Pid)
	if err != nil {
		return Flow{}, err
	}
	megabytes := float64(transferred.Load()) / 1e6
	f := Flow{MBs: megabytes / elapsed.Seconds(), CPU: float64((after - before).Milliseconds()) / megabytes, Memory: peakMB, Incomplete: incomplete.Load(), Bodies: bodies.Load(), Refused: rejected.Load()}
	if e := firstError.Load(); e != nil {
		f.FirstError = (*e).Error()
	}
	return f, nil
}

var (
	errTruncated = errors.New("the body was cut")
	errRejected  = errors.New("refused")
)

// rejectionRetryPeriod is the time for which a client retries rejected requests.
const rejectionRetryPeriod = 5 * time.Minute

func fetch(c *http.Client, addr string, size int64) (int64, error) {
	r, err := get(context.Background(), c, "http://"+addr+"/x?n="+strconv.FormatInt(size, 10))
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	if r.StatusCode == http.StatusServiceUnavailable {
		return 0, errRejected
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err == nil && (n != size || r.StatusCode != http.StatusOK) {
		err = fmt.Errorf("%w: status %s, received %d bytes", errTruncated, r.Status, n)
	}
	return n, err
}

func send(c *http.Client, addr string, size int64) (int64, error) {
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr+"/x", &zeroReader{size})
	if err != nil {
		return 0, err
	}
	q.ContentLength = size
	r, err := c.Do(q)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	if r.StatusCode == http.StatusServiceUnavailable {
		return 0, errRejected
	}
	reply, err := io.ReadAll(r.Body)
	if err == nil && string(reply) != strconv.FormatInt(size, 10) {
		err = fmt.Errorf("%w: status %s, length counted by the server %q", errTruncated, r.Status, reply)
	}
	if err != nil {
		return 0, err
	}
	return size, nil
}

// residentMemoryMB returns the resident memory of a process, in 2^20 bytes, from /proc/PID/status (proc(5)).
func residentMemoryMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		return 0
	}
	return kb / 1024
}
