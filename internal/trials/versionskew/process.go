package versionskew

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"lockflow/internal/manage"
	"lockflow/internal/upgrade"
)

const (
	pollInterval   = 5 * time.Millisecond
	stepTimeout    = 60 * time.Second
	maxStatusBytes = 1 << 20 // bytes
)

// build is one build of lockflow.
type build struct {
	name string // "previous" or "current"
	path string
	env  []string
}

// run runs a command of the build and returns its standard output; an error includes all output.
func (b build) run(ctx context.Context, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, b.path, args...)
	cmd.Env = upgrade.FilterEnvironment(b.env)
	var stdout, stderr bytes.Buffer
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	if err := cmd.Run(); err != nil {
		return nil, fmt.Errorf("%s build: lockflow %s: %w: %s%s", b.name, strings.Join(args, " "), err, stdout.Bytes(), stderr.Bytes())
	}
	return stdout.Bytes(), nil
}

// daemon is the directory and control socket of a daemon, whichever process serves.
type daemon struct {
	dir    string
	client manage.Client
}

func newDaemon(dir string) *daemon {
	return &daemon{dir: dir, client: manage.Client{Path: filepath.Join(dir, "control.sock")}}
}

func (d *daemon) config() string     { return filepath.Join(d.dir, "lockflow.toml") }
func (d *daemon) stateDir() string   { return filepath.Join(d.dir, "state") }
func (d *daemon) checkpoint() string { return filepath.Join(d.stateDir(), "state") }
func (d *daemon) log() string        { return filepath.Join(d.dir, "log") }

// start starts a process of a build and waits until it is ready.
func (d *daemon) start(ctx context.Context, b build, listen string) (manage.Status, error) {
	log, err := os.OpenFile(d.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return manage.Status{}, fmt.Errorf("starting the %s build: %w", b.name, err)
	}
	defer func() { _ = log.Close() }()
	// The process outlives ctx: it ends by stop, kill or an upgrade.
	cmd := exec.CommandContext(context.WithoutCancel(ctx), b.path, "serve", "--config", d.config(), "--listen", listen, "--instances", "1", "--instance", "0",
		"--pid-file", filepath.Join(d.dir, "pid"), "--control", d.client.Path)
	cmd.Env = upgrade.FilterEnvironment(b.env)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return manage.Status{}, fmt.Errorf("starting the %s build: %w", b.name, err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	var status manage.Status
	err = pollUntil(ctx, func() (bool, error) {
		select {
		case err := <-exited:
			return false, fmt.Errorf("process %d has exited: %w", cmd.Process.Pid, err)
		default:
		}
		var err error
		status, err = d.client.Status(ctx)
		return err == nil && status.PID == cmd.Process.Pid && status.IsReady(), nil
	})
	if err != nil {
		_ = cmd.Process.Kill()
		return status, fmt.Errorf("starting the %s build: %w; its log is %s", b.name, err, d.log())
	}
	return status, nil
}

// stop drains the serving process and waits until it has exited.
func (d *daemon) stop(ctx context.Context) error {
	status, err := d.client.Drain(ctx)
	if err != nil {
		return err
	}
	return pollUntil(ctx, func() (bool, error) { return hasExited(status.PID), nil })
}

// kill kills the serving process and its successor, if any, until the control socket no longer responds.
func (d *daemon) kill() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for {
		status, err := d.client.Status(ctx)
		if err != nil {
			return
		}
		for _, pid := range []int{status.SuccessorPID, status.PID} {
			if pid > 0 {
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
		}
	}
}

// rawStatus returns the JSON status of the control socket as received.
func (d *daemon) rawStatus(ctx context.Context) ([]byte, error) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", d.client.Path)
	}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://daemon/v1/status", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("requesting the daemon's status: %w", err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("requesting the daemon's status: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return nil, fmt.Errorf("requesting the daemon's status: %w", err)
	}
	return raw, nil
}

// cliStatus returns the JSON status that the command line of a build prints.
func (d *daemon) cliStatus(ctx context.Context, b build) (json.RawMessage, error) {
	raw, err := b.run(ctx, "status", "--control", d.client.Path, "--json")
	if err != nil {
		return nil, err
	}
	var members []struct {
		Status json.RawMessage `json:"status"`
	}
	if err := json.Unmarshal(raw, &members); err != nil || len(members) != 1 {
		return nil, fmt.Errorf("%s build: lockflow status --json lists %d daemons: %w", b.name, len(members), err)
	}
	return members[0].Status, nil
}

// hasExited reports whether a process has exited; a zombie has.
func hasExited(pid int) bool {
	if errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) {
		return true
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, state, _ := strings.Cut(string(raw), ") ")
	return strings.HasPrefix(state, "Z")
}

// errTimeout is the error of a condition that did not become true in time.
var errTimeout = errors.New("condition not met in time")

// pollUntil polls a condition until it is true or returns an error, or ctx ends.
func pollUntil(ctx context.Context, condition func() (bool, error)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		ok, err := condition()
		if err != nil || ok {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", errTimeout, ctx.Err())
		}
	}
}
