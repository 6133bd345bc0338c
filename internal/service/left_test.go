package service

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/responseclass"
	"lockflow/internal/testkit"
	"lockflow/internal/upstream"
)

// noted is a controller that notes how attempts ended.
type noted struct {
	*control.Controller
	mu    sync.Mutex
	ended map[string][]control.Response
}

func (n *noted) Handle(now time.Duration, e control.Event) []control.Action {
	if r, ok := e.(control.Response); ok {
		n.mu.Lock()
		n.ended[r.ID] = append(n.ended[r.ID], r)
		n.mu.Unlock()
	}
	return n.Controller.Handle(now, e)
}

func (n *noted) of(id string) []control.Response {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended[id]
}

// barrier holds whoever comes, once it is set, until it is opened.
type barrier struct {
	came, open chan struct{}
	first      sync.Once
}

func newBarrier() *barrier { return &barrier{came: make(chan struct{}), open: make(chan struct{})} }

func (b *barrier) pass() { b.first.Do(func() { close(b.came) }); <-b.open }

// slowly is an Opener whose next connection waits at a barrier before it is made.
type slowly struct {
	limits.Opener
	mu   sync.Mutex
	next *barrier
}

func (s *slowly) Take() bool {
	s.mu.Lock()
	b := s.next
	s.next = nil
	s.mu.Unlock()
	if b != nil {
		b.pass()
	}
	return s.Opener.Take()
}

// held is a request whose worker waits at a barrier before it begins.
type held struct {
	Forwarder
	*barrier
}

func (h held) Attempt(ctx, life context.Context, u *upstream.Upstream, p *upstream.Pool) upstream.Outcome {
	h.pass()
	return h.Forwarder.Attempt(ctx, life, u, p)
}

// watched is a request that tells when an attempt of it is over.
type watched struct {
	Forwarder
	over chan struct{}
}

func (w watched) Attempt(ctx, life context.Context, u *upstream.Upstream, p *upstream.Pool) upstream.Outcome {
	defer close(w.over)
	return w.Forwarder.Attempt(ctx, life, u, p)
}

// asked is a client that tells what a test has it tell.
type asked func() bool

func (a asked) There() bool { return a() }

// A client that leaves before its request is written, wherever that is then, has it not be written: the
// module hears once that it was not sent, and what comes next is served.
func TestLeftIsNotSent(t *testing.T) {
	rings := map[string]func(r *leaver, x *Exchange){
		"its turn":       func(r *leaver, x *Exchange) { r.fill(); r.leave(x, nil); r.empty() },
		"its worker":     func(r *leaver, x *Exchange) { b := newBarrier(); x.Forwarder = held{x.Forwarder, b}; r.leave(x, b) },
		"its connection": func(r *leaver, x *Exchange) { b := newBarrier(); r.slow.next = b; r.leave(x, b) },
		"the last moment": func(r *leaver, x *Exchange) {
			x.Client = asked(func() bool { r.gone(); r.heard(x); return true })
			r.leave(x, nil)
		},
		"its socket's word": func(r *leaver, x *Exchange) {
			x.Client = asked(func() bool { return false })
			r.found(x)
		},
		"the loop's channel": func(r *leaver, x *Exchange) { r.crosses(x, r.s, nil) },
		"another's place": func(r *leaver, x *Exchange) {
			next := r.service(r.s.Upstream())
			r.s.ReplaceWith(next)
			r.crosses(x, next, nil)
		},
		"the gate": func(r *leaver, x *Exchange) {
			decided := make(chan bool, 1)
			x.Gate = &Gate{OnDecision: func(taken bool) { decided <- taken }}
			r.crosses(x, r.s, decided)
		},
		"the gate, shut": func(r *leaver, x *Exchange) {
			decided := newBarrier()
			x.Gate = &Gate{OnDecision: func(bool) { close(decided.came) }}
			r.leave(x, decided)
			if sent := r.module.of("left"); len(sent) != 1 {
				r.t.Errorf("before the gate opens %+v", sent)
			}
			x.OpenGate()
		},
	}
	for where, play := range rings {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			for _, deadline := range []time.Duration{time.Minute, time.Hour} {
				for _, by := range []string{"whole", "whole over HTTP/2", "relay", "relay over HTTP/2"} {
					t.Run(fmt.Sprint(where, " ", class, " ", by, " ", deadline), func(t *testing.T) {
						r := newLeaver(t, class, by, deadline)
						play(r, r.request("left"))
						testkit.Until(t, "its end", func() bool { return r.s.Status().Requests == 0 })
						sent := r.module.of("left")
						if where == "its turn" && len(sent) > 0 || where != "its turn" && (len(sent) != 1 || sent[0].Reason != control.Moot || !sent[0].Done) {
							t.Errorf("its attempts ended %+v", sent)
						}
						if a, ok := r.s.Do(t.Context(), r.request("next")); !ok || a.Status != http.StatusOK {
							t.Errorf("the next one: %+v, %v", a, ok)
						}
						if r.saw("left") || !r.saw("next") {
							t.Errorf("the server saw %v", r.seen)
						}
						if where == "its socket's word" && r.dials() != 1 {
							t.Errorf("%d connections: that of what was not sent is not used", r.dials())
						}
					})
				}
			}
		}
	}
}

