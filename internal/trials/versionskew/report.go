package versionskew

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the result of a trial.
type Report struct {
	Steps   []Step       `json:"steps"`
	Updates Requests     `json:"updates"` // within their limits: each must be served
	Reads   Requests     `json:"reads"`   // within their limits, of a class that is shed first: each must be answered
	Limited Requests     `json:"limited"` // of customers that exceed their hard limit
	Limit   LimitReport  `json:"limit"`
	Servers ServerReport `json:"servers"`
	// Violations describe the rules that were broken; empty if the builds are compatible.
	Violations []string `json:"violations"`
}

// Step is one change from an old process to a new one.
type Step struct {
	Name string `json:"name"`
	// Duration is the time until the old process had ended.
	Duration time.Duration `json:"took_ns"`
	// Requests is the number of requests within their limits that were answered since the previous step.
	Requests int `json:"requests"`
	// Tokens are those left in the reserved customer's hard-limit bucket, in the checkpoints of the old and the new process.
	Tokens [2]float64 `json:"tokens"`
	// Concurrency is the learned concurrency limit of the old process, and of the new one after its start.
	Concurrency [2]float64 `json:"concurrency"`
}

// Requests counts requests by their final answer.
type Requests struct {
	Sent         int           `json:"sent"`
	Served       int           `json:"served"`
	Rejected     int           `json:"rejected"`
	Failed       int           `json:"failed"`
	Unanswered   int           `json:"unanswered"`
	Mismatched   int           `json:"mismatched"` // answered with another request's answer
	Disconnected int           `json:"disconnected"`
	P99          time.Duration `json:"p99_ns"`
}

// LimitReport is the use of the limited plan's hard limit.
type LimitReport struct {
	Units   float64 `json:"units"`   // units that reached the servers
	Allowed float64 `json:"allowed"` // units that the rate allows during the load, without the burst
	Excess  float64 `json:"excess"`  // maximum units of a customer beyond its limit
}

// ServerReport is what the app servers observed.
type ServerReport struct {
	DuplicateEffects   int `json:"duplicate_effects"`
	ConcurrentAttempts int `json:"concurrent_attempts"` // maximum number of one request at the same time
}

// row are the requests of one kind.
type row struct {
	kind string
	Requests
}

// rows returns the requests by kind, in the order of the printed table.
func (r *Report) rows() []row {
	return []row{{kindUpdate, r.Updates}, {kindRead, r.Reads}, {kindLimited, r.Limited}}
}

// violation adds a violation.
func (r *Report) violation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// Print writes the report as text: a table of steps, one of requests, the limit's use and the violations.
func (r *Report) Print(w io.Writer) error {
	var table, rest strings.Builder
	fmt.Fprintln(&table, "step\ttook ms\trequests before\ttokens before\ttokens after\tconcurrency limit before\tafter\t")
	for _, s := range r.Steps {
		fmt.Fprintf(&table, "%s\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t\n", s.Name, s.Duration.Milliseconds(), s.Requests, s.Tokens[0], s.Tokens[1],
			s.Concurrency[0], s.Concurrency[1])
	}
	fmt.Fprintln(&table, "\nrequests\tsent\tserved\trejected\tfailed\tunanswered\tmismatched\tno connection\tp99 ms\t")
	for _, row := range r.rows() {
		fmt.Fprintf(&table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t\n", row.kind, row.Sent, row.Served, row.Rejected, row.Failed, row.Unanswered,
			row.Mismatched, row.Disconnected, float64(row.P99)/float64(time.Millisecond))
	}
	fmt.Fprintf(&rest, "\nhard limit: %.0f units of %.0f allowed, at most %.1f beyond it; effects twice %d, attempts of one request at once %d\n",
		r.Limit.Units, r.Limit.Allowed, r.Limit.Excess, r.Servers.DuplicateEffects, r.Servers.ConcurrentAttempts)
	for _, v := range r.Violations {
		fmt.Fprintln(&rest, "VIOLATION:", v)
	}
	aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := io.WriteString(aligned, table.String())
	if err == nil {
		err = aligned.Flush()
	}
	if err == nil {
		_, err = io.WriteString(w, rest.String())
	}
	if err != nil {
		return fmt.Errorf("printing a report: %w", err)
	}
	return nil
}
