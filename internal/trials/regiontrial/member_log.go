package regiontrial

import (
	"fmt"
	"strings"
)

// Messages of a member's log.
const (
	messageGranted     = "coordinator epoch granted"
	messageStarted     = "command started"
	messageInterrupted = "nothing of it remains\" id=" // the end of the message and its first field
)

// MemberLog is what a member's log has of coordinators.
type MemberLog struct {
	Grants, Commands int
	Violations       []string
	lastEpoch        uint64
	lastOwner        string
	startedCommands  map[string]bool // by ID
}

// Read reads a log. A command under an epoch below one granted before, or by another owner, is a violation.
// The line of a grant may be lost with the end of the process. owners are those of epochs, to which Read
// adds.
func (m *MemberLog) Read(member, log string, owners map[uint64]string) {
	for line := range strings.Lines(log) {
		_, rest, hasMessage := strings.Cut(line, `msg="`)
		if _, id, isInterrupted := strings.Cut(rest, messageInterrupted); isInterrupted {
			id, _, _ = strings.Cut(id, " ")
			delete(m.startedCommands, id) // it may be started again
		}
		isGrant := strings.HasPrefix(rest, messageGranted)
		isCommand := strings.HasPrefix(rest, messageStarted)
		if !hasMessage || !isGrant && !isCommand {
			continue
		}
		var epoch uint64
		fields := logFields(rest)
		if _, err := fmt.Sscan(fields["epoch"], &epoch); err != nil || fields["owner"] == "" {
			continue // truncated by a kill
		}
		m.checkEpoch(member, epoch, fields["owner"], strings.TrimSpace(rest), owners)
		if isGrant {
			m.Grants++
		} else {
			m.countCommand(member, fields["id"])
		}
	}
}

// checkEpoch checks the epoch and owner of a line against the earlier lines and the other members.
func (m *MemberLog) checkEpoch(member string, epoch uint64, owner, line string, owners map[uint64]string) {
	if epoch < m.lastEpoch || epoch == m.lastEpoch && m.lastOwner != owner {
		m.Violations = append(m.Violations, fmt.Sprintf("%s: epoch %d of %s after %d of %s: %s", member, epoch, owner, m.lastEpoch, m.lastOwner, line))
	}
	m.lastEpoch = epoch
	m.lastOwner = owner
	if other, ok := owners[epoch]; ok && other != owner {
		m.Violations = append(m.Violations, fmt.Sprintf("%s: epoch %d of %s is of %s elsewhere", member, epoch, owner, other))
	}
	owners[epoch] = owner
}

// countCommand counts a command that was started; one that was started before is a violation.
func (m *MemberLog) countCommand(member, id string) {
	m.Commands++
	if m.startedCommands == nil {
		m.startedCommands = make(map[string]bool)
	}
	if m.startedCommands[id] {
		m.Violations = append(m.Violations, fmt.Sprintf("%s: order %s is begun twice", member, id))
	}
	m.startedCommands[id] = true
}

// logFields returns the KEY=VALUE fields of a log line.
func logFields(line string) map[string]string {
	fields := make(map[string]string)
	for field := range strings.FieldsSeq(line) {
		if key, value, ok := strings.Cut(field, "="); ok {
			fields[key] = strings.Trim(value, `"`)
		}
	}
	return fields
}
