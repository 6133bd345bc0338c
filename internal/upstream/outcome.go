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

// means says what a whole answer of the platform's protocol means.
func (o *Outcome) means(status int, h http.Header) {
	o.Header = h
	switch {
	case status == http.StatusOK:
		o.Reason, o.Status, o.IsFinal = control.OK, http.StatusOK, true
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && h.Get(protocol.HeaderUnprocessed) == "1":
		o.Reason = control.RejectedByServer
	default:
		o.Reason = control.Errored
	}
}

// QuotaUsage reads the customer's use; the module counts from 1, as 0 is not told.
func (o *Outcome) QuotaUsage() int {
	v, err := strconv.Atoi(o.Header.Get(protocol.HeaderQuotaUsed))
	if err != nil || v < 0 || v > usedMost {
		return 0
	}
	return v + 1
}

// ActualUnits reads the true units, of which a request can have so many at the most.
func (o *Outcome) ActualUnits(most float64) float64 {
	v, err := protocol.ParseNumber(o.Header.Get(protocol.HeaderTrueCost))
	if err != nil || v < 0 || v > most {
		return 0
	}
	return v
}

// LoadReport reads the app server's report. The header's words for the figures are not
// those of the settings; what is not known, or can't be, is skipped.
func (o *Outcome) LoadReport() *control.LoadReport {
	none := control.LoadReport{InFlight: -1, Queued: -1, Utilization: -1, MeanLatencyMS: -1, RequestsPerSecond: -1, ErrorsPerSecond: -1}
	l := none
	for pair := range strings.SplitSeq(o.Header.Get(protocol.HeaderBackendLoad), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := protocol.ParseNumber(value)
		if err != nil || v < 0 || v > loadMost {
			continue
		}
		switch name {
		case "inflight", "active":
			l.InFlight = v
		case "queue", "waiting":
			l.Queued = v
		case "util", "cpu":
			l.Utilization = v
		case "latency_ms", "avg_ms":
			l.MeanLatencyMS = v
		case "qps", "rps":
			l.RequestsPerSecond = v
		case "eps", "err_rps":
			l.ErrorsPerSecond = v
		}
	}
	if l == none {
		return nil
	}
	return &l
}
