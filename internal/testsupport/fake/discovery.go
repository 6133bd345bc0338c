package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is how often a watch on which nothing changes has an empty line (PROTOCOL: 2 s).
const heartbeat = time.Second

// Entry is an app server as discovery lists it (PROTOCOL).
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

// Entry is the server as discovery lists it, up. One that starts cold tells when it started.
func (r *Running) Entry() Entry {
	e := Entry{UID: r.UID, Endpoint: r.Addr(), Zone: r.Zone, Group: r.Place, State: "up", Capacity: 1}
	if r.WarmUp > 0 {
		e.BootMS = float64(r.started.UnixMilli())
	}
	return e
}

// Discovery serves the list of servers and its changes. Its methods are safe for concurrent
// use.
type Discovery struct {
	listener net.Listener
	http     *http.Server

	mu      sync.Mutex
	lag     func() time.Duration // of each watch; nil is none
	rev     int
	changes []change // the log, from the first version on
	silent  bool
	changed chan struct{} // closed at each change
	closed  chan struct{}
}

type change struct {
	rev   int
	entry Entry
}

// StartDiscovery starts one with an empty list.
func StartDiscovery() (*Discovery, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting discovery: %w", err)
	}
	d := &Discovery{listener: l, rev: 1, changed: make(chan struct{}), closed: make(chan struct{})}
	d.http = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.http.Serve(l) //nolint:errcheck // ends with its listener
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close ends it with all its watches.
func (d *Discovery) Close() {
	close(d.closed)
	d.http.Close()
}

// Publish lists servers, or changes of them; a removed one has that state.
func (d *Discovery) Publish(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, e := range entries {
		d.changes = append(d.changes, change{d.rev, e})
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetLag has each watch that begins from now on tell its news later, by what lag gives for it. lag
// is called by many goroutines.
func (d *Discovery) SetLag(lag func() time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// currentLag is by how much a new watch is late.
func (d *Discovery) currentLag() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lag == nil {
		return 0
	}
	return d.lag()
}

// SetSilent has it say nothing more, on open watches too, or go on.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	close(d.changed)
	d.changed = make(chan struct{})
}

type message struct {
	Rev     int     `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// since is what changed after a version; the whole list where that is none of its versions.
func (d *Discovery) since(from int) (message, chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := message{Rev: d.rev, All: from <= 0 || from > d.rev, Targets: []Entry{}}
	last := make(map[string]Entry)
	var order []string
	for _, c := range d.changes {
		if !m.All && c.rev <= from {
			continue
		}
		if _, ok := last[c.entry.UID]; !ok {
			order = append(order, c.entry.UID)
		}
		last[c.entry.UID] = c.entry
	}
	for _, uid := range order {
		if e := last[uid]; !m.All || e.State != "removed" {
			m.Targets = append(m.Targets, e)
		}
	}
	return m, d.changed, d.silent
}

func (d *Discovery) serve(w http.ResponseWriter, q *http.Request) {
	from := 0
	_, _ = fmt.Sscanf(q.URL.Query().Get("from"), "%d", &from) // 0 where there is none
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	lag := d.currentLag()
	for first := true; ; first = false {
		m, news, silent := d.since(from)
		if !silent && (first || m.Rev > from) {
			if json.NewEncoder(w).Encode(m) != nil {
				return
			}
			from = m.Rev
		}
		w.(http.Flusher).Flush()
		if q.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-news:
			select {
			case <-time.After(lag):
			case <-q.Context().Done():
				return
			}
		case <-beat.C:
			if !silent {
				w.Write([]byte("\n"))
			}
		case <-q.Context().Done():
			return
		case <-d.closed:
			return
		}
	}
}
