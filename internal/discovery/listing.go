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

// Listing is one message of discovery. Read from JSON it holds the entries that can be used.
type Listing struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
	Odd     Odd      `json:"-"`
}

// Odd is what was left out of a message.
type Odd struct {
	N     int   // entries
	First error // what is wrong with the first of them
}

func (o *Odd) add(err error) {
	if o.N++; o.First == nil {
		o.First = err
	}
}

// UnmarshalJSON reads a message entry by entry: one that can't be used is left out, and the rest
// holds. Of an entry that says that its server is not up, no more is needed than which it is.
func (l *Listing) UnmarshalJSON(raw []byte) error {
	var m struct {
		Rev     int64             `json:"rev"`
		All     bool              `json:"all"`
		Targets []json.RawMessage `json:"targets"`
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return err
	}
	*l = Listing{Rev: m.Rev, All: m.All}
	for i, one := range m.Targets {
		t, err := readTarget(one)
		if err != nil {
			l.Odd.add(fmt.Errorf("rev %d: entry %d: %w", m.Rev, i, err))
			continue
		}
		l.Targets = append(l.Targets, t)
	}
	// Guards against a whole list of which nothing could be read, taken for a fleet that is gone.
	if m.All && len(m.Targets) > 0 && len(l.Targets) == 0 {
		return l.Odd.First
	}
	return nil
}

func readTarget(raw json.RawMessage) (Target, error) {
	var t Target
	err := json.Unmarshal(raw, &t)
	if err == nil {
		err = t.check()
	}
	if err == nil {
		return t, nil
	}
	var gone struct {
		UID   string `json:"uid"`
		State string `json:"state"`
	}
	if json.Unmarshal(raw, &gone) == nil && gone.UID != "" && gone.State != "" && gone.State != "up" {
		return Target{UID: gone.UID, State: gone.State}, nil
	}
	return Target{}, err
}

// Target is one app server as discovery lists it.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
	Protocol string  `json:"protocol,omitempty"` // one of Protocols; "" is the service's
}

// Protocols are what servers may be spoken to in.
var Protocols = []string{"http/1.1", "http/2", "http/2 or 1.1"}

// Check tells what in a list can't be used, where all of it has to be: one that an operator wrote.
func (l *Listing) Check() error {
	if l.Odd.N > 0 {
		return l.Odd.First
	}
	for i := range l.Targets {
		if err := l.Targets[i].check(); err != nil {
			return fmt.Errorf("rev %d: %w", l.Rev, err)
		}
	}
	return nil
}

func (t *Target) check() error {
	if t.UID == "" {
		return errors.New("a target has no uid")
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && t.Condition() == control.Active {
		return fmt.Errorf("target %s: %w", t.UID, err)
	}
	if t.Protocol != "" && !slices.Contains(Protocols, t.Protocol) {
		return fmt.Errorf("target %s: protocol %q is none of %s", t.UID, t.Protocol, strings.Join(Protocols, ", "))
	}
	return nil
}

// Condition reads a state. One that is not known is no place to send new work to.
func (t *Target) Condition() control.EndpointState {
	switch t.State {
	case "up":
		return control.Active
	case "removed":
		return control.Gone
	}
	return control.Draining
}
