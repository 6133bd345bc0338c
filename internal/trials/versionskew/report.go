package versionskew

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is what a trial measured.
type Report struct {
	Steps   []Step       `json:"steps"`
	Updates Requests     `json:"updates"` // within their limits: each has to be served
	Reads   Requests     `json:"reads"`   // the same, of a class that is shed first: each has to be answered
	Limited Requests     `json:"limited"` // of customers that ask for more than their hard limit
	Limit   LimitReport  `json:"limit"`
	Servers ServerReport `json:"servers"`
	// Violations are the rules that were not kept; none where the two builds agree.
	Violations []string `json:"violations"`
}

// Step is one change from a process to the next.
type Step struct {
	Name string `json:"name"`
	// Duration is the time until the old process had ended.
	Duration time.Duration `json:"took_ns"`
	// Requests are those within their limits that were answered since the step before.
	Requests int `json:"requests"`
	// Tokens are left in the reserved customer's hard-limit bucket, by the old and the new process's checkpoint.
	Tokens [2]float64 `json:"tokens"`
	// Concurrency is the learned concurrency limit, of the old process and of the new one at its beginning.
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

// LimitReport is how the hard limit of the limited plan was kept and used.
type LimitReport struct {
	Units   float64 `json:"units"`   // that reached the servers
	Allowed float64 `json:"allowed"` // by the limit in that time, without the burst
	Excess  float64 `json:"excess"`  // largest amount by which a customer was beyond it
}

// ServerReport is what the servers saw.
type ServerReport struct {
	DuplicateEffects   int `json:"duplicate_effects"`
	ConcurrentAttempts int `json:"concurrent_attempts"` // largest number of one request at once
}

// row is the requests of a kind.
type row struct {
	kind string
	Requests
}

func (r *Report) rows() []row {
	return []row{{kindUpdate, r.Updates}, {kindRead, r.Reads}, {kindLimited, r.Limited}}
}

func (r *Report) violation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// Print writes the report as a table.
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
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := io.WriteString(t, table.String())
	if err == nil {
		err = t.Flush()
	}
	if err == nil {
		_, err = io.WriteString(w, rest.String())
	}
	if err != nil {
		return fmt.Errorf("printing a report: %w", err)
	}
	return nil
}
