package generichttptest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/responseclass"
	"lockflow/internal/retrybuffer"
	"lockflow/internal/service"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upstream"
)

// retryPastBuffer is a faulty request that is retried although the beginning of its body is no longer buffered: a retry
// sends only the remaining body.
type retryPastBuffer struct {
	*upstream.RelayedRequest
	remainingBody io.Reader
}

func (p retryPastBuffer) CanRetry() bool { return true }

func (p retryPastBuffer) Attempt(ctx, life context.Context, u *upstream.Upstream, pool *upstream.Pool) upstream.Outcome {
	q := *p.RelayedRequest
	q.Body = retrybuffer.New(p.remainingBody, 0, nil)
	return q.Attempt(ctx, life, u, pool)
}

// retryAfterFirstByte is a faulty request that is retried when its answer breaks after the client has received the
// beginning: the body of the retry's answer is appended to the received part.
type retryAfterFirstByte struct{ *upstream.RelayedRequest }

func (a retryAfterFirstByte) Attempt(ctx, life context.Context, u *upstream.Upstream, pool *upstream.Pool) upstream.Outcome {
	o := a.RelayedRequest.Attempt(ctx, life, u, pool)
	if o.Stream == nil {
		return o
	}
	delivered, err := io.ReadAll(o.Stream)
	o.Stream.Close()
	o.Stream, o.Body, o.IsFinal = nil, delivered, true
	if err == nil {
		return o
	}
	for range 20 {
		next := a.RelayedRequest.Attempt(ctx, life, u, pool)
		rest := next.Body
		if next.Stream != nil {
			rest, err = io.ReadAll(next.Stream)
			next.Stream.Close()
		}
		if next.Status == http.StatusOK && err == nil {
			o.Body = append(delivered, rest...)
			return o
		}
		err = nil
	}
	return o
}

// lockedReader is a request body that an abandoned attempt may still read while a retry reads it.
type lockedReader struct {
	mu sync.Mutex
	r  io.Reader
}

func (s *lockedReader) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Read(p)
}

// faultyOrigins starts three origins with random faults and returns them with a discovery source that lists them.
func faultyOrigins(t *testing.T, c *attemptRecorder) (origins []*fake.Origin, src discovery.Source) {
	src.Kind = discovery.Static
	for i := range 3 {
		o := &fake.Origin{OnRequest: c.record, Fault: injectFault, Seed: uint64(i)}
		if err := o.Start(); err != nil {
			t.Fatal(err)
		}
		origins = append(origins, o)
		src.Endpoints = append(src.Endpoints, discovery.Endpoint{UID: fmt.Sprint(i), Address: o.Addr(), State: "up", Capacity: 1})
	}
	return origins, src
}

// runService sends one random request per seed to a service without a front, and returns descriptions of the violations.
// wrap replaces the request that the service forwards; nil leaves it unchanged.
func runService(t *testing.T, seeds int, wrap func(*upstream.RelayedRequest, io.Reader) service.Forwarder) (violations []string, served int) {
	c := &attemptRecorder{attemptCounts: make(map[string]int)}
	origins, src := faultyOrigins(t, c)
	ready := make(chan struct{})
	s, err := service.New(service.Options{
		Source: src, AnyMethod: true, OnReady: func() { close(ready) },
		Settings: control.Settings{
			GroupSize: 1, MaxAttempts: 4, MaxRetryAfter: time.Second, CanCancel: true, Plans: []control.Plan{{Name: "p", Price: 1}},
			Classes: []control.Class{{Name: "any", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		},
		Upstream: upstream.Options{ConnectTimeout: time.Second, KeepAliveTimeout: 15 * time.Second, SocketLimiter: limits.NewSocketLimiter(1000)},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	testkit.Next(t, ready)
	rules := responseclass.DefaultRules()
	var mu sync.Mutex
	var clients sync.WaitGroup
	lastSeed := 0
	for range 8 {
		clients.Go(func() {
			for {
				mu.Lock()
				lastSeed++
				seed := lastSeed
				mu.Unlock()
				if seed > seeds {
					return
				}
				rng := rand.New(rand.NewPCG(uint64(seed), 22))
				size, wantBytes := int64(rng.IntN(200_000)), int64(100_000+rng.IntN(200_000))
				body := &lockedReader{r: fake.PatternReader(size)}
				q := &upstream.RelayedRequest{
					RequestMethod: "POST", Target: "/x", Host: "h", ContentLength: -1, ResponseRules: &rules, MaxBufferedBytes: 1 << 16, IdleTimeout: time.Second, ResponseTimeout: time.Second,
					Header: http.Header{fake.HeaderScript: {fmt.Sprintf("frame=chunked&body=%d", wantBytes)}, "X-Request-Id": {fmt.Sprint(seed)}, "X-Want": {fake.HashOf(size)}},
					Body:   retrybuffer.New(body, 1<<16, nil),
				}
				x := &service.Exchange{
					Forwarder: service.Forwarder(q), Deadline: time.Now().Add(2 * time.Second),
					Request: control.Request{ID: fmt.Sprint(seed), Class: "any", Plan: "p", Customer: "c", Units: 1, FanOut: 1, HasPendingBody: true},
				}
				if wrap != nil {
					x.Forwarder = wrap(q, body)
				}
				a, ok := s.Do(ctx, x)
				if !ok {
					continue
				}
				n, hash, err := readAnswer(a)
				mu.Lock()
				if a.Status == http.StatusOK && err == nil {
					if served++; n != wantBytes || hash != fake.HashOf(wantBytes) {
						violations = append(violations, fmt.Sprintf("seed %d: complete answer of %d bytes or wrong content, want %d bytes", seed, n, wantBytes))
					}
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	cancel()
	if err := testkit.Next(t, done); err != nil {
		t.Error(err)
	}
	for _, o := range origins {
		o.Close()
	}
	for _, id := range c.corruptIDs {
		violations = append(violations, id+": a server received a complete body that differs from the sent one")
	}
	return violations, served
}

// readAnswer reads an answer's body to the end and returns its length and hash.
func readAnswer(a service.Answer) (n int64, hash string, err error) {
	in := io.Reader(bytes.NewReader(a.Body))
	if a.Stream != nil {
		in = a.Stream
		defer a.Stream.Close()
	}
	h := sha256.New()
	n, err = io.Copy(h, in)
	return n, hex.EncodeToString(h.Sum(nil)[:8]), err
}

// The checks of attempt accounting must be able to fail: with requests that break a rule of retries on purpose they report
// violations, and without them none.
func TestFaultyForwardersAreDetected(t *testing.T) {
	if violations, served := runService(t, 300, nil); len(violations) > 0 || served < 50 {
		t.Errorf("%d served, want at least 50; violations: %v", served, violations)
	}
	for name, wrap := range map[string]func(*upstream.RelayedRequest, io.Reader) service.Forwarder{
		"retry past the buffered part": func(q *upstream.RelayedRequest, src io.Reader) service.Forwarder { return retryPastBuffer{q, src} },
		"retry after the first byte": func(q *upstream.RelayedRequest, _ io.Reader) service.Forwarder {
			return retryAfterFirstByte{q}
		},
	} {
		t.Run(name, func(t *testing.T) {
			violations, served := runService(t, 300, wrap)
			t.Logf("%d served, %d violations", served, len(violations))
			if len(violations) == 0 {
				t.Error("no violation was detected")
			}
		})
	}
}
