package measure

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"lockflow/internal/fleet"
)

// This file has the disturbances of the instances of a measured fleet.

// disturb reloads, upgrades, restarts or kills an instance, depending on kind, unless another disturbance of that
// instance is in progress.
func (r *fleetRig) disturb(ctx context.Context, i, kind int) {
	r.mu.Lock()
	if r.busy[i] {
		r.mu.Unlock()
		return
	}
	r.busy[i] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.busy, i)
		delete(r.avoided, i)
	}()
	m := r.run.Members[i]
	disturbanceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
	defer cancel()
	before, err := m.Client.Status(disturbanceCtx)
	if err != nil {
		r.addFailure("instance %d does not answer: %v", i, err)
		return
	}
	counter := &r.report.Reloads
	switch {
	case kind < 5:
		raw, _ := os.ReadFile(before.ConfigPath)
		changed := strings.Replace(string(raw), "depth = 2000", "depth = 2001", 1)
		if changed == string(raw) {
			changed = strings.Replace(string(raw), "depth = 2001", "depth = 2000", 1)
		}
		err = (&fleet.Reload{New: []byte(changed)}).Do(disturbanceCtx, m, before)
	case kind < 8:
		counter = &r.report.Upgrades
		err = (&fleet.Upgrade{}).Do(disturbanceCtx, m, before)
	case kind == drainDisturbance:
		counter = &r.report.Ends
		r.avoid(i)
		err = syscall.Kill(before.PID, syscall.SIGTERM)
		err = errors.Join(err, r.awaitRestart(disturbanceCtx, i, before.PID))
	default:
		counter = &r.report.Kills
		r.mu.Lock()
		r.avoided[i] = true
		r.killed[r.run.Addr(i)] = append(r.killed[r.run.Addr(i)], time.Now())
		r.mu.Unlock()
		err = syscall.Kill(before.PID, syscall.SIGKILL)
		err = errors.Join(err, r.awaitRestart(disturbanceCtx, i, before.PID))
	}
	if err != nil {
		r.addFailure("instance %d, disturbance %d: %v", i, kind, err)
		return
	}
	r.mu.Lock()
	*counter++
	r.mu.Unlock()
}

func (r *fleetRig) addFailure(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logProgress("%s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Failed = append(r.report.Failed, text)
}

// restartHalf restarts half of the instances at the same time in the middle of the run. If the options add servers, it
// starts one that warms up just before.
func (r *fleetRig) restartHalf(ctx context.Context) {
	select {
	case <-time.After(r.options.Duration / 2):
	case <-ctx.Done():
		return
	}
	if r.options.NewServerInterval > 0 {
		if err := r.startServer(fleetWarmup); err != nil {
			r.addFailure("a server: %v", err)
		}
	}
	r.logProgress("restarting half of the instances")
	var all sync.WaitGroup
	for i := 0; i < r.options.Instances; i += 2 {
		all.Go(func() { r.disturb(ctx, i, drainDisturbance) })
	}
	all.Wait()
}

// drainDisturbance is the kind of disturbance that drains and restarts an instance.
const drainDisturbance = 8

// avoid makes clients avoid an instance, as a load balancer does before a planned shutdown, and waits for leadTime.
func (r *fleetRig) avoid(i int) {
	r.mu.Lock()
	r.avoided[i] = true
	r.mu.Unlock()
	time.Sleep(leadTime)
}

// awaitRestart waits until an instance is ready in a process other than pid.
func (r *fleetRig) awaitRestart(ctx context.Context, i, pid int) error {
	for {
		if s, err := r.run.Members[i].Client.Status(ctx); err == nil && s.PID != pid && s.IsReady() {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("waiting for the instance to serve after a restart: %w", ctx.Err())
		}
	}
}
