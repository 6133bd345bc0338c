package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lockflow/control"
)

const (
	watchSilence = 3 * time.Second // a heartbeat and a half, and more than an answer takes: the watch is dead
	backoffFirst = 100 * time.Millisecond
	messageMost  = 4 << 20 // bytes of a message
)

var (
	errSilent = errors.New("it fell silent")
	errTurned = errors.New("discovery turned the call away")
)

// watcher keeps a watch on the server list at one address, whatever becomes of its
// connections.
type watcher struct {
	client  *http.Client
	url     string
	rev     int64
	silence time.Duration
	pace    *Pacer
	tell    func(EndpointList)
	last    time.Time // when it was last heard
}

func newWatcher(addr string, rev int64, silence time.Duration, pace *Pacer, tell func(EndpointList)) *watcher {
	return &watcher{
		pace: pace, url: "http://" + addr + "/v1/servers?watch=1", rev: rev, silence: silence, tell: tell,
		last: time.Now(),
		client: &http.Client{Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: silence}).DialContext,
			DisableKeepAlives: true, DisableCompression: true,
		}},
	}
}

// stay watches at one address until ctx ends, from some time on.
func (w *watcher) stay(ctx context.Context, after time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(after):
		}
		begun := time.Now()
		heard, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		next := w.pace.RetryDelay
		if errors.Is(err, errTurned) {
			next = w.pace.RejectionDelay
		}
		after = next(time.Since(begun), time.Since(w.last))
		if heard {
			slog.Warn("discovery: watch ended", "rev", w.rev, "err", err)
		} else {
			slog.Debug("discovery: no watch", "in", after, "err", err)
		}
	}
}

// watch holds one watch for as long as it lives and tells whether it said anything.
func (w *watcher) watch(ctx context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Guards against a connection that never comes up, or dies without a word: a heartbeat is due every 2 s.
	silent := time.AfterFunc(w.silence, func() { cancel(errSilent) })
	defer silent.Stop()
	url := w.url
	if w.rev > 0 {
		url += "&from=" + strconv.FormatInt(w.rev, 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return false, unanswered(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("%w: %s", errTurned, resp.Status)
	}
	silent.Reset(w.silence)
	in := &watched{watcher: w, from: resp.Body, silent: silent}
	in.dec = json.NewDecoder(in)
	for first := true; ; first = false {
		var l EndpointList
		if err := in.dec.Decode(&l); err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return in.heard, err
		}
		ahead, _ := io.ReadAll(in.dec.Buffered())
		in.begun = len(bytes.TrimSpace(ahead)) > 0
		if err := w.take(l, first); err != nil {
			return in.heard, err
		}
	}
}

// unanswered tells what a call came to that has no answer: nobody was there, by the dialer's clock too, or
// somebody turned it away.
func unanswered(err error) error {
	op, ok := errors.AsType[*net.OpError](err)
	switch dial := ok && op.Op == "dial"; {
	case dial && op.Timeout():
		return errSilent
	case dial || errors.Is(err, errSilent):
		return err
	}
	return fmt.Errorf("%w: %w", errTurned, err)
}

// watched is what a watch says: JSON objects, which may be indented and so go over many lines, and empty
// lines between them.
type watched struct {
	*watcher
	from   io.Reader
	dec    *json.Decoder // that reads it
	silent *time.Timer
	heard  bool
	begun  bool // a message of which the rest is to come
	read   int64
}

// Read bounds a message by what was read since the end of the last one. Guards against a message
// that was cut off and is followed by heartbeats: within one they are no life.
func (w *watched) Read(p []byte) (int, error) {
	if w.read-w.dec.InputOffset() > messageMost {
		return 0, fmt.Errorf("a message of more than %d bytes", messageMost)
	}
	n, err := w.from.Read(p)
	if n > 0 {
		w.read += int64(n)
		w.heard = true
		if says := len(bytes.TrimSpace(p[:n])) > 0; says || !w.begun {
			w.begun = says
			w.last = time.Now()
			w.silent.Reset(w.silence)
		}
	}
	return n, err
}

// take takes one message of a watch, of which first begins it. After one that can't be used, a new watch asks again from the last
// version that was whole.
func (w *watcher) take(l EndpointList, first bool) error {
	if l.Revision < w.rev && !(l.IsComplete && first) {
		// Guards against a discovery that began to count anew, whose changes don't fit our list, and against
		// a message that comes late: a server may have drained since. That one is not up is true of any.
		l.Endpoints = slices.DeleteFunc(l.Endpoints, func(t Endpoint) bool { return t.EndpointState() == control.Active })
		if l.IsComplete, w.rev = false, 0; len(l.Endpoints) > 0 {
			w.tell(l)
		}
		return fmt.Errorf("discovery: version went back to %d", l.Revision)
	}
	w.rev = l.Revision
	w.tell(l)
	return nil
}
