package scattergathertest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"lockflow/internal/manage"
	"lockflow/internal/testsupport/redistest"
	"lockflow/internal/testsupport/testkit"
)

// proc is an instance of the program as a process of its own.
type proc struct {
	t      *testing.T
	dir    string
	client manage.Client
	cmd    *exec.Cmd
	addr   atomic.Pointer[string]
	dead   atomic.Bool // it was killed: what it owed is lost
}

func run(t *testing.T, text string) *proc {
	p := &proc{t: t, dir: testkit.ShortDir(t)}
	p.client.Path = filepath.Join(p.dir, "c.sock")
	p.write(text)
	t.Cleanup(func() {
		if s, err := p.client.Status(context.Background()); err == nil {
			syscall.Kill(s.PID, syscall.SIGKILL)
			testkit.Until(t, "the end", func() bool { return syscall.Kill(s.PID, 0) != nil || zombie(s.PID) })
		}
		p.cmd.Process.Kill()
		p.cmd.Wait()
	})
	p.start()
	return p
}

func zombie(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err != nil || strings.Contains(string(raw), ") Z ")
}

func (p *proc) write(text string) {
	if err := os.WriteFile(p.dir+"/c.toml", []byte(strings.ReplaceAll(text, "DIR", p.dir)), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *proc) start() {
	p.t.Helper()
	p.cmd = exec.Command(os.Args[0], "serve", "--config", p.dir+"/c.toml", "--control", p.client.Path)
	p.cmd.Env = append(os.Environ(), role+"=1")
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.until("ready", func(s manage.Status) bool { return s.IsReady() })
	addr := p.status().Listeners[0]
	p.addr.Store(&addr)
	p.dead.Store(false)
}

func (p *proc) kill() {
	p.dead.Store(true)
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

func (p *proc) status() manage.Status {
	s, err := p.client.Status(context.Background())
	if err != nil {
		p.t.Fatal(err)
	}
	return s
}

func (p *proc) until(what string, is func(manage.Status) bool) {
	p.t.Helper()
	testkit.Until(p.t, what, func() bool {
		s, err := p.client.Status(context.Background())
		return err == nil && is(s)
	})
}

// tally is what clients were answered.
type tally struct {
	mu                sync.Mutex
	asked, whole, cut int
	refused, lost     int
}

func (c *tally) String() string {
	return fmt.Sprintf("%d asked, %d whole, %d cut, %d refused, %d lost", c.asked, c.whole, c.cut, c.refused, c.lost)
}

// ask asks once and holds the answer against what it claims: each of all names is in it, or named as
// missing.
func (c *tally) ask(p *proc, all []string) {
	c.mu.Lock()
	c.asked++
	c.mu.Unlock()
	at := p.addr.Load()
	resp, err := http.DefaultClient.Get("http://" + *at + "/x")
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		if c.lost++; !p.dead.Load() && p.addr.Load() == at {
			p.t.Errorf("lost: %v", err)
		}
		return
	case resp.StatusCode != 200:
		c.refused++
		return
	}
	var names []string
	if err := json.Unmarshal(body, &names); err != nil {
		p.t.Errorf("%q: %v", body, err)
	}
	held, of := 0, 0
	if _, err := fmt.Sscanf(resp.Header.Get("Lockflow-Parts"), "%d/%d", &held, &of); err != nil {
		p.t.Error(err)
	}
	missing := strings.FieldsFunc(resp.Header.Get("Lockflow-Missing"), func(c rune) bool { return c == ',' || c == ' ' })
	if held == of {
		c.whole++
	} else {
		c.cut++
	}
	left := slices.Clone(missing)
	for _, n := range all {
		is := slices.Contains(names, n)
		named := slices.IndexFunc(left, func(m string) bool { return m == n || strings.HasPrefix(n, m+"/") })
		if is == (named >= 0) {
			p.t.Errorf("%s in %v without %v", n, names, missing)
		}
	}
	if len(names) != held {
		p.t.Errorf("%d/%d: %v", held, of, names)
	}
}

// startPools starts five pools, and gives their services, their names, and the names as TOML has them.
func startPools(t *testing.T) (pools []*pool, services string, all, quoted []string) {
	t.Helper()
	for i := range 5 {
		p := newPool(t, fmt.Sprint("p", i))
		p.says(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "[%q]", p.name) })
		pools = append(pools, p)
		services += service(p, `plans = ["free"]`)
		all, quoted = append(all, p.name), append(quoted, fmt.Sprintf("%q", p.name))
	}
	return pools, services, all, quoted
}

// wereAsked checks that pools were sent each of n queries: never twice, and each but for what a node with busy cores
// does not send in time.
func wereAsked(t *testing.T, when string, n int, of []*pool) {
	t.Helper()
	for _, p := range of {
		is := p.Count()
		testkit.Until(t, fmt.Sprintf("%s was asked %d times by %d queries%s", p.name, is, n, when), func() bool { return p.Count() >= n*9/10 })
		if p.Count() > n {
			t.Errorf("%s was asked %d times by %d queries%s", p.name, p.Count(), n, when)
		}
	}
}

