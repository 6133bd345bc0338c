package faultnet

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/trials/faultnet/script"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// processState returns the state of a process as ps shows it, such as R, S or T; "" if it does not run.
func processState(p *Process) string {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	_, rest, _ := strings.Cut(string(raw), ") ")
	if !p.Runs() || rest == "" {
		return ""
	}
	return rest[:1]
}

// isInState reports whether it is as given that a link refuses connections, and that a process runs and is stopped.
func isInState(l *Link, p *Process, refused, runs, stopped bool) bool {
	c, err := net.Dial("tcp", l.Addr())
	if err == nil {
		c.Close()
	}
	is := processState(p)
	return (err != nil) == refused && (is != "") == runs && (is == "T") == stopped
}

// echoServer returns the address of a server that sends back what it receives until the test ends.
func echoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return listener.Addr().String()
}

// Each step puts the faults of its time in force on links and processes, also where faults overlap. Heal
// ends all faults, also when steps remain.
func TestPlayer(t *testing.T) {
	l, err := Listen(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := &Process{Path: "/bin/sleep", Args: []string{"1000"}}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { p.Kill(); p.Wait() }()
	s, err := Parse(`faults seed=1 links=1 procs=1 for=10s
link 0 1s..5s refuse
proc 0 1s..3s pause
proc 0 2s..6s kill
proc 0 5s..7s pause
`)
	if err != nil {
		t.Fatal(err)
	}
	awaitState := func(step string, refused, runs, stopped bool) {
		t.Helper()
		testkit.Until(t, step, func() bool { return isInState(l, p, refused, runs, stopped) })
	}
	for name, cut := range map[string]int{"whole": 6, "cut short": 2} {
		pl, err := NewPlayer(s, []*Link{l}, []*Process{p})
		if err != nil {
			t.Fatal(err)
		}
		callbacks := 0
		pl.Before = func(script.Step) { callbacks++ }
		pl.Done = func(e Event) {
			if callbacks++; e.Err != nil {
				t.Error(e)
			}
		}
		for i, want := range []struct{ refused, runs, stopped bool }{
			{true, true, true},
			{true, false, false},
			{true, false, false},
			{false, false, false},
			{false, true, true},
			{false, true, false},
		}[:cut] {
			if !pl.Next() {
				t.Fatal("no step is left, want step", i)
			}
			awaitState(fmt.Sprint(name, i), want.refused, want.runs, want.stopped)
		}
		if err := pl.Heal(); err != nil || pl.Next() || callbacks != 2*cut {
			t.Errorf("%s: Heal returned %v, %d callbacks were made", name, err, callbacks)
		}
		awaitState(name, false, true, false)
	}
	ctx, cancel := context.WithCancel(t.Context())
	s.For, s.Entries = time.Hour, []Entry{{To: time.Hour, Fault: Fault{Kind: script.Pause}}}
	pl, err := NewPlayer(s, []*Link{l}, []*Process{p})
	if err != nil {
		t.Fatal(err)
	}
	pl.Done = func(Event) { cancel() }
	if events, err := pl.Play(ctx); err != nil || len(events) != 1 {
		t.Errorf("Play with a cancelled context: events %v, error %v", events, err)
	}
	awaitState("after Play was cancelled", false, true, false)
	s.Procs = 2
	if _, err := Play(t.Context(), s, []*Link{l}, []*Process{p}); err == nil {
		t.Error("a script for more processes than there are was accepted")
	}
}
