// Case 1: a second copy of a good answer, right behind it.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/review/testdata/stand"
)

var (
	nServers  = flag.Int("servers", 3, "app servers, of 4 cores each")
	nNodes    = flag.Int("nodes", 1, "edge nodes")
	rate      = flag.Float64("rate", 800, "requests a second, over all edge nodes")
	share     = flag.Float64("share", 0.02, "share of the answers that are followed by a second copy")
	seconds   = flag.Float64("seconds", 25, "how long clients send")
	calm      = flag.Duration("calm", 5*time.Second, "time without second copies at the begin")
	customers = flag.Int("customers", 400, "customers")
	dir       = flag.String("dir", "review/1", "the case's folder")
)

// What a request costs an app server: 8 to 16 ms on one of its cores.
const (
	cores   = 4
	minWork = 8 * time.Millisecond
	maxWork = 16 * time.Millisecond
)

// server is an app server: it serves a request after the other on each connection.
type server struct {
	c         *stand.Case
	name      string
	l         net.Listener
	slots     chan struct{} // its cores
	isCopying *atomic.Bool
	copies    atomic.Int64
}

func (s *server) serve() {
	for {
		conn, err := s.l.Accept()
		if err != nil {
			return
		}
		conn.(*net.TCPConn).SetNoDelay(false) // as systems have it, unless a program asks for less delay
		go s.handle(conn)
	}
}

func (s *server) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Correlation-Id")
		s.slots <- struct{}{}
		time.Sleep(minWork + rand.N(maxWork-minWork))
		<-s.slots
		body := "answer to " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Backend-Load: inflight=%d,util=%.2f\r\n\r\n%s", len(body), len(s.slots), float64(len(s.slots))/float64(cap(s.slots)), body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		s.c.Logf("server %s answered %s", s.name, id)
		// Nothing else waits on this connection: its one request has its answer.
		if s.isCopying.Load() && rand.Float64() < *share {
			s.copies.Add(1)
			s.c.Logf("server %s wrote a second copy of the answer to %s", s.name, id)
			io.WriteString(conn, answer)
		}
	}
}

// settings are those of seilbahn-kasse, drawn from its ranges; only the group's size is this test's.
func settings(index int) map[string]any {
	return map[string]any{
		"self-index": index, "group-size": *nNodes, "zone": "halle", "azs": []string{"halle"}, "discovery": "on_request", "family": "gate",
		"classes": []map[string]any{
			{"name": "fahrplan", "aim": 150.0, "deadline": 500.0, "effect": "free", "key-scope": "all", "repeat-window": 5000.0, "stream": false, "worth": 1.0, "late-share": 0.1},
			{"name": "verkauf", "aim": 300.0, "deadline": 900.0, "effect": "single_shot", "key-scope": "all", "repeat-window": 5000.0, "stream": false, "worth": 6.0, "late-share": 0.0},
		},
		"tariffs": []map[string]any{
			{"name": "talstation", "value-factor": 0.9, "quota-rate": 5.0, "depth": 20.0, "open": 0, "overrun-cost": 0.7, "beyond-earns": 0.0},
			{"name": "bergstation", "value-factor": 1.3, "quota-rate": 20.0, "depth": 50.0, "open": 0, "overrun-cost": 1.0, "beyond-earns": 0.0},
		},
		"clients":   map[string]any{"marks-retry": true},
		"contract":  map[string]any{"ask-within": 10000.0, "cold": 12000.0, "cold-from": 0.2, "drain-grace": 1500.0, "fall": 2000.0, "fall-multiple": 3.0, "grace-to-answer": 16.0},
		"domain":    map[string]any{"meter-period": 0.0, "cost-after": false, "units-top": 3, "has-counter": false},
		"reporting": map[string]any{"source": "inline", "names": []string{"active", "cpu"}},
		"limits":    map[string]any{"connect-timeout": 200.0, "keepalive": 6000.0, "send-cap": 4, "may-cancel": true, "max-retry-after": 800.0, "retry-after": true, "second-copies": false, "multiplex": 1, "cpu-us-per-s": 450000},
	}
}

