package generichttptest

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testkit"
)

// tally is what origins ran, by request. An attempt of which a server has read any byte may have run.
type tally struct {
	mu   sync.Mutex
	came map[string]int
	bad  []string // bodies taken for whole that are not what was sent
}

func (c *tally) saw(r fake.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	c.came[id]++
	if want := r.Header.Get("X-Want"); r.IsComplete && want != "" && want != r.Hash {
		c.bad = append(c.bad, id)
	}
}

// faults has a server break off at any byte, either way, or fall silent.
func faults(rng *rand.Rand, s url.Values) {
	switch rng.IntN(10) {
	case 0:
		s.Set("reset", strconv.Itoa(rng.IntN(120_000)))
	case 1:
		s.Set("cut", strconv.Itoa(rng.IntN(400)))
	case 2:
		s.Set("cut", strconv.Itoa(rng.IntN(120_000)))
	case 3:
		s.Set("status", strconv.Itoa([]int{500, 502, 503, 504}[rng.IntN(4)]))
	case 4:
		s.Set("unread", "1")
	case 5:
		if rng.IntN(20) == 0 {
			s.Set("silent", "1")
		}
	}
}

// chance is one request that a seed draws, and how its client behaves.
type chance struct {
	method string
	body   int64
	chunks bool
	leave  int64 // the client closes after so many bytes of the request; below zero it stays
	half   int64 // and after so many of the answer
	script string
}

func draw(rng *rand.Rand) chance {
	c := chance{method: []string{"GET", "POST", "PUT", "DELETE"}[rng.IntN(4)], leave: -1, half: -1}
	if c.method != "GET" {
		c.body, c.chunks = []int64{0, 10, 5000, 66000, 300_000}[rng.IntN(5)], rng.IntN(2) == 0
	}
	if rng.IntN(10) == 0 {
		c.leave = rng.Int64N(c.body + 200)
	}
	if rng.IntN(10) == 0 {
		c.half = rng.Int64N(100_000)
	}
	c.script = fmt.Sprintf("frame=%s&body=%d", []string{"length", "chunked"}[rng.IntN(2)], []int{0, 9, 5000, 70_000, 300_000}[rng.IntN(5)])
	return c
}

// play sends a request and tells what its client took for a whole answer: ok is one of the
// status 200 with its body's length and hash.
func (ch chance) play(addr, id string) (status int, n int64, hash string, whole bool) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, 0, "", false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	go func() {
		e := exchange{
			method: ch.method, target: "/x", script: ch.script, body: ch.body,
			fields: []string{"X-Request-Id: " + id, "X-Want: " + fake.HashOf(ch.body)},
		}
		if ch.body > 0 {
			e.frame = "length"
			if ch.chunks {
				e.frame = "chunked"
			}
		}
		var w io.Writer = c
		if ch.leave >= 0 {
			w = &stopAt{c, ch.leave}
		}
		e.write(w, "h")
	}()
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: ch.method})
	if err != nil {
		return 0, 0, "", false
	}
	var in io.Reader = r.Body
	if ch.half >= 0 {
		in = io.LimitReader(in, ch.half)
	}
	h := sha256.New()
	n, err = io.Copy(h, in)
	return r.StatusCode, n, hex.EncodeToString(h.Sum(nil)[:8]), err == nil && (ch.half < 0 || n < ch.half)
}

// stopAt closes a connection after some bytes.
type stopAt struct {
	c    net.Conn
	left int64
}

func (s *stopAt) Write(p []byte) (int, error) {
	n, err := s.c.Write(p[:min(int64(len(p)), s.left)])
	if s.left -= int64(n); s.left == 0 {
		s.c.Close()
	}
	return n, err
}

// run plays many seeds and gives what was wrong.
func run(t *testing.T, seeds int, service, more string) (wrong []string, served int64) {
	c := &tally{came: make(map[string]int)}
	var origins []*fake.Origin
	for i := range 3 {
		origins = append(origins, &fake.Origin{OnRequest: c.saw, Fault: faults, Seed: uint64(i)})
	}
	o := beginWith(t, "drain = { idle = \"0s\", accept = \"0s\", most = \"500ms\" }", service, more, origins...)
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		wrong = append(wrong, fmt.Sprintf(format, args...))
		mu.Unlock()
	}
	var next, ok atomic.Int64
	var all sync.WaitGroup
	single := sync.Map{}
	for range 16 {
		all.Go(func() {
			for {
				seed := next.Add(1)
				if seed > int64(seeds) {
					return
				}
				ch := draw(rand.New(rand.NewPCG(uint64(seed), 21)))
				id := fmt.Sprint("r-", seed)
				if ch.method != "GET" {
					single.Store(id, true)
				}
				status, n, hash, whole := ch.play(o.Node.Addr(), id)
				if status != 200 || !whole {
					continue
				}
				ok.Add(1)
				s, _ := url.ParseQuery(ch.script)
				if want, _ := strconv.ParseInt(s.Get("body"), 10, 64); n != want || hash != fake.HashOf(want) {
					say("seed %d: a client took %d bytes for the whole %d", seed, n, want)
				}
			}
		})
	}
	all.Wait()
	idle(t, o)
	for _, one := range origins {
		one.Close() // what its connections still read is told before
	}
	for id, n := range c.came {
		if _, once := single.Load(id); once && n > 1 {
			say("%s came to servers %d times", id, n)
		}
	}
	for _, id := range c.bad {
		say("%s: a server took for whole what was not sent", id)
	}
	return wrong, ok.Load()
}

const brief = `[classes.read]
aim = "500ms"
deadline = "1s"
repeats = "free"
[classes.write]
aim = "500ms"
deadline = "1s"
repeats = "never"
[[routes]]
service = "app"
`

// Whatever breaks at whatever byte, on either side: no single-shot request comes to a server twice,
// no client takes a part of an answer for the whole, no server a part of a request.
func TestTallies(t *testing.T) {
	seeds := 2000
	if testing.Short() {
		seeds = 300
	}
	wrong, served := run(t, seeds, "", brief)
	t.Logf("%d seeds, %d served whole", seeds, served)
	if len(wrong) > 0 {
		t.Errorf("%d wrong, the first: %s", len(wrong), wrong[0])
	}
	if served < int64(seeds)/4 {
		t.Errorf("only %d of %d were served", served, seeds)
	}
}

// The same with a class that says that any request may run again: the check must find it.
func TestTalliesFindARepeat(t *testing.T) {
	wrong, _ := run(t, 400, "", strings.Replace(brief, `repeats = "never"`, `repeats = "free"`, 1))
	if len(wrong) == 0 {
		t.Error("requests that ran again were not found")
	}
}
