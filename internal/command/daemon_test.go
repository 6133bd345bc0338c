package command

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// A daemon must notify its supervisor of each step of its lifecycle: READY once it serves, RELOADING with the
// time and then READY for each reload, also of an invalid file, and STOPPING before it ends.
func TestDaemonNotifiesSupervisor(t *testing.T) {
	dir := t.TempDir()
	configPath, pidPath := filepath.Join(dir, "c.toml"), filepath.Join(dir, "pid")
	write := func(text string) {
		if err := os.WriteFile(configPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(testkit.SmallConfig)
	notifications := testkit.Supervisor(t)
	ctx, stop := context.WithCancel(context.Background())
	hup := make(chan os.Signal)
	var out, errs bytes.Buffer
	code := make(chan int, 1)
	go func() {
		code <- Run(ctx, &Env{Getenv: func(string) string { return "" }, Out: &out, Err: &errs, ReloadSignals: hup}, []string{"serve", "--config", configPath, "--pid-file", pidPath})
	}()
	expect := func(want string) {
		t.Helper()
		if got := testkit.Next(t, notifications); !strings.HasPrefix(got, want) {
			t.Fatalf("supervisor got notification %q, want prefix %q", got, want)
		}
	}
	expect("READY=1\nSTATUS=1 services on 127.0.0.1:")
	if raw, err := os.ReadFile(pidPath); err != nil || string(raw) != fmt.Sprintln(os.Getpid()) {
		t.Errorf("got pid file %q, error %v", raw, err)
	}
	for _, text := range []string{strings.Replace(testkit.SmallConfig, "services.a", "services.b", 1) + "\n", "x = 1", testkit.SmallConfig} {
		if strings.Contains(text, "services.b") {
			text = strings.Replace(text, `service = "a"`, `service = "b"`, 1)
		}
		write(text)
		hup <- syscall.SIGHUP
		expect("RELOADING=1\nMONOTONIC_USEC=")
		expect("READY=1")
	}
	stop()
	expect("STOPPING=1")
	if c := testkit.Next(t, code); c != ExitOK {
		t.Errorf("got exit code %d: %s", c, errs.String())
	}
	if _, err := os.Stat(pidPath); !os.IsNotExist(err) {
		t.Errorf("the pid file was not removed: %v", err)
	}
}
