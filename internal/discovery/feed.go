// Package discovery obtains the endpoint list of a service: the app servers that may serve its requests. A Feed follows
// a Source, which is a discovery server that speaks the platform's protocol, a file, or the configuration itself, and
// delivers each list and each change. Package service runs one Feed per service; package config parses Sources.
package discovery

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Feed follows the current source and delivers its endpoint lists. After a change of source, the old source's list
// stays in force until the new source's list has arrived.
type Feed struct {
	deliver        func(EndpointList) // called on the goroutine of Run
	silenceTimeout time.Duration      // a watch without data or heartbeat for this long is presumed broken
	fileInterval   time.Duration      // between two checks of a file
	pacer          Pacer              // delays calls to a discovery that the group shares; see pacerFor
	transport      http.RoundTripper  // replaces the network in tests; otherwise nil

	// HasCachedList tells that a list is known from an earlier run, so that the first call may be delayed. It must be
	// set before Run.
	HasCachedList bool

	mu                  sync.Mutex
	source              Source
	hasMoved            bool               // SetSource has been called
	isAwaitingNewSource bool               // no message has arrived from source since SetSource
	revision            int64              // of the latest known list of source; 0 if none is known
	cancelSource        context.CancelFunc // makes Run switch to source
}

// NewFeed returns a feed that follows source. revision is the revision of the latest known list of that source, or 0 if
// none is known. pacer delays the calls to a discovery. Run calls deliver on its own goroutine.
func NewFeed(source Source, revision int64, pacer Pacer, deliver func(EndpointList)) *Feed {
	return &Feed{
		deliver:        deliver,
		silenceTimeout: watchSilenceTimeout,
		fileInterval:   fileCheckInterval,
		pacer:          pacer,
		source:         source,
		revision:       revision,
		cancelSource:   func() {},
	}
}

// SetSource makes the feed follow another source immediately. It may be called at any time, from any goroutine. Setting
// the same source before its first message has arrived has no effect: each call would cancel the pending request to the
// discovery, whose answer would then arrive too late.
func (f *Feed) SetSource(source Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAwaitingNewSource && f.source.Equal(source) {
		return
	}
	f.source = source
	f.hasMoved = true
	f.isAwaitingNewSource = true
	f.revision = 0 // revisions of different discoveries can't be compared, so the new one has to send its complete list
	f.cancelSource()
}

// sourceState is a copy of the feed's source and its state at the time when Run starts to follow it.
type sourceState struct {
	Source
	revision int64
	hasMoved bool
}

// currentSource returns the source to follow, and a context that ends when SetSource replaces the source or ctx ends.
func (f *Feed) currentSource(ctx context.Context) (context.Context, sourceState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sourceContext, cancel := context.WithCancel(ctx)
	f.cancelSource = cancel
	return sourceContext, sourceState{f.source, f.revision, f.hasMoved}
}

// receive delivers a message of the current source.
func (f *Feed) receive(list EndpointList) {
	f.mu.Lock()
	f.isAwaitingNewSource = false
	f.mu.Unlock()
	f.deliver(list)
}

// Run follows the sources until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sourceContext, source := f.currentSource(ctx)
		switch source.Kind {
		case Watch:
			f.watch(sourceContext, source)
		case File:
			f.followFile(sourceContext, source.Path)
		case Static:
			f.receive(EndpointList{IsComplete: true, Endpoints: source.Endpoints})
			<-sourceContext.Done()
		}
	}
}

// watch follows a discovery server until ctx ends.
func (f *Feed) watch(ctx context.Context, source sourceState) {
	pacer := f.pacerFor(source.Source)
	w := newWatcher(source.Address, source.revision, f.silenceTimeout, &pacer, f.receive)
	if f.transport != nil {
		w.client.Transport = f.transport
	}
	delay := time.Duration(0)
	switch {
	case source.hasMoved:
		delay = pacer.MoveDelay()
		w.lastReceived = w.lastReceived.Add(-moveTimeSpent)
	case f.HasCachedList:
		delay = pacer.FirstDelay()
	}
	w.run(ctx, delay)
}

// pacerFor returns the pacer for calls to a source. Calls to an instance's own agent are not spread, because no other
// instance calls that agent, and a delay would only make the instance use an old list for longer.
func (f *Feed) pacerFor(source Source) Pacer {
	pacer := f.pacer
	if source.IsOwnAgent {
		pacer.GroupSize = 1
	}
	return pacer
}
