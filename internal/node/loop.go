package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"runtime/debug"
	"time"

	"martennotch/control"
)

// answerAhead is how long before a client gives up its attempts are stopped, so that
// the last byte of the answer is there in time.
const answerAhead = 15 * time.Millisecond

// exchange is one client request on its way to its final answer.
type exchange struct {
	req      control.Request // its TTL is set when the module is told
	forward  *http.Request   // what goes on to app servers, without its body
	body     []byte
	deadline time.Time
	answer   chan answer // holds the one final answer

	// The loop's own.
	done  bool // answered, or the client has left
	sends int
	out   int // attempts outstanding
	stop  []context.CancelFunc
	last  control.Reason
}

// message is the request as one attempt sends it.
func (x *exchange) message() *http.Request {
	m := *x.forward
	m.Header = maps.Clone(m.Header)
	m.ContentLength = int64(len(x.body))
	m.Body = http.NoBody
	if len(x.body) > 0 {
		m.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return &m
}

// answer is the final answer of an exchange.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
}

// loop owns the controller and all that it is told of. Only its own goroutine
// touches it; others send it events.
type loop struct {
	ctl      *control.Controller
	upstream *upstream
	start    time.Time
	sendCap  int

	life      context.Context // of attempts; ends with run
	end       context.CancelFunc
	events    chan func()
	ended     chan struct{} // closed when run has ended
	failed    error         // why, once it has
	exchanges map[string]*exchange
	ids       map[string]uint32 // of the listed app servers by uid
	lastID    uint32            // no id is given twice
	pools     map[uint32]*pool  // of those that are up
	unitsTop  float64           // of one request; 0 is not told
	pending   []control.Event   // that the node itself caused while it acted
}

func newLoop(cfg Config, up *upstream) (*loop, error) {
	ctl, err := control.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	life, end := context.WithCancel(context.Background())
	return &loop{life: life, end: end, ctl: ctl, upstream: up, start: time.Now(), sendCap: cfg.Settings.SendCap,
		events: make(chan func(), 256), ended: make(chan struct{}), exchanges: make(map[string]*exchange),
		ids: make(map[string]uint32), pools: make(map[uint32]*pool), unitsTop: cfg.Settings.UnitsTop}, nil
}

// now is Unix time when the node started and monotonic time since, so that the start of
// an app server maps truly, also one before ours, and no step of the clock is seen.
func (l *loop) now() time.Duration {
	return time.Duration(l.start.UnixNano()) + time.Since(l.start)
}

// post hands work to the loop; false where it has ended.
func (l *loop) post(event func()) bool {
	select {
	case l.events <- event:
		return true
	case <-l.ended:
		return false
	}
}

// run works until ctx ends or the module fails. Whatever is held then is answered
// as failed.
func (l *loop) run(ctx context.Context) {
	defer func() {
		// Guards against requests lost with a module that panics.
		if p := recover(); p != nil {
			l.failed = fmt.Errorf("the decision module failed: %v\n%s", p, debug.Stack())
		}
		for _, x := range l.exchanges {
			l.finish(x, answer{status: http.StatusBadGateway})
		}
		close(l.ended)
		l.end()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			event()
		}
	}
}

// handle tells the module of an event, and of those that follow from what it does.
func (l *loop) handle(e control.Event) {
	l.pending = append(l.pending, e)
	for len(l.pending) > 0 {
		e := l.pending[0]
		l.pending = l.pending[1:]
		for _, a := range l.ctl.Handle(l.now(), e) {
			l.act(a)
		}
	}
}

func (l *loop) act(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		l.send(a)
	case control.Withdraw:
		if x := l.exchanges[a.ID]; x != nil && a.N < len(x.stop) {
			x.stop[a.N]()
		}
	case control.Refuse:
		l.finishID(a.ID, answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case control.Fail:
		status := http.StatusBadGateway
		if x := l.exchanges[a.ID]; x != nil && x.last == control.TimedOut {
			status = http.StatusGatewayTimeout
		}
		l.finishID(a.ID, answer{status: status})
	case control.Arm:
		time.AfterFunc(a.After, func() {
			l.post(func() { l.handle(control.Timer{Label: a.Label}) })
		})
	case control.Disconnect:
		l.retire(a.Server, true)
	case control.Remark:
		slog.Info("module", "remark", a.Text)
	}
}

