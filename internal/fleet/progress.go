package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/rollout"
	"lockflow/internal/rolloutlog"
)

// maxListedNames is the maximum number of members that a line names. A line about more members names one fewer and
// gives the number of the others.
const maxListedNames = 8

// Progress is a report on a change. The coordinator stores it in the rollout log while the change runs, and
// ReadProgress adds what the log's entries tell.
type Progress struct {
	StartedAt     time.Time         `json:"begun"` // of the change
	UpdatedAt     time.Time         `json:"at"`    // of this report
	Kind          desiredstate.Kind `json:"kind"`
	State         string            `json:"state"`
	Reason        string            `json:"why"`
	RollbackCause string            `json:"cause,omitempty"`
	Epoch         uint64            `json:"epoch"`
	Phase         int               `json:"phase"`  // current phase, from 1
	Phases        int               `json:"phases"` // number of phases
	Stage         int               `json:"stage"`  // current stage of the phase, from 1
	Stages        int               `json:"stages"` // number of stages of the phase
	Verdict       string            `json:"verdict,omitempty"`
	VerdictReason string            `json:"told,omitempty"`
	Measures      []MeasureResult   `json:"measures,omitempty"`
	Members       []MemberState     `json:"members"`
	Counts        map[string]int    `json:"counts"` // number of log entries by kind
}

// MeasureResult is one canary.Measure. Its pointer fields are nil where the value is unknown.
type MeasureResult struct {
	Name     string   `json:"name"`
	Old      *float64 `json:"old,omitempty"`
	New      *float64 `json:"new,omitempty"`
	Low      *float64 `json:"low,omitempty"`  // lower bound of New - Old
	High     *float64 `json:"high,omitempty"` // upper bound of New - Old
	Margin   float64  `json:"margin"`         // difference that counts as harm
	IsWorse  bool     `json:"worse"`
	IsEnough bool     `json:"enough"`
}

// MemberState is the state of one member in a rollout.
type MemberState struct {
	Member  string `json:"member"`
	State   string `json:"state"` // as returned by rollout.Rollout.MemberState
	Version string `json:"runs,omitempty"`
}

// entryMessages are the log messages for each kind of entry in the rollout log.
var entryMessages = map[rollout.EntryKind]string{
	rollout.EntryEpoch:         "rollout: epoch claimed",
	rollout.EntryOwned:         "rollout: ownership acquired",
	rollout.EntryStage:         "rollout: stage started",
	rollout.EntryCommand:       "rollout: command sent",
	rollout.EntryOutcome:       "rollout: command ended",
	rollout.EntryBake:          "rollout: bake started",
	rollout.EntryVerdict:       "rollout: verdict",
	rollout.EntryRollback:      "rollout: rollback started",
	rollout.EntryRollbackPhase: "rollout: rollback pass started",
	rollout.EntryAbandoned:     "rollout: member not rolled back",
	rollout.EntryEnd:           "rollout: ended",
}

// reportEntry logs a decision and writes a line about it to the operator's output.
func (c *coordinator) reportEntry(entry rollout.Entry) {
	slog.Info(entryMessages[entry.Kind], "epoch", entry.Epoch, "phase", entry.Phase, "stage", entry.Stage, "member", entry.Member, "id", entry.ID,
		"gen", entry.Generation, "outcome", entry.Outcome, "why", entry.Reason)
	w := c.options.Progress
	switch entry.Kind {
	case rollout.EntryOwned:
		fmt.Fprintf(w, "owns the fleet with epoch %d\n", entry.Epoch)
	case rollout.EntryStage:
		fmt.Fprintln(w, c.describeStage(entry))
	case rollout.EntryOutcome:
		fmt.Fprintf(w, "%s: %s %s\n", entry.Member, entry.Outcome, entry.Reason)
	case rollout.EntryVerdict:
		fmt.Fprintf(w, "stage %d: %s: %s\n", entry.Stage, entry.Outcome, entry.Reason)
	case rollout.EntryRollback:
		fmt.Fprintf(w, "rolls back: %s\n", entry.Reason)
	case rollout.EntryAbandoned:
		fmt.Fprintf(w, "%s: not rolled back: %s\n", entry.Member, entry.Reason)
	}
}

