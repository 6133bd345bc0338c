package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"martennotch/control"
)

const (
	watchSilence  = 3 * time.Second // a heartbeat and a half: the watch is dead
	watchAnswer   = 2 * time.Second // the agent answers at once or not at all
	backoffFirst  = 100 * time.Millisecond
	backoffMost   = 500 * time.Millisecond // the agent is near; its news counts as told after 4 s
	watchLineMost = 4 << 20
)

// listing is one message of discovery.
type listing struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// target is one app server as discovery lists it.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

// check tells what in a message can't be used.
func (l *listing) check() error {
	for _, t := range l.Targets {
		if t.UID == "" {
			return fmt.Errorf("rev %d: a target has no uid", l.Rev)
		}
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && t.State != "removed" {
			return fmt.Errorf("rev %d: target %s: %w", l.Rev, t.UID, err)
		}
	}
	return nil
}

// condition reads a state. One that is not known is no place to send new work to.
func (t *target) condition() control.Condition {
	switch t.State {
	case "up":
		return control.On
	case "removed":
		return control.Off
	}
	return control.Fading
}

// watcher keeps a watch on the server list, whatever becomes of its connections.
type watcher struct {
	client  *http.Client
	url     string
	rev     int64
	silence time.Duration
	tell    func(listing)

	mu    sync.Mutex
	next  string             // the address to move to; "" is none
	leave context.CancelFunc // ends the stay at the present address
}

func newWatcher(addr string, rev int64, tell func(listing)) *watcher {
	return &watcher{url: watchURL(addr), rev: rev, silence: watchSilence, tell: tell, leave: func() {},
		client: &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: watchAnswer,
			DialContext:       (&net.Dialer{Timeout: watchAnswer}).DialContext,
			DisableKeepAlives: true, DisableCompression: true}}}
}

func watchURL(addr string) string { return "http://" + addr + "/v1/servers?watch=1" }

// move has the watch go on at another address, at once.
func (w *watcher) move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next = addr
	w.leave()
}

// arrive turns to the address that is in force and gives the life of the stay there.
func (w *watcher) arrive(ctx context.Context) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != "" {
		// Guards against versions of one discovery held against those of another: the new
		// one is asked for its whole list.
		w.url, w.rev, w.next = watchURL(w.next), 0, ""
	}
	ctx, w.leave = context.WithCancel(ctx)
	return ctx
}

// run watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.stay(w.arrive(ctx))
	}
}

// stay watches at one address until ctx ends.
func (w *watcher) stay(ctx context.Context) {
	pause := backoffFirst
	for {
		heard, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if heard {
			pause = backoffFirst
			slog.Warn("discovery: watch ended", "rev", w.rev, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, backoffMost)
	}
}

// watch holds one watch for as long as it lives and tells whether it said anything.
func (w *watcher) watch(ctx context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
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
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery answered %s", resp.Status)
	}
	// Guards against a connection that died without a word: a heartbeat is due every 2 s.
	silent := time.AfterFunc(w.silence, cancel)
	defer silent.Stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, watchLineMost)
	for lines.Scan() {
		silent.Reset(w.silence)
		heard = true
		if len(lines.Bytes()) == 0 {
			continue
		}
		if err := w.take(lines.Bytes()); err != nil {
			return heard, err
		}
	}
	return heard, lines.Err()
}

// take reads one line of a watch. After a line that can't be used, a new watch
// asks again from the last version that was whole.
func (w *watcher) take(line []byte) error {
	var l listing
	if err := json.Unmarshal(line, &l); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if err := l.check(); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if !l.All && l.Rev < w.rev {
		// Guards against a discovery that began to count anew: its changes don't fit our list.
		w.rev = 0
		return fmt.Errorf("discovery: version went back to %d", l.Rev)
	}
	w.rev = l.Rev
	w.tell(l)
	return nil
}
