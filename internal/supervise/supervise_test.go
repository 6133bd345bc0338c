package supervise

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"lockflow/internal/testkit"
)

func TestNotify(t *testing.T) {
	t.Setenv("NOTIFY_SOCKET", "")
	if err := NotifyReady("x"); err != nil {
		t.Errorf("with no supervisor: %v", err)
	}
	told := testkit.Supervisor(t)
	for _, err := range []error{NotifyReady("3 services"), NotifyReloading(), NotifyStopping()} {
		if err != nil {
			t.Error(err)
		}
	}
	if s := testkit.Next(t, told); s != "READY=1\nSTATUS=3 services" {
		t.Errorf("%q", s)
	}
	if s := testkit.Next(t, told); !strings.HasPrefix(s, "RELOADING=1\nMONOTONIC_USEC=") || len(s) < len("RELOADING=1\nMONOTONIC_USEC=1") {
		t.Errorf("%q", s)
	}
	if s := testkit.Next(t, told); s != "STOPPING=1" {
		t.Errorf("%q", s)
	}
	t.Setenv("NOTIFY_SOCKET", filepath.Join(t.TempDir(), "nobody"))
	if err := NotifyStopping(); err == nil {
		t.Error("nobody listens, and no error")
	}
}

// The watchdog is told of a life only while there is one.
func TestWatchdog(t *testing.T) {
	told := testkit.Supervisor(t)
	t.Setenv("WATCHDOG_USEC", "20000")
	t.Setenv("WATCHDOG_PID", "")
	if err := os.Unsetenv("WATCHDOG_PID"); err != nil {
		t.Fatal(err)
	}
	var alive atomic.Bool
	var asked atomic.Int64
	alive.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- RunWatchdog(ctx, func(context.Context) bool { asked.Add(1); return alive.Load() })
	}()
	for range 3 {
		if s := testkit.Next(t, told); s != "WATCHDOG=1" {
			t.Errorf("%q", s)
		}
	}
	alive.Store(false)
	from := asked.Load()
	testkit.Until(t, "being asked in vain", func() bool { return asked.Load() > from+3 })
	for len(told) > 0 { // what came before it died
		<-told
	}
	from = asked.Load()
	testkit.Until(t, "being asked in vain again", func() bool { return asked.Load() > from+3 })
	if len(told) > 0 {
		t.Errorf("a dead daemon said %q", <-told)
	}
	cancel()
	if err := testkit.Next(t, ended); err != nil {
		t.Error(err)
	}
	t.Setenv("WATCHDOG_USEC", "")
	if err := os.Unsetenv("WATCHDOG_USEC"); err != nil {
		t.Fatal(err)
	}
	if err := RunWatchdog(context.Background(), func(context.Context) bool { t.Error("asked"); return true }); err != nil {
		t.Error(err)
	}
	t.Setenv("WATCHDOG_USEC", "soon")
	if err := RunWatchdog(context.Background(), nil); err == nil {
		t.Error("an odd time was taken")
	}
}

func TestPIDFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pid")
	p, err := CreatePIDFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := CreatePIDFile(path); err == nil || !strings.Contains(err.Error(), "another daemon runs: process ") {
		t.Errorf("a second one: %v", err)
	}
	if err := p.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Errorf("still there: %v", err)
	}
	// One that a killed daemon left is taken over.
	if err := os.WriteFile(path, []byte("999999999\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if p, err = CreatePIDFile(path); err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if raw, _ := os.ReadFile(path); strings.Contains(string(raw), "999999999") {
		t.Errorf("%q", raw)
	}
	if _, err := CreatePIDFile(filepath.Join(path, "no")); err == nil {
		t.Error("no such folder, and no error")
	}
	if err := (*PIDFile)(nil).Close(); err != nil {
		t.Error(err)
	}
}

func TestNothingInherited(t *testing.T) {
	t.Setenv("LISTEN_FDS", "")
	if all, err := InheritedListeners(); err != nil || len(all) > 0 {
		t.Errorf("%v, %v", all, err)
	}
}