// leaver is a service with one server, and a client that leaves.
type leaver struct {
	t        *testing.T
	s        *Service
	app      string // the server's address
	module   *noted
	slow     *slowly
	class    string
	by       string
	deadline time.Duration
	gone     context.CancelFunc
	stays    sync.WaitGroup
	let      chan struct{} // the server answers what fills it

	mu   sync.Mutex
	seen []string
	from map[string]bool
}

func newLeaver(t *testing.T, class, by string, deadline time.Duration) *leaver {
	r := &leaver{t: t, class: class, by: by, deadline: deadline, slow: &slowly{Opener: limits.NewSockets(100)}, let: make(chan struct{}), from: make(map[string]bool)}
	app := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Test")
		r.mu.Lock()
		r.seen = append(r.seen, id)
		r.from[q.RemoteAddr] = true
		r.mu.Unlock()
		if id[:1] == "f" {
			<-r.let
		}
		w.Write([]byte("ok"))
	}))
	app.Config.Protocols = new(http.Protocols)
	app.Config.Protocols.SetHTTP1(true)
	app.Config.Protocols.SetUnencryptedHTTP2(true)
	app.Start()
	t.Cleanup(app.Close)
	r.app = app.Listener.Addr().String()
	r.s = r.service(nil)
	return r
}

