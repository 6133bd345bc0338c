package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

// site is a setting that the crossings are played with.
type site struct {
	effect   string
	deadline time.Duration // of the class
	sockets  int           // limit on descriptors
}

// config writes the platform's file of a site. Its one class is "work"; the plan "one" has one request out at a time.
func (s site) config(t *testing.T, discovery string) string {
	t.Helper()
	raw, err := os.ReadFile(testConfig)
	if err != nil {
		t.Fatal(err)
	}
	ms := s.deadline.Milliseconds()
	text := strings.NewReplacer(`"roster-read", "aim": 2000.0, "deadline": 7500.0, "effect": "free"`,
		fmt.Sprintf(`"work", "aim": %d, "deadline": %d, "effect": %q`, ms, ms, s.effect),
		`"deadline": 7500.0, "effect": "guarded"`, `"deadline": 40.0, "effect": "guarded"`,
		`"basic", "value-factor": 0.72, "quota-rate": 0.5, "depth": 8.0, "open": 0`, `"one", "value-factor": 0.72, "quota-rate": 1000, "depth": 1000, "open": 1`,
		"127.0.0.1:1\"", discovery+"\"", `"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, s.sockets)).Replace(string(raw))
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// caller is a client with one connection.
type caller struct {
	*net.TCPConn
	in   *bufio.Reader
	site site
	has  chan struct{} // closed once its next answer has begun; nil where nobody waits for that
}

func (s site) call(t *testing.T, addr string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	return &caller{c.(*net.TCPConn), bufio.NewReader(c), s, nil}
}

// text is a request; one of a class that is not free has a body.
func (c *caller) text(id, plan string) string {
	method, rest := "GET", "\r\n"
	switch c.site.effect {
	case "guarded":
		method, rest = "POST", fmt.Sprintf("Idempotency-Key: k-%s\r\nContent-Length: 9\r\n\r\nsome body", id)
	case "single_shot":
		method, rest = "POST", "Content-Length: 9\r\n\r\nsome body"
	}
	return fmt.Sprintf("%s /work?account=00000000b4d65521 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nX-Tariff: %s\r\nX-Time-Left: %dm\r\n%s",
		method, id, plan, c.site.deadline.Milliseconds(), rest)
}

func (c *caller) ask(id, plan string) { io.WriteString(c, c.text(id, plan)) }

// answer reads one; status 0 is a connection that ended without a byte of it.
func (c *caller) answer() (status int, body string, closes bool, err error) {
	if c.has != nil {
		<-c.has
	}
	if _, err := c.in.Peek(1); err != nil {
		return 0, "", true, nil
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", true, err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), resp.Close, err
}

// backend is an app server whose requests a test holds. An id that begins with "hang" is never answered,
// one that begins with "hold" when it is let, one with "large" by most that a body may hold.
type backend struct {
	*testkit.App
	came chan string
	let  chan struct{}
	mu   sync.Mutex
	seen map[string]int
}

func newBackend(t *testing.T) *backend {
	b := &backend{came: make(chan string, 1000), let: make(chan struct{}), seen: make(map[string]int)}
	never := testkit.BlockUntilCanceled(t)
	b.App = testkit.NewApp(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Correlation-Id")
		b.mu.Lock()
		b.seen[id]++
		b.mu.Unlock()
		b.came <- id
		switch {
		case strings.HasPrefix(id, "hang"):
			never(w, r)
			return
		case strings.HasPrefix(id, "hold"):
			<-b.let
		case strings.HasPrefix(id, "large"):
			io.WriteString(w, strings.Repeat("x", 64<<10))
			return
		}
		io.WriteString(w, "done "+id)
	})
	return b
}

func (b *backend) times(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen[id]
}

// crossing is one play: a program that is ready, and what a test does with it.
type crossing struct {
	*testing.T
	site
	*program
	app    *backend
	config string
}

func (x *crossing) term() {
	x.signal(syscall.SIGTERM)
	x.until("draining")
}

func (x *crossing) client() *caller { return x.call(x.T, x.addr) }

// held has a client's request be at the app server.
func (x *crossing) held(id, plan string) *caller {
	x.Helper()
	c := x.client()
	c.ask(id, plan)
	if got := testkit.Next(x.T, x.app.came); got != id {
		x.Fatalf("%s came for %s", got, id)
	}
	return c
}

// answered wants an answer that is due: the app server's, a failure of what was sent on, or a refusal of what
// was not, or may be repeated. Which of them depends on the machine: times pass on busy cores.
func (x *crossing) answered(c *caller, id string) {
	x.Helper()
	status, body, closes, err := c.answer()
	if !closes || err != nil || !x.due(status, body, id) {
		x.Errorf("%s: %d %q, closes %v, %v; sent on %d times", id, status, body, closes, err, x.app.times(id))
	}
}

func (x *crossing) due(status int, body, id string) bool {
	sent := x.app.times(id)
	switch status {
	case 200:
		return sent > 0 && body == "done "+id
	case 429, 503:
		return sent == 0 || x.effect != "single_shot"
	case 502, 504:
		return sent > 0
	}
	return false
}

// rests is a client whose connection has carried a request and rests.
func (x *crossing) rests() *caller {
	x.Helper()
	c := x.client()
	c.ask("r", "enterprise")
	if status, body, closes, err := c.answer(); !x.due(status, body, "r") || closes || err != nil {
		x.Fatalf("%d, closes %v, %v", status, closes, err)
	}
	return c
}

// noRoom is how crossings begin in which one client has a place and others wait in the accept queue.
const noRoom = "in the socket"

func (x *crossing) waits() []*caller {
	var all []*caller
	for i := range 3 {
		c := x.client()
		c.ask(fmt.Sprint("q-", i), "enterprise")
		all = append(all, c)
	}
	return all
}

func (x *crossing) all(waits []*caller) {
	x.Helper()
	for i, c := range waits {
		x.answered(c, fmt.Sprint("q-", i))
	}
}

// sites are short and long deadlines of classes that are safe to repeat, keyed, and unsafe to repeat.
var sites = []site{
	{effect: "free", deadline: 400 * time.Millisecond},
	{effect: "guarded", deadline: 400 * time.Millisecond},
	{effect: "single_shot", deadline: 400 * time.Millisecond},
	{effect: "free", deadline: 1500 * time.Millisecond},
	{effect: "guarded", deadline: 1500 * time.Millisecond},
	{effect: "single_shot", deadline: 1500 * time.Millisecond},
}

// crossings are the instants at which SIGTERM comes, by what is owed to a client then.
var crossings = map[string]func(*crossing){
	"idle": func(x *crossing) { x.term() },
	noRoom: func(x *crossing) {
		first := x.held("hold-0", "enterprise")
		waits := x.waits()
		x.term()
		close(x.app.let)
		x.answered(first, "hold-0")
		x.all(waits)
	},
	noRoom + " up to the last step": func(x *crossing) {
		first := x.held("hang-0", "enterprise")
		waits := x.waits()
		x.term()
		x.answered(first, "hang-0")
		x.all(waits)
	},
	"silent, then asks": func(x *crossing) {
		c, before := x.client(), x.held("hold-0", "enterprise") // taken behind the first
		x.term()
		c.ask("a", "enterprise")
		x.answered(c, "a")
		close(x.app.let)
		x.answered(before, "hold-0")
	},
	// Those that rest are closed at a step of the drain, which the end of one of them tells.
	"silent, then asks behind that": func(x *crossing) {
		rests, silent := x.rests(), x.client()
		x.term()
		if status, _, _, err := rests.answer(); status != 0 || err != nil {
			x.Errorf("%d, %v", status, err)
		}
		silent.ask("a", "enterprise")
		x.answered(silent, "a")
	},
	// Its time would be over behind the last step.
	"a server that hangs, up to the last step": func(x *crossing) {
		rests, silent := x.rests(), x.client()
		x.term()
		_, _, _, _ = rests.answer() // how it ends is the case's above
		silent.ask("hang-0", "enterprise")
		x.answered(silent, "hang-0")
	},
	"half a head": func(x *crossing) { x.halves(20) },
	"half a body": func(x *crossing) { x.halves(-4) },
	"in the module's queue": func(x *crossing) {
		first := x.held("hold-0", "one")
		// Of two requests with one id the second is told so by the module's own goroutine once the
		// other is there.
		both := []*caller{x.client(), x.client()}
		for _, c := range both {
			c.ask("b", "one")
		}
		waits := both[x.firstOf(both)^1]
		x.term()
		close(x.app.let)
		x.answered(first, "hold-0")
		x.answered(waits, "b")
	},
	"in the module's queue up to the last step": func(x *crossing) {
		first := x.held("hang-0", "one")
		both := []*caller{x.client(), x.client()}
		for _, c := range both {
			c.ask("b", "one")
		}
		waits := both[x.firstOf(both)^1]
		x.term()
		x.answered(first, "hang-0")
		x.answered(waits, "b")
	},
	"a server that hangs": func(x *crossing) {
		c := x.held("hang-0", "enterprise")
		x.term()
		x.answered(c, "hang-0")
		if n := x.app.times("hang-0"); x.effect != "free" && n != 1 {
			x.Errorf("sent on %d times", n)
		}
	},
	"asked anew": func(x *crossing) { // by who comes while it drains
		first := x.held("hold-0", "enterprise")
		x.term()
		c := x.client()
		c.ask("a", "enterprise")
		x.answered(c, "a")
		close(x.app.let)
		x.answered(first, "hold-0")
	},
	"twice": func(x *crossing) {
		c := x.held("hold-0", "enterprise")
		x.term()
		x.signal(syscall.SIGTERM)
		x.signal(syscall.SIGHUP) // behind it, and told of
		x.until("reloading")
		close(x.app.let)
		x.answered(c, "hold-0")
	},
	"slow client": func(x *crossing) {
		// Its segments and its buffer are small, so that the answer isn't in any socket whole.
		d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1)
				unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 536)
			})
		}}
		nc, err := d.Dial("tcp", x.addr)
		if err != nil {
			x.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(testkit.WaitTimeout))
		c := &caller{nc.(*net.TCPConn), bufio.NewReaderSize(nc, 16), x.site, nil}
		c.ask("large-0", "enterprise")
		if _, err := c.in.Peek(1); err != nil { // it is being written
			x.Fatal(err)
		}
		x.term()
		if status, body, _, err := c.answer(); status != 200 || len(body) != 64<<10 || err != nil {
			x.Errorf("%d, %d bytes, %v", status, len(body), err)
		}
	},
	"kept connections, up to their end": func(x *crossing) {
		// Requests go on coming, from resting ones too, until the program ends each connection. One that
		// crosses that end is begun neither.
		const n = 24
		var wait sync.WaitGroup
		all := make([]*caller, n)
		for i := range all {
			all[i] = x.client()
			id := fmt.Sprint("w-", i)
			all[i].ask(id, "enterprise")
			if status, body, closes, err := all[i].answer(); !x.due(status, body, id) || closes || err != nil {
				x.Fatalf("%d %q, closes %v, %v", status, body, closes, err)
			}
		}
		x.term()
		for i, c := range all {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 25 * time.Millisecond) // before, at and behind the end of those that rest
				id := fmt.Sprint("k-", i)
				c.ask(id, "enterprise")
				status, body, closes, err := c.answer()
				if none := status == 0 && x.app.times(id) == 0; err != nil || !closes || !none && !x.due(status, body, id) {
					x.Errorf("%s: %d, closes %v, %v; sent on %d times", id, status, closes, err, x.app.times(id))
				}
			})
		}
		wait.Wait()
	},
	"during a reload": func(x *crossing) {
		c := x.held("hold-0", "enterprise")
		text, err := os.ReadFile(x.config)
		if err != nil {
			x.Fatal(err)
		}
		// The program opens a pipe in the file's place, and waits in it.
		if err := os.Remove(x.config); err != nil {
			x.Fatal(err)
		}
		if err := syscall.Mkfifo(x.config, 0o600); err != nil {
			x.Fatal(err)
		}
		x.signal(syscall.SIGHUP)
		f, err := os.OpenFile(x.config, os.O_WRONLY, 0) // once it is opened for reading
		if err != nil {
			x.Fatal(err)
		}
		x.term()
		f.Write(text)
		f.Close()
		x.until("reloading")
		close(x.app.let)
		x.answered(c, "hold-0")
	},
}

// SIGTERM at each instant at which something is owed to a client: all that was taken is answered, as
// refused only where it was not sent on, nothing is sent on that gets no answer, and the program ends well.
func TestTermAtEachInstant(t *testing.T) {
	for _, s := range sites {
		for name, play := range crossings {
			s := s
			if s.sockets = 1024; strings.HasPrefix(name, noRoom) {
				s.sockets = limits.MinDescriptors
			}
			t.Run(fmt.Sprint(s.effect, " ", s.deadline, " ", name), func(t *testing.T) {
				t.Parallel()
				app := newBackend(t)
				config := s.config(t, discovery(t, "s-1", app.Server).Listener.Addr().String())
				x := &crossing{T: t, site: s, program: start(t, config, ""), app: app, config: config}
				play(x)
				x.until("drained")
				if err := x.Wait(); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// halves has a request come in two parts, the first before SIGTERM.
func (x *crossing) halves(at int) {
	c, before := x.client(), x.held("hold-0", "enterprise")
	text := c.text("a", "enterprise")
	if at < 0 {
		at += len(text)
	}
	io.WriteString(c, text[:at])
	x.term()
	io.WriteString(c, text[at:])
	x.answered(c, "a")
	close(x.app.let)
	x.answered(before, "hold-0")
}

// firstOf gives the first of two clients that gets its answer, that its id is taken.
func (x *crossing) firstOf(both []*caller) int {
	x.Helper()
	told := make(chan int, len(both))
	for i, c := range both {
		c.has = make(chan struct{})
		go func() {
			_, _ = c.in.Peek(1) // an error is answer's to find
			close(c.has)
			told <- i
		}()
	}
	i := testkit.Next(x.T, told)
	if status, _, _, err := both[i].answer(); status != 409 || err != nil {
		x.Fatalf("%d, %v", status, err)
	}
	return i
}

// SIGTERM while the program starts: one that comes before it listens ends it well, and clients that come
// before it has a server get their answers.
func TestTermWhileItStarts(t *testing.T) {
	for _, s := range sites {
		s.sockets = 1024
		t.Run(fmt.Sprint(s.effect, " ", s.deadline, " before it listens"), func(t *testing.T) {
			t.Parallel()
			config := s.config(t, testkit.NewFakeDiscovery(t).Addr())
			text, err := os.ReadFile(config)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.Remove(config); err != nil {
				t.Fatal(err)
			}
			if err := syscall.Mkfifo(config, 0o600); err != nil {
				t.Fatal(err)
			}
			p := launch(t, config, "")
			f, err := os.OpenFile(config, os.O_WRONLY, 0) // once it is opened for reading
			if err != nil {
				t.Fatal(err)
			}
			p.signal(syscall.SIGTERM)
			f.Write(text)
			f.Close()
			p.until("drained")
			if err := p.Wait(); err != nil {
				t.Error(err)
			}
		})
		t.Run(fmt.Sprint(s.effect, " ", s.deadline, " before it has a server"), func(t *testing.T) {
			t.Parallel()
			p := launch(t, s.config(t, testkit.NewFakeDiscovery(t).Addr()), "")
			p.listens()
			before, kept, silent := s.call(t, p.addr), s.call(t, p.addr), s.call(t, p.addr)
			before.ask("a", "enterprise")
			io.WriteString(kept, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
			if status, _, _, err := kept.answer(); status != 503 || err != nil {
				t.Errorf("not ready: %d, %v", status, err)
			}
			p.signal(syscall.SIGTERM)
			p.until("draining")
			silent.ask("b", "enterprise")
			for _, c := range []*caller{before, silent} {
				if status, _, _, err := c.answer(); status != 503 && status != 429 || err != nil {
					t.Errorf("%d, %v", status, err)
				}
			}
			p.until("drained")
			if err := p.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}
