// Not a case (three are handed in): requests of a replaced service go by the list of a discovery that the node no longer follows.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lockflow/review/testdata/stand"
)

// pod is the memory that the app servers of one pod share: the keys that they have run.
type pod struct {
	mu   sync.Mutex
	runs map[string]time.Time
}

// world counts the runs of each key over all pods.
type world struct {
	c    *stand.Case
	mu   sync.Mutex
	runs map[string][]string
}

// server is an app server. It may be replaced by another one at its address.
type server struct {
	c     *stand.Case
	world *world
	l     net.Listener

	mu    sync.Mutex
	name  string
	pod   *pod
	hangs bool
	conns map[net.Conn]bool
	stuck map[net.Conn]bool // with a request that has run and gets no answer
}

func (s *server) serve() {
	for {
		conn, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.handle(conn)
	}
}

// replace ends the process at this address and starts another one there, of another pod.
func (s *server) replace(name string, p *pod) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.Logf("%s ends; %s starts at its address %s", s.name, name, s.l.Addr())
	s.name, s.pod = name, p
	for conn := range s.conns {
		conn.Close()
	}
}

// reset resets the connections of the requests that have run and got no answer.
func (s *server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.Logf("%s: resets %d connections under requests that have begun", s.name, len(s.stuck))
	s.hangs = false
	for conn := range s.stuck {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

func (s *server) handle(conn net.Conn) {
	defer conn.Close()
	s.mu.Lock()
	name, p := s.name, s.pod
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		id, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key")
		s.mu.Lock()
		hangs := s.hangs
		if hangs {
			s.stuck[conn] = true
		}
		s.mu.Unlock()
		if !hangs {
			time.Sleep(time.Duration(190+rand.IntN(140)) * time.Millisecond)
		}
		p.mu.Lock()
		if _, known := p.runs[key]; known {
			s.c.Logf("%s: request %s is a repeat of a key that its pod knows: dropped", name, id)
		} else {
			p.runs[key] = time.Now()
			s.world.mu.Lock()
			s.world.runs[key] = append(s.world.runs[key], name)
			s.world.mu.Unlock()
			s.c.Logf("%s: request %s runs", name, id)
		}
		p.mu.Unlock()
		if hangs {
			s.c.Logf("%s: hangs with request %s", name, id)
			io.Copy(io.Discard, conn) // until the connection ends
			return
		}
		body := "answer to " + id
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Backend-Load: latency_ms=250,util=0.4,queue=0\r\n\r\n%s", len(body), body)
		s.c.Logf("%s: answered request %s", name, id)
	}
}

const config = `
protocol = "platform"

[process]
cores = 1
memory_mb = 192
descriptors = 1024
instances = 2
instance = 0

[[listeners]]
address = "%s"

[classes.visit-update]
aim = "2s"
deadline = "7.5s"
repeats = "keyed"
key_scope = "group"
repeat_window = "15s"
worth = 5

[plans.standard]
price = 1.1
rate = 4
depth = 18
over_cost = 0.8

[services.rosters]
source = { kind = "discovery", address = "%s" }
units_top = 4
connect_timeout = "%dms"

[[routes]]
service = "rosters"
`

func main() {
	dir := flag.String("dir", "review/testdata/stale", "the folder of the record")
	flag.Parse()
	c := stand.NewCase(*dir, 100*time.Second)
	w := &world{c: c, runs: make(map[string][]string)}
	pods := []*pod{{runs: make(map[string]time.Time)}, {runs: make(map[string]time.Time)}}
	var servers []*server
	var targets []stand.Target
	for _, name := range []string{"s-x", "s-y"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Must(err)
		s := &server{c: c, world: w, l: l, name: name, pod: pods[0], conns: make(map[net.Conn]bool), stuck: make(map[net.Conn]bool)}
		go s.serve()
		servers = append(servers, s)
		targets = append(targets, stand.Target{UID: name, Endpoint: l.Addr().String(), Zone: "kigali-dc1", Model: "std-4core", Group: 1, State: "up", Capacity: 1})
	}
	x, y := servers[0], servers[1]
	first := c.NewDiscovery(targets)
	next := c.NewDiscovery(targets)
	listen := c.FreeAddress()
	n := c.StartNode("n0", listen, []byte(fmt.Sprintf(config, listen, first.Addr(), 250)), "lockflow.toml", "LOCKFLOW_CONFIG="+c.Path("lockflow.toml"), "NODE_CONFIG=")
	n.AwaitReady()

	var served, refused, failed, none atomic.Int64
	var wg sync.WaitGroup
	ask := func() {
		defer wg.Done()
		cl := &stand.Client{Address: listen}
		defer cl.Close()
		id, key := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
		body := strings.Repeat("x", 212)
		raw := fmt.Sprintf("POST /visit-update?account=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Tariff: standard\r\nX-Time-Left: 7500m\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n%s",
			rand.IntN(1000), id, key, len(body), body)
		c.Logf("client: sends request %s", id)
		a := cl.Do([]byte(raw), "POST", 8*time.Second)
		c.Logf("client: request %s: %d %q %v in %v", id, a.Status, a.Body, a.Err, a.Took.Round(time.Millisecond))
		switch a.Status {
		case 200:
			served.Add(1)
		case 429, 503:
			refused.Add(1)
		case 0:
			none.Add(1)
		default:
			failed.Add(1)
		}
	}
	// Some requests of the usual kind, then one server hangs in the middle of its work.
	for range 10 {
		wg.Add(1)
		go ask()
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
	x.mu.Lock()
	x.hangs = true
	x.mu.Unlock()
	c.Logf("s-x hangs from now on")
	for range 6 {
		wg.Add(1)
		go ask()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	news := first
	if c.Trouble {
		// A new configuration: another discovery, and another time to connect.
		c.Must(os.WriteFile(n.Config, []byte(fmt.Sprintf(config, listen, next.Addr(), 300)), 0o600))
		n.Signal(syscall.SIGHUP)
		first.CloseIn(1500 * time.Millisecond)
		news = next
	}
	hup := time.Now()
	time.Sleep(500 * time.Millisecond)
	y.replace("s-z", pods[1])
	gone, z := targets[1], targets[1]
	gone.State = "removed"
	news.Publish(gone)
	z.UID, z.Group, z.BootMS = "s-z", 2, time.Now().UnixMilli()
	news.Publish(z)
	time.Sleep(time.Until(hup.Add(6300 * time.Millisecond)))
	x.reset()
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	w.mu.Lock()
	twice := 0
	for key, names := range w.runs {
		if len(names) > 1 {
			twice++
			c.Sayf("key %s was run at %v", key, names)
		}
	}
	w.mu.Unlock()
	c.Sayf("served %d, refused %d, failed %d, no answer %d; run twice: %d", served.Load(), refused.Load(), failed.Load(), none.Load(), twice)
	switch {
	case n.Gone() || len(x.stuck) == 0:
		c.End(stand.CanNot)
	case twice > 0:
		c.End(stand.Broken)
	}
	c.End(stand.Held)
}
