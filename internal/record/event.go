package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lockflow/control"
	"lockflow/internal/codec"
)

// eventKind identifies the type of a recorded event.
type eventKind uint8

// The kinds of event. Recordings store their numbers, so they must not change.
const (
	kindEndpointList eventKind = iota + 1
	kindRequest
	kindResponseStarted
	kindAttemptResult
	kindClientGone
	kindTimerFired
	kindHealthCheckResult
	kindPeerMessage
	kindCounterResult
)

// eventDecoders decode the body of an event by its kind.
var eventDecoders = map[eventKind]func(cbor.RawMessage) (control.Event, error){
	kindEndpointList:      decodeEvent[control.EndpointList],
	kindRequest:           decodeEvent[control.Request],
	kindResponseStarted:   decodeEvent[control.ResponseStarted],
	kindAttemptResult:     decodeEvent[control.AttemptResult],
	kindClientGone:        decodeEvent[control.ClientGone],
	kindTimerFired:        decodeEvent[control.TimerFired],
	kindHealthCheckResult: decodeEvent[control.HealthCheckResult],
	kindPeerMessage:       decodeEvent[control.PeerMessage],
	kindCounterResult:     decodeEvent[control.CounterResult],
}

func decodeEvent[E control.Event](body cbor.RawMessage) (control.Event, error) {
	var event E
	err := codec.Decoder.Unmarshal(body, &event)
	return event, err
}

// kindOf returns the kind of an event, or an error for a type that can't be recorded.
func kindOf(event control.Event) (eventKind, error) {
	switch event.(type) {
	case control.EndpointList:
		return kindEndpointList, nil
	case control.Request:
		return kindRequest, nil
	case control.ResponseStarted:
		return kindResponseStarted, nil
	case control.AttemptResult:
		return kindAttemptResult, nil
	case control.ClientGone:
		return kindClientGone, nil
	case control.TimerFired:
		return kindTimerFired, nil
	case control.HealthCheckResult:
		return kindHealthCheckResult, nil
	case control.PeerMessage:
		return kindPeerMessage, nil
	case control.CounterResult:
		return kindCounterResult, nil
	}
	return 0, fmt.Errorf("events of type %T can't be recorded", event)
}
