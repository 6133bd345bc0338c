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

// fakeDaemon is a daemon that sends what is requested of it to calls.
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

// A coordinator can distinguish rejections by kind, and a command has space for settings of 5 MB.
func TestClaimsAndCommandsOverSocket(t *testing.T) {
	f := fakeDaemon{make(chan string, 8)}
	s, err := Listen(filepath.Join(t.TempDir(), "c.sock"), f, false)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ctx, c := context.Background(), Client{s.path}
	if _, err := c.Claim(ctx, Claim{Epoch: 6, Owner: "a"}); !errors.Is(err, ErrStale) || errors.Is(err, ErrLost) || err.Error() != "epoch 7 is granted" {
		t.Errorf("an old epoch: %v", err)
	}
	if _, err := c.Claim(ctx, Claim{Epoch: 7, Owner: "a"}); err != nil {
		t.Error(err)
	}
	text := strings.Repeat("# \"<\n", 1<<20)
	operation := Operation{Kind: desiredstate.KindSettings, Text: text}
	_, err = c.RunCommand(ctx, Command{Epoch: 7, Owner: "a", ID: "s/1", Operation: operation})
	if err != nil || <-f.calls != fmt.Sprint("s/1 settings ", len(text)) {
		t.Errorf("%v", err)
	}
	for want, call := range map[string]func(context.Context) (Status, error){"drain true": c.DrainAndStay, "serve": c.Serve} {
		if _, err := call(ctx); err != nil || <-f.calls != want {
			t.Errorf("%s: %v", want, err)
		}
	}
	if _, err := c.call(ctx, "POST", "claim", []int{1}); !errors.Is(err, ErrInvalid) {
		t.Errorf("no claim: %v", err)
	}
}

func TestControlSocketServesOneDaemon(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	f := fakeDaemon{make(chan string, 8)}
	s, err := Listen(path, f, false)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("others may open it: %v, %v", info.Mode(), err)
	}
	ctx, c := context.Background(), Client{path}
	if st, err := c.Status(ctx); err != nil || st.PID != 7 || st.Generation != 3 || !st.IsReady() {
		t.Errorf("%+v, %v", st, err)
	}
	var refused RejectedError
	if _, err := c.Reload(ctx); !errors.As(err, &refused) || refused.Message != "c.toml:3: x: unknown key" {
		t.Errorf("reload: %v", err)
	}
	if _, err := c.Upgrade(ctx, "/usr/bin/next"); err != nil {
		t.Error(err)
	}
	if _, err := c.Drain(ctx); err != nil {
		t.Error(err)
	}
	for _, want := range []string{"reload", "upgrade /usr/bin/next", "drain false"} {
		if got := <-f.calls; got != want {
			t.Errorf("%q, not %q", got, want)
		}
	}
	if _, err := c.call(ctx, "POST", "upgrade", map[string]int{"pid": 1}); !errors.As(err, &refused) || !strings.Contains(refused.Message, `"pid"`) {
		t.Errorf("an unknown field: %v", err)
	}
	if _, err := c.call(ctx, "GET", "reload", nil); err == nil {
		t.Error("a reload by GET")
	}
	if _, err := Listen(path, f, false); err == nil || !strings.Contains(err.Error(), "another daemon") {
		t.Errorf("a second daemon: %v", err)
	}
	// A successor takes the place of the socket; the old server's end leaves it alone.
	next, err := Listen(path, f, true)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if _, err := c.Status(ctx); err != nil {
		t.Errorf("after the old one's end: %v", err)
	}
	next.Close()
	if _, err := os.Lstat(path); !os.IsNotExist(err) {
		t.Errorf("the socket is left: %v", err)
	}
	if _, err := c.Status(ctx); err == nil {
		t.Error("nobody serves, and an answer")
	}
}

// Listen replaces a socket that a killed daemon left, and leaves a file that is no socket alone.
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
	if _, err := Listen(path, fakeDaemon{}, true); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Errorf("a file in its place: %v", err)
	}
}

// endingDaemon is a daemon that ends as soon as a drain is requested, before the request is answered.
type endingDaemon struct {
	fakeDaemon
	server     *Server
	closeBegun chan struct{} // closed once the server's end has
	endReload  chan struct{} // a reload waits for it
}

func (e *endingDaemon) Drain(bool) error { go e.server.Close(); return nil }

func (e *endingDaemon) Status() Status {
	<-e.closeBegun
	return e.fakeDaemon.Status()
}

func (e *endingDaemon) Reload(context.Context) error {
	close(e.calls)
	<-e.endReload
	return nil
}

// Close answers a drain's request even where the daemon has ended by then, accepts no request after that, and doesn't
// wait for ever for an answer that doesn't come.
func TestRequestsInFlightAreAnsweredBeforeClose(t *testing.T) {
	begin := func() (*endingDaemon, Client) {
		path := filepath.Join(t.TempDir(), "c.sock")
		e := &endingDaemon{fakeDaemon: fakeDaemon{make(chan string)}, closeBegun: make(chan struct{}), endReload: make(chan struct{})}
		var err error
		if e.server, err = Listen(path, e, false); err != nil {
			t.Fatal(err)
		}
		e.server.httpServer.RegisterOnShutdown(func() { close(e.closeBegun) })
		return e, Client{path}
	}
	e, c := begin()
	if st, err := c.Drain(context.Background()); err != nil || st.PID != 7 {
		t.Errorf("%+v, %v", st, err)
	}
	<-e.server.done
	if _, err := c.Status(context.Background()); err == nil {
		t.Error("an answer after the end")
	}
	e, c = begin()
	statusErrors := make(chan error)
	go func() { _, err := c.Reload(context.Background()); statusErrors <- err }()
	<-e.calls
	e.server.Close()
	if err := <-statusErrors; err == nil {
		t.Error("an answer that never came")
	}
	close(e.endReload)
}
