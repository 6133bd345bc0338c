package upstream

import (
	"net/http"
	"strconv"
	"strings"

	"lockflow/control"
	"lockflow/internal/protocol"
)

// Outcome is how an attempt ended.
type Outcome struct {
	Reason        control.Reason
	Err           error // why, where there was no answer
	Status        int   // of the answer that a client could be given; 0 is none
	IsFinal       bool  // it is the client's, whatever else could be tried
	Header        http.Header
	Body          []byte
	Stream        *Stream // the rest of an answer that goes on; nil where all of it is here
	IsDialed      bool    // a connection was made for it, or tried to be
	HasClientLeft bool    // nothing was sent, as the client was not there any more
}

// classify says what a whole answer of the platform's protocol means.
func (o *Outcome) classify(status int, header http.Header) {
	o.Header = header
	switch {
	case status == http.StatusOK:
		o.Reason, o.Status, o.IsFinal = control.OK, http.StatusOK, true
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && header.Get(protocol.HeaderUnprocessed) == "1":
		o.Reason = control.RejectedByServer
	default:
		o.Reason = control.Errored
	}
}

// QuotaUsage reads the customer's use; the module counts from 1, as 0 is not told.
func (o *Outcome) QuotaUsage() int {
	percent, err := strconv.Atoi(o.Header.Get(protocol.HeaderQuotaUsed))
	if err != nil || percent < 0 || percent > maxUsagePercent {
		return 0
	}
	return percent + 1
}

// ActualUnits reads the true units, of which a request can have so many at the most.
func (o *Outcome) ActualUnits(limit float64) float64 {
	units, err := protocol.ParseNumber(o.Header.Get(protocol.HeaderTrueCost))
	if err != nil || units < 0 || units > limit {
		return 0
	}
	return units
}

// LoadReport reads the app server's report. The header's words for the figures are not
// those of the settings; what is not known, or can't be, is skipped.
func (o *Outcome) LoadReport() *control.LoadReport {
	unknown := control.LoadReport{InFlight: -1, Queued: -1, Utilization: -1, MeanLatencyMS: -1, RequestsPerSecond: -1, ErrorsPerSecond: -1}
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