// begin takes in a client's request, unless one with its id is still held.
func (l *loop) begin(x *exchange) {
	if l.exchanges[x.req.ID] != nil {
		x.answer <- answer{status: http.StatusConflict}
		return
	}
	l.exchanges[x.req.ID] = x
	x.req.TTL = time.Until(x.deadline)
	l.handle(x.req)
}

// hangup notes that the client has left. Attempts that are out go on: their work
// would not stop, and their outcomes teach.
func (l *loop) hangup(x *exchange) {
	if x.done {
		return
	}
	l.finish(x, answer{})
	l.handle(control.Hangup{ID: x.req.ID})
}

// finishID gives a request its final answer where it has none.
func (l *loop) finishID(id string, a answer) {
	if x := l.exchanges[id]; x != nil {
		l.finish(x, a)
	}
}

func (l *loop) finish(x *exchange, a answer) {
	if !x.done {
		x.done = true
		x.answer <- a
	}
	l.release(x)
}

// release forgets a finished request once no attempt of it is out, so that its id
// can't be mistaken for another's before.
func (l *loop) release(x *exchange) {
	if x.done && x.out == 0 {
		delete(l.exchanges, x.req.ID)
	}
}

func (l *loop) send(a control.Send) {
	x := l.exchanges[a.ID]
	if x == nil {
		l.pending = append(l.pending, control.Response{ID: a.ID, Server: a.Server, Reason: control.Moot, Done: true})
		return
	}
	n, to := x.sends, l.pools[a.Server]
	x.sends++
	until := x.deadline
	if a.Within > 0 && time.Until(until) > a.Within {
		until = time.Now().Add(a.Within)
	}
	ctx, cancel := context.WithDeadline(l.life, until)
	x.stop = append(x.stop, cancel)
	if to == nil || x.done || ctx.Err() != nil || l.sendCap > 0 && x.sends > l.sendCap {
		cancel()
		l.pending = append(l.pending, control.Response{ID: a.ID, N: n, Server: a.Server, Reason: control.Moot, Done: x.done})
		return
	}
	x.out++
	sent := time.Now()
	go func() {
		o := l.upstream.try(ctx, to, x.message())
		cancel()
		l.post(func() { l.settle(x, n, a.Server, sent, o) })
	}()
}

// settle takes in how an attempt ended. The first good answer is the final one.
func (l *loop) settle(x *exchange, n int, server uint32, sent time.Time, o outcome) {
	x.out--
	x.last = o.reason
	r := control.Response{ID: x.req.ID, N: n, Server: server, Reason: o.reason, Delay: time.Since(sent)}
	if o.header != nil {
		r.Used, r.Cost, r.Load = o.used(), o.cost(l.unitsTop), o.load()
	}
	if o.reason == control.OK {
		l.finish(x, answer{status: http.StatusOK, header: o.header, body: o.body})
	}
	r.Done = x.done
	l.release(x)
	l.handle(r)
}

// retire lets go of the connections to an app server, and takes new ones where it goes on.
func (l *loop) retire(server uint32, goesOn bool) {
	p := l.pools[server]
	if p == nil {
		return
	}
	l.upstream.retire(p)
	delete(l.pools, server)
	if goesOn {
		l.pools[server] = l.upstream.pool(p.endpoint)
	}
}

// list takes in what discovery tells. What is no longer listed is forgotten.
func (l *loop) list(kind control.ListKind, news listing) {
	e := control.List{Kind: kind}
	listed := make(map[string]bool)
	for i := range news.Targets {
		t := &news.Targets[i]
		id, ok := l.ids[t.UID]
		if !ok {
			l.lastID++
			id = l.lastID
			l.ids[t.UID] = id
		}
		m := control.Member{Server: id, Condition: t.condition(), Zone: t.Zone, Cell: t.Group, Flavor: t.Model,
			Size: t.Capacity, HasCameUp: t.BootMS > 0, CameUp: time.Duration(t.BootMS * float64(time.Millisecond))}
		e.Members = append(e.Members, m)
		listed[t.UID] = m.Condition != control.Off
		if p := l.pools[id]; p != nil && (m.Condition != control.On || p.endpoint != t.Endpoint) {
			l.retire(id, false)
		}
		if m.Condition == control.On && l.pools[id] == nil {
			l.pools[id] = l.upstream.pool(t.Endpoint)
		}
	}
	for uid, id := range l.ids {
		if is, told := listed[uid]; told && !is || !told && kind != control.Patch {
			l.retire(id, false)
			delete(l.ids, uid)
		}
	}
	l.handle(e)
}
