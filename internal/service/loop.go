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

// maxIdleWorkers is how many workers wait for attempts at most.
const maxIdleWorkers = 32

// loop owns the module and all that it is told of. Only its own goroutine
// touches it; others send it events.
type loop struct {
	module            Module
	observeModuleTime func(time.Duration) // told of the module's own time, where somebody asks
	upstream          *upstream.Upstream
	defaultProtocol   upstream.Speaks // to servers whose entry says nothing else
	log               *slog.Logger
	start             time.Time
	maxAttempts       int

	lifetime           context.Context // of attempts; ends with run
	cancelLifetime     context.CancelFunc
	events             chan func()
	ended              chan struct{} // closed when run has ended
	err                error         // why, once it has
	isEnding           bool          // the module is asked for nothing more
	exchanges          map[string]*Exchange
	serverIDs          map[string]uint32         // of the listed app servers by uid
	lastServerID       uint32                    // no id is given twice
	pools              map[uint32]*upstream.Pool // of those that are up
	maxUnitsByPlan     map[string]float64        // the most of one request, by plan
	timers             timerQueue
	jobs               chan attemptJob           // to workers that are idle
	idleWorkers        atomic.Int32              // workers that wait for one
	pendingEvents      []control.Event           // that the node itself caused while it acted
	replacement        *Service                  // that has taken this one's place; nil while there is none
	transferredPools   map[string]*upstream.Pool // pools that are next's to close, by uid
	openStreams        *Streams                  // nil where nobody asks
	groupSizeEstimator *groupsize.Census         // nil where nobody asks
	countsByClass      map[string]*ClassCounts   // by class; nil where nothing is counted
	attemptsInFlight   map[uint32]int            // attempts out by server, for the census
	statistics         *loopStatistics           // nil where nothing is metered
	collector          *StatisticsCollector      // the same
	classes            []control.Class
	recorder           *eventRecorder // nil where nothing is written
	hardLimiter        *hardLimiter   // of ceilings that are shared; nil where none are
}

func newLoop(module Module, options *Options, connections *upstream.Upstream, log *slog.Logger) *loop {
	life, end := context.WithCancel(context.Background())
	l := &loop{
		lifetime: life, cancelLifetime: end, module: module, observeModuleTime: options.ObserveModuleTime, upstream: connections, defaultProtocol: options.Protocol, log: log, start: time.Now(),
		maxAttempts: options.Settings.MaxAttempts, events: make(chan func(), 256), jobs: make(chan attemptJob), ended: make(chan struct{}),
		exchanges: make(map[string]*Exchange), serverIDs: make(map[string]uint32),
		pools: make(map[uint32]*upstream.Pool), openStreams: options.Streams, maxUnitsByPlan: newRequestRules(options.Settings).MaxUnitsByPlan,
		collector: options.Statistics, classes: options.Settings.Classes,
	}
	if options.RequestCounts != nil {
		l.countsByClass = make(map[string]*ClassCounts)
		for _, k := range options.Settings.Classes {
			l.countsByClass[k.Name] = options.RequestCounts.forClass(k.Name)
		}
	}
	if options.EventLog != nil {
		l.recorder = newEventRecorder(options.EventLog, options.Settings.Plans)
	}
	l.hardLimiter = newHardLimiter(options.SharedHardLimits)
	if options.EstimateGroupSize {
		l.groupSizeEstimator, l.attemptsInFlight = groupsize.New(options.Settings.GroupSize), make(map[uint32]int)
	}
	return l
}

// now is Unix time when the node started and monotonic time since, so that the start of
// an app server maps truly, also one before ours, and no step of the clock is seen.
func (l *loop) now() time.Duration {
	return time.Duration(l.start.UnixNano()) + time.Since(l.start)
}

