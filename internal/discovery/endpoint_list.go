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

// EndpointList is one message from a discovery: the complete list of a service's endpoints, or changes to that list.
// Decoding it from JSON leaves out invalid entries.
type EndpointList struct {
	Revision   int64          `json:"rev"`     // `rev` on the wire; increases with every change
	IsComplete bool           `json:"all"`     // `all` on the wire; if false, the message holds changed endpoints only
	Endpoints  []Endpoint     `json:"targets"` // `targets` on the wire
	Invalid    InvalidEntries `json:"-"`
}

// InvalidEntries counts the entries of a message that were left out because they are invalid.
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

// UnmarshalJSON decodes a message entry by entry and leaves out invalid entries. An entry for a server that is not up
// needs only a uid and a state. A complete list that has entries but no valid one is an error, because it would
// otherwise mean that the service has no servers.
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

// decodeEndpoint decodes one entry. For an invalid entry of a server that is not up, it returns the uid and the state
// only.
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

// The states of a server on the wire. Any other state is treated as draining.
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
	Group       int     `json:"pod_group"` // cell: servers that detect repeated requests jointly
	State       string  `json:"state"`     // "up", "draining", "removed", or an unknown state
	Capacity    float64 `json:"capacity_hint"`
	StartedAtMS float64 `json:"boot_ms"`            // time of the last start, Unix time in milliseconds; 0 if long ago
	Protocol    string  `json:"protocol,omitempty"` // one of Protocols; "" means the service's protocol
}

// Protocols are the valid non-empty values of Endpoint.Protocol.
var Protocols = []string{"http/1.1", "http/2", "http/2 or 1.1"}

// Validate returns an error if any entry is invalid. It is meant for lists that an operator wrote.
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
		return errors.New("target without uid")
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && e.EndpointState() == control.Active {
		return fmt.Errorf("target %s: %w", e.UID, err)
	}
	if e.Protocol != "" && !slices.Contains(Protocols, e.Protocol) {
		return fmt.Errorf("target %s: protocol %q is not one of %s", e.UID, e.Protocol, strings.Join(Protocols, ", "))
	}
	return nil
}

// EndpointState converts the state to the decision module's type. An unknown state is taken for draining, so that the
// server gets no new requests.
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
