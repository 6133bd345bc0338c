// Package protocol defines the parts of the platform's protocol (PROTOCOL) that clients, edge nodes and app
// servers share: header names, limits, and the parsing of numbers. It does no I/O and keeps no state.
package protocol

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
)

// MaxBodyBytes limits the body of any message.
const MaxBodyBytes = 64 << 10

// Headers of requests and answers. The names on the wire predate the terms of docs/glossary.md.
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

// IsHopHeader reports whether the header with a canonical name applies to a single connection and must not
// be forwarded (RFC 9110, 7.6.1).
func IsHopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect":
		return true
	}
	return false
}

// IsInternalHeader reports whether a header must not be forwarded to or from clients: a hop-by-hop header,
// or one that only edge nodes and app servers exchange.
func IsInternalHeader(name string) bool {
	switch name {
	case HeaderQuotaUsed, HeaderTrueCost, HeaderBackendLoad, HeaderUnprocessed:
		return true
	}
	return IsHopHeader(name)
}

// IsSafeMethod reports whether requests with a method are read-only, so that they may run any number of
// times (RFC 9110, 9.2.1).
func IsSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// ParseNumber parses a finite number.
func ParseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = fmt.Errorf("%q is not finite", s)
	}
	return v, err
}
