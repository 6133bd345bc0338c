package node

import (
	"context"
	"strings"
	"testing"
	"time"
)

func next[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func startWatch(t *testing.T, a *agent, rev int64, silence time.Duration) (<-chan listing, *watcher) {
	told := make(chan listing, 100)
	w := newWatcher(a.addr(), rev, func(l listing) { told <- l })
	w.silence = silence
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return told, w
}

const oneUp = `{"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","model":"m2","pod_group":3,"state":"up","boot_ms":1700000000000}]}` + "\n"

// After each way in which a watch can break, the next asks from the last whole version.
func TestWatchComesBack(t *testing.T) {
	for name, tc := range map[string]struct{ line, from string }{
		"ended":              {"", "from=43"},
		"cut off in a line":  {`{"rev":44,"all":fal`, "from=43"},
		"not JSON":           {"<html>\n", "from=43"},
		"a target of no uid": {`{"rev":44,"targets":[{"endpoint":"127.0.0.1:9","state":"up"}]}` + "\n", "from=43"},
		"no endpoint":        {`{"rev":44,"targets":[{"uid":"s-2","state":"up"}]}` + "\n", "from=43"},
		"counts anew":        {`{"rev":3,"targets":[]}` + "\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(t)
			told, _ := startWatch(t, a, 41, patience)
			if q := next(t, a.asked); !strings.Contains(q, "watch=1&from=41") {
				t.Errorf("asked %s", q)
			}
			a.tell <- "\n" // a heartbeat
			a.tell <- oneUp
			if l := next(t, told); l.Rev != 43 || l.All || l.Targets[0].Group != 3 || l.Targets[0].BootMS != 1700000000000 {
				t.Errorf("told %+v", l)
			}
			a.tell <- tc.line
			if tc.line != "" {
				a.tell <- ""
			}
			q := next(t, a.asked)
			if tc.from == "" && strings.Contains(q, "from") || !strings.Contains(q, tc.from) {
				t.Errorf("asked %s", q)
			}
			a.tell <- strings.Replace(oneUp, "43", "45", 1)
			if l := next(t, told); l.Rev != 45 {
				t.Errorf("told %+v", l)
			}
		})
	}
}

// A watch that says nothing is dead, though its connection is open.
func TestSilentWatch(t *testing.T) {
	a := newAgent(t)
	startWatch(t, a, 41, 50*time.Millisecond)
	next(t, a.asked)
	if q := next(t, a.asked); !strings.Contains(q, "from=41") {
		t.Errorf("asked %s", q)
	}
}

// After a move the new discovery is asked for its whole list at once, whatever versions
// the old one had come to, also where the old one is gone and a pause is on.
func TestWatchMoves(t *testing.T) {
	old, other := newAgent(t), newAgent(t)
	told, w := startWatch(t, old, 41, patience)
	next(t, old.asked)
	w.move(other.addr())
	if q := next(t, other.asked); strings.Contains(q, "from") {
		t.Errorf("asked %s", q)
	}
	other.tell <- `{"rev":2,"all":true,"targets":[]}` + "\n"
	if l := next(t, told); l.Rev != 2 || !l.All {
		t.Errorf("told %+v", l)
	}
	w.move("127.0.0.1:1") // nobody listens there
	w.move(old.addr())
	if q := next(t, old.asked); strings.Contains(q, "from") {
		t.Errorf("asked %s", q)
	}
}
