package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lockflow/internal/command"
	"lockflow/internal/manage"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upgrade"
)

// faultVariable makes the test executable run the daemon. Its value is the fault of a process that runs as successor, or
// empty for no fault.
const faultVariable = "LOCKFLOW_TEST_DAEMON"

func TestMain(m *testing.M) {
	fault, ok := os.LookupEnv(faultVariable)
	if !ok {
		os.Exit(m.Run())
	}
	if os.Getenv(upgrade.EnvironmentVariable) != "" {
		switch fault {
		case "dies":
			os.Exit(7)
		case "hangs":
			time.Sleep(time.Minute)
		case "exits after the take-over":
			go func() {
				control := os.Args[len(os.Args)-1]
				for {
					if s, err := (manage.Client{Path: control}).Status(context.Background()); err == nil && s.PID == os.Getpid() && s.IsReady() {
						os.Exit(9)
					}
					time.Sleep(time.Millisecond)
				}
			}()
		}
	}
	os.Exit(command.Main(os.Args[1:]))
}

const configText = `
protocol = "platform"
[process]
drain = { idle = "0s", accept = "0s", most = "2s" }
state = "DIR/state"
checkpoint = "20ms"
upgrade = { within = "20s", probation = "300ms" }
descriptors = 512
[[listeners]]
address = "127.0.0.1:0"
[classes.read]
repeats = "free"
deadline = "3s"
[classes.update]
repeats = "keyed"
key_scope = "group"
repeat_window = "15s"
deadline = "3s"
[plans.standard]
rate = 100000
depth = 100000
[plans.enterprise]
ceiling_rate = 50
ceiling_burst = 50
ceiling_slack = 4
[services.a]
source = { kind = "discovery", address = "@a" }
[[routes]]
service = "a"
class = "read"
[[routes]]
service = "a"
class = "update"
`

// daemonProcess is a daemon that runs in a separate process between fake servers and clients.
type daemonProcess struct {
	t         *testing.T
	directory string
	pool      *testbench.Pool
	address   string
	control   manage.Client
	process   *exec.Cmd
	log       syncBuffer
}

type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// startDaemon starts a daemon and waits until it is ready. successorFault is the fault of its successors.
func startDaemon(t *testing.T, successorFault string) *daemonProcess {
	t.Helper()
	return startDaemonWith(t, successorFault, nil, "", "")
}

// startDaemonWith is startDaemon with servers that check a hard limit by monitor, unless it is nil, and with old replaced
// by new in the configuration.
func startDaemonWith(t *testing.T, successorFault string, monitor *fake.HardLimitMonitor, old, new string) *daemonProcess {
	t.Helper()
	r := &daemonProcess{t: t, directory: testkit.ShortDir(t)}
	var servers []fake.Server
	group := &fake.Group{Window: 15 * time.Second}
	for i := range 3 {
		servers = append(servers, fake.Server{UID: fmt.Sprint("s", i), Group: group, Work: 2 * time.Millisecond, HardLimit: monitor})
	}
	var err error
	if r.pool, err = testbench.StartPool(servers); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.pool.Close)
	r.control = manage.Client{Path: filepath.Join(r.directory, "c.sock")}
	r.writeConfig(old, new)
	r.start(successorFault)
	t.Cleanup(func() {
		if s, err := r.control.Status(context.Background()); err == nil {
			syscall.Kill(s.PID, syscall.SIGKILL)
			testkit.Until(t, "the end of the daemon", func() bool { return hasEnded(s.PID) }) // until then it writes to r.directory
		}
		r.process.Process.Kill()
		testkit.Until(t, "the end of the started process", func() bool { return hasEnded(r.process.Process.Pid) })
		if t.Failed() {
			t.Log(r.log.String())
		}
	})
	return r
}

// writeConfig writes the configuration with old replaced by new.
func (r *daemonProcess) writeConfig(old, new string) {
	r.t.Helper()
	c := strings.NewReplacer("DIR", r.directory, "@a", r.pool.Discovery.Addr()).Replace(strings.Replace(configText, old, new, 1))
	if err := os.WriteFile(r.directory+"/c.toml", []byte(c), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func (r *daemonProcess) start(successorFault string) {
	r.t.Helper()
	r.startProcess(successorFault)
	r.awaitStatus("ready", func(s manage.Status) bool { return s.IsReady() })
	r.address = r.status().Listeners[0]
}

// startProcess starts the daemon's process without waiting until it is ready.
func (r *daemonProcess) startProcess(successorFault string) {
	r.t.Helper()
	r.process = exec.Command(os.Args[0], "serve", "--config", r.directory+"/c.toml", "--pid-file", r.directory+"/pid", "--control", r.control.Path)
	r.process.Env = append(os.Environ(), faultVariable+"="+successorFault)
	r.process.Stdout, r.process.Stderr = &r.log, &r.log
	if err := r.process.Start(); err != nil {
		r.t.Fatal(err)
	}
	go r.process.Wait()
}

func (r *daemonProcess) status() manage.Status {
	r.t.Helper()
	s, err := r.control.Status(context.Background())
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

func (r *daemonProcess) awaitStatus(condition string, matches func(manage.Status) bool) {
	r.t.Helper()
	testkit.Until(r.t, condition, func() bool {
		s, err := r.control.Status(context.Background())
		return err == nil && matches(s)
	})
}

// hasEnded reports whether a process has ended with all of its threads. A process of which only the first thread has
// ended is a zombie that still has open files and locks.
func hasEnded(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	return err != nil || strings.Contains(string(raw), ") Z ") && len(threads) <= 1
}

func (r *daemonProcess) startLoad(ctx context.Context, workers int) *fake.Run {
	return fake.Clients{Addr: r.address, Seed: 5, Workers: workers, Call: func(rng *rand.Rand) fake.Call {
		c := fake.Call{Kind: "read", Host: "x", Method: "GET", Path: "/read", Plan: "standard", Customer: rng.Uint64N(50), Deadline: 3 * time.Second}
		if rng.IntN(2) == 0 {
			c.Kind, c.Method, c.Path, c.Key, c.Body = "update", "POST", "/update", fmt.Sprint("k", rng.Uint64()), "swap"
		}
		return c
	}}.Start(ctx)
}

func (r *daemonProcess) checkResults(results map[string]*fake.Result) {
	r.t.Helper()
	for kind, s := range results {
		if s.Lost+s.Wrong+s.Failed > 0 || s.Served < s.Calls/2 || s.Calls == 0 {
			r.t.Errorf("%s requests: unexpected results: %+v", kind, *s)
		}
	}
	if c := r.pool.Executions.Counts(); c.DuplicateEffects > 0 || c.MaxInFlight > 1 {
		r.t.Errorf("unexpected executions: %+v", c)
	}
}

// sendRequests sends n requests of an enterprise customer and returns the number of served requests.
func (r *daemonProcess) sendRequests(n int) (served int) {
	r.t.Helper()
	for range n {
		req, _ := http.NewRequest("GET", "http://"+r.address+"/read?account=00000000b4d65521", nil)
		for k, v := range map[string]string{
			"X-Correlation-Id": fmt.Sprintf("%x", rand.Uint64()), "X-Tariff": "enterprise", "X-Time-Left": "2000m",
			"X-Weight": "units=1,spread=1,first=0",
		} {
			req.Header.Set(k, v)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			r.t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			served++
		}
	}
	return served
}
