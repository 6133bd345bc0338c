// Command locked is no case (five are handed in): the successor of an upgrade is killed after its probation, while the old process
// drains, and the daemon is started again.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"syscall"
	"time"

	"lockflow/review/shared-2/testdata/kit"
)

const (
	longRequest  = 7 * time.Second        // in flight at the old process from before the upgrade on
	takeOver     = 700 * time.Millisecond // after SIGUSR2
	killAfter    = 3 * time.Second        // after SIGUSR2: 1 s after the probation
	restartAfter = time.Second
	readyLimit   = 30 * time.Second       // DEPLOY: a start that is not ready by then
	callEvery    = 200 * time.Millisecond
)

// nodeFile has the process settings of deploy/daemon.toml.
const nodeFile = `
[process]
memory_mb = 192
descriptors = 1024
state = "%[1]s/state"
checkpoint = "1s"
control = "%[1]s/control.sock"
upgrade = { within = "15s", probation = "2s" }
drain = { idle = "500ms", accept = "1s", most = "8s" }

[[listeners]]
address = "%[2]s"

[services.app]
source = { kind = "static", servers = [{ endpoint = "%[3]s" }, { endpoint = "%[4]s" }] }

[[routes]]
service = "app"
`

func main() {
	c := kit.Begin()
	app := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		work, _ := time.ParseDuration(r.Header.Get("X-Work")) // most requests name none
		time.Sleep(work)
		fmt.Fprintf(w, "ran %s", r.Header.Get("X-Id"))
	})
	var endpoints [2]string
	for i := range endpoints {
		l := c.Listen()
		go func() { _ = http.Serve(l, app) }()
		endpoints[i] = l.Addr().String()
	}
	address := c.FreeAddress()
	pidFile := c.Dir + "/pid"
	file := c.Write("lockflow.toml", fmt.Sprintf(nodeFile, c.Dir, address, endpoints[0], endpoints[1]))
	start := func() *exec.Cmd { return c.Start(nil, "serve", "--config", file, "--pid-file", pidFile) }
	start()
	c.AwaitReady(address)
	first := kit.ReadPID(pidFile)
	c.Require(first > 0, "no process id in the pid file")
	longEnded := make(chan bool, 1)
	go func() { longEnded <- call(c, address, "long", longRequest) }()
	time.Sleep(callEvery)
	c.Note("SIGUSR2 to process %d: an upgrade", first)
	upgradedAt := time.Now()
	c.Check(syscall.Kill(first, syscall.SIGUSR2))
	time.Sleep(takeOver)
	successor := kit.ReadPID(pidFile)
	c.Require(successor != first && successor > 0, "the successor has not taken over within %v", takeOver)
	c.Note("the successor, process %d, has taken over", successor)
	time.Sleep(time.Until(upgradedAt.Add(killAfter)))
	if c.Trouble {
		c.Note("SIGKILL to process %d", successor)
		c.Check(syscall.Kill(successor, syscall.SIGKILL))
		time.Sleep(restartAfter)
		startAgain(c, address, start())
	}
	c.Require(<-longEnded, "the long request was not answered")
	if !call(c, address, "at the end", 0) {
		c.Broken("clients get no connection after the old process has ended")
	}
	c.Log()
	c.End()
}

// startAgain waits until the daemon that was started again serves, or has ended.
func startAgain(c *kit.Case, address string, daemon *exec.Cmd) {
	ended := make(chan error, 1)
	go func() { ended <- daemon.Wait() }()
	deadline := time.After(readyLimit)
	for n := 0; ; n++ {
		select {
		case err := <-ended:
			c.Broken("the daemon that was started again ended: %v", err)
			return
		case <-deadline:
			c.Broken("the daemon that was started again did not serve within %v", readyLimit)
			return
		case <-time.After(callEvery):
			if call(c, address, fmt.Sprint("call-", n), 0) {
				return
			}
		}
	}
}

// call sends one request over a connection of its own and reports whether an app server's answer came back.
func call(c *kit.Case, address, id string, work time.Duration) bool {
	client := &http.Client{Timeout: longRequest + readyLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	c.Check(err)
	request.Header.Set("X-Id", id)
	request.Header.Set("X-Work", work.String())
	c.Note("client: sends %s", id)
	response, err := client.Do(request)
	if err != nil {
		c.Note("client: %s: no answer", id)
		return false
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	c.Note("client: %s is answered %d %q", id, response.StatusCode, body)
	return response.StatusCode == http.StatusOK && string(body) == "ran "+id
}
