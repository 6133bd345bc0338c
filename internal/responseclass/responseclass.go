// Package responseclass classifies the answers of app servers in generic HTTP: it determines the reason
// with which the attempt ends for the decision module, and whether the answer is final. Package upstream
// calls it for each answer. It does no I/O; all functions are safe for concurrent use.
//
// The table shows all ways in which an attempt can end, including those without an answer, which package
// upstream classifies itself. "Failure" says whether the result counts as a failure of the server.
//
//	result of the attempt        reason            may have run  failure  the client gets
//	no connection                ConnectFailed     no            yes      (502)
//	connection broke before any  ConnectFailed     no            yes      (502)
//	byte of the request was sent
//	connection broke after that  ResetByPeer       yes           yes      (502)
//	no head in time              TimedOut          yes           yes      (504)
//	malformed head               ResetByPeer       yes           yes      (502)
//	1xx                          none yet          -             no       the answer, except for 100
//	101 that was requested       OK                yes           no       the answer, and a tunnel
//	2xx, 3xx, 4xx                OK                yes           no       the answer
//	500                          Errored           yes           yes      the answer
//	501, 505 and other 5xx       OK                yes           no       the answer
//	502, 503, 504                Errored           yes           yes      (the last such answer)
//	answer that proves that the  RejectedByServer  no            yes      (the last such answer)
//	request was not processed
//
// Entries in parentheses apply if there is no retry, or no better answer from one.
package responseclass

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"lockflow/control"
)

// Range of the client and server error statuses. Only an answer with such a status can prove that a request was rejected.
const (
	minErrorStatus = 400
	maxErrorStatus = 599
)

// Proof is a property of an answer that proves that the server did not process the request. Its
// configuration key is never_ran.
type Proof struct {
	Status int    // 0 for any status
	Header string // canonical name; empty for any answer
	Value  string // value of Header; empty for any value
}

// ParseProof parses a status ("503"), a header ("X-Unprocessed") or a header and its value
// ("X-Unprocessed: 1").
func ParseProof(s string) (Proof, error) {
	if n, err := strconv.Atoi(s); err == nil {
		if n < minErrorStatus || n > maxErrorStatus {
			return Proof{}, fmt.Errorf("%d is no status of a refusal, 400 to 599", n)
		}
		return Proof{Status: n}, nil
	}
	name, value, _ := strings.Cut(s, ":")
	if name = strings.TrimSpace(name); name == "" || strings.ContainsAny(name, " \t\r\n") {
		return Proof{}, fmt.Errorf("%q is neither a status nor a header", s)
	}
	return Proof{Header: http.CanonicalHeaderKey(name), Value: strings.TrimSpace(value)}, nil
}

// matches reports whether an answer has the property.
func (p Proof) matches(status int, h http.Header) bool {
	if p.Status != 0 && p.Status != status {
		return false
	}
	if p.Header == "" {
		return true
	}
	values := h[p.Header]
	return len(values) > 0 && (p.Value == "" || slices.Contains(values, p.Value))
}

// Rules determines how the answers of a service are classified. With the zero value no answer allows a
// retry.
type Rules struct {
	RetryStatuses   []int   // 5xx statuses that allow a retry (configuration key elsewhere)
	RejectionProofs []Proof // for answers with a status from 400 to 599 (configuration key never_ran)
}

// DefaultRules returns the rules of a service whose configuration has none.
func DefaultRules() Rules { return Rules{RetryStatuses: []int{502, 503, 504}} }

// Classification is the result of classifying an answer.
type Classification struct {
	Reason  control.Reason // reason with which the attempt ends for the decision module
	IsFinal bool           // the client gets the answer, even if a retry would be possible
}

// Classify classifies a final (not 1xx) answer by its status and headers.
func (r *Rules) Classify(status int, h http.Header) Classification {
	if status < minErrorStatus {
		return Classification{control.OK, true}
	}
	for i := range r.RejectionProofs {
		if r.RejectionProofs[i].matches(status, h) {
			return Classification{control.RejectedByServer, false}
		}
	}
	switch {
	case slices.Contains(r.RetryStatuses, status):
		return Classification{control.Errored, false}
	case status == http.StatusInternalServerError:
		return Classification{control.Errored, true}
	}
	return Classification{control.OK, true}
}