// service makes and runs one, which has the connections of another where it shares some.
func (r *leaver) service(share *upstream.Upstream) *Service {
	t, by, deadline := r.t, r.by, r.deadline
	speaks := upstream.SpeaksHTTP1
	if len(by) > len("relay") && by != "whole" {
		speaks = upstream.SpeaksHTTP2
	}
	set := control.Settings{
		GroupSize: 1, MaxRetryAfter: time.Second, SendCap: 3, Plans: []control.Plan{{Name: "p", Price: 1, Open: 2}},
		Classes: []control.Class{{Name: "safe", Effect: control.Free}, {Name: "keyed", Effect: control.Guarded, RepeatWindow: time.Minute}, {Name: "unsafe", Effect: control.SingleShot}},
	}
	for i := range set.Classes {
		set.Classes[i].Aim, set.Classes[i].Deadline, set.Classes[i].Worth = deadline, deadline, 1
	}
	ready := make(chan struct{})
	s, err := New(Options{
		Settings: set, Protocol: speaks, SharedUpstream: share, AnyMethod: true, OnReady: func() { close(ready) },
		Source: discovery.Source{Kind: discovery.Static, Servers: []discovery.Target{{UID: "s-1", Endpoint: r.app, State: "up", Capacity: 1}}},
		NewModule: func() (Module, error) {
			c, err := control.New(set, 1)
			r.module = &noted{Controller: c, ended: make(map[string][]control.Response)}
			return r.module, err
		},
		Upstream: upstream.Options{Connect: testkit.Patience, Keepalive: time.Hour, Sockets: r.slow, HTTP2: upstream.HTTP2{Streams: 10, Conns: 1, Whole: true}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended; s.Upstream().Evict(0) })
	testkit.Next(t, ready)
	return s
}

func (r *leaver) request(id string) *Exchange {
	h := http.Header{"X-Test": {id}}
	x := &Exchange{Request: control.Request{ID: id, Class: r.class, Plan: "p", Customer: "c", Units: 1, Spread: 1}, Deadline: time.Now().Add(r.deadline)}
	if r.by[0] == 'w' {
		q, err := http.NewRequest(http.MethodPost, "http://h/x", nil)
		if err != nil {
			r.t.Fatal(err)
		}
		q.Header = h
		x.Forwarder = &upstream.Whole{Request: q, Body: []byte("body")}
		return x
	}
	x.Forwarder = &upstream.Relay{Name: http.MethodGet, Target: "/x", Host: "h", Header: h, Length: -1, Rules: &responseclass.Rules{}, Hold: 100, Idle: testkit.Patience, Wait: testkit.Patience}
	return x
}

// leave has the client leave once its request is at a barrier, which then opens, or held without one.
func (r *leaver) leave(x *Exchange, at *barrier) {
	ctx, cancel := context.WithCancel(r.t.Context())
	r.gone = cancel
	done := make(chan bool)
	go func() { _, ok := r.s.Do(ctx, x); done <- ok }()
	switch {
	case at != nil:
		testkit.Next(r.t, at.came)
		cancel()
	case x.Client == nil:
		testkit.Until(r.t, "its place in the queue", func() bool { return r.s.Status().Requests == 3 })
		cancel()
	}
	if testkit.Next(r.t, done) {
		r.t.Error("it has an answer")
	}
	r.heard(x)
	if at != nil {
		close(at.open)
	}
}

// crosses has the client leave once its request, or the word that its gate is open, is in a loop's channel,
// and the loop hear of that only when the attempt which follows is over.
func (r *leaver) crosses(x *Exchange, into *Service, gate chan bool) {
	ctx, cancel := context.WithCancel(r.t.Context())
	done, over := make(chan bool, 1), make(chan struct{})
	x.Forwarder = watched{x.Forwarder, over}
	was := r.s
	enter := func() { go func() { _, ok := was.Do(ctx, x); done <- ok }() }
	if gate != nil {
		enter()
		testkit.Next(r.t, gate)
		enter = x.OpenGate
	}
	before, after := newBarrier(), newBarrier()
	into.Post(before.pass)
	testkit.Next(r.t, before.came)
	enter()
	testkit.Until(r.t, "its event", func() bool { return len(into.current().events) == 1 })
	into.Post(after.pass)
	cancel()
	if testkit.Next(r.t, done) {
		r.t.Error("it has an answer")
	}
	close(before.open)
	testkit.Next(r.t, after.came)
	testkit.Next(r.t, over)
	close(after.open)
	r.s = into
	r.heard(x)
}

// heard waits until the loop has heard that the client has left.
func (r *leaver) heard(x *Exchange) {
	testkit.Until(r.t, "the loop to hear", func() bool {
		done := make(chan bool)
		return r.s.Post(func() { done <- x.done }) && <-done
	})
}

// found has the client be found to have left, of which ctx never tells.
func (r *leaver) found(x *Exchange) {
	if a, ok := r.s.Do(r.t.Context(), x); ok {
		r.t.Errorf("it has an answer: %+v", a)
	}
}

// fill has all places be taken; empty gives them back.
func (r *leaver) fill() {
	for i := range 2 {
		r.stays.Go(func() { r.s.Do(r.t.Context(), r.request(fmt.Sprint("f", i))) })
	}
	testkit.Until(r.t, "two at the server", func() bool { return r.saw("f0") && r.saw("f1") })
}

func (r *leaver) empty() { close(r.let); r.stays.Wait() }

func (r *leaver) saw(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.seen {
		if s == id {
			return true
		}
	}
	return false
}

func (r *leaver) dials() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.from)
}
