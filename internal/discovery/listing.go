// Package discovery learns the list of a service's app servers, from the discovery of the
// protocol, a file or the configuration itself, and tells it on.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"lockflow/control"
)

// EndpointList is one message of discovery. Read from JSON it holds the entries that can be used.
type EndpointList struct {
	Revision   int64          `json:"rev"`
	IsComplete bool           `json:"all"`
	Endpoints  []Endpoint     `json:"targets"`
	Invalid    InvalidEntries `json:"-"`
}

// InvalidEntries is what was left out of a message.
type InvalidEntries struct {
	Count      int   // entries
	FirstError error // what is wrong with the first of them
}

func (o *InvalidEntries) record(err error) {
	if o.Count++; o.FirstError == nil {
		o.FirstError = err
	}
}

// UnmarshalJSON reads a message entry by entry: one that can't be used is left out, and the rest
// holds. Of an entry that says that its server is not up, no more is needed than which it is.
func (l *EndpointList) UnmarshalJSON(raw []byte) error {
	var m struct {
		Rev     int64             `json:"rev"`
		All     bool              `json:"all"`
		Targets []json.RawMessage `json:"targets"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return err
	}
	*l = EndpointList{Revision: m.Rev, IsComplete: m.All}
	for i, one := range m.Targets {
		t, err := readEndpoint(one)
		if err != nil {
			l.Invalid.record(fmt.Errorf("rev %d: entry %d: %w", m.Rev, i, err))
			continue
		}
		l.Endpoints = append(l.Endpoints, t)
	}
	// Guards against a whole list of which nothing could be read, taken for a fleet that is gone.
	if m.All && len(m.Targets) > 0 && len(l.Endpoints) == 0 {
		return l.Invalid.FirstError
	}
	return nil
}

func readEndpoint(raw json.RawMessage) (Endpoint, error) {
	var t Endpoint
	err := json.Unmarshal(raw, &t)
	if err == nil {
		err = t.validate()
	}
	if err == nil {
		return t, nil
	}
	var gone struct {
		UID   string `json:"uid"`
		State string `json:"state"`
	}
	if json.Unmarshal(raw, &gone) == nil && gone.UID != "" && gone.State != "" && gone.State != "up" {
		return Endpoint{UID: gone.UID, State: gone.State}, nil
	}
	return Endpoint{}, err
}

// Endpoint is one app server as discovery lists it.
type Endpoint struct {
	UID         string  `json:"uid"`
	Address     string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Model       string  `json:"model"`
	Group       int     `json:"pod_group"`
	State       string  `json:"state"`
	Capacity    float64 `json:"capacity_hint"`
	StartedAtMS float64 `json:"boot_ms"`
	Protocol    string  `json:"protocol,omitempty"` // one of Protocols; "" is the service's
}

// Protocols are what servers may be spoken to in.
var Protocols = []string{"http/1.1", "http/2", "http/2 or 1.1"}

// Validate tells what in a list can't be used, where all of it has to be: one that an operator wrote.
func (l *EndpointList) Validate() error {
	if l.Invalid.Count > 0 {
		return l.Invalid.FirstError
	}
	for i := range l.Endpoints {
		if err := l.Endpoints[i].validate(); err != nil {
			return fmt.Errorf("rev %d: %w", l.Revision, err)
		}
	}
	return nil
}

func (t *Endpoint) validate() error {
	if t.UID == "" {
		return errors.New("a target has no uid")
	}
	if _, _, err := net.SplitHostPort(t.Address); err != nil && t.EndpointState() == control.Active {
		return fmt.Errorf("target %s: %w", t.UID, err)
	}
	if t.Protocol != "" && !slices.Contains(Protocols, t.Protocol) {
		return fmt.Errorf("target %s: protocol %q is none of %s", t.UID, t.Protocol, strings.Join(Protocols, ", "))
	}
	return nil
}

// EndpointState reads a state. One that is not known is no place to send new work to.
func (t *Endpoint) EndpointState() control.EndpointState {
	switch t.State {
	case "up":
		return control.Active
	case "removed":
		return control.Gone
	}
	return control.Draining
}
