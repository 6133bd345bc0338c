package upgrade

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"lockflow/internal/testsupport/testkit"
)

// roleVariable makes the test executable run as a successor. Its value selects the successor's behavior.
const roleVariable = "LOCKFLOW_TEST_ROLE"

func TestMain(m *testing.M) {
	if r := os.Getenv(roleVariable); r != "" {
		os.Exit(runSuccessor(r))
	}
	os.Exit(m.Run())
}

// runSuccessor is the main function of a successor. It returns the exit code.
func runSuccessor(role string) int {
	predecessor, err := PredecessorFromEnvironment(os.Getenv)
	if err != nil || predecessor == nil {
		return 3
	}
	switch role {
	case "dies":
		return 7
	case "babbles":
		predecessor.conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		time.Sleep(time.Minute)
	case "hurries":
		if predecessor.AnnounceTakeOver() != nil {
			return 8
		}
		time.Sleep(time.Minute)
	}
	listeners, err := predecessor.TakeListeners("listen:")
	if err != nil || len(listeners) != 1 {
		return 4
	}
	checkpoint, err := predecessor.AwaitCheckpoint()
	if err != nil {
		return 5
	}
	if role == "panics" {
		if predecessor.AnnounceTakeOver() != nil {
			return 8
		}
		panic("after the take-over")
	}
	if err := predecessor.AnnounceTakeOver(); err != nil {
		return 6
	}
	client, err := listeners["x"].Accept()
	if err != nil {
		return 8
	}
	fmt.Fprintf(client, "%s then %s", checkpoint, predecessor.AwaitFinalCheckpoint())
	client.Close()
	return 0
}

func startTestSuccessor(t *testing.T, role string, listener net.Listener) *Successor {
	t.Helper()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	successor, err := Start(Program{Path: os.Args[0], Env: append(os.Environ(), roleVariable+"="+role), Files: map[string]*os.File{"listen:x": file}, Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(successor.Kill)
	return successor
}

func TestSuccessorTakesOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	successor := startTestSuccessor(t, "works", listener)
	if e := testkit.Next(t, successor.Events()); e != Prepared {
		t.Fatal(e, successor.Err())
	}
	state := strings.Repeat("state", 1<<20)
	if err := successor.SendCheckpoint([]byte(state)); err != nil {
		t.Fatal(err)
	}
	if e := testkit.Next(t, successor.Events()); e != TookOver {
		t.Fatal(e, successor.Err())
	}
	listener.Close() // the socket remains open in the successor
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := successor.SendFinalCheckpoint([]byte("rest")); err != nil {
		t.Fatal(err)
	}
	successor.conn.(*net.UnixConn).CloseWrite() // as the end of this process would do
	raw, err := io.ReadAll(client)
	if err != nil || string(raw) != state+" then rest" {
		t.Errorf("answer of %d bytes, error %v", len(raw), err)
	}
	if e := testkit.Next(t, successor.Events()); e != Ended {
		t.Error(e)
	}
}

// A successor that exits, sends an invalid message or one out of order, or panics ends or is killed, and Err returns the
// cause.
func TestFailedSuccessorEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for role, want := range map[string]struct {
		events    int // before Ended
		wantError string
	}{"dies": {0, "exit status 7"}, "babbles": {0, "killed"}, "hurries": {0, "killed"}, "panics": {2, "exit status 2"}} {
		t.Run(role, func(t *testing.T) {
			successor := startTestSuccessor(t, role, listener)
			eventCount := 0
			for e := testkit.Next(t, successor.Events()); e != Ended; e = testkit.Next(t, successor.Events()) {
				if eventCount++; e == Prepared {
					if err := successor.SendCheckpoint(nil); err != nil {
						t.Error(err)
					}
				}
			}
			if eventCount != want.events || !strings.Contains(successor.Err().Error(), want.wantError) {
				t.Errorf("%d events, then error %v", eventCount, successor.Err())
			}
		})
	}
	if _, err := Start(Program{Path: "/no/such/program"}); err == nil {
		t.Error("no error for a missing program")
	}
}

func TestJoinRejectsBadEnvironment(t *testing.T) {
	for variable, want := range map[string]string{
		"":                             "",
		"{":                            "unexpected end",
		`{"version":2,"conn":3}`:       "version 2",
		`{"version":1,"conn":1048575}`: "bad file descriptor",
	} {
		p, err := PredecessorFromEnvironment(func(string) string { return variable })
		if want == "" && (p != nil || err != nil) || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("variable %q: predecessor %v, error %v", variable, p, err)
		}
	}
}

func FuzzReadMessage(f *testing.F) {
	f.Add([]byte("P\x00\x00\x00\x00"))
	f.Add([]byte("S\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		kind, body, err := readMessage(bytes.NewReader(raw))
		if err == nil && (len(raw) < 5+len(body) || kind != messageKind(raw[0]) || binary.BigEndian.Uint32(raw[1:]) != uint32(len(body))) {
			t.Errorf("input %q: read kind %q, body %q", raw, kind, body)
		}
	})
}
