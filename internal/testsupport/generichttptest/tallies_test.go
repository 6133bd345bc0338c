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

// attemptRecorder counts the attempts that origins received, by request. Any attempt of which a server has read a byte
// counts, since it may have been executed.
type attemptRecorder struct {
	mu            sync.Mutex
	attemptCounts map[string]int
	corruptIDs    []string // requests whose body a server received as complete although it differs from the sent one
}

func (c *attemptRecorder) record(r fake.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	c.attemptCounts[id]++
	if want := r.Header.Get("X-Want"); r.IsComplete && want != "" && want != r.Hash {
		c.corruptIDs = append(c.corruptIDs, id)
	}
}

// injectFault makes a server abort a request or an answer at a random byte, answer with an error, or not answer.
func injectFault(rng *rand.Rand, s url.Values) {
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

// randomRequest is a request drawn from a seed, with the behaviour of its client.
type randomRequest struct {
	method             string
	body               int64
	isChunked          bool
	closeAfterSent     int64 // number of request bytes after which the client closes the connection; negative means never
	closeAfterReceived int64 // number of answer bytes after which the client closes the connection; negative means never
	script             string
}

func drawRequest(rng *rand.Rand) randomRequest {
	c := randomRequest{method: []string{"GET", "POST", "PUT", "DELETE"}[rng.IntN(4)], closeAfterSent: -1, closeAfterReceived: -1}
	if c.method != "GET" {
		c.body, c.isChunked = []int64{0, 10, 5000, 66000, 300_000}[rng.IntN(5)], rng.IntN(2) == 0
	}
	if rng.IntN(10) == 0 {
		c.closeAfterSent = rng.Int64N(c.body + 200)
	}
	if rng.IntN(10) == 0 {
		c.closeAfterReceived = rng.Int64N(100_000)
	}
	c.script = fmt.Sprintf("frame=%s&body=%d", []string{"length", "chunked"}[rng.IntN(2)], []int{0, 9, 5000, 70_000, 300_000}[rng.IntN(5)])
	return c
}

// send sends the request and returns the status of the answer and the length and hash of its body. isComplete reports
// whether the client received an answer that looks complete; its status need not be 200.
func (ch randomRequest) send(addr, id string) (status int, n int64, hash string, isComplete bool) {
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
			e.framing = "length"
			if ch.isChunked {
				e.framing = "chunked"
			}
		}
		var w io.Writer = c
		if ch.closeAfterSent >= 0 {
			w = &closingWriter{c, ch.closeAfterSent}
		}
		e.write(w, "h")
	}()
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: ch.method})
	if err != nil {
		return 0, 0, "", false
	}
	var in io.Reader = r.Body
	if ch.closeAfterReceived >= 0 {
		in = io.LimitReader(in, ch.closeAfterReceived)
	}
	h := sha256.New()
	n, err = io.Copy(h, in)
	return r.StatusCode, n, hex.EncodeToString(h.Sum(nil)[:8]), err == nil && (ch.closeAfterReceived < 0 || n < ch.closeAfterReceived)
}

// closingWriter closes a connection after a given number of bytes.
type closingWriter struct {
	conn      net.Conn
	remaining int64
}

func (s *closingWriter) Write(p []byte) (int, error) {
	n, err := s.conn.Write(p[:min(int64(len(p)), s.remaining)])
	if s.remaining -= int64(n); s.remaining == 0 {
		s.conn.Close()
	}
	return n, err
}

// runSeeds sends one random request per seed through a node and returns descriptions of the violations.
func runSeeds(t *testing.T, seeds int, service, more string) (violations []string, served int64) {
	c := &attemptRecorder{attemptCounts: make(map[string]int)}
	var origins []*fake.Origin
	for i := range 3 {
		origins = append(origins, &fake.Origin{OnRequest: c.record, Fault: injectFault, Seed: uint64(i)})
	}
	o := startNodeWithConfig(t, "drain = { idle = \"0s\", accept = \"0s\", most = \"500ms\" }", service, more, origins...)
	var mu sync.Mutex
	report := func(format string, args ...any) {
		mu.Lock()
		violations = append(violations, fmt.Sprintf(format, args...))
		mu.Unlock()
	}
	var lastSeed, servedCount atomic.Int64
	var clients sync.WaitGroup
	nonIdempotent := sync.Map{}
	for range 16 {
		clients.Go(func() {
			for {
				seed := lastSeed.Add(1)
				if seed > int64(seeds) {
					return
				}
				ch := drawRequest(rand.New(rand.NewPCG(uint64(seed), 21)))
				id := fmt.Sprint("r-", seed)
				if ch.method != "GET" {
					nonIdempotent.Store(id, true)
				}
				status, n, hash, isComplete := ch.send(o.Node.Addr(), id)
				if status != 200 || !isComplete {
					continue
				}
				servedCount.Add(1)
				s, _ := url.ParseQuery(ch.script)
				if want, _ := strconv.ParseInt(s.Get("body"), 10, 64); n != want || hash != fake.HashOf(want) {
					report("seed %d: a client received a complete answer of %d bytes or wrong content, want %d bytes", seed, n, want)
				}
			}
		})
	}
	clients.Wait()
	waitUntilIdle(t, o)
	for _, origin := range origins {
		origin.Close() // waits for its connections, so that all requests are recorded
	}
	for id, n := range c.attemptCounts {
		if _, isNonIdempotent := nonIdempotent.Load(id); isNonIdempotent && n > 1 {
			report("%s reached servers %d times", id, n)
		}
	}
	for _, id := range c.corruptIDs {
		report("%s: a server received a complete body that differs from the sent one", id)
	}
	return violations, servedCount.Load()
}

const readWriteClasses = `[classes.read]
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

// After whichever byte a client or a server aborts, a request that may not be repeated reaches servers at most once, no
// client receives a truncated answer that looks complete, and no server a truncated request that looks complete.
func TestAttemptAccounting(t *testing.T) {
	seeds := 2000
	if testing.Short() {
		seeds = 300
	}
	violations, served := runSeeds(t, seeds, "", readWriteClasses)
	t.Logf("%d seeds, %d served completely", seeds, served)
	if len(violations) > 0 {
		t.Errorf("%d violations, the first: %s", len(violations), violations[0])
	}
	if served < int64(seeds)/4 {
		t.Errorf("only %d of %d requests were served", served, seeds)
	}
}

// With a class that allows any request to be repeated, the check must detect repeated requests.
func TestAttemptAccountingDetectsRetry(t *testing.T) {
	violations, _ := runSeeds(t, 400, "", strings.Replace(readWriteClasses, `repeats = "never"`, `repeats = "free"`, 1))
	if len(violations) == 0 {
		t.Error("repeated requests were not detected")
	}
}