// describeStage returns a line about the stage that an entry starts.
func (c *coordinator) describeStage(entry rollout.Entry) string {
	stage, stages := c.rollout.Stage()
	line := fmt.Sprintf("stage %d of %d: %s", stage, stages, joinNames(entry.Members))
	if phase, phases := c.rollout.Phase(); phases > 1 {
		line = fmt.Sprintf("phase %d of %d, %s", phase, phases, line)
	}
	if len(entry.Controls) > 0 {
		line += "; restarted as controls: " + joinNames(entry.Controls)
	}
	return line
}

// joinNames joins names to a list, which is shortened as maxListedNames describes.
func joinNames(names []string) string {
	if len(names) > maxListedNames {
		listed := names[:maxListedNames-1]
		return fmt.Sprintf("%s and %d more", strings.Join(listed, ", "), len(names)-len(listed))
	}
	return strings.Join(names, ", ")
}

// updateProgress stores the progress for readers of the log: when the state has changed (but at most once in
// memberPollInterval), at the end, and otherwise once in progressInterval.
func (c *coordinator) updateProgress() {
	now := c.now()
	state := c.rollout.State() + c.rollout.Reason()
	if c.end == nil {
		elapsed := now - c.lastProgress
		if elapsed < memberPollInterval || state == c.lastState && elapsed < progressInterval {
			return
		}
		if state != c.lastState {
			slog.Info("rollout: state changed", "to", c.rollout.State(), "why", c.rollout.Reason())
		}
	}
	c.lastProgress = now
	c.lastState = state
	raw, err := json.Marshal(c.progress())
	if err == nil {
		err = c.log.Log.SetNote(raw)
	}
	if err != nil {
		slog.Warn("rollout: storing the progress failed", "err", err)
	}
}

// progress returns the current progress of the rollout.
func (c *coordinator) progress() Progress {
	p := Progress{
		StartedAt:     c.change.StartedAt,
		UpdatedAt:     time.Now(),
		Kind:          c.change.Kind,
		State:         c.rollout.State(),
		Reason:        c.rollout.Reason(),
		RollbackCause: c.rollout.RollbackCause(),
		Epoch:         c.rollout.Epoch(),
		Members:       c.memberStates(),
	}
	p.Phase, p.Phases = c.rollout.Phase()
	p.Stage, p.Stages = c.rollout.Stage()
	if c.verdict.Reason != "" {
		p.Verdict = c.verdict.Kind.String()
		p.VerdictReason = c.verdict.Reason
	}
	for _, m := range c.verdict.Measures {
		p.Measures = append(p.Measures, MeasureResult{
			Name:     m.Name,
			Old:      finiteOrNil(m.Old),
			New:      finiteOrNil(m.New),
			Low:      finiteOrNil(m.Low),
			High:     finiteOrNil(m.High),
			Margin:   m.Margin,
			IsWorse:  m.IsWorse,
			IsEnough: m.IsEnough,
		})
	}
	return p
}

// finiteOrNil returns nil for an infinity or NaN, which JSON can't represent.
func finiteOrNil(value float64) *float64 {
	if math.IsInf(value, 0) || math.IsNaN(value) {
		return nil
	}
	return &value
}

// memberStates returns the members' states, in the order of Plan.Members.
func (c *coordinator) memberStates() []MemberState {
	all := make([]MemberState, len(c.clients))
	for i, m := range c.change.Plan.Members {
		all[i] = MemberState{m.Name, c.rollout.MemberState(i, c.isCommanded[i]), c.rollout.Version(i)}
	}
	return all
}

// ReadProgress reads the progress of the newest change from a rollout log's directory. It may be called while a
// coordinator writes the log. It returns nil if the log has no change.
func ReadProgress(dir string) (*Progress, error) {
	records, note, err := rolloutlog.Read(dir)
	if err != nil {
		return nil, err
	}
	change, entries, err := decode(records)
	if err != nil || change == nil {
		return nil, err
	}
	p := &Progress{}
	if note != nil {
		if err := json.Unmarshal(note, p); err != nil {
			return nil, fmt.Errorf("rollout log: decoding the progress report: %w", err)
		}
	}
	p.StartedAt = change.StartedAt
	p.Kind = change.Kind
	p.Counts = make(map[string]int)
	for _, entry := range entries {
		p.Counts[string(entry.Kind)]++
	}
	if n := len(entries); n > 0 && entries[n-1].Kind == rollout.EntryEnd {
		p.State = entries[n-1].Outcome
		p.Reason = entries[n-1].Reason
	} else if p.State == "" {
		p.State = "begun"
	}
	return p, nil
}
