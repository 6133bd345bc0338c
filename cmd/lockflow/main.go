// Command lockflow is one edge node: it takes requests from clients and passes
// them on to app servers as the control module decides.
package main

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"martennotch/internal/node"
)

const (
	collectAt  = 400 // per cent by which the heap may grow: memory is there, CPU is scarce
	memoryPart = 0.6 // of the memory limit that the heap may come to
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx); err != nil {
		slog.Error("lockflow ends", "err", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return errors.New("NODE_CONFIG names no configuration file")
	}
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	for name, field := range map[string]*string{"NODE_LISTEN": &cfg.Listen, "NODE_DISCOVERY": &cfg.Discovery} {
		if v := os.Getenv(name); v != "" {
			*field = v
		}
	}
	runtime.GOMAXPROCS(int(math.Max(1, math.Ceil(cfg.Cores))))
	debug.SetGCPercent(collectAt)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryMB<<20)))
	}
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
