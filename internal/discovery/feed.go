// Package discovery gets the endpoint list of a service: the app servers that may serve its requests. A Feed follows
// a Source, which is a discovery of the platform's protocol, a file or the configuration itself, and delivers each list
// and each change. Package service runs one Feed for each service; package config reads Sources.
package discovery

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Feed follows one source after another and delivers what each lists. The list of a new source replaces that of its
// predecessor once it has arrived, and not before.
type Feed struct {
	deliver        func(EndpointList) // called on the goroutine of Run
	silenceTimeout time.Duration      // after which a watch is presumed broken
	fileInterval   time.Duration      // between two checks of a file
	pacer          Pacer              // of calls to a discovery that the group shares; see pacerFor
	transport      http.RoundTripper  // nil is the network; tests set another

	// HasCachedList is set before Run where a list is known from an earlier run, so that the first call may be delayed.
	HasCachedList bool

	mu                  sync.Mutex
	source              Source
	hasMoved            bool               // SetSource has been called
	isAwaitingNewSource bool               // nothing has arrived from source since SetSource
	revision            int64              // of the list that is known of source; 0 for none
	cancelSource        context.CancelFunc // has Run follow source
}

// NewFeed makes a feed of a source. revision is that of the list which is known of it, 0 where none is. pacer delays
// the calls to a discovery. Run calls deliver, on its own goroutine.
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

// SetSource makes the feed follow another source at once. It may be called at any time, from any goroutine. While
// nothing has arrived from a source, setting the same one does nothing: a call that is cancelled repeatedly would
// be answered too late.
func (f *Feed) SetSource(source Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAwaitingNewSource && f.source.Equal(source) {
		return
	}
	f.source = source
	f.hasMoved = true
	f.isAwaitingNewSource = true
	f.revision = 0 // revisions of two discoveries can't be compared: the new one has to send its complete list
	f.cancelSource()
}

// sourceState is a source to follow, as it was when Run started to.
type sourceState struct {
	Source
	revision int64
	hasMoved bool
}

// enterSource returns the source to follow, and a context that ends when there is another one or ctx ends.
func (f *Feed) currentSource(ctx context.Context) (context.Context, sourceState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sourceContext, cancel := context.WithCancel(ctx)
	f.cancelSource = cancel
	return sourceContext, sourceState{f.source, f.revision, f.hasMoved}
}

// receive delivers a message of the source.
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

// watch follows a discovery until ctx ends.
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

// pacerFor is the pacer of calls to a source. Calls to an instance's own agent compete with no other's, so they are not
// spread: the instance would serve by an old list while its agent has the new one.
func (f *Feed) pacerFor(source Source) Pacer {
	pacer := f.pacer
	if source.IsOwnAgent {
		pacer.GroupSize = 1
	}
	return pacer
}
