package service

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"lockflow/control"
	"lockflow/internal/groupsize"
	"lockflow/internal/upstream"
)

const (
	eventQueueSize = 256 // events that can wait for the loop before post blocks
	maxIdleWorkers = 32  // workers that wait for an attempt; any further idle worker ends
)

// loop is the event loop of a service. Only its goroutine, run, uses the module and the fields below, except for those
// documented otherwise; other goroutines post events to it.
type loop struct {
	module            Module
	observeModuleTime func(time.Duration) // nil if it is not observed
	upstream          *upstream.Upstream
	defaultProtocol   upstream.Protocol // for servers whose endpoint list entry has none
	log               *slog.Logger
	clock             moduleClock
	starts            *serverStarts
	recentRuns        *recentRuns
	maxAttempts       int // of a request; 0 is unlimited
	classes           []control.Class
	maxUnitsByPlan    map[string]float64

	// lifetime ends with the loop, and attempts and calls to lease stores end with it. Any goroutine may use
	// it.
	lifetime       context.Context
	cancelLifetime context.CancelFunc
	events         chan func()   // posted by any goroutine
	ended          chan struct{} // closed when run has ended; err does not change from then on
	err            error         // why the module failed
	isEnding       bool          // the module gets no further events

	timers        timerQueue
	pendingEvents []control.Event // caused by executing actions, not handled yet
	exchanges     map[string]*Exchange

	// serverIDs are the module's ids of the listed servers, by uid. No id is reused.
	serverIDs    map[string]uint32
	lastServerID uint32
	pools        map[uint32]*upstream.Pool // of the servers that take new requests
	locations    map[uint32]serverLocation // of the listed servers
	addresses    addressHistory

	// pendingServerState waits for the first server to be listed; nil if there is none.
	pendingServerState *pendingServerState
	warmups            warmupGuard

	jobs        chan attemptJob // unbuffered: only an idle worker receives; used by any goroutine
	idleWorkers atomic.Int32    // used by any goroutine

	// The fields below are set once the service has been replaced. Requests that are not accepted yet are passed to the
	// replacement, which also retires the transferred pools (by uid).
	replacement      *Service
	transferredPools map[string]*upstream.Pool

	// Observers of the loop; each is nil if it is not configured.
	openStreams        *Streams
	groupSizeEstimator *groupsize.Estimator
	attemptsInFlight   map[uint32]int // by server, for the estimator
	countsByClass      map[string]*ClassCounts
	collector          *StatisticsCollector
	statistics         *loopStatistics // the loop's part of collector; set by run
	recorder           *eventRecorder

	hardLimiter *hardLimiter // nil if no hard limit is shared
}

// newLoop returns a new loop of the service, which run starts.
func (s *Service) newLoop(module Module) *loop {
	options := &s.options
	lifetime, cancelLifetime := context.WithCancel(context.Background())
	l := &loop{
		module:            module,
		observeModuleTime: options.ObserveModuleTime,
		upstream:          s.upstream,
		defaultProtocol:   options.Protocol,
		log:               s.log,
		clock:             s.clock,
		starts:            s.starts,
		recentRuns:        s.recentRuns,
		maxAttempts:       options.Settings.MaxAttempts,
		classes:           options.Settings.Classes,
		maxUnitsByPlan:    newRequestRules(options.Settings, options.AnyMethod).MaxUnitsByPlan,
		lifetime:          lifetime,
		cancelLifetime:    cancelLifetime,
		events:            make(chan func(), eventQueueSize),
		ended:             make(chan struct{}),
		exchanges:         make(map[string]*Exchange),
		serverIDs:         make(map[string]uint32),
		pools:             make(map[uint32]*upstream.Pool),
		locations:         make(map[uint32]serverLocation),
		addresses:         newAddressHistory(),
		warmups:           newWarmupGuard(&options.Settings),
		jobs:              make(chan attemptJob),
		openStreams:       options.Streams,
		collector:         options.Statistics,
		hardLimiter:       newHardLimiter(options.SharedHardLimits),
	}
	if options.RequestCounts != nil {
		l.countsByClass = options.RequestCounts.forClasses(options.Settings.Classes)
	}
	if options.EventLog != nil {
		l.recorder = newEventRecorder(options.EventLog, options.Settings.Plans)
	}
	if options.EstimateGroupSize {
		l.groupSizeEstimator = groupsize.New(options.Settings.GroupSize)
		l.attemptsInFlight = make(map[uint32]int)
	}
	return l
}

// now returns the current time on the module's clock.
func (l *loop) now() time.Duration { return l.clock.now() }

// concurrencyLimit returns how many attempts the module allows in flight at once; 0 if it does not report that.
func (l *loop) concurrencyLimit() float64 {
	if m, ok := l.module.(concurrencyLimiter); ok {
		return m.ConcurrencyLimit()
	}
	return 0
}

