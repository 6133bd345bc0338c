package regiontrial

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"lockflow/internal/manage"
)

// unexplainedPrefix starts the reason of a broken request that no fault explains.
const unexplainedPrefix = "unexplained"

// Report is the result of a trial.
type Report struct {
	Seed                    uint64        `json:"seed"`
	Faults                  int           `json:"faults"`
	NodesKilled             int           `json:"kills"`
	CoordinatorsKilled      int           `json:"coordinators_killed"`
	ExitCodes               []int         `json:"runs"`      // of the coordinators under faults; -1 is killed
	CoordinatorsAfterFaults int           `json:"again"`     // that were needed once all faults had ended
	Phases                  int           `json:"phases"`    // of the change
	ChangedUnderFaults      bool          `json:"changed"`   // all members had the new settings when the faults ended
	Decisions               int           `json:"decisions"` // logged by all coordinators
	Epochs                  int           `json:"epochs"`    // granted by some member
	Commands                int           `json:"orders"`    // started by members
	Requests                int           `json:"requests"`
	Served                  int           `json:"served"`
	Broken                  int           `json:"broken"`   // requests without an answer
	GatherResults           int           `json:"gathered"` // answers to queries
	PartialResults          int           `json:"partial"`  // of them, without some part
	Effects                 int           `json:"effects"`
	LimitedRequests         int           `json:"metered"` // at fake servers, of customers with a hard limit
	MaxExcess               float64       `json:"beyond"`  // of them above the hard limit
	StatusReads             int           `json:"looks"`
	FailedByHarm            int           `json:"harmed"`         // requests that the harmful change failed
	HarmedMembers           int           `json:"harmed_at"`      // that the harmful change reached
	HarmDuration            time.Duration `json:"harmed_took_ns"` // until the harmful change was rolled back
	Duration                time.Duration `json:"took_ns"`
	Violations              []string      `json:"wrong"`
}

// readStatuses reads and records a member's status at each interval, past all links, until ctx ends.
func (r *run) readStatuses(ctx context.Context, node int) {
	client := manage.Client{Path: r.fixture.socketPath(node)}
	for ctx.Err() == nil {
		timeout, cancel := context.WithTimeout(ctx, statusTimeout)
		from := time.Since(r.startedAt)
		status, err := client.Status(timeout)
		to := time.Since(r.startedAt)
		cancel()
		if err == nil {
			r.recordStatus(StatusRead{
				Member: memberName(node), From: from, To: to, PID: status.PID, Generation: status.Generation,
				Hash: status.ConfigHash, Epoch: status.Epoch, Owner: status.Owner,
			})
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
		}
	}
}

func (r *run) recordStatus(read StatusRead) {
	r.exchanges.Reported(read.Member, read.Hash)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.statusReads) < maxStatusReads {
		r.statusReads = append(r.statusReads, read)
	}
}

// fillReport checks all that was recorded against the rules, and counts it.
func (r *run) fillReport(report *Report) {
	for node, process := range r.fixture.processes {
		if !process.Runs() {
			r.exchanges.Wrong("%s has ended by itself: %v; %s", memberName(node), process.Wait(), r.fixture.logTail(node))
		}
	}
	for _, generations := range r.generations {
		report.Phases = max(report.Phases, len(generations)-1)
	}
	violations := append(CheckNeighbours(r.statusReads, r.generations), CheckOwners(r.statusReads)...)
	violations = append(violations, r.checkLogs(report)...)
	violations = append(violations, r.checkHardLimits(report)...)
	isExplained := func(reason string) bool { return !strings.HasPrefix(reason, unexplainedPrefix) }
	report.Violations = append(violations, r.exchanges.Check(isExplained)...)
	report.Requests, _ = r.exchanges.Counts()
	report.Effects = r.exchanges.Effects()
	report.Served = r.statusCounts[http.StatusOK]
	report.GatherResults = r.gatherResults
	report.PartialResults = r.partialResults
	report.FailedByHarm = r.failedByHarm
	report.Broken = report.Requests
	for _, count := range r.statusCounts {
		report.Broken -= count
	}
	report.CoordinatorsKilled = r.coordinatorsKilled
	report.Decisions = r.decisions
	report.NodesKilled = r.fixture.kills
	report.StatusReads = len(r.statusReads)
	report.Duration = time.Since(r.startedAt)
}

// checkLogs checks the members' logs against their statuses, and counts epochs and commands.
func (r *run) checkLogs(report *Report) (violations []string) {
	owners := make(map[uint64]string)
	for _, read := range r.statusReads {
		if read.Epoch > 0 {
			owners[read.Epoch] = read.Owner
		}
	}
	for node, process := range r.fixture.processes {
		raw, err := os.ReadFile(process.Log)
		if err != nil {
			r.exchanges.Wrong("%s: %v", memberName(node), err)
		}
		var log MemberLog
		log.Read(memberName(node), string(raw), owners)
		violations = append(violations, log.Violations...)
		report.Commands += log.Commands
	}
	report.Epochs = len(owners)
	return violations
}

// checkHardLimits checks what fake servers received of each customer with a hard limit. The larger limit of
// both ends of the change holds at any time. A bucket starts with its burst at most.
func (r *run) checkHardLimits(report *Report) (violations []string) {
	for _, customer := range customers {
		times := slices.Clone(r.limited.times[customer])
		slices.Sort(times)
		report.LimitedRequests += len(times)
		excess := MaxExcess(times, unitsHigh, unitsHigh)
		report.MaxExcess = max(report.MaxExcess, excess)
		if excess > float64(roundingSlack(r.nodes())) {
			violations = append(violations, fmt.Sprintf("customer %s: %.1f requests beyond its ceiling", customer, excess))
		}
	}
	return violations
}

// roundingSlack is by how many requests a hard limit may be exceeded: an account that several nodes charge at
// once is counted in parts, each of which may be rounded up.
func roundingSlack(nodes int) int { return nodes }
