// Package responseclass says what an app server's answer to an attempt means under ordinary HTTP: how the
// attempt ended for the decision module, whether it may have run, whether it speaks against the
// server, and whether it is the client's. It does no I/O.
//
//	what came back             outcome          may have run  against it  the client gets
//	no connection came up      ConnectFailed    never         yes         (another attempt, or 502)
//	it broke before one byte   ConnectFailed    never         yes         (the same)
//	of the request was taken
//	it broke after that        ResetByPeer      yes           yes         (502)
//	no head in time            TimedOut         yes           yes         (504)
//	a head that can't be read  ResetByPeer      yes           yes         (502)
//	1xx                        none yet         -             no          it, but for 100
//	101 that was asked for     OK               yes           no          it, and a tunnel
//	2xx, 3xx, 4xx              OK               yes           no          it
//	500                        Errored          yes           yes         it
//	501, 505 and further 5xx   OK               yes           no          it
//	502, 503, 504              Errored          yes           yes         (the last of them, if nothing better comes)
//	what proves never_ran      Full             never         yes         (the same)
//
// Entries in parentheses are what follows where the module makes no further attempt.
package responseclass

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"lockflow/control"
)

// Proof is something in an answer that proves that the request was not taken.
type Proof struct {
	Status int    // 0 is any
	Header string // canonical name; "" is none
	Value  string // of the header; "" is any
}

// ParseProof reads a status ("503"), a header ("X-Unprocessed") or a header and its value
// ("X-Unprocessed: 1").
func ParseProof(s string) (Proof, error) {
	if n, err := strconv.Atoi(s); err == nil {
		if n < 400 || n > 599 {
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

func (p Proof) matches(status int, h http.Header) bool {
	if p.Status != 0 && p.Status != status {
		return false
	}
	if p.Header == "" {
		return true
	}
	v := h[p.Header]
	return len(v) > 0 && (p.Value == "" || slices.Contains(v, p.Value))
}

// Rules are what a service's answers mean. The zero value has no status tried elsewhere.
type Rules struct {
	RetryStatuses   []int   // statuses of 500 to 599 after which another server may be tried
	RejectionProofs []Proof // of answers of 400 to 599
}

// DefaultRules is what a service has that says nothing else.
func DefaultRules() Rules { return Rules{RetryStatuses: []int{502, 503, 504}} }

// Classification is what an answer means.
type Classification struct {
	Reason  control.Reason // how the attempt ended, for the module
	IsFinal bool           // it is the client's, whatever else could be tried
}

// Classify tells what a final status with some headers means.
func (r *Rules) Classify(status int, h http.Header) Classification {
	if status < 400 {
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
