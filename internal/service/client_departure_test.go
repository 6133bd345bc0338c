package service

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/responseclass"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/upstream"
)

// recordingController is a controller that records the results of attempts, by request id.
type recordingController struct {
	*control.Controller
	mu      sync.Mutex
	results map[string][]control.AttemptResult
}

func (n *recordingController) Handle(now time.Duration, e control.Event) []control.Action {
	if r, ok := e.(control.AttemptResult); ok {
		n.mu.Lock()
		n.results[r.ID] = append(n.results[r.ID], r)
		n.mu.Unlock()
	}
	return n.Controller.Handle(now, e)
}

func (n *recordingController) resultsOf(id string) []control.AttemptResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.results[id]
}

// barrier blocks the callers of pass until open is closed; arrived is closed when the first one calls it.
type barrier struct {
	arrived, open chan struct{}
	once          sync.Once
}

func newBarrier() *barrier { return &barrier{arrived: make(chan struct{}), open: make(chan struct{})} }

func (b *barrier) pass() { b.once.Do(func() { close(b.arrived) }); <-b.open }

// blockingLimiter is a ConnectionLimiter that blocks the next connection at a barrier before it is opened.
type blockingLimiter struct {
	limits.ConnectionLimiter
	mu       sync.Mutex
	nextDial *barrier
}

func (s *blockingLimiter) TryAcquire() bool {
	s.mu.Lock()
	b := s.nextDial
	s.nextDial = nil
	s.mu.Unlock()
	if b != nil {
		b.pass()
	}
	return s.ConnectionLimiter.TryAcquire()
}

// blockedForwarder is a request whose worker waits at a barrier before it makes the attempt.
type blockedForwarder struct {
	Forwarder
	*barrier
}

func (h blockedForwarder) Attempt(ctx, life context.Context, u *upstream.Upstream, p *upstream.Pool) upstream.Outcome {
	h.pass()
	return h.Forwarder.Attempt(ctx, life, u, p)
}

// notifyingForwarder is a request that closes a channel when its attempt has ended.
type notifyingForwarder struct {
	Forwarder
	ended chan struct{}
}

func (w notifyingForwarder) Attempt(ctx, life context.Context, u *upstream.Upstream, p *upstream.Pool) upstream.Outcome {
	defer close(w.ended)
	return w.Forwarder.Attempt(ctx, life, u, p)
}

// clientFunc is a client for which a test decides whether it still waits.
type clientFunc func() bool

func (a clientFunc) IsWaiting() bool { return a() }

// TestRequestOfDisconnectedClientIsNotSent checks that a request whose client disconnects before it is written is
// not written, whatever stage it has reached. The module is notified once that it was not sent, and the next
// request is served.
func TestRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	scenarios := map[string]func(r *disconnectTest, x *Exchange){
		"in the queue": func(r *disconnectTest, x *Exchange) { r.saturateServer(); r.disconnectAt(x, nil); r.unblockServer() },
		"at the worker": func(r *disconnectTest, x *Exchange) {
			b := newBarrier()
			x.Forwarder = blockedForwarder{x.Forwarder, b}
			r.disconnectAt(x, b)
		},
		"while connecting": func(r *disconnectTest, x *Exchange) { b := newBarrier(); r.limiter.nextDial = b; r.disconnectAt(x, b) },
		"right before the write": func(r *disconnectTest, x *Exchange) {
			x.Client = clientFunc(func() bool { r.cancelClient(); r.awaitDisconnectHandled(x); return true })
			r.disconnectAt(x, nil)
		},
		"reported by its socket": func(r *disconnectTest, x *Exchange) {
			x.Client = clientFunc(func() bool { return false })
			r.disconnectUnnoticed(x)
		},
		"in the event queue": func(r *disconnectTest, x *Exchange) { r.disconnectBeforeEventRuns(x, r.service, nil) },
		"in the replacement's event queue": func(r *disconnectTest, x *Exchange) {
			next := r.startService(r.service.Upstream())
			r.service.ReplaceWith(next)
			r.disconnectBeforeEventRuns(x, next, nil)
		},
		"opening the gate": func(r *disconnectTest, x *Exchange) {
			decided := make(chan bool, 1)
			x.Gate = &Gate{OnDecision: func(taken bool) { decided <- taken }}
			r.disconnectBeforeEventRuns(x, r.service, decided)
		},
		"at the closed gate": func(r *disconnectTest, x *Exchange) {
			decided := newBarrier()
			x.Gate = &Gate{OnDecision: func(bool) { close(decided.arrived) }}
			r.disconnectAt(x, decided)
			if sent := r.module.resultsOf("left"); len(sent) != 1 {
				r.t.Errorf("results before the gate opens: %+v, want one", sent)
			}
			x.OpenGate()
		},
	}
	for stage, scenario := range scenarios {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			for _, deadline := range []time.Duration{time.Minute, time.Hour} {
				for _, forwarder := range []string{"whole", "whole over HTTP/2", "relay", "relay over HTTP/2"} {
					t.Run(fmt.Sprint(stage, " ", class, " ", forwarder, " ", deadline), func(t *testing.T) {
						r := newDisconnectTest(t, class, forwarder, deadline)
						scenario(r, r.newExchange("left"))
						r.checkNotSent(stage)
					})
				}
			}
		}
	}
}

