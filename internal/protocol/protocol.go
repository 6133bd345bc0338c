// Package protocol holds the words that clients, edge nodes and app servers share: the
// headers of the protocol, its bounds and the reading of its figures. It does no I/O.
package protocol

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
)

// MaxBodyBytes is the most bytes that the body of any message may have.
const MaxBodyBytes = 64 << 10

// Headers of the protocol between edge nodes, clients and app servers.
const (
	HeaderID             = "X-Correlation-Id"
	HeaderPlan           = "X-Tariff"
	HeaderTimeLeft       = "X-Time-Left"
	HeaderWeight         = "X-Weight"
	HeaderRetry          = "X-Repeat"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderUnprocessed    = "X-Unprocessed"
	HeaderQuotaUsed      = "X-Allowance-Used"
	HeaderTrueCost       = "X-True-Cost"
	HeaderBackendLoad    = "X-Backend-Load"
)

// IsHopHeader tells whether a header, by its canonical name, speaks of one connection or hop only
// (RFC 9110, 7.6.1).
func IsHopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect":
		return true
	}
	return false
}

// IsInternalHeader is HopHeader, or true for what only edge nodes and app servers tell each other.
func IsInternalHeader(name string) bool {
	switch name {
	case HeaderQuotaUsed, HeaderTrueCost, HeaderBackendLoad, HeaderUnprocessed:
		return true
	}
	return IsHopHeader(name)
}

// IsSafeMethod tells whether a method's requests may run any number of times (RFC 9110, 9.2.1).
func IsSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// ParseNumber reads a finite number.
func ParseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = fmt.Errorf("%q is not finite", s)
	}
	return v, err
}
