// Case 3: a repeat over HTTP/2 whose last byte is sent after the servers have forgotten its key.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"lockflow/review/testdata/stand"
)

const (
	window     = 900 * time.Millisecond // repeat_window of class ablage
	memory     = window + 250*time.Millisecond
	minWork    = 150 * time.Millisecond
	maxWork    = 260 * time.Millisecond
	slowness   = 6                       // times as long as usual
	slowRead   = 1300 * time.Millisecond // until a slow server reads a body and returns its window
	rounds     = 4
	roundTime  = 20 * time.Second
	slowTime   = 12 * time.Second // of a round, from its begin on
	burst      = 18               // updates with long bodies at the begin of a round
	closing    = 120 * time.Millisecond
	bodyBytes  = 64 << 10 // as long as a body may be
	usualBytes = 212
)

// zone is the memory that the servers of a zone share: the keys that they have run.
type zone struct {
	c  *stand.Case
	mu sync.Mutex
	at map[string]time.Time // when the first attempt with this key came whole
	n  map[string]int       // how often it was run
}

// run runs a request, unless its key is still known.
func (z *zone) run(server, id, key string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if first, ok := z.at[key]; ok && time.Since(first) < memory {
		z.c.Logf("%s: request %s came whole and is a repeat: dropped", server, id)
		return
	}
	if first, ok := z.at[key]; ok {
		z.c.Logf("%s: request %s came whole %v after its first run and runs again", server, id, time.Since(first).Round(time.Millisecond))
	} else {
		z.c.Logf("%s: request %s came whole and runs", server, id)
		z.at[key] = time.Now()
	}
	z.n[key]++
}

// server is an app server that speaks HTTP/2, of one zone.
type server struct {
	c      *stand.Case
	name   string
	zone   *zone
	l      net.Listener
	isSlow atomic.Bool  // it works and reads bodies slowly
	closes *atomic.Bool // it is about to close its connections, and answers nothing any more

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// closeAll closes all connections.
func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.Logf("%s: closes its %d connections", s.name, len(s.conns))
	for conn := range s.conns {
		conn.Close()
	}
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

type stream struct {
	id, key string
	body    int
}

func (s *server) handle(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(conn, preface); err != nil {
		return
	}
	var mu sync.Mutex // of the framer's writes
	framer := http2.NewFramer(conn, conn)
	framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	framer.WriteSettings() // the windows are those of RFC 9113 at the start: 65,535 bytes
	streams := make(map[uint32]*stream)
	finish := func(number uint32, st *stream) {
		s.zone.run(s.name, st.id, st.key)
		work := minWork + rand.N(maxWork-minWork)
		if s.isSlow.Load() {
			work *= slowness
		}
		time.AfterFunc(work, func() {
			if s.closes.Load() {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			var block bytes.Buffer
			hpack.NewEncoder(&block).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
			framer.WriteHeaders(http2.HeadersFrameParam{StreamID: number, BlockFragment: block.Bytes(), EndHeaders: true})
			framer.WriteData(number, true, []byte("answer to "+st.id))
		})
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				mu.Lock()
				framer.WriteSettingsAck()
				mu.Unlock()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				mu.Lock()
				framer.WritePing(true, f.Data)
				mu.Unlock()
			}
		case *http2.MetaHeadersFrame:
			st := &stream{}
			for _, field := range f.Fields {
				switch field.Name {
				case "x-correlation-id":
					st.id = field.Value
				case "idempotency-key":
					st.key = field.Value
				}
			}
			streams[f.StreamID] = st
			s.c.Logf("%s: head of request %s", s.name, st.id)
			if f.StreamEnded() {
				finish(f.StreamID, st)
			}
		case *http2.DataFrame:
			st := streams[f.StreamID]
			if st == nil {
				continue
			}
			st.body += len(f.Data())
			if n := uint32(f.Length); n > 0 {
				isLast, number := f.StreamEnded(), f.StreamID
				give := func() {
					mu.Lock()
					defer mu.Unlock()
					framer.WriteWindowUpdate(0, n)
					if !isLast {
						framer.WriteWindowUpdate(number, n)
					}
				}
				if s.isSlow.Load() {
					time.AfterFunc(slowRead, give)
				} else {
					give()
				}
			}
			if f.StreamEnded() {
				delete(streams, f.StreamID)
				s.c.Logf("%s: last byte of request %s, %d of body", s.name, st.id, st.body)
				finish(f.StreamID, st)
			}
		case *http2.RSTStreamFrame:
			if st := streams[f.StreamID]; st != nil {
				s.c.Logf("%s: request %s is reset, after %d of body", s.name, st.id, st.body)
			}
			delete(streams, f.StreamID)
		case *http2.GoAwayFrame:
			return
		}
	}
}

