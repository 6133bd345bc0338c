// Not a case (three are handed in): odd forms of a request that an app server gets in another form.
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
	"time"

	"lockflow/review/testdata/stand"
)

func main() {
	dir := flag.String("dir", "review/testdata/forms", "the folder of the record")
	flag.Parse()
	c := stand.NewCase(*dir, 60*time.Second)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	var mu sync.Mutex
	got := make(map[string][]string) // by idempotency key or id, what came
	go func() {
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
					id, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key")
					came := fmt.Sprintf("%s %s id=%q key=%q", r.Method, r.RequestURI, id, key)
					mu.Lock()
					got[r.Header.Get("X-Mark")] = append(got[r.Header.Get("X-Mark")], came)
					mu.Unlock()
					c.Logf("app server: %s", came)
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	targets := []stand.Target{{UID: "s", Endpoint: l.Addr().String(), Zone: "kigali-dc1", Model: "std-4core", Group: 1, State: "up", Capacity: 1}}
	d := c.NewDiscovery(targets)
	listen := c.FreeAddress()
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "discovery": d.Addr(), "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 41, "all": true, "targets": targets},
		"settings": map[string]any{
			"self-index": 0, "group-size": 2, "zone": "kigali-dc1", "discovery": "pushed",
			"classes": []map[string]any{
				{"name": "roster-read", "aim": 2000.0, "deadline": 7500.0, "effect": "free", "worth": 1.0},
				{"name": "visit-update", "aim": 2000.0, "deadline": 7500.0, "effect": "guarded", "key-scope": "cell", "repeat-window": 15000.0, "worth": 5.0},
			},
			"tariffs": []map[string]any{{"name": "standard", "value-factor": 1.1, "quota-rate": 40.0, "depth": 180.0}},
			"limits":  map[string]any{"connect-timeout": 250.0, "keepalive": 15000.0, "send-cap": 6},
			"domain":  map[string]any{"units-top": 4},
		},
	})
	c.Must(err)
	n := c.StartNode("n0", listen, config, "n0.json", "NODE_LISTEN="+listen, "NODE_DISCOVERY="+d.Addr(), "NODE_CONFIG="+c.Path("n0.json"))
	n.AwaitReady()
	changed := 0
	const account = "account=0000000000000001"
	for i, form := range []struct{ method, target, more, want string }{
		{"GET", "/roster-read?" + account, "", "GET /roster-read?" + account + ` id="i" key=""`},
		{"POST", "/visit-update?" + account, "Idempotency-Key: k\r\nContent-Length: 0\r\n", "POST /visit-update?" + account + ` id="i" key="k"`},
		{"GET", "http:/roster-read?" + account, "", "400, or unchanged"},
		{"GET", "http:/roster-read?u=a://b/visit-update&" + account, "", "400, or unchanged"},
		{"POST", "/visit-update?" + account, "Idempotency-Key: k\r\nContent-Length: 0\r\nConnection: Idempotency-Key\r\n", "POST /visit-update?" + account + ` id="i" key="k"`},
		{"POST", "/visit-update?" + account, "Idempotency-Key: k\r\nContent-Length: 0\r\nConnection: X-Correlation-Id\r\n", "POST /visit-update?" + account + ` id="i" key="k"`},
	} {
		mark := fmt.Sprint(i)
		raw := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Mark: %s\r\nX-Correlation-Id: i\r\nX-Tariff: standard\r\nX-Time-Left: 2000m\r\n%s\r\n", form.method, form.target, mark, form.more)
		cl := &stand.Client{Address: listen}
		a := cl.Do([]byte(raw), form.method, 3*time.Second)
		cl.Close()
		mu.Lock()
		came := got[mark]
		mu.Unlock()
		isSame := len(came) == 0 || len(came) == 1 && came[0] == form.want
		if !isSame {
			changed++
		}
		c.Sayf("sent %s %s %q: answered %d; app server got %q", form.method, form.target, form.more, a.Status, came)
	}
	c.Sayf("changed: %d", changed)
	if changed > 0 {
		c.End(stand.Broken)
	}
	c.End(stand.Held)
}
