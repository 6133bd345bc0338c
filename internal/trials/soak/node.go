package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lockflow/internal/invariant"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/faultbuild"
	"lockflow/internal/trials/faultnet/process"
)

// node is a real node process with its own discovery servers and its own links to the app servers. It is safe for
// concurrent use, but only one of kill, terminate and switchDiscovery may run at a time.
type node struct {
	play        *play
	index       int
	name        string
	address     string
	dir         string
	process     *process.Process
	table       *faultbuild.Table
	discoveries [2]*fake.Discovery // discovery servers, one of which the node watches
	links       []*faultnet.Link   // to each app server

	mu                sync.Mutex
	watchedDiscovery  int           // index of the discovery server that the node watches
	sigtermAt         time.Time     // when SIGTERM was sent to the running process; zero until then
	newConnectionTime time.Duration // time after sigtermAt in which clients still open connections
	disturbances      []span        // periods in which its clients may get no answer
	missingListEvents []span        // periods in which its watch may be broken or silent
}

// span is the period in which a disturbance has an effect.
type span struct {
	from        time.Time
	to          time.Time // zero while the disturbance lasts
	disturbance string    // the disturbance
}

// newNode creates a node; start starts its process.
func newNode(p *play, index int, dir string) (*node, error) {
	n := &node{play: p, index: index, name: fmt.Sprint("n", index), dir: dir}
	var err error
	if n.table, err = faultbuild.NewTable(filepath.Join(dir, "faults")); err != nil {
		return nil, err
	}
	for _, s := range p.servers {
		link, err := faultnet.Listen(s.address())
		if err != nil {
			return nil, err
		}
		n.links = append(n.links, link)
	}
	for i := range n.discoveries {
		if n.discoveries[i], err = fake.StartDiscovery(); err != nil {
			return nil, err
		}
	}
	if n.address, err = freeAddress(); err != nil {
		return nil, err
	}
	n.process = &process.Process{
		Path: p.Program,
		Log:  n.logPath(),
		Env:  []string{"NODE_CONFIG=" + n.configPath(), "NODE_LISTEN=" + n.address, "LOCKFLOW_TALLY=1", n.table.Environment()},
	}
	for _, s := range p.servers {
		n.publish(s)
	}
	return n, n.writeConfiguration()
}

// The range of the nodes' ports. It lies below the kernel's ephemeral ports, so that no outgoing connection takes a
// node's port while the node restarts.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// freeAddress returns a loopback address on which no process listens.
func freeAddress() (string, error) {
	var lastErr error
	for range 100 {
		address := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort))
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err == nil {
			return address, l.Close()
		}
		lastErr = err
	}
	return "", lastErr
}

func (n *node) configPath() string { return filepath.Join(n.dir, "config.json") }
func (n *node) logPath() string    { return filepath.Join(n.dir, "log") }

// writeConfiguration writes the configuration file with the discovery server that the node watches.
func (n *node) writeConfiguration() error {
	n.mu.Lock()
	discovery := n.discoveries[n.watchedDiscovery].Addr()
	n.mu.Unlock()
	return os.WriteFile(n.configPath(), configuration(n.index, n.play.Nodes, n.play.descriptors(), discovery), 0o600)
}

// publish updates the entry of an app server in both discovery servers.
func (n *node) publish(s *server) {
	s.mu.Lock()
	entry := fake.Entry{
		UID:      s.uid,
		Endpoint: n.linkTo(s).Addr(),
		Zone:     fmt.Sprint("z", s.cell%2),
		Model:    "m",
		Group:    s.cell,
		State:    s.state,
		Capacity: 1,
	}
	if !s.startedAt.IsZero() {
		entry.BootMS = float64(s.startedAt.UnixMilli())
	}
	s.mu.Unlock()
	for _, d := range n.discoveries {
		d.Publish(entry)
	}
}

// linkTo returns the link to an app server of the run.
func (n *node) linkTo(s *server) *faultnet.Link {
	for i := range n.play.servers {
		if n.play.servers[i] == s {
			return n.links[i]
		}
	}
	panic("linkTo called with a server of another run")
}

// start starts the process.
func (n *node) start() error {
	n.mu.Lock()
	n.sigtermAt = time.Time{}
	n.mu.Unlock()
	return n.process.Start()
}

// readyPollInterval is the interval between two health checks of a starting node.
const readyPollInterval = 5 * time.Millisecond

// awaitReady waits until the node passes its health check, for at most readyTimeout.
func (n *node) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address+"/healthz", nil)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("node did not pass its health check within %v", readyTimeout)
		case <-time.After(readyPollInterval):
		}
	}
}

