package faultbuild

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const probe = `package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"time"
)

func main() {
	begun := time.Now()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		ahead := time.Now().Round(0).Sub(begun.Round(0)) - time.Since(begun)
		_, err := net.Dial("tcp", "127.0.0.1:1")
		fmt.Println(ahead.Round(time.Second), err)
	}
}
`

// The wall clock of a program built with faults is stepped and its calls fail while it runs; its monotonic clock is
// unaffected.
func TestBuiltProgramObeysTable(t *testing.T) {
	dir := t.TempDir()
	source, program := filepath.Join(dir, "probe.go"), filepath.Join(dir, "probe")
	if err := os.WriteFile(source, []byte(probe), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Build(t.Context(), source, program, dir); err != nil {
		t.Fatal(err)
	}
	table, err := NewTable(filepath.Join(dir, "table"))
	if err != nil {
		t.Fatal(err)
	}
	defer table.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), table.Environment())
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	query := func() string {
		fmt.Fprintln(in)
		lines.Scan()
		return lines.Text()
	}
	if got := query(); !strings.HasPrefix(got, "0s ") || !strings.Contains(got, "refused") {
		t.Errorf("without faults: %s", got)
	}
	table.StepClock(-time.Hour)
	table.Fail(Connect, syscall.EADDRNOTAVAIL, 1)
	if got := query(); !strings.HasPrefix(got, "-1h0m0s ") || !strings.Contains(got, "cannot assign requested address") {
		t.Errorf("with faults: %s", got)
	}
	if table.Injected(Connect) == 0 {
		t.Error("no connect call was counted as failed")
	}
	table.Heal(Connect)
	table.StepClock(0)
	if got := query(); !strings.HasPrefix(got, "0s ") || !strings.Contains(got, "refused") {
		t.Errorf("after the faults: %s", got)
	}
	in.Close()
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}
