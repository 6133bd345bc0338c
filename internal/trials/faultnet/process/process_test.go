package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/renameio/v2"

	"lockflow/internal/testsupport/testkit"
)

// TestMain is also the program that these tests start. It copies the contents of the file "ask" to a
// file in its state directory and prints the result.
func TestMain(m *testing.M) {
	if dir := os.Getenv("WRITER_STATE"); dir != "" {
		runWriter(dir)
		return
	}
	os.Exit(m.Run())
}

func runWriter(dir string) {
	parent := os.Getppid() // read first, so that the process also ends if the test is killed
	fmt.Println("up, clock", os.Getenv("WRITER_CLOCK"))
	for os.Getppid() == parent {
		// The request is passed in a file, which needs no connection to the process.
		raw, err := os.ReadFile(filepath.Join(dir, "ask"))
		if err != nil || len(raw) == 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		err = renameio.WriteFile(filepath.Join(dir, "state"), raw, 0o600)
		contents, readErr := os.ReadFile(filepath.Join(dir, "state"))
		fmt.Printf("%s: wrote %v, reads %q %v\n", raw, err, contents, readErr)
		if err := os.Truncate(filepath.Join(dir, "ask"), 0); err != nil {
			fmt.Println(err)
		}
	}
}

// A process is killed and restarted, paused and continued; its directory becomes full and read-only,
// for root too, and both heal; it receives its clock offset.
func TestProcess(t *testing.T) {
	dir := t.TempDir()
	var offsets []time.Duration
	p := &Process{
		Path:     os.Args[0],
		Args:     []string{"-test.run=none"},
		Env:      []string{"WRITER_STATE=" + dir},
		Log:      filepath.Join(t.TempDir(), "log"),
		State:    dir,
		ClockEnv: "WRITER_CLOCK",
		OnClock: func(offset time.Duration) error {
			offsets = append(offsets, offset)
			return nil
		},
	}
	defer p.Kill()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	log := func() string { raw, _ := os.ReadFile(p.Log); return string(raw) }
	n := 0
	requestWrite := func(want ...string) {
		t.Helper()
		n++
		must(os.WriteFile(filepath.Join(dir, "ask"), fmt.Appendf(nil, "q%d", n), 0o600))
		prefix := fmt.Sprintf("q%d: wrote ", n)
		testkit.Until(t, prefix, func() bool { _, line, ok := strings.Cut(log(), prefix); return ok && strings.Contains(line, "\n") })
		_, line, _ := strings.Cut(log(), prefix)
		for _, w := range want {
			if !strings.Contains(line, w) {
				t.Errorf("log line %s%s does not contain %q", prefix, line, w)
			}
		}
	}
	if err := p.Pause(); !errors.Is(err, ErrNone) || p.Kill() != nil || p.PID() != 0 || p.Runs() {
		t.Errorf("before the first start: Pause returned %v", err)
	}
	must(p.SetClock(-time.Minute))
	must(p.Start())
	if err := p.Start(); !errors.Is(err, ErrRuns) {
		t.Errorf("second start returned %v, want the error for a running process", err)
	}
	requestWrite("<nil>", `reads "q1" <nil>`)
	must(p.SetFull(true))
	requestWrite("file too large", `reads "q1" <nil>`)
	must(p.SetFull(false))
	requestWrite("<nil>", `reads "q3"`)
	must(p.SetReadOnly(true))
	requestWrite("permission denied", `reads "q3" <nil>`)
	must(p.SetReadOnly(false))
	requestWrite("<nil>", `reads "q5"`)
	must(p.Pause())
	testkit.Until(t, "stopped", func() bool {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		return strings.Contains(string(raw), ") T ")
	})
	must(p.Kill())
	if p.Runs() || p.Wait() == nil {
		t.Error("after Kill the process is running or has exited without an error")
	}
	must(p.SetFull(true))
	must(p.SetClock(time.Hour))
	must(p.Start())
	requestWrite("file too large")
	must(p.Stop(testkit.WaitTimeout))
	ctx, cancel := context.WithTimeout(t.Context(), testkit.WaitTimeout)
	defer cancel()
	must(p.Gone(ctx))
	if got := log(); strings.Count(got, "up, clock -1m0s") != 1 || strings.Count(got, "up, clock 1h0m0s") != 1 || fmt.Sprint(offsets) != "[-1m0s 1h0m0s]" || p.Starts() != 2 {
		t.Errorf("clock offsets %v, log:\n%s", offsets, got)
	}
}
