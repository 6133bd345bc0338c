package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// Bounds of a series of signals.
const (
	maxSignals           = 4                      // beside the first SIGTERM
	maxSignalInterval    = 150 * time.Millisecond // between two of a series
	minNewConnectionTime = 200 * time.Millisecond // after SIGTERM for which clients still open connections (PROTOCOL), at least
	maxNewConnectionTime = 400 * time.Millisecond // the same, at most
)

// signalStep is one signal of a series.
type signalStep struct {
	delay         time.Duration // since the step before
	signal        syscall.Signal
	invalidConfig bool // for SIGHUP: the configuration file is not valid
}

// shutdown is a drawn shutdown of a node: signals before SIGTERM and behind it.
type shutdown struct {
	before            []signalStep
	after             []signalStep
	newConnectionTime time.Duration // for which clients still connect
}

// drawShutdown draws a shutdown. SIGHUP may come before, between and behind, in a row and with a broken configuration.
func drawShutdown(rng *rand.Rand) shutdown {
	draw := func(signals ...syscall.Signal) (steps []signalStep) {
		for range rng.IntN(maxSignals + 1) {
			steps = append(steps, signalStep{
				delay:         time.Duration(rng.Int64N(int64(maxSignalInterval))),
				signal:        signals[rng.IntN(len(signals))],
				invalidConfig: rng.IntN(3) == 0,
			})
		}
		return steps
	}
	return shutdown{
		before:            draw(syscall.SIGHUP),
		after:             draw(syscall.SIGHUP, syscall.SIGTERM),
		newConnectionTime: minNewConnectionTime + time.Duration(rng.Int64N(int64(maxNewConnectionTime-minNewConnectionTime))),
	}
}

// brokenConfiguration can't be read.
const invalidConfiguration = `{"name":`

// send executes the steps of a series, until ctx ends or the process has.
func (n *node) sendSignals(ctx context.Context, steps []signalStep) {
	for _, step := range steps {
		sleep(ctx, step.delay)
		if ctx.Err() != nil || n.sendSignal(step) != nil {
			return
		}
	}
}

// sendStep sends one signal. For SIGHUP the configuration names the other discovery server, or is broken until a moment
// later.
func (n *node) sendSignal(step signalStep) error {
	n.play.journal.countSignal()
	switch {
	case step.signal != syscall.SIGHUP:
		return n.process.Signal(step.signal)
	case !step.invalidConfig:
		return n.switchDiscovery()
	}
	if err := os.WriteFile(n.configPath(), []byte(invalidConfiguration), 0o600); err != nil {
		return err
	}
	err := n.process.Signal(syscall.SIGHUP)
	time.Sleep(maxSignalInterval / 10) // for which the node may read it
	if writeErr := n.writeConfiguration(); writeErr != nil {
		return writeErr
	}
	return err
}

// terminate sends SIGTERM, among other signals, and starts the node again. A process that still runs at the platform's
// earliest SIGKILL is killed; requests that it has not answered are lost, and count as violations.
func (n *node) terminate(ctx context.Context, plan shutdown) error {
	n.sendSignals(ctx, plan.before)
	n.mu.Lock()
	n.sigtermAt = time.Now()
	n.newConnectionTime = plan.newConnectionTime
	n.mu.Unlock()
	if err := n.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	untilKill, cancel := context.WithTimeout(ctx, killDelay+n.play.Slack)
	defer cancel()
	signalsSent := make(chan struct{})
	go func() { defer close(signalsSent); n.sendSignals(untilKill, plan.after) }()
	err := n.process.Gone(untilKill)
	cancel()
	<-signalsSent
	if err != nil {
		n.play.journal.countKill()
		if err := n.process.Kill(); err != nil {
			return err
		}
	} else if err := n.process.Wait(); err != nil {
		n.play.journal.addViolation("%s ended after SIGTERM with %v", n.name, err)
	}
	if err := n.writeConfiguration(); err != nil {
		return err
	}
	return n.restart(ctx)
}
