package record

import (
	"github.com/fxamacker/cbor/v2"

	"lockflow/control"
	"lockflow/internal/codec"
)

// eventDecoders are events by the number that a recording has for them, from 1 on.
var eventDecoders = []func(cbor.RawMessage) (control.Event, error){
	decodeEvent[control.EndpointList], decodeEvent[control.Request], decodeEvent[control.ResponseStarted],
	decodeEvent[control.AttemptResult], decodeEvent[control.ClientGone], decodeEvent[control.TimerFired], decodeEvent[control.HealthCheckResult], decodeEvent[control.PeerMessage], decodeEvent[control.CounterResult],
}

func decodeEvent[E control.Event](raw cbor.RawMessage) (control.Event, error) {
	var e E
	err := codec.Decoder.Unmarshal(raw, &e)
	return e, err
}

func kindOf(e control.Event) uint8 {
	switch e.(type) {
	case control.EndpointList:
		return 1
	case control.Request:
		return 2
	case control.ResponseStarted:
		return 3
	case control.AttemptResult:
		return 4
	case control.ClientGone:
		return 5
	case control.TimerFired:
		return 6
	case control.HealthCheckResult:
		return 7
	case control.PeerMessage:
		return 8
	case control.CounterResult:
		return 9
	}
	return 0
}
