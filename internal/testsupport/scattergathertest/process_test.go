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

// instance is an instance of lockflow that runs as a separate process.
type instance struct {
	t        *testing.T
	dir      string
	client   manage.Client
	cmd      *exec.Cmd
	addr     atomic.Pointer[string]
	isKilled atomic.Bool // the process was killed, so its unanswered queries are lost
}

func startInstance(t *testing.T, text string) *instance {
	p := &instance{t: t, dir: testkit.ShortDir(t)}
	p.client.Path = filepath.Join(p.dir, "c.sock")
	p.writeConfig(text)
	t.Cleanup(func() {
		if s, err := p.client.Status(context.Background()); err == nil {
			syscall.Kill(s.PID, syscall.SIGKILL)
			testkit.Until(t, "the process has ended", func() bool { return syscall.Kill(s.PID, 0) != nil || isZombie(s.PID) })
		}
		p.cmd.Process.Kill()
		p.cmd.Wait()
	})
	p.start()
	return p
}

func isZombie(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err != nil || strings.Contains(string(raw), ") Z ")
}

func (p *instance) writeConfig(text string) {
	if err := os.WriteFile(p.dir+"/c.toml", []byte(strings.ReplaceAll(text, "DIR", p.dir)), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *instance) start() {
	p.t.Helper()
	p.cmd = exec.Command(os.Args[0], "serve", "--config", p.dir+"/c.toml", "--control", p.client.Path)
	p.cmd.Env = append(os.Environ(), nodeVariable+"=1")
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.waitForStatus("ready", func(s manage.Status) bool { return s.IsReady() })
	addr := p.status().Listeners[0]
	p.addr.Store(&addr)
	p.isKilled.Store(false)
}

func (p *instance) kill() {
	p.isKilled.Store(true)
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

func (p *instance) status() manage.Status {
	s, err := p.client.Status(context.Background())
	if err != nil {
		p.t.Fatal(err)
	}
	return s
}

func (p *instance) waitForStatus(what string, condition func(manage.Status) bool) {
	p.t.Helper()
	testkit.Until(p.t, what, func() bool {
		s, err := p.client.Status(context.Background())
		return err == nil && condition(s)
	})
}

// answerCounts counts the answers that clients received.
type answerCounts struct {
	mu                         sync.Mutex
	queries, complete, partial int
	rejected, lost             int
}

func (c *answerCounts) String() string {
	return fmt.Sprintf("%d asked, %d whole, %d cut, %d refused, %d lost", c.queries, c.complete, c.partial, c.rejected, c.lost)
}

// query sends one query and checks that the answer is consistent: each of all names must be either in the body or listed as
// missing.
func (c *answerCounts) query(p *instance, all []string) {
	c.mu.Lock()
	c.queries++
	c.mu.Unlock()
	address := p.addr.Load()
	resp, err := http.DefaultClient.Get("http://" + *address + "/x")
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		if c.lost++; !p.isKilled.Load() && p.addr.Load() == address {
			p.t.Errorf("query got no answer: %v", err)
		}
		return
	case resp.StatusCode != 200:
		c.rejected++
		return
	}
	var elements []string
	if err := json.Unmarshal(body, &elements); err != nil {
		p.t.Errorf("decoding the body %q: %v", body, err)
	}
	received, total := 0, 0
	if _, err := fmt.Sscanf(resp.Header.Get("Lockflow-Parts"), "%d/%d", &received, &total); err != nil {
		p.t.Error(err)
	}
	missing := strings.FieldsFunc(resp.Header.Get("Lockflow-Missing"), func(c rune) bool { return c == ',' || c == ' ' })
	if received == total {
		c.complete++
	} else {
		c.partial++
	}
	remaining := slices.Clone(missing)
	for _, n := range all {
		isReceived := slices.Contains(elements, n)
		missingIndex := slices.IndexFunc(remaining, func(m string) bool { return m == n || strings.HasPrefix(n, m+"/") })
		if isReceived == (missingIndex >= 0) {
			p.t.Errorf("%s must be either received or missing: received %v, missing %v", n, elements, missing)
		}
	}
	if len(elements) != received {
		p.t.Errorf("Lockflow-Parts is %d/%d, received %v", received, total, elements)
	}
}

// startPools starts five pools and returns them with the configuration of their services, their names, and the names quoted
// for TOML.
func startPools(t *testing.T) (pools []*pool, services string, all, quoted []string) {
	t.Helper()
	for i := range 5 {
		p := newPool(t, fmt.Sprint("p", i))
		p.setHandler(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "[%q]", p.name) })
		pools = append(pools, p)
		services += service(p, `plans = ["free"]`)
		all, quoted = append(all, p.name), append(quoted, fmt.Sprintf("%q", p.name))
	}
	return pools, services, all, quoted
}

// requireQueried checks that each pool was sent every query at most once, and at least 90 percent of the queries: on a busy
// machine a node does not send all of them in time.
func requireQueried(t *testing.T, phase string, queries int, pools []*pool) {
	t.Helper()
	for _, p := range pools {
		count := p.Count()
		testkit.Until(t, fmt.Sprintf("%s received %d requests for %d queries%s; it receives at least 90 percent", p.name, count, queries, phase), func() bool { return p.Count() >= queries*9/10 })
		if p.Count() > queries {
			t.Errorf("%s received %d requests for %d queries%s", p.name, p.Count(), queries, phase)
		}
	}
}