// checkNotSent checks that nothing of the request "left" was sent, whose client disconnected while it was at stage,
// and that the next request is served.
func (r *disconnectTest) checkNotSent(stage string) {
	testkit.Until(r.t, "the end of the request", func() bool { return r.service.Status().Requests == 0 })
	sent := r.module.resultsOf("left")
	if stage == "in the queue" && len(sent) > 0 || stage != "in the queue" && (len(sent) != 1 || sent[0].Reason != control.NotSent || !sent[0].IsFinal) {
		r.t.Errorf("attempt results of the disconnected request: %+v", sent)
	}
	if a, ok := r.service.Do(r.t.Context(), r.newExchange("next")); !ok || a.Status != http.StatusOK {
		r.t.Errorf("next request: answer %+v, %v", a, ok)
	}
	if r.serverSaw("left") || !r.serverSaw("next") {
		r.t.Errorf("requests at the server: %v, want only the next one", r.requestsSeen)
	}
	if stage == "reported by its socket" && r.connectionCount() != 1 {
		r.t.Errorf("%d connections, want 1: the connection of the unsent request was not reused", r.connectionCount())
	}
}

// disconnectTest is a service with one server, whose client disconnects.
type disconnectTest struct {
	t               *testing.T
	service         *Service
	serverAddress   string
	module          *recordingController
	limiter         *blockingLimiter
	class           string
	forwarder       string
	deadline        time.Duration
	cancelClient    context.CancelFunc
	blockedRequests sync.WaitGroup
	unblockRequests chan struct{} // closed to have the server answer the requests that saturate it

	mu              sync.Mutex
	requestsSeen    []string
	clientAddresses map[string]bool
}

func newDisconnectTest(t *testing.T, class, forwarder string, deadline time.Duration) *disconnectTest {
	r := &disconnectTest{
		t: t, class: class, forwarder: forwarder, deadline: deadline, limiter: &blockingLimiter{ConnectionLimiter: limits.NewSocketLimiter(100)},
		unblockRequests: make(chan struct{}), clientAddresses: make(map[string]bool),
	}
	r.serverAddress = startBothProtocols(t, r.serve)
	r.service = r.startService(nil)
	return r
}

// serve is the HTTP handler of the server. It blocks requests whose ids begin with f until unblockRequests is closed.
func (r *disconnectTest) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Test")
	r.mu.Lock()
	r.requestsSeen = append(r.requestsSeen, id)
	r.clientAddresses[q.RemoteAddr] = true
	r.mu.Unlock()
	if id[:1] == "f" {
		<-r.unblockRequests
	}
	_, _ = w.Write([]byte("ok"))
}

// startService starts a service, which uses the connections of another one unless shared is nil.
func (r *disconnectTest) startService(shared *upstream.Upstream) *Service {
	protocol := upstream.ProtocolHTTP1
	if strings.HasSuffix(r.forwarder, "over HTTP/2") {
		protocol = upstream.ProtocolHTTP2
	}
	set := threeClassSettings(r.deadline, time.Minute)
	set.Plans[0].MaxInFlight = 2
	return runReadyService(r.t, Options{
		Settings: set, Protocol: protocol, SharedUpstream: shared, AnyMethod: true, Source: staticSource(r.serverAddress, "s-1"),
		NewModule: func() (Module, error) {
			c, err := control.New(set, 1)
			r.module = &recordingController{Controller: c, results: make(map[string][]control.AttemptResult)}
			return r.module, err
		},
		Upstream: upstream.Options{ConnectTimeout: testkit.WaitTimeout, KeepAliveTimeout: time.Hour, SocketLimiter: r.limiter, HTTP2: upstream.HTTP2Options{MaxStreams: 10, MaxConnections: 1, StartsAtLastByte: true}},
	})
}

