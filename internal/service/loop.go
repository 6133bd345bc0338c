package service

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/groupsize"
	"lockflow/internal/upstream"
)

// Module decides for one service. It is fed events and returns what is to be done; the slice
// holds until the next call. *control.Controller is one. It is used by one goroutine. One that is
// an io.Closer is closed at its end, also where that is a panic of its own.
type Module interface {
	Handle(now time.Duration, e control.Event) []control.Action
}

// idlersMost is how many workers wait for attempts at most.
const idlersMost = 32

// loop owns the module and all that it is told of. Only its own goroutine
// touches it; others send it events.
type loop struct {
	module   Module
	spent    func(time.Duration) // told of the module's own time, where somebody asks
	upstream *upstream.Upstream
	speaks   upstream.Speaks // to servers whose entry says nothing else
	log      *slog.Logger
	start    time.Time
	sendCap  int

	life        context.Context // of attempts; ends with run
	end         context.CancelFunc
	events      chan func()
	ended       chan struct{} // closed when run has ended
	failed      error         // why, once it has
	ending      bool          // the module is asked for nothing more
	exchanges   map[string]*Exchange
	ids         map[string]uint32         // of the listed app servers by uid
	lastID      uint32                    // no id is given twice
	pools       map[uint32]*upstream.Pool // of those that are up
	units       map[string]float64        // the most of one request, by plan
	timers      timers
	jobs        chan job                  // to workers that are idle
	idlers      atomic.Int32              // workers that wait for one
	pending     []control.Event           // that the node itself caused while it acted
	next        *Service                  // that has taken this one's place; nil while there is none
	gave        map[string]*upstream.Pool // pools that are next's to close, by uid
	streamsOpen *Streams                  // nil where nobody asks
	census      *groupsize.Census         // nil where nobody asks
	counts      map[string]*ClassCounts   // by class; nil where nothing is counted
	outAt       map[uint32]int            // attempts out by server, for the census
	meter       *metered                  // nil where nothing is metered
	meters      *StatisticsCollector      // the same
	classes     []control.Class
	tally       *book   // nil where nothing is written
	ledger      *ledger // of ceilings that are shared; nil where none are
}

func newLoop(m Module, o *Options, up *upstream.Upstream, log *slog.Logger) *loop {
	life, end := context.WithCancel(context.Background())
	l := &loop{
		life: life, end: end, module: m, spent: o.ObserveModuleTime, upstream: up, speaks: o.Protocol, log: log, start: time.Now(),
		sendCap: o.Settings.SendCap, events: make(chan func(), 256), jobs: make(chan job), ended: make(chan struct{}),
		exchanges: make(map[string]*Exchange), ids: make(map[string]uint32),
		pools: make(map[uint32]*upstream.Pool), streamsOpen: o.Streams, units: newTerms(o.Settings).MaxUnitsByPlan,
		meters: o.Statistics, classes: o.Settings.Classes,
	}
	if o.RequestCounts != nil {
		l.counts = make(map[string]*ClassCounts)
		for _, k := range o.Settings.Classes {
			l.counts[k.Name] = o.RequestCounts.class(k.Name)
		}
	}
	if o.EventLog != nil {
		l.tally = newBook(o.EventLog, o.Settings.Plans)
	}
	l.ledger = newLedger(o.SharedHardLimits)
	if o.EstimateGroupSize {
		l.census, l.outAt = groupsize.New(o.Settings.GroupSize), make(map[uint32]int)
	}
	return l
}

// now is Unix time when the node started and monotonic time since, so that the start of
// an app server maps truly, also one before ours, and no step of the clock is seen.
func (l *loop) now() time.Duration {
	return time.Duration(l.start.UnixNano()) + time.Since(l.start)
}

// bound is how many attempts the module lets out at once; 0 where it doesn't tell.
func (l *loop) bound() float64 {
	if m, ok := l.module.(interface{ Bound() float64 }); ok {
		return m.Bound()
	}
	return 0
}

// post hands work to the loop; false where it has ended.
func (l *loop) post(event func()) bool {
	select {
	case <-l.ended: // there may be room for events that nobody takes
		return false
	default:
	}
	select {
	case l.events <- event:
		return true
	case <-l.ended:
		return false
	}
}