// reloadRepeatedly reloads an instance four times with changed settings. The instance must retain its learned latencies.
func reloadRepeatedly(t *testing.T, p *instance, text string) {
	t.Helper()
	for i := range 4 {
		p.writeConfig(strings.Replace(text, `half_life = "400ms"`, fmt.Sprintf(`half_life = "%dms"`, 300+100*i), 1))
		if s, err := p.client.Reload(context.Background()); err != nil || s.Generation != i+2 || !s.ScatterGathers[0].IsKnown {
			t.Errorf("after the reload: got status %+v, error %v", s, err)
		}
	}
}

// requireTwoLevelAnswer checks an answer of the upper instance, whose parts are the parts of the lower instances.
func requireTwoLevelAnswer(t *testing.T, top *instance) {
	t.Helper()
	resp, err := http.Get("http://" + *top.addr.Load() + "/x")
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	var names []string
	received, total := 0, 0
	if _, err := fmt.Sscanf(resp.Header.Get("Lockflow-Parts"), "%d/%d", &received, &total); err != nil {
		t.Error(err)
	}
	if err := json.Unmarshal(raw, &names); err != nil || resp.StatusCode != 200 || len(names) != received || total != 10 {
		t.Errorf("got status %d, parts %s, body %q, error %v", resp.StatusCode, resp.Header.Get("Lockflow-Parts"), raw, err)
	}
}

// Three instances query the same five pools and share what they learn; another instance queries two of them. A pool stalls,
// one instance is killed, one is replaced by a successor, and one is reloaded. Each query must have one answer, whose header
// states exactly the results in the body, and each other pool must be queried once for it.
func TestProcesses(t *testing.T) {
	store, err := redistest.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	pools, services, all, quoted := startPools(t)
	process := strings.Replace(baseConfig, "[process]", "[process]\nstate = \"DIR/state\"\ncheckpoint = \"20ms\"\nupgrade = { probation = \"100ms\" }", 1)
	gather := "[services.district]\ntime_header = \"X-Time-Left\"\n" + gatheringService("parts = ["+strings.Join(quoted, ", ")+
		"]\nleast = 0.4\nhalf_life = \"400ms\"\ndeadline = \"learned\"\nshare = { addresses = [\""+store.Addr()+"\"] }")
	text := process + services + gather
	var lower []*instance
	for range 3 {
		lower = append(lower, startInstance(t, text))
	}
	upperConfig := process
	for i, name := range []string{"near", "far"} {
		upperConfig += fmt.Sprintf("[services.%s]\nplans = [\"free\"]\nsend_time = true\nsource = { kind = \"static\", servers = [{ endpoint = %q }] }\n", name, *lower[2-i].addr.Load())
	}
	// The lower instances have the same part names, so the upper instance distinguishes them by its own parts' names.
	top := startInstance(t, upperConfig+gatheringService("parts = [\"near\", \"far\"]\nleast = 0.4\nhalf_life = \"2s\"\ndeadline = \"none\""))

	var answers answerCounts
	queryAll := func(n int, instances ...*instance) {
		var clients sync.WaitGroup
		for _, p := range instances {
			clients.Go(func() {
				for range n {
					answers.query(p, all)
				}
			})
		}
		clients.Wait()
	}
	queryAll(60, lower...)
	lower[0].waitForStatus("the model has enough data to decide", func(s manage.Status) bool { return s.ScatterGathers[0].IsKnown })
	if answers.rejected+answers.lost > 0 || answers.complete == 0 {
		t.Error(answers.String())
	}
	requireQueried(t, "", answers.queries, pools)
	pools[4].stall()
	queryAll(15, lower...)
	requireQueried(t, ", while another stalled", answers.queries, pools[:4])
	if answers.rejected+answers.lost > 0 || answers.partial < 45 {
		t.Error("while a pool stalled:", answers.String())
	}
	// An instance is killed, one is replaced and one is reloaded under load.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, p := range lower {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					answers.query(p, all)
				}
			}
		})
	}
	learned := lower[0].status().ScatterGathers[0].Learned.Sketches
	lower[0].kill()
	lower[0].start()
	if g := lower[0].status().ScatterGathers[0]; !g.IsKnown || g.Learned.Sketches < learned {
		t.Errorf("learned data after a kill: %+v", g)
	}
	old := lower[1].status()
	if _, err := lower[1].client.Upgrade(context.Background(), ""); err != nil {
		t.Fatal(err)
	}
	lower[1].waitForStatus("the successor is ready and has the learned data", func(s manage.Status) bool { return s.PID != old.PID && s.IsReady() && s.ScatterGathers[0].IsKnown })
	reloadRepeatedly(t, lower[2], text)
	pools[4].release()
	close(stop)
	clients.Wait()
	if answers.rejected > 0 {
		t.Error(answers.String())
	}
	requireTwoLevelAnswer(t, top)
	lower[2].waitForStatus("data learned by other instances is received", func(s manage.Status) bool { return s.ScatterGathers[0].Shared.Members > 0 })
	http.DefaultClient.CloseIdleConnections()
}