// concurrencyLimit is how many attempts the module lets out at once; 0 where it doesn't tell.
func (l *loop) concurrencyLimit() float64 {
	if m, ok := l.module.(concurrencyLimiter); ok {
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
	if l.collector != nil { // only now: one that never runs never ends
		l.statistics = l.collector.addLoop(l.classes)
	}
	defer func() {
		// Guards against requests lost with a module that panics.
		if p := recover(); p != nil {
			l.err = fmt.Errorf("the decision module failed: %v\n%s", p, debug.Stack())
		}
		unanswered := 0
		for _, x := range l.exchanges {
			if !x.isAnswered {
				unanswered++
			}
			answer := Answer{Kind: Failed, Status: http.StatusBadGateway}
			for _, attempt := range x.attempts {
				attempt.Withdraw()
			}
			if l.err == nil && !x.mayHaveRun && (x.inFlight == 0 || x.isUnwritten()) { // the request that a module fails by must not be tried again
				answer = Answer{Kind: Rejected, Status: http.StatusServiceUnavailable, LastAttempt: x.lastReason}
			}
			l.finish(x, answer)
			x.unretain() // what is out of it is nobody's concern any more
		}
		if l.statistics != nil {
			l.statistics.loopEnded(unanswered, l.err != nil)
			l.collector.removeLoop(l.statistics)
		}
		if c, ok := l.module.(io.Closer); ok {
			if err := c.Close(); err != nil {
				l.log.Warn("closing the module", "err", err)
			}
		}
		close(l.ended)
		l.timers.stop()
		l.cancelLifetime()
	}()
	for {
		select {
		case <-ctx.Done():
			// Guards against answers that have come and are lost: the end doesn't go before what was there.
			l.isEnding = true
			for range len(l.events) {
				(<-l.events)()
			}
			return
		case event := <-l.events:
			event()
		case <-l.timers.fired():
			for now := time.Now(); ; {
				label, ok := l.timers.popDue(now)
				if !ok {
					break
				}
				l.handle(control.TimerFired{Label: label})
			}
		}
	}
}

// handle tells the module of an event, and of those that follow from what it does.
func (l *loop) handle(e control.Event) {
	l.pendingEvents = append(l.pendingEvents, e)
	l.processPending()
}

// processPending tells the module of what has happened, until nothing more follows.
func (l *loop) processPending() {
	for len(l.pendingEvents) > 0 {
		e := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		for _, a := range l.decide(e) {
			l.execute(a)
		}
	}
}

// decide has the module handle an event, and measures what that takes where it counts.
func (l *loop) decide(e control.Event) []control.Action {
	if l.isEnding {
		return nil
	}
	if l.observeModuleTime == nil {
		return l.module.Handle(l.now(), e)
	}
	begun := time.Now()
	actions := l.module.Handle(l.now(), e)
	l.observeModuleTime(time.Since(begun))
	return actions
}

func (l *loop) execute(a control.Action) {
	if l.recorder != nil {
		l.recorder.noteCause(a)
	}
	switch a := a.(type) {
	case control.Send:
		l.startAttempt(a)
	case control.CancelAttempt:
		if x := l.exchanges[a.ID]; x != nil && a.Attempt < len(x.attempts) {
			x.attempts[a.Attempt].Stop()
		} else if x != nil {
			l.withdrawPendingSends(x)
		}
	case control.Reject:
		l.answerUnserved(l.exchanges[a.ID], Answer{Kind: Rejected, Status: http.StatusServiceUnavailable, RetryAfter: a.RetryAfter, Cause: a.Cause})
	case control.Fail:
		l.failRequest(l.exchanges[a.ID])
	case control.StartTimer:
		l.timers.arm(time.Now().Add(a.After), a.Label)
	case control.Disconnect:
		l.retirePool(a.Server, true)
	case control.LogLine:
		l.log.Info("module", "remark", a.Text)
	}
}

// begin takes in a client's request, unless one with its id is still held. One of which the
// module has not heard goes to the service that has taken this one's place, where that has the
// request's class and plan too: what is left to spend is there.
func (l *loop) begin(x *Exchange) {
	if l.replacement != nil && l.replacement.accepts(x, l.classes) {
		x.answer <- Answer{replacement: l.replacement}
		return
	}
	if l.exchanges[x.Request.ID] != nil {
		x.answer <- Answer{Kind: Failed, Status: http.StatusConflict}
		return
	}
	l.exchanges[x.Request.ID] = x
	x.startedAt = time.Now()
	x.retain()
	if l.countsByClass != nil {
		x.classCounts = l.countsByClass[x.Request.Class]
	}
	if l.requestHardLimit(x) {
		return
	}
	l.submit(x)
}

// submit has the module hear of a request.
func (l *loop) submit(x *Exchange) {
	x.Request.Timeout = time.Until(x.Deadline)
	l.handle(x.Request)
	if !x.isAnswered {
		x.Gate.notify(l, true)
	}
}

// clientLeft notes that the client has left. An attempt that is written goes on: its work
// would not stop, and its outcome teaches.
func (l *loop) clientLeft(x *Exchange) {
	// Guards against a second answer, which nobody would take, to one that was answered without
	// having been begun: it is not this loop's.
	if x.isAnswered || l.exchanges[x.Request.ID] != x {
		x.discardAnswer()
		return
	}
	// One that is there all the same, and withheld its request by what it has sent behind it, is told what is
	// so of the request: trying again is harmless only where nothing of it can have run.
	own := Answer{Kind: Rejected, Status: http.StatusServiceUnavailable, clientHasLeft: true}
	if x.mayHaveRun {
		own.Kind, own.Status = Failed, http.StatusBadGateway
	}
	l.answerUnserved(x, own)
	l.handle(control.ClientGone{ID: x.Request.ID})
	l.abandonAttempts(x)
}

// failRequest ends a request of which nothing is promised.
func (l *loop) failRequest(x *Exchange) {
	if x == nil {
		return
	}
	status := http.StatusBadGateway
	if x.lastReason == control.TimedOut {
		status = http.StatusGatewayTimeout
	}
	l.answerUnserved(x, Answer{Kind: Failed, Status: status})
}

// answerUnserved gives a request that was not served the last real answer of a server, where there is one,
// else the node's own.
func (l *loop) answerUnserved(x *Exchange, own Answer) {
	switch {
	case x == nil:
	case x.lastResponse.Status != 0:
		l.finish(x, Answer{Status: x.lastResponse.Status, Header: x.lastResponse.Header, Body: x.lastResponse.Body, clientHasLeft: own.clientHasLeft})
	default:
		own.LastAttempt = x.lastReason
		l.finish(x, own)
	}
}

func (l *loop) finish(x *Exchange, a Answer) {
	if !x.isAnswered {
		x.isAnswered = true
		// What is decided and not written is for nobody any more; its outcome gives its place back. Guards,
		// by coming before the answer, against a client's connection that is asked for another request.
		for _, a := range x.attempts {
			a.Withdraw()
		}
		x.answer <- a
		x.Gate.notify(l, false)
		l.withdrawPendingSends(x)
		if x.classCounts != nil {
			x.classCounts.requestEnded(a, x.Request.IsOverCapacity)
		}
		if l.statistics != nil {
			l.statistics.requestEnded(x, a)
		}
		if l.recorder != nil {
			l.recorder.requestEnded(x, a)
		}
		l.refundUnsent(x)
	}
	l.releaseIfEnded(x)
}

// releaseIfEnded forgets a finished request once no attempt of it is out, so that its id
// can't be mistaken for another's before.
func (l *loop) releaseIfEnded(x *Exchange) {
	if x.isAnswered && x.inFlight == 0 {
		delete(l.exchanges, x.Request.ID)
		x.unretain()
	}
}

// retirePool lets go of the connections to an app server, and takes new ones where it goes on.
func (l *loop) retirePool(server uint32, goesOn bool) {
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

// updateEndpoints takes in what discovery tells. What is no longer listed is forgotten.
func (l *loop) updateEndpoints(kind control.ListKind, list discovery.Listing) {
	event := control.EndpointList{Kind: kind}
	listed := make(map[string]bool)
	for i := range list.Targets {
		target := &list.Targets[i]
		id, ok := l.serverIDs[target.UID]
		if !ok {
			l.lastServerID++
			id = l.lastServerID
			l.serverIDs[target.UID] = id
		}
		member := control.Endpoint{
			Server: id, State: target.Condition(), Zone: target.Zone, Cell: target.Group, Flavor: target.Model,
			Size: target.Capacity, HasStartedAt: target.BootMS > 0, StartedAt: time.Duration(target.BootMS * float64(time.Millisecond)),
		}
		event.Endpoints = append(event.Endpoints, member)
		listed[target.UID] = member.State != control.Gone
		if l.recorder != nil {
			l.recorder.serverListed(id, target)
		}
		serverProtocol := l.defaultProtocol
		if target.Protocol != "" {
			serverProtocol = upstream.Speaks(slices.Index(discovery.Protocols, target.Protocol))
		}
		if pool := l.pools[id]; pool != nil && (member.State != control.Active || pool.Endpoint != target.Endpoint || pool.Speaks != serverProtocol) {
			l.retirePool(id, false)
		} else if pool != nil && member.HasStartedAt {
			// Guards against connections that were open to a machine as it vanished: none tells of their end.
			l.upstream.Forget(pool, time.UnixMilli(int64(target.BootMS)))
		}
		if member.State == control.Active && l.pools[id] == nil {
			l.pools[id] = l.upstream.Pool(target.Endpoint, serverProtocol)
		}
	}
	for uid, id := range l.serverIDs {
		if is, told := listed[uid]; told && !is || !told && kind != control.ListPatch {
			l.retirePool(id, false)
			delete(l.serverIDs, uid)
			if l.recorder != nil {
				l.recorder.serverRemoved(id)
			}
		}
	}
	l.handle(event)
}
