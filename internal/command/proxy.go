package command

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/node"
)

// proxyCommand returns the command "proxy".
func proxyCommand() command {
	return command{
		name:    "proxy",
		group:   groupRunning,
		summary: "serves ordinary HTTP from some app servers, with no configuration file",
		args:    "--to ADDRESS[,ADDRESS...] [--listen ADDRESS] [--for TIME] [--print]",
		examples: []string{
			"lockflow proxy --listen 127.0.0.1:8080 --to 127.0.0.1:9001,127.0.0.1:9002",
			"lockflow proxy --to 127.0.0.1:9001 --print > lockflow.toml    # the file that does the same",
		},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			listen := set.String("listen", "127.0.0.1:8080", "`ADDRESS` for clients")
			to := set.StringSlice("to", nil, "`ADDRESS`es of the app servers")
			duration := set.Duration("for", 0, "`TIME` after which it drains and ends; 0 is never")
			printsConfig := set.Bool("print", false, "prints the configuration and serves nothing")
			return func(ctx context.Context, e *Env, args []string) error {
				if len(args) > 0 || len(*to) == 0 || *duration < 0 {
					return usageError("proxy takes --to with at least one address, --for of 0 or more, and no arguments")
				}
				text, err := proxyConfig(*listen, *to)
				if err != nil {
					return usageError("proxy: %v", err)
				}
				if *printsConfig {
					_, err := fmt.Fprint(e.Out, text)
					return err
				}
				return serveProxy(ctx, e, text, *duration)
			}
		},
	}
}

// proxyConfig returns the TOML configuration of a proxy to app servers.
func proxyConfig(listen string, servers []string) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "[[listeners]]\naddress = %s\n\n[services.app.source]\nkind = \"static\"\n", strconv.Quote(listen))
	for i, addr := range append([]string{listen}, servers...) {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return "", fmt.Errorf("address %q is not of the form host:port", addr)
		}
		if i > 0 {
			fmt.Fprintf(&b, "\n[[services.app.source.servers]]\nendpoint = %s\n", strconv.Quote(addr))
		}
	}
	b.WriteString("\n[[routes]]\nservice = \"app\"\nupgrade = [\"websocket\"]\n")
	return b.String(), nil
}

// serveProxy serves by a configuration for a duration, or until ctx is done; a duration of 0 is unlimited.
func serveProxy(ctx context.Context, e *Env, text string, duration time.Duration) error {
	cfg, err := config.Parse("proxy", []byte(text))
	if err != nil {
		return err
	}
	applyRuntimeLimits(cfg)
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "listening on %s, serving from %d app servers\n", n.Addr(), len(cfg.Services[0].Source.Endpoints))
	if duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, duration)
		defer cancel()
	}
	return n.Run(ctx)
}