const config = `
protocol = "platform"

[process]
cores = 1
memory_mb = 192
descriptors = 1024

[[listeners]]
address = "%s"

[classes.ablage]
aim = "2.5s"
deadline = "9s"
repeats = "keyed"
key_scope = "zone"
repeat_window = "900ms"
worth = 3
late_share = 0.1

[plans.landesamt]
price = 1.5
rate = 20
depth = 40
over_cost = 1.2

[services.archiv]
source = { kind = "discovery", address = "%s" }
servers = { protocol = "http/2" }
attempts = 2
connect_timeout = "400ms"
keepalive = "20s"
units_top = 3

[[routes]]
service = "archiv"
`

func main() {
	dir := flag.String("dir", "review/3", "the case's folder")
	flag.Parse()
	c := stand.NewCase(*dir, 100*time.Second)
	var zones []*zone
	var closes, never atomic.Bool
	var closer, slow *server
	var targets []stand.Target
	for i, name := range []string{"west", "ost", "insel"} {
		z := &zone{c: c, at: make(map[string]time.Time), n: make(map[string]int)}
		zones = append(zones, z)
		for j := range 2 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Must(err)
			s := &server{c: c, name: fmt.Sprintf("s-%s-%d", name, j), zone: z, l: l, closes: &never, conns: make(map[net.Conn]bool)}
			switch {
			case i == 0 && j == 0:
				closer, s.closes = s, &closes
			case i == 0:
				slow = s
			}
			go s.serve()
			targets = append(targets, stand.Target{UID: s.name, Endpoint: l.Addr().String(), Zone: name, Model: "regal-8", Group: i, State: "up", Capacity: 1})
		}
	}
	d := c.NewDiscovery(targets)
	listen := c.FreeAddress()
	text := []byte(fmt.Sprintf(config, listen, d.Addr()))
	n := c.StartNode("n0", listen, text, "lockflow.toml", "LOCKFLOW_CONFIG="+c.Path("lockflow.toml"), "NODE_CONFIG=")
	n.AwaitReady()

	var served, refused, failed, none atomic.Int64
	var wg sync.WaitGroup
	ask := func(length int) {
		defer wg.Done()
		cl := &stand.Client{Address: listen}
		defer cl.Close()
		id, key := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
		raw := fmt.Sprintf("POST /ablage?account=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Tariff: landesamt\r\nX-Time-Left: 9000m\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n%s",
			rand.IntN(1000), id, key, length, strings.Repeat("x", length))
		c.Logf("client: sends request %s with %d of body", id, length)
		a := cl.Do([]byte(raw), "POST", 9500*time.Millisecond)
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
	var ends atomic.Bool
	usual := make(chan struct{})
	go func() { // usual updates, ten a second
		defer close(usual)
		for !ends.Load() {
			wg.Add(1)
			go ask(usualBytes)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(5 * time.Second)
	for range rounds {
		next := time.Now().Add(roundTime)
		slow.isSlow.Store(true)
		c.Logf("%s is slow from now on", slow.name)
		closes.Store(c.Trouble)
		for range burst {
			wg.Add(1)
			go ask(bodyBytes)
		}
		time.Sleep(closing)
		if c.Trouble {
			closer.closeAll()
			closes.Store(false)
		}
		time.Sleep(slowTime)
		slow.isSlow.Store(false)
		c.Logf("%s is no longer slow", slow.name)
		time.Sleep(time.Until(next))
	}
	ends.Store(true)
	<-usual
	wg.Wait()
	time.Sleep(2 * time.Second) // what is still on its way comes
	run := make(map[string]int)
	for _, z := range zones {
		z.mu.Lock()
		for key, times := range z.n {
			run[key] += times
		}
		z.mu.Unlock()
	}
	twice := 0
	for key, times := range run {
		if times > 1 {
			twice++
			c.Logf("key %s was run %d times", key, times)
		}
	}
	c.Sayf("served %d, refused %d, failed %d, no answer %d; run twice: %d", served.Load(), refused.Load(), failed.Load(), none.Load(), twice)
	switch {
	case twice > 0:
		c.End(stand.Broken)
	case served.Load() == 0:
		c.End(stand.CanNot)
	}
	c.End(stand.Held)
}
