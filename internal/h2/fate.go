package h2

import (
	"fmt"

	"golang.org/x/net/http2"
)

// Moment is how far a request had gone when its stream ended.
type Moment int

// The moments of a request, in their order.
const (
	Unsent   Moment = iota // no byte of it has been written to the socket
	Begun                  // some have
	Sent                   // all have
	Answered               // and some of an answer has come, be it of 1xx
)

func (m Moment) String() string { return [...]string{"unsent", "begun", "sent", "answered"}[m] }

// End is what ended a stream before its answer was whole.
type End int

// The ends of a stream.
const (
	Broke     End = iota // the connection broke, or was ended for an error on it
	Reset                // the server reset the stream; the error code says more
	Above                // the last id of a GOAWAY is below the stream's
	Cancelled            // this side gave it up
	Malformed            // what came for it can't be an answer; this side reset it
)

func (e End) String() string {
	return [...]string{"broke", "reset", "above goaway", "cancelled", "malformed"}[e]
}

// Fate is what is known of a request that got no whole answer.
type Fate int

const (
	// MayHaveRun is a request that the server may have begun.
	MayHaveRun Fate = iota
	// NeverRan is one that the server can't have begun.
	NeverRan
	// TurnedAway never ran either: the server has said so.
	TurnedAway
)

func (f Fate) String() string { return [...]string{"may have run", "never ran", "turned away"}[f] }

// FateOf tells what is known of a request, by the table in docs/http2.md. whole says that servers
// begin a request with its last byte and not with its head.
//
// A server that says that it has not begun a request which it has begun to answer is not believed.
func FateOf(m Moment, e End, code http2.ErrCode, whole bool) Fate {
	switch {
	case m == Answered:
		return MayHaveRun
	case m == Unsent:
		return NeverRan
	case e == Above, e == Reset && code == http2.ErrCodeRefusedStream:
		return TurnedAway
	case m == Begun && whole:
		return NeverRan
	}
	return MayHaveRun
}

// StreamError is how a stream ended that brought no whole answer.
type StreamError struct {
	Moment Moment
	End    End
	Code   http2.ErrCode // of a reset, or of the error that ended the connection
	Why    string
}

func (e *StreamError) Error() string {
	s := fmt.Sprintf("stream %v (request %v)", e.End, e.Moment)
	if e.End == Reset || e.Code != http2.ErrCodeNo {
		s += fmt.Sprintf(", %v", e.Code)
	}
	if e.Why != "" {
		s += ": " + e.Why
	}
	return s
}
