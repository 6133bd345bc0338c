package supervise

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"lockflow/internal/testsupport/testkit"
)

func TestNotificationsReachSupervisor(t *testing.T) {
	t.Setenv("NOTIFY_SOCKET", "")
	if err := NotifyReady("x"); err != nil {
		t.Errorf("without a supervisor: %v", err)
	}
	messages := testkit.Supervisor(t)
	for _, err := range []error{NotifyReady("3 services"), NotifyReloading(), NotifyStopping()} {
		if err != nil {
			t.Error(err)
		}
	}
	if s := testkit.Next(t, messages); s != "READY=1\nSTATUS=3 services" {
		t.Errorf("unexpected notification %q", s)
	}
	if s := testkit.Next(t, messages); !strings.HasPrefix(s, "RELOADING=1\nMONOTONIC_USEC=") || len(s) < len("RELOADING=1\nMONOTONIC_USEC=1") {
		t.Errorf("unexpected notification %q", s)
	}
	if s := testkit.Next(t, messages); s != "STOPPING=1" {
		t.Errorf("unexpected notification %q", s)
	}
	t.Setenv("NOTIFY_SOCKET", filepath.Join(t.TempDir(), "nobody"))
	if err := NotifyStopping(); err == nil {
		t.Error("no error for a socket without a listener")
	}
}

// The watchdog is notified only while isAlive returns true.
func TestWatchdogNotifiesWhileAlive(t *testing.T) {
	messages := testkit.Supervisor(t)
	t.Setenv("WATCHDOG_USEC", "20000")
	t.Setenv("WATCHDOG_PID", "")
	if err := os.Unsetenv("WATCHDOG_PID"); err != nil {
		t.Fatal(err)
	}
	var isAlive atomic.Bool
	var checks atomic.Int64
	isAlive.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- RunWatchdog(ctx, func(context.Context) bool { checks.Add(1); return isAlive.Load() })
	}()
	for range 3 {
		if s := testkit.Next(t, messages); s != "WATCHDOG=1" {
			t.Errorf("unexpected notification %q", s)
		}
	}
	isAlive.Store(false)
	checksBefore := checks.Load()
	testkit.Until(t, "checks while isAlive returns false", func() bool { return checks.Load() > checksBefore+3 })
	for len(messages) > 0 { // sent before isAlive changed
		<-messages
	}
	checksBefore = checks.Load()
	testkit.Until(t, "more checks while isAlive returns false", func() bool { return checks.Load() > checksBefore+3 })
	if len(messages) > 0 {
		t.Errorf("notified %q while isAlive returns false", <-messages)
	}
	cancel()
	if err := testkit.Next(t, ended); err != nil {
		t.Error(err)
	}
	t.Setenv("WATCHDOG_USEC", "")
	if err := os.Unsetenv("WATCHDOG_USEC"); err != nil {
		t.Fatal(err)
	}
	if err := RunWatchdog(context.Background(), func(context.Context) bool { t.Error("isAlive called without a watchdog"); return true }); err != nil {
		t.Error(err)
	}
	t.Setenv("WATCHDOG_USEC", "soon")
	if err := RunWatchdog(context.Background(), nil); err == nil {
		t.Error("no error for an invalid WATCHDOG_USEC")
	}
}

func TestPIDFileIsLockedAndRemoved(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pid")
	pidFile, err := CreatePIDFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := CreatePIDFile(path); err == nil || !strings.Contains(err.Error(), "is locked by another daemon: process ") {
		t.Errorf("CreatePIDFile of a locked file: error %v", err)
	}
	if err := pidFile.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Errorf("pid file not removed: %v", err)
	}
	// A file that a killed daemon has left is taken over.
	if err := os.WriteFile(path, []byte("999999999\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if pidFile, err = CreatePIDFile(path); err != nil {
		t.Fatal(err)
	}
	defer pidFile.Close()
	if raw, _ := os.ReadFile(path); strings.Contains(string(raw), "999999999") {
		t.Errorf("pid file contains %q", raw)
	}
	if _, err := CreatePIDFile(filepath.Join(path, "no")); err == nil {
		t.Error("no error for a path below a file")
	}
	if err := (*PIDFile)(nil).Close(); err != nil {
		t.Error(err)
	}
}

func TestNoListenersWithoutSupervisor(t *testing.T) {
	t.Setenv("LISTEN_FDS", "")
	if listeners, err := InheritedListeners(); err != nil || len(listeners) > 0 {
		t.Errorf("listeners %v, error %v", listeners, err)
	}
}