// post has the loop's goroutine execute an event. It returns false if the loop has ended. It may be called by any
// goroutine but the loop's own, and blocks while the queue is full.
func (l *loop) post(event func()) bool {
	select {
	case <-l.ended: // the queue may have space, but nobody would read the event
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

// run executes events until ctx ends or the module panics. Exchanges without an answer are then answered: as
// rejected if ctx has ended and they cannot have run, otherwise as failed.
func (l *loop) run(ctx context.Context) {
	if l.collector != nil { // not in newLoop, as a loop that never runs would never be removed
		l.statistics = l.collector.addLoop(l.classes)
	}
	defer func() { l.shutDown(recover()) }()
	for {
		select {
		case <-ctx.Done():
			l.drainEvents()
			return
		case event := <-l.events:
			event()
		case <-l.timers.fired():
			l.fireTimers(time.Now())
		}
	}
}

// drainEvents executes the events that are in the queue when ctx ends, without the module, so that answers that
// have already arrived are delivered.
func (l *loop) drainEvents() {
	l.isEnding = true
	for range len(l.events) {
		(<-l.events)()
	}
}

func (l *loop) fireTimers(now time.Time) {
	for {
		label, ok := l.timers.popDue(now)
		if !ok {
			return
		}
		l.handle(control.TimerFired{Label: label})
	}
}

// shutDown ends the loop. panicValue is the value of a panic of the module; nil if ctx has ended.
func (l *loop) shutDown(panicValue any) {
	if panicValue != nil {
		l.err = fmt.Errorf("the decision module failed: %v\n%s", panicValue, debug.Stack())
	}
	unanswered := l.answerAll()
	if l.statistics != nil {
		l.statistics.loopEnded(unanswered, l.err != nil)
		l.collector.removeLoop(l.statistics)
	}
	if closer, ok := l.module.(io.Closer); ok {
		if err := closer.Close(); err != nil {
			l.log.Warn("closing the decision module failed", "err", err)
		}
	}
	close(l.ended)
	l.timers.stop()
	l.cancelLifetime()
}

// answerAll answers and releases all exchanges, and returns how many had no answer. Attempts that are not written yet
// are withdrawn. After a panic all are answered as failed, as the request that caused it must not be retried at another
// node.
func (l *loop) answerAll() (unanswered int) {
	for _, x := range l.exchanges {
		if !x.isAnswered {
			unanswered++
		}
		for _, attempt := range x.attempts {
			attempt.Withdraw()
		}
		answer := Answer{Kind: Failed, Status: http.StatusBadGateway}
		if l.err == nil && x.cannotHaveRun() {
			answer = Answer{Kind: Rejected, Status: http.StatusServiceUnavailable, LastAttempt: x.lastReason}
		}
		l.finish(x, answer)
		l.endRun(x)
		x.unretain() // the outcomes of attempts still in flight are not handled any more
	}
	return unanswered
}

// handle reports an event to the module, and then the events that executing the module's actions causes.
func (l *loop) handle(e control.Event) {
	l.pendingEvents = append(l.pendingEvents, e)
	l.processPending()
}

// processPending reports pending events to the module until none is left.
func (l *loop) processPending() {
	for len(l.pendingEvents) > 0 {
		e := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		for _, a := range l.decide(e) {
			l.execute(a)
		}
	}
}

// decide passes an event to the module, and measures how long that takes if it is observed.
func (l *loop) decide(e control.Event) []control.Action {
	if l.isEnding {
		return nil
	}
	if l.observeModuleTime == nil {
		return l.module.Handle(l.now(), e)
	}
	startedAt := time.Now()
	actions := l.module.Handle(l.now(), e)
	l.observeModuleTime(time.Since(startedAt))
	return actions
}

// execute carries out one action of the module.
func (l *loop) execute(a control.Action) {
	if l.recorder != nil {
		l.recorder.recordCause(a)
	}
	switch a := a.(type) {
	case control.Send:
		l.startAttempt(a)
	case control.CancelAttempt:
		l.cancelAttempt(a)
	case control.Reject:
		l.answerUnserved(l.exchanges[a.ID], Answer{
			Kind:       Rejected,
			Status:     http.StatusServiceUnavailable,
			RetryAfter: a.RetryAfter,
			Cause:      a.Cause,
		})
	case control.Fail:
		l.failRequest(l.exchanges[a.ID])
	case control.StartTimer:
		l.timers.arm(time.Now().Add(a.After), a.Label)
	case control.Disconnect:
		l.reconnect(a.Server)
	case control.LogLine:
		l.log.Info("decision module remark", "remark", a.Text)
	}
}
