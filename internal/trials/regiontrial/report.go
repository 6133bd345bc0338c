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
	Kills              int           `json:"kills"` // of nodes
	KilledCoordinators int           `json:"coordinators_killed"`
	ExitCodes          []int         `json:"runs"`      // exit codes of coordinators under faults; -1 is killed
	ExtraCoordinators  int           `json:"again"`     // coordinators that were started after all faults had ended
	Phases             int           `json:"phases"`    // of the change
	Changed            bool          `json:"changed"`   // all members ran the new settings when the faults ended
	Decisions          int           `json:"decisions"` // logged by all coordinators
	Epochs             int           `json:"epochs"`    // granted by some member
	Orders             int           `json:"orders"`    // started by members
	Requests           int           `json:"requests"`
	Served             int           `json:"served"`
	Broken             int           `json:"broken"`   // without an answer because of a fault
	Gathered           int           `json:"gathered"` // answers of queries
	Partial            int           `json:"partial"`  // of them, with a missing part
	Effects            int           `json:"effects"`
	Metered            int           `json:"metered"` // requests of customers with a hard limit that fake servers received
	MaxExcess          float64       `json:"beyond"`  // largest excess over the hard limit, in requests
	StatusReads        int           `json:"looks"`
	HarmedRequests     int           `json:"harmed"`         // requests that the harmful change failed
	HarmedMembers      int           `json:"harmed_at"`      // members that ran it
	RollbackDuration   time.Duration `json:"harmed_took_ns"` // until it was stopped and rolled back
	Duration           time.Duration `json:"took_ns"`
	Wrong              []string      `json:"wrong"`
}

// judge checks all observations against the rules.
func (r *run) judge(rep *Report) {
	for i, p := range r.fixture.procs {
		if !p.Runs() {
			r.exchanges.Wrong("%s has ended by itself: %v; %s", memberName(i), p.Wait(), r.fixture.logTail(i))
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
			r.exchanges.Wrong("%s: %v", memberName(i), err)
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
		// The change switches between two limits; the larger one holds for all. A bucket starts with its burst at most.
		excess := MaxExcess(at, unitsHigh, unitsHigh)
		if rep.MaxExcess = max(rep.MaxExcess, excess); excess > float64(allowedExcess(r.nodes())) {
			violations = append(violations, fmt.Sprintf("customer %s: %.1f requests beyond its hard limit", c, excess))
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

// slack is the allowed excess over hard limits, in requests: an account that is charged at several instances at
// once is counted in parts, each of which may be rounded up.
func allowedExcess(nodes int) int { return nodes }
