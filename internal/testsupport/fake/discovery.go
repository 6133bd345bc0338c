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

// heartbeatInterval is the interval at which an empty line is sent on a watch without changes (PROTOCOL: 2 s).
const heartbeatInterval = time.Second

// States of servers in discovery (PROTOCOL).
const (
	stateUp      = "up"
	stateRemoved = "removed"
)

// Entry is an app server in discovery (PROTOCOL).
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host:port
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // start time as Unix time in milliseconds; 0 if unknown
}

// Entry returns the server's entry, with the state up. Only a server that warms up reports its start time.
func (r *Running) Entry() Entry {
	entry := Entry{UID: r.UID, Endpoint: r.Addr(), Zone: r.Zone, Group: r.GroupNumber, State: stateUp, Capacity: 1}
	if r.WarmUp > 0 {
		entry.BootMS = float64(r.startedAt.UnixMilli())
	}
	return entry
}

// Discovery serves the endpoint list and its watches. Its methods are safe for concurrent use.
type Discovery struct {
	listener net.Listener
	http     *http.Server

	mu       sync.Mutex
	lag      func() time.Duration // returns the delay of a new watch's changes; nil means none
	revision int
	changes  []change // changes of all revisions, in order
	isSilent bool
	changed  chan struct{} // closed and replaced at each change
	closed   chan struct{}
}

// change is a change of one entry, with its revision.
type change struct {
	revision int
	entry    Entry
}

// StartDiscovery starts a discovery with an empty list on a free port of the loopback address.
func StartDiscovery() (*Discovery, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", loopbackAddress)
	if err != nil {
		return nil, fmt.Errorf("starting discovery: %w", err)
	}
	d := &Discovery{listener: listener, revision: 1, changed: make(chan struct{}), closed: make(chan struct{})}
	d.http = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.http.Serve(listener) //nolint:errcheck // ends with its listener
	return d, nil
}

// Addr returns the address that the discovery listens on.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close stops the discovery and ends all its watches.
func (d *Discovery) Close() {
	close(d.closed)
	d.http.Close()
}

// Publish adds or changes entries in a new revision. An entry with the state "removed" is removed from the list.
func (d *Discovery) Publish(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, entry := range entries {
		d.changes = append(d.changes, change{revision: d.revision, entry: entry})
	}
	d.notify()
}

// notify wakes all watches. d.mu must be locked.
func (d *Discovery) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetLag delays the changes on each watch opened from now on. lag is called once per watch and returns its delay. It is
// called with the discovery locked.
func (d *Discovery) SetLag(lag func() time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// newLag returns the lag of a new watch.
func (d *Discovery) newLag() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lag == nil {
		return 0
	}
	return d.lag()
}

// SetSilent stops or resumes all sending, on open watches too.
func (d *Discovery) SetSilent(isSilent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isSilent = isSilent
	d.notify()
}

// message is one line of a watch or the answer to a poll.
type message struct {
	Revision int     `json:"rev"`
	IsAll    bool    `json:"all"` // the line contains the complete list, not the changes
	Targets  []Entry `json:"targets"`
}

// update is the message that a watch has to send next.
type update struct {
	message  message
	changed  chan struct{} // closed at the next change
	isSilent bool
}

// updateSince returns the changes after a revision, or the complete list if there is no such revision.
func (d *Discovery) updateSince(revision int) update {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := message{Revision: d.revision, IsAll: revision <= 0 || revision > d.revision, Targets: []Entry{}}
	latest := make(map[string]Entry) // by UID
	var order []string
	for _, c := range d.changes {
		if !m.IsAll && c.revision <= revision {
			continue
		}
		if _, ok := latest[c.entry.UID]; !ok {
			order = append(order, c.entry.UID)
		}
		latest[c.entry.UID] = c.entry
	}
	for _, uid := range order {
		if entry := latest[uid]; !m.IsAll || entry.State != stateRemoved {
			m.Targets = append(m.Targets, entry)
		}
	}
	return update{message: m, changed: d.changed, isSilent: d.isSilent}
}

// serve answers a poll or a watch.
func (d *Discovery) serve(w http.ResponseWriter, request *http.Request) {
	revision := 0
	_, _ = fmt.Sscanf(request.URL.Query().Get("from"), "%d", &revision) // 0 without it
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	lag := d.newLag()
	for isFirst := true; ; isFirst = false {
		u := d.updateSince(revision)
		if !u.isSilent && (isFirst || u.message.Revision > revision) {
			if json.NewEncoder(w).Encode(u.message) != nil {
				return
			}
			revision = u.message.Revision
		}
		w.(http.Flusher).Flush()
		if request.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-u.changed:
			select {
			case <-time.After(lag):
			case <-request.Context().Done():
				return
			}
		case <-heartbeat.C:
			if !u.isSilent {
				w.Write([]byte("\n"))
			}
		case <-request.Context().Done():
			return
		case <-d.closed:
			return
		}
	}
}
