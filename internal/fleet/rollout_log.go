package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"lockflow/internal/rollout"
	"lockflow/internal/rolloutlog"
)

var errNoChange = errors.New("the rollout log has no change to resume")

// logRecord is a record of the rollout log that follows a change's first record, which is the Change.
type logRecord struct {
	At    time.Time     `json:"at"`
	Entry rollout.Entry `json:"entry"`
}

// RolloutLog is an open rollout log with its newest change. It may be used by one goroutine at a time.
type RolloutLog struct {
	Log     *rolloutlog.Log
	Change  *Change         // nil if the log has none
	Entries []rollout.Entry // decisions on Change, in order

	// OnWrite, if not nil, is called before each write of a change or decision, and after each that succeeded, with the
	// sequence number of the write from 1 on. Tests use it to end a coordinator at that point.
	OnWrite func(number int, isWritten bool)
	writes  int
}

// OpenRolloutLog opens the log in a directory. It quarantines a damaged file and logs that; the versions that members
// report are then the only source of what they run. A newest change that can't be decoded is ignored.
func OpenRolloutLog(dir string) (*RolloutLog, error) {
	log, err := rolloutlog.Open(dir)
	if err != nil {
		return nil, err
	}
	l := &RolloutLog{Log: log}
	if log.DamageError != nil {
		slog.Error("rollout: damaged log quarantined, members are polled for their versions instead", "err", log.DamageError, "aside", log.QuarantinedPath)
	}
	l.Change, l.Entries, err = decode(log.Records())
	if err != nil { // the checksums are valid, so another release has written the record
		slog.Error("rollout: newest change in the log is unreadable and is ignored", "err", err)
	}
	return l, nil
}

// Close closes the log, so that another process may open it.
func (l *RolloutLog) Close() { l.Log.Close() }

// decode decodes the records of a change. Without records it returns no change.
func decode(records [][]byte) (*Change, []rollout.Entry, error) {
	if len(records) == 0 {
		return nil, nil, nil
	}
	change := new(Change)
	if err := json.Unmarshal(records[0], change); err != nil {
		return nil, nil, fmt.Errorf("rollout log: decoding the change: %w", err)
	}
	if err := change.validate(); err != nil {
		return nil, nil, fmt.Errorf("rollout log: %w", err)
	}
	entries := make([]rollout.Entry, 0, len(records))
	for i, raw := range records[1:] {
		var r logRecord
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, nil, fmt.Errorf("rollout log: decoding record %d: %w", i+2, err)
		}
		entries = append(entries, r.Entry)
	}
	return change, entries, nil
}

// Unfinished describes where the newest change has stopped. It returns "" if the change is over or there is none.
func (l *RolloutLog) Unfinished() string {
	if l.Change == nil || len(l.Entries) == 0 {
		return ""
	}
	last := l.Entries[len(l.Entries)-1]
	if last.Kind != rollout.EntryEnd {
		return "it was interrupted at " + string(last.Kind)
	}
	if result := rollout.Result(last.Outcome); !result.IsFinal() {
		return string(result)
	}
	return ""
}

// Begin writes the first record of a change.
func (l *RolloutLog) Begin(change *Change) error {
	raw, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("rollout log: %w", err)
	}
	if err := l.write(func() error { return l.Log.Begin(raw) }); err != nil {
		return err
	}
	l.Change = change
	l.Entries = nil
	return nil
}

// append writes a decision on the current change.
func (l *RolloutLog) append(entry rollout.Entry) error {
	raw, err := json.Marshal(logRecord{time.Now(), entry})
	if err != nil {
		return fmt.Errorf("rollout log: %w", err)
	}
	if err := l.write(func() error { return l.Log.Append(raw) }); err != nil {
		return err
	}
	l.Entries = append(l.Entries, entry)
	return nil
}

// write runs a write, and calls OnWrite before it and after it succeeded.
func (l *RolloutLog) write(do func() error) error {
	l.writes++
	if l.OnWrite != nil {
		l.OnWrite(l.writes, false)
	}
	err := do()
	if err == nil && l.OnWrite != nil {
		l.OnWrite(l.writes, true)
	}
	return err
}
