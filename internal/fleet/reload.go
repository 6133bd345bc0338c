package fleet

import (
	"context"
	"fmt"

	"lockflow/internal/durable"
	"lockflow/internal/manage"
)

// Reload makes one member reload its configuration. RunRollout changes all members of a fleet.
type Reload struct {
	New []byte // new content of the configuration file; nil leaves the file unchanged
}

// Do reloads a member, and returns once it is ready. before is the member's status before the reload.
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

// Upgrade replaces the process of one member.
type Upgrade struct {
	Program string // absolute path; "" stands for the program that the member runs
}

// Do upgrades a member, and returns once the old process has ended: until then the old process may resume serving. It
// fails if the old process did so.
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
		return fmt.Errorf("the new process failed; process %d continues to serve", now.PID)
	}
	return err
}