// run works until ctx ends or the module fails. Whatever is held then is answered: at an orderly
// end as refused where it surely never ran, else as failed.
func (l *loop) run(ctx context.Context) {
	if l.meters != nil { // only now: one that never runs never ends
		l.meter = l.meters.loop(l.classes)
	}
	defer func() {
		// Guards against requests lost with a module that panics.
		if p := recover(); p != nil {
			l.failed = fmt.Errorf("the decision module failed: %v\n%s", p, debug.Stack())
		}
		unanswered := 0
		for _, x := range l.exchanges {
			if !x.done {
				unanswered++
			}
			a := Answer{Kind: Failed, Status: http.StatusBadGateway}
			for _, try := range x.tries {
				try.Withdraw()
			}
			if l.failed == nil && !x.ran && (x.out == 0 || x.unwritten()) { // the request that a module fails by must not be tried again
				a = Answer{Kind: Rejected, Status: http.StatusServiceUnavailable, LastAttempt: x.last}
			}
			l.finish(x, a)
			x.drop() // what is out of it is nobody's concern any more
		}
		if l.meter != nil {
			l.meter.over(unanswered, l.failed != nil)
			l.meters.end(l.meter)
		}
		if c, ok := l.module.(io.Closer); ok {
			if err := c.Close(); err != nil {
				l.log.Warn("closing the module", "err", err)
			}
		}
		close(l.ended)
		l.timers.stop()
		l.end()
	}()
	for {
		select {
		case <-ctx.Done():
			// Guards against answers that have come and are lost: the end doesn't go before what was there.
			l.ending = true
			for range len(l.events) {
				(<-l.events)()
			}
			return
		case event := <-l.events:
			event()
		case <-l.timers.fired():
			for now := time.Now(); ; {
				label, ok := l.timers.pop(now)
				if !ok {
					break
				}
				l.handle(control.Timer{Label: label})
			}
		}
	}
}

// handle tells the module of an event, and of those that follow from what it does.
func (l *loop) handle(e control.Event) {
	l.pending = append(l.pending, e)
	l.drain()
}

// drain tells the module of what has happened, until nothing more follows.
func (l *loop) drain() {
	for len(l.pending) > 0 {
		e := l.pending[0]
		l.pending = l.pending[1:]
		for _, a := range l.decide(e) {
			l.act(a)
		}
	}
}

// decide has the module handle an event, and measures what that takes where it counts.
func (l *loop) decide(e control.Event) []control.Action {
	if l.ending {
		return nil
	}
	if l.spent == nil {
		return l.module.Handle(l.now(), e)
	}
	begun := time.Now()
	actions := l.module.Handle(l.now(), e)
	l.spent(time.Since(begun))
	return actions
}

func (l *loop) act(a control.Action) {
	if l.tally != nil {
		l.tally.decided(a)
	}
	switch a := a.(type) {
	case control.Send:
		l.send(a)
	case control.Withdraw:
		if x := l.exchanges[a.ID]; x != nil && a.N < len(x.tries) {
			x.tries[a.N].Stop()
		} else if x != nil {
			l.unsent(x)
		}
	case control.Refuse:
		l.giveUp(l.exchanges[a.ID], Answer{Kind: Rejected, Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter, Cause: a.Why})
	case control.Fail:
		l.fail(l.exchanges[a.ID])
	case control.Arm:
		l.timers.arm(time.Now().Add(a.After), a.Label)
	case control.Disconnect:
		l.retire(a.Server, true)
	case control.Remark:
		l.log.Info("module", "remark", a.Text)
	}
}

// begin takes in a client's request, unless one with its id is still held. One of which the
// module has not heard goes to the service that has taken this one's place, where that has the
// request's class and plan too: what is left to spend is there.
func (l *loop) begin(x *Exchange) {
	if l.next != nil && l.next.takes(x, l.classes) {
		x.answer <- Answer{next: l.next}
		return
	}
	if l.exchanges[x.Request.ID] != nil {
		x.answer <- Answer{Kind: Failed, Status: http.StatusConflict}
		return
	}
	l.exchanges[x.Request.ID] = x
	x.began = time.Now()
	x.keep()
	if l.counts != nil {
		x.count = l.counts[x.Request.Class]
	}
	if l.ask(x) {
		return
	}
	l.tell(x)
}

// tell has the module hear of a request.
func (l *loop) tell(x *Exchange) {
	x.Request.TTL = time.Until(x.Deadline)
	l.handle(x.Request)
	if !x.done {
		x.Gate.tell(l, true)
	}
}

