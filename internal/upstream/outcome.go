package upstream

import (
	"net/http"
	"strconv"
	"strings"

	"lockflow/control"
	"lockflow/internal/protocol"
)

const (
	maxUsagePercent = 10000 // what a server may report of a customer's quota
	maxLoadValue    = 1e6   // of any number in a load report
)

// Outcome is how an attempt ended.
type Outcome struct {
	Reason        control.Reason
	Err           error // why there is no answer
	Status        int   // of an answer that can be forwarded to the client; 0 is none
	IsFinal       bool  // the answer is sent to the client, even if the request could be retried
	Header        http.Header
	Body          []byte
	Stream        *Stream // the rest of an answer that is not buffered, for the caller to close; nil where Body is complete
	IsDialed      bool    // a connection was made for the attempt, or tried to be
	HasClientLeft bool    // nothing was sent, as the client no longer waits
}

// unconnectedOutcome is the outcome of an attempt that got no connection.
func unconnectedOutcome(err error) Outcome {
	if isNodeError(err) {
		return Outcome{Reason: control.NotSent, Err: err}
	}
	return Outcome{Reason: control.ConnectFailed, Err: err, IsDialed: true}
}

// clientFailure is the outcome of an attempt that ended as the client's body could not be read.
func clientFailure(err error, isTimeout bool) Outcome {
	outcome := Outcome{Reason: control.Cancelled, Err: err, Status: http.StatusBadRequest, IsFinal: true}
	if isTimeout {
		outcome.Status = http.StatusRequestTimeout
	}
	return outcome
}

// classify sets what a complete answer of the platform's protocol means.
func (o *Outcome) classify(status int, header http.Header) {
	o.Header = header
	switch {
	case status == http.StatusOK:
		o.Reason = control.OK
		o.Status = http.StatusOK
		o.IsFinal = true
	case isUnprocessed(status, header):
		o.Reason = control.RejectedByServer
	default:
		o.Reason = control.Errored
	}
}

// isUnprocessed reports whether the server says that it has not processed the request.
func isUnprocessed(status int, header http.Header) bool {
	isUnavailable := status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
	return isUnavailable && header.Get(protocol.HeaderUnprocessed) == "1"
}

// QuotaUsage returns 1 plus the reported usage of the customer's quota in percent, as the module counts it; 0 is
// none reported.
func (o *Outcome) QuotaUsage() int {
	percent, err := strconv.Atoi(o.Header.Get(protocol.HeaderQuotaUsed))
	if err != nil || percent < 0 || percent > maxUsagePercent {
		return 0
	}
	return percent + 1
}

// ActualUnits returns the reported units that the request has used, of which it can have maxUnits; 0 is none
// reported.
func (o *Outcome) ActualUnits(maxUnits float64) float64 {
	units, err := protocol.ParseNumber(o.Header.Get(protocol.HeaderTrueCost))
	if err != nil || units < 0 || units > maxUnits {
		return 0
	}
	return units
}

// LoadReport returns the app server's load report, nil where there is none. Servers use one of two names for
// each value; unknown names and impossible values are skipped.
func (o *Outcome) LoadReport() *control.LoadReport {
	unknown := control.LoadReport{
		InFlight:          -1,
		Queued:            -1,
		Utilization:       -1,
		MeanLatencyMS:     -1,
		RequestsPerSecond: -1,
		ErrorsPerSecond:   -1,
	}
	report := unknown
	for pair := range strings.SplitSeq(o.Header.Get(protocol.HeaderBackendLoad), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := protocol.ParseNumber(value)
		if err != nil || number < 0 || number > maxLoadValue {
			continue
		}
		switch name {
		case "inflight", "active":
			report.InFlight = number
		case "queue", "waiting":
			report.Queued = number
		case "util", "cpu":
			report.Utilization = number
		case "latency_ms", "avg_ms":
			report.MeanLatencyMS = number
		case "qps", "rps":
			report.RequestsPerSecond = number
		case "eps", "err_rps":
			report.ErrorsPerSecond = number
		}
	}
	if report == unknown {
		return nil
	}
	return &report
}