// beginDisturbance records the beginning of a disturbance that explains missing answers. The returned function records
// its end.
func (n *node) beginDisturbance(disturbance string) (end func()) {
	return n.beginSpan(&n.disturbances, disturbance)
}

// beginMissingListEvents records the beginning of a disturbance that may delay events of the endpoint list. The returned
// function records its end.
func (n *node) beginMissingListEvents(why string) (end func()) {
	return n.beginSpan(&n.missingListEvents, why)
}

// beginSpan appends a span that begins now. The returned function ends it.
func (n *node) beginSpan(spans *[]span, disturbance string) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*spans = append(*spans, span{from: time.Now(), disturbance: disturbance})
	i := len(*spans) - 1
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		(*spans)[i].to = time.Now()
	}
}

// excuse returns a disturbance between two times that explains a missing answer, or "" if there was none.
func (n *node) excuse(from, to time.Time) string { return n.findSpan(&n.disturbances, from, to) }

// missedListEvents reports whether the node's watch may have been broken or silent between two times.
func (n *node) missedListEvents(from, to time.Time) bool {
	return n.findSpan(&n.missingListEvents, from, to) != ""
}

// findSpan returns the disturbance of the first span that overlaps the period between from and to, or "".
func (n *node) findSpan(spans *[]span, from, to time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range *spans {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return s.disturbance
		}
	}
	return ""
}

// allowsConnections reports whether clients may open new connections: at any time before SIGTERM, and after it for
// newConnectionTime.
func (n *node) allowsConnections() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sigtermAt.IsZero() || time.Since(n.sigtermAt) <= n.newConnectionTime
}

// kill kills the node's process and restarts it.
func (n *node) kill(ctx context.Context) error {
	end := n.beginDisturbance("killed")
	defer end()
	if err := n.process.Kill(); err != nil {
		return err
	}
	return n.restart(ctx)
}

// restart undoes any step of the node's wall clock and starts its process. Until the node is ready, missing answers are
// excused.
func (n *node) restart(ctx context.Context) error {
	end := n.beginDisturbance("starting")
	defer end()
	n.table.StepClock(0)
	if err := n.start(); err != nil {
		return err
	}
	return n.awaitReady(ctx)
}

// switchDiscovery makes the node watch its other discovery server, by a new configuration file and SIGHUP.
func (n *node) switchDiscovery() error {
	defer n.beginMissingListEvents("new discovery")()
	n.mu.Lock()
	n.watchedDiscovery = 1 - n.watchedDiscovery
	n.mu.Unlock()
	if err := n.writeConfiguration(); err != nil {
		return err
	}
	return n.process.Signal(syscall.SIGHUP)
}

// failedCalls returns the number of system calls that the fault table has made fail.
func (n *node) failedCalls() (sum int) {
	for call := faultbuild.Accept; call <= faultbuild.Open; call++ {
		sum += n.table.Injected(call)
	}
	return sum
}

// violationTexts are texts by which a log line counts as a violation.
var violationTexts = []string{"invariant violated", "panic", "fatal error", "DATA RACE", "decision module failed"}

// finish stops the node's process, and reports a wrong exit and the violations in its log.
func (n *node) finish() {
	if !n.process.Runs() {
		n.play.journal.addViolation("process of %s exited without a signal from the test: %v", n.name, n.process.Wait())
	} else if err := n.process.Stop(killDelay + time.Second + n.play.Slack); err != nil && !errors.Is(err, process.ErrNone) {
		n.play.journal.addViolation("stopping %s at the end of the run: %v", n.name, err)
	}
	file, err := os.Open(n.logPath())
	if err != nil {
		n.play.journal.addViolation("opening the log of %s: %v", n.name, err)
		return
	}
	defer file.Close() //nolint:errcheck // the file is only read
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if n.play.Slack > 0 && strings.Contains(lines.Text(), "rule="+invariant.LateAnswer.String()) {
			continue // the node may have waited for a processor on a busy machine
		}
		for _, mark := range violationTexts {
			if strings.Contains(lines.Text(), mark) {
				n.play.journal.addViolation("%s logged a violation: %s", n.name, lines.Text())
			}
		}
	}
}

// close kills the process and closes its discovery servers, links and fault table.
func (n *node) close() {
	_ = n.process.Kill() // the process may have exited already
	for _, d := range n.discoveries {
		if d != nil {
			d.Close()
		}
	}
	for _, link := range n.links {
		_ = link.Close() // the run is over
	}
	_ = n.table.Close() // the table is no longer used
}
