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

// EndpointList is one message of discovery: the complete list of a service's endpoints, or changes of it. Decoding it
// from JSON leaves out the entries that are invalid.
type EndpointList struct {
	Revision   int64          `json:"rev"`     // `rev` on the wire; grows with every change
	IsComplete bool           `json:"all"`     // `all` on the wire; otherwise the message holds changed endpoints only
	Endpoints  []Endpoint     `json:"targets"` // `targets` on the wire
	Invalid    InvalidEntries `json:"-"`
}

// InvalidEntries counts the entries that were left out of a message.
type InvalidEntries struct {
	Count      int
	FirstError error // of the first such entry
}

func (e *InvalidEntries) record(err error) {
	e.Count++
	if e.FirstError == nil {
		e.FirstError = err
	}
}

// UnmarshalJSON decodes a message entry by entry and leaves out the invalid ones. An entry for a server that is not
// up needs a uid and a state only. A complete list without a valid entry is an error: it must not be taken for a
// service without servers.
func (l *EndpointList) UnmarshalJSON(raw []byte) error {
	var message struct {
		Rev     int64             `json:"rev"`
		All     bool              `json:"all"`
		Targets []json.RawMessage `json:"targets"`
	}
	if err := json.Unmarshal(raw, &message); err != nil {
		return err
	}
	*l = EndpointList{Revision: message.Rev, IsComplete: message.All}
	for i, entry := range message.Targets {
		endpoint, err := decodeEndpoint(entry)
		if err != nil {
			l.Invalid.record(fmt.Errorf("rev %d: entry %d: %w", message.Rev, i, err))
			continue
		}
		l.Endpoints = append(l.Endpoints, endpoint)
	}
	if message.All && len(message.Targets) > 0 && len(l.Endpoints) == 0 {
		return l.Invalid.FirstError
	}
	return nil
}

// decodeEndpoint decodes one entry. Of an invalid one for a server that is not up, it returns the uid and the state.
func decodeEndpoint(raw json.RawMessage) (Endpoint, error) {
	var endpoint Endpoint
	err := json.Unmarshal(raw, &endpoint)
	if err == nil {
		err = endpoint.validate()
	}
	if err == nil {
		return endpoint, nil
	}
	var unavailable struct {
		UID   string `json:"uid"`
		State string `json:"state"`
	}
	isIdentified := json.Unmarshal(raw, &unavailable) == nil && unavailable.UID != ""
	isUnavailable := unavailable.State != "" && unavailable.State != stateUp
	if isIdentified && isUnavailable {
		return Endpoint{UID: unavailable.UID, State: unavailable.State}, nil
	}
	return Endpoint{}, err
}

// The states of a server on the wire. Every other one is that of a server that drains.
const (
	stateUp      = "up"
	stateRemoved = "removed"
)

// Endpoint is one app server as discovery lists it.
type Endpoint struct {
	UID         string  `json:"uid"`
	Address     string  `json:"endpoint"` // host and port
	Zone        string  `json:"az"`
	Model       string  `json:"model"`
	Group       int     `json:"pod_group"` // cell: the servers that drop repeats together
	State       string  `json:"state"`     // "up", "draining", "removed", or one that is not known
	Capacity    float64 `json:"capacity_hint"`
	StartedAtMS float64 `json:"boot_ms"`            // when it last started, Unix time in milliseconds; 0 for long ago
	Protocol    string  `json:"protocol,omitempty"` // one of Protocols; "" is that of the service
}

// Protocols are the values of Endpoint.Protocol.
var Protocols = []string{"http/1.1", "http/2", "http/2 or 1.1"}

// Validate returns an error where any entry is invalid, for lists that an operator wrote.
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

func (e *Endpoint) validate() error {
	if e.UID == "" {
		return errors.New("a target has no uid")
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && e.EndpointState() == control.Active {
		return fmt.Errorf("target %s: %w", e.UID, err)
	}
	if e.Protocol != "" && !slices.Contains(Protocols, e.Protocol) {
		return fmt.Errorf("target %s: protocol %q is none of %s", e.UID, e.Protocol, strings.Join(Protocols, ", "))
	}
	return nil
}

// EndpointState returns the state in the decision module's terms. A server in an unknown state gets no new requests.
func (e *Endpoint) EndpointState() control.EndpointState {
	switch e.State {
	case stateUp:
		return control.Active
	case stateRemoved:
		return control.Gone
	default:
		return control.Draining
	}
}
