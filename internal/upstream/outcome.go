package upstream

import (
	"net/http"
	"strconv"
	"strings"

	"lockflow/control"
	"lockflow/internal/protocol"
)

const (
	maxUsagePercent = 10000 // upper bound of a reported quota usage
	maxLoadValue    = 1e6   // upper bound of any number in a load report
)

// Outcome is the result of an attempt.
type Outcome struct {
	Reason  control.Reason
	Err     error // why there is no response
	Status  int   // status of a response that can be forwarded to the client; 0 is none
	IsFinal bool  // the response is sent to the client, even if the request could be retried
	Header  http.Header
	Body    []byte
	Stream  *Stream // rest of a response that is not buffered, closed by the caller; nil if Body is complete
	// IsProcessUnknown is set if the attempt may have been sent to another process than the one that the endpoint list names.
	IsProcessUnknown bool
	IsDialed         bool // a connection was dialed for the attempt, whether or not that succeeded
	HasClientLeft    bool // nothing was sent because the client no longer waits
}

// unconnectedOutcome returns the outcome of an attempt that got no connection.
func unconnectedOutcome(err error) Outcome {
	if isNodeError(err) {
		return Outcome{Reason: control.NotSent, Err: err}
	}
	return Outcome{Reason: control.ConnectFailed, Err: err, IsDialed: true}
}

// clientFailure returns the outcome of an attempt that ended because the client's body could not be read.
func clientFailure(err error, isTimeout bool) Outcome {
	outcome := Outcome{Reason: control.Cancelled, Err: err, Status: http.StatusBadRequest, IsFinal: true}
	if isTimeout {
		outcome.Status = http.StatusRequestTimeout
	}
	return outcome
}

// classify sets the outcome of a complete response of the platform's protocol.
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

// isUnprocessed reports whether the server states that it has not processed the request.
func isUnprocessed(status int, header http.Header) bool {
	isUnavailable := status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
	return isUnavailable && header.Get(protocol.HeaderUnprocessed) == "1"
}

// QuotaUsage returns 1 plus the reported usage of the customer's quota in percent, which is the encoding that the
// module expects; 0 means that none was reported.
func (o *Outcome) QuotaUsage() int {
	percent, err := strconv.Atoi(o.Header.Get(protocol.HeaderQuotaUsed))
	if err != nil || percent < 0 || percent > maxUsagePercent {
		return 0
	}
	return percent + 1
}

// ActualUnits returns the units that the server reports for the request, which must not exceed maxUnits; 0 means
// that none were reported.
func (o *Outcome) ActualUnits(maxUnits float64) float64 {
	units, err := protocol.ParseNumber(o.Header.Get(protocol.HeaderTrueCost))
	if err != nil || units < 0 || units > maxUnits {
		return 0
	}
	return units
}

// LoadReport returns the app server's load report, or nil if there is none. Servers use one of two names for each
// value. Unknown names and values out of range are skipped.
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