func main() {
	flag.Parse()
	c := stand.NewCase(*dir, 100*time.Second)
	var isCopying atomic.Bool
	var servers []*server
	var targets []stand.Target
	for i := range *nServers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Must(err)
		s := &server{c: c, name: fmt.Sprintf("s-%02d", i), l: l, slots: make(chan struct{}, cores), isCopying: &isCopying}
		go s.serve()
		servers = append(servers, s)
		targets = append(targets, stand.Target{UID: s.name, Endpoint: l.Addr().String(), Zone: "halle", Model: "kasse-4", Group: i / 4, State: "up", Capacity: 1})
	}
	d := c.NewDiscovery(targets)
	var nodes []*stand.Node
	for i := range *nNodes {
		listen := c.FreeAddress()
		config, err := json.Marshal(map[string]any{
			"name": fmt.Sprintf("n%d", i), "listen": listen, "discovery": d.Addr(), "seed": fmt.Sprintf("%016x", rand.Uint64()),
			"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"known":    map[string]any{"rev": 41, "all": true, "targets": targets},
			"settings": settings(i),
		})
		c.Must(err)
		file := fmt.Sprintf("n%d.json", i)
		n := c.StartNode(fmt.Sprintf("n%d", i), listen, config, file, "NODE_LISTEN="+listen, "NODE_DISCOVERY="+d.Addr(), "NODE_CONFIG="+c.Path(file))
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.AwaitReady()
	}
	var foreign, served, refused, failed, none, sent atomic.Int64
	var wg sync.WaitGroup
	idle := make([]chan *stand.Client, *nNodes)
	for i := range idle {
		idle[i] = make(chan *stand.Client, 400)
	}
	ask := func(node int) {
		defer wg.Done()
		var cl *stand.Client
		select {
		case cl = <-idle[node]:
		default:
			cl = &stand.Client{Address: nodes[node].Listen}
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		account := fmt.Sprintf("%016x", rand.IntN(*customers))
		weight := fmt.Sprintf("X-Tariff: bergstation\r\nX-Weight: units=1,spread=%d,first=0\r\n", *nNodes)
		method, wait := "GET", 500
		raw := fmt.Sprintf("GET /fahrplan?account=%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\n%sX-Time-Left: 500m\r\n\r\n", account, id, weight)
		if rand.IntN(2) == 0 {
			method, wait = "POST", 900
			raw = fmt.Sprintf("POST /verkauf?account=%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\n%sX-Time-Left: 900m\r\nContent-Length: 4\r\n\r\nsale", account, id, weight)
		}
		sent.Add(1)
		a := cl.Do([]byte(raw), method, time.Duration(wait+500)*time.Millisecond)
		c.Logf("client at n%d: %s %s: %d %q %v in %v", node, method, id, a.Status, a.Body, a.Err, a.Took.Round(time.Millisecond))
		switch {
		case a.Status == 200 && a.Body != "answer to "+id:
			foreign.Add(1)
			if foreign.Load() <= 3 {
				c.Sayf("request %s at n%d was served with %q", id, node, a.Body)
			}
		case a.Status == 200:
			served.Add(1)
		case a.Status == 503 || a.Status == 429:
			refused.Add(1)
		case a.Status == 0:
			none.Add(1)
		default:
			failed.Add(1)
		}
		select {
		case idle[node] <- cl:
		default:
			cl.Close()
		}
	}
	began := time.Now()
	next := began
	for time.Since(began).Seconds() < *seconds {
		isCopying.Store(c.Trouble && time.Since(began) > *calm)
		next = next.Add(time.Duration(rand.ExpFloat64() / *rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		wg.Add(1)
		go ask(rand.IntN(*nNodes))
	}
	wg.Wait()
	var copies int64
	for _, s := range servers {
		copies += s.copies.Load()
	}
	c.Sayf("sent %d, served %d, refused %d, failed %d, no answer %d, second copies %d, served with another request's answer: %d",
		sent.Load(), served.Load(), refused.Load(), failed.Load(), none.Load(), copies, foreign.Load())
	switch {
	case foreign.Load() > 0:
		c.End(stand.Broken)
	case served.Load() < sent.Load()/5:
		c.End(stand.CanNot)
	}
	c.End(stand.Held)
}