// reloads has an instance take other settings four times; it goes on with what it has learned.
func reloads(t *testing.T, p *proc, text string) {
	t.Helper()
	for i := range 4 {
		p.write(strings.Replace(text, `half_life = "400ms"`, fmt.Sprintf(`half_life = "%dms"`, 300+100*i), 1))
		if s, err := p.client.Reload(context.Background()); err != nil || s.Generation != i+2 || !s.ScatterGathers[0].IsKnown {
			t.Errorf("%+v, %v", s, err)
		}
	}
}

// bothLevels checks an answer of the upper instance, under whose parts the lower ones' parts are named.
func bothLevels(t *testing.T, top *proc) {
	t.Helper()
	resp, err := http.Get("http://" + *top.addr.Load() + "/x")
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	var names []string
	held, of := 0, 0
	if _, err := fmt.Sscanf(resp.Header.Get("Lockflow-Parts"), "%d/%d", &held, &of); err != nil {
		t.Error(err)
	}
	if err := json.Unmarshal(raw, &names); err != nil || resp.StatusCode != 200 || len(names) != held || of != 10 {
		t.Errorf("%d %s: %q, %v", resp.StatusCode, resp.Header.Get("Lockflow-Parts"), raw, err)
	}
}

// Instances of the program over five pools that share what they learn, and one over two of them. A
// pool stalls, one instance is killed, one gives way to a successor, and one's settings change: each
// query has one answer, which claims what it holds, and the other pools are asked once for each.
func TestProcesses(t *testing.T) {
	store, err := redistest.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	pools, services, all, quoted := startPools(t)
	process := strings.Replace(head, "[process]", "[process]\nstate = \"DIR/state\"\ncheckpoint = \"20ms\"\nupgrade = { probation = \"100ms\" }", 1)
	gather := "[services.district]\ntime_header = \"X-Time-Left\"\n" + district("parts = ["+strings.Join(quoted, ", ")+
		"]\nleast = 0.4\nhalf_life = \"400ms\"\ndeadline = \"learned\"\nshare = { addresses = [\""+store.Addr()+"\"] }")
	text := process + services + gather
	var low []*proc
	for range 3 {
		low = append(low, run(t, text))
	}
	upper := process
	for i, name := range []string{"near", "far"} {
		upper += fmt.Sprintf("[services.%s]\nplans = [\"free\"]\nsend_time = true\nsource = { kind = \"static\", servers = [{ endpoint = %q }] }\n", name, *low[2-i].addr.Load())
	}
	// The names of what the lower ones hold are alike, so the upper one's are told apart by its parts.
	top := run(t, upper+district("parts = [\"near\", \"far\"]\nleast = 0.4\nhalf_life = \"2s\"\ndeadline = \"none\""))

	var c tally
	wave := func(n int, of ...*proc) {
		var clients sync.WaitGroup
		for _, p := range of {
			clients.Go(func() {
				for range n {
					c.ask(p, all)
				}
			})
		}
		clients.Wait()
	}
	wave(60, low...)
	low[0].until("enough is learned", func(s manage.Status) bool { return s.ScatterGathers[0].IsKnown })
	if c.refused+c.lost > 0 || c.whole == 0 {
		t.Error(c.String())
	}
	wereAsked(t, "", c.asked, pools)
	pools[4].stall()
	wave(15, low...)
	wereAsked(t, ", while another stalled", c.asked, pools[:4])
	if c.refused+c.lost > 0 || c.cut < 45 {
		t.Error("while a pool stalled:", c.String())
	}
	// All that happens to instances, under load.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, p := range low {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					c.ask(p, all)
				}
			}
		})
	}
	learned := low[0].status().ScatterGathers[0].Learned.Sketches
	low[0].kill()
	low[0].start()
	if g := low[0].status().ScatterGathers[0]; !g.IsKnown || g.Learned.Sketches < learned {
		t.Errorf("after a kill %+v", g)
	}
	old := low[1].status()
	if _, err := low[1].client.Upgrade(context.Background(), ""); err != nil {
		t.Fatal(err)
	}
	low[1].until("a successor that knows", func(s manage.Status) bool { return s.PID != old.PID && s.IsReady() && s.ScatterGathers[0].IsKnown })
	reloads(t, low[2], text)
	pools[4].release()
	close(stop)
	clients.Wait()
	if c.refused > 0 {
		t.Error(c.String())
	}
	bothLevels(t, top)
	low[2].until("what others learned", func(s manage.Status) bool { return s.ScatterGathers[0].Shared.Members > 0 })
	http.DefaultClient.CloseIdleConnections()
}
