package regiontrial

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// Report is the result of one script.
type Report struct {
	Seed               uint64        `json:"seed"`
	Faults             int           `json:"faults"`
	Kills              int           `json:"kills"` // kills of nodes
	KilledCoordinators int           `json:"coordinators_killed"`
	ExitCodes          []int         `json:"runs"`      // exit codes of the coordinators that ran under faults; -1 is a killed one
	ExtraCoordinators  int           `json:"again"`     // coordinators that had to be started after all faults had ended
	Phases             int           `json:"phases"`    // phases of the change
	Changed            bool          `json:"changed"`   // all members ran the new settings when the faults ended
	Decisions          int           `json:"decisions"` // logged by all coordinators
	Epochs             int           `json:"epochs"`    // number of epochs that some member granted
	Orders             int           `json:"orders"`    // commands started by members
	Requests           int           `json:"requests"`
	Served             int           `json:"served"`
	Broken             int           `json:"broken"`   // requests without an answer because of a fault
	Gathered           int           `json:"gathered"` // gathered answers
	Partial            int           `json:"partial"`  // gathered answers with a missing part
	Effects            int           `json:"effects"`
	Metered            int           `json:"metered"` // requests of customers with a hard limit that fake servers received
	MaxExcess          float64       `json:"beyond"`  // largest excess over a hard limit, in requests
	StatusReads        int           `json:"looks"`
	HarmedRequests     int           `json:"harmed"`         // requests that failed because of the harmful change
	HarmedMembers      int           `json:"harmed_at"`      // members that ran the harmful change
	RollbackDuration   time.Duration `json:"harmed_took_ns"` // time until the harmful change was stopped and rolled back
	Duration           time.Duration `json:"took_ns"`
	Wrong              []string      `json:"wrong"`
}

// judge checks all observations against the rules.
func (r *run) judge(rep *Report) {
	for i, p := range r.fixture.procs {
		if !p.Runs() {
			r.exchanges.Wrong("%s exited without a signal from the trial: %v; %s", memberName(i), p.Wait(), r.fixture.logTail(i))
		}
	}
	for _, g := range r.generationsByMember {
		rep.Phases = max(rep.Phases, len(g)-1)
	}
	violations := append(CheckNeighbours(r.statusReads, r.generationsByMember), CheckOwners(r.statusReads)...)
	owners := make(map[uint64]string)
	for _, l := range r.statusReads {
		if l.Epoch > 0 {
			owners[l.Epoch] = l.Owner
		}
	}
	for i, p := range r.fixture.procs {
		raw, err := os.ReadFile(p.Log)
		if err != nil {
			r.exchanges.Wrong("reading the log of %s: %v", memberName(i), err)
		}
		var g MemberLog
		g.Read(memberName(i), string(raw), owners)
		violations = append(violations, g.Wrong...)
		rep.Orders += g.Orders
	}
	for _, c := range customers {
		at := slices.Clone(r.forwarded.times[c])
		slices.Sort(at)
		rep.Metered += len(at)
		// The change switches between two rates and bursts; the larger of the two values bounds both at any time. A bucket starts
		// with at most its burst.
		excess := MaxExcess(at, unitsHigh, unitsHigh)
		if rep.MaxExcess = max(rep.MaxExcess, excess); excess > float64(allowedExcess(r.nodes())) {
			violations = append(violations, fmt.Sprintf("customer %s: hard limit exceeded by %.1f requests", c, excess))
		}
	}
	rep.Wrong = append(violations, r.exchanges.Check(func(why string) bool { return !strings.HasPrefix(why, "unexplained") })...)
	rep.Requests, _ = r.exchanges.Counts()
	rep.Effects = r.exchanges.Effects()
	rep.Served, rep.Gathered, rep.Partial, rep.HarmedRequests = r.status[200], r.gathered, r.partial, r.harmed
	for s, n := range r.status {
		_ = s
		rep.Broken += n
	}
	rep.Broken = rep.Requests - rep.Broken
	rep.KilledCoordinators, rep.Decisions, rep.Kills, rep.Epochs, rep.StatusReads = r.coordinatorsKilled, r.decisions, r.fixture.kills, len(owners), len(r.statusReads)
	rep.Duration = time.Since(r.startedAt)
}

// allowedExcess returns the allowed excess over a hard limit, in requests. The charges of an account that several instances
// serve at the same time are counted in one part for each instance, and each part may be rounded up.
func allowedExcess(nodes int) int { return nodes }
