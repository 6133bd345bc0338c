package h2

import (
	"fmt"

	"golang.org/x/net/http2"
)

// Moment is how far a request had progressed, from unsent to partly answered, when its stream ended.
type Moment int

// The values of Moment, in the order in which a request passes them.
const (
	MomentUnsent   Moment = iota // no byte of it has been written to the socket
	MomentStarted                // some bytes of it may have been written
	MomentSent                   // all bytes of it may have been written
	MomentAnswered               // part of an answer, interim or final, has arrived
)

// String returns the value as it appears in error messages.
func (m Moment) String() string { return [...]string{"unsent", "begun", "sent", "answered"}[m] }

// End is the reason why a stream ended before its answer was complete.
type End int

// The values of End.
const (
	EndBroken    End = iota // the connection broke, or was ended because of an error
	EndReset                // the server reset the stream; the error code tells why
	EndGoAway               // the stream's id is above the last stream id of a GOAWAY
	EndCancelled            // this side cancelled the stream
	EndMalformed            // the answer was malformed, and this side reset the stream
)

// String returns the reason as it appears in error messages.
func (e End) String() string {
	return [...]string{"broke", "reset", "above goaway", "cancelled", "malformed"}[e]
}

// StreamOutcome classifies a request without a complete answer by whether the server may have processed it.
type StreamOutcome int

const (
	// MayBeProcessed means that the server may have started to process the request.
	MayBeProcessed StreamOutcome = iota
	// NotProcessed means that the server can't have started to process the request.
	NotProcessed
	// Rejected means that the server has reported the request as not processed.
	Rejected
)

// String returns the outcome as a short phrase.
func (o StreamOutcome) String() string {
	return [...]string{"may be processed", "not processed", "rejected"}[o]
}

// OutcomeOf returns whether a request may have been processed, by the table in docs/http2.md. startsAtLastByte means
// that servers start to process a request when its last byte arrives, not its head. If part of an answer has arrived,
// the request counts as possibly processed whatever the server reports.
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

// StreamError is the error of a stream that ended without a complete answer.
type StreamError struct {
	Moment Moment
	End    End
	Code   http2.ErrCode // error code of the reset, the GOAWAY or the error that ended the connection
	Detail string
}

// Error returns why the stream ended, how much of its request was sent, the error code and the detail.
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