func (r *disconnectTest) newExchange(id string) *Exchange {
	h := http.Header{"X-Test": {id}}
	x := &Exchange{Request: control.Request{ID: id, Class: r.class, Plan: "p", Customer: "c", Units: 1, FanOut: 1}, Deadline: time.Now().Add(r.deadline)}
	if strings.HasPrefix(r.forwarder, "whole") {
		x.Forwarder = newForwarder(r.t, http.MethodPost, "body", h)
		return x
	}
	x.Forwarder = &upstream.RelayedRequest{RequestMethod: http.MethodGet, Target: "/x", Host: "h", Header: h, ContentLength: -1, ResponseRules: &responseclass.Rules{}, MaxBufferedBytes: 100, IdleTimeout: testkit.WaitTimeout, ResponseTimeout: testkit.WaitTimeout}
	return x
}

// disconnectAt has the client disconnect when its request has arrived at the barrier stage, which is then opened,
// or, if stage is nil, when the service has accepted the request.
func (r *disconnectTest) disconnectAt(x *Exchange, stage *barrier) {
	ctx, cancel := context.WithCancel(r.t.Context())
	r.cancelClient = cancel
	done := make(chan bool)
	go func() { _, ok := r.service.Do(ctx, x); done <- ok }()
	switch {
	case stage != nil:
		testkit.Next(r.t, stage.arrived)
		cancel()
	case x.Client == nil:
		testkit.Until(r.t, "the request to be queued", func() bool { return r.service.Status().Requests == 3 })
		cancel()
	}
	if testkit.Next(r.t, done) {
		r.t.Error("disconnected client got an answer")
	}
	r.awaitDisconnectHandled(x)
	if stage != nil {
		close(stage.open)
	}
}

// disconnectBeforeEventRuns has the client disconnect when its request, or the opening of its gate, is in the event
// queue of a loop. The loop is notified of the disconnect only after the resulting attempt has ended.
func (r *disconnectTest) disconnectBeforeEventRuns(x *Exchange, target *Service, gateDecision chan bool) {
	ctx, cancel := context.WithCancel(r.t.Context())
	done, attemptEnded := make(chan bool, 1), make(chan struct{})
	x.Forwarder = notifyingForwarder{x.Forwarder, attemptEnded}
	original := r.service
	queueEvent := func() { go func() { _, ok := original.Do(ctx, x); done <- ok }() }
	if gateDecision != nil {
		queueEvent()
		testkit.Next(r.t, gateDecision)
		queueEvent = x.OpenGate
	}
	before, after := newBarrier(), newBarrier()
	target.Post(before.pass)
	testkit.Next(r.t, before.arrived)
	queueEvent()
	testkit.Until(r.t, "the event to be queued", func() bool { return len(target.currentLoop().events) == 1 })
	target.Post(after.pass)
	cancel()
	if testkit.Next(r.t, done) {
		r.t.Error("disconnected client got an answer")
	}
	close(before.open)
	testkit.Next(r.t, after.arrived)
	testkit.Next(r.t, attemptEnded)
	close(after.open)
	r.service = target
	r.awaitDisconnectHandled(x)
}

// awaitDisconnectHandled waits until the loop has answered x, as it does when it handles the client's disconnect.
func (r *disconnectTest) awaitDisconnectHandled(x *Exchange) {
	testkit.Until(r.t, "the loop to handle the disconnect", func() bool {
		done := make(chan bool)
		return r.service.Post(func() { done <- x.isAnswered }) && <-done
	})
}

// disconnectUnnoticed has the client disconnect without an end of its context: only Exchange.Client reports it.
func (r *disconnectTest) disconnectUnnoticed(x *Exchange) {
	if a, ok := r.service.Do(r.t.Context(), x); ok {
		r.t.Errorf("disconnected client got an answer: %+v", a)
	}
}

// saturateServer uses up the concurrency limit until unblockServer.
func (r *disconnectTest) saturateServer() {
	for i := range 2 {
		r.blockedRequests.Go(func() { r.service.Do(r.t.Context(), r.newExchange(fmt.Sprint("f", i))) })
	}
	testkit.Until(r.t, "two requests at the server", func() bool { return r.serverSaw("f0") && r.serverSaw("f1") })
}

func (r *disconnectTest) unblockServer() { close(r.unblockRequests); r.blockedRequests.Wait() }

func (r *disconnectTest) serverSaw(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.requestsSeen {
		if s == id {
			return true
		}
	}
	return false
}

func (r *disconnectTest) connectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.clientAddresses)
}
