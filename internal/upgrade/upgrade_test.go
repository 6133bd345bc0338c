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

	"lockflow/internal/testkit"
)

// The test's own program is the successor where this variable says what it is to do.
const role = "LOCKFLOW_TEST_ROLE"

func TestMain(m *testing.M) {
	if r := os.Getenv(role); r != "" {
		os.Exit(successor(r))
	}
	os.Exit(m.Run())
}

// successor is a new process of some kind.
func successor(r string) int {
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
	ls, err := p.TakeListeners("listen:")
	if err != nil || len(ls) != 1 {
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
	c, err := ls["x"].Accept()
	if err != nil {
		return 8
	}
	fmt.Fprintf(c, "%s then %s", raw, p.AwaitFinalCheckpoint())
	c.Close()
	return 0
}

func start(t *testing.T, r string, l net.Listener) *Successor {
	t.Helper()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := Start(Program{Path: os.Args[0], Env: append(os.Environ(), role+"="+r), Files: map[string]*os.File{"listen:x": f}, Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

func TestTakesOver(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	s := start(t, "works", l)
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

// Whatever a successor does wrong, its end is told and nothing of it stays.
func TestFailures(t *testing.T) {
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
			s := start(t, r, l)
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

func TestJoin(t *testing.T) {
	for told, want := range map[string]string{
		"":                             "",
		"{":                            "unexpected end",
		`{"version":2,"conn":3}`:       "version 2",
		`{"version":1,"conn":1048575}`: "bad file descriptor",
	} {
		p, err := Join(func(string) string { return told })
		if want == "" && (p != nil || err != nil) || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, %v", told, p, err)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("P\x00\x00\x00\x00"))
	f.Add([]byte("S\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		k, body, err := readMessage(bytes.NewReader(raw))
		if err == nil && (len(raw) < 5+len(body) || k != messageKind(raw[0]) || binary.BigEndian.Uint32(raw[1:]) != uint32(len(body))) {
			t.Errorf("%q: %q %q", raw, k, body)
		}
	})
}
