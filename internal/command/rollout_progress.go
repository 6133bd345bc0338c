package command

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"lockflow/internal/fleet"
)

// printProgress prints the progress of a change.
func printProgress(w io.Writer, p *fleet.Progress) {
	fmt.Fprintf(w, "\nchange of %s, begun %s: %s", p.Kind, p.StartedAt.Format(time.DateTime), p.State)
	if p.Stages > 0 {
		fmt.Fprintf(w, ", stage %d of %d", p.Stage, p.Stages)
	}
	if p.Phases > 1 {
		fmt.Fprintf(w, " of phase %d of %d", p.Phase, p.Phases)
	}
	fmt.Fprintf(w, ", epoch %d\n", p.Epoch)
	lines := [][2]string{
		{"why", p.Reason},
		{"cause", p.RollbackCause},
		{"judge", strings.TrimSpace(p.Verdict + " " + p.VerdictReason)},
	}
	for _, line := range lines {
		if line[1] != "" {
			fmt.Fprintf(w, "  %s: %s\n", line[0], line[1])
		}
	}
	if len(p.Measures) > 0 {
		printMeasures(w, p.Measures)
	}
	printMemberStates(w, p.Members)
}

// printMeasures prints a line for each measure by which the new version is compared with the old one.
func printMeasures(w io.Writer, measures []fleet.MeasureResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  measure\told\tnew\tnew - old\tharm from\t")
	for _, m := range measures {
		result := ""
		if m.IsWorse {
			result = "worse"
		} else if !m.IsEnough {
			result = "too little"
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s to %s\t%.3g\t%s\n", m.Name, formatOptional(m.Old), formatOptional(m.New),
			formatOptional(m.Low), formatOptional(m.High), m.Margin, result)
	}
	t.Flush()
}

// printMemberStates prints each member that needs the operator's attention, and the number of members in each other state.
func printMemberStates(w io.Writer, members []fleet.MemberState) {
	counts := make(map[string]int)
	for _, m := range members {
		counts[m.State]++
		if m.State == "not taken back" || m.State == "between" || m.State == "away" {
			fmt.Fprintf(w, "  %s: %s, runs %.12s\n", m.Member, m.State, m.Version)
		}
	}
	for _, state := range []string{"changed", "changing", "taken back", "untouched"} {
		if counts[state] > 0 {
			fmt.Fprintf(w, "  %d %s\n", counts[state], state)
		}
	}
}

// formatOptional formats a value; nil is an unknown one.
func formatOptional(value *float64) string {
	if value == nil {
		return "?"
	}
	return fmt.Sprintf("%.4g", *value)
}

// readProgress reads the progress of the fleet's newest change; nil is none. An error of reading the rollout log is
// printed, and does not fail the command.
func (f *fleetFlags) readProgress(e *Env) *fleet.Progress {
	p, err := fleet.ReadProgress(f.logDirectory())
	if err != nil {
		fmt.Fprintf(e.Err, "lockflow: %v\n", err)
	}
	if _, statErr := os.Stat(f.logDirectory()); statErr != nil {
		return nil
	}
	return p
}
