package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"lockflow/internal/filewatch"
)

// Kind says where a list of servers comes from.
type Kind int

// The kinds of source.
const (
	Watch  Kind = iota // the discovery of the protocol, watched
	File               // a file with a Listing as JSON, looked at again and again
	Static             // the configuration itself
)

const (
	fileEvery = time.Second // how often a file is looked at
	fileMost  = 4 << 20     // bytes of it
)

// Source is where a service's list of servers comes from.
type Source struct {
	Kind       Kind
	Address    string     // with Watch: host and port
	IsOwnAgent bool       // with Watch: it is this instance's own agent, which answers at no cost to others
	Path       string     // with File
	Endpoints  []Endpoint // with Static
}

// Equal tells whether two sources are the same.
func (s Source) Equal(o Source) bool {
	return s.Kind == o.Kind && s.Address == o.Address && s.IsOwnAgent == o.IsOwnAgent && s.Path == o.Path && slices.Equal(s.Endpoints, o.Endpoints)
}

// Feed follows one source after another and tells what each lists. The list of a further
// source replaces that of the one before as soon as it is there, and not sooner.
type Feed struct {
	tell    func(EndpointList)
	silence time.Duration     // after which a watch is dead
	every   time.Duration     // between two looks at a file
	pace    Pacer             // of a shared discovery; see paceOf
	through http.RoundTripper // nil is the network; tests have another

	// HasCachedList is set before Run where a list is known, so that the first call can wait.
	HasCachedList bool

	mu    sync.Mutex
	src   Source
	moved bool               // from the source of the start
	moves bool               // to src, of which nothing was heard since
	rev   int64              // of the list that is known at the start
	leave context.CancelFunc // ends the stay at the present source
}

// NewFeed makes a feed of a source of which a list of some version is known; 0 is none. Watches are
// begun at pace's times. tell is called on the goroutine of Run.
func NewFeed(src Source, rev int64, pace Pacer, tell func(EndpointList)) *Feed {
	return &Feed{src: src, rev: rev, pace: pace, tell: tell, silence: watchSilence, every: fileEvery, leave: func() {}}
}

// SetSource has the feed go on with another source, at once. It may be called at any time, from
// any goroutine.
func (f *Feed) SetSource(src Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Guards against a call that is broken off again and again, and is answered when its news has long
	// counted as told.
	if f.moves && f.src.Equal(src) {
		return
	}
	f.moves = true
	// Guards against versions of one discovery held against those of another: the new one is
	// asked for its whole list.
	f.src, f.rev, f.moved = src, 0, true
	f.leave()
}

func (f *Feed) arrive(ctx context.Context) (here context.Context, src Source, rev int64, moved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	here, f.leave = context.WithCancel(ctx)
	return here, f.src, f.rev, f.moved
}

// hear tells what a source lists.
func (f *Feed) hear(l EndpointList) {
	f.mu.Lock()
	f.moves = false
	f.mu.Unlock()
	f.tell(l)
}

// Run follows the sources until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		here, src, rev, moved := f.arrive(ctx)
		switch src.Kind {
		case Watch:
			pace := f.paceOf(src)
			w := newWatcher(src.Address, rev, f.silence, &pace, f.hear)
			if f.through != nil {
				w.client.Transport = f.through
			}
			after := time.Duration(0)
			if moved {
				after = pace.MoveDelay()
				w.last = w.last.Add(-movedSpent)
			} else if f.HasCachedList {
				after = pace.FirstDelay()
			}
			w.stay(here, after)
		case File:
			f.follow(here, src.Path)
		case Static:
			f.hear(EndpointList{IsComplete: true, Endpoints: src.Endpoints})
			<-here.Done()
		}
	}
}

// paceOf is the pace of calls to a source. Guards against an instance that goes on with an old list
// while its own agent has the news: nobody else waits for what an agent is asked.
func (f *Feed) paceOf(src Source) Pacer {
	p := f.pace
	if src.IsOwnAgent {
		p.GroupSize = 1
	}
	return p
}

// follow tells the list in a file, and again when the file has changed, until ctx ends. A
// file that can't be read or used leaves the list as it is, and says so once.
func (f *Feed) follow(ctx context.Context, path string) {
	filewatch.Follow(ctx, path, f.every, nil, func() error {
		l, err := ReadFile(path)
		if err == nil {
			f.hear(l)
		}
		return err
	}, func(err error) { slog.Warn("server list: the old one stays", "err", err) })
}

// ReadFile reads a file that holds the whole list as JSON, in discovery's form.
func ReadFile(path string) (EndpointList, error) {
	var l EndpointList
	info, err := os.Stat(path)
	if err == nil && info.Size() > fileMost {
		err = fmt.Errorf("%s: %d bytes are more than %d", path, info.Size(), fileMost)
	}
	if err != nil {
		return l, fmt.Errorf("reading the server list: %w", err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return l, fmt.Errorf("reading the server list: %w", err)
	}
	if err := json.Unmarshal(raw, &l); err != nil {
		return l, fmt.Errorf("server list %s: %w", path, err)
	}
	if err := l.Validate(); err != nil {
		return l, fmt.Errorf("server list %s: %w", path, err)
	}
	l.IsComplete = true
	return l, nil
}