// hangup notes that the client has left. An attempt that is written goes on: its work
// would not stop, and its outcome teaches.
func (l *loop) hangup(x *Exchange) {
	// Guards against a second answer, which nobody would take, to one that was answered without
	// having been begun: it is not this loop's.
	if x.done || l.exchanges[x.Request.ID] != x {
		x.unanswered()
		return
	}
	// One that is there all the same, and withheld its request by what it has sent behind it, is told what is
	// so of the request: trying again is harmless only where nothing of it can have run.
	own := Answer{Kind: Rejected, Status: http.StatusServiceUnavailable, left: true}
	if x.ran {
		own.Kind, own.Status = Failed, http.StatusBadGateway
	}
	l.giveUp(x, own)
	l.handle(control.Hangup{ID: x.Request.ID})
	l.left(x)
}

// fail ends a request of which nothing is promised.
func (l *loop) fail(x *Exchange) {
	if x == nil {
		return
	}
	status := http.StatusBadGateway
	if x.last == control.TimedOut {
		status = http.StatusGatewayTimeout
	}
	l.giveUp(x, Answer{Kind: Failed, Status: status})
}

// giveUp gives a request that was not served the last real answer of a server, where there is one,
// else the node's own.
func (l *loop) giveUp(x *Exchange, own Answer) {
	switch {
	case x == nil:
	case x.said.Status != 0:
		l.finish(x, Answer{Status: x.said.Status, Header: x.said.Header, Body: x.said.Body, left: own.left})
	default:
		own.LastAttempt = x.last
		l.finish(x, own)
	}
}

func (l *loop) finish(x *Exchange, a Answer) {
	if !x.done {
		x.done = true
		// What is decided and not written is for nobody any more; its outcome gives its place back. Guards,
		// by coming before the answer, against a client's connection that is asked for another request.
		for _, a := range x.tries {
			a.Withdraw()
		}
		x.answer <- a
		x.Gate.tell(l, false)
		l.unsent(x)
		if x.count != nil {
			x.count.ended(a, x.Request.NoRoom)
		}
		if l.meter != nil {
			l.meter.ended(x, a)
		}
		if l.tally != nil {
			l.tally.ended(x, a)
		}
		l.unspent(x)
	}
	l.release(x)
}

// release forgets a finished request once no attempt of it is out, so that its id
// can't be mistaken for another's before.
func (l *loop) release(x *Exchange) {
	if x.done && x.out == 0 {
		delete(l.exchanges, x.Request.ID)
		x.drop()
	}
}

// retire lets go of the connections to an app server, and takes new ones where it goes on.
func (l *loop) retire(server uint32, goesOn bool) {
	p := l.pools[server]
	if p == nil {
		return
	}
	l.upstream.Retire(p)
	delete(l.pools, server)
	if goesOn {
		l.pools[server] = l.upstream.Pool(p.Endpoint, p.Speaks)
	}
}

// list takes in what discovery tells. What is no longer listed is forgotten.
func (l *loop) list(kind control.ListKind, news discovery.Listing) {
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
		m := control.Member{
			Server: id, Condition: t.Condition(), Zone: t.Zone, Cell: t.Group, Flavor: t.Model,
			Size: t.Capacity, HasCameUp: t.BootMS > 0, CameUp: time.Duration(t.BootMS * float64(time.Millisecond)),
		}
		e.Members = append(e.Members, m)
		listed[t.UID] = m.Condition != control.Off
		if l.tally != nil {
			l.tally.listed(id, t)
		}
		speaks := l.speaks
		if t.Protocol != "" {
			speaks = upstream.Speaks(slices.Index(discovery.Protocols, t.Protocol))
		}
		if p := l.pools[id]; p != nil && (m.Condition != control.On || p.Endpoint != t.Endpoint || p.Speaks != speaks) {
			l.retire(id, false)
		} else if p != nil && m.HasCameUp {
			// Guards against connections that were open to a machine as it vanished: none tells of their end.
			l.upstream.Forget(p, time.UnixMilli(int64(t.BootMS)))
		}
		if m.Condition == control.On && l.pools[id] == nil {
			l.pools[id] = l.upstream.Pool(t.Endpoint, speaks)
		}
	}
	for uid, id := range l.ids {
		if is, told := listed[uid]; told && !is || !told && kind != control.Patch {
			l.retire(id, false)
			delete(l.ids, uid)
			if l.tally != nil {
				l.tally.gone(id)
			}
		}
	}
	l.handle(e)
}
