package daemon

import (
	"context"
	"log/slog"
	"net"
	"time"

	"lockflow/internal/manage"
	"lockflow/internal/metrics"
	"lockflow/internal/node"
)

// metricsRetryInterval is the time between two attempts to listen on the metrics address.
const metricsRetryInterval = 500 * time.Millisecond

// startMetrics serves metrics until ctx ends, if an address is configured. It retries while the address is in use:
// during an upgrade the predecessor listens on it until it ends.
func (d *daemon) startMetrics(ctx context.Context) {
	address := d.cfg.Metrics
	if address == "" {
		return
	}
	var source metrics.Source = d.node
	if d.cfg.Process.ControlSocket != "" {
		source = memberMetrics{d.node, d}
	}
	d.goroutines.Go(func() { d.serveMetrics(ctx, address, source) })
}

func (d *daemon) serveMetrics(ctx context.Context, address string, source metrics.Source) {
	isFailureLogged := false
	for ctx.Err() == nil {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil {
			slog.Info("serving metrics", "listen", listener.Addr().String())
			d.conditions.clear(conditionMetrics)
			isFailureLogged = false
			err = metrics.Serve(ctx, listener, source)
		}
		if err != nil && !isFailureLogged {
			isFailureLogged = true
			slog.Warn("serving metrics failed", "err", err)
			d.conditions.add(conditionMetrics, err.Error())
		}
		select {
		case <-time.After(metricsRetryInterval):
		case <-ctx.Done():
		}
	}
}

// memberMetrics is the metrics source of a node that is a fleet member.
type memberMetrics struct {
	*node.Node
	daemon *daemon
}

// Member implements metrics.Member.
func (m memberMetrics) Member() manage.Status {
	s := manage.Status{Statistics: m.daemon.instanceStats()}
	m.daemon.callInLoop(func() { m.daemon.addMemberStatus(&s) })
	return s
}
