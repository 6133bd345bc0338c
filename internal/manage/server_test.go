package manage

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lockflow/internal/desiredstate"
)

// fakeDaemon is a Daemon that reports the requests it receives on calls.
type fakeDaemon struct{ calls chan string }

func (f fakeDaemon) Status() Status { return Status{PID: 7, State: "ready", Generation: 3} }
func (f fakeDaemon) Reload(context.Context) error {
	f.calls <- "reload"
	return errors.New("c.toml:3: x: unknown key")
}

func (f fakeDaemon) Upgrade(_ context.Context, program string) error {
	f.calls <- "upgrade " + program
	return nil
}

func (f fakeDaemon) Drain(keep bool) error {
	f.calls <- fmt.Sprint("drain ", keep)
	return nil
}
func (f fakeDaemon) Serve(context.Context) error { f.calls <- "serve"; return nil }
func (f fakeDaemon) Claim(_ context.Context, c Claim) error {
	if c.Epoch < 7 {
		return &desiredstate.RejectedError{Code: desiredstate.CodeStale, Text: "epoch 7 is granted"}
	}
	return nil
}

func (f fakeDaemon) RunCommand(_ context.Context, o Command) error {
	f.calls <- fmt.Sprint(o.ID, " ", o.Operation.Kind, " ", len(o.Operation.Text))
	return nil
}

// A client can distinguish rejections by kind, and a command can carry settings of 5 MB.
func TestClaimsAndCommandsOverSocket(t *testing.T) {
	daemon := fakeDaemon{make(chan string, 8)}
	server, err := Listen(filepath.Join(t.TempDir(), "c.sock"), daemon, false)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	ctx, client := context.Background(), Client{server.path}
	if _, err := client.Claim(ctx, Claim{Epoch: 6, Owner: "a"}); !errors.Is(err, ErrStale) || errors.Is(err, ErrLost) || err.Error() != "epoch 7 is granted" {
		t.Errorf("claim of an old epoch: %v", err)
	}
	if _, err := client.Claim(ctx, Claim{Epoch: 7, Owner: "a"}); err != nil {
		t.Error(err)
	}
	text := strings.Repeat("# \"<\n", 1<<20)
	operation := Operation{Kind: desiredstate.KindSettings, Text: text}
	_, err = client.RunCommand(ctx, Command{Epoch: 7, Owner: "a", ID: "s/1", Operation: operation})
	if err != nil || <-daemon.calls != fmt.Sprint("s/1 settings ", len(text)) {
		t.Errorf("RunCommand: %v", err)
	}
	for want, call := range map[string]func(context.Context) (Status, error){"drain true": client.DrainAndStay, "serve": client.Serve} {
		if _, err := call(ctx); err != nil || <-daemon.calls != want {
			t.Errorf("%s: %v", want, err)
		}
	}
	if _, err := client.call(ctx, "POST", "claim", []int{1}); !errors.Is(err, ErrInvalid) {
		t.Errorf("claim with a malformed body: %v", err)
	}
}

func TestControlSocketServesOneDaemon(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	daemon := fakeDaemon{make(chan string, 8)}
	server, err := Listen(path, daemon, false)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("socket mode %v allows access by other users, or error %v", info.Mode(), err)
	}
	ctx, client := context.Background(), Client{path}
	if status, err := client.Status(ctx); err != nil || status.PID != 7 || status.Generation != 3 || !status.IsReady() {
		t.Errorf("Status: got %+v, %v", status, err)
	}
	var rejected RejectedError
	if _, err := client.Reload(ctx); !errors.As(err, &rejected) || rejected.Message != "c.toml:3: x: unknown key" {
		t.Errorf("Reload: %v", err)
	}
	if _, err := client.Upgrade(ctx, "/usr/bin/next"); err != nil {
		t.Error(err)
	}
	if _, err := client.Drain(ctx); err != nil {
		t.Error(err)
	}
	for _, want := range []string{"reload", "upgrade /usr/bin/next", "drain false"} {
		if got := <-daemon.calls; got != want {
			t.Errorf("call %q, want %q", got, want)
		}
	}
	if _, err := client.call(ctx, "POST", "upgrade", map[string]int{"pid": 1}); !errors.As(err, &rejected) || !strings.Contains(rejected.Message, `"pid"`) {
		t.Errorf("request with an unknown field: %v", err)
	}
	if _, err := client.call(ctx, "GET", "reload", nil); err == nil {
		t.Error("reload with method GET succeeded")
	}
	if _, err := Listen(path, daemon, false); err == nil || !strings.Contains(err.Error(), "another daemon") {
		t.Errorf("Listen on a served socket: %v", err)
	}
	// A successor replaces the socket; closing the old server doesn't remove the new socket.
	successor, err := Listen(path, daemon, true)
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
	if _, err := client.Status(ctx); err != nil {
		t.Errorf("Status after the old server was closed: %v", err)
	}
	successor.Close()
	if _, err := os.Lstat(path); !os.IsNotExist(err) {
		t.Errorf("socket not removed: %v", err)
	}
	if _, err := client.Status(ctx); err == nil {
		t.Error("Status succeeded without a server")
	}
}

// Listen replaces a socket that a killed daemon left, but not a file that isn't a socket.
func TestStaleSocketIsReplaced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	l.Close()
	s, err := Listen(path, fakeDaemon{}, false)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if err := os.WriteFile(path, []byte("mine"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(path, fakeDaemon{}, true); err == nil || !strings.Contains(err.Error(), "not a socket") {
		t.Errorf("Listen with a regular file at the path: %v", err)
	}
}

// endingDaemon is a daemon that closes its server as soon as a drain is requested, before the request is answered.
type endingDaemon struct {
	fakeDaemon
	server          *Server
	shutdownStarted chan struct{} // closed once the server's shutdown has started
	releaseReload   chan struct{} // Reload returns once it is closed
}

func (e *endingDaemon) Drain(bool) error { go e.server.Close(); return nil }

func (e *endingDaemon) Status() Status {
	<-e.shutdownStarted
	return e.fakeDaemon.Status()
}

func (e *endingDaemon) Reload(context.Context) error {
	close(e.calls)
	<-e.releaseReload
	return nil
}

// Close waits until a drain request in flight is answered, even if that drain has ended the daemon. After that it accepts
// no requests. It doesn't wait indefinitely for a request that is never answered.
func TestRequestsInFlightAreAnsweredBeforeClose(t *testing.T) {
	startDaemon := func() (*endingDaemon, Client) {
		path := filepath.Join(t.TempDir(), "c.sock")
		daemon := &endingDaemon{fakeDaemon: fakeDaemon{make(chan string)}, shutdownStarted: make(chan struct{}), releaseReload: make(chan struct{})}
		var err error
		if daemon.server, err = Listen(path, daemon, false); err != nil {
			t.Fatal(err)
		}
		daemon.server.httpServer.RegisterOnShutdown(func() { close(daemon.shutdownStarted) })
		return daemon, Client{path}
	}
	daemon, client := startDaemon()
	if status, err := client.Drain(context.Background()); err != nil || status.PID != 7 {
		t.Errorf("Drain: got %+v, %v", status, err)
	}
	<-daemon.server.done
	if _, err := client.Status(context.Background()); err == nil {
		t.Error("Status succeeded after Close")
	}
	daemon, client = startDaemon()
	reloadErrors := make(chan error)
	go func() { _, err := client.Reload(context.Background()); reloadErrors <- err }()
	<-daemon.calls
	daemon.server.Close()
	if err := <-reloadErrors; err == nil {
		t.Error("Reload succeeded without an answer")
	}
	close(daemon.releaseReload)
}
