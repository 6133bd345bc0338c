package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
	"lockflow/internal/testsupport/testkit"
)

// kept is a directory of instances and who keeps them.
type kept struct {
	t        *testing.T
	bin, dir string
	keeper   *exec.Cmd
}

// run starts a keeper that says it is ready.
func (k *kept) run() {
	k.t.Helper()
	k.keeper = exec.Command(k.bin, "fleet", "run", "--config", filepath.Join(k.dir, "c.toml"), "--dir", k.dir, "--instances", "2", "--port", "0")
	var log bytes.Buffer
	k.keeper.Stderr = &log
	out, err := k.keeper.StdoutPipe()
	if err == nil {
		err = k.keeper.Start()
	}
	if err != nil {
		k.t.Fatal(err)
	}
	late := time.AfterFunc(time.Minute, func() { k.keeper.Process.Kill() })
	defer late.Stop()
	lines := bufio.NewScanner(out)
	for n := 0; n < 3; n++ { // a head and both instances
		if !lines.Scan() {
			k.keeper.Wait()
			k.t.Fatalf("it says no more\n%s", &log)
		}
	}
}

func (k *kept) client(i int) manage.Client {
	return manage.Client{Path: filepath.Join(k.dir, fmt.Sprint(i), "control.sock")}
}

func (k *kept) until(what string, i int, is func(manage.Status) bool) (s manage.Status) {
	k.t.Helper()
	testkit.Until(k.t, what, func() (ok bool) {
		var err error
		s, err = k.client(i).Status(context.Background())
		return err == nil && is(s)
	})
	return s
}

func (k *kept) fleet(tells string, args ...string) {
	k.t.Helper()
	out, err := exec.Command(k.bin, append([]string{"fleet", "--dir", k.dir}, args...)...).CombinedOutput()
	if err != nil || !strings.Contains(string(out), tells) {
		k.t.Errorf("%v: %v\n%s", args, err, out)
	}
}

// What is wanted of instances outlives them and their keeper: drained stay drained until they are to serve,
// settings and program are the last ordered, and a keeper that was killed is followed by one that takes over
// what runs.
func TestKeeper(t *testing.T) {
	k := &kept{t: t, bin: build(t), dir: testkit.ShortDir(t)}
	text := strings.Replace(testkit.SmallConfig, "[process]", "[process]\nupgrade = { within = \"10s\", probation = \"50ms\" }", 1)
	next := filepath.Join(k.dir, "next")
	raw, err := os.ReadFile(k.bin)
	if err == nil {
		err = os.WriteFile(next, raw, 0o700)
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(k.dir, "c.toml"), []byte(text), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if k.keeper == nil {
			return
		}
		k.keeper.Process.Signal(os.Interrupt)
		k.keeper.Wait()
		for i := range 2 { // left where the test failed between two keepers
			if s, err := k.client(i).Status(context.Background()); err == nil {
				syscall.Kill(s.PID, syscall.SIGKILL)
			}
		}
	})
	k.run()
	ready := func(s manage.Status) bool { return s.IsReady() }
	var was [2]manage.Status
	for i := range was {
		was[i] = k.until("ready", i, ready)
	}
	k.fleet("drains", "drain")
	for i := range was {
		was[i] = k.until("drained", i, func(s manage.Status) bool { return s.State == manage.StateDrained && s.PID != was[i].PID })
	}
	k.fleet("drained", "status")
	k.fleet("serves", "serve")
	ctx := context.Background()
	order := func(id string, w desiredstate.Operation) {
		t.Helper()
		_, err := k.client(0).RunCommand(ctx, desiredstate.Command{Epoch: 3, Owner: "me", ID: id, Operation: w})
		if err != nil {
			t.Error(id, err)
		}
	}
	k.until("serving", 0, ready)
	was[1] = k.until("serving", 1, ready)
	if _, err := k.client(0).Claim(ctx, desiredstate.Claim{Epoch: 3, Owner: "me"}); err != nil {
		t.Fatal(err)
	}
	order("p", desiredstate.Operation{Kind: desiredstate.KindProgram, Path: next})
	k.until("the new program alone", 0, func(s manage.Status) bool { return s.IsReady() && s.Program == next && s.LastCommand.ID == "p" })
	ordered := "# ordered\n" + text
	order("s", desiredstate.Operation{Kind: desiredstate.KindSettings, Text: ordered, Hash: desiredstate.Hash([]byte(ordered))})
	was[0] = k.until("the settings", 0, func(s manage.Status) bool { return s.ConfigHash == desiredstate.Hash([]byte(ordered)) })

	k.keeper.Process.Kill()
	k.keeper.Wait()
	k.run()
	for i := range was {
		if s := k.until("taken over", i, ready); s.PID != was[i].PID {
			t.Errorf("instance %d is process %d, was %d", i, s.PID, was[i].PID)
		}
	}
	if out, err := exec.Command(k.bin, k.keeper.Args[1:]...).CombinedOutput(); err == nil || !strings.Contains(string(out), "another fleet run") {
		t.Errorf("a second keeper: %v\n%s", err, out)
	}
	// One that was killed comes back as it was ordered; also where nobody kept it at that moment.
	wanted := func(s manage.Status) bool {
		return s.IsReady() && s.PID != was[0].PID && s.Program == next && s.ConfigHash == s.DesiredState.Hash && s.Epoch == 3
	}
	syscall.Kill(was[0].PID, syscall.SIGKILL)
	was[0] = k.until("back as ordered", 0, wanted)
	k.keeper.Process.Kill()
	k.keeper.Wait()
	syscall.Kill(was[0].PID, syscall.SIGKILL)
	k.run()
	k.until("back as ordered", 0, wanted)
	if s := k.until("as it was", 1, ready); s.PID != was[1].PID || s.ConfigHash != desiredstate.Hash([]byte(text)) {
		t.Errorf("%+v", s)
	}
}
