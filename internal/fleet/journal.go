package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/rollout"
	"lockflow/internal/rolloutlog"
)

// logRecord is one of a journal's after the first, which is the Change.
type logRecord struct {
	At    time.Time     `json:"at"`
	Entry rollout.Entry `json:"entry"`
}

// RolloutLog is a ledger with what it holds of the newest change.
type RolloutLog struct {
	Log     *rolloutlog.Log
	Change  *Change // nil is none
	Entries []rollout.Entry

	// OnWrite is called around each write of a decision, with its number from 1 on and whether it is kept by
	// then; nil is nobody. It is where tests end a coordinator.
	OnWrite func(n int, kept bool)
	writes  int
}

// write does one write of a decision.
func (j *RolloutLog) write(do func() error) error {
	j.writes++
	if j.OnWrite != nil {
		j.OnWrite(j.writes, false)
	}
	err := do()
	if err == nil && j.OnWrite != nil {
		j.OnWrite(j.writes, true)
	}
	return err
}

// OpenRolloutLog opens the journal in a directory. One that is damaged is set aside and told: what members
// say they run is what then counts.
func OpenRolloutLog(dir string) (*RolloutLog, error) {
	l, err := rolloutlog.Open(dir)
	if err != nil {
		return nil, err
	}
	j := &RolloutLog{Log: l}
	if l.DamageError != nil {
		slog.Error("rollout: the journal is damaged and set aside; members tell what they run", "err", l.DamageError, "aside", l.QuarantinedPath)
	}
	if j.Change, j.Entries, err = decode(l.Records()); err != nil {
		// Its checksums hold: another program has written it.
		slog.Error("rollout: the journal's last change can't be read and does not count", "err", err)
		j.Change, j.Entries = nil, nil
	}
	return j, nil
}

// Close lets go of it.
func (j *RolloutLog) Close() { j.Log.Close() }

func decode(records [][]byte) (*Change, []rollout.Entry, error) {
	if len(records) == 0 {
		return nil, nil, nil
	}
	c := new(Change)
	if err := json.Unmarshal(records[0], c); err != nil {
		return nil, nil, fmt.Errorf("journal: its change: %w", err)
	}
	if err := c.validate(); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	entries := make([]rollout.Entry, 0, len(records))
	for i, raw := range records[1:] {
		var r logRecord
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, nil, fmt.Errorf("journal: record %d: %w", i+2, err)
		}
		entries = append(entries, r.Entry)
	}
	return c, entries, nil
}

// Unfinished tells whether the newest change has not come to its end: "" where it has, else what it is at.
func (j *RolloutLog) Unfinished() string {
	if j.Change == nil || len(j.Entries) == 0 {
		return ""
	}
	last := j.Entries[len(j.Entries)-1]
	if last.Kind != rollout.EntryEnd {
		return "it was cut at " + string(last.Kind)
	}
	if r := rollout.Result(last.Outcome); !r.IsFinal() {
		return string(r)
	}
	return ""
}

// Begin begins a change's records.
func (j *RolloutLog) Begin(c *Change) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if err := j.write(func() error { return j.Log.Begin(raw) }); err != nil {
		return err
	}
	j.Change, j.Entries = c, nil
	return nil
}

// append keeps a decision.
func (j *RolloutLog) append(e rollout.Entry) error {
	raw, err := json.Marshal(logRecord{time.Now(), e})
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if err := j.write(func() error { return j.Log.Append(raw) }); err != nil {
		return err
	}
	j.Entries = append(j.Entries, e)
	return nil
}

// Progress is what a coordinator tells of a change, and what is left of it after.
type Progress struct {
	StartedAt     time.Time         `json:"begun"`
	UpdatedAt     time.Time         `json:"at"` // of this
	Kind          desiredstate.Kind `json:"kind"`
	State         string            `json:"state"`
	Reason        string            `json:"why"`
	RollbackCause string            `json:"cause,omitempty"` // of taking back
	Epoch         uint64            `json:"epoch"`
	Phase         int               `json:"phase"`
	Phases        int               `json:"phases"`
	Stage         int               `json:"stage"`
	Stages        int               `json:"stages"`
	Verdict       string            `json:"verdict,omitempty"`
	VerdictReason string            `json:"told,omitempty"` // by the judge
	Measures      []MeasureResult   `json:"measures,omitempty"`
	Members       []MemberState     `json:"members"`
	Counts        map[string]int    `json:"counts"` // of entries, by kind
}

// MeasureResult is one measure of both sides. What is not known is left out.
type MeasureResult struct {
	Name     string   `json:"name"`
	Old      *float64 `json:"old,omitempty"`
	New      *float64 `json:"new,omitempty"`
	Low      *float64 `json:"low,omitempty"`  // the interval of New - Old
	High     *float64 `json:"high,omitempty"` //
	Margin   float64  `json:"margin"`         // of harm
	IsWorse  bool     `json:"worse"`
	IsEnough bool     `json:"enough"`
}

// MemberState is where a member is.
type MemberState struct {
	Member  string `json:"member"`
	State   string `json:"state"`
	Version string `json:"runs,omitempty"`
}

// ReadProgress reads what the journal of a directory tells of its newest change; nil is none. It may be read while
// a coordinator writes.
func ReadProgress(dir string) (*Progress, error) {
	records, note, err := rolloutlog.Read(dir)
	if err != nil {
		return nil, err
	}
	c, entries, err := decode(records)
	if err != nil || c == nil {
		return nil, err
	}
	p := &Progress{}
	if note != nil {
		if err := json.Unmarshal(note, p); err != nil {
			return nil, fmt.Errorf("journal: what it tells last: %w", err)
		}
	}
	p.StartedAt, p.Kind, p.Counts = c.StartedAt, c.Kind, make(map[string]int)
	for _, e := range entries {
		p.Counts[string(e.Kind)]++
	}
	if n := len(entries); n > 0 && entries[n-1].Kind == rollout.EntryEnd {
		p.State, p.Reason = entries[n-1].Outcome, entries[n-1].Reason
	} else if p.State == "" {
		p.State = "begun"
	}
	return p, nil
}

var errNoChange = errors.New("the journal holds no change that could be resumed")
