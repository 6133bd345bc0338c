package h2

import (
	"fmt"

	"golang.org/x/net/http2"
)

// Moment is how far a request had gone when its stream ended.
type Moment int

// The moments of a request, in their order.
const (
	MomentUnsent   Moment = iota // no byte of it has been written to the socket
	MomentStarted                // some have
	MomentSent                   // all have
	MomentAnswered               // and some of an answer has arrived, also of an interim one
)

// String returns the moment as errors show it.
func (m Moment) String() string { return [...]string{"unsent", "begun", "sent", "answered"}[m] }

// End is what ended a stream before its answer was complete.
type End int

// The ends of a stream.
const (
	EndBroken    End = iota // the connection broke, or was ended for an error on it
	EndReset                // the server reset the stream; the error code has its reason
	EndGoAway               // the last id of a GOAWAY is below the stream's
	EndCancelled            // this side cancelled it
	EndMalformed            // the answer was malformed, and this side reset the stream
)

// String returns the end as errors show it.
func (e End) String() string {
	return [...]string{"broke", "reset", "above goaway", "cancelled", "malformed"}[e]
}

// StreamOutcome is what is known of a request that got no complete answer.
type StreamOutcome int

const (
	// MayBeProcessed is a request that the server may have started to process.
	MayBeProcessed StreamOutcome = iota
	// NotProcessed is a request that the server can't have started to process.
	NotProcessed
	// Rejected is a request that the server has reported as not processed.
	Rejected
)

// String returns the outcome in words.
func (o StreamOutcome) String() string {
	return [...]string{"may be processed", "not processed", "rejected"}[o]
}

// OutcomeOf returns what is known of a request, by the table in docs/http2.md. startsAtLastByte says that
// servers start a request with its last byte and not with its head. Where some of an answer has arrived, the
// request may be processed whatever the server reports.
func OutcomeOf(progress Moment, end End, code http2.ErrCode, startsAtLastByte bool) StreamOutcome {
	switch {
	case progress == MomentAnswered:
		return MayBeProcessed
	case progress == MomentUnsent:
		return NotProcessed
	case end == EndGoAway, end == EndReset && code == http2.ErrCodeRefusedStream:
		return Rejected
	case progress == MomentStarted && startsAtLastByte:
		return NotProcessed
	}
	return MayBeProcessed
}

// StreamError is how a stream ended that brought no complete answer.
type StreamError struct {
	Moment Moment
	End    End
	Code   http2.ErrCode // of a reset, or of the error that ended the connection
	Detail string
}

// Error returns how the stream ended.
func (e *StreamError) Error() string {
	text := fmt.Sprintf("stream %v (request %v)", e.End, e.Moment)
	if e.End == EndReset || e.Code != http2.ErrCodeNo {
		text += fmt.Sprintf(", %v", e.Code)
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}
