// Case 2: bad clients that send half a request with thousands of short header
// fields and stay.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/review/testdata/stand"
)

const (
	memoryMB = 192 // the most that the pages give an edge node on the days that are scored
	sockets  = 1024
	servers  = 3
	rate     = 50.0 // requests a second of the usual clients
)

var (
	dir     = flag.String("dir", "review/2", "the case's folder")
	bad     = flag.Int("bad", 500, "connections of bad clients at once")
	seconds = flag.Float64("seconds", 40, "how long clients send")
	calm    = flag.Duration("calm", 5*time.Second, "time without bad clients at the begin")
)

// serve is an app server.
func serve(c *stand.Case, name string, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				io.Copy(io.Discard, r.Body)
				id := r.Header.Get("X-Correlation-Id")
				c.Logf("%s: request %s runs", name, id)
				time.Sleep(190*time.Millisecond + rand.N(140*time.Millisecond))
				body := "answer to " + id
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Backend-Load: latency_ms=250,util=0.4,queue=0\r\n\r\n%s", len(body), body)
			}
		}()
	}
}

func settings() map[string]any {
	return map[string]any{
		"self-index": 0, "group-size": 2, "zone": "kigali-dc1", "azs": []string{"kigali-dc1"}, "discovery": "pushed", "family": "gate",
		"classes": []map[string]any{
			{"name": "roster-read", "aim": 2000.0, "deadline": 7500.0, "effect": "free", "key-scope": "all", "repeat-window": 5000.0, "stream": false, "worth": 1.0, "late-share": 0.2},
			{"name": "visit-update", "aim": 2000.0, "deadline": 7500.0, "effect": "guarded", "key-scope": "cell", "repeat-window": 15000.0, "stream": false, "worth": 5.0, "late-share": 0.0},
		},
		"tariffs": []map[string]any{
			{"name": "basic", "value-factor": 0.72, "quota-rate": 1.8, "depth": 8.0, "open": 0, "overrun-cost": 0.6, "beyond-earns": 0.0},
			{"name": "standard", "value-factor": 1.1, "quota-rate": 4.0, "depth": 18.0, "open": 0, "overrun-cost": 0.8, "beyond-earns": 0.0},
		},
		"clients":   map[string]any{"marks-retry": true},
		"contract":  map[string]any{"ask-within": 10000.0, "cold": 15000.0, "cold-from": 0.15, "drain-grace": 2000.0, "fall": 2000.0, "fall-multiple": 2.5, "grace-to-answer": 16.0},
		"domain":    map[string]any{"meter-period": 1000.0, "cost-after": true, "units-top": 4, "has-counter": false},
		"reporting": map[string]any{"source": "inline", "names": []string{"avg_ms", "cpu", "waiting"}},
		"limits":    map[string]any{"connect-timeout": 250.0, "keepalive": 15000.0, "send-cap": 6, "may-cancel": true, "max-retry-after": 1000.0, "retry-after": false, "second-copies": false, "multiplex": 32, "open-cap": 20000, "cpu-us-per-s": 500000},
	}
}

// halfRequest is a head of nearly 20 KB, of short fields, whose body never comes.
func halfRequest() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /visit-update?account=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %016x\r\nX-Tariff: standard\r\nX-Time-Left: 7500m\r\nIdempotency-Key: %016x\r\nContent-Length: 212\r\n",
		rand.IntN(1000), rand.Uint64(), rand.Uint64())
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	for i := 0; b.Len() < 20000; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%26], letters[i/26%36], letters[i/936%36])
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// anonymousMB returns the process's own memory, without the pages of its program's file.
func anonymousMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kB, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kB / 1024
		}
	}
	return 0
}

func main() {
	flag.Parse()
	c := stand.NewCase(*dir, 110*time.Second)
	var targets []stand.Target
	for i := range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Must(err)
		name := fmt.Sprintf("s-%d", i)
		go serve(c, name, l)
		targets = append(targets, stand.Target{UID: name, Endpoint: l.Addr().String(), Zone: "kigali-dc1", Model: "std-4core", Group: 1, State: "up", Capacity: 1})
	}
	d := c.NewDiscovery(targets)
	listen := c.FreeAddress()
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "discovery": d.Addr(), "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":    map[string]any{"rev": 41, "all": true, "targets": targets},
		"settings": settings(),
	})
	c.Must(err)
	n := c.StartNode("n0", listen, config, "n0.json", "NODE_LISTEN="+listen, "NODE_DISCOVERY="+d.Addr(), "NODE_CONFIG="+c.Path("n0.json"))
	n.AwaitReady()

	var ends atomic.Bool
	var peak float64
	var killed atomic.Bool
	watched := make(chan struct{})
	go func() { // the platform: over memory_mb the edge node is killed
		defer close(watched)
		for next := time.Now(); !ends.Load(); time.Sleep(10 * time.Millisecond) {
			mb := anonymousMB(n.PID())
			peak = max(peak, mb)
			if time.Now().After(next) {
				c.Logf("node n0: %.0f MB", mb)
				next = next.Add(500 * time.Millisecond)
			}
			if mb > memoryMB {
				killed.Store(true)
				c.Sayf("node n0 uses %.1f MB, more than its %d MB: killed", mb, memoryMB)
				n.Kill()
				return
			}
		}
	}()

	var served, refused, failed, none atomic.Int64
	var wg sync.WaitGroup
	idle := make(chan *stand.Client, 100)
	ask := func() {
		defer wg.Done()
		var cl *stand.Client
		select {
		case cl = <-idle:
		default:
			cl = &stand.Client{Address: listen}
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		raw := fmt.Sprintf("POST /visit-update?account=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Tariff: standard\r\nX-Time-Left: 7500m\r\nIdempotency-Key: %s\r\nContent-Length: 6\r\nX-Weight: units=1,spread=2,first=0\r\n\r\nupdate",
			rand.IntN(1000), id, id)
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
		select {
		case idle <- cl:
		default:
			cl.Close()
		}
	}
	var badAnswered, badClosed atomic.Int64
	badClient := func() {
		for !ends.Load() && !killed.Load() {
			cl := &stand.Client{Address: listen}
			a := cl.Do(halfRequest(), "POST", 6*time.Second)
			if a.Status != 0 {
				badAnswered.Add(1)
			} else {
				badClosed.Add(1)
			}
			cl.Close()
		}
	}
	began := time.Now()
	next := began
	hasBad := false
	for time.Since(began).Seconds() < *seconds && !killed.Load() {
		if c.Trouble && !hasBad && time.Since(began) > *calm {
			hasBad = true
			c.Logf("%d bad clients connect, each again as soon as its connection ends", *bad)
			for range *bad {
				go badClient()
			}
		}
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		wg.Add(1)
		go ask()
	}
	wg.Wait()
	ends.Store(true)
	<-watched
	c.Sayf("served %d, refused %d, failed %d, no answer %d; bad clients: %d answered, %d closed; most memory %.1f MB of %d",
		served.Load(), refused.Load(), failed.Load(), none.Load(), badAnswered.Load(), badClosed.Load(), peak, memoryMB)
	switch {
	case killed.Load():
		c.End(stand.Broken)
	case n.Gone():
		c.End(stand.Broken)
	case served.Load() == 0:
		c.End(stand.CanNot)
	}
	c.End(stand.Held)
}
