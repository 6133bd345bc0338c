package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/discovery"
)

// startFixedAnswerServer starts a server that answers every request without a body with the same bytes. It hardly
// allocates, so that benchmarks measure the node.
func startFixedAnswerServer(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	answer := []byte("HTTP/1.1 200 OK\r\nX-Backend-Load: latency_ms=1,util=0.5,queue=0\r\nContent-Length: 2\r\n\r\nok")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadSlice('\n')
					if err != nil {
						return
					}
					if len(line) == 2 {
						c.Write(answer)
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// benchmarkRequests sends requests sequentially through a node and reports the time, CPU time and allocations of a
// request. They include those of client and server, which are the same for every node.
func benchmarkRequests(b *testing.B, cfg config.Config) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	n, err := New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	}()
	for !n.isReady() {
		time.Sleep(time.Millisecond)
	}
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	request := []byte("GET /roster-read/week?account=0000000000000001 HTTP/1.1\r\nHost: care.example\r\nX-Correlation-Id: id-1\r\nX-Tariff: enterprise\r\n" +
		"X-Time-Left: 5000m\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n")
	send := func() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		for line := "-"; line != "\r\n"; {
			raw, err := reader.ReadSlice('\n')
			if err != nil {
				b.Fatal(err)
			}
			if line = string(raw); strings.HasPrefix(line, "HTTP/") && !strings.Contains(line, " 200 ") {
				b.Fatal(line)
			}
		}
		if _, err := reader.Discard(2); err != nil {
			b.Fatal(err)
		}
	}
	for range 200 {
		send()
	}
	var before, after syscall.Rusage
	readResourceUsage(b, &before)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		send()
	}
	b.StopTimer()
	readResourceUsage(b, &after)
	cpu := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(cpu)/float64(b.N), "cpu-ns/op")
}

// BenchmarkOneService measures a node with the platform's one service, without routes and shared resources.
func BenchmarkOneService(b *testing.B) {
	cfg, err := config.LoadPlatform("../config/testdata/config.json")
	if err != nil {
		b.Fatal(err)
	}
	s := &cfg.Services[0]
	s.Source = discovery.Source{Kind: discovery.Static, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: startFixedAnswerServer(b), State: "up"}}}
	s.Settings.Plans[1].QuotaRate, s.Settings.Plans[1].QuotaBurst = 1e9, 1e9
	benchmarkRequests(b, cfg)
}

// BenchmarkSeveralServices measures requests to one of several services that share resources, behind 50 routes: plain,
// with metrics, and with the statistics that a control socket reports.
func BenchmarkSeveralServices(b *testing.B) {
	for name, metrics := range map[string]string{
		"plain": "", "metrics": "[metrics]\naddress = \"127.0.0.1:0\"\n",
		"figures": "[process]\ncontrol = \"/nowhere/control.sock\"\n",
	} {
		b.Run(name, func(b *testing.B) { benchmarkSeveralServices(b, metrics) })
	}
}

func benchmarkSeveralServices(b *testing.B, metrics string) {
	var text strings.Builder
	fmt.Fprintf(&text, "[[listeners]]\naddress = \"127.0.0.1:0\"\n[classes.roster-read]\nrepeats = \"free\"\n[plans.enterprise]\nrate = 1e9\ndepth = 1e9\n")
	addr := startFixedAnswerServer(b)
	for i := range 10 {
		fmt.Fprintf(&text, "[services.s%d]\nsource = { kind = \"static\", servers = [{ endpoint = %q }] }\n", i, addr)
	}
	for i := range 50 {
		fmt.Fprintf(&text, "[[routes]]\nservice = \"s%d\"\nhost = \"care.example\"\nprefix = \"/r%d\"\nas = \"roster-read\"\n", i%10, i)
	}
	fmt.Fprintf(&text, "[[routes]]\nservice = \"s3\"\nhost = \"care.example\"\nclass = \"roster-read\"\n")
	cfg, err := config.Parse("bench.toml", []byte("protocol = \"platform\"\n"+metrics+text.String()))
	if err != nil {
		b.Fatal(err)
	}
	benchmarkRequests(b, cfg)
}

// BenchmarkIdleService measures the memory, goroutines and CPU time of one idle service among 500.
func BenchmarkIdleService(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	var text strings.Builder
	fmt.Fprintf(&text, "[[listeners]]\naddress = \"127.0.0.1:0\"\n[classes.read]\nrepeats = \"free\"\n[plans.p]\n")
	const services = 500
	for i := range services {
		fmt.Fprintf(&text, "[services.s%d]\nsource = { kind = \"static\", servers = [{ endpoint = \"127.0.0.1:1\" }] }\n[[routes]]\nservice = \"s%d\"\nprefix = \"/r%d\"\nas = \"read\"\n",
			i, i, i)
	}
	for range b.N {
		cfg, err := config.Parse("bench.toml", []byte("protocol = \"platform\"\n"+text.String()))
		if err != nil {
			b.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		goroutinesBefore := runtime.NumGoroutine()
		n, err := New(cfg)
		if err != nil {
			b.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		for !n.isReady() {
			time.Sleep(time.Millisecond)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/services, "B/service")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutinesBefore)/services, "goroutines/service")
		var from, to syscall.Rusage
		readResourceUsage(b, &from)
		time.Sleep(time.Second)
		readResourceUsage(b, &to)
		cpu := to.Utime.Nano() + to.Stime.Nano() - from.Utime.Nano() - from.Stime.Nano()
		b.ReportMetric(float64(cpu)/services/1000, "idle-cpu-us/s/service")
		stop()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	}
}

// readResourceUsage reads the process's CPU times into into.
func readResourceUsage(b *testing.B, into *syscall.Rusage) {
	b.Helper()
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, into); err != nil {
		b.Fatal(err)
	}
}
