package fleet

import (
	"context"
	"fmt"

	"lockflow/internal/durable"
	"lockflow/internal/manage"
)

// Reload has one member read its configuration again. RunRollout changes all members of a fleet.
type Reload struct {
	New []byte // replaces the configuration file; nil leaves it
}

// Do reloads a member with the status before, and returns once it is ready again.
func (r *Reload) Do(ctx context.Context, m Member, before manage.Status) error {
	if r.New != nil {
		if err := durable.ReplaceFile(before.ConfigPath, r.New, 0o600); err != nil {
			return fmt.Errorf("replacing the configuration: %w", err)
		}
	}
	if _, err := m.Client.Reload(ctx); err != nil {
		return err
	}
	_, err := awaitStatus(ctx, m, func(s manage.Status) bool { return s.IsReady() })
	return err
}

// Upgrade replaces one member's process by a new one.
type Upgrade struct {
	Program string // absolute path; "" is the program that the member runs
}

// Do upgrades a member, and returns once the old process has ended: until then it may take over again. It fails if it did.
func (u *Upgrade) Do(ctx context.Context, m Member, _ manage.Status) error {
	old, err := status(ctx, m)
	if err != nil {
		return err
	}
	if _, err := m.Client.Upgrade(ctx, u.Program); err != nil {
		return err
	}
	isOldServing := false
	now, err := awaitStatus(ctx, m, func(s manage.Status) bool {
		isOldServing = false
		if !s.IsReady() {
			return false
		}
		if s.PID != old.PID {
			return hasEnded(old.PID)
		}
		isOldServing = s.SuccessorPID == 0
		return isOldServing
	})
	if err == nil && isOldServing {
		return fmt.Errorf("the new process did not last; process %d goes on", now.PID)
	}
	return err
}
