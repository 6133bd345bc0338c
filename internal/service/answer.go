package service

import (
	"net/http"
	"time"

	"lockflow/control"
	"lockflow/internal/upstream"
)

// AnswerKind is where an answer comes from, and whether the request can be retried safely.
type AnswerKind int8

// The kinds of answers.
const (
	Served   AnswerKind = iota // a server's response
	Rejected                   // the node's own: the request did not run, and a retry is safe
	Failed                     // the node's own: the request may have run
)

// Answer is the final answer of an exchange.
type Answer struct {
	Kind        AnswerKind
	Status      int
	Header      http.Header // of the server's response; must not be changed
	Body        []byte
	Stream      *upstream.Stream // a streamed body, which the receiver closes; nil for any other
	RetryAfter  time.Duration    // advice to the client; 0 if there is none
	Cause       control.Cause    // why the module rejected the request
	LastAttempt control.Reason   // how the last attempt ended, in an answer of the node's own; 0 if there was none

	replacement   *Service // if not nil, the request was not accepted and has to be passed to this service
	clientHasLeft bool     // makes Do report that the client has disconnected
}

// discard closes the stream of an answer that nobody will receive.
func (a Answer) discard() {
	if a.Stream != nil {
		go a.Stream.Close() // Close posts to the loop, whose own goroutine must not wait for that
	}
}
