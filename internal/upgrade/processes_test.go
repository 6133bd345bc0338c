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

// The test's own executable is the successor where roleVariable is set; its value is what it does.
const roleVariable = "LOCKFLOW_TEST_ROLE"

func TestMain(m *testing.M) {
	if r := os.Getenv(roleVariable); r != "" {
		os.Exit(runSuccessor(r))
	}
	os.Exit(m.Run())
}

// runSuccessor is the main function of a successor; it returns the exit code.
func runSuccessor(r string) int {
	p, err := Join(os.Getenv)
	if err != nil || p == nil {
		return 3
	}
	switch r {
	case "dies":
		return 7
	case "babbles":
		p.conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		time.Sleep(time.Minute)
	case "hurries":
		if p.AnnounceTakeOver() != nil {
			return 8
		}
		time.Sleep(time.Minute)
	}
	listeners, err := p.TakeListeners("listen:")
	if err != nil || len(listeners) != 1 {
		return 4
	}
	raw, err := p.AwaitCheckpoint()
	if err != nil {
		return 5
	}
	if r == "panics" {
		if p.AnnounceTakeOver() != nil {
			return 8
		}
		panic("a second later")
	}
	if err := p.AnnounceTakeOver(); err != nil {
		return 6
	}
	c, err := listeners["x"].Accept()
	if err != nil {
		return 8
	}
	fmt.Fprintf(c, "%s then %s", raw, p.AwaitFinalCheckpoint())
	c.Close()
	return 0
}

func startTestSuccessor(t *testing.T, r string, l net.Listener) *Successor {
	t.Helper()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := Start(Program{Path: os.Args[0], Env: append(os.Environ(), roleVariable+"="+r), Files: map[string]*os.File{"listen:x": f}, Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

func TestSuccessorTakesOver(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	s := startTestSuccessor(t, "works", l)
	if e := testkit.Next(t, s.Events()); e != Prepared {
		t.Fatal(e, s.Err())
	}
	state := strings.Repeat("state", 1<<20)
	if err := s.SendCheckpoint([]byte(state)); err != nil {
		t.Fatal(err)
	}
	if e := testkit.Next(t, s.Events()); e != TookOver {
		t.Fatal(e, s.Err())
	}
	l.Close() // the socket stays: the successor has it
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SendFinalCheckpoint([]byte("rest")); err != nil {
		t.Fatal(err)
	}
	s.conn.(*net.UnixConn).CloseWrite() // as this process's end would
	raw, err := io.ReadAll(c)
	if err != nil || string(raw) != state+" then rest" {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
	if e := testkit.Next(t, s.Events()); e != Ended {
		t.Error(e)
	}
}

// A successor that dies, sends what is no message or out of order, or panics is ended, and Err has the cause.
func TestFailedSuccessorEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for r, want := range map[string]struct {
		events int // before its end
		why    string
	}{"dies": {0, "exit status 7"}, "babbles": {0, "killed"}, "hurries": {0, "killed"}, "panics": {2, "exit status 2"}} {
		t.Run(r, func(t *testing.T) {
			s := startTestSuccessor(t, r, l)
			n := 0
			for e := testkit.Next(t, s.Events()); e != Ended; e = testkit.Next(t, s.Events()) {
				if n++; e == Prepared {
					if err := s.SendCheckpoint(nil); err != nil {
						t.Error(err)
					}
				}
			}
			if n != want.events || !strings.Contains(s.Err().Error(), want.why) {
				t.Errorf("%d events, %v", n, s.Err())
			}
		})
	}
	if _, err := Start(Program{Path: "/no/such/program"}); err == nil {
		t.Error("no such program, and no error")
	}
}

func TestJoinRejectsBadEnvironment(t *testing.T) {
	for variable, want := range map[string]string{
		"":                             "",
		"{":                            "unexpected end",
		`{"version":2,"conn":3}`:       "version 2",
		`{"version":1,"conn":1048575}`: "bad file descriptor",
	} {
		p, err := Join(func(string) string { return variable })
		if want == "" && (p != nil || err != nil) || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, %v", variable, p, err)
		}
	}
}

func FuzzReadMessage(f *testing.F) {
	f.Add([]byte("P\x00\x00\x00\x00"))
	f.Add([]byte("S\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		k, body, err := readMessage(bytes.NewReader(raw))
		if err == nil && (len(raw) < 5+len(body) || k != messageKind(raw[0]) || binary.BigEndian.Uint32(raw[1:]) != uint32(len(body))) {
			t.Errorf("%q: %q %q", raw, k, body)
		}
	})
}
