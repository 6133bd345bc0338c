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
	maxSignals           = 4                      // most signals on each side of the first SIGTERM
	maxSignalInterval    = 150 * time.Millisecond // longest interval between two signals of a series
	minNewConnectionTime = 200 * time.Millisecond // shortest time after SIGTERM in which clients still open connections (PROTOCOL)
	maxNewConnectionTime = 400 * time.Millisecond // longest time after SIGTERM in which clients still open connections
)

// signalStep is one signal of a series.
type signalStep struct {
	delay         time.Duration // pause before the signal
	signal        syscall.Signal
	invalidConfig bool // for SIGHUP: whether the configuration file is invalid
}

// shutdown is a randomly generated shutdown of a node, with signals before and after the first SIGTERM.
type shutdown struct {
	before            []signalStep
	after             []signalStep
	newConnectionTime time.Duration // time after SIGTERM in which clients still open connections
}

// drawShutdown generates a random shutdown. SIGHUP may be sent before, between and after SIGTERMs, several times in a row
// and with an invalid configuration file.
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

// invalidConfiguration is a configuration file that can't be parsed.
const invalidConfiguration = `{"name":`

// sendSignals sends the signals of a series until ctx ends or the process has exited.
func (n *node) sendSignals(ctx context.Context, steps []signalStep) {
	for _, step := range steps {
		sleep(ctx, step.delay)
		if ctx.Err() != nil || n.sendSignal(step) != nil {
			return
		}
	}
}

// sendSignal sends one signal. Before SIGHUP, the configuration file is changed to name the other discovery server, or is
// made invalid for a short time.
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
	time.Sleep(maxSignalInterval / 10) // gives the node time to read the invalid file
	if writeErr := n.writeConfiguration(); writeErr != nil {
		return writeErr
	}
	return err
}

// terminate sends SIGTERM, with other signals before and after it, and restarts the node. A process that still runs at
// the platform's earliest SIGKILL is killed; requests that it has not answered by then count as violations.
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
		n.play.journal.addViolation("process of %s exited after SIGTERM with %v", n.name, err)
	}
	if err := n.writeConfiguration(); err != nil {
		return err
	}
	return n.restart(ctx)
}
