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

	"martennotch/internal/config"
	"martennotch/internal/node"
)

const (
	collectAt  = 400 // per cent by which the heap may grow: memory is there, CPU is scarce
	memoryPart = 0.6 // of the memory limit that the heap may come to
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Guards against a SIGHUP that ends the program: it is never left to its default, also
	// not while the node starts or drains.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := run(ctx, hup); err != nil {
		slog.Error("lockflow ends", "err", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, hup <-chan os.Signal) error {
	path := os.Getenv("NODE_CONFIG")
	if path == "" {
		return errors.New("NODE_CONFIG names no configuration file")
	}
	cfg, err := config.LoadPlatform(path)
	if err != nil {
		return err
	}
	for name, field := range map[string]*string{"NODE_LISTEN": &cfg.Listeners[0], "NODE_DISCOVERY": &cfg.Services[0].Source.Address} {
		if v := os.Getenv(name); v != "" {
			*field = v
		}
	}
	runtime.GOMAXPROCS(int(math.Max(1, math.Ceil(cfg.Process.Cores))))
	debug.SetGCPercent(collectAt)
	if cfg.Process.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Process.MemoryMB<<20)))
	}
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	go func() {
		for range hup {
			reload(n, path)
		}
	}()
	return n.Run(ctx)
}

// reload reads the configuration again. Once it was read anew the file goes before the
// environment; a file that can't be used changes nothing.
func reload(n *node.Node, path string) {
	cfg, err := config.LoadPlatform(path)
	if err != nil {
		slog.Error("reload: the old configuration stays", "err", err)
		return
	}
	if err := n.Reload(cfg); err != nil {
		slog.Error("reload: the old configuration stays", "err", err)
	}
}
